"""Attempts at upstreams that turn cold between the grant of a slot and the send."""

from __future__ import annotations

import random

import pytest

from foxtaildrum.balancing.pools import UpstreamPool
from foxtaildrum.balancing.tickets import Ticket
from foxtaildrum.balancing.warmup import WINDOW_S
from foxtaildrum.fleet.upstreams import READY, Entry
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.records import Announcement, Pool
from foxtaildrum.requests import steps
from foxtaildrum.requests.attempts import UpstreamAttempt
from foxtaildrum.requests.dialects import Dialect
from foxtaildrum.requests.exchange import Exchange
from foxtaildrum.requests.hedging import NO_HEDGE
from foxtaildrum.requests.transport import OutgoingRequest

from .test_exchange import FakeBudget

NOW = 100.0
LATER = NOW + 2 * WINDOW_S
COLD_S = 20.0
DEADLINE_S = 10.0


def build_pool() -> UpstreamPool:
    """Return a pool with a warm upstream; 0.7 of its bound is one request in each window."""
    row = Pool(name="p", warmup_per_s=2.0, warmup_s=COLD_S)
    pool = UpstreamPool(row, "a", 9, None, lambda upstream: None, random.Random(1), "i0")
    pool.warmups.set_zones(NOW, {"i0": "a"})
    pool.update_members(NOW, [build_entry(1)])
    return pool


def build_entry(incarnation: int, cold_until: float | None = None) -> Entry:
    announcement = Announcement(
        pool="p", address="10.0.0.1:1", slots=90, incarnation=incarnation
    )
    return Entry("u", announcement, READY, "c1", 1, False, 1e9, cold_until=cold_until)


def begin_attempt(pool: UpstreamPool, now: float) -> UpstreamAttempt:
    ticket = Ticket(now + DEADLINE_S, frozenset(), max_queue_wait_s=0.0)
    pool.request_slot(now, ticket, True)
    return UpstreamAttempt(1, now, pool, ticket.granted, False, ticket.warmup)


def is_granted(pool: UpstreamPool, now: float) -> bool:
    ticket = Ticket(now + DEADLINE_S, frozenset(), max_queue_wait_s=0.0)
    pool.request_slot(now, ticket, True)
    if ticket.granted is None:
        assert ticket.refused is ErrorKind.UPSTREAMS_WARMING_UP
        return False
    UpstreamAttempt(1, now, pool, ticket.granted, False, ticket.warmup).release(
        now, steps.AttemptResult.CANCELLED, 0.0
    )
    return True


def test_a_slot_is_withdrawn_if_its_upstream_turned_cold_before_the_send():
    # The request would reach a cold upstream without being counted.
    pool = build_pool()
    attempt = begin_attempt(pool, LATER)
    assert attempt.find_withdrawal(LATER) is None
    pool.warmups.record_check(LATER, attempt.upstream, COLD_S)
    assert attempt.find_withdrawal(LATER) is ErrorKind.UPSTREAMS_WARMING_UP


def test_a_slot_granted_before_an_upstream_turned_cold_is_counted_where_the_share_allows():
    pool = build_pool()
    attempt = begin_attempt(pool, LATER)
    pool.update_members(LATER, [build_entry(2, LATER + COLD_S)])
    assert attempt.find_withdrawal(LATER) is None
    assert not is_granted(pool, LATER)


def test_a_slot_of_an_upstream_that_is_warm_again_is_kept():
    pool = build_pool()
    pool.update_members(LATER, [build_entry(2, LATER + COLD_S)])
    attempt = begin_attempt(pool, LATER)
    assert attempt.warmup is not None
    pool.warmups.record_check(LATER, attempt.upstream, None)
    assert attempt.find_withdrawal(LATER) is None


@pytest.mark.parametrize("was_prepared", [False, True])
def test_a_reservation_is_given_back_only_if_nothing_can_have_been_sent(was_prepared):
    pool = build_pool()
    pool.update_members(LATER, [build_entry(2, LATER + COLD_S)])
    attempt = begin_attempt(pool, LATER)
    if was_prepared:
        attempt.prepare(OutgoingRequest("GET", "/", {}, None, 0, "id"), Dialect())
    attempt.release(LATER, steps.AttemptResult.CANCELLED, 0.0)
    assert is_granted(pool, LATER) is not was_prepared
    assert is_granted(pool, LATER + WINDOW_S)


def test_a_sent_request_counts_for_one_window_from_its_send():
    pool = build_pool()
    pool.update_members(LATER, [build_entry(2, LATER + COLD_S)])
    attempt = begin_attempt(pool, LATER)
    assert not is_granted(pool, LATER + 3.0)
    attempt.prepare(OutgoingRequest("GET", "/", {}, None, 0, "id"), Dialect())
    attempt.record_sent(LATER + 3.0)
    attempt.release(LATER + 3.5, steps.AttemptResult.OK, 3.5)
    assert not is_granted(pool, LATER + 3.9)
    assert is_granted(pool, LATER + 3.0 + WINDOW_S)


def test_a_withdrawn_slot_is_replaced_without_the_retry_budget():
    # Nothing has reached an upstream, so the budget is not concerned.
    exchange = Exchange(False, DEADLINE_S, NO_HEDGE, FakeBudget(0, 0))
    exchange.handle(0.0, steps.RequestArrived())
    exchange.handle(0.0, steps.SlotGranted(0, "u"))
    withdrawn = steps.SlotWithdrawn(0, ErrorKind.UPSTREAMS_WARMING_UP)
    actions = exchange.handle(0.0, withdrawn)
    acquired = [a for a in actions if isinstance(a, steps.AcquireSlot)]
    assert [a.excluded for a in acquired] == [frozenset({"u"})]
    refused = steps.SlotRefused(acquired[0].attempt, ErrorKind.UPSTREAMS_WARMING_UP, 0.5)
    problem = exchange.handle(0.0, refused)[0]
    assert problem.kind is ErrorKind.UPSTREAMS_WARMING_UP
    assert (problem.outcome.value, problem.retry_after_s) == ("not-run", 0.5)
