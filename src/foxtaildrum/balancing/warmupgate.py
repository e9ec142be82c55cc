"""Thread-safe access to the cold upstreams of one pool."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Any

from ..logs import log_event
from ..permits.upstreams import PermitClient
from .balancer import Balancer
from .candidates import UpstreamLoad
from .warmup import Warmup


class WarmupGate:
    """Admits requests to cold upstreams, and records, reports and logs cold periods.

    Parameters
    ----------
    balancer : Balancer
        Balancer of the pool.
    lock : threading.Lock
        Lock of the balancer.
    serve_queue : callable
        Called with the time after an upstream may have become usable.
    client : PermitClient
        Reports cold upstreams.
    """

    __slots__ = ("_balancer", "_client", "_lock", "_serve_queue")

    def __init__(
        self,
        balancer: Balancer,
        lock: threading.Lock,
        serve_queue: Callable[[float], None],
        client: PermitClient,
    ) -> None:
        self._balancer = balancer
        self._lock = lock
        self._serve_queue = serve_queue
        self._client = client

    @property
    def is_limited(self) -> bool:
        """Whether the row of the pool limits requests to cold upstreams."""
        return self._balancer.cold.limit is not None

    def set_bounds(self, overshoot: float, slack: float) -> None:
        """Set the bound; the parameters are those of :meth:`WarmupLimit.from_pool`."""
        with self._lock:
            self._balancer.cold.set_bounds(overshoot, slack)

    def set_zones(self, now: float, zones: Mapping[str, str]) -> None:
        """Set the entry instances that have not left, with their availability zones."""
        with self._lock:
            self._balancer.cold.set_zones(now, zones)

    def record_check(self, now: float, upstream: UpstreamLoad, left_s: float | None) -> None:
        """Record the rest of the cold period that a response to a status check states."""
        with self._lock:
            if self._balancer.upstreams.get(upstream.upstream_id) is not upstream:
                return
            is_news = self._balancer.cold.record_check(now, upstream, left_s)
        self.handle_changes(now)
        if is_news:
            self._client.report_warmup(upstream.upstream_id, upstream.incarnation, left_s)

    def expire(self, now: float) -> None:
        """End the cold periods that are over."""
        if not self._balancer.cold.any_cold:
            return
        with self._lock:
            self._balancer.cold.expire(now)
        self.handle_changes(now)

    def handle_changes(self, now: float) -> None:
        """Log the begins and ends of cold periods, and serve the queue after one."""
        if not self._balancer.cold.has_changes:
            return
        with self._lock:
            changes = self._balancer.cold.pop_changes()
            pool = self._balancer.pool.name
        for change in changes:
            if change.left_s is None:
                log_event("upstream_warm", upstream=change.upstream_id, pool=pool)
                continue
            log_event(
                "upstream_cold",
                upstream=change.upstream_id,
                pool=pool,
                left_s=round(change.left_s, 3),
                share=change.share,
            )
        self._serve_queue(now)

    def admit(
        self, now: float, upstream: UpstreamLoad, held: Warmup | None
    ) -> tuple[bool, Warmup | None]:
        """Return whether a request that holds a slot may be sent, and its reservation.

        The upstream may have become cold since the slot was granted.

        Parameters
        ----------
        held : Warmup or None
            Cold period in which the request holds a reservation.
        """
        with self._lock:
            current = upstream.warmup
            if current is held or current is None:
                return True, held
            if held is not None:
                held.cancel()
            if not current.may_send(now):
                return False, None
            current.reserve()
            return True, current

    def record_sent(self, now: float, warmup: Warmup) -> None:
        """Count a request that holds a reservation and was sent at ``now``."""
        with self._lock:
            warmup.record_sent(now)

    def cancel(self, warmup: Warmup) -> None:
        """Give back the reservation of a request that was not sent."""
        with self._lock:
            warmup.cancel()

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return the part of the status document about the cold upstreams."""
        with self._lock:
            cold = [u.warmup for u in self._balancer.cold.list_cold()]
        return [
            {
                "upstream": w.upstream_id,
                "left_s": round(max(0.0, w.cold_until - now), 3),
                "presumed": w.is_presumed,
                "share": w.share,
                "window_s": round(w.window_s, 3),
            }
            for w in cold
        ]
