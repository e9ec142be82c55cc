"""Status checks of upstreams just before one of them is chosen."""

from __future__ import annotations

import random
import socket
from types import SimpleNamespace

import pytest

from foxtaildrum.balancing.loads import LoadReport, parse_load_figures
from foxtaildrum.balancing.pools import UpstreamPool
from foxtaildrum.balancing.samples import Sampler
from foxtaildrum.fleet.upstreams import READY, Entry
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.records import Announcement, Pool
from foxtaildrum.requests.averages import RouteAverages
from foxtaildrum.requests.connections import MAX_LATE_S
from foxtaildrum.requests.dialects import Dialect
from foxtaildrum.requests.transport import CHUNK_BYTES, TransportError, read_clock

LOCAL_ZONE, REMOTE_ZONE = "here", "there"


class FigureDialect(Dialect):
    upstream_id_header = "Name"

    def read_load(self, headers) -> LoadReport | None:
        return parse_load_figures(headers.get("Load", ""))


class FakeConnection:
    """Connection whose upstream answers a status check with ``answer``, or never if None."""

    accepts_trailing_bytes = accepts_close_delimited = states_response_id = False

    def __init__(self, answer: dict[str, str] | None) -> None:
        self.answer = answer
        self.local_end, self.remote_end = socket.socketpair()
        self.reusable = False
        self.closed = False
        self.sent: list[str] = []

    def send(self, request, timeout_s: float) -> None:
        self.sent.append(request.target)
        if self.answer is not None:
            self.remote_end.send(b"x")

    def fileno(self) -> int:
        return self.local_end.fileno()

    def read_head(self, timeout_s: float):
        self.local_end.recv(1)
        return SimpleNamespace(status=200, all_headers=self.answer)

    def read_body(self, until: float, is_cancelled=None):
        self.reusable = True
        return iter(())

    def close(self) -> None:
        self.closed = True


class SampledPool:
    """A pool whose upstreams give preset answers; the one named ``far`` is in another zone.

    An answer of None is never sent; an empty one stands for a refused connection.
    """

    def __init__(self, **answers: dict[str, str] | None) -> None:
        self.answers = answers
        self.times_out = False
        self.opened: dict[str, FakeConnection] = {}
        record = Pool(name="p", health_path="/healthz")
        self.pool = UpstreamPool(
            record, LOCAL_ZONE, 4, self.open, lambda upstream_id: None, random.Random(1)
        )
        entries = []
        for number, name in enumerate(answers):
            announcement = Announcement(
                pool="p",
                address=f"127.0.0.1:{number + 1}",
                availability_zone=REMOTE_ZONE if name == "far" else LOCAL_ZONE,
                slots=4,
            )
            entries.append(Entry(name, announcement, READY, "me", 1, False, 1e12))
        self.names = {e.announcement.address: e.upstream_id for e in entries}
        self.pool.update_members(read_clock(), entries)
        self.pool.set_status_check_rate(1000.0, 3)
        self.pool.choose_samples(read_clock() - 10.0, frozenset(), 0.0)
        self.sampler = Sampler(self.pool, FigureDialect())

    def open(self, address: str, timeout_s: float) -> FakeConnection:
        name = self.names[address]
        if self.answers[name] == {}:
            raise TransportError(ErrorKind.CONNECT_FAILED, self.times_out)
        self.opened[name] = FakeConnection(self.answers[name])
        return self.opened[name]

    def get(self, name: str):
        return self.pool.balancer.upstreams[name]


def test_each_answer_refreshes_the_report_of_its_upstream():
    sampled = SampledPool(
        a={"Name": "a", "Load": "3,1,4,100"},
        b={"Name": "b", "Load": "0,0,4,500"},
        far={"Name": "far", "Load": "1,0,4,100"},
    )
    sampled.sampler.sample(frozenset(), 0.0)
    assert (sampled.get("a").reported_others, sampled.get("b").pace) == (4.0, 5.0)
    assert all(c.sent == ["/healthz"] for c in sampled.opened.values())
    assert not any(c.closed for c in sampled.opened.values())


def test_an_unanswered_status_check_ejects_the_upstream_and_its_connection_is_not_reused():
    sampled = SampledPool(a=None, b={"Name": "b", "Load": "0,0,4"}, far={"Name": "far"})
    sampled.sampler.sample(frozenset(), 0.0)
    unanswered = sampled.opened["a"]
    connections = sampled.pool.get_connections(sampled.get("a"))
    assert connections.acquire(read_clock(), 1.0, True) is not unanswered
    connections.acquire(read_clock() + MAX_LATE_S + 0.1, 1.0, True)
    assert unanswered.closed
    assert sampled.get("a").ejected_until > read_clock()
    assert sampled.get("b").ejected_until < read_clock()


def test_an_answer_that_a_busy_instance_reads_late_is_still_recorded(monkeypatch):
    sampled = SampledPool(a={"Name": "a", "Load": "2,0,4"}, b={"Name": "b", "Load": "1,0,4"})
    times = iter(read_clock() + second for second in range(100))
    monkeypatch.setattr("foxtaildrum.balancing.samples.read_clock", lambda: next(times))
    sampled.sampler.sample(frozenset(), 0.0)
    assert sampled.get("a").unanswered_checks == sampled.get("b").unanswered_checks == 0
    assert (sampled.get("a").reported_others, sampled.get("b").reported_others) == (2.0, 1.0)


def test_requests_that_arrive_together_share_their_status_checks():
    answer = {"Load": "1,0,4"}
    sampled = SampledPool(a=answer, b=answer, c=answer, d=answer, e=answer)
    sampled.sampler.sample(frozenset(), 0.0)
    reported_at = max(u.reported_at for u in sampled.pool.balancer.upstreams.values())
    assert sampled.pool.choose_samples(reported_at, frozenset(), 0.0) == []
    assert len(sampled.pool.choose_samples(reported_at + 1.0, frozenset(), 0.0)) == 3


def test_an_address_that_another_upstream_answers_at_is_not_used():
    sampled = SampledPool(
        a={"Name": "other", "Load": "0,0,4"}, b={"Name": "b"}, far={"Name": "far"}
    )
    sampled.sampler.sample(frozenset(), 0.0)
    assert sampled.get("a").ejected_until > read_clock() + 1.0
    assert sampled.get("a").reported_at == float("-inf")


def test_a_late_copy_of_an_answer_to_a_request_is_no_load_report():
    copy = {"Foxtaildrum-Attempt": "order-0", "Name": "a", "Load": "0,0,4,100"}
    sampled = SampledPool(a=copy, b={"Name": "b"}, far={"Name": "far"})
    sampled.sampler.sample(frozenset(), 0.0)
    assert sampled.get("a").reported_at == float("-inf")
    assert sampled.opened["a"].closed


def test_no_upstream_is_blamed_if_none_answers():
    """A document that fills the link of this instance delays the answers of all."""
    sampled = SampledPool(a=None, b=None, c=None, d=None, e=None, f=None, g=None)
    sampled.sampler.sample(frozenset(), 0.0)
    assert len(sampled.opened) == 6
    upstreams = sampled.pool.balancer.upstreams.values()
    assert not any(u.unanswered_checks for u in upstreams)
    assert all(u.ejected_until < read_clock() for u in upstreams)


def test_silent_upstreams_are_ejected_once_another_one_answers():
    sampled = SampledPool(a=None, b=None, c=None, d={"Name": "d", "Load": "0,0,4"})
    sampled.pool.set_status_check_rate(1000.0, 2)
    for _ in range(20):
        sampled.sampler.sample(frozenset(), 0.0)
    silent = [sampled.get(name) for name in ("a", "b", "c")]
    assert any(u.unanswered_checks for u in silent)
    assert not sampled.get("d").unanswered_checks


def test_further_upstreams_are_checked_while_none_is_calm():
    slow = {"Load": "0,0,4,500"}
    sampled = SampledPool(a=slow, b=slow, c=slow, d=slow, e=slow, f=slow, g=slow, h=slow)
    sampled.sampler.sample(frozenset(), 0.0)
    assert len(sampled.opened) > 3
    calm = {"Load": "0,0,4,100"}
    sampled = SampledPool(a=calm, b=calm, c=calm, d=calm, e=calm, f=calm, g=calm, h=calm)
    sampled.sampler.sample(frozenset(), 0.0)
    assert len(sampled.opened) == 3


@pytest.mark.parametrize(
    ("answer", "others", "slow"),
    [
        ({"Load": "1,0,4,500"}, {"Load": "0,0,4,100"}, True),
        ({"Load": "1,0,4,100"}, {"Load": "0,0,4,100"}, False),
        ({"Load": "4,2,4,100"}, {"Load": "0,0,4,100"}, True),
        (None, {"Load": "0,0,4,100"}, True),
        (None, None, False),
    ],
)
def test_an_upstream_is_slow_by_its_report_or_if_only_it_is_silent(answer, others, slow):
    sampled = SampledPool(a=answer, b=others, c=others)
    upstream = sampled.get("a")
    upstream.in_flight = 1
    assert sampled.sampler.check_slow(upstream) is slow


def test_a_connection_that_times_out_is_silent_and_not_refused():
    sampled = SampledPool(a={}, b={}, c={})
    sampled.times_out = True
    sampled.sampler.sample(frozenset(), 0.0)
    assert not any(u.unanswered_checks for u in sampled.pool.balancer.upstreams.values())


def test_a_refused_connection_counts_as_an_unanswered_check():
    sampled = SampledPool(a={}, b={"Name": "b"}, far={"Name": "far"})
    sampled.sampler.sample(frozenset(), 0.0)
    assert sampled.get("a").unanswered_checks == 1


# Guards against an upstream whose status checks never end: every request read on to the time
# limit of the check, and the next one checked the same upstream again.
def test_an_answer_without_end_is_given_up_and_counts_as_unanswered():
    sampled = SampledPool(a={"Name": "a"}, b={"Name": "b"}, far={"Name": "far"})
    parts = iter([b"x" * CHUNK_BYTES] * 100)
    read_body = FakeConnection.read_body

    def read_endless_body(connection, until, is_cancelled=None):
        if connection.answer == {"Name": "a"}:
            return parts
        return read_body(connection, until)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(FakeConnection, "read_body", read_endless_body)
        sampled.sampler.sample(frozenset(), 0.0)
    assert sampled.get("a").unanswered_checks == 1
    assert sampled.opened["a"].closed
    assert len(list(parts)) > 90
    assert sampled.get("b").unanswered_checks == 0


def test_only_the_own_zone_is_sampled_when_a_large_answer_is_expected():
    sampled = SampledPool(a={"Name": "a"}, b={"Name": "b"}, far={"Name": "far"})
    sampled.pool.set_status_check_rate(1000.0, 2)
    for _ in range(20):
        chosen = sampled.pool.choose_samples(read_clock() + 1000.0, frozenset(), 90_000.0)
        assert {u.upstream_id for u in chosen} == {"a", "b"}


def test_the_expected_size_follows_recent_answers_and_removed_routes_are_dropped():
    sizes = RouteAverages()
    for _ in range(60):
        sizes.record("r", 1000)
    for _ in range(60):
        sizes.record("r", 3000)
    assert 2900 < sizes.get("r") <= 3000
    sizes.retain({"other"})
    assert sizes.get("r") == 0.0
