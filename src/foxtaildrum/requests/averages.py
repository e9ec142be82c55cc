"""Averages by route: the expected size and duration of a response."""

from __future__ import annotations

import threading

NEW_SAMPLE_WEIGHT = 0.1


class RouteAverages:
    """Exponential moving average of one quantity by route; thread-safe."""

    __slots__ = ("_lock", "_means")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._means: dict[str, float] = {}

    def record(self, route: str, value: float) -> None:
        """Record the value of one response."""
        with self._lock:
            mean = self._means.get(route, float(value))
            self._means[route] = mean + (value - mean) * NEW_SAMPLE_WEIGHT

    def get(self, route: str) -> float:
        """Return the expected value; 0 if unknown."""
        return self._means.get(route, 0.0)

    def retain(self, routes: set[str]) -> None:
        """Drop the averages of all routes except ``routes``."""
        with self._lock:
            self._means = {n: m for n, m in self._means.items() if n in routes}
