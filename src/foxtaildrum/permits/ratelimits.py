"""Rate limits of the upstreams of one pool, as one instance applies them, without I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from ..balancing.candidates import UpstreamLoad
from ..balancing.loads import differs_notably
from .upstreams import Permits

REPORT_INTERVAL_S = 0.25
# Issuers that are asked for one request, which needs one permit.
MAX_REQUESTS = 3


@dataclass(slots=True)
class PlannedRequest:
    """Permits to request from the issuer of an upstream."""

    upstream_id: str
    limit_per_s: float
    count: int


@dataclass(slots=True)
class ExpiredPermits:
    """Permits to return to the issuer of an upstream."""

    upstream_id: str
    count: int


class RateLimits:
    """Applies the rate limits that responses name and that the fleet knows.

    Parameters
    ----------
    rng : random.Random
        Source of random choices.

    Attributes
    ----------
    entry_count : int
        Number of instances that serve callers.
    """

    __slots__ = ("_limited", "_rng", "entry_count")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._limited: dict[str, UpstreamLoad] = {}
        self.entry_count = 1

    @property
    def any_limited(self) -> bool:
        """Whether an upstream limits its rate."""
        return bool(self._limited)

    def record_response(
        self, now: float, upstream: UpstreamLoad, limit_per_s: float | None, took_permit: bool
    ) -> bool:
        """Apply what a response says; return whether to report it to the fleet.

        Parameters
        ----------
        limit_per_s : float or None
            Limit that the response names, in requests per second; None if it names none.
        took_permit : bool
            Whether the request was sent while the upstream limited its rate. An earlier
            request may have been answered before the upstream named its limit.
        """
        if limit_per_s is None and not took_permit:
            return False
        if limit_per_s is not None:
            self._limit(upstream, limit_per_s)
        elif upstream.fleet_limit_per_s is None:
            self.forget(upstream)
        if not differs_notably(upstream.fleet_limit_per_s, limit_per_s):
            return False
        if now - upstream.limit_reported_at < REPORT_INTERVAL_S:
            return False
        upstream.limit_reported_at = now
        return True

    def set_fleet_limit(self, upstream: UpstreamLoad, limit_per_s: float | None) -> None:
        """Apply the limit that the fleet knows; None if it knows none."""
        if limit_per_s == upstream.fleet_limit_per_s:
            return
        upstream.fleet_limit_per_s = limit_per_s
        if limit_per_s is None:
            self.forget(upstream)
        else:
            self._limit(upstream, limit_per_s)

    def forget(self, upstream: UpstreamLoad) -> None:
        """Remove the limit of an upstream."""
        self._limited.pop(upstream.upstream_id, None)
        upstream.permits = None
        upstream.fleet_limit_per_s = None

    def plan_requests(
        self, now: float, usable: Iterable[UpstreamLoad]
    ) -> list[PlannedRequest | ExpiredPermits]:
        """Return what to send to issuers for a request that could use any of their permits."""
        if not self._limited:
            return []
        limited = [u for u in usable if u.permits is not None]
        planned: list[PlannedRequest | ExpiredPermits] = []
        for upstream in limited:
            upstream.permits.note_demand()
            expired = upstream.permits.pop_expired(now)
            if expired:
                planned.append(ExpiredPermits(upstream.upstream_id, expired))
        due = [u for u in limited if u.permits.is_due(now)]
        for upstream in self._rng.sample(due, min(len(due), MAX_REQUESTS)):
            count = upstream.permits.begin_request(now, self.entry_count)
            limit_per_s = upstream.permits.limit_per_s
            planned.append(PlannedRequest(upstream.upstream_id, limit_per_s, count))
        return planned

    def compute_refusal_wait(
        self, now: float, until: float, ahead: int, upstreams: list[UpstreamLoad]
    ) -> float | None:
        """Return when a request that cannot be sent in time may come again.

        Parameters
        ----------
        until : float
            Time by which the request must be sent, in seconds.
        ahead : int
            Number of requests that wait before it.
        upstreams : list of UpstreamLoad
            Upstreams that may serve it.

        Returns
        -------
        float or None
            Time before the next permit, in seconds; None if the request may be sent in time.
        """
        permits = [u.permits for u in upstreams if u.permits is not None]
        if not permits or len(permits) < len(upstreams):
            return None
        if sum(p.count_due(now, until) for p in permits) > ahead:
            return None
        return min(p.compute_wait(now) for p in permits)

    def _limit(self, upstream: UpstreamLoad, limit_per_s: float) -> None:
        self._limited[upstream.upstream_id] = upstream
        if upstream.permits is None:
            upstream.permits = Permits(limit_per_s, self._rng)
        upstream.permits.limit_per_s = limit_per_s
