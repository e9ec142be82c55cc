"""An instance inside the test process, with stand-in upstreams in processes of their own."""

from __future__ import annotations

import contextlib
import http.client
import tomllib
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

from foxtaildrum.admin.client import AdminClient
from foxtaildrum.exceptions import AdminRequestError
from foxtaildrum.instance import Instance
from foxtaildrum.records import Settings

from .standins.processes import UpstreamProcess, pick_port, wait_until

MATRIX_PATH = Path(__file__).parent / "matrix_request.toml"
LONG_LEASE_S = 600
MAX_BODY_BYTES = 4 * 1024 * 1024


def load_cases() -> list[dict[str, Any]]:
    """Return the cases of the request matrix."""
    return tomllib.loads(MATRIX_PATH.read_text())["cases"]


class Reply:
    """The response that a caller received; status 0 when it was not complete."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def outcome(self) -> str:
        return self.headers.get("foxtaildrum-outcome", "")


class Site:
    """A single instance; the test adds the pools, routes and upstreams."""

    def __init__(self, folder: Path, **settings: Any) -> None:
        self.folder = folder
        defaults = {
            "listen": "127.0.0.1:0",
            "admin_listen": "127.0.0.1:0",
            "data_dir": str(folder / "state"),
            "access_log": False,
            "unready_s": 0,
            "threads": 32,
            "max_body_bytes": MAX_BODY_BYTES,
        }
        self.instance = Instance.from_settings(Settings(**{**defaults, **settings}))
        self.instance.start()
        self.client = AdminClient(self.instance.admin_server.address)
        self.upstreams: dict[str, UpstreamProcess] = {}
        assert wait_until(self.client.is_ready)

    def apply(self, name: str, rows: list[dict[str, Any]]) -> None:
        _, version = self.client.get_table(name)
        self.client.put_table(name, rows, version, uuid.uuid4().hex)

    def add_upstreams(self, pool: str, count: int, **behaviour: Any) -> UpstreamProcess:
        process = UpstreamProcess(self.folder, pool, count, [], behaviour=behaviour)
        self.upstreams[pool] = process
        for upstream_id, port in process.ports.items():
            self.announce(upstream_id, pool, port)
        return process

    def announce(self, upstream_id: str, pool: str, port: int, **fields: Any) -> None:
        document = {
            "pool": pool,
            "address": f"127.0.0.1:{port}",
            "slots": 6,
            "incarnation": 1,
            "lease_s": LONG_LEASE_S,
        }
        self.client.announce(upstream_id, {**document, **fields})

    def announce_unreachable(self, upstream_id: str, pool: str) -> None:
        """Announce an upstream whose port refuses connections."""
        self.announce(upstream_id, pool, pick_port())

    def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = 10.0,
    ) -> Reply:
        host, port = self.instance.caller_server.address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            connection.request(method, target, body=body, headers=headers or {})
            return _read_reply(connection)
        finally:
            connection.close()

    def send_and_disconnect(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        has_arrived: Callable[[], bool],
    ) -> None:
        """Send a request and close the connection as soon as ``has_arrived`` returns true."""
        host, port = self.instance.caller_server.address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request(method, target, headers=headers)
        assert wait_until(has_arrived)
        connection.close()

    def close(self) -> None:
        self.instance.close()
        for process in self.upstreams.values():
            process.kill()


@contextlib.contextmanager
def open_site(folder: Path, **settings: Any):
    """Yield a running site and close it afterwards."""
    site = Site(folder, **settings)
    try:
        yield site
    finally:
        site.close()


def _read_reply(connection: http.client.HTTPConnection) -> Reply:
    try:
        response = connection.getresponse()
        body = response.read()
    except (http.client.HTTPException, ConnectionError):
        return Reply(0, {}, b"")
    headers = {name.lower(): value for name, value in response.getheaders()}
    return Reply(response.status, headers, body)


__all__ = ["AdminRequestError", "Reply", "Site", "load_cases", "open_site"]
