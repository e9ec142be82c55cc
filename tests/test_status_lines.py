"""Status lines of upstreams that are none, and unusual ones that are."""

from __future__ import annotations

import random
import re
import socket

import pytest

from foxtaildrum.balancing import samples
from foxtaildrum.balancing.pools import UpstreamPool
from foxtaildrum.balancing.probes import _request_load
from foxtaildrum.balancing.samples import Sampler
from foxtaildrum.clock import read_clock
from foxtaildrum.fleet.upstreams import READY, Entry
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.records import Announcement, Pool
from foxtaildrum.requests.dialects import get_dialect
from foxtaildrum.requests.transport import (
    HEAD_MALFORMED,
    OutgoingRequest,
    TransportError,
    open_http,
)

from .links import Cut
from .sites import Site, open_site
from .standins.scripted import Arrival, Script, ScriptedUpstream
from .test_lost_links import POOLS, ROUTES, LinkedFleet
from .test_platform import load_module

FORGED_BODY = b"forged"
HEALTH_PATH = "/healthz"
LOAD_PATH = "/load"
READ_TIMEOUT_S = 5.0
# Lines as a caller may get them: text and spaces, without any other control character.
HEAD_LINE = re.compile(rb"[\t -~\x80-\xff]*")

INVALID_LINES = [
    b"HTTP/1.1 000 Odd",
    b"HTTP/1.1 099 Odd",
    b"HTTP/1.1 20 Odd",
    b"HTTP/1.1 2000 Odd",
    b"HTTP/1.1 -200 Odd",
    b"HTTP/1.1 \xb2\xb0\xb0 Odd",
    b"HTTP/1.1 \xb200 Odd",
    b"HTTP/1.1 101 Odd",
    b"HTTP/9.9 200 Odd",
    b"HTTP/2 200 Odd",
    b"200 Odd",
    b"HTTP/1.1",
    b"HTTP/1.1 600 Odd",
    b"HTTP/1.1 999 Odd",
    b"HTTP/1.1 2_00 Odd",
    b"HTTP/1.1 +200 Odd",
    b"HTTP/1.1 0200 Odd",
    b"HTTP/1.1 4_04 Odd",
    b"HTTP/1.1 +503 Odd",
    b"HTTP/1.1 200.0 Odd",
    b"HTTP/1.1 2e2 Odd",
    b"HTTP/1.1 200Odd",
    b"HTTP/1.1 200,200 Odd",
    b"HTTP/1.1\xa0200 Odd",
    b"HTTP/1.1 200\x85Odd",
    b"HTTP/1.1\x1c200 Odd",
    b"HTTP/1.1\x0c200\x0bOdd",
    b"HTTP/1.1\r200 Odd",
    b"HTTP/1.1 200\rOdd",
    b"HTTP/1.1 200 Odd\rSet-Cookie: a=b",
    b"HTTP/1.1 200 Odd\r\rHTTP/1.1 200 Odd",
    b"HTTP/1.1 200 Odd\r",
    b"HTTP/1.1 200 Odd\x00",
    b"HTTP/1.1 200 \x1b[2JOdd",
    b"HTTP/1.1 200 Odd\x7f",
    b"HTTP/1.1 404 Odd\x0b",
]

UNUSUAL_LINES = [
    (b"HTTP/1.1 200", 200),
    (b"HTTP/1.1 200 ", 200),
    (b"HTTP/1.1  200  Two spaces", 200),
    (b"HTTP/1.1\t200\tTabs", 200),
    (b"HTTP/1.0 200 Older", 200),
    (b"HTTP/1.1 200 Tr\xe8s bien", 200),
    (b"HTTP/1.1 200 With\ttab", 200),
    (b"HTTP/1.1 200 200", 200),
    (b"HTTP/1.1 299 Unassigned", 299),
    (b"HTTP/1.1 499 Unassigned", 499),
    (b"HTTP/1.1 599 Last", 599),
]


def describe(line: bytes) -> str:
    return repr(line)[2:-1]


def build_answer(line: bytes, arrival: Arrival) -> bytes:
    """Return a whole response with the identifier and the proof, below ``line``."""
    lines = [
        line,
        b"X-Request-Id: " + arrival.request_id.encode(),
        b"Foxtaildrum-Attempt: " + arrival.headers.get("foxtaildrum-attempt", "").encode(),
        b"X-Response-Signature: proof",
        b"Content-Length: %d" % len(FORGED_BODY),
    ]
    return b"\r\n".join([*lines, b"", FORGED_BODY])


def send(site: Site, method: str) -> bytes:
    """Return all bytes that a caller gets for one request on its own connection."""
    host, port = site.instance.caller_server.address.split(":")
    body = b"order" if method == "POST" else b""
    lines = [
        f"{method} /x HTTP/1.1".encode(),
        b"Host: site",
        b"Connection: close",
        b"Content-Length: %d" % len(body),
    ]
    with socket.create_connection((host, int(port)), READ_TIMEOUT_S) as sock:
        sock.sendall(b"\r\n".join([*lines, b"", body]))
        return b"".join(iter(lambda: sock.recv(65_536), b""))


def check_head(answer: bytes) -> None:
    """Check that the head of an answer has no control character but its line ends."""
    head = answer.partition(b"\r\n\r\n")[0]
    assert all(HEAD_LINE.fullmatch(line) for line in head.split(b"\r\n")), head


def check_named_malformed(upstream: ScriptedUpstream) -> None:
    """Check that the log would name the head of the upstream's answer as malformed."""
    connection = open_http(upstream.address, 1.0)
    connection.send(OutgoingRequest("GET", "/", {"Host": "x"}, None, 0, "id"), 1.0)
    with pytest.raises(TransportError) as caught:
        connection.read_head(READ_TIMEOUT_S)
    connection.close()
    upstream.close()
    assert (caught.value.kind, caught.value.reason) == (
        ErrorKind.ANSWER_INVALID,
        HEAD_MALFORMED,
    )


@pytest.fixture
def start(tmp_path):
    """Return a function that starts an instance and an upstream that sends one line."""
    load_module("dialect")
    upstreams = []
    with open_site(tmp_path, dialect="platform") as site:

        def start(line: bytes) -> tuple[Site, ScriptedUpstream]:
            site.apply("pools", [{"name": "p"}])
            site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
            upstream = ScriptedUpstream(lambda arrival: Script(build_answer(line, arrival)))
            upstreams.append(upstream)
            fields = {"availability_zone": "", "state": "ready", "sequence": 1}
            site.announce("u-1", "p", upstream.port, **fields)
            return site, upstream

        yield start
        for upstream in upstreams:
            upstream.close()


# Guards against a status that no upstream stated: callers got 200 for "2_00", "+200" and
# "0200", got 600 and 999 as they stood, and 500 for a carriage return in the reason.
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("line", INVALID_LINES, ids=describe)
def test_a_line_that_is_no_status_line_is_no_answer(start, line, method):
    site, upstream = start(line)
    answer = send(site, method)
    assert answer.startswith(b"HTTP/1.1 502 "), answer
    assert FORGED_BODY not in answer
    check_head(answer)
    assert method == "GET" or upstream.count_arrivals("/x") == 1


# Guards against a reader that is stricter than servers are: the reason may be missing, with the
# space before it, and any status from 200 to 599 is an answer.
@pytest.mark.parametrize(("line", "status"), UNUSUAL_LINES, ids=lambda v: repr(v))
def test_an_unusual_status_line_is_an_answer(start, line, status):
    site, _ = start(line)
    answer = send(site, "POST")
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer
    assert answer.endswith(FORGED_BODY)
    check_head(answer)


# Guards against a log that doesn't tell why an answer was refused.
@pytest.mark.parametrize("line", INVALID_LINES, ids=describe)
def test_a_line_that_is_no_status_line_is_named_in_the_log(line):
    upstream = ScriptedUpstream(lambda arrival: Script(build_answer(line, arrival)))
    check_named_malformed(upstream)


class CheckedPool:
    """A pool with one upstream, whose status check and load path answer with one line."""

    def __init__(self, line: bytes) -> None:
        load_module("dialect")
        self.dialect = get_dialect("platform")
        self.leaving: list[str] = []
        self.upstream = ScriptedUpstream(lambda _: Script(self._build_answer(line)))
        record = Pool(name="p", health_path=HEALTH_PATH, load_path=LOAD_PATH)
        self.pool = UpstreamPool(
            record, "zone", 4, open_http, self.leaving.append, random.Random(1)
        )
        announcement = Announcement(
            pool="p", address=self.upstream.address, availability_zone="zone", slots=4
        )
        entry = Entry("u-1", announcement, READY, "me", 1, False, 1e12)
        self.pool.update_members(read_clock(), [entry])
        self.pool.set_status_check_rate(1000.0, 1)
        self.pool.choose_samples(read_clock() - 10.0, frozenset(), 0.0)

    @property
    def known(self):
        return self.pool.balancer.upstreams["u-1"]

    def _build_answer(self, line: bytes) -> bytes:
        lines = [
            line,
            b"X-Instance-Id: u-1",
            b"X-Server-Load: 3,1,4,100",
            b"Server-Leaving: 1",
            b"Server-Limit: 5",
            b"Retry-After: 60",
            b"Content-Length: 0",
        ]
        return b"\r\n".join([*lines, b"", b""])


@pytest.fixture
def check(monkeypatch):
    """Return a function that builds a pool whose upstream answers checks with one line."""
    # A busy machine must not turn an answer into none.
    for name in ("SAMPLE_TIMEOUT_S", "CONNECT_TIMEOUT_S"):
        monkeypatch.setattr(samples, name, READ_TIMEOUT_S)
    pools = []

    def check(line: bytes) -> CheckedPool:
        pools.append(CheckedPool(line))
        return pools[-1]

    yield check
    for pool in pools:
        pool.upstream.close()


# Guards against load, rest, rate limits and leaves taken from something that is no response.
@pytest.mark.parametrize("line", INVALID_LINES, ids=describe)
def test_a_status_check_without_a_status_line_states_nothing(check, line):
    checked = check(line)
    Sampler(checked.pool, checked.dialect).sample(frozenset(), 0.0)
    assert checked.upstream.count_arrivals(HEALTH_PATH)
    assert checked.known.reported_at == float("-inf")
    assert checked.known.limit_reported_at == float("-inf")
    assert checked.known.rests_until == float("-inf")
    assert checked.leaving == []


# Shows that the test above would notice what a status check states.
def test_a_status_check_with_a_status_line_is_recorded(check):
    checked = check(b"HTTP/1.1 503 Busy")
    Sampler(checked.pool, checked.dialect).sample(frozenset(), 0.0)
    assert checked.known.reported_at > float("-inf")
    assert checked.known.rests_until > read_clock()
    assert checked.leaving == ["u-1"]


# Guards against a load report taken from something that is no response.
@pytest.mark.parametrize("line", INVALID_LINES, ids=describe)
def test_a_probe_without_a_status_line_reports_no_load(check, line):
    checked = check(line)
    with pytest.raises(TransportError):
        _request_load(checked.pool, checked.known, checked.dialect)


# Guards against an odd status that passes from an upstream through another instance.
def test_a_line_that_is_no_status_line_is_no_answer_to_a_forwarded_request(tmp_path):
    fleet = LinkedFleet(tmp_path)
    upstreams = []
    pools, routes = [*POOLS], [*ROUTES]
    try:
        for number, line in enumerate(INVALID_LINES):
            name = f"odd{number}"
            upstream = ScriptedUpstream(lambda a, line=line: Script(build_answer(line, a)))
            upstreams.append(upstream)
            fleet.control.announce(name, name, upstream.port)
            for links in fleet.links.values():
                links.addresses.add(upstream.address)
            pools.append({"name": name})
            route = {"name": name, "path_prefix": f"/order/{name}/", "pool": name}
            routes.append({**route, "type": "unsafe", "timeout_ms": 4000})
        fleet.control.apply("pools", pools)
        fleet.control.apply("routes", routes)
        fleet.cut(Cut.HANG, "e1")
        assert fleet.wait_served("e1")
        forwarded = fleet.count_forwarded()
        replies = {
            line: fleet.send("e1", f"/order/odd{number}/1")
            for number, line in enumerate(INVALID_LINES)
        }
        assert fleet.count_forwarded() - forwarded >= len(INVALID_LINES)
        odd = {line: (r.status, r.body) for line, r in replies.items() if r.status != 502}
        assert not odd
        assert not [line for line, r in replies.items() if FORGED_BODY in r.body]
        # A request that is not idempotent was sent once, whatever was answered.
        assert [u.count_arrivals(f"/order/odd{n}/1") for n, u in enumerate(upstreams)] == [
            1
        ] * len(upstreams)
    finally:
        fleet.close()
        for upstream in upstreams:
            upstream.close()
