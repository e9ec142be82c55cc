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
        result = subprocess.run(
            [*command, str(instance.log)], capture_output=True, text=True, check=False
        )
        return result.stdout

    assert wait_until(lambda: "status=" in run().split("latest related events")[0])
    return run()


def test_a_refused_request_is_explained(instance):
    assert send(instance, "/none/x", "refused-1") == 503
    explanation = explain(instance, "refused-1")
    assert "kind=no_upstream" in explanation
    assert "outcome=not-run" in explanation
    assert "route=none" in explanation


def test_a_late_request_is_explained(instance):
    assert send(instance, "/slow/x", "late-1", "slow=2000") == 504
    explanation = explain(instance, "late-1")
    assert "kind=deadline_exceeded" in explanation
    assert "upstream=slow-1" in explanation
    assert "ended=failed" in explanation


def test_a_request_with_an_unknown_outcome_is_explained(instance):
    assert send(instance, "/lost/x", "lost-1", "reset-after-run") == 502
    explanation = explain(instance, "lost-1")
    assert "kind=answer_lost" in explanation
    assert "outcome=unknown" in explanation
    assert "upstream=lost-1" in explanation
    assert "tables_in_force" in explanation


def test_a_request_missing_from_the_log_exits_with_a_failure(tmp_path):
    log = tmp_path / "empty.log"
    log.write_text("")
    command = [sys.executable, "-m", "foxtaildrum", "explain", "nobody", str(log)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == 1
    assert "not in the logs" in result.stdout
