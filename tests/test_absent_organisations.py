"""Requests with keys at instances whose tables have no organisations, in force or not."""

from __future__ import annotations

import itertools
import json
import re
import socket
import threading
import time
import uuid

import pytest

from foxtaildrum.organisations.recognition import AgeLimits
from foxtaildrum.requests.recognising import Recognition

from .sites import Reply, Site, open_site
from .standins.processes import pick_port, wait_until

KEY = "acme-key"
KEY_HEADER = {"X-Organisation-Key": KEY}
NAME_HEADER = {"X-Organisation": "acme"}
# What a request states of its caller.
STATEMENTS = {"key": KEY_HEADER, "name": NAME_HEADER, "both": KEY_HEADER | NAME_HEADER}
POOLS = [{"name": "p", "retry_budget_ratio": 1.0, "measuring_budget_ratio": 0.0}]
ACME = [{"name": "acme", "keys": [KEY]}]
# Longer than the age of recent tables, 1.5 s by default.
OUT_OF_TOUCH_S = 2.0
REQUESTS_AFTER = 5


def build_tables(version: int, organisations: list | None, is_public: bool = False) -> dict:
    routes = [
        {
            "name": "r",
            "path_prefix": "/",
            "pool": "p",
            "timeout_ms": 8000,
            "objective_latency_ms": 50_000,
            "public": is_public,
        }
    ]
    document = {"version": version, "routes": routes, "pools": POOLS}
    return document if organisations is None else document | {"organisations": organisations}


class Pair:
    """A control instance and an entry instance whose links can be cut in both directions."""

    def __init__(self, folder) -> None:
        peers = {name: f"127.0.0.1:{pick_port()}" for name in ("c1", "e1")}
        self.sites = {name: self._open(folder, name, peers) for name in peers}
        self.is_cut = False
        for site in self.sites.values():
            self._add_switch(site.instance._network)
        self.control, self.entry = self.sites.values()
        self.upstreams = self.control.add_upstreams("p", 2, service_ms=1, fixed=True)

    def put(self, version: int, organisations: list | None, is_public: bool = False) -> None:
        self.control.client.put_tables(build_tables(version, organisations, is_public))

    def wait_for_version(self, version: int) -> None:
        assert wait_until(lambda: self.entry.instance.proxy.view.version == version)
        assert wait_until(lambda: self.send({}).status != 503)

    def send(self, headers: dict[str, str], path: str = "/x") -> Reply:
        return self.entry.send("GET", path, headers)

    def count_runs(self, request_id: str) -> int:
        return self.upstreams.count_runs().get(request_id, 0)

    def close(self) -> None:
        for site in self.sites.values():
            site.close()

    @staticmethod
    def _open(folder, name: str, peers: dict[str, str]) -> Site:
        (folder / name).mkdir()
        return Site(
            folder / name,
            instance_id=name,
            role="all" if name == "c1" else "entry",
            peer_listen=peers[name],
            control=f"c1={peers['c1']}",
        )

    def _add_switch(self, network) -> None:
        send = network.send

        def send_unless_cut(*arguments) -> None:
            if not self.is_cut:
                send(*arguments)

        network.send = send_unless_cut


@pytest.fixture
def pair(tmp_path):
    pair = Pair(tmp_path)
    yield pair
    pair.close()


def read_headers(reply: Reply) -> dict[str, str]:
    assert reply.status == 200, reply.body
    return json.loads(reply.body)["headers"]


def assert_not_ready(reply: Reply) -> None:
    assert (reply.status, reply.outcome) == (503, "not-run"), reply.body
    assert json.loads(reply.body)["kind"] == "not_ready"
    assert reply.headers["retry-after"]


# Guards against an instance that has not heard of the first organisations and passes keys on
# (review case 7). Whether it hears of them first after a pause is a race; a cut is none.
@pytest.mark.parametrize("statement", STATEMENTS)
def test_an_instance_out_of_touch_passes_no_key_on(pair, statement):
    pair.put(1, None)
    pair.wait_for_version(1)
    pair.is_cut = True
    pair.put(2, ACME)
    request_id = uuid.uuid4().hex
    assert_not_ready(pair.send(STATEMENTS[statement] | {"X-Request-Id": request_id}))
    assert pair.count_runs(request_id) == 0
    # One that states nothing is served as any other is by old tables.
    assert read_headers(pair.send({})).keys().isdisjoint({"x-organisation-key"})
    pair.is_cut = False
    assert wait_until(lambda: pair.entry.instance.proxy.view.version == 2)
    headers = read_headers(pair.send(KEY_HEADER | {"X-Organisation": "forged"}))
    assert headers["x-organisation"] == "acme"
    assert "x-organisation-key" not in headers


# Guards against a key behind other requests on its connection, which is decided on at its turn.
def test_pipelined_requests_at_an_instance_out_of_touch_pass_no_key_on(pair):
    pair.put(1, None)
    pair.wait_for_version(1)
    pair.is_cut = True
    pair.put(2, ACME)
    keys = ["", KEY, "", "nobody", KEY]
    assert pipeline(pair.entry, keys) == [200, 503, 200, 503, 503]
    pair.is_cut = False
    assert wait_until(lambda: pair.entry.instance.proxy.view.version == 2)
    assert pipeline(pair.entry, keys) == [401, 200, 401, 401, 200]


def pipeline(site: Site, keys: list[str]) -> list[int]:
    """Send requests with these keys on one connection at once; return their statuses."""
    host, port = site.instance.caller_server.address.split(":")
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        for number, key in enumerate(keys, start=1):
            lines = ["GET /x HTTP/1.1", "Host: x"]
            if key:
                lines.append(f"X-Organisation-Key: {key}")
            if number == len(keys):
                lines.append("Connection: close")
            connection.sendall("\r\n".join([*lines, "", ""]).encode())
        data = b"".join(iter(lambda: connection.recv(65536), b""))
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d{3}) ", data)]


# Guards against an acknowledgement while an instance that has not heard of the organisations
# still takes its tables for recent.
def test_no_key_is_passed_on_after_the_acknowledgement(pair):
    pair.put(1, None)
    pair.wait_for_version(1)
    passed_on_at: list[float] = []
    done = threading.Event()

    def send_keys() -> None:
        while not done.is_set():
            sent_at = time.monotonic()
            reply = pair.send(KEY_HEADER)
            if reply.status == 200 and "x-organisation-key" in read_headers(reply):
                passed_on_at.append(sent_at)

    sender = threading.Thread(target=send_keys)
    sender.start()
    assert wait_until(lambda: passed_on_at)
    cut_at = time.monotonic()
    pair.is_cut = True
    assert wait_until(lambda: passed_on_at[-1] > cut_at)
    pair.put(2, ACME)
    acknowledged_at = time.monotonic()
    for _ in range(REQUESTS_AFTER):
        assert_not_ready(pair.send(KEY_HEADER))
    done.set()
    sender.join()
    assert passed_on_at[-1] < acknowledged_at


# Guards against a refusal of what can be served within a moment: the tables are read at once.
def test_a_request_waits_for_the_tables_of_an_instance_that_is_back_in_touch(pair):
    pair.put(1, None)
    pair.wait_for_version(1)
    pair.is_cut = True
    pair.put(2, ACME)
    pair.is_cut = False
    headers = read_headers(pair.send(KEY_HEADER))
    assert (headers["x-organisation"], headers.get("x-organisation-key")) == ("acme", None)


# Guards against the name that an organisation, or the key, had before an instance lost touch.
def test_a_key_that_was_given_to_another_organisation_is_not_served_as_before(pair):
    pair.put(1, ACME)
    pair.wait_for_version(1)
    pair.is_cut = True
    pair.put(2, [{"name": "renamed", "keys": [KEY]}])
    time.sleep(OUT_OF_TOUCH_S)
    pair.is_cut = False
    assert read_headers(pair.send(KEY_HEADER))["x-organisation"] == "renamed"


# Guards against a request with a key that nobody holds, on a route that is not public any more.
def test_an_unknown_key_is_not_served_by_a_route_that_was_public(pair):
    pair.put(1, ACME, is_public=True)
    pair.wait_for_version(1)
    pair.is_cut = True
    pair.put(2, ACME)
    time.sleep(OUT_OF_TOUCH_S)
    pair.is_cut = False
    assert pair.send({"X-Organisation-Key": "nobody"}).status == 401


# Guards against refusing, or waiting for, headers that are a deployment's own.
def test_headers_of_these_names_pass_where_organisations_were_never_in_force(pair):
    pair.put(1, None)
    pair.wait_for_version(1)
    for site in pair.sites.values():
        for _ in range(REQUESTS_AFTER):
            reply = site.send("GET", "/x", {"X-Organisation-Key": "any", **NAME_HEADER})
            headers = read_headers(reply)
            assert (headers["x-organisation-key"], headers["x-organisation"]) == ("any", "acme")
        assert read_headers(site.send("GET", "/x"))
        assert "organisations" not in site.client.get_status()


@pytest.fixture
def site(tmp_path):
    with open_site(tmp_path) as site:
        site.client.put_tables(build_tables(1, None))
        site.add_upstreams("p", 2, service_ms=1, fixed=True)
        assert wait_until(lambda: site.send("GET", "/x").status == 200)
        yield site


# Guards against tables whose age is not known, as after a start.
def test_no_key_is_passed_on_by_tables_of_unknown_age(site, monkeypatch):
    monkeypatch.setattr(type(site.instance.proxy.view), "compute_age", lambda view, now: None)
    for headers in STATEMENTS.values():
        assert_not_ready(site.send("GET", "/x", headers))
    assert site.send("GET", "/x").status == 200


# Guards against an attempt of a request that arrived before the organisations came into force.
@pytest.mark.parametrize("headers", [KEY_HEADER, NAME_HEADER, {}])
@pytest.mark.parametrize(
    ("number", "fault", "runs"),
    [(1, "", 0), (2, "", 0), (3, "shed", 0), (3, "close-after-run", 1)],
)
def test_an_attempt_follows_the_organisations_in_force(
    site, monkeypatch, number, fault, runs, headers
):
    checks = itertools.count(1)
    holds = Recognition.holds

    def put_and_check(recognition: Recognition, now: float) -> bool:
        if next(checks) == number:
            site.client.put_tables(build_tables(2, ACME))
            assert wait_until(lambda: site.instance.proxy.view.version == 2)
        return holds(recognition, now)

    monkeypatch.setattr(Recognition, "holds", put_and_check)
    request_id = uuid.uuid4().hex
    fields = {"X-Request-Id": request_id, **headers}
    reply = site.send("GET", "/x", fields | ({"X-Fault": fault} if fault else {}))
    assert (reply.status, json.loads(reply.body)["kind"]) == (503, "not_ready")
    assert site.upstreams["p"].count_runs().get(request_id, 0) == runs


# Guards against a request that gets a slot after the organisations came into force.
@pytest.mark.parametrize("headers", [KEY_HEADER, NAME_HEADER, {}])
def test_a_request_that_waited_for_a_slot_follows_the_organisations_in_force(site, headers):
    upstreams = site.upstreams["p"]
    for name, port in upstreams.ports.items():
        site.announce(name, "p", port, slots=1)
        upstreams.set_behaviour(name, stalled=1)
    replies: list[Reply] = []
    request_id = uuid.uuid4().hex

    def send(fields: dict[str, str]) -> threading.Thread:
        thread = threading.Thread(target=lambda: replies.append(site.send("GET", "/x", fields)))
        thread.start()
        return thread

    threads = [send({}) for _ in upstreams.ports]
    assert wait_until(lambda: sum(upstreams.describe(n)["busy"] for n in upstreams.ports) == 2)
    waiting = send({"X-Request-Id": request_id, **headers})
    balancer = site.instance.proxy.view.pools["p"].balancer
    assert wait_until(lambda: len(balancer.queue) == 1)
    site.client.put_tables(build_tables(2, ACME))
    for name in upstreams.ports:
        upstreams.set_behaviour(name, stalled=0)
    waiting.join()
    for thread in threads:
        thread.join()
    assert sorted(r.status for r in replies) == [200, 200, 503]
    assert_not_ready(next(r for r in replies if r.status == 503))
    assert upstreams.count_runs().get(request_id, 0) == 0


# Guards against organisations that were in force for a moment while a request was under way.
def test_an_attempt_passes_no_key_on_after_organisations_came_and_went(site, monkeypatch):
    holds = Recognition.holds

    def put_twice_and_check(recognition: Recognition, now: float) -> bool:
        for version, organisations in ((2, ACME), (3, None)):
            site.client.put_tables(build_tables(version, organisations))
        assert wait_until(lambda: site.instance.proxy.view.version == 3)
        return holds(recognition, now)

    monkeypatch.setattr(Recognition, "holds", put_twice_and_check)
    assert_not_ready(site.send("GET", "/x", KEY_HEADER))


# Guards against an attempt by tables that have become too old since the request arrived.
def test_an_attempt_needs_tables_that_are_still_recent(site, monkeypatch):
    checks = itertools.count(1)
    holds = Recognition.holds

    def age_and_check(recognition: Recognition, now: float) -> bool:
        if next(checks) == 2:
            site.instance.proxy.recogniser.limits = AgeLimits(0.0, 0.0)
        return holds(recognition, now)

    monkeypatch.setattr(Recognition, "holds", age_and_check)
    request_id = uuid.uuid4().hex
    assert_not_ready(site.send("GET", "/x", KEY_HEADER | {"X-Request-Id": request_id}))
    assert site.upstreams["p"].count_runs().get(request_id, 0) == 0
