"""Cold upstreams behind a real instance: requests, checks, logs, metrics, status."""

from __future__ import annotations

import json
import time
import urllib.request

import pytest

from foxtaildrum.balancing import warmupgate
from foxtaildrum.balancing.warmup import WINDOW_S

from .sites import open_site
from .standins.processes import wait_until
from .standins.scripted import Arrival, Script, ScriptedUpstream, build_response

HEALTH_PATH = "/healthz"
COLD_MS = 30_000
POOL = {"name": "p", "health_path": HEALTH_PATH, "retry_budget_ratio": 1.0}
LIMITED_POOL = POOL | {"warmup_per_s": 2.0, "warmup_s": COLD_MS / 1000}
# 0.7 of the bound of 2 requests per second.
SHARE = 1
REQUESTS = 20


class ColdUpstream(ScriptedUpstream):
    """Upstream that states in status checks how long it stays cold; None states nothing."""

    def __init__(self, left_ms: int | None = None) -> None:
        self.left_ms = left_ms
        self.check_status = 200
        super().__init__(self._answer)

    @property
    def requests(self) -> int:
        return len(self.arrivals) - self.count_arrivals(HEALTH_PATH)

    def _answer(self, arrival: Arrival) -> Script:
        headers = {"Foxtaildrum-Attempt": arrival.headers.get("foxtaildrum-attempt", "")}
        if arrival.target == HEALTH_PATH and self.left_ms is not None:
            headers["X-Upstream-Warmup-Ms"] = str(self.left_ms)
        status = self.check_status if arrival.target == HEALTH_PATH else 200
        return Script(build_response(status, headers, b"ok"))


@pytest.fixture
def site(tmp_path):
    with open_site(tmp_path, probes_per_s=1000, sample_size=3) as site:
        site.apply("pools", [LIMITED_POOL])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        yield site


@pytest.fixture
def add_upstream(site):
    """Return a function that starts an upstream and announces it."""
    started = []

    def add(**fields) -> ColdUpstream:
        upstream = ColdUpstream()
        site.announce(f"u-{len(started)}", "p", upstream.port, **fields)
        started.append(upstream)
        return upstream

    yield add
    for upstream in started:
        upstream.close()


def read_kinds(replies) -> set[str]:
    return {json.loads(reply.body)["kind"] for reply in replies if reply.status != 200}


def describe_pool(site) -> dict:
    return next(p for p in site.client.get_status()["pools"] if p["pool"] == "p")


def read_metrics(site) -> str:
    address = site.instance.admin_server.address
    with urllib.request.urlopen(f"http://{address}/metrics") as response:
        return response.read().decode()


def pass_start() -> None:
    """Wait until an instance that just started has its allowance."""
    time.sleep(WINDOW_S)


def count_windows(start: float) -> int:
    """Return how many windows of the limit the time since ``start`` touches."""
    return 2 + int((time.monotonic() - start) / WINDOW_S)


# Guards against a start of an upstream under the load that warm ones get.
def test_an_upstream_that_announces_its_cold_time_gets_its_share(site, add_upstream):
    warm = add_upstream(warmup_left_ms=0)
    assert site.send("GET", "/first").status == 200
    pass_start()
    cold = add_upstream(warmup_left_ms=COLD_MS)
    cold.left_ms = COLD_MS
    start = time.monotonic()
    replies = [site.send("GET", f"/{n}") for n in range(REQUESTS)]
    assert "upstreams_warming_up" not in read_kinds(replies)
    assert cold.requests <= SHARE * count_windows(start)
    assert warm.requests >= REQUESTS // 2


# Guards against a lost announcement: the status check still shows the coldness.
def test_an_upstream_that_turns_cold_without_a_start_gets_its_share(site, add_upstream):
    upstream = add_upstream(warmup_left_ms=0)
    assert site.send("GET", "/first").status == 200
    pass_start()
    upstream.left_ms = COLD_MS
    assert wait_until(lambda: site.send("GET", "/until").status == 503)
    before = upstream.requests
    start = time.monotonic()
    replies = [site.send("POST", f"/{n}") for n in range(REQUESTS)]
    assert upstream.requests - before <= SHARE * count_windows(start)
    refused = [r for r in replies if b"upstreams_warming_up" in r.body]
    assert len(refused) >= REQUESTS // 2
    assert {reply.outcome for reply in refused} == {"not-run"}
    assert all(float(reply.headers["retry-after"]) > 0 for reply in refused)
    entry = site.client.get_status()["upstreams"][0]
    assert entry["warmup_left_s"] > COLD_MS / 2000


def test_a_failed_status_check_does_not_show_a_warm_upstream(site, add_upstream):
    # Something in front of the upstream may have answered.
    add_upstream(warmup_left_ms=0)
    assert site.send("GET", "/first").status == 200
    pass_start()
    cold = add_upstream(warmup_left_ms=COLD_MS)
    cold.check_status = 500
    start = time.monotonic()
    for number in range(REQUESTS):
        site.send("GET", f"/{number}")
    assert cold.requests <= SHARE * count_windows(start)
    assert [u["upstream"] for u in describe_pool(site)["cold_upstreams"]] == ["u-1"]


def test_a_request_waits_for_its_turn_at_a_cold_upstream(site, add_upstream):
    site.apply("pools", [LIMITED_POOL | {"warmup_per_s": 20.0}])
    route = {"name": "p", "path_prefix": "/", "pool": "p", "objective_latency_ms": 30000}
    site.apply("routes", [route])
    pass_start()
    upstream = add_upstream(warmup_left_ms=COLD_MS)
    upstream.left_ms = COLD_MS
    start = time.monotonic()
    replies = [site.send("GET", f"/{n}") for n in range(16)]
    assert "upstreams_warming_up" not in read_kinds(replies)
    assert time.monotonic() - start >= 0.9 * WINDOW_S


def test_an_upstream_is_used_in_full_once_it_is_warm(site, add_upstream):
    upstream = add_upstream(warmup_left_ms=800)
    upstream.left_ms = 0
    assert wait_until(lambda: site.send("GET", "/until").status == 200)
    time.sleep(1.0)
    replies = [site.send("GET", f"/{n}") for n in range(REQUESTS)]
    assert "upstreams_warming_up" not in read_kinds(replies)


def test_operators_see_cold_upstreams(site, add_upstream, monkeypatch):
    lines = []
    monkeypatch.setattr(
        warmupgate, "log_event", lambda event, **fields: lines.append((event, fields))
    )
    add_upstream(warmup_left_ms=0)
    assert site.send("GET", "/first").status == 200
    add_upstream(warmup_left_ms=1500)
    assert wait_until(lambda: describe_pool(site)["cold_upstreams"])
    cold = describe_pool(site)["cold_upstreams"][0]
    assert (cold["upstream"], cold["share"]) == ("u-1", SHARE)
    assert 0 < cold["left_s"] <= 1.5
    assert 'foxtaildrum_pool_cold_upstreams{pool="p"} 1.0' in read_metrics(site)
    assert wait_until(lambda: not describe_pool(site)["cold_upstreams"])
    assert 'foxtaildrum_pool_cold_upstreams{pool="p"} 0.0' in read_metrics(site)
    assert [(event, fields["upstream"]) for event, fields in lines] == [
        ("upstream_cold", "u-1"),
        ("upstream_warm", "u-1"),
    ]
    assert lines[0][1]["left_s"] == pytest.approx(1.5, abs=0.3)


def test_refusals_are_counted_by_kind(site, add_upstream):
    upstream = add_upstream(warmup_left_ms=COLD_MS)
    upstream.left_ms = COLD_MS
    assert wait_until(lambda: site.send("GET", "/until").status == 503)
    assert 'foxtaildrum_refusals_total{kind="upstreams_warming_up"}' in read_metrics(site)


# A deployment whose tables name no rate is served as before.
def test_coldness_has_no_effect_in_a_pool_without_a_rate(site, add_upstream):
    site.apply("pools", [POOL])
    upstream = add_upstream(warmup_left_ms=COLD_MS)
    upstream.left_ms = COLD_MS
    replies = [site.send("GET", f"/{n}") for n in range(REQUESTS)]
    assert "upstreams_warming_up" not in read_kinds(replies)
    assert upstream.requests >= REQUESTS // 2
    assert "cold_upstreams" not in describe_pool(site)
    assert "warmup_left_s" not in site.client.get_status()["upstreams"][0]
    assert "pool_cold_upstreams" not in read_metrics(site)
