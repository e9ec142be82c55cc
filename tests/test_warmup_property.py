"""Bound on requests to cold upstreams, as a property over interleavings of faults.

Every instance sends as much as its pool grants, with slow connections. Instances are paused,
restarted and cut off from news; members join and leave; lists of members differ; upstreams
turn cold with and without a start.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtaildrum.balancing.candidates import UpstreamLoad
from foxtaildrum.balancing.pools import UpstreamPool
from foxtaildrum.balancing.tickets import Ticket
from foxtaildrum.balancing.warmup import WINDOW_S, Warmup
from foxtaildrum.fleet.upstreams import READY, Entry
from foxtaildrum.records import Announcement, Pool
from foxtaildrum.requests.steps import AttemptResult

OVERSHOOT = 1.5
SLACK = 8.0
STEP_S = 0.05
COLD_S = 3.0
MAX_CONNECT_S = 0.4
MAX_PER_STEP = 30
# Instances that a list of members may lack. The reserve covers one where shares are large.
MAX_MISSING = 2
MAX_MISSING_OF_FEW = 1
FEW_MEMBERS = 10
MAX_MEMBER_CHANGES = 2
FAULTS = ("pause", "resume", "restart", "cut", "heal", "join", "leave")
FAULTS += ("chill", "start", "restart_all")


@dataclass(slots=True)
class ModelUpstream:
    """One upstream: when it is cold, and the requests that it got while it was."""

    name: str
    zone: str
    incarnation: int = 1
    cold_from: float = 0.0
    cold_until: float = 0.0
    arrivals: list[float] = field(default_factory=list)

    def build_entry(self, listed: float | None) -> Entry:
        announcement = Announcement(
            pool="p",
            address="10.0.0.1:1",
            slots=1000,
            incarnation=self.incarnation,
            availability_zone=self.zone,
        )
        entry = Entry(self.name, announcement, READY, "c1", 1, False, 1e9)
        entry.cold_until = listed
        return entry


@dataclass(slots=True)
class ModelAttempt:
    """A request that holds a slot and whose connection is open at ``sent_at``."""

    upstream: UpstreamLoad
    warmup: Warmup | None
    granted_at: float
    sent_at: float


class ModelInstance:
    """One entry instance: its pool, what it has heard, and its attempts."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.paused = False
        self.cut = False
        self.start(Pool(name="p"))

    def start(self, pool: Pool) -> None:
        self.paused = False
        self.attempts: list[ModelAttempt] = []
        self.pool = UpstreamPool(
            pool, self.zone, 100, None, lambda upstream: None, random.Random(1), self.name
        )
        self.pool.warmups.set_bounds(OVERSHOOT, SLACK)


class Model:
    """Instances and upstreams, in steps of ``STEP_S``."""

    def __init__(self, seed: int, per_s: float, count: int, spare: int) -> None:
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.bound = per_s * OVERSHOOT + SLACK
        self.row = Pool(name="p", warmup_per_s=per_s, warmup_s=COLD_S)
        zones = {f"e{n}": "abc"[n % 3] for n in range(count + spare)}
        self.instances = {i: ModelInstance(i, z) for i, z in zones.items()}
        self.members = dict(list(zones.items())[:count])
        self.member_changes = 0
        self.upstreams = {n: ModelUpstream(n, z) for n, z in (("u", "a"), ("v", "b"))}
        self.listed: dict[str, float | None] = dict.fromkeys(self.upstreams)
        for instance in self.instances.values():
            self.restart(instance)

    def restart(self, instance: ModelInstance) -> None:
        instance.start(self.row)
        self.tell(instance)

    def tell(self, instance: ModelInstance) -> None:
        """Bring an instance up to date, but for some members."""
        others = sorted(self.members.keys() - {instance.name})
        most = MAX_MISSING_OF_FEW if len(others) < FEW_MEMBERS else MAX_MISSING
        missing = self.rng.sample(others, self.rng.randint(0, most))
        zones = {i: z for i, z in self.members.items() if i not in missing}
        instance.pool.warmups.set_zones(self.now, zones)
        entries = [u.build_entry(self.listed[u.name]) for u in self.upstreams.values()]
        instance.pool.update_members(self.now, entries)

    def apply(self, fault: str, number: int) -> None:
        instance = list(self.instances.values())[number % len(self.instances)]
        upstream = list(self.upstreams.values())[number % len(self.upstreams)]
        if fault == "pause":
            instance.paused = True
        elif fault == "resume":
            instance.paused = False
        elif fault == "restart":
            self.restart(instance)
        elif fault == "restart_all":
            for other in self.instances.values():
                self.restart(other)
        elif fault in ("cut", "heal"):
            instance.cut = fault == "cut"
        elif fault in ("join", "leave"):
            self.change_members(fault, instance)
        elif self.now >= upstream.cold_until + WINDOW_S:
            self.chill(upstream, fault == "start", number)

    def change_members(self, fault: str, instance: ModelInstance) -> None:
        if self.member_changes == MAX_MEMBER_CHANGES:
            return
        if fault == "join" and instance.name not in self.members:
            self.members[instance.name] = instance.zone
            self.restart(instance)
        elif fault == "leave" and instance.name in self.members:
            del self.members[instance.name]
        else:
            return
        self.member_changes += 1

    def chill(self, upstream: ModelUpstream, starts: bool, number: int) -> None:
        """Let an upstream turn cold; the list may or may not come to have it."""
        upstream.incarnation += starts
        upstream.cold_from = self.now
        upstream.cold_until = self.now + COLD_S
        if number % 3:
            self.listed[upstream.name] = upstream.cold_until
        elif starts:
            self.listed[upstream.name] = None

    def step(self) -> None:
        self.now += STEP_S * self.rng.uniform(0.5, 1.5)
        for instance in self.instances.values():
            if not instance.cut and not instance.paused and self.rng.random() < 0.3:
                self.tell(instance)
        for instance in self.instances.values():
            if not instance.paused and instance.name in self.members:
                self.serve(instance)

    def serve(self, instance: ModelInstance) -> None:
        """Check every upstream, send what is due, and ask for slots until one is refused."""
        pool = instance.pool
        pool.warmups.expire(self.now)
        for load in list(pool.balancer.upstreams.values()):
            left_s = self.upstreams[load.upstream_id].cold_until - self.now
            pool.warmups.record_check(self.now, load, left_s if left_s > 0 else None)
        due = [a for a in instance.attempts if a.sent_at <= self.now]
        instance.attempts = [a for a in instance.attempts if a.sent_at > self.now]
        for attempt in due:
            self.send(instance, attempt)
        for _ in range(MAX_PER_STEP):
            ticket = Ticket(self.now + 10.0, frozenset(), max_queue_wait_s=0.0)
            pool.request_slot(self.now, ticket, False)
            if ticket.granted is None:
                return
            delay_s = self.rng.choice((0.0, 0.0, self.rng.random() * MAX_CONNECT_S))
            attempt = ModelAttempt(ticket.granted, ticket.warmup, self.now, self.now + delay_s)
            if delay_s:
                instance.attempts.append(attempt)
            else:
                self.send(instance, attempt)

    def send(self, instance: ModelInstance, attempt: ModelAttempt) -> None:
        pool, load = instance.pool, attempt.upstream
        admitted, warmup = pool.warmups.admit(self.now, load, attempt.warmup)
        if admitted:
            upstream = self.upstreams[load.upstream_id]
            if upstream.cold_from <= self.now < upstream.cold_until:
                upstream.arrivals.append(self.now)
            if warmup is not None:
                pool.warmups.record_sent(self.now, warmup)
        pool.release(self.now, load, AttemptResult.OK, 0.01)

    def find_most_arrivals(self) -> int:
        """Return the largest number of requests that a cold upstream got in a second."""
        counts = [
            sum(start <= t < start + 1.0 for t in upstream.arrivals)
            for upstream in self.upstreams.values()
            for start in upstream.arrivals
        ]
        return max(counts, default=0)


def run(seed: int, per_s: float, count: int, faults: list) -> Model:
    model = Model(seed, per_s, count, spare=2)
    for _ in range(int(1.2 * WINDOW_S / STEP_S)):
        model.step()
    for step in faults:
        for fault, number in step:
            model.apply(fault, number)
        model.step()
    return model


STEPS = st.lists(
    st.lists(st.tuples(st.sampled_from(FAULTS), st.integers(0, 99)), max_size=3),
    min_size=20,
    max_size=90,
)


@settings(max_examples=40)
@given(
    st.integers(0, 10**6),
    st.sampled_from([13.0, 5.8]),
    st.sampled_from([4, 7, 16, 30]),
    STEPS,
)
def test_a_cold_upstream_never_gets_more_than_its_bound(seed, per_s, count, faults):
    model = run(seed, per_s, count, faults)
    assert model.find_most_arrivals() <= model.bound


def test_the_model_uses_the_allowance():
    # Otherwise the property would hold without a limit.
    faults = [[("start", 1)], *[[]] * 60]
    used = [run(seed, 13.0, 16, faults).find_most_arrivals() for seed in range(5)]
    assert min(used) >= 12
