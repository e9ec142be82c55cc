"""Evacuation of a zone at peak load, without a network: what reaches its upstreams."""

from __future__ import annotations

import logging
from collections import Counter

import pytest

from foxtaildrum.balancing.evacuation import WITHDRAWAL_SHARE
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.logs import LOGGER_NAME
from foxtaildrum.records import Settings

from .serving_fleet import ServingFleet

ZONE = "zone-1"
EVACUATION_S = Settings().evacuation_s
UPSTREAMS = 24
# With one zone of three evacuated this is 80% of what the others can serve.
REQUESTS_PER_S = 512.0
SERVICE_S = 0.15


def form(entry: int, rate: float = REQUESTS_PER_S, **options) -> ServingFleet:
    fleet = ServingFleet(entry, UPSTREAMS, rate, seed=5, service_s=SERVICE_S, **options)
    fleet.form()
    return fleet


def order(fleet: ServingFleet, evacuated: bool = True) -> float:
    """Give an order at a control instance that does not lead; return when it was committed."""
    leader = fleet.find_leader()
    token = fleet.order(next(c for c in fleet.control if c != leader), ZONE, evacuated)
    assert fleet.run_until(lambda: token in fleet.orders, 5.0)
    assert fleet.orders[token]
    return fleet.now


def list_arrivals(fleet: ServingFleet, since: float) -> list[tuple[float, str]]:
    """Return the time and the sender of each request that reached the zone."""
    return [
        arrival
        for upstream in fleet.upstreams.values()
        if upstream.zone == ZONE
        for arrival in upstream.arrivals
        if arrival[0] >= since
    ]


def count_refused(fleet: ServingFleet, start: float, end: float) -> Counter:
    return Counter(kind for at, _, kind in fleet.refused_at if start <= at < end)


# Guards against requests that reach the zone too late, a load that moves at one moment, callers
# that are refused meanwhile, and instances in the zone that no longer serve theirs.
@pytest.mark.parametrize("entry", [16, 142])
def test_an_evacuation_at_peak_load_is_in_force_in_time_and_refuses_few(entry):
    fleet = form(entry)
    before = fleet.count_served(fleet.now - 2.0, fleet.now) / 2.0
    committed_at = order(fleet)
    fleet.run(EVACUATION_S + 3.0)
    assert list_arrivals(fleet, committed_at + EVACUATION_S) == []
    # Gradual: the zone still gets some requests after a second, and fewer than before.
    first = len(list_arrivals(fleet, committed_at))
    later = len(list_arrivals(fleet, committed_at + 1.0))
    assert 0.05 * first < later < 0.6 * first
    for start in range(int(EVACUATION_S) + 2):
        served = fleet.count_served(committed_at + start, committed_at + start + 1.0)
        assert served >= 0.85 * before, start
    refused = count_refused(fleet, committed_at, fleet.now)
    assert refused[ErrorKind.ZONES_EVACUATED] == 0
    assert refused.total() <= 0.01 * REQUESTS_PER_S * (EVACUATION_S + 3.0)
    in_zone = {name for name in fleet.entries if fleet.hosts[name].zone == ZONE}
    serving = {sender for u in fleet.upstreams.values() for _, sender in u.arrivals[-400:]}
    assert in_zone <= serving
    withdrawn_at = order(fleet, evacuated=False)
    fleet.run(EVACUATION_S)
    # All upstreams of the zone are used again.
    used = [u for u in fleet.upstreams.values() if u.count_arrivals(withdrawn_at, fleet.now)]
    assert len(used) == UPSTREAMS


# Guards against an instance that serves with upstreams of an evacuated zone after a start.
def test_an_instance_that_starts_or_joins_later_sends_nothing_to_the_zone():
    fleet = form(6, 100.0, start_delays={"e6": 20.0})
    committed_at = order(fleet)
    fleet.run(EVACUATION_S)
    fleet.restart("e1")
    fleet.run_until(lambda: fleet.get_pool("e6") is not None)
    fleet.run(6.0)
    senders = {sender for u in fleet.upstreams.values() for _, sender in u.arrivals[-50:]}
    assert {"e1", "e6"} <= senders
    assert list_arrivals(fleet, committed_at + EVACUATION_S) == []


# Guards against a withdrawal that starts late: tables at a start may lack an order of the last
# seconds, which the other instances have begun to follow.
def test_an_order_heard_shortly_after_the_start_is_followed_at_once():
    fleet = form(6, 100.0)
    fleet.restart("e1")
    host = fleet.hosts["e1"]
    fleet.run_until(lambda: host.node.is_open(host.read_clock()))
    fleet.run(1.0)
    order(fleet)
    fleet.run(2.0)
    spreads = {}
    for name in ("e1", "e2"):
        evacuation = fleet.serving[name].publisher.evacuations.zones[ZONE]
        spreads[name] = evacuation.ends_at - evacuation.starts_at
    assert spreads == {"e1": 0.0, "e2": pytest.approx(WITHDRAWAL_SHARE * EVACUATION_S)}


@pytest.mark.parametrize("fault", ["leader", "partition", "loss"])
def test_faults_during_an_evacuation_do_not_delay_instances_in_contact(fault):
    fleet = form(9, 100.0)
    cut = ["e1", "e2"]
    committed_at = order(fleet)
    if fault == "leader":
        fleet.crash(fleet.find_leader())
    elif fault == "partition":
        fleet.cut(cut)
    else:
        fleet.loss = 0.2
    fleet.run(EVACUATION_S + 2.0)
    late = list_arrivals(fleet, committed_at + EVACUATION_S)
    assert not {sender for _, sender in late} - (set(cut) if fault == "partition" else set())
    fleet.heal()
    fleet.run(EVACUATION_S)
    healed_at = fleet.now
    fleet.run(4.0)
    assert list_arrivals(fleet, healed_at) == []


# Guards against lines that are missing, or repeated with each order or update.
def test_each_instance_logs_an_evacuation_once(caplog):
    caplog.set_level(logging.INFO, LOGGER_NAME)
    fleet = form(6, 100.0)
    for evacuated in (True, True, False, False):
        order(fleet, evacuated)
        fleet.run(EVACUATION_S)
    lines = Counter(record.message for record in caplog.records)
    events = ("evacuation_heard", "evacuation_applied", "evacuation_withdrawn")
    assert [lines[event] for event in events] == [6, 6, 6]


# Guards against orders that act without having been given.
def test_a_fleet_without_orders_never_leaves_an_upstream_out():
    fleet = form(6, 100.0)
    fleet.run(3.0)
    pools = [fleet.get_pool(name) for name in fleet.entries]
    assert {pool.count_evacuated(fleet.now) for pool in pools} == {0}
    assert not fleet.refused_at
