"""Permits of one instance for requests to an upstream that limits its rate, without I/O.

The limit holds for the whole fleet, so an instance sends such an upstream a request only with
a permit. The instance that owns the lease of the upstream issues the permits. This module asks
for them when there are requests to send, and drops those that were not used in time.
"""

from __future__ import annotations

import random

PERMIT_VALID_S = 1.0
REPLY_TIMEOUT_S = 0.5
MAX_BACKOFF_S = 8.0
MAX_PERMITS = 100
# Share of the limit that all instances together use while the issuer does not reply. An
# issuer that still replies to others grants the whole limit beside it.
UNCONFIRMED_RATIO = 0.5
MIN_RATE_LIMIT_PER_S = 0.1


class PermitClient:
    """Sends what this instance reports and requests to the owner of an upstream's lease.

    This class sends nothing; ``NodeReports`` implements the methods.
    """

    def report_rate_limit(
        self, upstream_id: str, incarnation: int, limit_per_s: float | None
    ) -> None:
        """Report the limit that an upstream names in its responses; None if it names none."""

    def request_permits(
        self, upstream_id: str, limit_per_s: float, count: int, requested_at: float
    ) -> None:
        """Request permits; the reply repeats ``requested_at``."""

    def return_permits(self, upstream_id: str, count: int) -> None:
        """Return permits that were not used."""

    def report_warmup(self, upstream_id: str, incarnation: int, left_s: float) -> None:
        """Report that an upstream is cold for some seconds, which the list does not state."""


class Permits:
    """Permits of this instance for one upstream.

    Parameters
    ----------
    limit_per_s : float
        Requests per second that the upstream takes from the fleet.
    rng : random.Random
        Source of random choices.
    """

    __slots__ = (
        "_backoff_s",
        "_count",
        "_ends_at",
        "_requested_at",
        "_retry_at",
        "_rng",
        "_starts_at",
        "_unconfirmed_at",
        "_wanted",
        "limit_per_s",
    )

    def __init__(self, limit_per_s: float, rng: random.Random) -> None:
        self.limit_per_s = limit_per_s
        self._rng = rng
        self._count = 0
        self._starts_at = 0.0
        self._ends_at = 0.0
        self._wanted = 0
        self._requested_at: float | None = None
        self._retry_at = float("-inf")
        self._backoff_s = 0.0
        self._unconfirmed_at: float | None = None

    def is_held(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self._count > 0 and self._starts_at <= now < self._ends_at

    def take(self) -> None:
        """Use one permit."""
        self._count -= 1

    def pop_expired(self, now: float) -> int:
        """Drop the permits that are no longer valid; return their number."""
        if not self._count or now < self._ends_at:
            return 0
        count, self._count = self._count, 0
        return count

    def note_demand(self) -> None:
        """Count a request that could use a permit."""
        self._wanted = min(MAX_PERMITS, self._wanted + 1)

    def is_due(self, now: float) -> bool:
        """Return whether permits may be requested now."""
        return not self._count and now >= self._retry_at and not self._is_waiting(now)

    def begin_request(self, now: float, entry_count: int) -> int:
        """Return how many permits to request now.

        Parameters
        ----------
        entry_count : int
            Number of instances that serve callers.
        """
        if self._requested_at is not None:
            self._use_unconfirmed_share(now, entry_count)
        count, self._wanted = max(1, self._wanted), 0
        self._requested_at = now
        return count

    def handle_reply(self, now: float, requested_at: float, count: int, wait_s: float) -> None:
        """Handle the reply of the issuer.

        Parameters
        ----------
        requested_at : float
            Time of the request, as repeated by the reply.
        count : int
            Permits granted; 0 for none.
        wait_s : float
            Time before the first permit may be used, or before the next request, in seconds.
        """
        if requested_at != self._requested_at:
            return
        self._requested_at = None
        self._unconfirmed_at = None
        if count:
            self._count = count
            self._starts_at = now + wait_s
            # Counted from the request, since the issuer counts from before the reply came.
            self._ends_at = requested_at + wait_s + PERMIT_VALID_S
            self._backoff_s = 0.0
            return
        # Most instances of a large fleet are refused most of the time.
        self._backoff_s = min(MAX_BACKOFF_S, max(wait_s, 2 * self._backoff_s))
        self._retry_at = now + self._backoff_s * self._rng.uniform(0.5, 1.5)

    def compute_wait(self, now: float) -> float:
        """Return the time before a request may be sent, in seconds; 0 if it is not known."""
        if self._count and now < self._ends_at:
            return max(0.0, self._starts_at - now)
        if self._unconfirmed_at is not None:
            return max(0.0, self._unconfirmed_at - now)
        return max(0.0, self._retry_at - now)

    def count_due(self, now: float, until: float) -> int:
        """Return how many permits are held or expected before a time, in seconds."""
        if self._count and now < self._ends_at:
            return self._count if self._starts_at < until else 0
        is_expected = self._is_waiting(now) and self._unconfirmed_at is None
        return int(is_expected)

    def _is_waiting(self, now: float) -> bool:
        return self._requested_at is not None and now < self._requested_at + REPLY_TIMEOUT_S

    def _use_unconfirmed_share(self, now: float, entry_count: int) -> None:
        """Take this instance's share of the limit while the issuer does not reply.

        The times are random and independent, so that the instances do not send together.
        """
        if self._unconfirmed_at is not None and now >= self._unconfirmed_at:
            self._count = 1
            self._starts_at = now
            self._ends_at = now + PERMIT_VALID_S
            self._unconfirmed_at = None
        if self._unconfirmed_at is None:
            limit_per_s = max(MIN_RATE_LIMIT_PER_S, self.limit_per_s)
            share_per_s = UNCONFIRMED_RATIO * limit_per_s / entry_count
            self._unconfirmed_at = now + self._rng.expovariate(share_per_s)
