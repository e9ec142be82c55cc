"""Three requests that fail in real processes, each explained from the log alone."""

from __future__ import annotations

import http.client
import subprocess
import sys

import pytest

from .standins.processes import InstanceProcess, UpstreamProcess, wait_until

ROUTES = [
    {"name": "slow", "path_prefix": "/slow", "pool": "slow", "timeout_ms": 300},
    {"name": "lost", "path_prefix": "/lost", "pool": "lost", "type": "unsafe"},
    {"name": "none", "path_prefix": "/none", "pool": "none"},
]


@pytest.fixture(scope="module")
def instance(tmp_path_factory):
    folder = tmp_path_factory.mktemp("explain")
    instance = InstanceProcess(folder, "one")
    upstreams = []
    try:
        assert wait_until(instance.client.is_ready)
        pools = [{"name": name} for name in ("slow", "lost", "none")]
        instance.client.put_table("pools", pools, 0, "pools")
        instance.client.put_table("routes", ROUTES, 0, "routes")
        for pool in ("slow", "lost"):
            process = UpstreamProcess(folder, pool, 1, [], behaviour={"service_ms": 1})
            upstreams.append(process)
            for upstream_id, port in process.ports.items():
                document = {"pool": pool, "address": f"127.0.0.1:{port}", "incarnation": 1}
                instance.client.announce(upstream_id, {**document, "lease_s": 3600})
        yield instance
    finally:
        instance.kill()
        for process in upstreams:
            process.kill()


def send(instance, path: str, request_id: str, fault: str = "") -> int:
    host, port = instance.listen.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    headers = {"X-Request-Id": request_id, **({"X-Fault": fault} if fault else {})}
    connection.request("POST", path, headers=headers, body=b"{}")
    status = connection.getresponse().status
    connection.close()
    return status


def explain(instance, request_id: str) -> str:
    def run() -> str:
        command = [sys.executable, "-m", "foxtaildrum", "explain", request_id]
        done = subprocess.run(
            [*command, str(instance.log)], capture_output=True, text=True, check=False
        )
        return done.stdout

    assert wait_until(lambda: "status=" in run().split("latest related events")[0])
    return run()


def test_a_refused_request_is_explained(instance):
    assert send(instance, "/none/x", "refused-1") == 503
    story = explain(instance, "refused-1")
    assert "kind=no_upstream" in story
    assert "outcome=not-run" in story
    assert "route=none" in story


def test_a_late_request_is_explained(instance):
    assert send(instance, "/slow/x", "late-1", "slow=2000") == 504
    story = explain(instance, "late-1")
    assert "kind=deadline_exceeded" in story
    assert "upstream=slow-1" in story
    assert "ended=failed" in story


def test_a_request_with_an_unknown_outcome_is_explained(instance):
    assert send(instance, "/lost/x", "lost-1", "reset-after-run") == 502
    story = explain(instance, "lost-1")
    assert "kind=answer_lost" in story
    assert "outcome=unknown" in story
    assert "upstream=lost-1" in story
    assert "tables_in_force" in story


def test_an_empty_log_gives_no_story_and_a_failure(tmp_path):
    log = tmp_path / "empty.log"
    log.write_text("")
    command = [sys.executable, "-m", "foxtaildrum", "explain", "nobody", str(log)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 1
    assert "not found in the logs" in done.stdout
