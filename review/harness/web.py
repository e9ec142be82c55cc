"""One HTTP call on a connection of its own."""

from __future__ import annotations

import http.client
import json


def call(
    address: str,
    method: str,
    path: str,
    document: object = None,
    timeout_s: float = 1.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Return status and body of an answer; raise OSError without a complete one in time."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    body = None if document is None else json.dumps(document).encode()
    content = {"Content-Type": "application/json"} if body else {}
    try:
        connection.request(method, path, body, content | (headers or {}))
        response = connection.getresponse()
        return response.status, response.read()
    except http.client.HTTPException as error:
        raise OSError(repr(error)) from error
    finally:
        connection.close()
