"""Simulated fleet whose entry instances serve callers from simulated upstreams.

The nodes, the publishers and the pools are real; callers, upstreams and the network are not.
"""

from __future__ import annotations

import random
from typing import Any

from foxtaildrum.admin.metrics import Meter
from foxtaildrum.balancing.pools import UpstreamPool
from foxtaildrum.balancing.tickets import Ticket
from foxtaildrum.control.desired import DesiredState
from foxtaildrum.fleet.actions import PermitsAnswered
from foxtaildrum.fleet.views import ViewPublisher
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.records import Settings
from foxtaildrum.requests.proxy import Proxy
from foxtaildrum.requests.steps import AttemptResult

from .fleet import Fleet, Host, is_full

POOL = "p"
TABLES = {
    "routes": [{"name": "r", "path_prefix": "/", "pool": POOL}],
    "pools": [{"name": POOL}],
}
LEASE_S = 6.0
ANNOUNCE_PERIOD_S = 1.5
TIMEOUT_S = 1.2
QUEUE_WAIT_S = 0.05
POLL_S = 0.01
CHECK_S = 0.002


class SimulatedUpstream:
    """One upstream: its limit, and the requests that it got.

    Attributes
    ----------
    limit_per_s : float or None
        Limit that the responses name.
    arrivals : list of tuple
        Time and sending instance of each request.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.limit_per_s: float | None = None
        self.arrivals: list[tuple[float, str]] = []

    def count_arrivals(self, start: float, end: float) -> int:
        return sum(start <= t < end for t, _ in self.arrivals)


class _SimulatedPermitClient:
    """Passes what a pool reports and requests on to its node, as the next event."""

    def __init__(self, fleet: ServingFleet, host: Host) -> None:
        self._fleet = fleet
        self._host = host

    def __getattr__(self, method: str) -> Any:
        def call(*arguments: Any) -> None:
            name, generation = self._host.instance_id, self._host.generation
            self._fleet.schedule(0.0, "call", name, generation, method, arguments)

        return call


class ServingFleet(Fleet):
    """Fleet of control and entry instances with callers and upstreams.

    Parameters
    ----------
    entry : int
        Number of entry instances.
    upstreams : int
        Number of upstreams of the pool.
    requests_per_s : float
        Requests of all callers together.
    service_s : float
        Mean time that an upstream takes for a request, in seconds.
    start_delays : dict or None
        Delay in seconds before the first start of each host; 0 for those not listed.
    """

    def __init__(
        self,
        entry: int,
        upstreams: int,
        requests_per_s: float,
        seed: int,
        service_s: float = 0.15,
        start_delays: dict[str, float] | None = None,
    ) -> None:
        self.publishers: dict[str, tuple[int, ViewPublisher]] = {}
        self.served_at: list[float] = []
        self.refused_at: list[tuple[float, float, ErrorKind]] = []
        self.upstreams = {
            f"u{n}": SimulatedUpstream(f"u{n}", f"zone-{n % 3}") for n in range(upstreams)
        }
        super().__init__(5, entry, seed, 3, 2, start_delays)
        self.entries = [name for name in self.hosts if name.startswith("e")]
        self.requests_per_s = requests_per_s
        self.service_s = service_s

    def form(self) -> None:
        """Form the control group, apply the tables and start the upstreams and callers."""
        assert self.run_until(lambda: is_full(self), 60.0), self.describe()
        leader = self.hosts[self.find_leader()]
        state = DesiredState(1, TABLES, {})
        self.perform(leader, leader.node.propose(leader.read_clock(), "tables", state))
        for name in self.upstreams:
            self.schedule(self.rng.random() * ANNOUNCE_PERIOD_S, "announce", name)
        self.run(4.0)
        for name in self.entries:
            self._schedule_arrival(name)
        self.run(2.0)

    def get_pool(self, name: str) -> UpstreamPool | None:
        """Return the pool at a running instance."""
        known = self.publishers.get(name)
        host = self.hosts[name]
        if host.node is None or known is None or known[0] != host.generation:
            return None
        return known[1].get_pools().get(POOL)

    def count_served(self, start: float, end: float) -> int:
        return sum(start <= t < end for t in self.served_at)

    # Events.

    def _do_call(self, name: str, generation: int, method: str, arguments: tuple) -> None:
        host = self.hosts[name]
        if host.node is not None and host.generation == generation:
            node_method = getattr(host.node, method)
            self.perform(host, node_method(host.read_clock(), *arguments))

    def _do_resume(self, name: str) -> None:
        self.resume(name)

    def _do_announce(self, name: str) -> None:
        self.schedule(ANNOUNCE_PERIOD_S, "announce", name)
        upstream = self.upstreams[name]
        running = [c for c in self.control if self.hosts[c].node and not self.hosts[c].paused]
        if running:
            number = list(self.upstreams).index(name)
            self.announce(
                running[number % len(running)],
                name,
                pool=POOL,
                address=f"10.0.0.1:{1000 + number}",
                availability_zone=upstream.zone,
                slots=6,
                lease_s=LEASE_S,
            )

    def _schedule_arrival(self, name: str) -> None:
        rate = self.requests_per_s / len(self.entries)
        self.schedule(self.rng.expovariate(rate), "arrive", name)

    def _do_arrive(self, name: str) -> None:
        self._schedule_arrival(name)
        host = self.hosts[name]
        pool = self.get_pool(name)
        if pool is None or host.paused or not host.node.is_open(host.read_clock()):
            return
        pool.request_permits(host.read_clock())
        self.schedule(CHECK_S, "check", name, host.generation)

    def _do_check(self, name: str, generation: int) -> None:
        """Request a slot, after the time that status checks take."""
        host = self.hosts[name]
        pool = self.get_pool(name)
        if pool is None or host.generation != generation or host.paused:
            return
        now = host.read_clock()
        ticket = Ticket(now + TIMEOUT_S, frozenset(), max_queue_wait_s=QUEUE_WAIT_S)
        pool.request_slot(now, ticket, True)
        self._settle(name, generation, ticket, self.now)

    def _settle(self, name: str, generation: int, ticket: Ticket, arrived: float) -> None:
        if ticket.granted is not None:
            upstream = self.upstreams[ticket.granted.upstream_id]
            upstream.arrivals.append((self.now, name))
            held_s = self.service_s * self.rng.uniform(0.7, 1.3)
            self.schedule(held_s, "finish", name, generation, ticket, held_s)
        elif ticket.refused is not None:
            self.refused_at.append((self.now, self.now - arrived, ticket.refused))
        else:
            self.schedule(POLL_S, "poll", name, generation, ticket, arrived)

    def _do_poll(self, name: str, generation: int, ticket: Ticket, arrived: float) -> None:
        host = self.hosts[name]
        pool = self.get_pool(name)
        if pool is None or host.generation != generation:
            return
        now = host.read_clock()
        if not ticket.completed and now >= ticket.queue_deadline:
            pool.cancel_ticket(ticket, ErrorKind.OVERLOADED)
        elif not ticket.completed and not host.paused:
            pool.serve_queue(now)
        self._settle(name, generation, ticket, arrived)

    def _do_finish(self, name: str, generation: int, ticket: Ticket, held_s: float) -> None:
        host = self.hosts[name]
        pool = self.get_pool(name)
        if pool is None or host.generation != generation:
            return
        if host.paused:
            self.schedule(POLL_S, "finish", name, generation, ticket, held_s)
            return
        upstream = self.upstreams[ticket.granted.upstream_id]
        now = host.read_clock()
        pool.record_rate_limit(now, ticket.granted, upstream.limit_per_s, ticket.took_permit)
        pool.release(now, ticket.granted, AttemptResult.OK, held_s)
        self.served_at.append(self.now)

    def perform(self, host: Host, actions: list[Any]) -> None:
        """Perform the actions of a node and publish its state to its pools."""
        super().perform(host, actions)
        if not host.instance_id.startswith("e"):
            return
        known = self.publishers.get(host.instance_id)
        if known is None or known[0] != host.generation:
            known = (host.generation, self._build_publisher(host))
            self.publishers[host.instance_id] = known
        for action in actions:
            if isinstance(action, PermitsAnswered):
                known[1].deliver_permits(host.read_clock(), action)
        known[1].publish(host.read_clock(), host.node)

    def _build_publisher(self, host: Host) -> ViewPublisher:
        settings = Settings(role="entry", instance_id=host.instance_id, access_log=False)
        meter = Meter()
        rng = random.Random(f"{self.seed}-{host.instance_id}-{host.generation}-pools")
        publisher = ViewPublisher(settings, Proxy(meter, False), meter, rng)
        publisher.permit_client = _SimulatedPermitClient(self, host)
        return publisher
