"""Leases whose owner an instance takes for dead: what it keeps, drops and accepts again."""

from __future__ import annotations

import pytest

from foxtaildrum import records as r
from foxtaildrum.exceptions import StaleAnnouncementError
from foxtaildrum.fleet.upstreams import DRAINING, READY, Entry, UpstreamList

from .fleet import form_fleet, form_joined_fleet
from .test_left_upstreams import (
    LEASE_S,
    build_announcement,
    leave_until_acknowledged,
    list_users,
)


def expire_at_dead_owner(upstreams: UpstreamList, until: float) -> None:
    now = 0.0
    while now < until:
        now += 0.5
        upstreams.expire(now, lambda owner: False)


def test_a_drain_is_known_after_its_owner_was_taken_for_dead():
    upstreams = UpstreamList("a")
    entry = Entry("u", build_announcement(DRAINING), DRAINING, "gone", 1, False, LEASE_S)
    upstreams.merge(0.0, entry)
    expire_at_dead_owner(upstreams, 2 * LEASE_S)
    late = Entry("u", build_announcement(), READY, "other", 9, False, 99.0)
    assert not upstreams.merge(20.0, late)
    with pytest.raises(StaleAnnouncementError):
        upstreams.announce(20.0, "u", build_announcement(), lambda owner: True)
    assert upstreams.list_members("p") == []


def test_instances_that_take_an_owner_for_dead_agree_on_its_drains():
    lists = [UpstreamList(name) for name in "ab"]
    for upstreams in lists:
        entry = Entry("u", build_announcement(DRAINING), DRAINING, "gone", 1, False, LEASE_S)
        upstreams.merge(0.0, entry)
    expire_at_dead_owner(lists[0], 2 * LEASE_S)
    lists[1].merge(20.0, lists[0].entries["u"])
    assert lists[0].digest.hashes == lists[1].digest.hashes


@pytest.mark.parametrize("victim", ["c3", "e1"])
def test_an_instance_that_took_the_owner_for_dead_hears_of_the_drain(victim):
    fleet = form_fleet(3, 3)
    fleet.announce("e2", "u", incarnation=7)
    fleet.run(2.0)
    fleet.cut([victim])
    host = fleet.hosts[victim]
    assert fleet.run_until(lambda: "u" not in host.node.upstreams.entries, 60.0)
    leave_until_acknowledged(fleet, "c1", "drain")
    entry = fleet.hosts["c1"].node.upstreams.entries["u"]
    news = r.UpstreamNews(entries=[entry.to_wire(fleet.now)], token="t")
    fleet.perform(host, host.node.receive(host.read_clock(), "c1", news))
    known = host.node.upstreams.entries.get("u")
    assert known is not None
    assert known.state == DRAINING


def test_the_drain_outlives_the_lease_of_an_owner_that_is_taken_for_dead():
    fleet = form_fleet(3, 3)
    fleet.announce("e2", "u", incarnation=7)
    fleet.run(2.0)
    leave_until_acknowledged(fleet, "c1", "drain")
    fleet.run(1.0)
    fleet.cut(["e1"])
    fleet.run(60.0)
    entry = Entry("u", build_announcement(), READY, "e2", 1, False, 0.0)
    news = r.UpstreamNews(entries=[entry.to_wire(fleet.now)], token="")
    fleet.heal()
    host = fleet.hosts["e1"]
    fleet.perform(host, host.node.receive(host.read_clock(), "e2", news))
    assert host.node.upstreams.list_members("p") == []


def test_an_upstream_whose_owner_never_comes_back_expires_after_a_restart_of_all():
    fleet = form_joined_fleet()
    fleet.announce("e1", "u", incarnation=7)
    fleet.run(2.0)
    for host in fleet.hosts:
        fleet.crash(host)
    for host in fleet.hosts:
        if host != "e1":
            fleet.restart(host)
            fleet.run(0.3)
    fleet.run(5 * LEASE_S)
    assert list_users(fleet) == []
