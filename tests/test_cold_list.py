"""Cold periods in the upstream list: announcements, reports, wire format and spread."""

from __future__ import annotations

import pytest

from foxtaildrum.control.desired import DesiredState
from foxtaildrum.exceptions import FrameError
from foxtaildrum.fleet.upstreams import Entry, UpstreamList
from foxtaildrum.fleet.warmups import WarmupTimes
from foxtaildrum.records import Announcement, WarmupReport

from .fleet import Fleet, form_fleet

POOLS = [{"name": "p", "warmup_per_s": 5.0, "warmup_s": 4.0}, {"name": "q", "warmup_s": 4.0}]
TABLES = {"routes": [{"name": "r", "path_prefix": "/", "pool": "p"}], "pools": POOLS}
WARMUP_S = 4.0
SPREAD_S = 2.0


def announce(
    upstreams: UpstreamList, now: float, left_ms: float | None = None, incarnation: int = 1
) -> Entry:
    announcement = Announcement(
        pool="p", address="127.0.0.1:1", incarnation=incarnation, warmup_left_ms=left_ms
    )
    upstreams.announce(now, "u", announcement, lambda owner: True, WARMUP_S)
    return upstreams.entries["u"]


def form() -> Fleet:
    fleet = form_fleet()
    leader = fleet.hosts[fleet.find_leader()]
    state = DesiredState(1, TABLES, {})
    fleet.perform(leader, leader.node.propose(leader.read_clock(), "tables", state))
    fleet.run(SPREAD_S)
    return fleet


def find_left(fleet: Fleet, name: str, upstream_id: str = "u") -> float | None:
    """Return the rest of the cold period that an instance has in its list."""
    entry = fleet.hosts[name].node.upstreams.entries[upstream_id]
    return None if entry.cold_until is None else entry.cold_until - fleet.now


@pytest.mark.parametrize(("left_ms", "left_s"), [(None, WARMUP_S), (1500, 1.5), (0, 0.0)])
def test_a_new_start_is_cold_as_it_says_or_for_the_time_of_its_pool(left_ms, left_s):
    upstreams = UpstreamList("c1")
    assert announce(upstreams, 10.0, left_ms).cold_until == 10.0 + left_s
    assert announce(upstreams, 50.0, left_ms, incarnation=2).cold_until == 50.0 + left_s


def test_heartbeats_that_repeat_a_cold_period_are_no_change():
    # Each would otherwise be gossiped to the whole fleet.
    upstreams = UpstreamList("c1")
    announce(upstreams, 10.0, 4000)
    upstreams.pop_updates()
    for now, left_ms in ((11.5, 2600), (13.0, 1400), (14.5, 0), (16.0, None)):
        assert announce(upstreams, now, left_ms).cold_until == 14.0
    assert not upstreams.pop_updates()


def test_a_later_end_of_the_cold_period_is_a_change():
    upstreams = UpstreamList("c1")
    announce(upstreams, 10.0, 4000)
    upstreams.pop_updates()
    upstreams.pop_changed_pools()
    assert announce(upstreams, 11.0, 4000).cold_until == 15.0
    assert len(upstreams.pop_updates()) == 1
    assert upstreams.pop_changed_pools() == {"p"}


def test_an_upstream_that_turns_cold_again_without_a_start_is_a_change():
    upstreams = UpstreamList("c1")
    announce(upstreams, 10.0, 0)
    upstreams.pop_updates()
    assert announce(upstreams, 90.0, 3000).cold_until == 93.0
    assert len(upstreams.pop_updates()) == 1


def test_the_owner_applies_reports_about_the_present_start_only():
    upstreams = UpstreamList("c1")
    announce(upstreams, 10.0, 0, incarnation=2)
    upstreams.set_cold_end("u", 1, 20.0)
    assert upstreams.entries["u"].cold_until == 10.0
    upstreams.set_cold_end("u", 2, 20.0)
    assert upstreams.entries["u"].cold_until == 20.0
    upstreams.set_cold_end("u", 2, 20.4)
    upstreams.set_cold_end("u", 2, 15.0)
    assert upstreams.entries["u"].cold_until == 20.0


def build_entry(cold_until: float | None) -> Entry:
    announcement = Announcement(pool="p", address="127.0.0.1:1", incarnation=1)
    return Entry("u", announcement, "ready", "c1", 1, False, 16.0, 2.5, cold_until)


def test_the_rest_of_a_cold_period_follows_the_rate_limit():
    fields = build_entry(14.0).to_wire(10.5)
    assert fields[-2:] == [2.5, 3.5]
    # Clocks of instances differ, so the rest is counted from the arrival.
    assert Entry.from_wire(100.0, fields).cold_until == 103.5
    assert build_entry(14.0).to_wire(15.0)[-1] == 0.0


def test_an_entry_without_a_cold_period_is_sent_as_before():
    fields = build_entry(None).to_wire(10.0)
    assert len(fields) == 12
    assert Entry.from_wire(10.0, fields).cold_until is None
    assert Entry.from_wire(10.0, fields[:11]).cold_until is None


@pytest.mark.parametrize("odd", [-1.0, 3601.0, float("nan"), float("inf"), "1", True, [1.0]])
def test_a_cold_period_out_of_range_is_refused(odd):
    fields = build_entry(14.0).to_wire(10.0)
    with pytest.raises((ValueError, TypeError)):
        Entry.from_wire(10.0, [*fields[:-1], odd])


def test_a_cold_period_ends_with_the_start_that_had_it():
    upstreams = UpstreamList("c1")
    announce(upstreams, 10.0, 4000)
    assert announce(upstreams, 11.0, 0, incarnation=2).cold_until == 11.0
    assert upstreams.mark_draining(11.0, "u")
    assert upstreams.entries["u"].cold_until == 11.0


def test_every_instance_learns_of_a_new_start_that_is_cold():
    fleet = form()
    fleet.announce("c1", "u", 1, pool="p", address="10.0.0.1:1")
    fleet.run(SPREAD_S)
    for name in fleet.hosts:
        assert find_left(fleet, name) == pytest.approx(WARMUP_S - SPREAD_S, abs=0.1)


def test_pools_without_a_rate_have_no_cold_periods_in_the_list():
    fleet = form()
    fleet.announce("c1", "u", 1, pool="q", address="10.0.0.1:1", warmup_left_ms=5000)
    fleet.run(SPREAD_S)
    assert {find_left(fleet, name) for name in fleet.hosts} == {None}


def test_a_coldness_that_a_status_check_shows_spreads_through_the_owner():
    # Guards against a lost announcement of the coldness.
    fleet = form()
    fleet.announce("c1", "u", 1, pool="p", address="10.0.0.1:1", warmup_left_ms=0)
    fleet.run(SPREAD_S)
    host = fleet.hosts["e1"]
    fleet.perform(host, host.node.report_warmup(fleet.now, "u", 1, 9.0))
    fleet.run(SPREAD_S)
    for name in fleet.hosts:
        assert find_left(fleet, name) == pytest.approx(9.0 - SPREAD_S, abs=0.1)
    fleet.perform(host, host.node.report_warmup(fleet.now, "unknown", 1, 9.0))


@pytest.mark.parametrize(("is_starting", "warmup_s"), [(True, 0.0), (False, WARMUP_S)])
def test_an_instance_that_starts_takes_no_upstream_for_a_new_start(is_starting, warmup_s):
    # It knows none yet, and all of them announce themselves to it.
    follower = form().hosts["c1"].node.follower
    times = WarmupTimes(follower, lambda: is_starting)
    assert times.find("p") == warmup_s
    assert times.find("q") is None


@pytest.mark.parametrize("left_s", [-1.0, 3601.0, float("nan"), float("inf"), "1", None])
def test_a_report_out_of_range_is_refused(left_s):
    fleet = form()
    fleet.announce("c1", "u", 1, pool="p", address="10.0.0.1:1")
    message = WarmupReport(upstream_id="u", incarnation=1, left_s=left_s)
    with pytest.raises(FrameError):
        fleet.hosts["c1"].node.receive(fleet.now, "e1", message)
