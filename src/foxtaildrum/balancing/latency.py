"""Recent latencies and the quantiles derived from them."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate

from hdrh.histogram import HdrHistogram

WINDOW_S = 10.0
QUANTILE_REFRESH_S = 1.0
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class BucketCounts:
    """Histogram of the latencies since the start, with fixed buckets.

    Attributes
    ----------
    sum_s : float
        Sum of the latencies, in seconds.
    """

    __slots__ = ("_counts", "sum_s")

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def record(self, latency_s: float) -> None:
        """Count one latency, in seconds."""
        self._counts[bisect_left(BUCKET_BOUNDS_S, latency_s)] += 1
        self.sum_s += latency_s

    def list_cumulative(self) -> list[int]:
        """Return the cumulative count for each bound, followed by the total count."""
        return list(accumulate(self._counts))


class RecentLatency:
    """Latencies of the current and the previous window, and their histogram since the start."""

    __slots__ = (
        "_cached",
        "_cached_at",
        "_current",
        "_previous",
        "_rotated_at",
        "since_start",
    )

    def __init__(self) -> None:
        self._current = _build_histogram()
        self._previous = _build_histogram()
        self._rotated_at = float("-inf")
        self._cached_at = float("-inf")
        self._cached: dict[float, float | None] = {}
        self.since_start = BucketCounts()

    def record(self, now: float, latency_s: float) -> None:
        """Record one latency, in seconds."""
        if now - self._rotated_at >= WINDOW_S:
            self._previous, self._current = self._current, self._previous
            self._current.reset()
            self._rotated_at = now
        self.since_start.record(latency_s)
        self._current.record_value(min(MAX_LATENCY_US, max(1, int(latency_s * 1e6))))

    def count(self) -> int:
        """Return the number of latencies in both windows."""
        return self._current.get_total_count() + self._previous.get_total_count()

    def compute_quantile(self, now: float, percentile: float) -> float | None:
        """Return a percentile in seconds, or None without data.

        Values are cached for ``QUANTILE_REFRESH_S``.
        """
        if now - self._cached_at >= QUANTILE_REFRESH_S:
            self._cached.clear()
            self._cached_at = now
        if percentile not in self._cached:
            self._cached[percentile] = self._compute(percentile)
        return self._cached[percentile]

    def _compute(self, percentile: float) -> float | None:
        merged = _build_histogram()
        merged.add(self._current)
        merged.add(self._previous)
        if not merged.get_total_count():
            return None
        return merged.get_value_at_percentile(percentile) / 1e6


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
