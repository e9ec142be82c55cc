"""Power and two disks lost at once, just after an acknowledgement: what entry instances serve.

Guards against a 404 for a route of every desired state, from tables that are empty, older than
an acknowledged state or of another control group. In half of the losses two control instances
were cut off before the last state, which one disk alone holds afterwards.
"""

from __future__ import annotations

import random

import pytest

from foxtaildrum.control import group
from foxtaildrum.control.desired import DesiredState

from .fleet import Fleet, form_joined_fleet

SEEDS = range(8)
LOSSES = 3
ENTRIES = 3
# A majority of the fleet without its control instances.
MANY_ENTRIES = 8
RECOVERY_LIMIT_S = 40.0
# Time between two starts, in seconds; the longest exceed the limits of elections. All of them
# together stay below the time after which an entry instance starts without a quorum (15 s).
GAPS_S = [0.0, 0.002, 0.05, 0.4, 1.8]
COMPACT_ENTRIES = 3
# Beyond the time after which an entry instance starts without a quorum, in seconds.
DOWN_S = 25.0
ORDERS = ["any", "empty first", "empty and entries first", "entries first", "kept first"]


class Checks:
    """What every entry instance that serves must know, at each event.

    Attributes
    ----------
    acknowledged : int
        Highest number of a desired state that was acknowledged.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.entries = [n for n in fleet.hosts if n not in fleet.control]
        self.group_id = fleet.hosts["c1"].node.state.group_id
        self.acknowledged = 0
        self.served = 0

    def put(self, number: int) -> None:
        """Send a desired state until it is acknowledged; return at that moment."""
        fleet = self.fleet
        for attempt in range(120):
            host = fleet.hosts[fleet.control[attempt % len(fleet.control)]]
            token = f"desired-{number}-p{number}@{host.instance_id}-{attempt}"
            rows = {"routes": [{"name": "r", "pool": "p"}], "pools": [{"name": "p"}]}
            desired = DesiredState(number, rows, {})
            fleet.perform(host, host.node.propose(host.read_clock(), token, desired))
            fleet.run_until(lambda t=token: t in fleet.answers, 1.0)
            answer = fleet.answers.get(token)
            if answer is not None and answer.verdict in ("accepted", "superseded"):
                self.acknowledged = number
                return
            fleet.run(0.3)
        raise AssertionError(fleet.describe())

    def run(self, duration_s: float) -> None:
        until = self.fleet.now + duration_s
        while self.fleet.queue and self.fleet.queue[0][0] <= until:
            self.fleet.step()
            self.check()
        self.fleet.now = until

    def check(self) -> None:
        for name in self.entries:
            host = self.fleet.hosts[name]
            if host.node is not None and host.node.is_open(host.read_clock()):
                self._check_served(name, host.node.state)

    def _check_served(self, name: str, state) -> None:
        tables = state.tables
        if not tables.is_set:
            return
        self.served += 1
        assert state.group_id == self.group_id, f"{name} serves from another group"
        assert tables.list_routes(), f"{name} serves without a route"
        assert tables.desired_number >= self.acknowledged, (
            f"{name} serves from {tables.desired_number}, not {self.acknowledged}\n"
            + self.fleet.describe()
        )

    def is_whole(self) -> bool:
        """Return whether all control instances vote and all entry instances serve."""
        hosts = self.fleet.hosts
        return all(hosts[c].node.consensus.is_voter() for c in self.fleet.control) and all(
            hosts[e].node.is_open(hosts[e].read_clock()) for e in self.entries
        )

    def run_until_whole(self) -> None:
        until = self.fleet.now + RECOVERY_LIMIT_S
        while not self.is_whole():
            assert self.fleet.now < until, self.fleet.describe()
            self.run(0.1)


def choose_order(
    rng: random.Random, order: str, wiped: list[str], kept: list[str], entries: list[str]
) -> list[str]:
    """Return all instances in the order of their starts."""
    first = {
        "any": [],
        "empty first": wiped,
        "empty and entries first": [*wiped, *entries],
        "entries first": entries,
        "kept first": kept,
    }[order]
    rest = [n for n in [*wiped, *kept, *entries] if n not in first]
    return rng.sample(first, len(first)) + rng.sample(rest, len(rest))


def lose_power(rng: random.Random, checks: Checks, number: int) -> list[str]:
    """Put a last state and crash all instances; return those whose disks are to be lost."""
    fleet = checks.fleet
    lagging = rng.sample(fleet.control, rng.choice([0, 2]))
    fleet.cut(lagging)
    checks.put(number + 1)
    for name in fleet.hosts:
        fleet.crash(name)
    fleet.blocked.clear()
    return rng.sample([c for c in fleet.control if c not in lagging], 2)


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("seed", SEEDS)
def test_entry_instances_serve_only_what_was_acknowledged_last(monkeypatch, seed, order):
    # Snapshots are what a control instance knows at its start, before it has a leader.
    monkeypatch.setattr(group, "COMPACT_ENTRIES", COMPACT_ENTRIES)
    rng = random.Random(f"{seed}-{order}")
    fleet = form_joined_fleet(entry=ENTRIES, seed=seed)
    checks = Checks(fleet)
    number = 0
    for _ in range(LOSSES):
        for _ in range(rng.randint(1, 3)):
            number += rng.randint(2, 4)
            checks.put(number)
        wiped = lose_power(rng, checks, number)
        kept = [c for c in fleet.control if c not in wiped]
        for name in choose_order(rng, order, wiped, kept, checks.entries):
            checks.run(rng.choice(GAPS_S))
            fleet.restart(name, lose_disk=name in wiped)
        checks.run_until_whole()
        checks.run(rng.uniform(0.0, 3.0))
    assert checks.served


# Guards against an entry instance that serves from the snapshot of a control instance, which is
# older than the acknowledged state, while the only disk that holds that is down for long.
@pytest.mark.parametrize("seed", SEEDS)
def test_entry_instances_that_start_without_a_quorum_serve_nothing_older(monkeypatch, seed):
    monkeypatch.setattr(group, "COMPACT_ENTRIES", COMPACT_ENTRIES)
    rng = random.Random(seed)
    fleet = form_joined_fleet(entry=ENTRIES, seed=seed)
    checks = Checks(fleet)
    for number in range(1, 2 * COMPACT_ENTRIES):
        checks.put(number)
    lagging = rng.sample(fleet.control, 2)
    fleet.cut(lagging)
    checks.put(10)
    for name in fleet.hosts:
        fleet.crash(name)
    fleet.blocked.clear()
    *wiped, newest = rng.sample([c for c in fleet.control if c not in lagging], 3)
    for name in [n for n in fleet.hosts if n != newest]:
        fleet.restart(name, lose_disk=name in wiped)
    checks.run(DOWN_S)
    fleet.restart(newest)
    checks.run_until_whole()
    assert checks.served


# Guards against a fleet that shrinks with each restart while the control group is down: what a
# quorum has confirmed to the running instances is the latest, since nothing can be accepted.
def test_an_entry_instance_starts_without_a_quorum_from_what_running_ones_know():
    fleet = form_joined_fleet(entry=MANY_ENTRIES, seed=1)
    checks = Checks(fleet)
    checks.put(5)
    checks.run(1.0)
    for name in fleet.control:
        fleet.crash(name)
    checks.run(1.0)
    fleet.restart("e1")
    checks.run(DOWN_S)
    host = fleet.hosts["e1"]
    assert host.node.is_open(host.read_clock()), fleet.describe()
    assert host.node.state.tables.desired_number == 5
