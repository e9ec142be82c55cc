"""Token budgets for retries, hedges and probes."""

from __future__ import annotations

import random
from collections.abc import Sequence

from .candidates import UpstreamLoad
from .policies import FRESH_REPORT_S

STATUS_CHECK_BURST_S = 5.0
LARGE_RESPONSE_BYTES = 30_000
REMOTE_SAMPLES = 1


class Budget:
    """Token bucket that limits extra work to a fixed ratio of the useful work.

    Parameters
    ----------
    ratio : float
        Tokens earned for each unit of useful work.
    capacity : float
        Most tokens that the budget holds.
    tokens : float
        Initial tokens.
    """

    __slots__ = ("_tokens", "capacity", "ratio")

    def __init__(self, ratio: float, capacity: float, tokens: float = 0.0) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self._tokens = tokens

    @property
    def tokens(self) -> float:
        """Tokens available now."""
        return self._tokens

    def earn(self, amount: float) -> None:
        """Add the tokens for ``amount`` units of useful work."""
        self._tokens = min(self.capacity, self._tokens + amount * self.ratio)

    def resize(self, capacity: float) -> None:
        """Change the capacity, and the available tokens by the same difference."""
        if capacity != self.capacity:
            self._tokens = max(0.0, min(capacity, self._tokens + capacity - self.capacity))
            self.capacity = capacity

    def spend(self, cost: float) -> bool:
        """Spend ``cost`` tokens if available; return whether they were."""
        if self.ratio <= 0 or self._tokens < cost:
            return False
        self._tokens -= cost
        return True


class SampleBudget:
    """Limits the status checks that one instance sends to the upstreams of a pool.

    Attributes
    ----------
    size : int
        Upstreams to compare for one choice; 0 disables status checks.
    """

    __slots__ = ("_earned_at", "_rate_per_upstream", "_tokens", "size")

    def __init__(self) -> None:
        self.size = 0
        self._rate_per_upstream = 0.0
        self._tokens = 0.0
        self._earned_at = 0.0

    def configure(self, rate_per_upstream: float, size: int) -> None:
        """Set the status checks per second and upstream, and the sample size."""
        self._rate_per_upstream = rate_per_upstream
        self.size = size

    def choose(
        self,
        now: float,
        candidates: Sequence[UpstreamLoad],
        upstream_count: int,
        response_bytes: float,
        rng: random.Random,
    ) -> list[UpstreamLoad]:
        """Choose the candidates that get a status check, and spend the budget for them.

        Candidates in the instance's own availability zone come first: all but
        ``REMOTE_SAMPLES`` are drawn from it, or all if a large response is expected. The
        rest are drawn from any zone. A candidate with a fresh report counts towards the
        sample size without a check, so that requests that arrive together share checks.

        Parameters
        ----------
        upstream_count : int
            Number of upstreams of the pool, candidates or not.
        response_bytes : float
            Expected size of the response, in bytes.
        """
        stale = [u for u in candidates if now - u.reported_at > FRESH_REPORT_S]
        wanted = self.size - (len(candidates) - len(stale))
        count = self._spend(now, min(wanted, len(stale)), upstream_count)
        local = [u for u in stale if not u.remote]
        large = response_bytes >= LARGE_RESPONSE_BYTES
        local_count = count if large else max(count - REMOTE_SAMPLES, 0)
        chosen = rng.sample(local, min(local_count, len(local)))
        others = [u for u in stale if u not in chosen]
        return chosen + rng.sample(others, count - len(chosen))

    def _spend(self, now: float, wanted: int, upstream_count: int) -> int:
        """Spend the budget for up to ``wanted`` status checks; return how many it allows."""
        rate = self._rate_per_upstream * upstream_count
        # The requests of a fleet are spread unevenly: one instance may briefly get the
        # share of many, so the budget allows bursts.
        capacity = max(rate * STATUS_CHECK_BURST_S, self.size)
        earned = (now - self._earned_at) * rate
        self._tokens = min(capacity, self._tokens + earned)
        self._earned_at = now
        count = max(0, min(wanted, int(self._tokens)))
        self._tokens -= count
        return count
