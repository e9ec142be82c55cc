"""Stand-in requesters."""

from __future__ import annotations

import http.client
import time
import uuid

from .web import call


class Sent:
    """A request that was sent, and its answer: status 0 without a complete one."""

    def __init__(self, request_id: str, at: float) -> None:
        self.request_id = request_id
        self.at = at
        self.status = 0


def build_fields(sent: Sent, host: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a request."""
    return {
        "Host": host,
        "X-Request-Id": sent.request_id,
        "X-Deadline-Ms": str(deadline_ms),
    }


def send_request(
    front: str,
    method: str,
    host: str,
    path: str,
    deadline_ms: int = 1500,
    headers: dict[str, str] | None = None,
) -> Sent:
    """Send one request on a connection of its own, and wait for its answer."""
    sent = Sent(uuid.uuid4().hex[:16], time.monotonic())
    fields = build_fields(sent, host, deadline_ms) | (headers or {})
    try:
        sent.status, _ = call(front, method, path, None, deadline_ms / 1000 + 0.5, fields)
    except OSError:
        sent.status = 0
    return sent


class KeptConnection:
    """A requester with one connection that it keeps for many requests."""

    def __init__(self, front: str) -> None:
        host, _, port = front.rpartition(":")
        self._connection = http.client.HTTPConnection(host, int(port), timeout=2.0)

    def send(
        self,
        method: str,
        host: str,
        path: str,
        deadline_ms: int = 1500,
        headers: dict[str, str] | None = None,
    ) -> Sent:
        """Send one request, and wait for its answer."""
        sent = Sent(uuid.uuid4().hex[:16], time.monotonic())
        fields = build_fields(sent, host, deadline_ms) | (headers or {})
        try:
            self._connection.request(method, path, None, fields)
            response = self._connection.getresponse()
            response.read()
            sent.status = response.status
        except (OSError, http.client.HTTPException):
            self._connection.close()
        return sent

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()
