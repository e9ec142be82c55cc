"""Orders to evacuate zones: what the replicated log makes of them, under every fault."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum import records as r
from foxtaildrum.control import group, windows
from foxtaildrum.control.evacuations import EvacuationOrder, Evacuations
from foxtaildrum.control.orders import ORDER_TIMEOUT_S
from foxtaildrum.control.snapshots import pack_snapshot, unpack_snapshot
from foxtaildrum.control.table_follower import EVACUATION, TableState
from foxtaildrum.exceptions import FrameError

from .fleet import Fleet, form_fleet, form_joined_fleet
from .test_fleet_matrix import CONVERGENCE_LIMIT_S, FAULT_S, FAULTS

ZONE = "zone-1"
OTHER_ZONE = "zone-2"
PROPAGATION_S = 2.0

STEPS: dict[str, Callable[[Any], bool]] = {
    "order": lambda m: isinstance(m, r.EvacuationRequest),
    "reply": lambda m: isinstance(m, r.EvacuationReply),
    "append": lambda m: (
        isinstance(m, r.AppendRequest) and any(e[2] == EVACUATION for e in m.entries)
    ),
    "acknowledge": lambda m: isinstance(m, r.AppendReply) and m.matched and m.match_index > 1,
    "follow": lambda m: (
        isinstance(m, r.FollowEntries) and any(e[1] == EVACUATION for e in m.entries)
    ),
    "vote": lambda m: isinstance(m, r.VoteReply) and not m.pre and m.granted,
    "snapshot": lambda m: isinstance(m, r.SnapshotPiece),
}


@pytest.fixture
def small_logs(monkeypatch):
    monkeypatch.setattr(group, "COMPACT_ENTRIES", 6)
    monkeypatch.setattr(windows, "WINDOW_ENTRIES", 4)


def is_known_everywhere(fleet: Fleet, zones: set[str]) -> bool:
    return all(known == zones for known in fleet.list_evacuated().values())


def find_follower(fleet: Fleet) -> str:
    leader = fleet.find_leader()
    return next(c for c in fleet.control if c != leader)


# Guards against a state that depends on the replica, and against a first time that is lost.
@given(
    st.lists(st.tuples(st.sampled_from(["a", "b"]), st.booleans(), st.integers(1, 99))),
    st.integers(0, 20),
)
def test_the_state_survives_a_snapshot_at_any_place(orders, place):
    whole, resumed = Evacuations(), Evacuations()
    since: dict[str, float] = {}
    for number, (zone, evacuated, at) in enumerate(orders):
        if number == place:
            resumed = Evacuations.from_wire(resumed.to_wire())
        assert whole.apply(EvacuationOrder(zone, evacuated, at)) == number + 1
        resumed.apply(EvacuationOrder(zone, evacuated, at))
        since = {**since, zone: since.get(zone, at)} if evacuated else without(since, zone)
    assert whole.zones == since
    assert whole.to_wire() == resumed.to_wire()


def without(zones: dict[str, float], zone: str) -> dict[str, float]:
    return {name: at for name, at in zones.items() if name != zone}


# Guards against a snapshot that instances of another build can't read.
def test_snapshots_of_builds_that_know_no_evacuations_are_read_and_understood():
    state = TableState()
    state.apply(EVACUATION, EvacuationOrder(ZONE, True, 5.0).to_wire())
    group_id, tables = unpack_snapshot(pack_snapshot(state.capture()))
    newer = TableState()
    newer.restore([group_id, tables])
    assert newer.tables.evacuations.zones == {ZONE: 5.0}
    older_fields = tables[:3]
    # What an older build does with the fields.
    for name, rows, version, changed_by in older_fields[0]:
        assert (name in ("routes", "pools"), rows, version, changed_by) == (True, [], 0, "")
    number, digest, limits = older_fields[2]
    assert (number, digest, limits) == (0, "", {})
    newer.restore([group_id, older_fields])
    assert newer.tables.evacuations.zones == {}


# Guards against an entry of a later build that stops the log of this one; earlier builds handle
# the entry of an evacuation in the same way.
def test_an_entry_of_an_unknown_kind_changes_nothing():
    state = TableState()
    state.apply(group.ADMIT, {"group_id": "g", "voters": {}})
    before = state.capture()
    assert state.apply("later", EvacuationOrder(ZONE, True, 5.0).to_wire()) is None
    assert state.capture() == before


# Guards against versions of the tables that an order changes: operators compare them.
def test_an_order_changes_no_version():
    fleet = form_fleet()
    fleet.change_until_accepted("first")
    before = fleet.get_versions()
    fleet.order_until_committed(ZONE)
    fleet.run(PROPAGATION_S)
    assert fleet.get_versions() == before
    assert is_known_everywhere(fleet, {ZONE})


@pytest.mark.parametrize("name", ["leader", "follower", "e1"])
def test_any_instance_takes_an_order_and_shows_it_after_the_reply(name):
    fleet = form_fleet()
    name = {"leader": fleet.find_leader(), "follower": find_follower(fleet)}.get(name, name)
    token = fleet.order(name, ZONE)
    assert fleet.run_until(lambda: token in fleet.orders, 5.0)
    assert fleet.orders[token]
    assert fleet.list_evacuated()[name] == {ZONE}
    fleet.run(PROPAGATION_S)
    token = fleet.order(name, ZONE, evacuated=False)
    assert fleet.run_until(lambda: token in fleet.orders, 5.0)
    assert fleet.orders[token]
    assert fleet.list_evacuated()[name] == set()
    fleet.run(PROPAGATION_S)
    assert is_known_everywhere(fleet, set())


# Guards against a refusal of an order that is sent again, or at several instances at once.
def test_the_same_orders_at_all_instances_at_once_are_all_acknowledged():
    fleet = form_joined_fleet()
    tokens = []
    for _ in range(4):
        tokens += [fleet.order(c, zone) for c in fleet.control for zone in (ZONE, OTHER_ZONE)]
        fleet.run(0.1)
    fleet.run(4.0)
    assert {fleet.orders.get(token) for token in tokens} == {True}
    assert is_known_everywhere(fleet, {ZONE, OTHER_ZONE})


# Guards against an order that stays unanswered because the leader that had it has died.
@pytest.mark.parametrize("fault", ["crash", "pause", "partition"])
def test_an_order_is_acknowledged_although_the_leader_fails(fault):
    fleet = form_joined_fleet()
    leader, follower = fleet.find_leader(), find_follower(fleet)
    FAULTS[fault](fleet, leader, follower)
    fleet.order_until_committed_by(follower, ZONE)
    fleet.heal()
    fleet.run(6.0)
    assert is_known_everywhere(fleet, {ZONE})


def test_a_control_instance_without_a_leader_does_not_acknowledge():
    fleet = form_joined_fleet()
    leader = fleet.find_leader()
    fleet.cut([leader])
    token = fleet.order(leader, ZONE)
    assert fleet.run_until(lambda: token in fleet.orders, 5.0)
    assert not fleet.orders[token]


# Guards against an acknowledgement before a quorum has the order.
def test_an_order_without_a_quorum_is_not_acknowledged():
    fleet = form_joined_fleet()
    leader, follower = fleet.find_leader(), find_follower(fleet)
    fleet.cut([leader, follower])
    token = fleet.order(follower, ZONE)
    assert fleet.run_until(lambda: token in fleet.orders, 5.0)
    assert not fleet.orders[token]


# Guards against an acknowledgement of what no disk has taken yet.
@pytest.mark.parametrize("state", ["slow", "full"])
def test_an_order_is_not_acknowledged_while_the_disks_are_slow_or_full(state):
    fleet = form_joined_fleet()
    follower = find_follower(fleet)
    for name in fleet.control:
        if state == "full":
            fleet.hosts[name].disk.failing = True
        else:
            fleet.hosts[name].sync_s = 30.0
    token = fleet.order(follower, ZONE)
    assert fleet.run_until(lambda: token in fleet.orders, 5.0)
    assert not fleet.orders[token]


# Guards against an order whose only message was lost, or went to a leader that is gone.
@pytest.mark.parametrize("fault", ["crash", "cut-link", "loss"])
def test_one_order_is_acknowledged_once_messages_arrive_again(fault):
    fleet = form_joined_fleet()
    leader, follower = fleet.find_leader(), find_follower(fleet)
    FAULTS[fault](fleet, leader, follower)
    token = fleet.order(follower, ZONE)
    if fault == "cut-link":
        fleet.run(0.5)
        fleet.heal()
    assert fleet.run_until(lambda: token in fleet.orders, 5.0)
    assert fleet.orders[token]


# Guards against messages that would make the state or the answers of others invalid.
@pytest.mark.parametrize(
    "message",
    [
        r.EvacuationRequest(token="t", zone=ZONE, evacuated=True, at=math.inf, order_count=0),
        r.EvacuationRequest(token="t", zone=ZONE, evacuated=True, at=1.0, order_count=-1),
        r.EvacuationReply(token="t", committed=True, order_count=0, leader=""),
        r.EvacuationReply(token="t", committed=False, order_count=-2, leader=""),
    ],
)
def test_a_message_with_values_out_of_range_is_refused(message):
    fleet = form_fleet()
    with pytest.raises(FrameError):
        fleet.hosts["c1"].node.receive(fleet.now, "c2", message)


# Guards against a copy of an order that arrives late and undoes an acknowledged later order.
def test_a_late_copy_of_an_order_does_not_undo_a_later_one():
    fleet = form_joined_fleet()
    follower = find_follower(fleet)
    copies = []
    fleet.watchers.append(
        lambda s, t, m: copies.append((s, t, m)) if isinstance(m, r.EvacuationRequest) else None
    )
    token = fleet.order(follower, ZONE)
    fleet.run_until(lambda: token in fleet.orders)
    fleet.order_until_committed(ZONE, evacuated=False)
    fleet.watchers.clear()
    assert copies
    for sender, target, message in copies:
        fleet.send(sender, target, message)
    fleet.run(PROPAGATION_S)
    assert is_known_everywhere(fleet, set())


# Guards against an acknowledged order that is on too few disks.
@pytest.mark.parametrize("seed", range(4))
def test_an_acknowledged_order_survives_power_loss_and_two_lost_disks(seed):
    fleet = form_joined_fleet(seed=seed + 1)
    token = fleet.order(find_follower(fleet), ZONE)
    assert fleet.run_until(lambda: token in fleet.orders)
    assert fleet.orders[token]
    running = list(fleet.hosts)
    for name in running:
        fleet.crash(name)
    lost = fleet.rng.sample(fleet.control, 2)
    for name in running:
        fleet.restart(name, lose_disk=name in lost)
    fleet.run(30.0)
    assert is_known_everywhere(fleet, {ZONE}), fleet.describe()


# Guards against an instance that serves before it knows the orders.
def test_an_instance_that_starts_knows_the_orders_before_it_serves(small_logs):
    fleet = form_fleet(3, 3)
    fleet.order_until_committed(ZONE)
    for number in range(8):
        fleet.change_until_accepted(f"change-{number}")
    fleet.restart("e2")
    node = fleet.hosts["e2"].node
    assert fleet.run_until(lambda: node.is_open(fleet.hosts["e2"].read_clock()))
    assert set(node.state.tables.evacuations.zones) == {ZONE}


# Guards against an order that is lost or never acknowledged when something fails halfway.
@pytest.mark.parametrize("place", ["sender", "receiver"])
@pytest.mark.parametrize("fault", list(FAULTS))
@pytest.mark.parametrize("step", list(STEPS))
def test_orders_under_every_fault_at_every_step(step, fault, place, small_logs):
    fleet = form_fleet(3, 3, seed=7)
    fleet.run(2.0)
    injected = []

    def watch(sender: str, target: str, message: Any) -> None:
        if injected or not STEPS[step](message):
            return
        injected.append(step)
        victim, other = (sender, target) if place == "sender" else (target, sender)
        FAULTS[fault](fleet, victim, other)
        fleet.schedule(FAULT_S, "heal")

    fleet.watchers.append(watch)
    give_orders(fleet, FAULT_S / 4)
    fleet.run(FAULT_S)
    fleet.watchers.clear()
    fleet.heal()
    assert fleet.run_until(fleet.is_converged, CONVERGENCE_LIMIT_S), fleet.describe()
    # Whatever came of the orders before: when sent again they are acknowledged and in force.
    fleet.order_until_committed(ZONE)
    fleet.order_until_committed(OTHER_ZONE, evacuated=False)
    assert fleet.run_until(lambda: is_known_everywhere(fleet, {ZONE}), 10.0), fleet.describe()


def give_orders(fleet: Fleet, pause_s: float) -> None:
    """Send orders to all running instances in turn while faults are injected."""
    expected = None
    for round_number, evacuated in enumerate((True, False, True, True)):
        for name in [*fleet.control, "e1"]:
            host = fleet.hosts[name]
            if host.node is None or host.paused:
                continue
            started = fleet.now
            token = fleet.order(name, ZONE, evacuated)
            fleet.run_until(lambda t=token: t in fleet.orders, 4.0)
            if fleet.orders.get(token):
                expected = evacuated
                check_shown(fleet, name, evacuated, fleet.now - started)
        if round_number == 1 and fleet.find_leader():
            fleet.restart(fleet.find_leader())
        if round_number == 2 and fleet.may_lose_disk("c3"):
            fleet.restart("c3", lose_disk=True)
        fleet.run(pause_s)
    assert expected is not None


def check_shown(fleet: Fleet, name: str, evacuated: bool, took_s: float) -> None:
    """Check that an instance knows an order that it has acknowledged.

    Its reply waits for that, but not beyond its time: an instance whose disk fails applies
    nothing, while the others commit.
    """
    host = fleet.hosts[name]
    if host.node is not None and not host.paused and took_s < ORDER_TIMEOUT_S - 0.2:
        assert (ZONE in host.node.state.tables.evacuations.zones) == evacuated


def test_every_step_occurs(small_logs):
    """Each step must occur without faults; otherwise its row of the matrix tests nothing."""
    seen = set()
    fleet = form_fleet(3, 3, seed=7)
    fleet.run(2.0)
    fleet.watchers.append(
        lambda s, t, m: seen.update(name for name, matches in STEPS.items() if matches(m))
    )
    give_orders(fleet, FAULT_S / 4)
    fleet.run(FAULT_S)
    assert seen == set(STEPS)
