"""Stand-in requesters."""

from __future__ import annotations

import http.client
import uuid


class Answer:
    """What a requester saw of one request: ``status`` is 0 without a complete answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, detail: str) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.detail = detail

    @property
    def ok(self) -> bool:
        return 200 <= self.status < 300 and "x-response-signature" in self.headers


class Requester:
    """Sends requests to one front address, on a kept connection."""

    def __init__(self, address: str, host: str) -> None:
        self.address = address
        self.host = host
        self._connection: http.client.HTTPConnection | None = None

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        deadline_ms: int = 1500,
        request_id: str = "",
    ) -> tuple[str, Answer]:
        """Send one request; return its identifier and its answer."""
        request_id = request_id or uuid.uuid4().hex[:16]
        headers = {
            "Host": self.host,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        try:
            if self._connection is None:
                ip, _, port = self.address.rpartition(":")
                self._connection = http.client.HTTPConnection(
                    ip, int(port), timeout=deadline_ms / 1000 + 1.0
                )
            self._connection.request(method, path, body, headers)
            response = self._connection.getresponse()
            data = response.read()
            if response.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            return request_id, Answer(0, {}, b"", repr(error))
        found = {name.lower(): value for name, value in response.getheaders()}
        return request_id, Answer(response.status, found, data, "")

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
