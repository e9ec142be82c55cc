"""Control groups that form from seeds: growth, replaced members and lost disks."""

from __future__ import annotations

import itertools

import pytest

from foxtaildrum.control.group import Role
from foxtaildrum.control.journal import Journal
from foxtaildrum.exceptions import CorruptJournalError
from foxtaildrum.instance import load_log_state

from .fleet import FakeDisk, Fleet, form_joined_fleet, is_full


def list_voters(fleet: Fleet) -> set[str]:
    return set(fleet.hosts[fleet.find_leader()].node.consensus.voters)


def test_a_group_forms_from_the_seeds_and_admits_the_others():
    fleet = form_joined_fleet()
    assert list_voters(fleet) == {"c1", "c2", "c3", "c4", "c5"}


def test_nothing_is_accepted_before_the_group_has_its_full_size():
    fleet = Fleet(5, 1, 3, seeds=3, tolerated_losses=2)
    tokens = []
    while not is_full(fleet):
        leader = fleet.find_leader()
        if leader:
            tokens.append(fleet.put_desired(leader, 1, "early"))
        fleet.step()
        assert not any(
            a.verdict == "accepted" for t, a in fleet.answers.items() if t in tokens
        ), "accepted before the group was full"
    assert fleet.run_until(lambda: any(fleet.answers.get(t) is not None for t in tokens), 5.0)


def test_a_group_accepts_changes_after_a_wait_if_the_others_never_join():
    fleet = Fleet(5, 1, 4, seeds=3, tolerated_losses=2)
    for name in ("c4", "c5"):
        fleet.crash(name)
    fleet.run(8.0)
    fleet.put_desired_until_accepted(1, "small")


def test_instances_with_empty_disks_form_no_group_after_their_first_start():
    fleet = Fleet(3, 1, 5, seeds=3, tolerated_losses=1)
    for name in fleet.control:
        fleet.hosts[name].crash()
        fleet.hosts[name].disk = FakeDisk()
        fleet.hosts[name].start()
    fleet.run(30.0)
    assert fleet.find_leader() == ""


@pytest.mark.parametrize(
    "lost", list(itertools.combinations(["c1", "c2", "c3", "c4", "c5"], 2))
)
def test_no_acknowledged_change_is_lost_with_two_disks(lost):
    fleet = form_joined_fleet(seed=6)
    fleet.put_desired_until_accepted(7, "kept")
    for name in fleet.control:
        fleet.crash(name)
    for name in fleet.control:
        fleet.restart(name, lose_disk=name in lost)
    assert fleet.run_until(lambda: fleet.read_desired("c1") == 7, 30.0), fleet.describe()
    fleet.put_desired_until_accepted(8, "after")
    assert fleet.run_until(lambda: len(list_voters(fleet)) == 5, 30.0), fleet.describe()


def test_a_second_pair_of_disks_may_be_lost_once_the_first_is_replaced():
    fleet = form_joined_fleet(seed=7)
    fleet.put_desired_until_accepted(3, "kept")
    for pair in (("c1", "c2"), ("c3", "c4"), ("c5", "c1")):
        for name in pair:
            fleet.crash(name)
        for name in pair:
            fleet.restart(name, lose_disk=True)
        assert fleet.run_until(
            lambda: all(fleet.hosts[c].node.consensus.is_voter() for c in fleet.control),
            30.0,
        ), fleet.describe()
        fleet.run(1.0)
    assert fleet.read_desired("c5") == 3


def test_a_control_instance_at_a_new_address_takes_the_place_of_one_that_is_gone():
    fleet = Fleet(6, 2, 8, seeds=3, tolerated_losses=2)
    newcomer = fleet.hosts["c6"]
    newcomer.crash()
    newcomer.joins_late = True
    assert fleet.run_until(lambda: is_full(fleet), 30.0)
    fleet.put_desired_until_accepted(4, "kept")
    fleet.crash("c2")
    newcomer.disk = FakeDisk()
    newcomer.start()
    assert fleet.run_until(
        lambda: (
            bool(fleet.find_leader()) and list_voters(fleet) == {"c1", "c3", "c4", "c5", "c6"}
        ),
        40.0,
    ), fleet.describe()
    assert fleet.read_desired("c6") == 4


def test_a_group_recovers_after_all_processes_are_killed():
    fleet = form_joined_fleet(seed=9)
    fleet.put_desired_until_accepted(2, "kept")
    fleet.announce("c1", "u", pool="kept", address="127.0.0.1:9")
    fleet.run(1.0)
    for name in list(fleet.hosts):
        fleet.crash(name)
    for name in list(fleet.hosts):
        fleet.restart(name)
    fleet.run(3.0)
    for host in fleet.hosts.values():
        assert host.node.state.tables.desired_number == 2, fleet.describe()
        assert host.node.is_open(host.read_clock()), host.instance_id
        assert [e.upstream_id for e in host.node.upstreams.list_members("kept")] == ["u"]


def measure_restart_of_all(seed: int) -> float:
    """Return the time from the last restart until all instances serve callers, in seconds."""
    fleet = Fleet(5, 16, seed, seeds=3, tolerated_losses=2)
    assert fleet.run_until(lambda: is_full(fleet), 30.0)
    fleet.put_desired_until_accepted(2, "kept")
    fleet.run(1.0)
    for name in list(fleet.hosts):
        fleet.crash(name)
    for name in list(fleet.hosts):
        fleet.run(0.002)
        fleet.restart(name)
    began = fleet.now
    hosts = fleet.hosts.values()
    assert fleet.run_until(lambda: all(h.node.is_open(h.read_clock()) for h in hosts), 10.0), (
        fleet.describe()
    )
    return fleet.now - began


def test_a_restart_of_all_instances_completes_within_half_a_second():
    durations = [measure_restart_of_all(seed) for seed in range(20, 36)]
    assert sorted(durations)[len(durations) * 3 // 4] < 0.5, durations
    assert max(durations) < 1.5, durations


def test_a_leader_that_was_cut_off_accepts_and_reads_nothing():
    fleet = form_joined_fleet(seed=10)
    fleet.put_desired_until_accepted(1, "first")
    old = fleet.find_leader()
    fleet.cut([old])
    fleet.put_desired(old, 2, "lost")
    fleet.run(0.05)
    assert fleet.read_desired(old) is None
    fleet.run(5.0)
    assert fleet.hosts[old].node.consensus.role is not Role.LEADER
    fleet.put_desired_until_accepted(3, "kept") if fleet.find_leader() != old else None
    fleet.heal()
    fleet.run(3.0)
    assert fleet.read_desired(old) == 3


@pytest.mark.parametrize("where", [0, 0.3, 0.7])
def test_a_damaged_journal_is_set_aside_and_its_instance_rejoins(where):
    fleet = form_joined_fleet(seed=11)
    for number in range(1, 6):
        fleet.put_desired_until_accepted(number, f"p{number}")
    fleet.crash("c4")
    data = bytearray(fleet.hosts["c4"].disk.files["log"])
    data[int(len(data) * where) + 9] ^= 0xFF
    fleet.hosts["c4"].disk.files["log"] = bytes(data)
    fleet.hosts["c4"].start()
    assert "log.damaged" in fleet.hosts["c4"].disk.files
    assert not fleet.hosts["c4"].node.consensus.is_voter()
    assert fleet.run_until(lambda: fleet.hosts["c4"].node.consensus.is_voter(), 30.0), (
        fleet.describe()
    )
    assert fleet.read_desired("c4") == 5


def test_a_damaged_journal_of_a_single_instance_is_refused():
    fleet = form_joined_fleet(seed=12)
    disk = fleet.hosts["c1"].disk
    disk.files["log"] = b"x" * 9 + disk.files["log"]
    with pytest.raises(CorruptJournalError):
        load_log_state(Journal(disk, "log"))


def test_an_entry_instance_reads_through_any_control_instance():
    fleet = form_joined_fleet(seed=13)
    fleet.put_desired_until_accepted(6, "kept")
    assert [fleet.read_desired("e1") for _ in range(12)] == [6] * 12
