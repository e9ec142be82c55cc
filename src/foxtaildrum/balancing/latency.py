"""Recent latencies and the quantiles derived from them."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

WINDOW_S = 10.0
QUANTILE_REFRESH_S = 1.0
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2


class RecentLatency:
    """Latencies of the last one to two windows."""

    __slots__ = ("_cached", "_cached_at", "_current", "_previous", "_rotated_at")

    def __init__(self) -> None:
        self._current = _build_histogram()
        self._previous = _build_histogram()
        self._rotated_at = float("-inf")
        self._cached_at = float("-inf")
        self._cached: dict[float, float | None] = {}

    def record(self, now: float, latency_s: float) -> None:
        """Record one latency, in seconds."""
        if now - self._rotated_at >= WINDOW_S:
            self._previous, self._current = self._current, self._previous
            self._current.reset()
            self._rotated_at = now
        self._current.record_value(min(MAX_LATENCY_US, max(1, int(latency_s * 1e6))))

    def count(self) -> int:
        """Return the number of latencies held."""
        return self._current.get_total_count() + self._previous.get_total_count()

    def compute_quantile(self, now: float, percentile: float) -> float | None:
        """Return a percentile in seconds, or None without data.

        The value is recomputed at most once a second.
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
