"""Bytes without end, counted for the machine: memory, unread bytes of sockets, and files.

Limits are lowered so that few connections suffice. No test measures a time.
"""

from __future__ import annotations

import http.client
from pathlib import Path

import pytest

from .standins.endless import ENDLESS, EndlessUpstream, HeldMemory
from .standins.processes import InstanceProcess

pytestmark = pytest.mark.alone

MIB = 1024 * 1024
MAX_HELD_BYTES = 6 * MIB
# Beside what is held: buffers of connections, threads and the allocator.
MEMORY_SLACK_BYTES = 24 * MIB
TIMEOUT_MS = 1500
ANSWER_TIMEOUT_S = 15.0


class EndlessSite:
    """An instance process with one route for each kind of endless answer."""

    def __init__(self, folder: Path, **settings: str) -> None:
        self.instance = InstanceProcess(
            folder, "one", max_held_bytes=str(MAX_HELD_BYTES), body_stall_s="2", **settings
        )
        self.instance.wait_ready()
        self.upstreams = {kind: EndlessUpstream({"": ENDLESS[kind]}) for kind in ENDLESS}
        client = self.instance.client
        client.put_table("pools", [{"name": kind} for kind in ENDLESS], 0, "pools")
        routes = [
            {"name": kind, "pool": kind, "path_prefix": f"/{kind}/", "timeout_ms": TIMEOUT_MS}
            for kind in ENDLESS
        ]
        client.put_table("routes", routes, 0, "routes")
        for kind, upstream in self.upstreams.items():
            client.announce(
                kind, {"pool": kind, "address": f"127.0.0.1:{upstream.port}", "lease_s": 600}
            )
        self.base = self.measure()

    def measure(self) -> HeldMemory:
        return HeldMemory(self.instance.popen.pid)

    def close(self) -> None:
        self.instance.kill()
        for upstream in self.upstreams.values():
            upstream.close()


@pytest.fixture
def site(tmp_path):
    site = EndlessSite(tmp_path)
    yield site
    site.close()


class Caller(http.client.HTTPConnection):
    """Caller that asks for a response of one kind."""

    def __init__(self, site: EndlessSite, kind: str, version: int = 11) -> None:
        host, port = site.instance.listen.split(":")
        super().__init__(host, int(port), timeout=ANSWER_TIMEOUT_S)
        self._http_vsn, self._http_vsn_str = version, f"HTTP/1.{version % 10}"
        self.request("GET", f"/{kind}/x")


# Guards against a response that is written to a file without a bound before it is relayed, as
# callers without chunks need it.
@pytest.mark.parametrize("kind", ["chunks", "compressed"])
def test_a_response_that_is_read_before_it_is_relayed_is_bounded(site, kind):
    caller = Caller(site, kind, version=10)
    peak = site.base
    while site.upstreams[kind].sent_bytes == 0 or site.upstreams[kind].open_connections:
        peak = max(peak, site.measure(), key=lambda held: held.total)
    assert caller.getresponse().status == 502
    assert peak.total <= site.base.total + MAX_HELD_BYTES + MEMORY_SLACK_BYTES
    assert site.instance.status()["instance"]
    caller.close()
