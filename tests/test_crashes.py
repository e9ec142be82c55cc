"""Requests that crash each upstream that runs them."""

from __future__ import annotations

import pytest

from .serving_fleet import ServingFleet

MAX_CRASHES = 3
REACTION_S = 3.0
ALLOWED_SENDS = 3
POISON = "poison"


def form(entry: int = 16, upstreams: int = 12, rate: float = 36.0, **options) -> ServingFleet:
    fleet = ServingFleet(entry, upstreams, rate, seed=11, service_s=0.3, **options)
    fleet.form()
    return fleet


def repeat(fleet: ServingFleet, fingerprint: str, crashes: bool, per_s: float) -> None:
    fleet.schedule(0.0, "repeat", fingerprint, crashes, 1.0 / per_s)


def count_late_sends(
    fleet: ServingFleet, fingerprint: str = POISON, excused: tuple[str, ...] = ()
) -> int:
    """Return how often a request was sent, once the fleet had time to learn of its crashes."""
    crashed_at = [t for t, _, culprit in fleet.crashes if culprit == fingerprint]
    assert len(crashed_at) >= MAX_CRASHES
    since = crashed_at[MAX_CRASHES - 1] + REACTION_S
    return sum(
        f == fingerprint and t >= since and name not in excused for t, name, f in fleet.sent
    )


def list_refused_others(fleet: ServingFleet, *refused: str) -> set[str]:
    """Return the requests that were refused although they crash nothing."""
    return {f for _, f in fleet.refused_fingerprints} - set(refused)


@pytest.mark.parametrize(
    ("entry", "upstreams", "rate"), [(16, 12, 36.0), (313, 87, 84.0)], ids=["16", "313"]
)
def test_a_request_under_which_three_upstreams_crashed_is_sent_no_more(entry, upstreams, rate):
    # Each instance knew only the crashes under its own attempts, one or two each.
    fleet = form(entry, upstreams, rate)
    repeat(fleet, POISON, True, 4.0)
    fleet.run(14.0)
    assert count_late_sends(fleet) <= ALLOWED_SENDS
    assert not list_refused_others(fleet, POISON)
    assert POISON in {f for _, f in fleet.refused_fingerprints}


def test_two_crashing_requests_are_both_stopped_and_no_request_beside_them():
    fleet = form()
    for number in range(2):
        repeat(fleet, f"{POISON}-{number}", True, 2.0)
    for number in range(4):
        repeat(fleet, f"beside-{number}", False, 8.0)
    fleet.run(20.0)
    for number in range(2):
        assert count_late_sends(fleet, f"{POISON}-{number}") <= ALLOWED_SENDS
    assert not list_refused_others(fleet, f"{POISON}-0", f"{POISON}-1")


@pytest.mark.parametrize("fault", ["restart", "freeze", "cut", "control"])
def test_a_crashing_request_stays_refused_while_instances_fail(fault):
    fleet = form()
    repeat(fleet, POISON, True, 4.0)
    fleet.run(6.0)
    faulty = fleet.control if fault == "control" else fleet.entries[:8]
    for name in faulty:
        if fault == "freeze":
            fleet.pause(name)
            fleet.schedule(4.0, "resume", name)
        elif fault == "cut":
            fleet.cut([name])
        else:
            fleet.restart(name)
    fleet.schedule(4.0, "heal")
    fleet.run(4.0 + REACTION_S)
    assert count_late_sends(fleet, excused=tuple(faulty)) <= ALLOWED_SENDS
    # The instances that failed are not excused any more.
    start = fleet.now
    fleet.run(8.0)
    assert sum(f == POISON and t >= start for t, _, f in fleet.sent) <= ALLOWED_SENDS


def test_an_instance_that_joins_later_refuses_a_request_that_it_has_never_seen():
    late = {f"e{n}": 24.0 for n in range(1, 9)}
    fleet = form(start_delays=late)
    repeat(fleet, POISON, True, 4.0)
    fleet.run_until(lambda: fleet.get_pool("e1") is not None)
    fleet.run(8.0)
    assert count_late_sends(fleet) <= ALLOWED_SENDS
    assert any(name == "e1" for _, name, _ in fleet.sent)
