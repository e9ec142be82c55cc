"""A zone of upstreams that returns cold in a simulated fleet; the others carry its load."""

from __future__ import annotations

import pytest

from foxtaildrum.kinds import ErrorKind

from .serving_fleet import ServingFleet, SimulatedUpstream

PER_S = 5.8
OVERSHOOT = 1.5
SLACK = 8.0
BOUND = PER_S * OVERSHOOT + SLACK
# Below the usual rate of a warm upstream, so that it is exceeded without a limit.
TIGHT_PER_S = 1.5
TIGHT_BOUND = 3.0
COLD_S = 6.0
# Chooses an upstream that has just started as often as others.
POLICY = "two_choices"
ZONE = "zone-1"
# One of three pools at each instance, with a third of 380 to 460 requests per second.
SIZES = pytest.mark.parametrize(
    ("entry", "upstreams", "rate"), [(16, 36, 112.0), (142, 66, 153.0)], ids=["16", "142"]
)


def form(
    entry: int, upstreams: int, rate: float, per_s: float = PER_S, slack: float = SLACK
) -> ServingFleet:
    fields = {"warmup_per_s": per_s, "warmup_s": COLD_S, "policy": POLICY}
    settings = {"warmup_overshoot": OVERSHOOT, "warmup_slack": slack}
    fleet = ServingFleet(entry, upstreams, rate, seed=11, pool_fields=fields, settings=settings)
    fleet.form()
    return fleet


def list_zone(fleet: ServingFleet) -> list[SimulatedUpstream]:
    return [u for u in fleet.upstreams.values() if u.zone == ZONE]


def stop_zone(fleet: ServingFleet) -> None:
    for upstream in list_zone(fleet):
        upstream.up = False
        fleet.leave(fleet.control[0], upstream.name)


def return_zone(fleet: ServingFleet) -> float:
    """Start the upstreams of the zone again, cold; return the time."""
    for upstream in list_zone(fleet):
        upstream.up = True
        upstream.incarnation += 1
        upstream.cold_until = fleet.now + COLD_S
    return fleet.now


def find_most_arrivals(upstream: SimulatedUpstream, start: float, end: float) -> int:
    """Return the largest number of requests in any second of a period."""
    times = [t for t, _ in upstream.arrivals if start <= t < end]
    return max((sum(t <= u < t + 1.0 for u in times) for t in times), default=0)


def count_refused(fleet: ServingFleet, since: float) -> int:
    return sum(
        kind is ErrorKind.UPSTREAMS_WARMING_UP
        for at, _, kind in fleet.refused_at
        if at >= since
    )


@SIZES
def test_a_zone_that_returns_cold_is_used_while_the_others_carry_its_load(
    entry, upstreams, rate
):
    fleet = form(entry, upstreams, rate)
    stop_zone(fleet)
    fleet.run(3.0)
    start = return_zone(fleet)
    fleet.run(COLD_S)
    zone = list_zone(fleet)
    assert all(find_most_arrivals(u, start, start + COLD_S) <= BOUND for u in zone)
    assert sum(u.count_arrivals(start, start + COLD_S) for u in zone) >= len(zone)
    # Arrivals are random; their standard deviation is 4% of them at most.
    assert fleet.count_served(start, start + COLD_S) >= 0.85 * rate * COLD_S
    assert not count_refused(fleet, start)
    fleet.run(4.0)
    # Warm again, the zone has its share of the load.
    warm = sum(u.count_arrivals(fleet.now - 2.0, fleet.now) for u in zone)
    assert warm >= 0.2 * rate * 2.0


@SIZES
def test_a_zone_that_returns_cold_gets_no_more_than_a_bound_below_its_usual_load(
    entry, upstreams, rate
):
    # Every instance sent each cold upstream as many requests as a warm one.
    fleet = form(entry, upstreams, rate, TIGHT_PER_S, TIGHT_BOUND - TIGHT_PER_S * OVERSHOOT)
    stop_zone(fleet)
    fleet.run(3.0)
    start = return_zone(fleet)
    fleet.run(COLD_S)
    zone = list_zone(fleet)
    assert all(find_most_arrivals(u, start, start + COLD_S) <= TIGHT_BOUND for u in zone)
    assert any(u.count_arrivals(start, start + COLD_S) for u in zone)
    assert fleet.count_served(start, start + COLD_S) >= 0.85 * rate * COLD_S


@SIZES
def test_the_bound_holds_while_every_upstream_of_the_pool_is_cold(entry, upstreams, rate):
    # The demand is far above what the few upstreams take while they are cold.
    fleet = form(entry, 4, rate)
    for upstream in fleet.upstreams.values():
        upstream.incarnation += 1
        upstream.cold_until = fleet.now + COLD_S
    fleet.run(2.0)
    start = fleet.now
    fleet.run(3.0)
    cold = fleet.upstreams.values()
    assert all(find_most_arrivals(u, start, fleet.now) <= BOUND for u in cold)
    assert count_refused(fleet, start) > 0
    waits = [wait_s for at, wait_s, kind in fleet.refused_at if at >= start]
    assert max(waits) <= 0.06


@pytest.mark.parametrize("fault", ["cut", "pause", "restart", "leave", "control"])
def test_the_bound_holds_during_faults(fault):
    fleet = form(16, 6, 160.0)
    stop_zone(fleet)
    fleet.run(2.0)
    start = return_zone(fleet)
    fleet.run(2.0)
    if fault == "cut":
        fleet.cut(fleet.entries[:5])
    for name in fleet.entries[:4]:
        if fault == "pause":
            fleet.pause(name)
            fleet.schedule(1.5, "resume", name)
        elif fault == "restart":
            fleet.restart(name)
        elif fault == "leave":
            fleet.crash(name)
    if fault == "control":
        for name in fleet.control[:2]:
            fleet.crash(name)
    fleet.run(COLD_S - 2.0)
    zone = list_zone(fleet)
    assert all(find_most_arrivals(u, start, start + COLD_S) <= BOUND for u in zone)


def test_an_instance_that_starts_while_a_zone_is_cold_keeps_the_limit():
    fleet = form(16, 6, 160.0)
    stop_zone(fleet)
    fleet.run(2.0)
    start = return_zone(fleet)
    fleet.run(1.8)
    for name in fleet.entries:
        fleet.restart(name)
    fleet.run(COLD_S - 1.8)
    zone = list_zone(fleet)
    assert all(find_most_arrivals(u, start, start + COLD_S) <= BOUND for u in zone)
