"""Pipelined requests over real sockets: concurrency, order, and faults at each position."""

from __future__ import annotations

import json
import socket
import threading
import time
import uuid

import pytest

from foxtaildrum.requests.early import EarlyResponse

from .pipelining import PipeliningCaller, build_request
from .sites import Site, open_site
from .standins.processes import wait_until

PER_CONNECTION = 4
# Less than two connections could start ahead.
TOTAL = 2 * (PER_CONNECTION - 1) - 1
BUFFER_BYTES = 200_000
# Streamed, as it is larger than what is read before a relay starts, and small enough to wait.
STREAMED_BYTES = 100_000
LARGE_BYTES = 3_000_000
POSITIONS = range(PER_CONNECTION)
QUIET_S = 0.3


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with open_site(
        tmp_path_factory.mktemp("pipelines"),
        pipeline_per_connection=PER_CONNECTION,
        pipeline_total=TOTAL,
        pipeline_buffer_bytes=BUFFER_BYTES,
    ) as site:
        set_up(site)
        yield site


@pytest.fixture
def caller(site):
    with PipeliningCaller(site.instance.caller_server.address) as caller:
        yield caller
    assert wait_until(lambda: is_quiet(site))


def set_up(site: Site) -> None:
    site.apply("pools", [{"name": "p", "retry_budget_ratio": 1.0}])
    site.apply(
        "routes",
        [
            {"name": "p", "path_prefix": "/", "pool": "p", "timeout_ms": 10_000},
            {"name": "order", "path_prefix": "/order", "pool": "p", "idempotent": False},
        ],
    )
    site.add_upstreams("p", 3, service_ms=1, fixed=True)


def is_quiet(site: Site) -> bool:
    """Return whether nothing is left of earlier requests."""
    instance = site.instance
    is_held = instance.caller_server.pipelining.ahead or instance.caller_account.held_bytes
    return not is_held and count_busy(site) == 0


def count_busy(site: Site) -> int:
    process = site.upstreams["p"]
    return sum(process.describe(u)["busy"] for u in process.ports)


def count_early(site: Site) -> int:
    """Return how many requests have started ahead of their turn and wait for it."""
    channels = site.instance.caller_server.list_channels()
    return sum(isinstance(r, EarlyResponse) for c in channels for r in c.requests[1:])


def count_runs(site: Site, request_id: str) -> int:
    return site.upstreams["p"].count_runs().get(request_id, 0)


def read_targets(replies) -> list[str]:
    return [json.loads(reply.body)["target"] for reply in replies]


class Stall:
    """Upstreams hold all responses back while the block runs."""

    def __init__(self, site: Site) -> None:
        self._process = site.upstreams["p"]

    def __enter__(self) -> None:
        self._set(True)

    def __exit__(self, *exception: object) -> None:
        self._set(False)

    def _set(self, stalled: bool) -> None:
        for upstream_id in self._process.ports:
            self._process.set_behaviour(upstream_id, stalled=stalled)


def test_requests_run_at_once_within_the_bound_and_are_answered_in_order(site, caller):
    targets = [f"/x{n}" for n in range(3 * PER_CONNECTION)]
    with Stall(site):
        caller.send(*map(build_request, targets))
        assert wait_until(lambda: count_busy(site) == PER_CONNECTION)
        time.sleep(QUIET_S)
        assert count_busy(site) == PER_CONNECTION
    assert read_targets(caller.read_replies(len(targets))) == targets


# Guards against a response that is sent as soon as it is ready.
def test_responses_that_are_ready_early_wait_for_those_before_them(site, caller):
    delays = [300, 1, 150, 1]
    requests = [build_request(f"/x{ms}", X_Fault=f"slow={ms}") for ms in delays]
    caller.send(*requests)
    assert read_targets(caller.read_replies(4)) == [f"/x{ms}" for ms in delays]


def test_the_instance_starts_no_more_than_its_bound_ahead(site, caller):
    targets = [f"/x{n}" for n in range(PER_CONNECTION)]
    requests = [build_request(target, X_Fault="slow=500") for target in targets]
    with PipeliningCaller(site.instance.caller_server.address) as second:
        for connection in (caller, second):
            connection.send(*requests)
        assert wait_until(lambda: count_early(site) == TOTAL)
        for connection in (caller, second):
            assert read_targets(connection.read_replies(len(targets))) == targets


# Guards against an order that overtakes a request before it, or is overtaken. The route makes
# a GET an order, too.
@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize("position", POSITIONS)
def test_a_request_that_is_not_idempotent_waits_and_is_waited_for(
    site, caller, position, method
):
    target = "/order" if method == "GET" else "/post"
    requests = [build_request(f"/x{n}") for n in POSITIONS]
    requests[position] = build_request(target, method, Content_Length="0")
    with Stall(site):
        caller.send(*requests)
        expected = position or 1
        assert wait_until(lambda: count_busy(site) == expected)
        time.sleep(QUIET_S)
        assert count_busy(site) == expected
    targets = [f"/x{n}" for n in POSITIONS]
    targets[position] = target
    assert read_targets(caller.read_replies(len(requests))) == targets


# Guards against a request that is refused because those before it took long.
def test_waiting_for_the_turn_is_not_waiting_for_a_thread(site, caller):
    caller.send(build_request("/a", X_Fault="slow=600"), build_request("/order", "POST"))
    assert [reply.status for reply in caller.read_replies(2)] == [200, 200]


@pytest.mark.parametrize("position", POSITIONS)
def test_a_failed_response_does_not_affect_the_others(site, caller, position):
    requests = [build_request(f"/x{n}") for n in POSITIONS]
    requests[position] = build_request("/failed", X_Fault="status=500")
    caller.send(*requests, build_request("/last"))
    statuses = [200] * len(requests)
    statuses[position] = 500
    assert [r.status for r in caller.read_replies(len(requests))] == statuses
    assert read_targets([caller.read_reply()]) == ["/last"]


@pytest.mark.parametrize("position", POSITIONS)
def test_nothing_starts_behind_a_request_that_closes(site, caller, position):
    requests = [build_request(f"/x{n}") for n in POSITIONS]
    requests[position] = build_request(f"/x{position}", Connection="close")
    unread = uuid.uuid4().hex
    caller.send(*requests, build_request("/unread", X_Request_Id=unread))
    replies = caller.read_replies(position + 1)
    assert read_targets(replies) == [f"/x{n}" for n in range(position + 1)]
    closes = [reply.headers.get("connection") for reply in replies]
    assert closes == [None] * position + ["close"]
    assert caller.is_closed()
    assert count_runs(site, unread) == 0


# Guards against a 499, a 4xx of the instance itself, for a caller that has closed only its
# sending side and still reads. The loop of the server is woken late, as on a busy machine.
@pytest.mark.parametrize("count", [PER_CONNECTION + 1, 2 * PER_CONNECTION])
def test_a_caller_that_closes_its_sending_side_gets_no_error_of_its_own(
    site, caller, monkeypatch, count
):
    with Stall(site):
        caller.send(*[build_request(f"/x{n}") for n in range(count)])
        assert wait_until(lambda: count_busy(site) == PER_CONNECTION)
        channel = site.instance.caller_server.list_channels()[0]
        monkeypatch.setattr(channel.server, "pull_trigger", lambda *arguments: None)
        caller.sock.shutdown(socket.SHUT_WR)
        statuses = {reply.status for reply in caller.read_replies(count)}
        monkeypatch.undo()
    assert statuses <= {0, 200}


# Guards against a close that is announced, or done, before the last response that has started:
# a response in chunks ends its connection.
@pytest.mark.parametrize("position", POSITIONS)
def test_a_response_that_closes_waits_for_those_that_have_started(site, caller, position):
    requests = [build_request(f"/x{n}", X_Fault="slow=200") for n in POSITIONS]
    document = build_request(f"/document/{STREAMED_BYTES}", X_Fault="chunked")
    requests[position] = document
    with Stall(site):
        caller.send(*requests)
        assert wait_until(lambda: count_busy(site) == PER_CONNECTION)
    replies = caller.read_replies(PER_CONNECTION)
    assert [reply.status for reply in replies] == [200] * PER_CONNECTION
    assert len(replies[position].body) == STREAMED_BYTES
    closes = [reply.headers.get("connection") for reply in replies]
    assert closes == [None] * (PER_CONNECTION - 1) + ["close"]
    assert caller.is_closed()


@pytest.mark.parametrize("size", [STREAMED_BYTES, LARGE_BYTES])
@pytest.mark.parametrize("position", POSITIONS)
def test_a_slow_or_large_response_does_not_affect_the_others(site, caller, position, size):
    requests = [build_request(f"/x{n}") for n in POSITIONS]
    requests[position] = build_request(f"/document/{size}", X_Fault="slow=300")
    caller.send(*requests, build_request("/last"))
    replies = caller.read_replies(len(requests))
    assert replies[position].body == b"d" * size
    del replies[position]
    assert read_targets(replies) == [f"/x{n}" for n in POSITIONS if n != position]
    assert read_targets([caller.read_reply()]) == ["/last"]


# Guards against memory that grows with the responses that wait.
def test_responses_that_wait_hold_no_more_than_the_bound(site, caller):
    documents = [build_request(f"/document/{LARGE_BYTES}") for _ in range(3)]
    with Stall(site):
        caller.send(build_request("/a"))
        assert wait_until(lambda: count_busy(site) == 1)
    assert caller.read_reply().status == 200
    caller.send(build_request("/a", X_Fault="slow=700"), *documents)
    channels = site.instance.caller_server.list_channels()
    most_bytes = 0
    deadline = time.monotonic() + 0.6
    while time.monotonic() < deadline:
        most_bytes = max([most_bytes, *(c.early_bytes for c in channels)])
        time.sleep(0.01)
    assert 0 < most_bytes <= BUFFER_BYTES
    replies = caller.read_replies(4)
    assert [len(reply.body) for reply in replies[1:]] == [LARGE_BYTES] * 3


# Guards against a broken response that is relayed as complete, or ends the others: what waits
# for its turn can still be replaced.
@pytest.mark.parametrize("position", range(1, PER_CONNECTION))
def test_a_cut_response_that_waits_becomes_an_error(site, caller, position):
    requests = [build_request(f"/x{n}", X_Fault="slow=300") for n in POSITIONS]
    requests[position] = build_request(f"/document/{STREAMED_BYTES}", X_Fault="truncate")
    caller.send(*requests, build_request("/last"))
    replies = caller.read_replies(len(requests))
    cut = replies.pop(position)
    assert (cut.status, cut.outcome) == (502, "unknown")
    assert [reply.status for reply in replies] == [200] * (PER_CONNECTION - 1)
    assert read_targets([caller.read_reply()]) == ["/last"]


@pytest.mark.parametrize("position", POSITIONS)
def test_a_response_that_is_cut_while_it_is_sent_ends_the_connection(site, caller, position):
    requests = [build_request(f"/x{n}") for n in POSITIONS]
    requests[position] = build_request(f"/document/{LARGE_BYTES}", X_Fault="truncate")
    caller.send(*requests)
    replies = caller.read_replies(position)
    assert read_targets(replies) == [f"/x{n}" for n in range(position)]
    assert caller.read_reply().status == 0


@pytest.mark.parametrize("count", [1, PER_CONNECTION, 3 * PER_CONNECTION])
@pytest.mark.parametrize("position", POSITIONS)
def test_a_caller_that_disconnects_cancels_all_of_its_requests(site, position, count):
    """The caller reads the responses before the position, and leaves while the others run."""
    ids = [uuid.uuid4().hex for _ in range(count)]
    caller = PipeliningCaller(site.instance.caller_server.address)
    caller.send(*(build_request(f"/x{n}") for n in range(position)))
    assert len(read_targets(caller.read_replies(position))) == position
    caller.send(*(build_request("/x", X_Request_Id=i, X_Fault="slow=8000") for i in ids))
    running = min(count, PER_CONNECTION)
    assert wait_until(lambda: count_busy(site) == running)
    caller.close()
    assert wait_until(lambda: is_quiet(site), timeout_s=4.0)
    assert sum(count_runs(site, i) for i in ids) == running


@pytest.mark.parametrize("position", POSITIONS)
def test_a_stop_answers_all_that_have_started(tmp_path, position):
    """The stop begins when the responses before the position have been read."""
    bounds = {"pipeline_per_connection": PER_CONNECTION, "shutdown_grace_s": 8.0}
    with open_site(tmp_path, **bounds) as site:
        set_up(site)
        caller = PipeliningCaller(site.instance.caller_server.address)
        caller.send(*(build_request(f"/x{n}") for n in range(position)))
        assert len(read_targets(caller.read_replies(position))) == position
        count = PER_CONNECTION
        caller.send(
            *(build_request(f"/y{n}", X_Fault="slow=600") for n in range(count)),
            build_request("/order", "POST", X_Request_Id="behind"),
        )
        assert wait_until(lambda: count_busy(site) == count)
        stop = threading.Thread(target=site.instance.stop)
        stop.start()
        replies = caller.read_replies(count)
        assert read_targets(replies) == [f"/y{n}" for n in range(count)]
        closes = [reply.headers.get("connection") for reply in replies]
        assert closes == [None] * (count - 1) + ["close"]
        assert caller.is_closed()
        assert count_runs(site, "behind") == 0
        caller.close()
        stop.join()


def test_one_per_connection_serves_one_after_the_other(tmp_path):
    with open_site(tmp_path, pipeline_per_connection=1) as site:
        set_up(site)
        with PipeliningCaller(site.instance.caller_server.address) as caller, Stall(site):
            caller.send(*(build_request(f"/x{n}") for n in range(3)))
            assert wait_until(lambda: count_busy(site) == 1)
            time.sleep(QUIET_S)
            assert count_busy(site) == 1
