"""How old the tables are while organisations are in force, and what the confirmations cost."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from foxtaildrum.control.desired import DesiredState
from foxtaildrum.fleet.confirming import (
    FOLLOWER_PERIOD_S,
    MAX_UNASKED_AGE_S,
    REPEAT_S,
    ConfirmationSchedule,
)

from .fleet import Fleet, is_full

CONTROL = 5
NOW = 100.0
ORGANISATIONS = [{"name": "acme", "keys": ["key"]}]
MAX_AGE_S = 2.0
FOLLOWER_MAX_AGE_S = 1.0
SAMPLE_S = 0.05


def build_schedule(me: str = "e1") -> ConfirmationSchedule:
    return ConfirmationSchedule(me, random.Random(1))


def test_the_leader_asks_nobody():
    assert build_schedule("c1").choose(NOW, float("-inf"), "c1", ["c1", "c2"]) == ""


def test_a_follower_asks_the_leader_in_each_period():
    schedule = build_schedule("c2")
    assert schedule.choose(NOW, NOW, "c1", []) == "c1"
    assert schedule.choose(NOW + FOLLOWER_PERIOD_S - 0.01, NOW, "c1", []) == ""
    assert schedule.choose(NOW + FOLLOWER_PERIOD_S, NOW, "c1", []) == "c1"


def test_an_entry_instance_asks_only_for_what_it_lacks():
    schedule = build_schedule()
    assert schedule.choose(NOW, NOW - MAX_UNASKED_AGE_S + 0.01, "", ["c1"]) == ""
    assert schedule.choose(NOW, NOW - MAX_UNASKED_AGE_S, "", []) == ""
    assert schedule.choose(NOW, NOW - MAX_UNASKED_AGE_S, "", ["c1"]) == "c1"


def test_another_control_instance_is_asked_if_one_does_not_answer():
    schedule = build_schedule()
    known = ["c1", "c2", "c3"]
    first = schedule.choose(NOW, NOW - 1, "", known)
    assert schedule.choose(NOW + REPEAT_S / 2, NOW - 1, "", known) == ""
    second = schedule.choose(NOW + REPEAT_S, NOW - 1, "", known)
    assert second not in ("", first)


class CountedFleet(Fleet):
    """Fleet that counts what each instance sends and receives."""

    def __init__(self, entry: int, seed: int) -> None:
        self.frames: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()
        super().__init__(CONTROL, entry, seed, seeds=3, tolerated_losses=2)
        self.watchers.append(self._count)

    def _count(self, sender: str, target: str, message: object) -> None:
        self.frames[sender] += 1
        self.frames[target] += 1

    def _do_deliver(self, sender: str, target: str, generation: int, data: bytes) -> None:
        self.received_bytes[target] += len(data)
        super()._do_deliver(sender, target, generation, data)

    def put(self, number: int, rows: list | None) -> None:
        tables = {"routes": [], "pools": []}
        if rows is not None:
            tables["organisations"] = rows
        host = self.hosts[self.find_leader()]
        token = f"desired-{number}"
        change = DesiredState(number, tables, {})
        self.perform(host, host.node.propose(host.read_clock(), token, change))
        assert self.run_until(lambda: token in self.answers, 15.0)
        assert self.answers[token].verdict == "accepted"

    def get_age(self, name: str) -> float:
        host = self.hosts[name]
        age_s = host.node.follower.compute_age(host.read_clock())
        return float("inf") if age_s is None else age_s

    def list_entries(self) -> list[str]:
        return [name for name in self.hosts if name not in self.control]

    def list_followers(self) -> list[str]:
        leader = self.find_leader()
        return [name for name in self.control if name != leader]

    def measure(self, duration_s: float) -> dict[str, float]:
        """Return the largest ages and the mean traffic of the next seconds."""
        self.frames.clear()
        self.received_bytes.clear()
        sent = dict(self.sent_bytes)
        ages = {"entry": 0.0, "follower": 0.0}
        for _ in range(round(duration_s / SAMPLE_S)):
            self.run(SAMPLE_S)
            ages["entry"] = max(ages["entry"], *map(self.get_age, self.list_entries()))
            ages["follower"] = max(ages["follower"], *map(self.get_age, self.list_followers()))
        result = {f"{group}_age_s": round(age_s, 3) for group, age_s in ages.items()}
        leader = [self.find_leader()]
        groups = {
            "entry": self.list_entries(),
            "control": self.list_followers(),
            "leader": leader,
        }
        for group, names in groups.items():
            seconds = duration_s * len(names)
            moved = sum(self.received_bytes[n] + self.sent_bytes[n] - sent[n] for n in names)
            result[f"{group}_frames_per_s"] = round(
                sum(self.frames[n] for n in names) / seconds, 1
            )
            result[f"{group}_bytes_per_s"] = round(moved / seconds)
        return result


def form(entry: int, seed: int = 1) -> CountedFleet:
    fleet = CountedFleet(entry, seed)
    assert fleet.run_until(lambda: is_full(fleet), 60.0), fleet.describe()
    fleet.run(6.0)
    return fleet


@pytest.mark.parametrize("entry", [16, 142])
def test_in_calm_the_tables_stay_recent_at_a_bounded_cost(entry, capsys):
    """Old tables refuse every key; too many confirmations load the control instances."""
    fleet = form(entry)
    fleet.put(1, None)
    fleet.run(3.0)
    before = fleet.measure(20.0)
    fleet.put(2, ORGANISATIONS)
    fleet.run(3.0)
    after = fleet.measure(60.0)
    with capsys.disabled():
        print(f"\n{entry} entry instances\n  without {before}\n  with    {after}")
    assert after["entry_age_s"] < MAX_AGE_S
    assert after["follower_age_s"] < FOLLOWER_MAX_AGE_S
    assert after["entry_bytes_per_s"] < before["entry_bytes_per_s"] + 2000
    assert after["leader_bytes_per_s"] < 40_000


def test_the_tables_stay_recent_while_two_followers_are_down():
    """An instance that asks those that are gone again and again would refuse every key."""
    fleet = form(16)
    fleet.put(1, ORGANISATIONS)
    fleet.run(3.0)
    for name in fleet.list_followers()[:2]:
        fleet.crash(name)
    worst = 0.0
    for _ in range(round(20.0 / SAMPLE_S)):
        fleet.run(SAMPLE_S)
        worst = max(worst, *map(fleet.get_age, fleet.list_entries()))
    assert worst < MAX_AGE_S


def test_the_tables_are_recent_again_soon_after_the_leader_is_lost():
    fleet = form(16)
    fleet.put(1, ORGANISATIONS)
    fleet.run(3.0)
    fleet.crash(fleet.find_leader())
    fleet.run(6.0)
    assert max(map(fleet.get_age, fleet.list_entries())) < MAX_AGE_S


def test_without_organisations_nobody_asks():
    """Other deployments must not pay for confirmations."""
    fleet = form(4)
    fleet.put(1, None)
    asked = []
    for name, host in fleet.hosts.items():
        schedule = host.node._gossip._confirmations
        asked.append((name, schedule._asked, schedule._ask_at))
    fleet.run(5.0)
    assert all(entry[1:] == ("", float("-inf")) for entry in asked)
    fleet.put(2, [])
    fleet.run(5.0)
    leader = fleet.find_leader()
    for name, host in fleet.hosts.items():
        assert (host.node._gossip._confirmations._ask_at > 0) == (name != leader)
