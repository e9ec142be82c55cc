"""Expected size of the answers of each route."""

from __future__ import annotations

import threading

NEW_SAMPLE_WEIGHT = 0.1


class ResponseSizes:
    """Mean size of recent answers by route, shared by threads."""

    __slots__ = ("_lock", "_means")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._means: dict[str, float] = {}

    def record(self, route: str, size: int) -> None:
        """Take the size of one answer, in bytes."""
        with self._lock:
            mean = self._means.get(route, float(size))
            self._means[route] = mean + (size - mean) * NEW_SAMPLE_WEIGHT

    def get(self, route: str) -> float:
        """Return the expected size of an answer, in bytes; 0 when unknown."""
        return self._means.get(route, 0.0)

    def retain(self, routes: set[str]) -> None:
        """Forget the routes that are gone."""
        with self._lock:
            self._means = {n: m for n, m in self._means.items() if n in routes}
