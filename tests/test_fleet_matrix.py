"""Fault matrix of the fleet: every fault at every step, alone and in pairs.

A step is the first message of one kind after the scenario started. The fault is injected at
its sender or its receiver at that moment and ends after ``FAULT_S``. Throughout, the simulated
fleet checks that no accepted change is lost or reverted, versions never decrease, a term has
at most one leader and a refused change is never applied. At the end all instances must agree.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from foxtaildrum import records as r
from foxtaildrum.control import group, windows

from .fleet import Fleet, form_fleet

FAULT_S = 8.0
CONVERGENCE_LIMIT_S = 90.0
COMPACT_ENTRIES = 6
WINDOW_ENTRIES = 4

STEPS: dict[str, Callable[[Any], bool]] = {
    "pre-vote": lambda m: isinstance(m, r.VoteRequest) and m.pre,
    "vote": lambda m: isinstance(m, r.VoteReply) and not m.pre and m.granted,
    "append": lambda m: isinstance(m, r.AppendRequest) and bool(m.entries),
    "acknowledge": lambda m: isinstance(m, r.AppendReply) and m.matched and m.match_index > 1,
    "propose": lambda m: isinstance(m, r.ProposeRequest),
    "answer": lambda m: isinstance(m, r.ProposeReply),
    "snapshot": lambda m: isinstance(m, r.SnapshotPiece),
    "learner": lambda m: (
        isinstance(m, r.AppendRequest) and any(e[2] == group.ADMIT for e in m.entries)
    ),
    "follow": lambda m: isinstance(m, r.FollowEntries),
    "catch-up": lambda m: isinstance(m, r.FollowRequest),
    "announce": lambda m: isinstance(m, r.UpstreamNews),
    "drain": lambda m: isinstance(m, r.UpstreamNews) and m.entries[0][6] == "draining",
    "ping": lambda m: isinstance(m, r.Ping),
    "claim": lambda m: isinstance(m, r.ClaimRequest),
    "grant": lambda m: isinstance(m, r.ClaimReply) and m.verdict == "granted",
    "store": lambda m: isinstance(m, r.ClaimFinish),
    "read-claims": lambda m: isinstance(m, r.ClaimBatch),
    "handover": lambda m: isinstance(m, r.Handover),
}

FAULTS: dict[str, Callable[[Fleet, str, str], None]] = {}


def register_fault(name: str):
    def register(function):
        FAULTS[name] = function
        return function

    return register


@register_fault("crash")
def crash(fleet: Fleet, victim: str, other: str) -> None:
    fleet.crash(victim)


@register_fault("restart")
def restart(fleet: Fleet, victim: str, other: str) -> None:
    fleet.crash(victim)
    fleet.schedule(0.2, "restart", victim)


@register_fault("lost-disk")
def lose_disk(fleet: Fleet, victim: str, other: str) -> None:
    if not fleet.may_lose_disk(victim):
        restart(fleet, victim, other)
        return
    fleet.crash(victim)
    fleet.schedule(0.2, "replace", victim)


@register_fault("torn-write")
def tear_write(fleet: Fleet, victim: str, other: str) -> None:
    fleet.hosts[victim].tear_next = True
    fleet.crash(victim)
    fleet.schedule(0.2, "restart", victim)


@register_fault("failed-sync")
def fail_sync(fleet: Fleet, victim: str, other: str) -> None:
    if fleet.hosts[victim].disk is not None:
        fleet.hosts[victim].disk.failing = True


@register_fault("partition")
def partition(fleet: Fleet, victim: str, other: str) -> None:
    fleet.cut([victim])


@register_fault("partition-inwards")
def partition_inwards(fleet: Fleet, victim: str, other: str) -> None:
    fleet.cut([victim], outwards=False)


@register_fault("partition-outwards")
def partition_outwards(fleet: Fleet, victim: str, other: str) -> None:
    fleet.cut([victim], inwards=False)


@register_fault("cut-link")
def cut_link(fleet: Fleet, victim: str, other: str) -> None:
    fleet.blocked.update({(victim, other), (other, victim)})


@register_fault("pause")
def pause(fleet: Fleet, victim: str, other: str) -> None:
    fleet.pause(victim)


@register_fault("clock-jump")
def jump_clock(fleet: Fleet, victim: str, other: str) -> None:
    fleet.hosts[victim].clock_skew_s += 3600.0


@register_fault("duplicate")
def duplicate(fleet: Fleet, victim: str, other: str) -> None:
    fleet.duplication = 0.5


@register_fault("reorder-and-delay")
def reorder(fleet: Fleet, victim: str, other: str) -> None:
    fleet.extra_delay_s = 0.5


@register_fault("loss")
def lose_messages(fleet: Fleet, victim: str, other: str) -> None:
    fleet.loss = 0.3


class Scenario:
    """Operations of operators, upstreams and callers during which faults are injected."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.claims: dict[str, list[str]] = {}
        self.change_number = 0

    def run(self) -> None:
        fleet = self.fleet
        self.run_if_up("e1", self.announce)
        self.propose_concurrently()
        self.claim_twice("first")
        self.run_if_up("e2", self.drain)
        for _ in range(COMPACT_ENTRIES):
            self.propose_concurrently()
            fleet.run(0.4)
        fleet.restart("c3", lose_disk=fleet.may_lose_disk("c3"))
        fleet.restart("e3")
        for _ in range(4):
            self.propose_concurrently()
            fleet.run(0.4)
        fleet.run(8.0)
        self.claim_twice("second")
        self.restart_leader()
        self.propose_concurrently()
        self.claim_twice("first")
        fleet.run(1.0)

    def propose_concurrently(self) -> None:
        """Propose a change of the same table at two instances at the same time."""
        self.change_number += 1
        for name in ("e1", "e2"):
            self.run_if_up(name, self.propose)

    def propose(self, name: str) -> None:
        change_id = f"change-{self.change_number}-{name}"
        version = self.fleet.hosts[name].node.state.tables.tables["pools"].version
        rows = [{"name": change_id}]
        self.fleet.propose(name, "pools", rows, version, change_id)

    def announce(self, name: str) -> None:
        for upstream_id in ("u1", "u2"):
            if self.fleet.hosts[name].node is not None:
                self.fleet.announce(name, upstream_id)

    def drain(self, name: str) -> None:
        self.fleet.run(0.5)
        if self.fleet.hosts[name].node is not None:
            self.fleet.announce(name, "u1", state="draining")

    def claim_twice(self, key: str) -> None:
        for name in ("e1", "e2"):
            self.run_if_up(name, lambda n, key=key: self.claim(n, key))
        self.fleet.run(1.2)

    def claim(self, name: str, key: str) -> None:
        claim_id = f"{key}-{name}-{len(self.claims.get(key, []))}"
        self.claims.setdefault(key, []).append(claim_id)
        self.fleet.claim(name, claim_id, key)
        self.fleet.run(0.05)
        outcome = self.fleet.claims.get(claim_id)
        granted = outcome is not None and outcome.verdict == "granted"
        if granted and self.fleet.hosts[name].node is not None:
            self.fleet.finish_claim(name, claim_id, key)

    def restart_leader(self) -> None:
        leader = self.fleet.find_leader()
        if leader and not self.fleet.hosts[leader].paused:
            host = self.fleet.hosts[leader]
            self.fleet.perform(host, host.node.begin_stop(host.read_clock()))
            self.fleet.run(0.1)
            if host.node is not None:
                self.fleet.restart(leader)

    def run_if_up(self, name: str, action: Callable[[str], None]) -> None:
        host = self.fleet.hosts[name]
        if host.node is not None and not host.paused:
            action(name)


def inject_at_step(fleet: Fleet, step: str, fault: str, at_sender: bool) -> dict[str, bool]:
    """Inject a fault at the first message of a step.

    Returns
    -------
    dict
        Under ``injected``, whether the fault was injected; set while the fleet runs.
    """
    state = {"injected": False}

    def watch(sender: str, target: str, message: Any) -> None:
        if state["injected"] or not STEPS[step](message):
            return
        state["injected"] = True
        victim, other = (sender, target) if at_sender else (target, sender)
        FAULTS[fault](fleet, victim, other)
        fleet.schedule(FAULT_S, "heal")

    fleet.watchers.append(watch)
    return state


def run_case(faults: list[tuple[str, str, bool]], seed: int) -> list[bool]:
    """Run the scenario under faults; return whether each fault was injected."""
    fleet = form_fleet(3, 3, seed)
    fleet.run(2.0)
    states = [inject_at_step(fleet, *fault) for fault in faults]
    scenario = Scenario(fleet)
    scenario.run()
    fleet.run(FAULT_S)
    fleet.watchers.clear()
    fleet.heal()
    assert fleet.run_until(fleet.is_converged, CONVERGENCE_LIMIT_S), fleet.describe()
    fleet.change_until_accepted("last")
    assert fleet.run_until(fleet.is_converged, CONVERGENCE_LIMIT_S), fleet.describe()
    for claim_ids in scenario.claims.values():
        fleet.check_granted_once(claim_ids)
    for version, change_id in fleet.accepted.items():
        assert fleet.history.get(version) == change_id, f"{change_id} was lost"
    return [s["injected"] for s in states]


@pytest.fixture(autouse=True)
def small_logs(monkeypatch):
    monkeypatch.setattr(group, "COMPACT_ENTRIES", COMPACT_ENTRIES)
    monkeypatch.setattr(windows, "WINDOW_ENTRIES", WINDOW_ENTRIES)


@pytest.mark.parametrize("place", ["sender", "receiver"])
@pytest.mark.parametrize("fault", list(FAULTS))
@pytest.mark.parametrize("step", list(STEPS))
def test_single_fault(step, fault, place):
    run_case([(step, fault, place == "sender")], seed=7)


def test_every_step_occurs():
    """Each step must occur without faults; otherwise its row of the matrix tests nothing."""
    seen = set()
    fleet = form_fleet(3, 3, 7)
    fleet.run(2.0)
    fleet.watchers.append(
        lambda s, t, m: seen.update(name for name, matches in STEPS.items() if matches(m))
    )
    Scenario(fleet).run()
    fleet.crash(fleet.find_leader())
    fleet.run(10.0)
    assert seen == set(STEPS)


def list_pairs(count: int) -> list[tuple[tuple[str, str, bool], tuple[str, str, bool]]]:
    rng = random.Random(20)
    single = [(s, f, p) for s in STEPS for f in FAULTS for p in (True, False)]
    return [(rng.choice(single), rng.choice(single)) for _ in range(count)]


@pytest.mark.parametrize(
    "pair", list_pairs(60), ids=lambda p: "+".join(f"{s}-{f}" for s, f, _ in p)
)
def test_two_faults(pair):
    run_case(list(pair), seed=11)
