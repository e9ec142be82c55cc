"""Metrics of one instance in the Prometheus text format.

prometheus_client is imported by the first request for metrics, so that an instance without
monitoring does not load it.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from ..balancing.latency import BUCKET_BOUNDS_S, BucketCounts

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_SERIES_PER_METRIC = 200
OTHER_LABEL_VALUE = "other"
METRIC_PREFIX = "foxtaildrum_"


class Gauge:
    """A metric whose values go up and down, either one per label value or one in total.

    Parameters
    ----------
    name : str
        Name with its unit, without the ``foxtaildrum_`` prefix.
    help_text : str
        Help text of the metric.
    label : str
        Name of the label; empty for a single value of the whole instance.
    values : dict
        Value of the metric by label value; the key is empty for the whole instance.
    """

    __slots__ = ("help_text", "label", "name", "values")

    def __init__(
        self, name: str, help_text: str, values: dict[str, float], label: str = ""
    ) -> None:
        self.name = name
        self.help_text = help_text
        self.label = label
        self.values = values


class MetricsSnapshot:
    """All metrics of an instance at one point in time.

    Attributes
    ----------
    requests : dict
        Finished requests by route and status class, such as ``("lookup", "2xx")``.
    organisation_requests : dict
        Requests by organisation and result; empty while organisations are not in force.
    refusals : dict
        Error responses made by the instance itself, by error kind.
    events : dict
        Other counters by name.
    left_out : dict
        Log lines not written, by event.
    route_latencies : dict
        Latencies as callers saw them, by route.
    pool_latencies : dict
        Time that successful attempts held a slot, by pool.
    gauges : list of Gauge
        Current values.
    """

    __slots__ = (
        "events",
        "gauges",
        "left_out",
        "organisation_requests",
        "pool_latencies",
        "refusals",
        "requests",
        "route_latencies",
    )

    def __init__(self) -> None:
        self.requests: dict[tuple[str, str], int] = {}
        self.organisation_requests: dict[tuple[str, str], int] = {}
        self.refusals: dict[str, int] = {}
        self.events: dict[str, int] = {}
        self.left_out: dict[str, int] = {}
        self.route_latencies: dict[str, BucketCounts] = {}
        self.pool_latencies: dict[str, BucketCounts] = {}
        self.gauges: list[Gauge] = []

    @classmethod
    def from_counters(cls, counters: dict[str, int]) -> MetricsSnapshot:
        """Build a snapshot from the counters of an instance, grouped by name prefix."""
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


def format_exposition(snapshot: MetricsSnapshot) -> bytes:
    """Return the snapshot in the Prometheus text format."""
    from prometheus_client.exposition import generate_latest

    return generate_latest(_SnapshotCollector(snapshot))


class _SnapshotCollector:
    """Collector that yields a snapshot as prometheus_client metric families."""

    def __init__(self, snapshot: MetricsSnapshot) -> None:
        self._snapshot = snapshot

    def collect(self) -> Iterator[Metric]:
        from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily

        snapshot = self._snapshot
        requests = CounterMetricFamily(
            METRIC_PREFIX + "requests", "Finished requests.", labels=("route", "status_class")
        )
        for labels, count in _limit_requests(snapshot.requests).items():
            requests.add_metric(labels, count)
        yield requests
        if snapshot.organisation_requests:
            family = CounterMetricFamily(
                METRIC_PREFIX + "organisation_requests",
                "Requests of each organisation by result.",
                labels=("organisation", "result"),
            )
            for labels, count in _limit_requests(snapshot.organisation_requests).items():
                family.add_metric(labels, count)
            yield family
        yield _build_counter(
            "refusals", "Answers made by the system.", "kind", snapshot.refusals
        )
        yield _build_counter("events", "Other counters.", "name", snapshot.events)
        yield _build_counter(
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
            family = GaugeMetricFamily(
                METRIC_PREFIX + gauge.name, gauge.help_text, labels=labels
            )
            for label_value, amount in list(gauge.values.items())[:MAX_SERIES_PER_METRIC]:
                family.add_metric((label_value,) if gauge.label else (), amount)
            yield family


def _build_counter(name: str, help_text: str, label: str, counts: dict[str, int]) -> Metric:
    from prometheus_client.metrics_core import CounterMetricFamily

    family = CounterMetricFamily(METRIC_PREFIX + name, help_text, labels=(label,))
    for label_value, count in _limit_counts(counts).items():
        family.add_metric((label_value,), count)
    return family


def _build_histogram(
    name: str, help_text: str, label: str, latencies: dict[str, BucketCounts]
) -> Metric:
    from prometheus_client.metrics_core import HistogramMetricFamily

    family = HistogramMetricFamily(METRIC_PREFIX + name, help_text, labels=(label,))
    for label_value, counts in list(latencies.items())[:MAX_SERIES_PER_METRIC]:
        bounds = [*(f"{bound:g}" for bound in BUCKET_BOUNDS_S), "+Inf"]
        buckets = list(zip(bounds, counts.list_cumulative(), strict=True))
        family.add_metric((label_value,), buckets=buckets, sum_value=counts.sum_s)
    return family


def _limit_counts(counts: dict[str, int]) -> dict[str, int]:
    """Keep the first MAX_SERIES_PER_METRIC counts; sum the rest under the label ``other``."""
    limited = dict(list(counts.items())[:MAX_SERIES_PER_METRIC])
    remainder = sum(list(counts.values())[MAX_SERIES_PER_METRIC:])
    return {**limited, OTHER_LABEL_VALUE: remainder} if remainder else limited


def _limit_requests(counts: dict[tuple[str, str], int]) -> dict[tuple[str, str], int]:
    limited: dict[tuple[str, str], int] = {}
    names: set[str] = set()
    for (name, result), count in counts.items():
        if name in names or len(names) < MAX_SERIES_PER_METRIC:
            names.add(name)
            key = (name, result)
        else:
            key = (OTHER_LABEL_VALUE, result)
        limited[key] = limited.get(key, 0) + count
    return limited
