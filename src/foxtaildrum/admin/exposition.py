"""Metrics of one instance in the text format that monitoring systems read.

The library is loaded with the first request for metrics: an instance that nobody asks does
not pay for it.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from ..balancing.latency import BUCKET_BOUNDS_S, BucketCounts

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_SERIES = 200
OTHER = "other"
PREFIX = "foxtaildrum_"


class Gauge:
    """A figure that goes up and down, for one value of a label or for the instance.

    Parameters
    ----------
    name : str
        Name with its unit, without the prefix of the product.
    help_text : str
        What the figure says.
    label : str
        Name of the label; empty for a figure of the whole instance.
    values : dict
        Figure by value of the label; by the empty text for the whole instance.
    """

    __slots__ = ("help_text", "label", "name", "values")

    def __init__(
        self, name: str, help_text: str, values: dict[str, float], label: str = ""
    ) -> None:
        self.name = name
        self.help_text = help_text
        self.label = label
        self.values = values


class Snapshot:
    """Everything that one page of metrics shows.

    Attributes
    ----------
    requests : dict
        Finished requests by route and class of status, such as ``("lookup", "2xx")``.
    refusals : dict
        Answers made by the system by error kind.
    events : dict
        Other counters by name.
    left_out : dict
        Log lines that were left out, by event.
    route_latencies : dict
        Latencies by route, as callers saw them.
    pool_latencies : dict
        Time that attempts held a slot, by pool.
    gauges : list of Gauge
        Present figures.
    """

    __slots__ = (
        "events",
        "gauges",
        "left_out",
        "pool_latencies",
        "refusals",
        "requests",
        "route_latencies",
    )

    def __init__(self) -> None:
        self.requests: dict[tuple[str, str], int] = {}
        self.refusals: dict[str, int] = {}
        self.events: dict[str, int] = {}
        self.left_out: dict[str, int] = {}
        self.route_latencies: dict[str, BucketCounts] = {}
        self.pool_latencies: dict[str, BucketCounts] = {}
        self.gauges: list[Gauge] = []

    @classmethod
    def from_counters(cls, counters: dict[str, int]) -> Snapshot:
        """Sort the counters of an instance by what they count."""
        snapshot = cls()
        for name, count in counters.items():
            kind, _, rest = name.partition(".")
            if kind == "requests" and rest:
                route, _, status_class = rest.rpartition(".")
                snapshot.requests[route, status_class] = count
            elif kind == "kinds":
                snapshot.refusals[rest] = count
            elif kind != "requests":
                snapshot.events[name] = count
        return snapshot


def format_exposition(snapshot: Snapshot) -> bytes:
    """Return the page of metrics."""
    from prometheus_client.exposition import generate_latest

    return generate_latest(_Collected(snapshot))


class _Collected:
    """A snapshot as the library collects it."""

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot

    def collect(self) -> Iterator[Metric]:
        from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily

        snapshot = self._snapshot
        requests = CounterMetricFamily(
            PREFIX + "requests", "Finished requests.", labels=("route", "status_class")
        )
        for labels, count in _limit_requests(snapshot.requests).items():
            requests.add_metric(labels, count)
        yield requests
        yield _count_by("refusals", "Answers made by the system.", "kind", snapshot.refusals)
        yield _count_by("events", "Other counters.", "name", snapshot.events)
        yield _count_by(
            "log_lines_left_out", "Log lines not written.", "event", snapshot.left_out
        )
        yield _build_histogram(
            "request_duration_seconds",
            "Time from a request's arrival to the head of its answer.",
            "route",
            snapshot.route_latencies,
        )
        yield _build_histogram(
            "attempt_duration_seconds",
            "Time that a successful attempt held a slot of an upstream.",
            "pool",
            snapshot.pool_latencies,
        )
        for gauge in snapshot.gauges:
            labels = (gauge.label,) if gauge.label else ()
            family = GaugeMetricFamily(PREFIX + gauge.name, gauge.help_text, labels=labels)
            for value, figure in list(gauge.values.items())[:MAX_SERIES]:
                family.add_metric((value,) if gauge.label else (), figure)
            yield family


def _count_by(name: str, help_text: str, label: str, counts: dict[str, int]) -> Metric:
    from prometheus_client.metrics_core import CounterMetricFamily

    family = CounterMetricFamily(PREFIX + name, help_text, labels=(label,))
    for value, count in _limit(counts).items():
        family.add_metric((value,), count)
    return family


def _build_histogram(
    name: str, help_text: str, label: str, latencies: dict[str, BucketCounts]
) -> Metric:
    from prometheus_client.metrics_core import HistogramMetricFamily

    family = HistogramMetricFamily(PREFIX + name, help_text, labels=(label,))
    for value, counts in list(latencies.items())[:MAX_SERIES]:
        bounds = [*(f"{bound:g}" for bound in BUCKET_BOUNDS_S), "+Inf"]
        buckets = list(zip(bounds, counts.list_cumulative(), strict=True))
        family.add_metric((value,), buckets=buckets, sum_value=counts.sum_s)
    return family


def _limit(counts: dict[str, int]) -> dict[str, int]:
    """Return at most a fixed number of counts; what is beyond is added up."""
    limited = dict(list(counts.items())[:MAX_SERIES])
    beyond = sum(list(counts.values())[MAX_SERIES:])
    return {**limited, OTHER: beyond} if beyond else limited


def _limit_requests(counts: dict[tuple[str, str], int]) -> dict[tuple[str, str], int]:
    limited: dict[tuple[str, str], int] = {}
    routes: set[str] = set()
    for (route, status_class), count in counts.items():
        if route in routes or len(routes) < MAX_SERIES:
            routes.add(route)
            key = (route, status_class)
        else:
            key = (OTHER, status_class)
        limited[key] = limited.get(key, 0) + count
    return limited
