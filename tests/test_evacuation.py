"""Evacuated zones at one instance: upstreams are left out gradually, and used again."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.balancing.balancer import Balancer
from foxtaildrum.balancing.candidates import UpstreamLoad
from foxtaildrum.balancing.evacuation import WITHDRAWAL_SHARE, EvacuationPlan
from foxtaildrum.balancing.loads import LoadReport
from foxtaildrum.balancing.pools import UpstreamPool
from foxtaildrum.balancing.probes import _request_load
from foxtaildrum.balancing.samples import Sampler
from foxtaildrum.balancing.tickets import Ticket
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.records import Pool
from foxtaildrum.requests.attempts import UpstreamAttempt
from foxtaildrum.requests.dialects import Dialect
from foxtaildrum.requests.steps import AttemptResult
from foxtaildrum.requests.transport import TransportError

from .test_balancer import build_entry

EVACUATION_S = 5.0
SPREAD_S = WITHDRAWAL_SHARE * EVACUATION_S
NOW = 100.0
ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "none": ""}
NO_ORDERS: dict[str, float] = {}


class Site:
    """One balancer and the plan that it follows."""

    def __init__(self, zones: dict[str, str] = ZONES, instance_id: str = "e1") -> None:
        self.zones = zones
        self.plan = EvacuationPlan(instance_id, EVACUATION_S)
        pool = Pool(name="p", health_path="/health")
        self.balancer = Balancer(pool, "a", 4, random.Random(1), instance_id, self.plan)
        self.refresh(0.0)

    def refresh(self, now: float) -> list[Ticket]:
        entries = [build_entry(name, zone=zone) for name, zone in self.zones.items()]
        return self.balancer.update_members(now, entries)

    def order(self, now: float, *zones: str, at_once: bool = False) -> list[Ticket]:
        self.plan.update(now, dict.fromkeys(zones, 1.0), at_once)
        return self.refresh(now)

    def request(self, now: float, excluded: frozenset[str] = frozenset()) -> Ticket:
        ticket = Ticket(now + 10.0, excluded)
        self.balancer.request_slot(now, ticket, may_wait=True)
        return ticket

    def list_used(self, now: float) -> set[str]:
        """Return the upstreams that get a request if all others were tried before."""
        used = set()
        for name in self.zones:
            ticket = self.request(now, frozenset(self.zones) - {name})
            used.add(ticket.granted.upstream_id)
            self.balancer.release(now, ticket.granted, AttemptResult.OK, 0.01)
        return used


# Guards against anything that reaches an upstream once its zone is evacuated.
def test_an_upstream_in_an_evacuated_zone_gets_nothing():
    site = Site()
    assert site.list_used(NOW) == set(ZONES)
    site.order(NOW, "a")
    later = NOW + SPREAD_S
    assert site.list_used(later) == {"b1", "b2", "none"}
    balancer = site.balancer
    balancer.set_status_check_rate(1000.0, 3)
    sampled = set()
    for number in range(100):
        moment = later + number
        sampled |= {u.upstream_id for u in balancer.choose_samples(moment, frozenset())}
        probe = balancer.choose_probe(moment)
        if probe is not None:
            sampled.add(probe.upstream_id)
            balancer.record_load(moment, probe, LoadReport(0.0))
        balancer.measuring_budget.earn(1.0)
    assert sampled == {"b1", "b2", "none"}
    excluded = frozenset({"b1", "b2", "none"})
    assert site.request(later, excluded).granted.upstream_id not in ("a1", "a2")
    assert len(balancer.list_addresses(later)) == 3
    assert balancer.count_slots(later) == 6


# Guards against status checks of evacuated upstreams that the others get in addition.
def test_the_budget_for_status_checks_shrinks_with_the_upstreams():
    checks = {}
    for zones in ((), ("a",)):
        site = Site({f"{zone}{n}": zone for zone in "ab" for n in range(10)})
        site.balancer.set_status_check_rate(1.0, 3)
        site.order(0.0, *zones, at_once=True)
        start, count = NOW, 0
        for step in range(1000):
            moment = start + step / 10
            count += len(site.balancer.choose_samples(moment, frozenset()))
            count += site.balancer.spend_status_check(moment)
        checks[zones] = count
    assert checks["a",] == pytest.approx(checks[()] / 2, rel=0.1)


# Guards against a withdrawal of all instances, or from all upstreams, at one moment.
def test_the_withdrawal_is_spread_over_instances_and_upstreams():
    zones = {f"u{n}": "a" for n in range(20)}
    moments = []
    for number in range(50):
        site = Site(zones, f"e{number}")
        site.order(NOW, "a")
        moments += [u.evacuated_at - NOW for u in site.balancer.upstreams.values()]
    assert len(set(moments)) == len(moments)
    assert 0 <= min(moments) < 0.02 * SPREAD_S
    assert 0.98 * SPREAD_S < max(moments) < SPREAD_S
    for start in (0.0, 0.25, 0.5, 0.75):
        share = sum(start <= m / SPREAD_S < start + 0.25 for m in moments) / len(moments)
        assert share == pytest.approx(0.25, abs=0.05)


def test_an_instance_that_starts_leaves_the_upstreams_at_once():
    site = Site()
    site.order(NOW, "a", at_once=True)
    assert site.list_used(NOW) == {"b1", "b2", "none"}
    assert [e.zone for e in site.plan.pop_applied(NOW)] == ["a"]


# Guards against an order that starts its withdrawal anew with each change of the upstreams.
def test_a_repeated_order_and_new_upstreams_do_not_restart_the_withdrawal():
    site = Site()
    site.order(NOW, "a")
    site.order(NOW + SPREAD_S, "a")
    site.zones = {**ZONES, "a3": "a"}
    site.refresh(NOW + SPREAD_S)
    assert site.list_used(NOW + SPREAD_S) == {"b1", "b2", "none"}


# Guards against upstreams that stay unused because of what happened before the evacuation.
def test_restored_upstreams_are_used_again_at_once():
    site = Site()
    for _ in range(4):
        site.balancer.record_unanswered_check(NOW, site.balancer.upstreams["a1"])
    site.order(NOW, "a", "b")
    site.order(NOW + 2.5, "b")
    assert site.balancer.upstreams["a1"].unanswered_checks == 0
    assert site.list_used(NOW + 2.5) == {"a1", "a2", "none"}
    site.order(NOW + 20.0)
    assert site.list_used(NOW + 20.0) == set(ZONES)


# Guards against requests that wait for upstreams that nobody may use.
def test_a_pool_whose_upstreams_are_all_evacuated_refuses_at_once():
    site = Site({"a1": "a"})
    held = [site.request(NOW) for _ in range(2)]
    waiting = site.request(NOW)
    assert not waiting.completed
    site.order(NOW, "a")
    later = NOW + SPREAD_S
    assert site.balancer.serve_queue(later) == [waiting]
    assert waiting.refused is ErrorKind.ZONES_EVACUATED
    assert site.request(later).refused is ErrorKind.ZONES_EVACUATED
    for ticket in held:
        site.balancer.release(later, ticket.granted, AttemptResult.OK, 0.01)
    assert site.request(later).refused is ErrorKind.ZONES_EVACUATED


def test_a_pool_without_upstreams_is_not_called_evacuated():
    site = Site({})
    site.order(NOW, "a")
    assert site.request(NOW).refused is ErrorKind.NO_UPSTREAM


# Guards against a request that is sent after the withdrawal because it held a slot before.
def test_a_request_that_is_not_sent_yet_gives_its_slot_back():
    site = Site({"a1": "a", "b1": "b"})
    pool = UpstreamPool(Pool(name="p"), "a", 4, None, None, random.Random(1), "e1", None)
    upstream = site.balancer.upstreams["a1"]
    attempt = UpstreamAttempt(1, NOW, pool, upstream, False)
    site.order(NOW, "a")
    assert attempt.find_withdrawal(NOW - 0.001) is None
    assert attempt.find_withdrawal(NOW + SPREAD_S) is ErrorKind.UPSTREAMS_RESTING


class ConnectionsStub:
    """A pool of one upstream, whose zone is evacuated while a connection to it is opened."""

    health_path = load_path = "/load"

    def __init__(self, upstream: UpstreamLoad) -> None:
        self.upstream = upstream
        self.sent = 0
        self.released = 0

    def choose_samples(self, now, excluded, response_bytes, round_number):
        return [] if round_number else [self.upstream]

    def has_calm_upstream(self, now, excluded):
        return True

    def get_connections(self, upstream):
        return self

    def acquire(self, *arguments, **options):
        self.upstream.evacuated_at = float("-inf")
        return self

    def send(self, *arguments):
        self.sent += 1
        raise TransportError(ErrorKind.ANSWER_LOST)

    def release(self, now, connection):
        self.released += 1

    def close(self):
        pass


# Guards against a status check or a probe that is sent because it was chosen before.
@pytest.mark.parametrize("kind", ["status check", "probe"])
def test_a_check_that_is_not_sent_yet_is_given_up(kind):
    pool = ConnectionsStub(UpstreamLoad("a1"))
    if kind == "probe":
        assert _request_load(pool, pool.upstream, Dialect()) is None
    else:
        Sampler(pool, Dialect()).sample(frozenset(), 0.0)
    assert (pool.sent, pool.released) == (0, 1)


# Guards against permits that issuers grant for upstreams that are left out.
def test_no_permits_are_requested_for_upstreams_that_are_left_out():
    site = Site({"a1": "a", "b1": "b"})
    for upstream in site.balancer.upstreams.values():
        site.balancer.rate_limits.record_response(NOW, upstream, 2.0, True)
    site.order(NOW, "a", at_once=True)
    planned = site.balancer.plan_permits(NOW)
    assert [item.upstream_id for item in planned] == ["b1"]


# Guards against rest and rate limits of upstreams that are left out anyway.
def test_upstreams_that_are_left_out_do_not_decide_about_refusals():
    site = Site({"a1": "a", "b1": "b"})
    upstreams = site.balancer.upstreams
    site.order(NOW, "a", at_once=True)
    site.balancer.record_rest(NOW, upstreams["b1"], 30.0)
    assert site.request(NOW).refused is ErrorKind.UPSTREAMS_RESTING


@given(
    st.lists(
        st.sampled_from(["request", "release", "a", "b", "ab", "restore", "wait", "refresh"]),
        max_size=60,
    ),
    st.integers(0, 9),
)
def test_no_slot_of_an_evacuated_zone_is_granted_and_none_is_lost(steps, seed):
    site = Site()
    rng = random.Random(seed)
    held: list[Ticket] = []
    waiting: list[Ticket] = []
    orders: dict[str, float] = {}
    now = NOW
    for step in steps:
        now += 0.3
        completed: list[Ticket] = []
        if step == "request":
            waiting.append(site.request(now))
        elif step == "release" and held:
            ticket = held.pop(rng.randrange(len(held)))
            completed = site.balancer.release(now, ticket.granted, AttemptResult.OK, 0.01)
        elif step in ("a", "b", "ab"):
            orders |= {zone: now for zone in step if zone not in orders}
            completed = site.order(now, *orders)
        elif step == "restore":
            orders = {}
            completed = site.order(now)
        elif step == "wait":
            now += 2.0
            completed = site.balancer.serve_queue(now)
        elif step == "refresh":
            completed = site.refresh(now)
        assert all(t.completed for t in completed)
        granted = [t for t in waiting if t.granted]
        for ticket in granted:
            heard_at = orders.get(ZONES[ticket.granted.upstream_id], now)
            assert now < heard_at + SPREAD_S or step == "restore"
        held += granted
        waiting = [t for t in waiting if not t.completed]
        assert site.balancer.in_flight == len(held)


def test_without_orders_a_plan_changes_nothing():
    plan = EvacuationPlan("e1", EVACUATION_S)
    assert not plan.has_news(NO_ORDERS)
    assert not plan.covers(NOW, [])
    assert plan.pop_applied(NOW) == []
