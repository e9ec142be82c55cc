"""Choice of a pool on a route that several pools share by weight."""

from __future__ import annotations

import threading

from ..records import Route


class SplitChooser:
    """Spreads the requests of one route over its pools in the order of their weights.

    The pool that is furthest behind its share comes next, so that any run of requests
    is within one of the weights.

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
    """Names the pool of each request; remembers the state of splits between tables.

    Parameters
    ----------
    routes : list of Route
        Rows of the routes table.
    before : PoolChooser or None
        Chooser of the tables before, whose unchanged splits go on.
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
        """Return the name of the pool that takes the next request of a route."""
        chooser = self._choosers.get(route.name)
        return route.pool if chooser is None else chooser.choose()
