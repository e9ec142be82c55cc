"""Keys that are added and removed while instances and their links fail, in a simulated fleet.

Each running instance is asked for its decision on every key after each event, also while it is
paused: that is what its request threads would decide if it was resumed at that moment.
"""

from __future__ import annotations

import contextlib
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from foxtaildrum.admin.metrics import Meter
from foxtaildrum.control.desired import DesiredState
from foxtaildrum.fleet.views import ViewPublisher
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.organisations.recognition import decide_by_key, decide_without_organisations
from foxtaildrum.records import Ack, Settings
from foxtaildrum.requests.proxy import Proxy

from .fleet import Fleet, Host

KEY_CHECK_S = 1.3
REVOCATION_S = 1.5
KEYS = ("k0", "k1", "k2")
SAMPLE_S = 0.05
NOT_IN_FORCE = None
PASSED_ON = "passed on"  # the decision on a request with a key, by tables without organisations


class KeyFleet(Fleet):
    """Fleet whose instances decide on keys; every decision is checked.

    Attributes
    ----------
    proposed : dict
        Keys of each document that was sent, by its number; None without organisations.
    acknowledged : dict
        Time at which each document was acknowledged, by its number.
    decisions : set
        Kinds of decisions that were seen.
    """

    def __init__(self, control: int, entry: int, seed: int) -> None:
        self.proxies: dict[str, tuple[int, Proxy, ViewPublisher]] = {}
        self.proposed: dict[int, frozenset[str] | None] = {}
        self.acknowledged: dict[int, float] = {}
        self.numbers_by_token: dict[str, int] = {}
        self.decisions: set[str] = set()
        super().__init__(control, entry, seed)

    def perform(self, host: Host, actions: list[Any]) -> None:
        super().perform(host, actions)
        for token in [t for t in self.numbers_by_token if t in self.answers]:
            number = self.numbers_by_token.pop(token)
            if self.answers[token].verdict == "accepted":
                self.acknowledged.setdefault(number, self.now)
        if host.node is not None:
            _, _, publisher = self.get_proxy(host)
            publisher.publish(host.read_clock(), host.node)

    def get_proxy(self, host: Host) -> tuple[int, Proxy, ViewPublisher]:
        known = self.proxies.get(host.instance_id)
        if known is None or known[0] != host.generation:
            values = {"key_check_s": KEY_CHECK_S, "revocation_s": REVOCATION_S}
            proxy = Proxy(Meter(), False)
            publisher = ViewPublisher(Settings(role="all", **values), proxy, Meter())
            known = self.proxies[host.instance_id] = (host.generation, proxy, publisher)
        return known

    def put_keys(self, name: str, keys: frozenset[str] | None) -> None:
        """Send the next document through an instance; its answer may come later or never."""
        host = self.hosts[name]
        if host.node is None or host.paused:
            return
        number = len(self.proposed) + 1
        tables: dict[str, list] = {"routes": [], "pools": []}
        if keys is not None:
            tables["organisations"] = [{"name": f"org-{k}", "keys": [k]} for k in sorted(keys)]
        self.proposed[number] = keys
        token = f"desired-{number}"
        self.numbers_by_token[token] = number
        change = DesiredState(number, tables, {})
        self.perform(host, host.node.propose(host.read_clock(), token, change))

    def run_checked(self, duration_s: float) -> None:
        until = self.now + duration_s
        while self.now < until:
            self.run(SAMPLE_S)
            for host in self.hosts.values():
                if host.node is not None:
                    self.check_decisions(host)

    def check_decisions(self, host: Host) -> None:
        _, proxy, _ = self.get_proxy(host)
        view = proxy.view
        if not view.is_set:
            # It serves no callers yet.
            return
        age_s = view.compute_age(host.read_clock())
        if view.key_table is None:
            decision = decide_without_organisations(age_s, proxy.recogniser.limits)
            self.decisions.add(PASSED_ON if decision.refusal is None else "held back")
            possible = self.list_possible(self.now)
            assert decision.refusal is not None or any(
                self.proposed.get(n) is NOT_IN_FORCE for n in possible
            ), f"{host.instance_id} passes keys on after organisations were acknowledged"
            return
        for key in KEYS:
            decision = decide_by_key(view.key_table, key, False, age_s, proxy.recogniser.limits)
            kind = decision.refusal or "served"
            self.decisions.add(kind)
            if decision.refusal is None:
                possible = self.list_possible(self.now - REVOCATION_S)
                assert any(_allows(self.proposed.get(n), n, key) for n in possible), (
                    f"{host.instance_id} serves {key}, which was removed"
                )
            elif decision.refusal is ErrorKind.KEY_UNKNOWN_CALLER:
                possible = self.list_possible(self.now - KEY_CHECK_S)
                assert any(not _allows(self.proposed.get(n), n, key) for n in possible), (
                    f"{host.instance_id} refuses {key} for good, which was added"
                )

    def list_possible(self, up_to: float) -> list[int]:
        """Return the documents that may be in force at some time since ``up_to``."""
        known = [n for n, at in self.acknowledged.items() if at <= up_to]
        latest = max(known, default=0)
        return [latest, *(n for n in self.proposed if n > latest)]


def _allows(keys: frozenset[str] | None, number: int, key: str) -> bool:
    """Return whether a document allows a key; without organisations every request is served."""
    return number == 0 or keys is NOT_IN_FORCE or key in keys


def form_key_fleet(seed: int, control: int = 3, entry: int = 2) -> KeyFleet:
    fleet = KeyFleet(control, entry, seed)
    assert fleet.run_until(fleet.is_converged, 60.0), fleet.describe()
    fleet.put_keys("c1", frozenset(KEYS))
    fleet.run_checked(3.0)
    assert 1 in fleet.acknowledged
    return fleet


def apply_step(fleet: KeyFleet, step: tuple[str, int, Any]) -> None:
    kind, number, value = step
    names = list(fleet.hosts)
    name = names[number % len(names)]
    host = fleet.hosts[name]
    if kind == "put":
        fleet.put_keys(name, value)
    elif kind == "cut":
        fleet.cut([name, names[value % len(names)]], outwards=value % 3 != 0)
    elif kind == "cut_control":
        fleet.cut([fleet.control[number % len(fleet.control)]])
    elif kind == "crash" and host.node is not None:
        fleet.crash(name)
    elif kind == "restart":
        fleet.restart(name)
    elif kind == "pause":
        fleet.pause(name)
    elif kind == "resume":
        fleet.resume(name)
    elif kind == "delay":
        fleet.extra_delay_s = value / 10
    elif kind == "heal":
        fleet.heal()


_keys = st.frozensets(st.sampled_from(KEYS))
_numbers = st.integers(0, 11)
_steps = st.one_of(
    st.tuples(st.just("put"), _numbers, st.none() | _keys),
    st.tuples(st.just("put"), _numbers, _keys),
    st.tuples(
        st.sampled_from(
            ["cut", "cut_control", "crash", "restart", "pause", "resume", "delay", "heal"]
        ),
        _numbers,
        _numbers,
    ),
)


@settings(max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    st.integers(0, 999),
    st.lists(st.tuples(_steps, st.sampled_from([0.0, 0.02, 0.3, 1.0, 2.5])), max_size=14),
)
def test_no_interleaving_serves_a_removed_key_or_refuses_an_added_one(seed, steps):
    fleet = form_key_fleet(seed)
    for step, duration_s in steps:
        apply_step(fleet, step)
        fleet.run_checked(duration_s)
    fleet.heal()
    fleet.run_checked(2.0)


# Guards against an instance that can't hear of the first organisations and passes keys on by
# tables from before them, or takes these for recent when the organisations are acknowledged.
@pytest.mark.parametrize("fault", ["none", "cut", "pause", "restart", "behind_a_relay"])
@pytest.mark.parametrize("seed", range(3))
def test_no_instance_with_a_fault_passes_keys_on_once_organisations_are_in_force(fault, seed):
    fleet = form_key_fleet(seed)
    fleet.put_keys("c1", NOT_IN_FORCE)
    fleet.run_checked(4.0)
    assert 2 in fleet.acknowledged
    assert fleet.run_until(lambda: passes_keys_on(fleet, "e1"), 20.0)
    break_instance(fleet, fault)
    fleet.put_keys("c2", frozenset(KEYS))
    if fault == "restart":
        fleet.restart("e1")
    fleet.run_checked(4.0)
    assert 3 in fleet.acknowledged
    assert PASSED_ON in fleet.decisions
    assert not passes_keys_on(fleet, "e1")
    fleet.heal()
    fleet.run_checked(3.0)
    assert decide(fleet, "e1", "k0") == "served"


def passes_keys_on(fleet: KeyFleet, name: str) -> bool:
    host = fleet.hosts[name]
    _, proxy, _ = fleet.get_proxy(host)
    age_s = proxy.view.compute_age(host.read_clock())
    decision = decide_without_organisations(age_s, proxy.recogniser.limits)
    return proxy.view.key_table is None and decision.refusal is None


def break_instance(fleet: KeyFleet, fault: str) -> None:
    """Keep news from an entry instance in one of the ways that it may not notice."""
    if fault == "cut":
        fleet.cut(["e1"])
    elif fault == "pause":
        fleet.pause("e1")
    elif fault == "behind_a_relay":
        for name in fleet.control:
            fleet.blocked |= {(name, "e1"), ("e1", name)}


def remove_key(fleet: KeyFleet, through: str) -> None:
    number = len(fleet.proposed) + 1
    fleet.put_keys(through, frozenset({"k1"}))
    assert fleet.run_until(lambda: number in fleet.acknowledged, 10.0)


def decide(fleet: KeyFleet, name: str, key: str) -> str:
    host = fleet.hosts[name]
    _, proxy, _ = fleet.get_proxy(host)
    view = proxy.view
    age_s = view.compute_age(host.read_clock())
    decision = decide_by_key(view.key_table, key, False, age_s, proxy.recogniser.limits)
    return decision.refusal or "served"


@pytest.mark.parametrize("fault", ["none", "cut", "pause", "restart", "behind_a_relay"])
@pytest.mark.parametrize("seed", range(3))
def test_a_removed_key_is_refused_in_time_at_an_instance_with_a_fault(fault, seed):
    """The instance can't hear of the removal: it must know by itself that it may be late."""
    fleet = form_key_fleet(seed)
    break_instance(fleet, fault)
    remove_key(fleet, "c2")
    if fault == "restart":
        fleet.restart("e1")
    fleet.run_checked(REVOCATION_S + SAMPLE_S)
    assert decide(fleet, "e2", "k0") == ErrorKind.KEY_UNKNOWN_CALLER
    if fleet.get_proxy(fleet.hosts["e1"])[1].view.key_table is not None:
        assert decide(fleet, "e1", "k0") != "served"
    fleet.heal()
    fleet.run_checked(3.0)
    assert decide(fleet, "e1", "k0") == ErrorKind.KEY_UNKNOWN_CALLER
    assert decide(fleet, "e1", "k1") == "served"


@pytest.mark.parametrize("seed", range(3))
def test_without_the_control_group_no_key_is_served_or_refused_for_good(seed):
    fleet = form_key_fleet(seed)
    for name in fleet.control:
        fleet.crash(name)
    fleet.run_checked(REVOCATION_S + 1.0)
    assert decide(fleet, "e1", "k0") == decide(fleet, "e1", "no") == ErrorKind.NOT_READY
    fleet.heal()
    fleet.run_checked(5.0)
    assert decide(fleet, "e1", "k0") == "served"


@pytest.mark.parametrize("seed", range(3))
def test_a_new_leader_confirms_only_with_the_removal(seed):
    """A leader that lost its office must not go on confirming tables with the removed key."""
    fleet = form_key_fleet(seed, control=5)
    old = fleet.find_leader()
    fleet.cut([old, "e1"])
    others = [n for n in fleet.control if n != old]
    assert fleet.run_until(lambda: fleet.find_leader() != old, 20.0)
    fleet.run_checked(1.0)
    remove_key(fleet, others[0])
    fleet.run_checked(4.0)
    assert decide(fleet, "e1", "k0") == ErrorKind.NOT_READY
    assert decide(fleet, "e2", "k0") == ErrorKind.KEY_UNKNOWN_CALLER
    fleet.heal()
    fleet.run_checked(4.0)
    assert decide(fleet, "e1", "k0") == ErrorKind.KEY_UNKNOWN_CALLER


@pytest.mark.parametrize("seed", range(3))
def test_a_confirmation_that_is_read_late_counts_from_when_it_was_asked_for(seed):
    """An instance that is paused finds an old confirmation when it is resumed."""
    fleet = form_key_fleet(seed)

    def pause_before_ack(sender: str, target: str, message: object) -> None:
        if target == "e1" and isinstance(message, Ack) and sender in fleet.control:
            fleet.pause("e1")

    fleet.watchers.append(pause_before_ack)
    assert fleet.run_until(lambda: fleet.hosts["e1"].paused, 5.0)
    fleet.run(0.01)
    fleet.watchers.remove(pause_before_ack)
    assert fleet.hosts["e1"].held_messages
    remove_key(fleet, "c2")
    fleet.run_checked(REVOCATION_S + 1.0)
    fleet.hosts["e1"].held_messages[1:] = []
    fleet.resume("e1")
    assert decide(fleet, "e1", "k0") == ErrorKind.NOT_READY
    fleet.run_checked(3.0)
    assert decide(fleet, "e1", "k0") == ErrorKind.KEY_UNKNOWN_CALLER


def test_a_view_that_could_not_be_built_does_not_get_the_age_of_newer_tables(monkeypatch):
    """Old keys with a young age would be served for ever."""
    fleet = form_key_fleet(1)
    host = fleet.hosts["e1"]
    _, proxy, publisher = fleet.get_proxy(host)
    view = proxy.view

    def fail(now: float, node: object) -> set[str]:
        raise ValueError("rows that this build can't read")

    def publish_isolated(now: float, node: object) -> None:
        with contextlib.suppress(ValueError):
            publish(now, node)

    publish = publisher.publish
    monkeypatch.setattr(publisher, "_publish_tables", fail)
    monkeypatch.setattr(publisher, "publish", publish_isolated)
    remove_key(fleet, "c1")
    fleet.run_checked(REVOCATION_S + 1.0)
    assert proxy.view is view
    assert decide(fleet, "e1", "k0") == ErrorKind.NOT_READY
