"""Rate limits of organisations over all instances."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from foxtaildrum.permits.bounds import OrganisationLimit, OrganisationLimits, QuotaBounds
from foxtaildrum.permits.issuer import TAKEOVER_S, Bucket, QuotaIssuer, may_issue
from foxtaildrum.records import Organisation

from .quota_fleet import QuotaFleet

BOUNDS = QuotaBounds(window_s=5.0, overshoot=0.1, slack=20.0)


def compute_bound(limit: OrganisationLimit, bounds: QuotaBounds = BOUNDS) -> float:
    allowed = limit.rate_per_s * bounds.window_s + limit.burst
    return allowed + bounds.compute_excess(limit)


def form(
    organisations: list[Organisation],
    entry: int = 8,
    control: int = 3,
    seed: int = 1,
    bounds: QuotaBounds = BOUNDS,
) -> QuotaFleet:
    fleet = QuotaFleet(control, entry, organisations, bounds, seed)
    fleet.run_until(lambda: bool(fleet.find_issuer()))
    fleet.run(8.0)
    return fleet


def check_bound(fleet: QuotaFleet, organisation: Organisation) -> None:
    limit = OrganisationLimit(organisation.rate_per_s, organisation.burst)
    fullest = fleet.count_fullest(organisation.name, BOUNDS.window_s)
    assert fullest <= compute_bound(limit), (organisation.name, fullest)


def test_an_organisation_within_its_limit_is_never_refused():
    organisation = Organisation(name="a", rate_per_s=40, burst=40)
    fleet = form([organisation])
    fleet.set_rate("a", 36.0)
    fleet.run(30.0)
    assert not fleet.limited["a"]
    assert not fleet.unanswered["a"]
    assert len(fleet.used["a"]) > 900


def test_a_burst_at_one_instance_is_served_beside_permits_that_others_hold():
    organisation = Organisation(name="a", rate_per_s=40, burst=60)
    fleet = form([organisation])
    fleet.set_rate("a", 32.0)
    fleet.run(10.0)
    # A bucket that knows every request has 60 tokens; some are used by the others meanwhile.
    for _ in range(54):
        fleet.call("e1", "a")
    fleet.run(0.2)
    assert not fleet.limited["a"]


def test_an_organisation_beyond_its_limit_uses_it_up_and_is_refused_with_spread_times():
    organisation = Organisation(name="a", rate_per_s=20, burst=20)
    fleet = form([organisation])
    fleet.set_rate("a", 160.0)
    start = fleet.now
    fleet.run(20.0)
    check_bound(fleet, organisation)
    used = fleet.count_between(fleet.used["a"], start + 5.0, fleet.now)
    assert used >= 0.9 * 20 * 15.0
    waits = [wait_s for _, _, wait_s in fleet.limited["a"]]
    assert min(waits) > 0
    assert len({round(w, 3) for w in waits}) > len(waits) / 4


@pytest.mark.parametrize("fault", ["crash", "pause", "cut", "handover"])
def test_a_new_leader_does_not_repeat_the_burst(fault):
    organisation = Organisation(name="a", rate_per_s=20, burst=100)
    fleet = form([organisation])
    fleet.set_rate("a", 200.0)
    fleet.run(0.5)
    leader = fleet.find_issuer()
    if fault == "crash":
        fleet.crash(leader)
    elif fault == "pause":
        fleet.pause(leader)
        fleet.schedule(3.0, "heal")
    elif fault == "cut":
        fleet.cut([leader])
    else:
        host = fleet.hosts[leader]
        fleet.perform(host, host.node.begin_stop(host.read_clock()))
    fleet.run(10.0)
    assert fleet.find_issuer() != leader or fault == "pause"
    check_bound(fleet, organisation)
    # The new leader issues permits: the limit is used up again.
    assert fleet.count_between(fleet.used["a"], fleet.now - 4.0, fleet.now) >= 0.85 * 80


def test_requests_are_refused_for_a_short_time_only_after_the_issuer_is_lost():
    organisation = Organisation(name="a", rate_per_s=40, burst=40)
    fleet = form([organisation])
    fleet.set_rate("a", 20.0)
    fleet.run(5.0)
    lost_at = fleet.now
    fleet.crash(fleet.find_issuer())
    fleet.run(15.0)
    refusals = fleet.limited["a"] + fleet.unanswered["a"]
    # An election takes 0.8 to 1.6 s, and the new leader issues 0.5 s later.
    assert all(at < lost_at + 2.2 for at, _, _ in refusals)


def test_instances_that_are_cut_off_use_their_share_and_refuse_nobody_elsewhere():
    organisation = Organisation(name="a", rate_per_s=40, burst=40)
    fleet = form([organisation], entry=10)
    fleet.set_rate("a", 36.0)
    fleet.run(5.0)
    cut = ["e1", "e2"]
    fleet.cut(cut)
    fleet.run(20.0)
    check_bound(fleet, organisation)
    others = [n for _, n, _ in fleet.limited["a"] + fleet.unanswered["a"] if n not in cut]
    assert not others
    assert any(n in cut for _, n, _ in fleet.unanswered["a"])


def test_a_lowered_limit_is_binding_one_window_after_all_instances_know_it():
    fleet = form([Organisation(name="a", rate_per_s=60, burst=60)])
    fleet.set_rate("a", 120.0)
    fleet.run(5.0)
    lowered = Organisation(name="a", rate_per_s=3, burst=3)
    for name in fleet.hosts:
        fleet.set_table(name, [lowered])
    known_at = fleet.now
    fleet.run(20.0)
    bound = compute_bound(OrganisationLimit(3, 3))
    assert fleet.count_fullest("a", BOUNDS.window_s, known_at + BOUNDS.window_s) <= bound
    used = fleet.count_between(fleet.used["a"], known_at + 5.0, fleet.now)
    assert used >= 0.8 * 3 * 15.0


def test_a_removed_limit_refuses_nobody():
    fleet = form([Organisation(name="a", rate_per_s=3, burst=3)])
    fleet.set_rate("a", 60.0)
    fleet.run(5.0)
    assert fleet.limited["a"]
    for name in fleet.control:
        # The entry instances have not heard of it yet, so they still ask.
        fleet.set_table(name, [])
    fleet.run(4.0)
    start = fleet.now
    fleet.run(5.0)
    assert not fleet.count_between(fleet.limited["a"], start, fleet.now)


def test_an_instance_begins_without_a_share_after_a_restart():
    # Otherwise an instance that restarts again and again has a new share each time.
    fleet = form([Organisation(name="a", rate_per_s=4, burst=4)], entry=2)
    fleet.cut(["e1"])
    fleet.run(1.0)
    before = len(fleet.used["a"])
    for _ in range(20):
        fleet.restart("e1")
        for _ in range(6):
            fleet.call("e1", "a")
            fleet.run(0.2)
    assert len(fleet.used["a"]) == before


class QuotaMachine(RuleBasedStateMachine):
    """Faults in any order; the bound holds in every window of every organisation."""

    @initialize(
        seed=st.integers(0, 1000),
        rate=st.sampled_from([0.5, 3.0, 30.0]),
        burst=st.sampled_from([0.0, 3.0, 100.0]),
        factor=st.sampled_from([0.8, 3.0, 8.0]),
        slack=st.sampled_from([2.0, 20.0]),
    )
    def form(self, seed, rate, burst, factor, slack):
        self.bounds = QuotaBounds(BOUNDS.window_s, BOUNDS.overshoot, slack)
        self.organisation = Organisation(name="a", rate_per_s=rate, burst=burst)
        self.fleet = form([self.organisation], 6, 3, seed, self.bounds)
        # The bucket fills first, so that a repeated burst shows.
        self.fleet.run(min(40.0, burst / rate))
        self.fleet.set_rate("a", factor * rate)
        self.checked_from = 0.0

    @rule(duration_s=st.sampled_from([0.05, 0.4, 2.0, 6.0]))
    def wait(self, duration_s):
        self.fleet.run(duration_s)

    @rule(name=st.sampled_from(["c1", "c2", "c3", "e1", "e2"]))
    def restart(self, name):
        self.fleet.restart(name)

    @rule(name=st.sampled_from(["c1", "c2", "c3", "e1", "e2"]))
    def pause(self, name):
        self.fleet.pause(name)

    @rule(names=st.sets(st.sampled_from(["c1", "c2", "c3", "e1", "e2", "e3"]), max_size=3))
    def cut(self, names):
        self.fleet.cut(sorted(names))

    @rule(
        how=st.sampled_from(["crash", "cut", "split", "pause", "hand over"]),
        bursts=st.booleans(),
    )
    def change_leader(self, how, bursts):
        """End a leader, and let its successor begin to issue; with a burst at each."""
        fleet = self.fleet
        leader = fleet.find_issuer()
        if not leader:
            return
        if bursts:
            self.burst(150)
        host = fleet.hosts[leader]
        if how == "crash":
            fleet.crash(leader)
        elif how == "cut":
            fleet.cut([leader])
        elif how == "split":
            # Half of the entry instances still reach it.
            for name in (*fleet.control, *fleet.entries[:3]):
                fleet.blocked |= {(leader, name), (name, leader)}
        elif how == "pause":
            fleet.pause(leader)
        elif not host.paused:
            fleet.perform(host, host.node.begin_stop(host.read_clock()))
        fleet.run_until(lambda: fleet.find_issuer() not in ("", leader), 2.5)
        fleet.run(0.7)
        if bursts:
            self.burst(150)

    @rule(loss=st.sampled_from([0.0, 0.3]), duplication=st.sampled_from([0.0, 0.5]))
    def disturb(self, loss, duplication):
        self.fleet.loss = loss
        self.fleet.duplication = duplication

    @rule(count=st.sampled_from([5, 150]))
    def burst(self, count):
        for n in range(count):
            self.fleet.call(self.fleet.entries[n % 6], "a")
        self.fleet.run(0.1)

    @rule(ratio=st.sampled_from([0.1, 0.5]))
    def lower(self, ratio):
        old = self.organisation
        self.organisation = Organisation(
            name="a", rate_per_s=old.rate_per_s * ratio, burst=old.burst * ratio
        )
        for name in self.fleet.hosts:
            self.fleet.set_table(name, [self.organisation])
        self.checked_from = self.fleet.now + BOUNDS.window_s

    @rule()
    def heal(self):
        self.fleet.heal()

    @invariant()
    def keep_the_bound(self):
        limit = OrganisationLimit(self.organisation.rate_per_s, self.organisation.burst)
        fullest = self.fleet.count_fullest("a", BOUNDS.window_s, self.checked_from)
        assert fullest <= compute_bound(limit, self.bounds)


QuotaMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=25)
test_the_bound_holds_over_any_order_of_faults = QuotaMachine.TestCase


@given(
    rate=st.sampled_from([0.2, 3.0, 150.0]),
    burst=st.sampled_from([0.0, 3.0, 150.0]),
    steps=st.lists(
        st.tuples(st.floats(0.0, 1.0), st.integers(0, 200), st.sampled_from([0.0, 0.5, 1.0])),
        max_size=80,
    ),
)
def test_valid_permits_stay_below_the_ceiling(rate, burst, steps):
    # A message that arrives twice would make more permits valid at once than the bound covers.
    limit = OrganisationLimit(rate, burst)
    bucket = Bucket(0.0, limit, BOUNDS)
    now, total = 0.0, 0
    held: list[tuple[float, int]] = []
    for pause_s, wanted, returned_ratio in steps:
        now += pause_s
        valid = [(t, n) for t, n in held if now < t + bucket.valid_s]
        held = []
        for issued_at, count in valid:
            returned = int(count * returned_ratio)
            if returned:
                bucket.take_back(now, "e1", issued_at, returned)
                bucket.take_back(now, "e1", issued_at, returned)
            if count > returned:
                held.append((issued_at, count - returned))
        count, wait_s = bucket.issue(now, "e1", wanted, 0)
        assert count == wanted or wait_s >= 0
        if count:
            # Later returns of this time count together with the former ones.
            held = [(t, n) for t, n in held if t != now] + [(now, count)]
        total = sum(n for _, n in held)
        assert total <= max(BOUNDS.compute_ceiling(limit), 1.0)


def test_permits_that_are_held_returned_and_issued_again_do_not_add_up():
    # Instances that return each permit just before it ends and ask again would hoard permits
    # without end, and could use them at once.
    limit = OrganisationLimit(3, 30)
    bucket = Bucket(0.0, limit, BOUNDS)
    held: list[tuple[float, int]] = []
    for step in range(300):
        now = 20.0 + step / 10
        ending = [(t, n) for t, n in held if now > t + bucket.valid_s - 0.15]
        for issued_at, count in ending:
            bucket.take_back(now, "e1", issued_at, count)
        held = [lot for lot in held if lot not in ending]
        count, _ = bucket.issue(now, "e1", 200, 0)
        held.append((now, count))
        assert sum(n for _, n in held) <= BOUNDS.compute_ceiling(limit)


def test_a_permit_that_returns_late_or_twice_is_not_issued_again():
    bucket = Bucket(0.0, OrganisationLimit(0.1, 10), BOUNDS)
    now = 500.0
    assert bucket.issue(now, "e1", 10, 0)[0] == 10
    assert bucket.issue(now, "e2", 100, 0)[0] == 2
    bucket.take_back(now, "e1", now, 4)
    bucket.take_back(now, "e1", now, 4)
    assert bucket.issue(now, "e3", 100, 0)[0] == 4
    later = now + bucket.valid_s
    bucket.take_back(later, "e2", now, 2)
    assert bucket.issue(later, "e3", 100, 0)[0] == 0


def test_a_leader_issues_only_while_confirmed_and_after_a_pause():
    assert may_issue(10.0, 9.0, 9.6)
    assert not may_issue(10.0, 9.0, 9.4)
    assert not may_issue(10.0, 9.6, 9.9)
    assert not may_issue(10.0, 9.0, None)
    assert may_issue(10.0, 9.6, 9.9, follows_long_term=True)
    assert not may_issue(10.0, 9.0, 9.4, follows_long_term=True)


def test_a_new_term_begins_with_empty_buckets():
    limits = OrganisationLimits()
    limits.replace([Organisation(name="a", rate_per_s=10, burst=10)])
    issuer = QuotaIssuer(limits, BOUNDS)
    issuer.begin_term(1, 0.0)
    assert issuer.issue(5.0, "e1", "a", 5, 0).count == 5
    issuer.begin_term(2, 5.0)
    assert issuer.issue(5.0 + TAKEOVER_S, "e1", "a", 5, 0).count == 0
    issuer.begin_term(2, 5.0)
    assert issuer.issue(6.0 + TAKEOVER_S, "e1", "a", 5, 0).count == 5


def test_buckets_are_not_empty_after_a_long_term_only():
    # Otherwise leaders that follow each other within a window add up beyond the bound.
    limit = OrganisationLimit(0.01, 10)
    limits = OrganisationLimits()
    limits.replace([Organisation(name="a", rate_per_s=0.01, burst=10)])
    issuer = QuotaIssuer(limits, BOUNDS)
    issuer.begin_term(2, 100.0, follows_long_term=True)
    initial = int(BOUNDS.compute_initial(limit))
    # Tokens accrue after the pause only: a former leader may still issue until then.
    assert issuer.issue(100.0, "e1", "a", 50, 0).count == initial > 0
    assert issuer.issue(100.0 + TAKEOVER_S, "e1", "a", 50, 0).count == 0
    issuer.begin_term(3, 101.0, follows_long_term=False)
    assert issuer.issue(101.0 + TAKEOVER_S, "e1", "a", 50, 0).count == 0


def test_the_second_leader_within_a_window_begins_with_empty_buckets():
    organisation = Organisation(name="a", rate_per_s=0.01, burst=10)
    fleet = form([organisation], entry=2, control=5)
    initial = int(BOUNDS.compute_initial(OrganisationLimit(0.01, 10)))
    counts = []
    for _ in range(2):
        fleet.crash(fleet.find_issuer())
        fleet.run_until(lambda: bool(fleet.find_issuer()))
        used = len(fleet.used["a"])
        fleet.run(0.8)
        for _ in range(20):
            fleet.call("e1", "a")
        fleet.run(0.2)
        counts.append(len(fleet.used["a"]) - used)
    assert 0 < counts[0] <= initial
    assert counts[1] == 0
