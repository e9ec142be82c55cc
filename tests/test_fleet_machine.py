"""State machine test: hypothesis applies faults and requests to a fleet in any order."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from .fleet import Fleet, form_fleet

CONTROL_NAMES = st.sampled_from(["c1", "c2", "c3"])
ENTRY_NAMES = st.sampled_from(["e1", "e2"])
ALL_NAMES = st.sampled_from(["c1", "c2", "c3", "e1", "e2"])
CONVERGENCE_LIMIT_S = 120.0


class FleetMachine(RuleBasedStateMachine):
    """Applies faults and requests; the simulated fleet checks invariants after each event."""

    fleet: Fleet

    @initialize(seed=st.integers(0, 1000))
    def form(self, seed):
        self.fleet = form_fleet(3, 2, seed)
        self.change_count = 0
        self.versions: list[int] = []
        self.claims: dict[str, list[str]] = {}

    def is_up(self, name: str) -> bool:
        host = self.fleet.hosts[name]
        return host.node is not None and not host.paused

    @rule(duration_s=st.sampled_from([0.001, 0.05, 0.5, 2.0, 8.0]))
    def wait(self, duration_s):
        self.fleet.run(duration_s)

    @rule(name=ALL_NAMES)
    def crash(self, name):
        self.fleet.crash(name)

    @rule(name=ALL_NAMES)
    def restart(self, name):
        self.fleet.restart(name)

    @rule(name=CONTROL_NAMES)
    def lose_disk(self, name):
        if self.fleet.may_lose_disk(name):
            self.fleet.restart(name, lose_disk=True)

    @rule(name=ALL_NAMES, inwards=st.booleans(), outwards=st.booleans())
    def cut(self, name, inwards, outwards):
        self.fleet.cut([name], inwards, outwards)

    @rule(name=ALL_NAMES)
    def pause(self, name):
        self.fleet.pause(name)

    @rule(name=ALL_NAMES)
    def resume(self, name):
        self.fleet.resume(name)

    @rule(name=ALL_NAMES, jump_s=st.sampled_from([5.0, 60.0, 7200.0]))
    def jump_clock(self, name, jump_s):
        self.fleet.hosts[name].clock_skew_s += jump_s

    @rule(
        loss=st.sampled_from([0.0, 0.3]),
        delay_s=st.sampled_from([0.0, 0.4]),
        duplication=st.sampled_from([0.0, 0.5]),
    )
    def disturb_network(self, loss, delay_s, duplication):
        self.fleet.loss = loss
        self.fleet.extra_delay_s = delay_s
        self.fleet.duplication = duplication

    @rule()
    def heal(self):
        self.fleet.heal()

    @rule(name=ALL_NAMES)
    def change(self, name):
        if self.is_up(name):
            self.change_count += 1
            version = self.fleet.hosts[name].node.state.tables.tables["pools"].version
            change_id = f"change-{self.change_count}"
            self.versions.append(version)
            self.fleet.propose(name, "pools", [{"name": change_id}], version, change_id)

    @precondition(lambda self: getattr(self, "change_count", 0) > 0)
    @rule(name=ALL_NAMES, data=st.data())
    def resend_change(self, name, data):
        if self.is_up(name):
            number = data.draw(st.integers(1, self.change_count))
            change_id = f"change-{number}"
            version = self.versions[number - 1]
            rows = [{"name": change_id}]
            self.fleet.propose(name, "pools", rows, version, change_id, first=False)

    @rule(name=ENTRY_NAMES, key=st.sampled_from(["k1", "k2"]))
    def claim(self, name, key):
        if self.is_up(name):
            claim_ids = self.claims.setdefault(key, [])
            claim_ids.append(f"{key}-{len(claim_ids)}")
            self.fleet.claim(name, claim_ids[-1], key)

    @rule(
        name=ENTRY_NAMES,
        upstream=st.sampled_from(["u1", "u2"]),
        state=st.sampled_from(["ready", "draining"]),
        incarnation=st.integers(1, 3),
    )
    def announce(self, name, upstream, state, incarnation):
        if self.is_up(name):
            self.fleet.announce(name, upstream, incarnation, state=state, lease_s=3.0)

    def teardown(self):
        fleet = getattr(self, "fleet", None)
        if fleet is None:
            return
        for claim_ids in self.claims.values():
            fleet.check_granted_once(claim_ids)
        fleet.heal()
        assert fleet.run_until(fleet.is_converged, CONVERGENCE_LIMIT_S), fleet.describe()
        fleet.change_until_accepted("last")
        assert fleet.run_until(fleet.is_converged, CONVERGENCE_LIMIT_S), fleet.describe()
        for version, change_id in fleet.accepted.items():
            assert fleet.history.get(version) == change_id, f"{change_id} was lost"


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    settings.get_profile("ci"), max_examples=60, stateful_step_count=40
)
