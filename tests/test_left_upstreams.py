"""Upstreams that drain or left: what is acknowledged holds after every loss of processes."""

from __future__ import annotations

import itertools

import msgpack
import pytest

from foxtaildrum import records as r
from foxtaildrum.admin.metrics import Meter
from foxtaildrum.control.journal import Journal
from foxtaildrum.fleet.actions import UPSTREAM_STREAM
from foxtaildrum.fleet.upstreams import DRAINING, LEFT, READY, Entry
from foxtaildrum.instance import load_upstreams
from foxtaildrum.records import Announcement

from .fleet import FakeDisk, Fleet, Host, form_fleet, form_joined_fleet

ACK_LIMIT_S = 1.0
SETTLED_S = 3.0
# Two repeats of the news, rather than the next ping of a neighbour.
REPEATED_S = 0.75
LEASE_S = 6.0


def build_announcement(state: str = READY, incarnation: int = 7) -> Announcement:
    return Announcement(
        pool="p",
        address="127.0.0.1:1",
        incarnation=incarnation,
        state=state,
        lease_s=LEASE_S,
    )


def begin_leaving(fleet: Fleet, name: str, change: str, token: str = "leave") -> None:
    """Let upstream ``u`` drain or leave at an instance that confirms it under ``token``."""
    host = fleet.hosts[name]
    now = host.read_clock()
    if change == "drain":
        refusal, actions = host.node.announce(now, "u", build_announcement(DRAINING), token)
        assert not refusal
    else:
        _, actions = host.node.leave_upstream(now, "u", 7, token)
    fleet.perform(host, actions)


def leave_until_acknowledged(fleet: Fleet, name: str, change: str) -> None:
    begin_leaving(fleet, name, change)
    assert fleet.run_until(lambda: "leave" in fleet.receipts, ACK_LIMIT_S)
    assert fleet.receipts == {"leave": True}


def read_saved(host: Host) -> list[Entry]:
    """Return the entries on the disk of an instance."""
    records = Journal(host.disk, UPSTREAM_STREAM).load()
    return [Entry.from_wire(0.0, msgpack.unpackb(record)) for record in records]


def list_users(fleet: Fleet) -> list[str]:
    """Return the instances that would send requests to an upstream."""
    return [
        name
        for name, host in fleet.hosts.items()
        if host.node is not None
        and host.node.is_open(host.read_clock())
        and any(e.state == READY for e in host.node.upstreams.list_members("p"))
    ]


@pytest.mark.parametrize("change", ["drain", "leave"])
@pytest.mark.parametrize("name", ["c1", "e1"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_acknowledged_leave_survives_a_loss_of_power(change, name, seed):
    fleet = form_joined_fleet(seed=seed)
    fleet.announce("c2", "u", incarnation=7)
    fleet.run(2.0)
    assert len(list_users(fleet)) == 8
    leave_until_acknowledged(fleet, name, change)
    for host in fleet.hosts:
        fleet.crash(host)
    for host in fleet.hosts:
        fleet.restart(host)
    assert fleet.run_until(fleet.is_converged, SETTLED_S), fleet.describe()
    assert list_users(fleet) == []


@pytest.mark.parametrize("change", ["drain", "leave"])
def test_an_instance_that_starts_waits_until_it_knows_who_left(change):
    for order in itertools.permutations(["c1", "c2", "c3", "e1"]):
        fleet = form_fleet(3, 2)
        fleet.announce("c3", "u", incarnation=7)
        fleet.run(2.0)
        fleet.crash("c3")
        leave_until_acknowledged(fleet, "c1", change)
        for host in fleet.hosts:
            fleet.crash(host)
        for host in order:
            fleet.restart(host)
            for _ in range(100):
                fleet.run(0.003)
                assert list_users(fleet) == [], order
        fleet.run(SETTLED_S)
        assert list_users(fleet) == [], order


def test_a_start_that_reaches_too_few_control_instances_ends_all_the_same():
    fleet = form_joined_fleet()
    fleet.announce("c1", "u", incarnation=7)
    fleet.run(2.0)
    fleet.crash("e1")
    fleet.blocked = {(a, b) for c in ("c2", "c3", "c4") for a, b in [("e1", c), (c, "e1")]}
    fleet.restart("e1")
    assert fleet.run_until(lambda: "e1" in list_users(fleet), 5.0), fleet.describe()


def test_a_receipt_of_a_voter_means_that_its_disk_has_the_update():
    fleet = form_joined_fleet()
    fleet.announce("c2", "u", incarnation=7)
    fleet.run(2.0)
    found = []

    def check(sender: str, target: str, message: object) -> None:
        if isinstance(message, r.NewsReceipt) and sender in fleet.control:
            found.append([e.state for e in read_saved(fleet.hosts[sender])])

    fleet.watchers.append(check)
    for host in fleet.hosts.values():
        host.sync_s = 0.2
    leave_until_acknowledged(fleet, "c1", "leave")
    fleet.run(2.0)
    assert len(found) >= 2
    assert all(LEFT in states for states in found), found


@pytest.mark.parametrize("sync_s", [0.0005, 0.002, 0.1, 0.4])
def test_a_leave_is_acknowledged_in_time_on_slow_disks(sync_s):
    fleet = form_joined_fleet()
    fleet.announce("c2", "u", incarnation=7)
    fleet.run(2.0)
    for host in fleet.hosts.values():
        host.sync_s = sync_s
    leave_until_acknowledged(fleet, "c1", "leave")


def test_a_leave_is_acknowledged_while_two_of_five_disks_fail():
    fleet = form_joined_fleet()
    fleet.announce("c2", "u", incarnation=7)
    fleet.run(2.0)
    for name in ("c4", "c5"):
        fleet.hosts[name].disk.failing = True
    leave_until_acknowledged(fleet, "c1", "leave")


def test_no_leave_is_acknowledged_while_three_of_five_disks_fail():
    fleet = form_joined_fleet()
    fleet.announce("c2", "u", incarnation=7)
    fleet.run(2.0)
    for name in ("c3", "c4", "c5"):
        fleet.hosts[name].disk.failing = True
    begin_leaving(fleet, "c1", "leave")
    fleet.run(2.0)
    assert fleet.receipts == {"leave": False}


@pytest.mark.parametrize("change", ["drain", "leave"])
def test_an_entry_instance_acknowledges_no_leave_that_only_it_knows(change):
    fleet = form_joined_fleet()
    fleet.announce("c2", "u", incarnation=7)
    fleet.run(2.0)
    fleet.cut(["e1"])
    begin_leaving(fleet, "e1", change)
    fleet.run(2.0)
    assert fleet.receipts == {"leave": False}


def test_an_entry_instance_in_a_minority_acknowledges_no_leave():
    fleet = form_joined_fleet()
    fleet.announce("c2", "u", incarnation=7)
    fleet.run(2.0)
    fleet.cut(["e1", "c1", "c2"])
    fleet.run(20.0)
    begin_leaving(fleet, "e1", "leave")
    fleet.run(2.0)
    assert fleet.receipts == {"leave": False}


def test_a_leave_that_no_majority_confirmed_is_acknowledged_when_it_is_repeated():
    fleet = form_fleet(3, 2)
    fleet.announce("c2", "u", incarnation=7)
    fleet.run(2.0)
    fleet.cut(["c1"])
    begin_leaving(fleet, "c1", "leave", "first")
    fleet.run(1.5)
    fleet.blocked.clear()
    fleet.run(SETTLED_S)
    host = fleet.hosts["c2"]
    known, actions = host.node.leave_upstream(host.read_clock(), "u", 7, "second")
    fleet.perform(host, actions)
    fleet.run(1.0)
    assert known
    assert fleet.receipts == {"first": False, "second": True}


def test_an_upstream_whose_new_start_is_known_may_leave_under_the_former_one():
    fleet = form_joined_fleet()
    fleet.announce("c2", "u", incarnation=7)
    fleet.run(2.0)
    fleet.announce("c2", "u", incarnation=8)
    leave_until_acknowledged(fleet, "c1", "leave")
    for host in fleet.hosts:
        fleet.crash(host)
    for host in fleet.hosts:
        fleet.restart(host)
    fleet.run(SETTLED_S)
    incarnations = {
        e.announcement.incarnation
        for h in fleet.hosts.values()
        for e in h.node.upstreams.list_members("p")
    }
    assert incarnations == {8}


def test_a_damaged_record_does_not_cost_the_leaves_beside_it():
    disk = FakeDisk()
    journal = Journal(disk, UPSTREAM_STREAM)
    packed = [
        msgpack.packb(
            Entry(name, build_announcement(), LEFT, "c1", 1, False, 99.0).to_wire(0.0)
        )
        for name in "abc"
    ]
    journal.append(*packed)
    data = bytearray(disk.files[UPSTREAM_STREAM])
    data[len(data) // 2] ^= 0xFF
    disk.files[UPSTREAM_STREAM] = bytes(data)
    assert [fields[0] for fields in load_upstreams(journal, Meter())] == ["a", "c"]
    journal.append(packed[1])
    assert [fields[0] for fields in load_upstreams(journal, Meter())] == ["a", "c", "b"]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_leave_reaches_a_large_fleet_in_time_while_messages_get_lost(seed):
    fleet = form_fleet(3, 80, seed)
    fleet.announce("c2", "u", incarnation=7)
    fleet.run(3.0)
    fleet.loss = 0.3
    leave_until_acknowledged(fleet, "c1", "leave")
    acknowledged_at = fleet.now
    assert fleet.run_until(lambda: list_users(fleet) == [], 10.0)
    assert fleet.now - acknowledged_at < REPEATED_S


def test_leaves_are_acknowledged_once_the_disks_take_bytes_again():
    fleet = form_fleet(3, 2)
    fleet.announce("c2", "u", incarnation=7)
    fleet.run(2.0)
    disks = [fleet.hosts[name].disk for name in ("c2", "c3")]
    for disk in disks:
        disk.failing = True
    begin_leaving(fleet, "c1", "leave", "first")
    fleet.run(1.0)
    for disk in disks:
        disk.failing = False
    begin_leaving(fleet, "c1", "leave", "second")
    fleet.run(1.0)
    assert fleet.receipts == {"first": False, "second": True}
