"""Which upstreams get a status check before one of them is chosen, without I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence

from ..ranks import compute_rank
from .candidates import UpstreamLoad
from .policies import FRESH_REPORT_S, estimate_failure_cost

STATUS_CHECK_BURST_S = 5.0
LARGE_RESPONSE_BYTES = 30_000
REMOTE_SAMPLES = 1
# Status checks of one choice: further ones are sent only while no checked upstream is calm.
MAX_ROUNDS = 3
SUBSET_ROUNDS = 2
CALM_PACE = 1.5
CALM_FAILURE_COST_SLOTS = 0.5
RATE_WINDOW_S = 10.0
MIN_SUBSET_SIZE = 8
# Aim for the time between two status checks of one upstream in the subset. Upstreams close
# connections that are idle for longer.
SUBSET_CHECK_INTERVAL_S = 3.0
SUBSET_REMOTE_SHARE = 0.25


def is_calm(now: float, upstream: UpstreamLoad) -> bool:
    """Return whether a fresh report shows a free slot and the normal pace."""
    return (
        now - upstream.reported_at <= FRESH_REPORT_S * MAX_ROUNDS
        and upstream.pace <= CALM_PACE
        and upstream.reported_others + upstream.in_flight < upstream.slots
        and estimate_failure_cost(now, upstream) < CALM_FAILURE_COST_SLOTS
    )


def is_slow(now: float, upstream: UpstreamLoad) -> bool:
    """Return whether a fresh report shows less than the normal pace."""
    is_fresh = now - upstream.reported_at <= FRESH_REPORT_S * MAX_ROUNDS
    return is_fresh and upstream.pace > CALM_PACE


def shows_progress(now: float, upstream: UpstreamLoad) -> bool:
    """Return whether a fresh report shows the normal pace and no waiting requests."""
    return (
        now - upstream.reported_at <= FRESH_REPORT_S
        and upstream.pace <= CALM_PACE
        and upstream.reported_others + upstream.in_flight <= upstream.slots
    )


class RequestRate:
    """Requests per second, averaged with a weight that decays with age."""

    __slots__ = ("_count", "_recorded_at")

    def __init__(self) -> None:
        self._count = 0.0
        self._recorded_at = 0.0

    def record(self, now: float) -> None:
        """Count one request."""
        self._count = self._decay(now) + 1.0
        self._recorded_at = now

    def compute(self, now: float) -> float:
        """Return the requests per second."""
        return self._decay(now) / RATE_WINDOW_S

    def _decay(self, now: float) -> float:
        return self._count * math.exp((self._recorded_at - now) / RATE_WINDOW_S)


class Subset:
    """Upstreams of a pool that one instance prefers.

    An instance with little traffic would meet each upstream of a large pool so seldom that
    every status check needs a new connection. The subset is as large as the traffic of the
    instance can keep connected. It is chosen by rendezvous hashing, so that it changes little
    when upstreams come and go or when its size changes, and so that every upstream is in the
    subsets of some instances. Most members are in the instance's own availability zone.

    Parameters
    ----------
    instance_id : str
        Identifier of the instance.
    """

    __slots__ = ("_instance_id", "_is_stale", "_members", "_ranks", "_size", "_upstreams")

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._upstreams: list[UpstreamLoad] = []
        self._ranks: dict[str, bytes] = {}
        self._members: frozenset[str] = frozenset()
        self._is_stale = False
        self._size = MIN_SUBSET_SIZE

    def update(self, upstreams: Iterable[UpstreamLoad]) -> None:
        """Apply the current upstreams of the pool."""
        self._upstreams = list(upstreams)
        self._is_stale = True

    def resize(self, size: int) -> None:
        """Change the size, to at least ``MIN_SUBSET_SIZE``."""
        size = max(MIN_SUBSET_SIZE, size)
        self._is_stale = self._is_stale or size != self._size
        self._size = size

    def select(self, candidates: Iterable[UpstreamLoad]) -> list[UpstreamLoad]:
        """Return the candidates that are members."""
        if self._is_stale:
            self._is_stale = False
            self._members = self._choose_members()
        return [c for c in candidates if c.upstream_id in self._members]

    def _choose_members(self) -> frozenset[str]:
        known = self._ranks
        self._ranks = {
            u.upstream_id: known.get(u.upstream_id) or self._rank(u) for u in self._upstreams
        }
        ranked = sorted(self._upstreams, key=self._get_rank)
        local = [u for u in ranked if not u.remote]
        remote = [u for u in ranked if u.remote]
        remote_count = max(int(self._size * SUBSET_REMOTE_SHARE), self._size - len(local))
        members = local[: max(0, self._size - min(remote_count, len(remote)))]
        members += remote[:remote_count]
        return frozenset(u.upstream_id for u in members)

    def _get_rank(self, upstream: UpstreamLoad) -> bytes:
        return self._ranks[upstream.upstream_id]

    def _rank(self, upstream: UpstreamLoad) -> bytes:
        return compute_rank(self._instance_id, upstream.upstream_id)


class SampleBudget:
    """Limits the status checks that one instance sends to the upstreams of a pool.

    Parameters
    ----------
    instance_id : str
        Identifier of the instance.

    Attributes
    ----------
    size : int
        Upstreams to compare in one round of checks; 0 disables status checks.
    subset : Subset
        Upstreams that the first rounds of a choice are drawn from.
    """

    __slots__ = ("_earned_at", "_rate", "_rate_per_upstream", "_tokens", "size", "subset")

    def __init__(self, instance_id: str) -> None:
        self.size = 0
        self.subset = Subset(instance_id)
        self._rate = RequestRate()
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
        round_number: int = 0,
    ) -> list[UpstreamLoad]:
        """Choose the candidates that get a status check, and spend the budget for them.

        Candidates in the instance's own availability zone come first: all but
        ``REMOTE_SAMPLES`` are drawn from it, or all if a large response is expected. The
        rest are drawn from any zone. A candidate with a fresh report counts towards the
        sample size without a check, so that requests that arrive together share checks.
        The first rounds prefer the subset; the last one draws from all candidates.

        Parameters
        ----------
        upstream_count : int
            Number of upstreams of the pool, candidates or not.
        response_bytes : float
            Expected size of the response, in bytes.
        round_number : int
            Number of rounds of checks before this one for the same choice.
        """
        if round_number == 0:
            self._rate.record(now)
            checks_per_s = self._rate.compute(now) * self.size
            self.subset.resize(int(checks_per_s * SUBSET_CHECK_INTERVAL_S))
        if round_number < SUBSET_ROUNDS:
            candidates = self.subset.select(candidates) or candidates
        stale = [u for u in candidates if now - u.reported_at > FRESH_REPORT_S]
        wanted = self.size
        if round_number == 0:
            wanted -= len(candidates) - len(stale)
        count = self._spend(now, min(wanted, len(stale)), upstream_count)
        local = [u for u in stale if not u.remote]
        large = response_bytes >= LARGE_RESPONSE_BYTES
        local_count = count if large else max(count - REMOTE_SAMPLES, 0)
        chosen = rng.sample(local, min(local_count, len(local)))
        others = [u for u in stale if u not in chosen]
        return chosen + rng.sample(others, count - len(chosen))

    def select_subset(self, upstreams: dict[str, UpstreamLoad]) -> list[UpstreamLoad]:
        """Return the subset; every upstream where no status checks are sent."""
        return self.subset.select(upstreams.values()) if self.size else list(upstreams.values())

    def spend_check(self, now: float, upstream_count: int) -> bool:
        """Spend the budget for one status check; return whether it sufficed."""
        return bool(self._spend(now, 1, upstream_count))

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
