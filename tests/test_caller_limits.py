"""Callers outside the limits: an instance process lives, stays bounded and serves others.

No test measures a time or a share of served requests. Limits are lowered so that few callers
suffice.
"""

from __future__ import annotations

import contextlib
import os
import signal
import socket
from pathlib import Path

import pytest
import urllib3

from .standins.processes import InstanceProcess, UpstreamProcess, wait_until

pytestmark = pytest.mark.alone

MIB = 1024 * 1024
MAX_BODY_BYTES = 2 * MIB
MAX_HELD_BYTES = 6 * MIB
BODY_STALL_S = 2
WRITE_DEADLINE_S = 2
MAX_CONNECTIONS = 40
# More than the buffers of a connection take.
UNREAD_BYTES = 30 * MIB
CALLERS = 12
# Just short of the limit on one body; all together three times what may be held.
UNFINISHED_BYTES = 3 * MIB // 2
# Beside what is held: buffers of connections, threads and the allocator.
MEMORY_SLACK_BYTES = 24 * MIB
DESCRIPTOR_SLACK = 8
SEND_TIMEOUT_S = 20.0
# Longer than any limit of these tests; only a fault takes so long.
GONE_TIMEOUT_S = 30.0
HEAD = b"POST /x HTTP/1.1\r\nHost: x\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class LimitedSite:
    """An instance process with lowered limits, and an upstream."""

    def __init__(self, folder: Path) -> None:
        self.instance = InstanceProcess(
            folder,
            "one",
            max_body_bytes=str(MAX_BODY_BYTES),
            max_held_bytes=str(MAX_HELD_BYTES),
            body_stall_s=str(BODY_STALL_S),
            write_deadline_s=str(WRITE_DEADLINE_S),
            max_connections=str(MAX_CONNECTIONS),
            shutdown_grace_s="4",
        )
        self.instance.wait_ready()
        self.instance.client.put_table("pools", [{"name": "p"}], 0, "p")
        self.instance.client.put_table("routes", [{"name": "r", "pool": "p"}], 0, "r")
        self.upstreams = UpstreamProcess(folder, "p", 1, [self.instance.admin_listen])
        assert wait_until(lambda: len(self.instance.status().get("upstreams", [])) == 1)
        assert self.is_serving()
        self._folder = Path(f"/proc/{self.instance.popen.pid}")
        self.base_descriptors = self.count_descriptors()
        self.base_memory = self.measure_memory()

    def is_serving(self) -> bool:
        """Return whether an ordinary request is answered, by another caller."""
        caller = urllib3.PoolManager(retries=False, timeout=10)
        url = f"http://{self.instance.listen}/ordinary"
        return caller.request("POST", url, body=b"order").status == 200

    def lives(self) -> bool:
        return self.instance.popen.poll() is None

    def count_descriptors(self) -> int:
        return len(os.listdir(self._folder / "fd"))

    def measure_files(self) -> int:
        """Return the size of the deleted files that the process has open."""
        size = 0
        for path in (self._folder / "fd").iterdir():
            with contextlib.suppress(OSError):
                if str(path.readlink()).endswith("(deleted)"):
                    size += path.stat().st_size
        return size

    def measure_memory(self) -> int:
        fields = (self._folder / "status").read_text().split()
        return int(fields[fields.index("VmRSS:") + 1]) * 1024

    def connect(self) -> socket.socket:
        host, port = self.instance.listen.split(":")
        return socket.create_connection((host, int(port)), timeout=SEND_TIMEOUT_S)

    def close(self) -> None:
        self.upstreams.kill()
        self.instance.kill()


@pytest.fixture
def site(tmp_path):
    site = LimitedSite(tmp_path)
    yield site
    site.close()


@contextlib.contextmanager
def open_callers(site: LimitedSite, data: bytes, count: int = CALLERS):
    """Yield callers that have sent the data as far as the instance took it."""
    with contextlib.ExitStack() as stack:
        callers = [stack.enter_context(site.connect()) for _ in range(count)]
        for caller in callers:
            with contextlib.suppress(OSError):
                caller.sendall(data)
        yield callers


def build_chunks(chunk_bytes: int, total_bytes: int) -> bytes:
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"c" * chunk_bytes)
    return chunk * (total_bytes // chunk_bytes)


UNFINISHED_BODIES = {
    "large-chunks": CHUNKED_HEAD + build_chunks(65_536, UNFINISHED_BYTES),
    "announced": HEAD
    + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
    + b"b" * UNFINISHED_BYTES,
}


# Guards against temporary files and memory that grow with the number of unfinished bodies.
@pytest.mark.parametrize("kind", UNFINISHED_BODIES)
def test_unfinished_bodies_hold_no_more_than_the_bound(site, kind):
    with open_callers(site, UNFINISHED_BODIES[kind]):
        # Answered after all that was sent before it has been read.
        assert site.is_serving()
        assert site.measure_files() <= MAX_HELD_BYTES
        assert site.measure_memory() <= site.base_memory + MAX_HELD_BYTES + MEMORY_SLACK_BYTES
        assert site.lives()


# Guards against callers that stop in the middle of a body and keep its memory and descriptors
# for as long as they like.
@pytest.mark.parametrize("kind", UNFINISHED_BODIES)
def test_a_stalled_body_is_abandoned(site, kind):
    with open_callers(site, UNFINISHED_BODIES[kind]):
        assert wait_until(lambda: site.measure_files() > 0)
        limit = site.base_descriptors + DESCRIPTOR_SLACK
        assert wait_until(lambda: site.measure_files() == 0, GONE_TIMEOUT_S)
        assert wait_until(lambda: site.count_descriptors() <= limit, GONE_TIMEOUT_S)
        assert site.is_serving()


# Guards against a stop that waits for the ends of bodies that never come.
def test_unfinished_bodies_do_not_keep_a_stop_from_ending(site):
    with open_callers(site, UNFINISHED_BODIES["large-chunks"]):
        site.instance.popen.send_signal(signal.SIGTERM)
        assert site.instance.popen.wait(GONE_TIMEOUT_S) is not None


# Guards against chunks of one byte each that cost a write to a file each, and so hold up all
# other callers.
def test_a_body_in_very_small_chunks_costs_no_more_than_its_bytes(site):
    with open_callers(site, CHUNKED_HEAD + build_chunks(1, MIB), count=2):
        assert site.is_serving()
        assert site.measure_files() <= MAX_HELD_BYTES
        assert site.lives()


# Guards against a body over the limit that is stored before it is refused.
@pytest.mark.parametrize("announced", [True, False], ids=["announced", "sent"])
def test_bodies_over_the_limit_leave_nothing_behind(site, announced):
    if announced:
        data = HEAD + b"Content-Length: %d\r\n\r\n" % (40 * MAX_BODY_BYTES)
    else:
        data = CHUNKED_HEAD
    data += build_chunks(65_536, 2 * MAX_BODY_BYTES)
    with open_callers(site, data):
        assert site.is_serving()
        assert wait_until(lambda: site.measure_files() == 0, GONE_TIMEOUT_S)
        limit = site.base_descriptors + DESCRIPTOR_SLACK
        assert wait_until(lambda: site.count_descriptors() <= limit, GONE_TIMEOUT_S)
        assert site.is_serving()


# Guards against callers that only connect, and so keep all others out.
def test_silent_connections_do_not_keep_others_out(site):
    with contextlib.ExitStack() as stack:
        for _ in range(MAX_CONNECTIONS + DESCRIPTOR_SLACK):
            stack.enter_context(site.connect())
        assert site.is_serving()
        limit = site.base_descriptors + MAX_CONNECTIONS + DESCRIPTOR_SLACK
        assert site.count_descriptors() <= limit


# Guards against responses that wait for callers that never read them.
def test_callers_that_read_nothing_hold_no_more_than_the_bound(site):
    request = b"GET /document/%d HTTP/1.1\r\nHost: x\r\n\r\n" % UNREAD_BYTES
    with open_callers(site, request):
        # The upstream has fewer slots than there are callers; these end with the limit.
        limit = site.base_descriptors + DESCRIPTOR_SLACK
        assert wait_until(lambda: site.count_descriptors() > limit, GONE_TIMEOUT_S)
        assert wait_until(lambda: site.count_descriptors() <= limit, GONE_TIMEOUT_S)
        assert site.measure_memory() <= site.base_memory + MAX_HELD_BYTES + MEMORY_SLACK_BYTES
        # The slots of the upstream become free a little later.
        assert wait_until(site.is_serving, GONE_TIMEOUT_S)


# Guards against a bound that refuses the largest request that the limits allow.
def test_a_single_request_at_the_limit_is_served(site):
    caller = urllib3.PoolManager(retries=False, timeout=30)
    url = f"http://{site.instance.listen}/x"
    for _ in range(2 * MAX_HELD_BYTES // MAX_BODY_BYTES):
        reply = caller.request("POST", url, body=b"b" * MAX_BODY_BYTES)
        assert (reply.status, reply.json()["body_bytes"]) == (200, MAX_BODY_BYTES)
