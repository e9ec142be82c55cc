"""Status checks just before a choice."""

from __future__ import annotations

import random
import socket
from types import SimpleNamespace

from foxtaildrum.balancing.loads import LoadReport, parse_load_figures
from foxtaildrum.balancing.pools import UpstreamPool
from foxtaildrum.balancing.samples import Sampler
from foxtaildrum.fleet.upstreams import READY, Entry
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.records import Announcement, Pool
from foxtaildrum.requests.dialects import Dialect
from foxtaildrum.requests.sizes import ResponseSizes
from foxtaildrum.requests.transport import TransportError, read_clock

HERE, THERE = "here", "there"


class FigureDialect(Dialect):
    upstream_id_header = "Name"

    def read_load(self, headers) -> LoadReport | None:
        return parse_load_figures(headers.get("Load", ""))


class FakeConnection:
    """Answers a status check as its upstream was told to."""

    accepts_trailing_bytes = accepts_close_delimited = False

    def __init__(self, answer: dict[str, str] | None) -> None:
        self.answer = answer
        self.near, self.far = socket.socketpair()
        self.reusable = False
        self.closed = False
        self.sent: list[str] = []

    def send(self, request, timeout_s: float) -> None:
        self.sent.append(request.target)
        if self.answer is not None:
            self.far.send(b"x")

    def fileno(self) -> int:
        return self.near.fileno()

    def read_head(self, timeout_s: float):
        self.near.recv(1)
        return SimpleNamespace(status=200, all_headers=self.answer)

    def read_body(self, until: float, is_cancelled=None):
        self.reusable = True
        return iter(())

    def close(self) -> None:
        self.closed = True


class World:
    """A pool of three upstreams, two of them in the own availability zone."""

    def __init__(self, **answers: dict[str, str] | None) -> None:
        self.answers = answers
        self.opened: dict[str, FakeConnection] = {}
        record = Pool(name="p", health_path="/healthz")
        self.pool = UpstreamPool(
            record, HERE, 4, self.open, lambda upstream_id: None, random.Random(1)
        )
        entries = []
        for number, name in enumerate(answers):
            announcement = Announcement(
                pool="p",
                address=f"127.0.0.1:{number + 1}",
                availability_zone=THERE if name == "far" else HERE,
                slots=4,
            )
            entries.append(Entry(name, announcement, READY, "me", 1, False, 1e12))
        self.names = {e.announcement.address: e.upstream_id for e in entries}
        self.pool.update_members(read_clock(), entries)
        self.pool.set_probe_rate(1000.0, 3)
        self.pool.choose_samples(read_clock() - 10.0, frozenset(), 0.0)
        self.sampler = Sampler(self.pool, FigureDialect())

    def open(self, address: str, timeout_s: float) -> FakeConnection:
        name = self.names[address]
        if self.answers[name] == {}:
            raise TransportError(ErrorKind.CONNECT_FAILED)
        self.opened[name] = FakeConnection(self.answers[name])
        return self.opened[name]

    def get(self, name: str):
        return self.pool.balancer.upstreams[name]


def test_each_answer_refreshes_the_report_of_its_upstream():
    world = World(
        a={"Name": "a", "Load": "3,1,4,100"},
        b={"Name": "b", "Load": "0,0,4,500"},
        far={"Name": "far", "Load": "1,0,4,100"},
    )
    world.sampler.sample(frozenset(), 0.0)
    assert (world.get("a").reported_others, world.get("b").pace) == (4.0, 5.0)
    assert all(c.sent == ["/healthz"] for c in world.opened.values())
    assert not any(c.closed for c in world.opened.values())


def test_a_silent_upstream_is_left_alone_for_a_while_and_its_connection_closed():
    world = World(a=None, b={"Name": "b", "Load": "0,0,4"}, far={"Name": "far"})
    world.sampler.sample(frozenset(), 0.0)
    assert world.opened["a"].closed
    assert world.get("a").ejected_until > read_clock()
    assert world.get("b").ejected_until < read_clock()


def test_an_answer_that_a_busy_instance_reads_late_counts(monkeypatch):
    world = World(a={"Name": "a", "Load": "2,0,4"}, b={"Name": "b", "Load": "1,0,4"})
    times = iter(read_clock() + second for second in range(100))
    monkeypatch.setattr("foxtaildrum.balancing.samples.read_clock", lambda: next(times))
    world.sampler.sample(frozenset(), 0.0)
    assert world.get("a").silences == world.get("b").silences == 0
    assert (world.get("a").reported_others, world.get("b").reported_others) == (2.0, 1.0)


def test_requests_that_arrive_together_share_their_status_checks():
    answer = {"Load": "1,0,4"}
    world = World(a=answer, b=answer, c=answer, d=answer, e=answer)
    world.sampler.sample(frozenset(), 0.0)
    reported_at = max(u.reported_at for u in world.pool.balancer.upstreams.values())
    assert world.pool.choose_samples(reported_at, frozenset(), 0.0) == []
    assert len(world.pool.choose_samples(reported_at + 1.0, frozenset(), 0.0)) == 3


def test_an_address_that_another_upstream_answers_at_is_not_used():
    world = World(a={"Name": "other", "Load": "0,0,4"}, b={"Name": "b"}, far={"Name": "far"})
    world.sampler.sample(frozenset(), 0.0)
    assert world.get("a").ejected_until > read_clock() + 1.0
    assert world.get("a").reported_at == float("-inf")


def test_an_upstream_that_refuses_connections_counts_as_silent():
    world = World(a={}, b={"Name": "b"}, far={"Name": "far"})
    world.sampler.sample(frozenset(), 0.0)
    assert world.get("a").silences == 1


def test_a_large_answer_is_looked_for_in_the_own_zone_first():
    world = World(a={"Name": "a"}, b={"Name": "b"}, far={"Name": "far"})
    world.pool.set_probe_rate(1000.0, 2)
    for _ in range(20):
        chosen = world.pool.choose_samples(read_clock() + 1000.0, frozenset(), 90_000.0)
        assert {u.upstream_id for u in chosen} == {"a", "b"}


def test_the_expected_size_follows_recent_answers_and_forgets_routes_that_go():
    sizes = ResponseSizes()
    for _ in range(60):
        sizes.record("r", 1000)
    for _ in range(60):
        sizes.record("r", 3000)
    assert 2900 < sizes.get("r") <= 3000
    sizes.retain({"other"})
    assert sizes.get("r") == 0.0
