"""One HTTP call on a connection of its own."""

from __future__ import annotations

import http.client
import json
import math
import threading


def call(
    address: str,
    method: str,
    path: str,
    document: object = None,
    timeout_s: float = 1.0,
    headers: dict[str, str] | None = None,
    linger_s: float = 0.0,
) -> tuple[int, bytes]:
    """Return status and body of an answer; raise OSError without a complete one in time.

    Without an answer in time, the connection is closed after ``linger_s`` more seconds, as by a
    client that would use it again if a late answer came.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    body = None if document is None else json.dumps(document).encode()
    content = {"Content-Type": "application/json"} if body else {}
    try:
        connection.request(method, path, body, content | (headers or {}))
        response = connection.getresponse()
        return response.status, response.read()
    except TimeoutError:
        if linger_s:
            timer = threading.Timer(linger_s, connection.close)
            timer.daemon = True
            timer.start()
            linger_s = math.inf
        raise
    except http.client.HTTPException as error:
        raise OSError(repr(error)) from error
    finally:
        if linger_s is not math.inf:
            connection.close()
