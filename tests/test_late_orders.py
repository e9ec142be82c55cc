"""Orders on zones that are carried out late: none undoes one that was acknowledged after it."""

from __future__ import annotations

import pytest

from foxtaildrum import records as r
from foxtaildrum.control.evacuations import EvacuationOrder, Evacuations
from foxtaildrum.control.orders import ORDER_TIMEOUT_S, OrderOutcome

from .fleet import Fleet, form_joined_fleet

ZONE = "zone-1"
OTHER_ZONE = "zone-2"
PROPAGATION_S = 2.0
FREEZE_S = 3.5
# One control instance more than the group has members.
CONTROL = 6
ROLES = ["leader", "follower", "outside", "entry"]


@pytest.fixture
def fleet():
    fleet = form_joined_fleet(CONTROL, 2)
    fleet.run(PROPAGATION_S)
    return fleet


def find_instance(fleet: Fleet, role: str) -> str:
    """Return an instance that leads, follows, or is no member of the control group."""
    leader = fleet.find_leader()
    voters = fleet.hosts[leader].node.consensus.voters
    others = [c for c in fleet.control if c != leader]
    if role == "outside":
        return next(c for c in others if c not in voters)
    return {"leader": leader, "follower": next(c for c in others if c in voters)}.get(
        role, "e1"
    )


def give_orders(fleet: Fleet, *orders: bool, besides: str) -> None:
    """Order to evacuate or restore the zone, through all instances but one."""
    names = [c for c in fleet.control if c != besides]
    for evacuated in orders:
        fleet.order_until_committed(ZONE, evacuated, names)


def list_known(fleet: Fleet) -> list[bool]:
    return [ZONE in known for known in fleet.list_evacuated().values()]


def count_orders(fleet: Fleet, name: str) -> int:
    return fleet.hosts[name].node.state.tables.evacuations.order_count


# Guards against an order that waits at an instance without a way to the leader, and is sent
# again after the operator has given it and the opposite one elsewhere.
@pytest.mark.parametrize("evacuated", [False, True])
@pytest.mark.parametrize("role", ROLES)
def test_an_order_that_is_sent_again_undoes_no_later_one(fleet, role, evacuated):
    name = find_instance(fleet, role)
    give_orders(fleet, not evacuated, besides=name)
    fleet.run(PROPAGATION_S)
    fleet.cut([name])
    late = fleet.order(name, ZONE, evacuated)
    given_at = fleet.now
    give_orders(fleet, evacuated, not evacuated, besides=name)
    assert fleet.now - given_at < ORDER_TIMEOUT_S
    fleet.heal()
    fleet.run(ORDER_TIMEOUT_S + PROPAGATION_S)
    assert not fleet.orders[late]
    assert list_known(fleet) == [not evacuated] * len(fleet.hosts)


# Guards against an order that lay in the socket of a paused instance and is taken for a new
# one, whether the instance has heard of the orders since or not.
@pytest.mark.parametrize("heard_s", [0.0, PROPAGATION_S])
@pytest.mark.parametrize("evacuated", [False, True])
@pytest.mark.parametrize("role", ROLES)
def test_an_order_that_is_read_late_undoes_no_later_one(fleet, role, evacuated, heard_s):
    name = find_instance(fleet, role)
    give_orders(fleet, not evacuated, besides=name)
    fleet.run(PROPAGATION_S)
    known_orders = count_orders(fleet, name)
    fleet.pause(name)
    woken_at = fleet.now + FREEZE_S
    give_orders(fleet, evacuated, not evacuated, besides=name)
    fleet.run(woken_at - fleet.now)
    fleet.resume(name)
    fleet.run(heard_s)
    late = fleet.order(name, ZONE, evacuated, known_orders)
    fleet.run(ORDER_TIMEOUT_S + PROPAGATION_S)
    assert not fleet.orders[late]
    assert list_known(fleet) == [not evacuated] * len(fleet.hosts)


# Guards against a refusal that an operator waits for: the order can be sent again at once.
@pytest.mark.parametrize("role", ROLES)
def test_an_overtaken_order_is_refused_at_once(fleet, role):
    name = find_instance(fleet, role)
    known_orders = count_orders(fleet, name)
    give_orders(fleet, True, besides=name)
    fleet.run(PROPAGATION_S)
    late = fleet.order(name, ZONE, False, known_orders)
    assert fleet.run_until(lambda: late in fleet.orders, 0.2)
    assert not fleet.orders[late]
    assert fleet.outcomes[late] is OrderOutcome.OVERTAKEN


# Guards against refusing what undoes nothing: the same order again, or one on another zone.
@pytest.mark.parametrize("role", ROLES)
def test_orders_that_undo_nothing_are_acknowledged_however_late(fleet, role):
    name = find_instance(fleet, role)
    known_orders = count_orders(fleet, name)
    give_orders(fleet, False, True, besides=name)
    fleet.run(PROPAGATION_S)
    tokens = [
        fleet.order(name, ZONE, True, known_orders),
        fleet.order(name, OTHER_ZONE, True, known_orders),
    ]
    assert fleet.run_until(lambda: all(t in fleet.orders for t in tokens), 2.0)
    assert all(fleet.orders[t] for t in tokens)


# Guards against a bound for late orders that keeps out an operator who changes its mind.
@pytest.mark.parametrize("role", ROLES)
def test_start_end_and_start_within_a_second_are_acknowledged(fleet, role):
    name = find_instance(fleet, role)
    given_at = fleet.now
    for evacuated in (True, False, True):
        token = fleet.order(name, ZONE, evacuated)
        assert fleet.run_until(lambda t=token: t in fleet.orders, 1.0)
        assert fleet.orders[token]
    assert fleet.now - given_at < 1.0


# Guards against an order that is refused because it waited while another was being committed.
def test_orders_on_several_zones_that_wait_for_each_other_are_acknowledged(fleet):
    zones = [f"zone-{n}" for n in range(8)]
    leader = fleet.find_leader()
    tokens = [fleet.order(leader, zone) for zone in zones]
    tokens += [fleet.order("e1", zone) for zone in zones]
    assert fleet.run_until(lambda: all(t in fleet.orders for t in tokens), 2.0)
    assert all(fleet.orders[t] for t in tokens)


# Guards against an order of a zone that another zone's orders overtake, and against a record of
# the last orders that a snapshot loses.
def test_the_state_tells_which_orders_would_undo_a_later_one():
    state = Evacuations()
    for zone, evacuated in ((ZONE, True), (OTHER_ZONE, True), (ZONE, False)):
        state.apply(EvacuationOrder(zone, evacuated, 1.0))
    for resumed in (state, Evacuations.from_wire(state.to_wire())):
        assert not resumed.may_follow(EvacuationOrder(ZONE, True, 1.0), 2)
        assert resumed.may_follow(EvacuationOrder(ZONE, True, 1.0), 3)
        assert resumed.may_follow(EvacuationOrder(ZONE, False, 1.0), 0)
        assert not resumed.may_follow(EvacuationOrder(OTHER_ZONE, False, 1.0), 1)
        assert resumed.may_follow(EvacuationOrder(OTHER_ZONE, False, 1.0), 2)
        assert resumed.may_follow(EvacuationOrder("unknown", True, 1.0), 0)


# Guards against a state of an earlier build, which doesn't tell on which zone its orders were.
def test_the_orders_of_an_earlier_build_may_have_been_on_any_zone():
    state = Evacuations.from_wire([3, [[ZONE, 1.0]]])
    assert not state.may_follow(EvacuationOrder(ZONE, False, 1.0), 2)
    assert state.may_follow(EvacuationOrder(ZONE, False, 1.0), 3)
    assert not state.may_follow(EvacuationOrder(OTHER_ZONE, True, 1.0), 2)
    # What an earlier build reads of a state of this one.
    assert state.to_wire()[:2] == [3, [[ZONE, 1.0]]]


# Guards against a leader of an earlier build, which refuses an order after any other one and
# expects that it is sent again with the number of its reply.
def test_an_order_that_an_earlier_leader_refuses_is_not_sent_again(fleet):
    name = find_instance(fleet, "follower")
    fleet.cut([name])
    late = fleet.order(name, ZONE)
    sent = []
    fleet.watchers.append(lambda s, t, m: sent.append(m) if s == name else None)
    host = fleet.hosts[name]
    reply = r.EvacuationReply(token=late, committed=False, order_count=1, leader="")
    fleet.perform(host, host.node.receive(host.read_clock(), fleet.find_leader(), reply))
    assert fleet.outcomes[late] is OrderOutcome.OVERTAKEN
    fleet.run(ORDER_TIMEOUT_S)
    assert not [m for m in sent if isinstance(m, r.EvacuationRequest)]


# Guards against an entry of a deposed leader's log that is committed after later orders.
@pytest.mark.parametrize("evacuated", [False, True])
def test_an_order_in_the_log_of_a_deposed_leader_undoes_no_later_one(fleet, evacuated):
    leader = fleet.find_leader()
    give_orders(fleet, not evacuated, besides=leader)
    fleet.run(PROPAGATION_S)
    fleet.cut([leader])
    log = fleet.hosts[leader].node.consensus.log
    last_index = log.last_index
    late = fleet.order(leader, ZONE, evacuated)
    assert log.last_index == last_index + 1
    give_orders(fleet, evacuated, not evacuated, besides=leader)
    fleet.heal()
    fleet.run(ORDER_TIMEOUT_S + PROPAGATION_S)
    assert not fleet.orders[late]
    assert list_known(fleet) == [not evacuated] * len(fleet.hosts)
