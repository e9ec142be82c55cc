"""Runs one instance with stand-in upstreams and serves until it is interrupted."""

from __future__ import annotations

import signal
import sys
import tempfile
import threading
import tomllib
from pathlib import Path

import urllib3

from .processes import InstanceProcess, UpstreamProcess, wait_until

EXAMPLES = Path(__file__).parents[2] / "examples"
POOLS = {"lookup": 3, "dispatch": 2, "document": 2}


def apply_examples(instance: InstanceProcess) -> None:
    """Apply the pools and routes of the examples folder."""
    for name in ("pools", "routes"):
        rows = tomllib.loads((EXAMPLES / f"{name}.toml").read_text())[name]
        _, version = instance.client.get_table(name)
        instance.client.put_table(name, rows, version, f"demo-{name}-{version}")


def send_and_print(http: urllib3.PoolManager, method: str, url: str, **headers: str) -> bool:
    """Send one request, print the response and return whether its status is 200."""
    response = http.request(
        method, url, headers=headers, body=b"{}" if method == "POST" else None
    )
    print(f"{method} {url}\n  {response.status} {response.data.decode()[:160]}")
    return response.status == 200


def main() -> int:
    interrupted = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: interrupted.set())
    folder = Path(tempfile.mkdtemp(prefix="foxtaildrum-demo-"))
    instance = InstanceProcess(folder, "demo", access_log="false")
    processes = [instance]
    try:
        instance.wait_ready()
        apply_examples(instance)
        for pool, count in POOLS.items():
            processes.append(UpstreamProcess(folder, pool, count, [instance.admin_listen]))
        upstream_count = sum(POOLS.values())
        wait_until(lambda: len(instance.status().get("upstreams", [])) == upstream_count)
        http = urllib3.PoolManager(retries=False, timeout=10)
        base = f"http://{instance.listen}"
        succeeded = send_and_print(http, "GET", f"{base}/lookup/boiler-7")
        succeeded &= send_and_print(
            http, "POST", f"{base}/dispatch", **{"Idempotency-Key": "demo-1"}
        )
        if not succeeded:
            return 1
        print(f"\nserving callers on {base}, admin on http://{instance.admin_listen}")
        print(f"logs and state in {folder}; interrupt to stop", flush=True)
        interrupted.wait()
        return 0
    finally:
        for process in reversed(processes):
            process.stop()


if __name__ == "__main__":
    sys.exit(main())
