"""Rolling restart of upstreams under load, with and without a drain."""

from __future__ import annotations

import threading

import pytest

from .sites import Site, open_site
from .standins.processes import UpstreamProcess, wait_until

UPSTREAM_COUNT = 3
CALLER_COUNT = 4


class RollingRestart:
    """Three upstream processes and callers that send requests without a pause."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.incarnation = 1
        self.processes = [self.start_upstream() for _ in range(UPSTREAM_COUNT)]
        for number in range(UPSTREAM_COUNT):
            self.announce(number)
        self.statuses: list[int] = []
        # Bodies of the failed requests, which tell their kinds, for the failure message.
        self.failures: list[bytes] = []
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.send_requests) for _ in range(CALLER_COUNT)
        ]

    def start_upstream(self) -> UpstreamProcess:
        return UpstreamProcess(
            self.site.folder, "p", 1, [], behaviour={"service_ms": 3, "fixed": True}
        )

    def announce(self, number: int, **fields) -> None:
        port = self.processes[number].ports["p-1"]
        self.site.announce(f"u{number}", "p", port, incarnation=self.incarnation, **fields)

    def send_requests(self) -> None:
        while not self.stopped.is_set():
            reply = self.site.send("GET", "/x")
            self.statuses.append(reply.status)
            if reply.status != 200:
                self.failures.append(reply.body)

    def restart(self, number: int, drains: bool) -> None:
        old = self.processes[number]
        if drains:
            self.announce(number, state="draining")
            assert wait_until(lambda: old.describe("p-1")["busy"] == 0)
        old.kill()
        self.incarnation += 1
        self.processes[number] = self.start_upstream()
        self.announce(number)
        new = self.processes[number]
        assert wait_until(lambda: new.describe("p-1")["served"] > 0)

    def close(self) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        for process in self.processes:
            process.kill()


@pytest.mark.parametrize("drains", [True, False], ids=["drained", "killed"])
def test_a_rolling_restart_fails_no_request(tmp_path, drains):
    with open_site(tmp_path) as site:
        site.apply("pools", [{"name": "p", "retry_budget_ratio": 0.2}])
        site.apply("routes", [{"name": "r", "pool": "p", "timeout_ms": 5000}])
        rolling = RollingRestart(site)
        for thread in rolling.threads:
            thread.start()
        try:
            for number in range(UPSTREAM_COUNT):
                rolling.restart(number, drains)
        finally:
            rolling.close()
        assert set(rolling.statuses) <= {200, 503}, rolling.failures
        assert set(rolling.statuses) == {200}, rolling.failures
