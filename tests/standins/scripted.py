"""Upstreams inside the test process whose every byte is determined by a script."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import BinaryIO

REST_TIMEOUT_S = 5.0
# Longer than bytes that were sent before take to arrive.
REST_PAUSE_S = 0.05
ABORT_ON_CLOSE = struct.pack("ii", 1, 0)


class Arrival:
    """A request that an upstream has read.

    Attributes
    ----------
    number : int
        Position of the request among those on its connection; the first is 0.
    """

    def __init__(self, number: int, line: str, headers: dict[str, str], body: bytes) -> None:
        self.number = number
        self.method, self.target = line.split(" ")[:2]
        self.headers = headers
        self.body = body

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


class Script:
    """What an upstream sends for one request.

    Attributes
    ----------
    data : bytes
        Sent at once.
    late : bytes
        Sent when the next request on the connection has arrived, before its response.
    end : str
        How the connection ends after ``data``: ``fin``, ``rst``, or not at all if empty.
    rest : bytes
        Sent after ``data``, once ``rest_after`` is set.
    begun : Event or None
        Set when ``data`` was sent.
    """

    def __init__(
        self,
        data: bytes,
        late: bytes = b"",
        end: str = "",
        rest: bytes = b"",
        rest_after: threading.Event | None = None,
        begun: threading.Event | None = None,
    ) -> None:
        self.data = data
        self.late = late
        self.end = end
        self.rest = rest
        self.rest_after = rest_after
        self.begun = begun


class ScriptedUpstream:
    """Listens on a port of its own and serves each connection in a thread.

    Parameters
    ----------
    write_script : callable
        Returns the script of each request.
    """

    def __init__(self, write_script: Callable[[Arrival], Script]) -> None:
        self._write_script = write_script
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.arrivals: list[Arrival] = []
        self.connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def count_arrivals(self, target: str) -> int:
        return sum(arrival.target == target for arrival in self.arrivals)

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        late, number = b"", 0
        with sock, sock.makefile("rb") as file, contextlib.suppress(OSError):
            while arrival := read_arrival(file, number):
                number += 1
                self.arrivals.append(arrival)
                if late:
                    sock.sendall(late)
                script = self._write_script(arrival)
                sock.sendall(script.data)
                if script.begun is not None:
                    script.begun.set()
                if script.rest_after is not None:
                    script.rest_after.wait(REST_TIMEOUT_S)
                    time.sleep(REST_PAUSE_S)
                    sock.sendall(script.rest)
                late = script.late
                if script.end:
                    end_connection(sock, script.end)
                    return


def read_arrival(file: BinaryIO, number: int) -> Arrival | None:
    """Read one request; return None at the end of the connection."""
    line = file.readline().decode("latin-1").strip()
    if not line:
        return None
    headers = {}
    while text := file.readline().decode("latin-1").strip():
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    body = file.read(int(headers.get("content-length", "0")))
    return Arrival(number, line, headers, body)


def end_connection(sock: socket.socket, how: str) -> None:
    """Close a connection, or reset it."""
    if how == "rst":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT_ON_CLOSE)
    else:
        sock.shutdown(socket.SHUT_WR)
    sock.close()


def build_response(
    status: int, headers: dict[str, str], body: bytes = b"", framing: str = "length"
) -> bytes:
    """Return the bytes of a response; ``framing`` is ``length``, ``chunked`` or ``close``."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{n}: {v}" for n, v in headers.items())]
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    if framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
        parts = [body[start : start + 300] for start in range(0, len(body), 300)]
        chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
        body = b"".join(chunks) + b"0\r\n\r\n"
    return "\r\n".join([*lines, "", ""]).encode() + body
