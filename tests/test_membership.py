"""Membership: failure detection, rejoining, partitions and bounded traffic."""

from __future__ import annotations

import pytest

from .fleet import Fleet, form_fleet, is_full

DETECTION_S = 20.0
MAX_BYTES_PER_S = 2000
FRAME_OVERHEAD_BYTES = 20 + 40


def get_states(fleet, name: str) -> set[str]:
    return {
        h.node.members.members[name].state.name
        for h in fleet.hosts.values()
        if h.node is not None and h.instance_id != name
    }


@pytest.mark.parametrize("fault", ["crash", "pause"])
def test_an_unresponsive_member_is_declared_dead_and_alive_again_when_it_returns(fault):
    fleet = form_fleet(3, 14)
    getattr(fleet, fault)("e5")
    fleet.run(DETECTION_S)
    assert get_states(fleet, "e5") == {"DEAD"}
    fleet.heal()
    fleet.run(DETECTION_S)
    assert get_states(fleet, "e5") == {"ALIVE"}


def test_a_member_that_stops_is_known_to_have_left():
    fleet = form_fleet(3, 5)
    host = fleet.hosts["e1"]
    fleet.perform(host, host.node.end_stop(fleet.now))
    fleet.crash("e1")
    fleet.run(3.0)
    assert get_states(fleet, "e1") == {"LEFT"}


def test_a_broken_link_between_two_members_marks_neither_as_dead():
    fleet = form_fleet(3, 5)
    fleet.blocked.update({("e1", "e2"), ("e2", "e1")})
    for _ in range(30):
        fleet.run(2.0)
        assert "DEAD" not in get_states(fleet, "e1") | get_states(fleet, "e2")


def test_all_members_are_alive_again_after_a_partition_heals():
    fleet = form_fleet(3, 9)
    fleet.cut(["e1", "e2", "e3"])
    fleet.run(60.0)
    fleet.heal()
    assert fleet.run_until(fleet.is_converged, 60.0)
    fleet.run(DETECTION_S)
    assert all(get_states(fleet, name) == {"ALIVE"} for name in fleet.hosts)


@pytest.mark.parametrize("entries", [14, 61])
def test_the_traffic_of_an_idle_member_stays_within_the_budget(entries):
    fleet = form_fleet(3, entries)
    fleet.run(20.0)
    before = dict(fleet.sent_bytes)
    messages_before = fleet.messages
    fleet.run(60.0)
    frames_per_s = (fleet.messages - messages_before) / 60.0 / len(fleet.hosts)
    max_entry_bytes_per_s = max(
        (fleet.sent_bytes[n] - before[n]) / 60.0 for n in fleet.hosts if n.startswith("e")
    )
    assert max_entry_bytes_per_s + frames_per_s * FRAME_OVERHEAD_BYTES < MAX_BYTES_PER_S


def count_restart_messages(entry: int) -> float:
    """Return the messages for each instance until all serve after a restart of all."""
    fleet = Fleet(5, entry, 1, seeds=3, tolerated_losses=2)
    assert fleet.run_until(lambda: is_full(fleet), 30.0)
    fleet.run(2.0)
    for name in fleet.hosts:
        fleet.crash(name)
    fleet.run(1.0)
    sent_before = fleet.messages
    for number, name in enumerate(fleet.hosts):
        fleet.schedule(0.3 * number / len(fleet.hosts), "restart", name)

    def all_open() -> bool:
        hosts = fleet.hosts.values()
        return all(h.node is not None and h.node.is_open(h.read_clock()) for h in hosts)

    assert fleet.run_until(all_open, 5.0)
    return (fleet.messages - sent_before) / len(fleet.hosts)


def test_the_messages_of_a_start_do_not_grow_with_the_fleet():
    """When all instances start, each one hears of all others; the news must go in batches."""
    assert count_restart_messages(64) <= 1.3 * count_restart_messages(16)
