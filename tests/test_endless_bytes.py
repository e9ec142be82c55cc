"""Bytes without end, counted for the machine: memory, unread bytes of sockets, and files.

Limits are lowered so that few connections suffice. No test measures a time.
"""

from __future__ import annotations

import contextlib
import http.client
import os
import resource
import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from foxtaildrum.admin import client
from foxtaildrum.admin.client import AdminClient
from foxtaildrum.exceptions import AdminRequestError
from foxtaildrum.records import UpstreamNews

from .links import Cut
from .pipelining import PipeliningCaller, build_request
from .standins.endless import ENDLESS, GIVE_UP_S, EndlessUpstream, HeldMemory, send_ok
from .standins.flooding import flood_peer
from .standins.processes import InstanceProcess, pick_port, wait_until
from .test_lost_links import LinkedFleet

pytestmark = pytest.mark.alone

MIB = 1024 * 1024
MAX_HELD_BYTES = 6 * MIB
# Beside what is held: buffers of connections, threads and the allocator.
MEMORY_SLACK_BYTES = 24 * MIB
# What the admin interface may hold in addition.
ADMIN_MAX_HELD_BYTES = 32 * MIB
# Twice the longest response that a command reads.
MAX_GROWN_BYTES = 128 * MIB
TIMEOUT_MS = 1500
# More than the bounds of all servers together.
SENDERS = 18
PART = b"200000\r\n" + b"b" * (2 * MIB) + b"\r\n"
CHUNKED = b"Host: x\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER_TIMEOUT_S = 15.0
# One that declined is left out for up to 8 s; what can't be forwarded is refused at once.
MAX_FORWARDED = 2000
FLOODING_PEERS = 3
MESSAGES = 5000
RECORDS = 50
# Requests of one connection that run at once.
PIPELINED = 8


class EndlessSite:
    """An instance process with one route for each kind of endless answer."""

    def __init__(self, folder: Path, **settings: str) -> None:
        self.servers = {
            f"{name}_listen": f"127.0.0.1:{pick_port()}"
            for name in ("metrics", "forward", "peer")
        }
        self.instance = InstanceProcess(
            folder,
            "one",
            max_held_bytes=str(MAX_HELD_BYTES),
            max_body_bytes=str(64 * MIB),
            body_stall_s="2",
            probes_per_s="300",
            sample_size="2",
            pipeline_per_connection=str(PIPELINED),
            **self.servers,
            **settings,
        )
        self.servers["admin_listen"] = self.instance.admin_listen
        self.instance.wait_ready()
        self.upstreams = {kind: EndlessUpstream({"": ENDLESS[kind]}) for kind in ENDLESS}
        client = self.instance.client
        pools = [{"name": kind} for kind in ENDLESS]
        # Their upstreams answer requests, and status checks without end.
        checked = [f"checked-{kind}" for kind in ENDLESS]
        pools += [{"name": name, "health_path": "/healthz"} for name in checked]
        client.put_table("pools", pools, 0, "pools")
        routes = [
            {"name": name, "pool": name, "path_prefix": f"/{name}/", "timeout_ms": TIMEOUT_MS}
            for name in (*ENDLESS, *checked)
        ]
        client.put_table("routes", routes, 0, "routes")
        for kind in ENDLESS:
            responses = {"": send_ok, "/healthz": ENDLESS[kind]}
            self.upstreams[f"checked-{kind}"] = EndlessUpstream(responses)
        for name, upstream in self.upstreams.items():
            client.announce(
                name, {"pool": name, "address": f"127.0.0.1:{upstream.port}", "lease_s": 600}
            )
        listed = len(self.upstreams)
        assert wait_until(lambda: len(self.instance.status().get("upstreams", [])) == listed)
        self.base = self.measure()

    def measure(self) -> HeldMemory:
        return HeldMemory(self.instance.popen.pid)

    def close(self) -> None:
        self.instance.kill()
        for upstream in self.upstreams.values():
            upstream.close()


@pytest.fixture
def site(tmp_path, request):
    site = EndlessSite(tmp_path, **getattr(request, "param", {}))
    yield site
    site.close()


def measure_peak(
    measure: Callable[[], HeldMemory], base: HeldMemory, goes_on: Callable[[], bool]
) -> HeldMemory:
    """Return the most that was held while ``goes_on`` returned true, at least ``base``."""
    peak = base
    while goes_on():
        peak = max(peak, measure(), key=lambda held: held.total)
    return peak


class Caller(http.client.HTTPConnection):
    """Caller that asks for a response of one kind."""

    def __init__(self, site: EndlessSite, kind: str, version: int = 11) -> None:
        host, port = site.instance.listen.split(":")
        super().__init__(host, int(port), timeout=ANSWER_TIMEOUT_S)
        self._http_vsn, self._http_vsn_str = version, f"HTTP/1.{version % 10}"
        self.request("GET", f"/{kind}/x")


# Guards against a response that is written to a file without a bound before it is relayed, as
# callers without chunks need it.
@pytest.mark.parametrize("kind", ["chunks", "compressed"])
def test_a_response_that_is_read_before_it_is_relayed_is_bounded(site, kind):
    caller = Caller(site, kind, version=10)
    upstream = site.upstreams[kind]
    peak = measure_peak(
        site.measure, site.base, lambda: upstream.sent_bytes == 0 or upstream.open_connections
    )
    assert caller.getresponse().status == 502
    assert peak.total <= site.base.total + MAX_HELD_BYTES + MEMORY_SLACK_BYTES
    assert site.instance.status()["instance"]
    caller.close()


# Guards against answers to requests that are kept, and end the requests of other callers.
def test_answers_without_end_are_not_kept_and_harm_no_other_caller(site):
    callers = [Caller(site, kind) for kind in ENDLESS if kind != "rest"]
    # Read nothing, so that what arrives has to wait.
    peak = site.base
    while any(site.upstreams[kind].open_connections for kind in ("body", "chunks")):
        peak = max(peak, site.measure(), key=lambda held: held.total)
        caller = Caller(site, "checked-rest")
        assert caller.getresponse().status == 200
        caller.close()
    assert peak.total <= site.base.total + MAX_HELD_BYTES + MEMORY_SLACK_BYTES
    for caller in callers:
        caller.close()


# Guards against answers that are kept while they wait for the turn of their pipelined request.
@pytest.mark.parametrize("site", [{"write_deadline_s": "4"}], ids=[""], indirect=True)
def test_pipelined_answers_without_end_are_not_kept(site):
    # The first one of a connection holds up all that may run ahead of their turn.
    ahead = [kind for kind in ENDLESS if kind not in ("rest", "body")][: PIPELINED - 1]
    upstreams = [site.upstreams[kind] for kind in ("body", *ahead)]
    with contextlib.ExitStack() as stack:
        for _ in range(3):
            caller = stack.enter_context(PipeliningCaller(site.instance.listen))
            caller.send(*(build_request(f"/{kind}/x") for kind in ("body", *ahead)))
        assert wait_until(lambda: all(upstream.sent_bytes for upstream in upstreams))
        peak = measure_peak(
            site.measure, site.base, lambda: any(u.open_connections for u in upstreams)
        )
    assert peak.total <= site.base.total + MAX_HELD_BYTES + MEMORY_SLACK_BYTES
    assert site.instance.status()["instance"]


# Guards against answers that are kept because the callers who would read them have left.
@pytest.mark.parametrize("version", [10, 11])
def test_answers_without_end_to_callers_that_left_are_not_kept(site, version):
    kinds = ("body", "chunks", "compressed")
    callers = [Caller(site, kind, version) for kind in kinds for _ in range(4)]
    assert wait_until(lambda: all(site.upstreams[kind].sent_bytes for kind in kinds))
    for caller in callers:
        caller.close()
    peak = measure_peak(
        site.measure,
        site.base,
        lambda: any(site.upstreams[kind].open_connections for kind in kinds),
    )
    assert peak.total <= site.base.total + MAX_HELD_BYTES + MEMORY_SLACK_BYTES
    assert wait_until(lambda: site.measure().files == 0)


# Guards against answers to status checks that are kept, in time or late.
@pytest.mark.parametrize("kind", ENDLESS)
def test_answers_without_end_to_status_checks_are_not_kept(site, kind):
    peak = site.base
    for _ in range(20):
        caller = Caller(site, f"checked-{kind}")
        # The pool has no other upstream: a refusal is allowed, an answer that is lost is not.
        assert caller.getresponse().status in (200, 503)
        caller.close()
        peak = max(peak, site.measure(), key=lambda held: held.total)
    assert site.upstreams[f"checked-{kind}"].sent_bytes > MIB
    assert peak.total <= site.base.total + MEMORY_SLACK_BYTES


# Guards against answers to forwarded requests that are kept, or relayed without a stated
# result.
def test_answers_without_end_to_forwarded_requests_are_not_kept(tmp_path):
    fleet = LinkedFleet(tmp_path)
    fleet.cut(Cut.HANG, "e1")
    assert fleet.wait_served("e1")
    others = {kind: EndlessUpstream({"": ENDLESS[kind]}) for kind in ENDLESS}
    forwarder = fleet.sites["e1"].instance.proxy.forwarder
    forwarder.update_peers({k: f"127.0.0.1:{other.port}" for k, other in others.items()})
    forwarder.update_peers = lambda addresses: None
    peak = base = HeldMemory(os.getpid())
    statuses = set()
    for _ in range(MAX_FORWARDED):
        if all(other.sent_bytes for other in others.values()):
            break
        statuses.add(fleet.send("e1", "/lookup/1").status)
        peak = max(peak, HeldMemory(os.getpid()), key=lambda held: held.total)
    assert all(other.sent_bytes for other in others.values())
    assert all(status >= 500 for status in statuses)
    assert peak.total <= base.total + MEMORY_SLACK_BYTES
    for other in others.values():
        other.close()
    fleet.close()


# Guards against bytes that nobody reads on the idle connections to an upstream.
def test_bytes_after_a_response_are_not_kept(site):
    callers = [Caller(site, "rest") for _ in range(4)]
    for caller in callers:
        caller.getresponse().read()
        caller.close()
    assert wait_until(lambda: site.upstreams["rest"].sent_bytes > MIB)
    assert wait_until(lambda: site.measure().unread == 0)


@contextlib.contextmanager
def open_senders(address: str, line: bytes, count: int):
    """Yield connections that have sent unfinished bodies as far as the instance took them."""
    host, port = address.split(":")
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            sock = socket.create_connection((host, int(port)), timeout=ANSWER_TIMEOUT_S)
            stack.enter_context(sock)
            with contextlib.suppress(OSError):
                sock.sendall(line + CHUNKED + PART)
                sock.sendall(PART[:MIB])
        yield


# Guards against bodies that are kept without a bound by the servers beside that of callers: of
# announcements and operators' calls, of scrapes, and of forwarded requests.
@pytest.mark.parametrize(
    ("server", "line"),
    [
        ("admin", b"PUT /v1/upstreams/x HTTP/1.1\r\n"),
        ("admin", b"PUT /v1/tables HTTP/1.1\r\n"),
        ("metrics", b"GET /metrics HTTP/1.1\r\n"),
        ("forward", b"POST /x HTTP/1.1\r\n"),
    ],
)
def test_unfinished_bodies_hold_no_more_than_the_bound_at_any_server(site, server, line):
    is_admin = server == "admin"
    bound = ADMIN_MAX_HELD_BYTES if is_admin else MAX_HELD_BYTES
    count = 3 * SENDERS if is_admin else SENDERS
    with open_senders(site.servers[f"{server}_listen"], line, count):
        # Answered after all that was sent before it has been read.
        site.instance.client.announce("new", {"pool": "chunks", "address": "127.0.0.1:1"})
        held = site.measure()
        assert held.total <= site.base.total + bound + MEMORY_SLACK_BYTES
        assert wait_until(lambda: site.measure().files == 0)
        assert site.instance.client.is_ready()


# Guards against messages of other instances that are kept because they arrive faster than they
# are handled.
def test_messages_that_arrive_faster_than_they_are_handled_are_not_kept(tmp_path):
    listen = f"127.0.0.1:{pick_port()}"
    instance = InstanceProcess(tmp_path, "one", peer_listen=listen, control=f"one={listen}")
    instance.wait_ready()
    # Each record that can't be read costs a line of the log.
    news = UpstreamNews(entries=[["unreadable"] * 8] * RECORDS, token="")
    base = HeldMemory(instance.popen.pid)
    with ThreadPoolExecutor(FLOODING_PEERS) as pool:
        floods = [
            pool.submit(flood_peer, f"peer-{number}", listen, news, MESSAGES)
            for number in range(FLOODING_PEERS)
        ]
        peak = measure_peak(
            lambda: HeldMemory(instance.popen.pid),
            base,
            lambda: not all(flood.done() for flood in floods),
        )
    instance.kill()
    assert [flood.result() for flood in floods] == [None] * FLOODING_PEERS
    assert peak.total <= base.total + MEMORY_SLACK_BYTES


# Guards against a command of an operator that never ends, or takes all memory, because what it
# reached isn't an instance.
@pytest.mark.parametrize("kind", [kind for kind in ENDLESS if kind != "rest"])
def test_a_command_gives_up_an_answer_without_end(kind, monkeypatch):
    monkeypatch.setattr(client, "REQUEST_TIMEOUT_S", GIVE_UP_S / 16)
    upstream = EndlessUpstream({"": ENDLESS[kind]})
    before_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    errors = []

    def read_report() -> None:
        try:
            AdminClient(f"127.0.0.1:{upstream.port}").get_report()
        except (AdminRequestError, MemoryError) as error:
            errors.append(error)

    # Without a limit it would take all memory before the upstream gives up.
    command = threading.Thread(target=read_report, daemon=True)
    command.start()
    gave_up = wait_until(
        lambda: not command.is_alive() and upstream.open_connections == 0, GIVE_UP_S / 4
    )
    upstream.give_up()
    command.join()
    upstream.close()
    assert gave_up
    assert upstream.sent_bytes > 0
    assert [type(error) for error in errors] == [AdminRequestError]
    grown_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kib
    assert grown_kib * 1024 <= MAX_GROWN_BYTES
