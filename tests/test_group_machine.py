"""Random faults in a group formed from seeds: no acknowledged change is lost."""

from __future__ import annotations

import random

import pytest

from .fleet import Fleet, form_joined_fleet

STEPS = 30
SEEDS = range(24)
TOLERATED = 2
READ_ATTEMPTS = 20
STEP_KINDS = ["put", "put", "read", "kill", "wipe", "cut", "pause", "heal", "all"]


class Operator:
    """Sends desired states and records which were acknowledged and which each host has."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.number = 0
        self.sent: dict[str, tuple[int, float]] = {}
        self.shown: dict[str, tuple[int, int]] = {}

    def send(self, name: str) -> None:
        if self.fleet.hosts[name].node is None:
            return
        self.number += 1
        token = self.fleet.put_desired(name, self.number, f"p{self.number}")
        self.sent[token] = (self.number, self.fleet.now)

    def find_acknowledged(self) -> int:
        """Return the highest number that was answered as accepted."""
        return max(
            (
                number
                for token, (number, _) in self.sent.items()
                if token in self.fleet.answers
                and self.fleet.answers[token].verdict == "accepted"
            ),
            default=0,
        )

    def check_no_regression(self) -> None:
        for name, host in self.fleet.hosts.items():
            if host.node is None:
                continue
            number = host.node.state.tables.desired_number
            generation, before = self.shown.get(name, (host.generation, 0))
            if generation == host.generation:
                assert number >= before, f"{name} reverted from {before} to {number}"
            self.shown[name] = (host.generation, number)

    def check_read(self, name: str) -> None:
        acknowledged = self.find_acknowledged()
        number = self.fleet.read_desired(name)
        assert number is None or number >= acknowledged, f"{name} read the outdated {number}"


def read_with_retries(fleet: Fleet, name: str) -> int | None:
    """Repeat a refused read; an entry instance sends each one to a random control instance."""
    for _ in range(READ_ATTEMPTS):
        shown = fleet.read_desired(name)
        if shown is not None:
            return shown
    return None


def count_lost(fleet: Fleet) -> int:
    """Return the number of control instances that are down or not yet voters."""
    return sum(
        host.node is None or not host.node.consensus.is_voter()
        for name, host in fleet.hosts.items()
        if name in fleet.control
    )


def run_random_step(rng: random.Random, fleet: Fleet, operator: Operator) -> None:
    name = rng.choice(fleet.control)
    kind = rng.choice(STEP_KINDS)
    running = fleet.hosts[name].node is not None
    if kind == "put":
        operator.send(name)
    elif kind == "read" and running:
        operator.check_read(name)
    elif kind in ("kill", "wipe") and running:
        crash_or_lose_disk(rng, fleet, name, kind)
    else:
        inject_fault(rng, fleet, name, kind)


def crash_or_lose_disk(rng: random.Random, fleet: Fleet, name: str, kind: str) -> None:
    if kind == "kill":
        fleet.crash(name)
        fleet.schedule(rng.uniform(0.5, 4.0), "restart", name)
    elif count_lost(fleet) < TOLERATED:
        fleet.restart(name, lose_disk=True)


def inject_fault(rng: random.Random, fleet: Fleet, name: str, kind: str) -> None:
    if kind == "cut":
        fleet.cut(rng.sample(fleet.control, 2), inwards=rng.random() < 0.7)
    elif kind == "pause":
        fleet.pause(name)
        fleet.schedule(rng.uniform(0.5, 5.0), "heal")
    elif kind == "heal":
        fleet.heal()
    elif kind == "all" and rng.random() < 0.3:
        for other in list(fleet.hosts):
            fleet.crash(other)
            fleet.schedule(rng.uniform(0.2, 0.6), "restart", other)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_acknowledged_change_is_lost_under_random_faults(seed):
    rng = random.Random(seed)
    fleet = form_joined_fleet(entry=2, seed=seed)
    operator = Operator(fleet)
    fleet.put_desired_until_accepted(1, "p1")
    operator.number = 1
    for _ in range(STEPS):
        run_random_step(rng, fleet, operator)
        fleet.run(rng.uniform(0.0, 1.5))
        operator.check_no_regression()
    fleet.heal()
    fleet.run(12.0)
    acknowledged = max(1, operator.find_acknowledged())
    for name in fleet.hosts:
        shown = read_with_retries(fleet, name)
        assert shown is not None, f"{name} cannot read\n{fleet.describe()}"
        assert shown >= acknowledged, f"{name} shows {shown}\n{fleet.describe()}"
    assert count_lost(fleet) == 0, fleet.describe()
    operator.check_no_regression()
    fleet.put_desired_until_accepted(operator.number + 1, "after")
