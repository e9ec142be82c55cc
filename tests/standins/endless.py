"""Upstreams inside the test process that send bytes without end, and what a process holds."""

from __future__ import annotations

import contextlib
import os
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from .scripted import read_arrival

FILLER = b"x" * 65_536
# Time after which a response ends that would otherwise be sent without end, so that a reader
# without a limit fails its test instead of holding it.
GIVE_UP_S = 8.0
_ESTABLISHED_FIELDS = 10

Produce = Callable[[], Iterator[bytes]]


def repeat(data: bytes, give_up_s: float = GIVE_UP_S) -> Iterator[bytes]:
    """Yield the same bytes until the time is over."""
    end = time.monotonic() + give_up_s
    while time.monotonic() < end:
        yield data


def send_endless_line() -> Iterator[bytes]:
    yield from repeat(FILLER)


def send_endless_headers() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\n"
    yield from repeat(b"X-More: 1\r\n" * 1000)


def send_endless_hints() -> Iterator[bytes]:
    yield from repeat(b"HTTP/1.1 100 Continue\r\n\r\n" * 1000)


def send_endless_body() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n"
    yield from repeat(FILLER)


def send_endless_chunks() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    yield from repeat(b"10000\r\n" + FILLER + b"\r\n")


def send_endless_compressed() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
    yield from repeat(b"10000\r\n" + FILLER + b"\r\n")


def send_endless_extension() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;"
    yield from repeat(FILLER)


def send_endless_trailer_line() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Long: "
    yield from repeat(FILLER)


def send_endless_trailers() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    yield from repeat(b"X-More: 1\r\n" * 1000)


def send_ok() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def send_endless_rest() -> Iterator[bytes]:
    """Send a complete response, and more after it."""
    yield from send_ok()
    time.sleep(0.05)
    yield from repeat(FILLER)


ENDLESS = {
    "line": send_endless_line,
    "headers": send_endless_headers,
    "hints": send_endless_hints,
    "body": send_endless_body,
    "chunks": send_endless_chunks,
    "compressed": send_endless_compressed,
    "extension": send_endless_extension,
    "trailer-line": send_endless_trailer_line,
    "trailers": send_endless_trailers,
    "rest": send_endless_rest,
}


def delay(produce: Produce, delay_s: float) -> Produce:
    """Return a response that begins late."""

    def produce_late() -> Iterator[bytes]:
        time.sleep(delay_s)
        yield from produce()

    return produce_late


class EndlessUpstream:
    """Answers each request with the bytes that its target calls for.

    Parameters
    ----------
    responses : dict of callables
        Response by target; the one of the empty target answers any other.
    """

    def __init__(self, responses: dict[str, Produce]) -> None:
        self._responses = responses
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self._listener.getsockname()[1]
        self.sent_bytes = 0
        self.open_connections = 0
        self._gives_up = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def give_up(self) -> None:
        """End all responses."""
        self._gives_up.set()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        self.open_connections += 1
        with sock, sock.makefile("rb") as file, contextlib.suppress(OSError):
            while arrival := read_arrival(file, 0):
                produce = self._responses.get(arrival.target) or self._responses[""]
                for part in produce():
                    sock.sendall(part)
                    self.sent_bytes += len(part)
                    if self._gives_up.is_set():
                        break
                if self._gives_up.is_set():
                    break
        self.open_connections -= 1


class HeldMemory:
    """What a process holds of the machine's memory.

    Attributes
    ----------
    resident : int
        Size of the memory of the process itself, in bytes.
    unread : int
        Size of what has arrived in its sockets and was not read, in bytes.
    files : int
        Size of the deleted files that it has open, in bytes.
    """

    def __init__(self, pid: int) -> None:
        folder = Path(f"/proc/{pid}")
        fields = (folder / "status").read_text().split()
        self.resident = int(fields[fields.index("VmRSS:") + 1]) * 1024
        self.files = 0
        sockets = set()
        for path in (folder / "fd").iterdir():
            with contextlib.suppress(OSError):
                target = os.readlink(path)
                if target.endswith("(deleted)"):
                    self.files += path.stat().st_size
                elif target.startswith("socket:["):
                    sockets.add(target[len("socket:[") : -1])
        self.unread = sum(_list_unread(folder, sockets))

    @property
    def total(self) -> int:
        return self.resident + self.unread + self.files

    def __repr__(self) -> str:
        parts = (f"{n} {getattr(self, n) >> 20}" for n in ("resident", "unread", "files"))
        return f"<{', '.join(parts)} MiB>"


def _list_unread(folder: Path, sockets: set[str]) -> Iterator[int]:
    for line in (folder / "net" / "tcp").read_text().splitlines()[1:]:
        fields = line.split()
        is_listening = fields[3] == "0A"
        if len(fields) >= _ESTABLISHED_FIELDS and fields[9] in sockets and not is_listening:
            yield int(fields[4].split(":")[1], 16)
