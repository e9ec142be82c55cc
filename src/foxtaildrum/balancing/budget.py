"""Token budgets for retries, hedges and probes."""

from __future__ import annotations

import random
from collections.abc import Sequence

from .candidates import UpstreamLoad
from .policies import FRESH_REPORT_S

PROBE_BURST_S = 5.0
LARGE_ANSWER_BYTES = 30_000
REMOTE_SAMPLES = 1


class Budget:
    """Spends at most a fixed share of what is earned.

    Parameters
    ----------
    ratio : float
        Tokens earned for each unit of useful work.
    capacity : float
        Most tokens held at once.
    tokens : float
        Tokens held at the start.
    """

    __slots__ = ("_tokens", "capacity", "ratio")

    def __init__(self, ratio: float, capacity: float, tokens: float = 0.0) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self._tokens = tokens

    @property
    def tokens(self) -> float:
        """Tokens held."""
        return self._tokens

    def earn(self, amount: float) -> None:
        """Credit the share of ``amount`` units of useful work."""
        self._tokens = min(self.capacity, self._tokens + amount * self.ratio)

    def resize(self, capacity: float) -> None:
        """Change the most tokens held at once; what is held grows by the difference."""
        if capacity != self.capacity:
            self._tokens = max(0.0, min(capacity, self._tokens + capacity - self.capacity))
            self.capacity = capacity

    def spend(self, cost: float) -> bool:
        """Take ``cost`` tokens if they are there; return whether they were."""
        if self.ratio <= 0 or self._tokens < cost:
            return False
        self._tokens -= cost
        return True


class SampleBudget:
    """Status checks that one instance may send to the upstreams of a pool.

    Attributes
    ----------
    size : int
        Upstreams that are compared for one choice; 0 sends no status check.
    """

    __slots__ = ("_earned_at", "_rate_per_upstream", "_tokens", "size")

    def __init__(self) -> None:
        self.size = 0
        self._rate_per_upstream = 0.0
        self._tokens = 0.0
        self._earned_at = 0.0

    def configure(self, rate_per_upstream: float, size: int) -> None:
        """Set how often each upstream may be asked, and how many are compared."""
        self._rate_per_upstream = rate_per_upstream
        self.size = size

    def choose(
        self,
        now: float,
        candidates: Sequence[UpstreamLoad],
        upstream_count: int,
        answer_bytes: float,
        rng: random.Random,
    ) -> list[UpstreamLoad]:
        """Return the candidates to ask, paid from the budget.

        Most are of the own availability zone; where a large answer is expected, all are.
        One that has just reported counts as asked, so that requests that arrive together
        share their status checks.

        Parameters
        ----------
        upstreams : int
            Upstreams of the pool, whether they are candidates or not.
        answer_bytes : float
            Expected size of the answer.
        """
        stale = [u for u in candidates if now - u.reported_at > FRESH_REPORT_S]
        wanted = self.size - (len(candidates) - len(stale))
        count = self._spend(now, min(wanted, len(stale)), upstream_count)
        local = [u for u in stale if not u.remote]
        large = answer_bytes >= LARGE_ANSWER_BYTES
        local_count = count if large else max(count - REMOTE_SAMPLES, 0)
        chosen = rng.sample(local, min(local_count, len(local)))
        others = [u for u in stale if u not in chosen]
        return chosen + rng.sample(others, count - len(chosen))

    def _spend(self, now: float, wanted: int, upstream_count: int) -> int:
        """Return how many of the wanted status checks the budget pays for."""
        rate = self._rate_per_upstream * upstream_count
        # Callers come unevenly: for a moment an instance may get the share of many.
        capacity = max(rate * PROBE_BURST_S, self.size)
        earned = (now - self._earned_at) * rate
        self._tokens = min(capacity, self._tokens + earned)
        self._earned_at = now
        count = max(0, min(wanted, int(self._tokens)))
        self._tokens -= count
        return count
