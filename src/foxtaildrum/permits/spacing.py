"""Issuer of the permits of one upstream, without I/O."""

from __future__ import annotations

from .upstreams import MAX_PERMITS, MIN_RATE_LIMIT_PER_S

# How far ahead of its time a permit is granted.
MAX_RESERVATION_S = 0.5
# Permits that may be granted at once after a time without requests.
BURST_PERMITS = 2


class PermitIssuer:
    """Spaces the permits of one upstream evenly.

    Parameters
    ----------
    now : float
        Current time in seconds. The first permit is due one interval later, since another
        instance may have issued one just before.
    limit_per_s : float
        Permits per second.
    """

    __slots__ = ("_next_at",)

    def __init__(self, now: float, limit_per_s: float) -> None:
        self._next_at = now + _compute_interval(limit_per_s)

    def issue(self, now: float, limit_per_s: float, wanted: int) -> tuple[int, float]:
        """Issue up to ``wanted`` permits.

        Returns
        -------
        int
            Number of permits issued; 0 if the next one is due too far in the future.
        float
            Time until the first of them, or until the next one, in seconds.
        """
        interval_s = _compute_interval(limit_per_s)
        self._next_at = max(now - BURST_PERMITS * interval_s, self._next_at)
        wait_s = max(0.0, self._next_at - now)
        if wait_s > MAX_RESERVATION_S:
            return 0, wait_s
        count = min(wanted, MAX_PERMITS, 1 + int((MAX_RESERVATION_S - wait_s) / interval_s))
        self._next_at += count * interval_s
        return count, wait_s

    def take_back(self, now: float, limit_per_s: float, count: int) -> None:
        """Make permits that were not used available again."""
        self._next_at -= count * _compute_interval(limit_per_s)


def _compute_interval(limit_per_s: float) -> float:
    return 1.0 / max(MIN_RATE_LIMIT_PER_S, limit_per_s)
