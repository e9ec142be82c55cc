"""Starts instances and stand-in upstreams as processes, for tests and measurements."""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from foxtaildrum.admin.client import AdminClient
from foxtaildrum.exceptions import AdminRequestError

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
FIRST_PORT = 12_000
PORTS_PER_WORKER = 1_250
MAX_WORKERS = 16

_WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % MAX_WORKERS
_PORTS = itertools.count(os.getpid() * 211)


def pick_port() -> int:
    """Return a free port of the loopback address.

    The ports lie below the range that the system uses for outgoing connections. Each worker
    of a test run has a range of its own and starts at an offset in it, so that another
    process rarely takes a port between this check and its use.
    """
    while True:
        offset = next(_PORTS) % PORTS_PER_WORKER
        port = FIRST_PORT + _WORKER * PORTS_PER_WORKER + offset
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def wait_until(condition: Callable[[], bool], timeout_s: float = START_TIMEOUT_S) -> bool:
    """Poll ``condition`` and return whether it became true within ``timeout_s``."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


class Process:
    """A child process that writes its log to a file."""

    def __init__(self, arguments: list[str], log: Path) -> None:
        self.log = log
        with log.open("ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=subprocess.PIPE if "tests.standins.upstream" in arguments else output,
                stderr=output,
                start_new_session=True,
            )

    def stop(self) -> int:
        """Send SIGTERM, wait for the process to exit and return its exit status."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def kill(self) -> None:
        """Send SIGKILL and wait for the process to exit."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP, and wait until all of its threads have stopped."""
        os.kill(self.popen.pid, signal.SIGSTOP)
        os.waitid(os.P_PID, self.popen.pid, os.WSTOPPED)

    def resume(self) -> None:
        """Continue a suspended process with SIGCONT."""
        os.kill(self.popen.pid, signal.SIGCONT)


class InstanceProcess(Process):
    """A foxtaildrum instance in a process of its own."""

    def __init__(self, folder: Path, instance_id: str, **settings: Any) -> None:
        self.instance_id = instance_id
        self.listen = f"127.0.0.1:{pick_port()}"
        self.admin_listen = settings.pop("admin_listen", f"127.0.0.1:{pick_port()}")
        self.data_dir = folder / instance_id
        arguments = {
            "instance_id": instance_id,
            "listen": self.listen,
            "admin_listen": self.admin_listen,
            "data_dir": str(self.data_dir),
            "unready_s": "0.1",
            **settings,
        }
        flags = [f"--{n.replace('_', '-')}={v}" for n, v in arguments.items()]
        super().__init__(["foxtaildrum", "serve", *flags], folder / f"{instance_id}.log")
        self.client = AdminClient(self.admin_listen)

    def wait_ready(self) -> None:
        """Wait until the instance reports that it is ready."""
        if not wait_until(self.client.is_ready):
            raise AssertionError(f"instance is not ready: {self.log.read_text()[-2000:]}")

    def status(self) -> dict[str, Any]:
        """Return the status document; empty when the instance does not answer."""
        try:
            return self.client.get_status()
        except AdminRequestError:
            return {}


class UpstreamProcess(Process):
    """Stand-in upstreams of one pool, all in one process."""

    def __init__(self, folder: Path, pool: str, count: int, admins: list[str], **options: Any):
        behaviour = options.pop("behaviour", {})
        flags = [f"--{n.replace('_', '-')}={v}" for n, v in options.items()]
        flags += [f"--pool={pool}", f"--count={count}", f"--admin={','.join(admins)}"]
        flags.append(f"--behaviour={json.dumps(behaviour)}")
        super().__init__(["tests.standins.upstream", *flags], folder / f"upstream-{pool}.log")
        self.ports: dict[str, int] = json.loads(self.popen.stdout.readline())

    def describe(self, upstream_id: str) -> dict[str, Any]:
        """Return the counters of one upstream."""
        return json.loads(self._get(upstream_id, "/_describe"))

    def count_runs(self) -> dict[str, int]:
        """Return how often each request ran, summed over all upstreams."""
        runs: dict[str, int] = {}
        for upstream_id in self.ports:
            for key, count in self.describe(upstream_id)["runs"].items():
                runs[key] = runs.get(key, 0) + count
        return runs

    def set_behaviour(self, upstream_id: str, **behaviour: Any) -> None:
        """Set fields of the ``Behaviour`` of one upstream."""
        query = "&".join(f"{n}={json.dumps(v)}" for n, v in behaviour.items())
        self._get(upstream_id, f"/_control?{query}")

    def send_excess(self, upstream_id: str) -> None:
        """Send bytes after the responses with the fault ``overlong-late``."""
        self._get(upstream_id, "/_excess")

    def _get(self, upstream_id: str, target: str) -> bytes:
        with socket.create_connection(("127.0.0.1", self.ports[upstream_id]), 5) as sock:
            sock.sendall(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            data = b""
            while b"\r\n\r\n" not in data:
                data += sock.recv(65536)
            head, _, body = data.partition(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            while len(body) < length:
                body += sock.recv(65536)
            return body
