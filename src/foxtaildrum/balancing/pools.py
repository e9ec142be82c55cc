"""Pools of upstreams as the request threads use them."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Iterable

from ..fleet.upstreams import DRAINING, Entry
from ..kinds import ErrorKind
from ..records import Pool
from ..requests.connections import ConnectionPool
from ..requests.exchange import AttemptBudget
from ..requests.steps import AttemptResult
from ..requests.transport import Adapter, read_clock
from .balancer import Balancer
from .candidates import UpstreamLoad
from .latency import BucketCounts, RecentLatency
from .loads import LoadReport
from .tickets import Ticket

__all__ = ["UpstreamPool", "read_clock"]

HEDGE_PERCENTILE = 95.0
HEDGE_MIN_SAMPLES = 50
HEDGE_OBJECTIVE_RATIO = 0.75
HEDGE_MIN_SERVICE_TIMES = 2.0


class UpstreamPool(AttemptBudget):
    """Balancer, connections and budgets of one pool, shared by threads.

    Parameters
    ----------
    pool : Pool
        Row of the pools table.
    availability_zone : str
        Availability zone of this instance.
    queue_limit : int
        Requests that may wait for a slot.
    open_connection : Adapter
        Opens connections to upstreams.
    tell_draining : callable
        Called with the identifier of an upstream whose answer told a drain.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        pool: Pool,
        availability_zone: str,
        queue_limit: int,
        open_connection: Adapter,
        tell_draining: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self.name = pool.name
        self._lock = threading.Lock()
        self._balancer = Balancer(pool, availability_zone, queue_limit, rng)
        self._open = open_connection
        self._connections: dict[str, ConnectionPool] = {}
        self._tell_draining = tell_draining
        self._latency = RecentLatency()

    @property
    def held(self) -> BucketCounts:
        """Time that successful attempts held a slot, since the start."""
        return self._latency.since_start

    @property
    def balancer(self) -> Balancer:
        """Balancer of the pool, for reading."""
        return self._balancer

    def configure(self, pool: Pool, busy_limit: int) -> None:
        """Take over a changed row of the pools table.

        Parameters
        ----------
        busy_limit : int
            Requests of the pool that may hold or await a slot.
        """
        with self._lock:
            self._balancer.configure(pool)
            self._balancer.busy_limit = busy_limit

    def note_request(self) -> None:
        """Credit the retry budget for one request."""
        with self._lock:
            self._balancer.note_request()

    def set_default_retry_ratio(self, ratio: float) -> None:
        """Set the retries allowed per request where the pool's row does not say."""
        with self._lock:
            self._balancer.set_default_retry_ratio(ratio)

    def set_retry_slack(self, tokens: float) -> None:
        """Set how many retries this instance may make at once beside the ratio."""
        with self._lock:
            self._balancer.set_retry_slack(tokens)

    def update_members(self, now: float, entries: Iterable[Entry]) -> None:
        """Take over the current members of the pool."""
        with self._lock:
            settled = self._balancer.update_members(now, entries)
            addresses = {u.address for u in self._balancer.upstreams.values()}
            gone = set(self._connections) - addresses
            closing = [self._connections.pop(address) for address in gone]
        _wake_all(settled)
        for connections in closing:
            connections.close()

    def request_slot(self, now: float, ticket: Ticket, may_wait: bool) -> None:
        """Grant, queue or refuse ``ticket``."""
        with self._lock:
            self._balancer.request_slot(now, ticket, may_wait)
            if not ticket.settled:
                ticket.wake = threading.Event()
            settled = self._balancer.take_displaced()
        _wake_all(settled)

    def serve_queue(self, now: float) -> None:
        """Grant what has become possible by the passing of time."""
        with self._lock:
            settled = self._balancer.serve_queue(now)
        _wake_all(settled)

    def cancel_ticket(self, ticket: Ticket, kind: ErrorKind) -> None:
        """Refuse a ticket that waits; no effect once it is granted."""
        with self._lock:
            self._balancer.cancel_ticket(ticket, kind)

    def release(
        self, now: float, upstream: UpstreamLoad, result: AttemptResult, held_s: float
    ) -> None:
        """Give a slot back."""
        with self._lock:
            settled = self._balancer.release(now, upstream, result, held_s)
            if result is AttemptResult.OK:
                self._latency.record(now, held_s)
                self._balancer.earn_measuring(held_s)
        _wake_all(settled)

    def note_answer(
        self, now: float, upstream: UpstreamLoad, report: LoadReport | None, draining: bool
    ) -> None:
        """Take what an answer told about its upstream."""
        if report is not None:
            with self._lock:
                self._balancer.report_load(now, upstream, report)
        if draining and upstream.state != DRAINING:
            upstream.state = DRAINING
            self._tell_draining(upstream.upstream_id)

    @property
    def load_path(self) -> str:
        """Path of the load endpoint; empty when there is none."""
        return self._balancer.pool.load_path

    def choose_probe(self, now: float) -> UpstreamLoad | None:
        """Return the upstream to probe, paid from the measuring budget, or None."""
        if not self.load_path:
            return None
        with self._lock:
            return self._balancer.choose_probe(now)

    def note_probe(self, now: float, upstream: UpstreamLoad, report: LoadReport) -> None:
        """Take the load that a probe found."""
        with self._lock:
            self._balancer.report_load(now, upstream, report)

    @property
    def health_path(self) -> str:
        """Path of the status check; empty when there is none."""
        return self._balancer.pool.health_path

    def set_probe_rate(self, probes_per_s: float, sample_size: int) -> None:
        """Set how often each upstream may be asked, and how many are compared."""
        with self._lock:
            self._balancer.set_probe_rate(probes_per_s, sample_size)

    def choose_samples(
        self, now: float, excluded: frozenset[str], answer_bytes: float
    ) -> list[UpstreamLoad]:
        """Return the upstreams to ask for their load, paid from the budget."""
        if not self.health_path:
            return []
        with self._lock:
            return self._balancer.choose_samples(now, excluded, answer_bytes)

    def note_silent(self, now: float, upstream: UpstreamLoad) -> None:
        """Take note that a status check was not answered in time."""
        with self._lock:
            self._balancer.note_silent(now, upstream)

    def note_moved(self, now: float, upstream: UpstreamLoad) -> None:
        """Take note that another upstream answers at the address."""
        with self._lock:
            self._balancer.note_moved(now, upstream)

    def get_connections(self, upstream: UpstreamLoad) -> ConnectionPool:
        """Return the connections to an upstream."""
        with self._lock:
            pool = self._connections.get(upstream.address)
            if pool is None:
                pool = ConnectionPool(upstream.address, self._open)
                self._connections[upstream.address] = pool
            return pool

    def compute_hedge_delay(self, now: float, objective_s: float) -> float | None:
        """Return the wait before a hedge in seconds, or None to send none.

        Parameters
        ----------
        objective_s : float
            Latency objective of the route, which stands in while few answers are known.
        """
        balancer = self._balancer
        if balancer.pool.measuring_budget_ratio <= 0:
            return None
        with self._lock:
            if self._latency.count() < HEDGE_MIN_SAMPLES:
                shares = balancer.shares_retries
                return HEDGE_OBJECTIVE_RATIO * objective_s if shares else None
            quantile = self._latency.compute_quantile(now, HEDGE_PERCENTILE)
        return max(quantile, HEDGE_MIN_SERVICE_TIMES * balancer.load.mean_service_s)

    def allow_retry(self) -> bool:
        """Take one retry from the budget; return whether it was there."""
        with self._lock:
            return self._balancer.retry_budget.spend(1.0)

    def allow_hedge(self) -> bool:
        """Take one hedge from the budget; return whether it was there."""
        with self._lock:
            return self._balancer.spend_hedge()

    def close(self) -> None:
        """Close every idle connection."""
        for connections in list(self._connections.values()):
            connections.close()


def _wake_all(tickets: list[Ticket]) -> None:
    for ticket in tickets:
        if ticket.wake is not None:
            ticket.wake.set()
