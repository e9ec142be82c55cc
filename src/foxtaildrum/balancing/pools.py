"""Thread-safe pools of upstreams for the request threads."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Iterable

from ..fleet.upstreams import Entry
from ..kinds import ErrorKind
from ..logs import log_event
from ..permits.ratelimits import ExpiredPermits
from ..permits.upstreams import PermitClient
from ..records import PermitReply, Pool
from ..requests.connections import ConnectionPool
from ..requests.exchange import AttemptBudget
from ..requests.steps import AttemptResult
from ..requests.transport import Adapter
from .balancer import Balancer
from .candidates import UpstreamLoad
from .evacuation import EvacuationPlan
from .latency import BucketCounts, RecentLatency
from .loads import LoadReport
from .tickets import Ticket
from .warmupgate import WarmupGate

HEDGE_PERCENTILE = 95.0
HEDGE_MIN_SAMPLES = 50
HEDGE_OBJECTIVE_RATIO = 0.75
HEDGE_MIN_SERVICE_TIMES = 2.0


class UpstreamPool(AttemptBudget):
    """Balancer, connections and budgets of one pool; safe to share between threads.

    Parameters
    ----------
    pool : Pool
        Row of the pools table.
    availability_zone : str
        Availability zone of this instance.
    queue_limit : int
        Most requests that may wait for a slot.
    open_connection : Adapter
        Opens connections to upstreams.
    notify_draining : callable
        Called with the identifier of an upstream whose response states that it is draining.
    rng : random.Random
        Source of random choices.
    instance_id : str
        Identifier of this instance.
    permit_client : PermitClient
        Reports rate limits and cold upstreams, and requests permits.
    evacuations : EvacuationPlan or None
        Evacuated zones, whose upstreams are left out; None for no evacuations.

    Attributes
    ----------
    warmups : WarmupGate
        Cold upstreams of the pool.
    """

    def __init__(
        self,
        pool: Pool,
        availability_zone: str,
        queue_limit: int,
        open_connection: Adapter,
        notify_draining: Callable[[str], None],
        rng: random.Random,
        instance_id: str = "",
        permit_client: PermitClient | None = None,
        evacuations: EvacuationPlan | None = None,
    ) -> None:
        self._permit_client = permit_client or PermitClient()
        self.name = pool.name
        self._lock = threading.Lock()
        self._balancer = Balancer(
            pool, availability_zone, queue_limit, rng, instance_id, evacuations
        )
        self.warmups = WarmupGate(
            self._balancer, self._lock, self.serve_queue, self._permit_client
        )
        self._open_connection = open_connection
        self._connections: dict[str, ConnectionPool] = {}
        self._notify_draining = notify_draining
        self._latency = RecentLatency()

    @property
    def hold_times(self) -> BucketCounts:
        """Histogram of the times that successful attempts held a slot, since the start."""
        return self._latency.since_start

    @property
    def balancer(self) -> Balancer:
        """Balancer of the pool; for reading only."""
        return self._balancer

    def configure(self, pool: Pool, busy_limit: int) -> None:
        """Apply a changed row of the pools table.

        Parameters
        ----------
        busy_limit : int
            Most requests of the pool that may hold or wait for a slot.
        """
        with self._lock:
            self._balancer.configure(pool)
            self._balancer.busy_limit = busy_limit

    def record_request(self) -> None:
        """Credit the retry budget for one request."""
        with self._lock:
            self._balancer.record_request()

    def set_default_retry_ratio(self, ratio: float) -> None:
        """Set the retries allowed per request for a pool whose row sets no ratio."""
        with self._lock:
            self._balancer.set_default_retry_ratio(ratio)

    def set_retry_slack(self, tokens: float) -> None:
        """Set how many retries and hedges may be made at once beyond the retry ratio.

        The number is this instance's share of the extra arrivals that the fleet may make.
        """
        with self._lock:
            self._balancer.set_retry_slack(tokens)

    def update_members(self, now: float, entries: Iterable[Entry]) -> None:
        """Apply the current upstreams of the pool."""
        with self._lock:
            completed = self._balancer.update_members(now, entries)
            addresses = {u.address for u in self._balancer.upstreams.values()}
            gone = set(self._connections) - addresses
            closing = [self._connections.pop(address) for address in gone]
        _wake_waiters(completed)
        self.warmups.handle_changes(now)
        for connections in closing:
            connections.close()

    def request_slot(self, now: float, ticket: Ticket, may_wait: bool) -> None:
        """Grant, queue or refuse ``ticket``."""
        with self._lock:
            self._balancer.request_slot(now, ticket, may_wait)
            if not ticket.completed:
                ticket.wake = threading.Event()
            completed = self._balancer.pop_displaced()
        _wake_waiters(completed)

    def serve_queue(self, now: float) -> None:
        """Complete the waiting tickets that can be granted or refused at time ``now``."""
        with self._lock:
            completed = self._balancer.serve_queue(now)
        _wake_waiters(completed)

    def cancel_ticket(self, ticket: Ticket, kind: ErrorKind) -> None:
        """Refuse a waiting ticket with ``kind``; no effect on a completed one."""
        with self._lock:
            self._balancer.cancel_ticket(ticket, kind)

    def release(
        self, now: float, upstream: UpstreamLoad, result: AttemptResult, held_s: float
    ) -> None:
        """Release a slot and record the result of its attempt."""
        with self._lock:
            completed = self._balancer.release(now, upstream, result, held_s)
            if result is AttemptResult.OK:
                self._latency.record(now, held_s)
                self._balancer.earn_measuring_budget(held_s)
        _wake_waiters(completed)

    def record_response(
        self, now: float, upstream: UpstreamLoad, report: LoadReport | None, draining: bool
    ) -> None:
        """Record the load report and the draining state from an upstream's response."""
        if report is not None:
            with self._lock:
                self._balancer.record_load(now, upstream, report)
        if draining:
            self.record_leaving(upstream.upstream_id)

    def record_leaving(self, upstream_id: str) -> None:
        """Record that an upstream says that it leaves, and report it to the fleet."""
        with self._lock:
            is_news = self._balancer.record_leaving(upstream_id)
        if is_news:
            self._notify_draining(upstream_id)

    def record_rest(self, now: float, upstream: UpstreamLoad, rest_s: float) -> None:
        """Record that an upstream wants no request from this instance for some seconds."""
        with self._lock:
            self._balancer.record_rest(now, upstream, rest_s)
            completed = self._balancer.serve_queue(now)
        _wake_waiters(completed)
        log_event("upstream_rests", upstream=upstream.upstream_id, rest_s=rest_s)

    def record_rate_limit(
        self,
        now: float,
        upstream: UpstreamLoad,
        limit_per_s: float | None,
        took_permit: bool,
    ) -> None:
        """Record the rate limit that a response names, and report a change to the fleet.

        Parameters
        ----------
        limit_per_s : float or None
            Requests per second for the whole fleet; None if the response names no limit.
        took_permit : bool
            Whether the request was sent while the upstream limited its rate.
        """
        with self._lock:
            changed = self._balancer.rate_limits.record_response(
                now, upstream, limit_per_s, took_permit
            )
        if not changed:
            return
        self._permit_client.report_rate_limit(
            upstream.upstream_id, upstream.incarnation, limit_per_s
        )
        log_event(
            "upstream_limit",
            upstream=upstream.upstream_id,
            limit_per_s="-" if limit_per_s is None else limit_per_s,
        )

    def handle_permits(self, now: float, reply: PermitReply) -> None:
        """Apply the reply of an issuer, and serve the requests that wait for permits."""
        with self._lock:
            upstream = self._balancer.upstreams.get(reply.upstream_id)
            if upstream is None or upstream.permits is None:
                return
            upstream.permits.handle_reply(now, reply.requested_at, reply.count, reply.wait_s)
            completed = self._balancer.serve_queue(now)
        _wake_waiters(completed)

    def set_entry_count(self, entry_count: int) -> None:
        """Set the number of instances that serve callers."""
        with self._lock:
            self._balancer.rate_limits.entry_count = entry_count

    def request_permits(self, now: float) -> None:
        """Request the permits that a request which has just arrived could use."""
        with self._lock:
            planned = self._balancer.plan_permits(now)
        for item in planned:
            if isinstance(item, ExpiredPermits):
                self._permit_client.return_permits(item.upstream_id, item.count)
            else:
                self._permit_client.request_permits(
                    item.upstream_id, item.limit_per_s, item.count, now
                )

    @property
    def load_path(self) -> str:
        """Path of the load endpoint; empty if the pool has none."""
        return self._balancer.pool.load_path

    def choose_probe(self, now: float) -> UpstreamLoad | None:
        """Return the upstream to probe, if any, and spend the measuring budget for it."""
        if not self.load_path:
            return None
        with self._lock:
            return self._balancer.choose_probe(now)

    def record_probe(self, now: float, upstream: UpstreamLoad, report: LoadReport) -> None:
        """Record the load that a probe or a status check returned."""
        with self._lock:
            self._balancer.record_load(now, upstream, report)

    @property
    def health_path(self) -> str:
        """Path of the status check; empty if the pool has none."""
        return self._balancer.pool.health_path

    def set_status_check_rate(self, probes_per_s: float, sample_size: int) -> None:
        """Set the status checks per second and upstream, and the sample size per choice."""
        with self._lock:
            self._balancer.set_status_check_rate(probes_per_s, sample_size)

    def choose_samples(
        self,
        now: float,
        excluded: frozenset[str],
        response_bytes: float,
        round_number: int = 0,
    ) -> list[UpstreamLoad]:
        """Return the upstreams that get a status check, and spend the budget for them."""
        if not self.health_path:
            return []
        with self._lock:
            return self._balancer.choose_samples(now, excluded, response_bytes, round_number)

    def has_calm_upstream(self, now: float, excluded: frozenset[str]) -> bool:
        """Return whether a fresh report shows an upstream with a free slot and normal pace."""
        with self._lock:
            return self._balancer.has_calm_upstream(now, excluded)

    def record_unanswered_check(self, now: float, upstream: UpstreamLoad) -> None:
        """Record that a status check was not answered in time."""
        with self._lock:
            self._balancer.record_unanswered_check(now, upstream)

    def record_moved(self, now: float, upstream: UpstreamLoad) -> None:
        """Record that another upstream answered at the address of ``upstream``."""
        with self._lock:
            self._balancer.record_moved(now, upstream)

    def list_addresses(self, now: float) -> list[str]:
        """Return the addresses of the upstreams in state ready that may get anything."""
        with self._lock:
            return self._balancer.list_addresses(now)

    def count_evacuated(self, now: float) -> int:
        """Return the number of upstreams left out because their zones are evacuated."""
        with self._lock:
            upstreams = self._balancer.upstreams.values()
            return len(upstreams) - len(
                self._balancer.evacuations.select_usable(now, upstreams)
            )

    def forget_failures(self) -> None:
        """Forget the failures of all upstreams: they were caused by links of this instance."""
        with self._lock:
            self._balancer.forget_failures()

    def get_connections(self, upstream: UpstreamLoad) -> ConnectionPool:
        """Return the connection pool of an upstream."""
        with self._lock:
            pool = self._connections.get(upstream.address)
            if pool is None:
                pool = ConnectionPool(upstream.address, self._open_connection)
                self._connections[upstream.address] = pool
            return pool

    def list_connections(self) -> list[ConnectionPool]:
        """Return the connection pools of all upstreams that were used."""
        with self._lock:
            return list(self._connections.values())

    def compute_hedge_delay(self, now: float, objective_s: float) -> float | None:
        """Return the delay before a hedge in seconds, or None for no hedge.

        Parameters
        ----------
        objective_s : float
            Latency objective of the route, in seconds; the delay is derived from it while
            there are too few latencies for a percentile.
        """
        balancer = self._balancer
        if balancer.pool.measuring_budget_ratio <= 0:
            return None
        with self._lock:
            if self._latency.count() < HEDGE_MIN_SAMPLES:
                is_shared = balancer.shares_retry_budget
                return HEDGE_OBJECTIVE_RATIO * objective_s if is_shared else None
            quantile = self._latency.compute_quantile(now, HEDGE_PERCENTILE)
        return max(quantile, HEDGE_MIN_SERVICE_TIMES * balancer.load.mean_service_s)

    def allow_retry(self) -> bool:
        """Spend the budget for one retry; return whether it sufficed."""
        with self._lock:
            return self._balancer.retry_budget.spend(1.0)

    def allow_hedge(self) -> bool:
        """Spend the budget for one hedge; return whether it sufficed."""
        with self._lock:
            return self._balancer.spend_hedge()

    def return_hedge(self) -> None:
        """Return the budget of a hedge that was not sent."""
        with self._lock:
            self._balancer.return_hedge()

    def spend_status_check(self, now: float) -> bool:
        """Spend the budget for one status check; return whether it sufficed."""
        with self._lock:
            return self._balancer.spend_status_check(now)

    def has_room(self, now: float, excluded: frozenset[str]) -> bool:
        """Return whether a hedge may be sent: a calm upstream is known, or none is checked."""
        return not self.health_path or self.has_calm_upstream(now, excluded)

    def close(self) -> None:
        """Close every idle connection."""
        for connections in list(self._connections.values()):
            connections.close()


def _wake_waiters(tickets: list[Ticket]) -> None:
    for ticket in tickets:
        if ticket.wake is not None:
            ticket.wake.set()
