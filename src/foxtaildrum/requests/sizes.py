"""Expected response size of each route."""

from __future__ import annotations

import threading

NEW_SAMPLE_WEIGHT = 0.1


class ResponseSizes:
    """Exponential moving average of response sizes by route; thread-safe."""

    __slots__ = ("_lock", "_means")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._means: dict[str, float] = {}

    def record(self, route: str, size: int) -> None:
        """Record the size of one response, in bytes."""
        with self._lock:
            mean = self._means.get(route, float(size))
            self._means[route] = mean + (size - mean) * NEW_SAMPLE_WEIGHT

    def get(self, route: str) -> float:
        """Return the expected size of a response, in bytes; 0 if unknown."""
        return self._means.get(route, 0.0)

    def retain(self, routes: set[str]) -> None:
        """Drop the averages of all routes except ``routes``."""
        with self._lock:
            self._means = {n: m for n, m in self._means.items() if n in routes}
