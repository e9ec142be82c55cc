"""Organisations over real sockets: keys, headers on each attempt, tables changed meanwhile."""

from __future__ import annotations

import http.client
import itertools
import json
import logging
import socket
import threading
import uuid

import pytest
import urllib3

from foxtaildrum.cli import EXIT_OK, main
from foxtaildrum.organisations.counts import RefusedKeys
from foxtaildrum.organisations.recognition import AgeLimits
from foxtaildrum.requests.recognising import Recognition

from .sites import Site, open_site
from .standins.processes import wait_until

KEY = "acme-key-1"
OTHER_KEY = "other-key-1"
ORGANISATIONS = [
    {"name": "acme", "keys": [KEY, "acme-key-2"], "priority": 3, "rate_per_s": 150, "burst": 9},
    {"name": "other", "keys": [OTHER_KEY]},
]
POOLS = [
    {"name": "p", "retry_budget_ratio": 1.0, "measuring_budget_ratio": 0.0},
    {"name": "one", "measuring_budget_ratio": 0.0},
    {"name": "hedged", "measuring_budget_ratio": 1.0},
]
WARMING_REQUESTS = 80
ROUTES = [
    {"name": "p", "path_prefix": "/p", "pool": "p", "timeout_ms": 4000},
    {"name": "public", "path_prefix": "/public", "pool": "p", "public": True},
    {"name": "documents", "path_prefix": "/document", "pool": "p"},
    {"name": "hedged", "path_prefix": "/hedged", "pool": "hedged", "timeout_ms": 4000},
    {
        "name": "one",
        "path_prefix": "/one",
        "pool": "one",
        "timeout_ms": 8000,
        "objective_latency_ms": 10_000,
        "type": "unsafe",
    },
]
_numbers = itertools.count(1)


def put(site: Site, organisations: list | None) -> None:
    document = {"version": next(_numbers), "routes": ROUTES, "pools": POOLS}
    if organisations is not None:
        document["organisations"] = organisations
    site.client.put_tables(document)
    version = document["version"]
    assert wait_until(lambda: site.instance.proxy.view.version == version)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with open_site(tmp_path_factory.mktemp("organisations"), access_log=True) as site:
        put(site, None)
        site.add_upstreams("p", 2, service_ms=1, fixed=True)
        site.add_upstreams("one", 1, service_ms=1, fixed=True)
        site.add_upstreams("hedged", 2, service_ms=1, fixed=True)
        for _ in range(WARMING_REQUESTS):
            assert site.send("GET", "/hedged/warm").status == 200
        site.announce("one-1", "one", site.upstreams["one"].ports["one-1"], slots=1)
        # A new leader issues no permits of organisations at first.
        put(site, ORGANISATIONS)
        assert wait_until(lambda: send(site, "/p/x").status == 200)
        yield site


def test_without_organisations_headers_of_these_names_pass_untouched(tmp_path):
    """A deployment without organisations may use these headers for itself."""
    with open_site(tmp_path) as site:
        put(site, None)
        site.add_upstreams("p", 2, service_ms=1, fixed=True)
        assert wait_until(lambda: send(site, "/p/x").status == 200)
        headers = read_headers(send(site, "/p/x", "any", X_Organisation="mine"))
        assert (headers["x-organisation-key"], headers["x-organisation"]) == ("any", "mine")
        assert read_headers(send(site, "/p/x", ""))
        assert "organisations" not in site.client.get_status()


@pytest.fixture
def in_force(site):
    limits = site.instance.proxy.recogniser.limits
    put(site, ORGANISATIONS)
    yield site
    site.instance.proxy.recogniser.limits = limits


def send(site: Site, path: str, key: str = KEY, method: str = "GET", **headers: str):
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    if key:
        fields["X-Organisation-Key"] = key
    return site.send(method, path, fields, None if method == "GET" else b"{}")


def read_headers(reply) -> dict[str, str]:
    assert reply.status == 200, reply.body
    return json.loads(reply.body)["headers"]


def read_kind(reply) -> tuple[int, str, str]:
    return reply.status, json.loads(reply.body)["kind"], reply.outcome


def count_runs(site: Site, request_id: str) -> int:
    return sum(p.count_runs().get(request_id, 0) for p in site.upstreams.values())


@pytest.mark.parametrize(
    ("method", "fault"),
    [
        ("GET", ""),
        ("GET", "first:close-after-run"),
        ("GET", "first:shed"),
        ("GET", "first:status=500"),
        ("POST", ""),
        ("POST", "first:shed"),
    ],
)
def test_upstreams_get_the_name_and_never_the_key(in_force, method, fault):
    fault_header = {"X_Fault": fault} if fault else {}
    reply = send(in_force, "/p/x", method=method, X_Organisation="forged", **fault_header)
    headers = read_headers(reply)
    assert headers["x-organisation"] == "acme"
    assert "x-organisation-key" not in headers
    assert KEY not in reply.body.decode()


def test_a_hedge_gets_the_name_as_well(in_force):
    before = in_force.client.get_status()["counters"].get("hedges", 0)
    reply = send(in_force, "/hedged/x", X_Fault="first:slow=2500", X_Organisation="forged")
    headers = read_headers(reply)
    assert headers["x-organisation"] == "acme"
    assert headers["foxtaildrum-attempt"].endswith("-1")
    assert in_force.client.get_status()["counters"]["hedges"] > before


@pytest.mark.parametrize(
    ("key", "kind"),
    [
        ("", "key_missing"),
        ("unknown", "key_unknown_caller"),
        (f"{KEY}, {KEY}", "key_unknown_caller"),
        (f"{KEY} x", "key_unknown_caller"),
        ("\u00e9\u00ff", "key_unknown_caller"),
    ],
)
def test_a_request_without_a_known_key_is_refused_and_not_run(in_force, key, kind):
    request_id = uuid.uuid4().hex
    reply = send(in_force, "/p/x", key, X_Request_Id=request_id, X_Organisation="acme")
    assert read_kind(reply) == (401, kind, "not-run")
    assert count_runs(in_force, request_id) == 0


def test_a_key_that_is_sent_twice_is_unknown(in_force):
    host, port = in_force.instance.caller_server.address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    connection.putrequest("GET", "/p/x")
    connection.putheader("X-Organisation-Key", KEY)
    connection.putheader("x-organisation-key", KEY)
    connection.endheaders()
    response = connection.getresponse()
    assert response.status == 401
    assert json.loads(response.read())["kind"] == "key_unknown_caller"
    connection.close()


@pytest.mark.parametrize(("key", "name"), [(KEY, "acme"), ("unknown", None), ("", None)])
def test_a_public_route_is_served_with_the_name_only_if_the_key_is_known(in_force, key, name):
    in_force.instance.proxy.recogniser.limits = AgeLimits(0.0, 1e-9)
    headers = read_headers(send(in_force, "/public/x", key, X_Organisation="forged"))
    assert headers.get("x-organisation") == name
    assert "x-organisation-key" not in headers


@pytest.mark.parametrize(
    ("limits", "key"), [((1.5, 1e-9), KEY), ((0.0, 0.0), ""), ((0.0, 0.0), "unknown")]
)
def test_tables_that_are_too_old_give_503_and_not_401(in_force, limits, key):
    in_force.instance.proxy.recogniser.limits = AgeLimits(*limits)
    request_id = uuid.uuid4().hex
    reply = send(in_force, "/p/x", key, X_Request_Id=request_id)
    assert read_kind(reply) == (503, "not_ready", "not-run")
    assert reply.headers["retry-after"] == "1"
    assert count_runs(in_force, request_id) == 0


# Guards against keys that callers still send after the organisations were taken away.
def test_upstreams_get_no_key_after_organisations_were_in_force(in_force):
    put(in_force, None)
    headers = read_headers(send(in_force, "/p/x", KEY, X_Organisation="acme"))
    assert headers.keys().isdisjoint({"x-organisation-key", "x-organisation"})
    assert "organisations" not in in_force.client.get_status()


def test_no_organisation_means_that_nobody_has_a_key(in_force):
    put(in_force, [])
    assert read_kind(send(in_force, "/p/x"))[:2] == (401, "key_unknown_caller")
    assert send(in_force, "/public/x").status == 200


def test_the_priority_of_the_organisation_comes_before_that_of_the_route(in_force, monkeypatch):
    priorities = []
    pool = in_force.instance.proxy.view.pools["p"]
    request_slot = pool.request_slot

    def record(now, ticket, may_wait):
        priorities.append(ticket.priority)
        request_slot(now, ticket, may_wait)

    monkeypatch.setattr(pool, "request_slot", record)
    for key in (KEY, OTHER_KEY):
        assert send(in_force, "/p/x", key).status == 200
    assert priorities == [3, 0]


def test_the_response_to_an_idempotency_key_is_not_shown_to_another_organisation(in_force):
    """Two organisations may choose the same idempotency key."""
    key = uuid.uuid4().hex
    first = send(in_force, "/one/x", method="POST", Idempotency_Key=key)
    again = send(in_force, "/one/x", method="POST", Idempotency_Key=key)
    other = send(in_force, "/one/x", OTHER_KEY, method="POST", Idempotency_Key=key)
    assert again.headers["idempotent-replayed"] == "true"
    assert again.body == first.body
    assert "idempotent-replayed" not in other.headers
    assert read_headers(other)["x-organisation"] == "other"


class HeldRequest:
    """A request in another thread."""

    def __init__(self, site: Site, path: str, **headers: str) -> None:
        self.reply = None
        self.request_id = uuid.uuid4().hex
        fields = {"method": "POST" if path.startswith("/one") else "GET", **headers}

        def run() -> None:
            self.reply = send(site, path, X_Request_Id=self.request_id, **fields)

        self._thread = threading.Thread(target=run)
        self._thread.start()

    def finish(self):
        self._thread.join(15)
        return self.reply


REMOVALS = ["key removed", "organisation removed", "tables too old"]


def remove(site: Site, removal: str) -> None:
    if removal == "key removed":
        put(site, [{**ORGANISATIONS[0], "keys": ["acme-key-2"]}])
    elif removal == "organisation removed":
        put(site, [ORGANISATIONS[1]])
    else:
        site.instance.proxy.recogniser.limits = AgeLimits(1.5, 1e-9)


@pytest.mark.parametrize("removal", REMOVALS)
class TestTablesChangedDuringARequest:
    """A request that is not yet sent must not be sent any more; one that is sent goes on."""

    def test_while_it_waits_for_a_slot(self, in_force, removal):
        upstream = in_force.upstreams["one"]
        upstream.set_behaviour("one-1", stalled=1)
        blocker = HeldRequest(in_force, "/one/blocker")
        assert wait_until(lambda: upstream.describe("one-1")["busy"] > 0)
        waiting = HeldRequest(in_force, "/one/waiting")
        balancer = in_force.instance.proxy.view.pools["one"].balancer
        assert wait_until(lambda: len(balancer.queue) == 1)
        remove(in_force, removal)
        upstream.set_behaviour("one-1", stalled=0)
        assert blocker.finish().status == 200
        assert read_kind(waiting.finish()) == (503, "not_ready", "not-run")
        assert count_runs(in_force, waiting.request_id) == 0

    def test_before_its_first_attempt(self, in_force, removal, monkeypatch):
        self._remove_at_check(in_force, removal, monkeypatch, 1)
        request = HeldRequest(in_force, "/p/x")
        assert read_kind(request.finish()) == (503, "not_ready", "not-run")
        assert count_runs(in_force, request.request_id) == 0

    def test_while_it_connects(self, in_force, removal, monkeypatch):
        """The upstream has refused nothing, and must not be left out for it."""
        upstreams = in_force.instance.proxy.view.pools["p"].balancer.upstreams
        sheds = {name: upstream.sheds for name, upstream in upstreams.items()}
        self._remove_at_check(in_force, removal, monkeypatch, 2)
        request = HeldRequest(in_force, "/p/x")
        assert read_kind(request.finish()) == (503, "not_ready", "not-run")
        assert count_runs(in_force, request.request_id) == 0
        assert {name: upstream.sheds for name, upstream in upstreams.items()} == sheds
        assert all(upstream.in_flight == 0 for upstream in upstreams.values())

    def test_before_a_retry(self, in_force, removal, monkeypatch):
        self._remove_at_check(in_force, removal, monkeypatch, 3)
        request = HeldRequest(in_force, "/p/x", X_Fault="close-after-run")
        assert read_kind(request.finish())[1:] == ("not_ready", "unknown")
        assert count_runs(in_force, request.request_id) == 1

    def test_before_a_retry_of_what_was_not_run(self, in_force, removal, monkeypatch):
        self._remove_at_check(in_force, removal, monkeypatch, 3)
        request = HeldRequest(in_force, "/p/x", X_Fault="shed")
        assert read_kind(request.finish()) == (503, "not_ready", "not-run")

    def test_before_a_hedge(self, in_force, removal, monkeypatch):
        self._remove_at_check(in_force, removal, monkeypatch, 3)
        request = HeldRequest(in_force, "/hedged/x", X_Fault="slow=600")
        assert request.finish().status == 200
        assert count_runs(in_force, request.request_id) == 1

    def test_while_the_response_is_relayed(self, in_force, removal):
        size = 8_000_000
        host, port = in_force.instance.caller_server.address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request("GET", f"/document/{size}", headers={"X-Organisation-Key": KEY})
        response = connection.getresponse()
        first = response.read(1000)
        remove(in_force, removal)
        assert response.status == 200
        assert len(first) + len(response.read()) == size
        connection.close()

    @staticmethod
    def _remove_at_check(site, removal, monkeypatch, number: int) -> None:
        """Change the tables just before a check of a request's recognition."""
        checks = itertools.count(1)
        holds = Recognition.holds

        def change_and_check(recognition: Recognition, now: float) -> bool:
            if next(checks) == number:
                remove(site, removal)
            return holds(recognition, now)

        monkeypatch.setattr(Recognition, "holds", change_and_check)


def test_a_change_of_another_organisation_stops_no_request(in_force):
    request = HeldRequest(in_force, "/p/x", X_Fault="first:slow=300")
    assert wait_until(lambda: count_runs(in_force, request.request_id) == 1)
    put(in_force, [ORGANISATIONS[0], {"name": "third", "keys": ["new"]}])
    assert request.finish().status == 200


def call(site: Site, method: str, path: str, document=None):
    http_pool = urllib3.PoolManager(retries=False, timeout=10)
    url = f"http://{site.instance.admin_server.address}{path}"
    return http_pool.request(method, url, body=document and json.dumps(document))


def test_operators_see_the_organisations_and_no_key(in_force, capsys):
    send(in_force, "/p/x", OTHER_KEY)
    send(in_force, "/p/x", OTHER_KEY, X_Fault="shed")
    document = json.loads(call(in_force, "GET", "/v1/organisations").data)
    acme, other = document["organisations"]
    assert (acme["name"], acme["keys"], acme["priority"]) == ("acme", 2, 3)
    assert (acme["rate_per_s"], acme["burst"]) == (150, 9)
    assert other["requests"]["served"] >= 1
    assert other["requests"]["refused"] >= 1
    assert document["in_force"]
    address = in_force.instance.admin_server.address
    assert main(["organisations", "list", "--admin", f"{address},{address}"]) == EXIT_OK
    assert main(["status", "--admin", address]) == EXIT_OK
    printed = capsys.readouterr().out
    assert printed.count("acme: 2 keys, priority 3, limit 150/s") == 2
    assert "requests with keys are served" in printed
    metrics = call(in_force, "GET", "/metrics").data.decode()
    assert 'organisation_requests_total{organisation="other",result="served"}' in metrics
    for path in ("/v1/organisations", "/v1/status", "/metrics", "/v1/report"):
        assert b"-key-" not in call(in_force, "GET", path).data


def test_the_keys_are_read_back_only_as_part_of_the_tables(in_force):
    document = json.loads(call(in_force, "GET", "/v1/tables").data)
    assert document["organisations"] == ORGANISATIONS


def test_no_key_is_logged_whatever_happens(in_force, caplog):
    """Log lines, problems and exceptions are read by many."""
    caplog.set_level(logging.DEBUG)
    in_force.instance.proxy.recogniser._refused_keys = RefusedKeys()
    secret = "very-secret-key"
    put(in_force, [{"name": "acme", "keys": [secret]}])
    for key in (secret, f"{secret}x", f"{secret}, {secret}"):
        for path, fault in (("/p/x", ""), ("/public/x", ""), ("/p/x", "close-after-run")):
            send(in_force, path, key, X_Fault=fault)
    host, port = in_force.instance.caller_server.address.split(":")
    for line in (f" X-Organisation-Key: {secret}", f"X-Organisation-Key: {secret}\rb"):
        with socket.create_connection((host, int(port)), timeout=10) as connection:
            connection.sendall(f"GET /p/x HTTP/1.1\r\n{line}\r\n\r\n".encode())
            assert secret.encode() not in connection.recv(65536)
    rows = [{"name": "a", "keys": [secret, f"{secret} "]}, {"name": "a", "keys": [secret]}]
    refused = call(
        in_force,
        "PUT",
        "/v1/tables",
        {"version": next(_numbers), "routes": [], "pools": [], "organisations": rows},
    )
    assert refused.status == 422
    assert secret.encode() not in refused.data
    events = {record.msg for record in caplog.records}
    assert {"request", "refused_request", "tables_in_force", "keys_refused"} <= events
    for record in caplog.records:
        assert secret not in str(record.__dict__), record.msg
