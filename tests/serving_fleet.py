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
from foxtaildrum.requests.guard import CrashGuard
from foxtaildrum.requests.proxy import Proxy
from foxtaildrum.requests.steps import AttemptResult
from foxtaildrum.requests.transport import OutgoingRequest

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
    running : dict
        Requests that run, by the identity of their tickets.
    up : bool
        Whether the upstream accepts connections.
    incarnation : int
        Number that increases with each start.
    cold_until : float
        Time until which it is cold.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.limit_per_s: float | None = None
        self.arrivals: list[tuple[float, str]] = []
        self.running: dict[int, SimulatedRequest] = {}
        self.up = True
        self.incarnation = 1
        self.cold_until = 0.0

    def count_arrivals(self, start: float, end: float) -> int:
        return sum(start <= t < end for t, _ in self.arrivals)


class SimulatedRequest:
    """One request of a caller at one instance.

    Attributes
    ----------
    fingerprint : str
        Equal for the same request of the same caller.
    crashes : bool
        Whether an upstream that runs it crashes.
    attempts : int
        Upstreams that it may be sent to beyond the present one.
    """

    def __init__(self, name: str, generation: int, fingerprint: str, crashes: bool) -> None:
        self.name = name
        self.generation = generation
        self.fingerprint = fingerprint
        self.crashes = crashes
        self.attempts = 1
        self.ticket: Ticket | None = None
        self.arrived = 0.0
        self.tried: frozenset[str] = frozenset()
        self.guard: CrashGuard | None = None


class _SimulatedNodeClient:
    """Passes what request threads report and request on to the node, as the next event."""

    def __init__(self, fleet: ServingFleet, host: Host) -> None:
        self._fleet = fleet
        self._host = host

    def __getattr__(self, method: str) -> Any:
        def call(*arguments: Any) -> None:
            name, generation = self._host.instance_id, self._host.generation
            self._fleet.schedule(0.0, "call", name, generation, method, arguments)

        return call


class ServingInstance:
    """What one start of an entry instance serves callers with."""

    def __init__(self, fleet: ServingFleet, host: Host) -> None:
        self.generation = host.generation
        settings = Settings(
            role="entry",
            instance_id=host.instance_id,
            access_log=False,
            **fleet.settings,
        )
        meter = Meter()
        self.proxy = Proxy(meter, False)
        rng = random.Random(f"{fleet.seed}-{host.instance_id}-{host.generation}-pools")
        self.publisher = ViewPublisher(settings, self.proxy, meter, rng)
        self.publisher.permit_client = _SimulatedNodeClient(fleet, host)


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
    pool_fields : dict or None
        Further fields of the row of the pool.
    settings : dict or None
        Further settings of the entry instances.
    """

    def __init__(
        self,
        entry: int,
        upstreams: int,
        requests_per_s: float,
        seed: int,
        service_s: float = 0.15,
        start_delays: dict[str, float] | None = None,
        pool_fields: dict[str, Any] | None = None,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.settings = settings or {}
        self.tables = {**TABLES, "pools": [{"name": POOL, **(pool_fields or {})}]}
        self.serving: dict[str, ServingInstance] = {}
        self.served_at: list[float] = []
        self.request_count = 0
        self.sent: list[tuple[float, str, str]] = []
        # Time, upstream, and the requests that it ran: nobody can tell which one ended it.
        self.crashes: list[tuple[float, str, frozenset[str]]] = []
        self.refused_fingerprints: list[tuple[float, str]] = []
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
        state = DesiredState(1, self.tables, {})
        self.perform(leader, leader.node.propose(leader.read_clock(), "tables", state))
        for name in self.upstreams:
            self.schedule(self.rng.random() * ANNOUNCE_PERIOD_S, "announce", name)
        self.run(4.0)
        for name in self.entries:
            self._schedule_arrival(name)
        self.run(2.0)

    def get_pool(self, name: str) -> UpstreamPool | None:
        """Return the pool at a running instance."""
        known = self.serving.get(name)
        host = self.hosts[name]
        if host.node is None or known is None or known.generation != host.generation:
            return None
        return known.proxy.view.pools.get(POOL)

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
        if not upstream.up:
            return
        running = [c for c in self.control if self.hosts[c].node and not self.hosts[c].paused]
        if running:
            number = list(self.upstreams).index(name)
            self.announce(
                running[number % len(running)],
                name,
                upstream.incarnation,
                pool=POOL,
                address=f"10.0.0.1:{1000 + number}",
                availability_zone=upstream.zone,
                slots=6,
                lease_s=LEASE_S,
                warmup_left_ms=max(0.0, upstream.cold_until - self.now) * 1000,
            )

    def _schedule_arrival(self, name: str) -> None:
        rate = self.requests_per_s / len(self.entries)
        self.schedule(self.rng.expovariate(rate), "arrive", name)

    def _do_arrive(self, name: str) -> None:
        self._schedule_arrival(name)
        self.request_count += 1
        self.send_request(name, f"ordinary-{self.request_count}")

    def _do_repeat(self, fingerprint: str, crashes: bool, period_s: float) -> None:
        """Send the same request through any instance, again and again."""
        self.schedule(
            period_s * self.rng.uniform(0.5, 1.5), "repeat", fingerprint, crashes, period_s
        )
        self.send_request(self.rng.choice(self.entries), fingerprint, crashes)

    def send_request(self, name: str, fingerprint: str, crashes: bool = False) -> None:
        """Send a request through an instance, unless it is down or serves no callers."""
        host = self.hosts[name]
        pool = self.get_pool(name)
        if pool is None or host.paused or not host.node.is_open(host.read_clock()):
            return
        request = SimulatedRequest(name, host.generation, fingerprint, crashes)
        pool.request_permits(host.read_clock())
        self.schedule(CHECK_S, "check", request)

    def _do_check(self, request: SimulatedRequest) -> None:
        """Request a slot, after the time that status checks take."""
        pool = self._get_request_pool(request)
        host = self.hosts[request.name]
        if pool is None or host.paused:
            return
        now = host.read_clock()
        if not self._may_send(request):
            self.refused_fingerprints.append((self.now, request.fingerprint))
            return
        request.arrived = self.now
        request.ticket = Ticket(now + TIMEOUT_S, request.tried, max_queue_wait_s=QUEUE_WAIT_S)
        pool.request_slot(now, request.ticket, True)
        self._settle(request)

    def _may_send(self, request: SimulatedRequest) -> bool:
        return not self._get_guard(request).is_refused()

    def _get_guard(self, request: SimulatedRequest) -> CrashGuard:
        if request.guard is None:
            host = self.hosts[request.name]
            proxy = self.serving[request.name].proxy
            outgoing = OutgoingRequest("GET", f"/{request.fingerprint}", {}, None, 0, "id")
            client = _SimulatedNodeClient(self, host)
            request.guard = CrashGuard(outgoing, lambda: proxy.crash_view, client)
        return request.guard

    def _get_request_pool(self, request: SimulatedRequest) -> UpstreamPool | None:
        pool = self.get_pool(request.name)
        return pool if self.hosts[request.name].generation == request.generation else None

    def _settle(self, request: SimulatedRequest) -> None:
        ticket = request.ticket
        if ticket.granted is not None:
            self._run(request)
        elif ticket.refused is not None:
            self.refused_at.append((self.now, self.now - request.arrived, ticket.refused))
        else:
            self.schedule(POLL_S, "poll", request)

    def _do_poll(self, request: SimulatedRequest) -> None:
        pool = self._get_request_pool(request)
        if pool is None:
            return
        host, ticket = self.hosts[request.name], request.ticket
        now = host.read_clock()
        if not ticket.completed and now >= ticket.queue_deadline:
            pool.cancel_ticket(ticket, ErrorKind.OVERLOADED)
        elif not ticket.completed and not host.paused:
            pool.serve_queue(now)
        self._settle(request)

    def _run(self, request: SimulatedRequest) -> None:
        """Run a request at the upstream that granted it a slot."""
        ticket = request.ticket
        upstream = self.upstreams[ticket.granted.upstream_id]
        if not upstream.up:
            pool = self._get_request_pool(request)
            now = self.hosts[request.name].read_clock()
            if ticket.warmup is not None:
                pool.warmups.cancel(ticket.warmup)
            pool.release(now, ticket.granted, AttemptResult.UNREACHABLE, 0.0)
            self._retry(request, upstream)
            return
        upstream.arrivals.append((self.now, request.name))
        if ticket.warmup is not None:
            pool = self._get_request_pool(request)
            pool.warmups.record_sent(self.hosts[request.name].read_clock(), ticket.warmup)
        self.sent.append((self.now, request.name, request.fingerprint))
        upstream.running[id(ticket)] = request
        held_s = self.service_s * self.rng.uniform(0.7, 1.3)
        if request.crashes:
            self.schedule(
                held_s, "crash_upstream", upstream.name, upstream.incarnation, request
            )
        else:
            self.schedule(held_s, "finish", request, held_s)

    def _retry(self, request: SimulatedRequest, upstream: SimulatedUpstream) -> None:
        if request.attempts:
            request.attempts -= 1
            request.tried |= {upstream.name}
            self.schedule(0.0, "check", request)

    def _do_finish(self, request: SimulatedRequest, held_s: float) -> None:
        pool = self._get_request_pool(request)
        host, ticket = self.hosts[request.name], request.ticket
        upstream = self.upstreams[ticket.granted.upstream_id]
        if pool is None:
            upstream.running.pop(id(ticket), None)
            return
        if host.paused:
            self.schedule(POLL_S, "finish", request, held_s)
            return
        if upstream.running.pop(id(ticket), None) is None:
            return
        now = host.read_clock()
        pool.record_rate_limit(now, ticket.granted, upstream.limit_per_s, ticket.took_permit)
        pool.release(now, ticket.granted, AttemptResult.OK, held_s)
        self._report_success(request)
        self.served_at.append(self.now)

    def _do_crash_upstream(
        self, name: str, incarnation: int, culprit: SimulatedRequest
    ) -> None:
        """End an upstream under all requests that it runs; it is back after some seconds."""
        upstream = self.upstreams[name]
        if not upstream.up or upstream.incarnation != incarnation:
            return
        lost = {request.fingerprint for request in upstream.running.values()}
        self.crashes.append((self.now, name, frozenset({culprit.fingerprint, *lost})))
        upstream.up = False
        for request in upstream.running.values():
            self.schedule(0.001, "lose_answer", request, name, incarnation)
        upstream.running.clear()
        self.schedule(self.rng.uniform(2.0, 5.0), "restart_upstream", name)

    def _do_restart_upstream(self, name: str) -> None:
        self.upstreams[name].up = True
        self.upstreams[name].incarnation += 1

    def _do_lose_answer(self, request: SimulatedRequest, name: str, incarnation: int) -> None:
        pool = self._get_request_pool(request)
        if pool is None:
            return
        host = self.hosts[request.name]
        if host.paused:
            self.schedule(POLL_S, "lose_answer", request, name, incarnation)
            return
        pool.release(host.read_clock(), request.ticket.granted, AttemptResult.FAILED, 0.0)
        self._report_crash(request, name, incarnation)
        self._retry(request, self.upstreams[name])

    def _report_crash(self, request: SimulatedRequest, name: str, incarnation: int) -> None:
        """Tell the node that an upstream ended while it ran a request."""
        self._get_guard(request).record_crash(name, incarnation)

    def _report_success(self, request: SimulatedRequest) -> None:
        """Tell the node that an upstream ran a request to its end."""
        self._get_guard(request).record_answer()

    def perform(self, host: Host, actions: list[Any]) -> None:
        """Perform the actions of a node and publish its state to its pools."""
        super().perform(host, actions)
        if not host.instance_id.startswith("e"):
            return
        known = self.serving.get(host.instance_id)
        if known is None or known.generation != host.generation:
            known = self.serving[host.instance_id] = ServingInstance(self, host)
        now = host.read_clock()
        for action in actions:
            if isinstance(action, PermitsAnswered):
                known.publisher.deliver_permits(now, action)
        known.publisher.publish(now, host.node)
