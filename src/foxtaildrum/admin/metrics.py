"""Counters and latencies of the instance, for statsd, the status and the report."""

from __future__ import annotations

import threading
from collections import Counter
from typing import Any

import statsd

from ..balancing.latency import BucketCounts, RecentLatency
from ..records import Route
from ..settings import parse_address
from .objectives import RouteServiceLevel

STATSD_PREFIX = "foxtaildrum"
PERCENTILES = (50.0, 99.0, 99.9)


class Meter:
    """Thread-safe counters, latencies and service levels of one instance."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._routes: dict[str, Route] = {}
        self._levels: dict[str, RouteServiceLevel] = {}
        self._latencies: dict[str, RecentLatency] = {}
        self._counters: Counter[str] = Counter()
        self._unsent: Counter[str] = Counter()

    def set_routes(self, routes: list[Route]) -> None:
        """Replace the routes; counts of routes that remain are kept."""
        with self._lock:
            # A route's service level takes 20 KB, so it is created by the first request.
            self._routes = {route.name: route for route in routes}
            self._levels = {n: v for n, v in self._levels.items() if n in self._routes}
            self._latencies = {n: v for n, v in self._latencies.items() if n in self._routes}
            for name, level in self._levels.items():
                level.route = self._routes[name]

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        with self._lock:
            self._counters[name] += amount
            self._unsent[name] += amount

    def record_request(
        self, now: float, route: str, status: int, failed: bool, latency_s: float
    ) -> None:
        """Count one finished request of a route."""
        with self._lock:
            for name in ("requests", f"requests.{route}.{status // 100}xx"):
                self._counters[name] += 1
                self._unsent[name] += 1
            if route not in self._routes:
                return
            if route not in self._levels:
                self._levels[route] = RouteServiceLevel(self._routes[route])
                self._latencies[route] = RecentLatency()
            self._levels[route].add(now, failed, latency_s)
            self._latencies[route].record(now, latency_s)

    def describe_service_levels(self, now: float) -> list[dict[str, Any]]:
        """Return the service level of each route."""
        with self._lock:
            return [
                (self._levels.get(name) or RouteServiceLevel(route)).describe(now)
                for name, route in self._routes.items()
            ]

    def describe_counters(self) -> dict[str, int]:
        """Return the value of every counter since the start."""
        with self._lock:
            return dict(sorted(self._counters.items()))

    def describe_latencies(self, now: float) -> dict[str, dict[str, float]]:
        """Return recent latency percentiles of each route, in milliseconds."""
        with self._lock:
            return {
                route: _describe_percentiles(now, latency)
                for route, latency in self._latencies.items()
                if latency.count()
            }

    def get_latency_histograms(self) -> dict[str, BucketCounts]:
        """Return the latency histogram of each route since the start."""
        with self._lock:
            return {name: v.since_start for name, v in self._latencies.items()}

    def pop_unsent(self) -> dict[str, int]:
        """Return the counts since the previous call, and reset them."""
        with self._lock:
            unsent, self._unsent = self._unsent, Counter()
            return dict(unsent)


class StatsdSender:
    """Sends the metrics of a meter to a statsd server.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the server.
    """

    def __init__(self, address: str) -> None:
        host, port = parse_address(address)
        self._client = statsd.StatsClient(host, port, prefix=STATSD_PREFIX)

    def send(self, now: float, meter: Meter, gauges: dict[str, float]) -> None:
        """Send the counts since the previous call, the latencies and the gauges."""
        with self._client.pipeline() as pipe:
            for name, amount in meter.pop_unsent().items():
                pipe.incr(name, amount)
            for route, values in meter.describe_latencies(now).items():
                for percentile, value in values.items():
                    pipe.gauge(f"latency_ms.{route}.{percentile}", value)
            for name, value in gauges.items():
                pipe.gauge(name, value)


def _describe_percentiles(now: float, latency: RecentLatency) -> dict[str, float]:
    names = {p: f"p{p:g}".replace(".", "_") for p in PERCENTILES}
    values = {n: latency.compute_quantile(now, p) for p, n in names.items()}
    return {n: round(v * 1000, 3) for n, v in values.items() if v is not None}
