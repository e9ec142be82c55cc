"""The metrics page: its content, its format and the limits on its size."""

from __future__ import annotations

import urllib.error
import urllib.request

import pytest
from prometheus_client.parser import text_string_to_metric_families

from foxtaildrum.admin.exposition import (
    MAX_SERIES_PER_METRIC,
    OTHER_LABEL_VALUE,
    MetricsSnapshot,
    format_exposition,
)
from foxtaildrum.balancing.latency import BucketCounts

from .sites import open_site


def read_samples(page: bytes) -> dict[tuple[str, frozenset], float]:
    families = text_string_to_metric_families(page.decode())
    return {(s.name, frozenset(s.labels.items())): s.value for f in families for s in f.samples}


def find_sample(samples, name: str, **labels: str) -> float:
    return samples[name, frozenset(labels.items())]


def fetch(site) -> dict[tuple[str, frozenset], float]:
    with urllib.request.urlopen(
        f"http://{site.instance.admin_server.address}/metrics"
    ) as response:
        assert response.headers["Content-Type"].startswith("text/plain; version=0.0.4")
        return read_samples(response.read())


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with open_site(tmp_path_factory.mktemp("metrics")) as site:
        site.apply("pools", [{"name": "p"}, {"name": "empty"}])
        site.apply(
            "routes",
            [
                {"name": "a", "path_prefix": "/a/", "pool": "p"},
                {"name": "none", "path_prefix": "/none/", "pool": "empty"},
            ],
        )
        site.add_upstreams("p", 2)
        yield site


def test_served_and_refused_requests_are_shown_by_route_and_kind(site):
    for _ in range(3):
        assert site.send("GET", "/a/x").status == 200
    assert site.send("GET", "/none/x").status == 503
    samples = fetch(site)
    requests = "foxtaildrum_requests_total"
    assert find_sample(samples, requests, route="a", status_class="2xx") == 3
    assert find_sample(samples, requests, route="none", status_class="5xx") == 1
    assert find_sample(samples, "foxtaildrum_refusals_total", kind="no_upstream") == 1
    duration = "foxtaildrum_request_duration_seconds"
    assert find_sample(samples, duration + "_count", route="a") == 3
    assert find_sample(samples, duration + "_bucket", route="a", le="+Inf") == 3
    assert find_sample(samples, "foxtaildrum_attempt_duration_seconds_count", pool="p") == 3


def test_the_state_of_the_instance_and_its_group_is_shown(site):
    samples = fetch(site)
    assert find_sample(samples, "foxtaildrum_ready") == 1
    assert find_sample(samples, "foxtaildrum_table_age_seconds") < 5
    assert find_sample(samples, "foxtaildrum_control_role", role="leader") == 1
    assert find_sample(samples, "foxtaildrum_members", state="alive") == 1
    assert find_sample(samples, "foxtaildrum_pool_upstreams", pool="p") == 2
    assert find_sample(samples, "foxtaildrum_pool_in_flight", pool="p") == 0


def test_the_metrics_address_serves_only_metrics(tmp_path):
    with open_site(tmp_path, metrics_listen="127.0.0.1:0") as site:
        url = f"http://{site.instance.metrics_server.address}"
        with urllib.request.urlopen(url + "/metrics") as response:
            assert find_sample(read_samples(response.read()), "foxtaildrum_ready") == 1
        with pytest.raises(urllib.error.HTTPError) as refused:
            urllib.request.urlopen(url + "/v1/tables")
        assert refused.value.code == 404


def test_the_report_document_contains_the_burn_rates(site):
    report_by_route = {row["route"]: row for row in site.client.get_report()}
    assert report_by_route["none"]["rates"]["5m"] > 1
    assert report_by_route["none"]["alert"] == "page"
    assert report_by_route["a"]["budget_left_ratio"] == 1.0


def test_the_number_of_series_is_limited_and_the_rest_is_summed():
    snapshot = MetricsSnapshot.from_counters(
        {f"requests.r{n}.2xx": 1 for n in range(3 * MAX_SERIES_PER_METRIC)}
        | {f"kinds.k{n}": 2 for n in range(2 * MAX_SERIES_PER_METRIC)}
    )
    snapshot.route_latencies = {
        f"r{n}": BucketCounts() for n in range(3 * MAX_SERIES_PER_METRIC)
    }
    samples = read_samples(format_exposition(snapshot))
    requests = {k: v for k, v in samples.items() if k[0] == "foxtaildrum_requests_total"}
    assert len(requests) == MAX_SERIES_PER_METRIC + 1
    assert sum(requests.values()) == 3 * MAX_SERIES_PER_METRIC
    refusals = "foxtaildrum_refusals_total"
    assert find_sample(samples, refusals, kind=OTHER_LABEL_VALUE) == 2 * MAX_SERIES_PER_METRIC
    counts = [k for k in samples if k[0] == "foxtaildrum_request_duration_seconds_count"]
    assert len(counts) == MAX_SERIES_PER_METRIC


@pytest.mark.parametrize(
    ("latency_s", "first_bound"), [(0.005, 0), (0.0051, 1), (0.3, 6), (5.0, 9), (60.0, 10)]
)
def test_a_latency_counts_in_each_bucket_whose_bound_it_does_not_exceed(latency_s, first_bound):
    counts = BucketCounts()
    counts.record(latency_s)
    assert counts.list_cumulative() == [0] * first_bound + [1] * (11 - first_bound)


def test_log_lines_that_were_not_written_are_shown():
    snapshot = MetricsSnapshot()
    snapshot.left_out = {"request": 12}
    samples = read_samples(format_exposition(snapshot))
    assert find_sample(samples, "foxtaildrum_log_lines_left_out_total", event="request") == 12
