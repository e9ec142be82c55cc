"""Rate limits that upstreams name for the whole fleet."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.exceptions import FrameError
from foxtaildrum.fleet.upstreams import Entry, UpstreamList
from foxtaildrum.permits.spacing import BURST_PERMITS, MAX_RESERVATION_S, PermitIssuer
from foxtaildrum.permits.upstreams import PERMIT_VALID_S, REPLY_TIMEOUT_S, Permits
from foxtaildrum.records import Announcement, PermitReply, PermitRequest, RateLimitReport

from .fleet import form_fleet
from .serving_fleet import ServingFleet, SimulatedUpstream

WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5
REACTION_S = 3.0
MIN_USED_RATIO = 0.75
AT_ONCE_S = 0.011
AT_ONCE_RATIO = 0.9


def count_excess(upstream: SimulatedUpstream, limit_per_s: float, since: float) -> int:
    """Return by how many requests the fullest window exceeds what the limit allows."""
    times = [t for t, _ in upstream.arrivals if t >= since + REACTION_S]
    allowed = ALLOWED_RATIO * limit_per_s * WINDOW_S + ALLOWED_EXTRA
    counts = [sum(start <= t < start + WINDOW_S for t in times) for start in times]
    return max(0, int(max(counts, default=0) - allowed))


def form(entry: int = 16, upstreams: int = 13, rate: float = 112.0, **options) -> ServingFleet:
    fleet = ServingFleet(entry, upstreams, rate, seed=7, **options)
    fleet.form()
    return fleet


def name_limit(fleet: ServingFleet, limit_per_s: float, count: int = 1) -> float:
    """Let the first upstreams name a limit; return the time."""
    for upstream in list(fleet.upstreams.values())[:count]:
        upstream.limit_per_s = limit_per_s
    return fleet.now


def check_limits(fleet: ServingFleet, count: int, since: float, limit_per_s: float) -> None:
    """Check that the first upstreams are used up to their limit, and not beyond it."""
    limited = list(fleet.upstreams.values())[:count]
    assert [count_excess(u, limit_per_s, since) for u in limited] == [0] * count
    start = since + REACTION_S
    used = sum(u.count_arrivals(start, fleet.now) for u in limited)
    assert used >= MIN_USED_RATIO * count * limit_per_s * (fleet.now - start)


@pytest.mark.parametrize(
    ("entry", "upstreams", "rate", "count"),
    [(16, 13, 112.0, 2), (313, 98, 263.0, 30)],
    ids=["16", "313"],
)
def test_the_fleet_keeps_the_limits_that_upstreams_name(entry, upstreams, rate, count):
    # No instance obeyed, and none had a way to know what the others send.
    fleet = form(entry, upstreams, rate)
    limit_per_s = 0.25 * rate / upstreams
    since = name_limit(fleet, limit_per_s, count)
    fleet.run(12.0)
    check_limits(fleet, count, since, limit_per_s)


def test_a_pool_whose_upstreams_all_name_limits_is_used_up_and_the_rest_refused_at_once():
    fleet = form()
    count = len(fleet.upstreams)
    since = name_limit(fleet, 3.0, count)
    fleet.run(12.0)
    check_limits(fleet, count, since, 3.0)
    waits = [wait_s for at, wait_s, _ in fleet.refused_at if at >= since + REACTION_S]
    at_once = sum(wait_s <= AT_ONCE_S for wait_s in waits)
    assert at_once >= AT_ONCE_RATIO * len(waits)


@pytest.mark.parametrize("fault", ["restart", "freeze", "cut", "crash"])
def test_a_limit_holds_while_the_instance_that_grants_permits_fails(fault):
    fleet = form()
    since = name_limit(fleet, 2.0, 4)
    fleet.run(5.0)
    for name in fleet.control[:2]:
        if fault == "restart":
            fleet.restart(name)
        elif fault == "freeze":
            fleet.pause(name)
            fleet.schedule(3.0, "resume", name)
        elif fault == "cut":
            fleet.cut([name])
            fleet.schedule(4.0, "heal")
        else:
            fleet.crash(name)
    fleet.run(12.0)
    limited = list(fleet.upstreams.values())[:4]
    assert [count_excess(u, 2.0, since) for u in limited] == [0] * 4
    # After the fault was noticed and the leases moved, the limits are used up again.
    start = fleet.now - 4.0
    used = sum(u.count_arrivals(start, fleet.now) for u in limited)
    assert used >= MIN_USED_RATIO * 4 * 2.0 * 4.0


def test_an_instance_that_joins_later_keeps_a_limit_that_it_was_never_told():
    fleet = form(start_delays={"e1": 14.0, "e2": 14.0, "e3": 14.0})
    since = name_limit(fleet, 1.0, 4)
    fleet.run_until(lambda: fleet.get_pool("e1") is not None)
    fleet.run(8.0)
    assert any(sender == "e1" for u in fleet.upstreams.values() for _, sender in u.arrivals)
    check_limits(fleet, 4, since, 1.0)


def test_an_upstream_that_names_its_limit_no_longer_gets_its_usual_share():
    fleet = form()
    since = name_limit(fleet, 1.0)
    fleet.run(8.0)
    check_limits(fleet, 1, since, 1.0)
    fleet.upstreams["u0"].limit_per_s = None
    fleet.run(8.0)
    usual = 112.0 / 13
    assert fleet.upstreams["u0"].count_arrivals(fleet.now - 4.0, fleet.now) > 2.0 * usual


def test_permits_are_not_used_after_their_time():
    permits = Permits(2.0, random.Random(1))
    assert permits.begin_request(10.0, entry_count=16) == 1
    permits.handle_reply(10.1, requested_at=10.0, count=1, wait_s=0.2)
    assert not permits.is_held(10.2)
    assert permits.is_held(10.31)
    assert not permits.is_held(10.2 + PERMIT_VALID_S)
    assert permits.pop_expired(12.0) == 1
    assert permits.pop_expired(12.0) == 0


def test_a_reply_to_an_earlier_request_grants_nothing():
    permits = Permits(2.0, random.Random(1))
    permits.begin_request(10.0, entry_count=16)
    assert permits.begin_request(10.0 + REPLY_TIMEOUT_S, entry_count=16) == 1
    permits.handle_reply(11.0, requested_at=10.0, count=1, wait_s=0.0)
    assert not permits.is_held(11.0)


def test_without_a_reply_all_instances_together_stay_below_the_limit():
    limit_per_s, entry_count, duration_s = 5.0, 20, 100
    sent = 0
    for number in range(entry_count):
        permits = Permits(limit_per_s, random.Random(number))
        for step in range(duration_s * 10):
            if permits.is_due(step / 10):
                permits.begin_request(step / 10, entry_count)
            if permits.is_held(step / 10):
                permits.take()
                sent += 1
    assert 0 < sent <= limit_per_s * duration_s


@given(st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(1, 50)), min_size=1, max_size=60))
def test_an_issuer_never_exceeds_its_rate(requests):
    limit_per_s = 4.0
    issuer = PermitIssuer(0.0, limit_per_s)
    now, issued = 0.0, 0
    for pause_s, wanted in requests:
        now += pause_s
        count, wait_s = issuer.issue(now, limit_per_s, wanted)
        issued += count
        assert count <= wanted
        assert issued <= limit_per_s * (now + MAX_RESERVATION_S) + BURST_PERMITS + 1


@pytest.mark.parametrize(
    "message",
    [
        RateLimitReport(upstream_id="u0", incarnation=1, limit_per_s=float("inf")),
        RateLimitReport(upstream_id="u0", incarnation=1, limit_per_s=-1.0),
        PermitRequest(upstream_id="u0", limit_per_s=float("nan"), count=1, requested_at=0.0),
        PermitReply(upstream_id="u0", count=-1, wait_s=0.0, requested_at=0.0),
        PermitReply(upstream_id="u0", count=1, wait_s=float("inf"), requested_at=0.0),
    ],
)
def test_a_message_with_values_out_of_range_is_refused(message):
    fleet = form_fleet()
    node = fleet.hosts["e1"].node
    with pytest.raises(FrameError):
        node.receive(fleet.now, "c1", message)


def test_an_upstream_list_saved_before_there_were_rate_limits_is_read():
    entry = build_limited_entry()
    fields = entry.to_wire(0.0)
    assert Entry.from_wire(0.0, fields).rate_limit_per_s == 2.5
    assert Entry.from_wire(0.0, fields[:-1]).rate_limit_per_s is None


def test_a_rate_limit_ends_with_the_start_that_named_it():
    upstreams = UpstreamList("c1")
    for incarnation, expected in ((1, None), (2, None)):
        announcement = Announcement(pool="p", address="127.0.0.1:1", incarnation=incarnation)
        upstreams.announce(0.0, "u", announcement, lambda owner: True)
        assert upstreams.entries["u"].rate_limit_per_s is expected
        upstreams.set_rate_limit("u", incarnation, 2.5)
        assert upstreams.entries["u"].rate_limit_per_s == 2.5
    upstreams.set_rate_limit("u", 1, None)
    assert upstreams.entries["u"].rate_limit_per_s == 2.5


def build_limited_entry() -> Entry:
    announcement = Announcement(pool="p", address="127.0.0.1:1", incarnation=1)
    return Entry("u", announcement, "ready", "c1", 1, False, 6.0, 2.5)
