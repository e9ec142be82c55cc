"""Choice of a pool on routes that are split over several pools by weight."""

from __future__ import annotations

import threading

from ..records import Route


class SplitChooser:
    """Distributes the requests of one route over its pools in proportion to their weights.

    Smooth weighted round robin: the next pool is the one furthest behind its share, so
    that after any number of requests each pool is within one request of its share.

    Parameters
    ----------
    route : Route
        Row of the routes table.
    """

    __slots__ = ("_credits", "_lock", "_weights")

    def __init__(self, route: Route) -> None:
        self._weights = {share.pool: float(share.weight) for share in route.split}
        self._credits = dict.fromkeys(self._weights, 0.0)
        self._lock = threading.Lock()

    def choose(self) -> str:
        """Return the name of the next pool."""
        with self._lock:
            for pool, weight in self._weights.items():
                self._credits[pool] += weight
            chosen = max(self._credits, key=self._credits.__getitem__)
            self._credits[chosen] -= sum(self._weights.values())
            return chosen


class PoolChooser:
    """Chooses the pool of each request; keeps the state of unchanged splits.

    Parameters
    ----------
    routes : list of Route
        Rows of the routes table.
    previous : PoolChooser or None
        Chooser of the previous tables, from which unchanged splits take their state.
    """

    __slots__ = ("_choosers", "_splits")

    def __init__(self, routes: list[Route], previous: PoolChooser | None = None) -> None:
        self._choosers: dict[str, SplitChooser] = {}
        self._splits: dict[str, list[tuple[str, float]]] = {}
        for route in routes:
            if not route.split:
                continue
            split = [(share.pool, share.weight) for share in route.split]
            unchanged = previous is not None and previous._splits.get(route.name) == split
            self._splits[route.name] = split
            self._choosers[route.name] = (
                previous._choosers[route.name] if unchanged else SplitChooser(route)
            )

    def choose(self, route: Route) -> str:
        """Return the name of the pool for the next request of a route."""
        chooser = self._choosers.get(route.name)
        return route.pool if chooser is None else chooser.choose()
