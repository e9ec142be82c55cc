"""Upstream list: merging, leases, drains and announcements that arrive late."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.exceptions import StaleAnnouncementError
from foxtaildrum.fleet.upstreams import DRAINING, LEFT, READY, Entry, UpstreamList
from foxtaildrum.records import Announcement

from .fleet import form_fleet

SPREAD_LIMIT_S = 3.0


def announce(upstreams: UpstreamList, now: float, incarnation: int = 1, **fields) -> str:
    announcement = Announcement(
        pool="p", address="127.0.0.1:1", incarnation=incarnation, **{"lease_s": 5.0, **fields}
    )
    return upstreams.announce(now, "u", announcement, lambda owner: True)


ENTRIES = st.builds(
    lambda incarnation, state, owner, sequence, lost: Entry(
        "u",
        Announcement(pool="p", address="127.0.0.1:1", incarnation=incarnation, lease_s=100),
        state,
        owner,
        sequence,
        lost,
        100.0,
    ),
    st.integers(0, 2),
    st.sampled_from([READY, DRAINING, LEFT]),
    st.sampled_from(["a", "b"]),
    st.integers(1, 3),
    st.booleans(),
)


@given(st.lists(ENTRIES, min_size=1, max_size=8), st.integers(0, 99))
def test_merging_in_any_order_gives_the_same_result(entries, seed):
    one, two = UpstreamList("a"), UpstreamList("b")
    for entry in entries:
        one.merge(0.0, entry)
    shuffled = entries * 2
    random.Random(seed).shuffle(shuffled)
    for entry in shuffled:
        two.merge(0.0, entry)
    assert one.entries["u"].rank() == two.entries["u"].rank()
    assert one.digest.hashes == two.digest.hashes


def test_a_late_announcement_does_not_restore_an_upstream_that_left():
    upstreams = UpstreamList("a")
    announce(upstreams, 0.0)
    upstreams.leave(1.0, "u")
    with pytest.raises(StaleAnnouncementError):
        announce(upstreams, 2.0)
    announce(upstreams, 3.0, incarnation=2)
    assert upstreams.list_members("p")


def test_a_drain_is_not_undone_by_the_same_incarnation():
    upstreams = UpstreamList("a")
    announce(upstreams, 0.0)
    announce(upstreams, 1.0, state=DRAINING)
    with pytest.raises(StaleAnnouncementError):
        announce(upstreams, 2.0)


def test_a_lease_that_is_not_renewed_expires_and_can_be_acquired_again():
    upstreams = UpstreamList("a")
    announce(upstreams, 0.0)
    announce(upstreams, 4.0)
    assert upstreams.expire(8.0, lambda owner: True) == []
    assert upstreams.expire(9.5, lambda owner: True) == ["u"]
    assert not upstreams.list_members("p")
    announce(upstreams, 10.0)
    assert upstreams.list_members("p")


def is_known(fleet, name: str) -> bool:
    return any(e.upstream_id == "u" for e in fleet.hosts[name].node.upstreams.list_members("p"))


def list_instances_that_know(fleet) -> list[str]:
    return [name for name, host in fleet.hosts.items() if host.node and is_known(fleet, name)]


@pytest.mark.parametrize("change", ["drain", "leave"])
def test_a_drain_and_a_leave_reach_every_instance_within_the_time_limit(change):
    fleet = form_fleet(3, 14)
    fleet.announce("e1", "u", lease_s=600.0)
    fleet.run(SPREAD_LIMIT_S)
    assert len(list_instances_that_know(fleet)) == 17
    if change == "leave":
        fleet.leave("e7", "u")
    else:
        fleet.announce("e7", "u", state="draining", lease_s=600.0)
    fleet.run(SPREAD_LIMIT_S)
    states = {e.state for h in fleet.hosts.values() for e in h.node.upstreams.entries.values()}
    assert states == {LEFT if change == "leave" else DRAINING}


def test_renewals_through_any_instance_extend_the_lease_and_keep_its_owner():
    fleet = form_fleet(3, 14)
    fleet.announce("e1", "u", lease_s=6.0)
    fleet.run(2.0)
    for number in range(30):
        fleet.announce(f"e{number % 14 + 1}", "u", lease_s=6.0)
        fleet.run(2.0)
        assert len(list_instances_that_know(fleet)) == 17
    owners = {h.node.upstreams.entries["u"].owner for h in fleet.hosts.values()}
    assert owners == {"e1"}


def test_an_upstream_that_announces_itself_is_kept_when_the_owner_crashes():
    fleet = form_fleet(3, 5)
    fleet.announce("e1", "u", lease_s=6.0)
    fleet.run(2.0)
    fleet.crash("e1")
    for _ in range(20):
        fleet.run(2.0)
        fleet.announce("e2", "u", lease_s=6.0)
        assert len(list_instances_that_know(fleet)) == 7


def test_a_silent_upstream_expires_everywhere_after_its_owner_crashed():
    fleet = form_fleet(3, 5)
    fleet.announce("e1", "u", lease_s=6.0)
    fleet.run(2.0)
    fleet.crash("e1")
    fleet.run(60.0)
    assert list_instances_that_know(fleet) == []
    fleet.restart("e1")
    fleet.run(30.0)
    assert list_instances_that_know(fleet) == []


def test_leases_are_transferred_when_an_instance_stops():
    fleet = form_fleet(3, 5)
    fleet.announce("e1", "u", lease_s=600.0)
    fleet.run(2.0)
    host = fleet.hosts["e1"]
    fleet.perform(host, host.node.begin_stop(fleet.now))
    fleet.perform(host, host.node.end_stop(fleet.now))
    fleet.run(1.0)
    fleet.crash("e1")
    fleet.run(60.0)
    assert len(list_instances_that_know(fleet)) == 7


def test_an_address_belongs_to_the_latest_incarnation_despite_late_announcements():
    upstreams = UpstreamList("me")
    announce_at(upstreams, "old", 5, "10.0.0.1:80")
    announce_at(upstreams, "new", 9, "10.0.0.1:80")
    assert [e.upstream_id for e in upstreams.list_members("p")] == ["new"]
    announce_at(upstreams, "old", 5, "10.0.0.1:80")
    assert [e.upstream_id for e in upstreams.list_members("p")] == ["new"]


def test_an_announcement_that_arrives_after_a_later_one_is_refused():
    upstreams = UpstreamList("me")
    announce_at(upstreams, "u", 1, "10.0.0.1:80", sequence=5)
    with pytest.raises(StaleAnnouncementError):
        announce_at(upstreams, "u", 1, "10.0.0.1:80", sequence=4)
    announce_at(upstreams, "u", 2, "10.0.0.1:80", sequence=1)
    assert upstreams.entries["u"].announcement.incarnation == 2


def test_the_leave_of_an_unknown_upstream_refuses_its_late_announcement():
    upstreams = UpstreamList("me")
    assert upstreams.leave(0.0, "u", 7)
    with pytest.raises(StaleAnnouncementError):
        announce_at(upstreams, "u", 7, "10.0.0.1:80")
    announce_at(upstreams, "u", 8, "10.0.0.1:80")
    assert [e.upstream_id for e in upstreams.list_members("p")] == ["u"]


def test_the_leave_of_an_older_incarnation_does_not_remove_the_upstream():
    upstreams = UpstreamList("me")
    announce_at(upstreams, "u", 8, "10.0.0.1:80")
    assert upstreams.leave(0.0, "u", 7)
    assert [e.upstream_id for e in upstreams.list_members("p")] == ["u"]


@pytest.mark.parametrize("cut", [0, 1, 2])
def test_a_drain_is_acknowledged_only_if_a_majority_of_control_instances_stored_it(cut):
    fleet = form_fleet(3, 2)
    fleet.announce("c1", "u")
    fleet.run(1.0)
    fleet.cut(["c2", "c3"][:cut])
    host = fleet.hosts["c1"]
    announcement = Announcement(pool="p", address="127.0.0.1:1", incarnation=1, state=DRAINING)
    _, actions = host.node.announce(host.read_clock(), "u", announcement, "token")
    fleet.perform(host, actions)
    fleet.run(2.0)
    assert fleet.receipts == {"token": cut < 2}


def announce_at(upstreams, upstream_id, incarnation, address, sequence=0):
    announcement = Announcement(
        pool="p", address=address, incarnation=incarnation, sequence=sequence
    )
    upstreams.announce(0.0, upstream_id, announcement, lambda _: True)
