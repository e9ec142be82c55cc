"""Responses of upstreams that send bytes without end, or hardly any."""

from __future__ import annotations

import resource
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from foxtaildrum.clock import read_clock
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.requests import responses
from foxtaildrum.requests.transport import (
    CancelledError,
    OutgoingRequest,
    TransportError,
    open_http,
)

# Time after which an upstream ends a response that it would otherwise send without end, so
# that a reader without a limit fails its test instead of holding it.
GIVE_UP_S = 6.0
READ_TIMEOUT_S = 0.4
FILLER = b"x" * 16_384
MAX_GROWTH_KIB = 65_536


def repeat(data: bytes, pause_s: float = 0.0) -> Iterator[bytes]:
    end = time.monotonic() + GIVE_UP_S
    while time.monotonic() < end:
        yield data
        time.sleep(pause_s)


def send_slow_head() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Slow: "
    yield from repeat(b"x", 0.05)
    yield b"\r\n\r\n"


def send_endless_headers() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\n"
    yield from repeat(b"X-More: 1\r\n")
    yield b"Content-Length: 0\r\n\r\n"


def send_endless_hints() -> Iterator[bytes]:
    yield from repeat(b"HTTP/1.1 100 Continue\r\n\r\n")
    yield b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def send_endless_bytes() -> Iterator[bytes]:
    yield from repeat(FILLER)


def send_endless_extension() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;"
    yield from repeat(FILLER)


def send_endless_chunks() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    yield from repeat(b"4000\r\n" + FILLER + b"\r\n")
    yield b"0\r\n\r\n"


def send_endless_trailer() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    yield from repeat(b"X-More: 1\r\n")
    yield b"\r\n"


def send_slow_body() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
    yield from repeat(b"x", 0.05)


def send_slow_chunk_size() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    yield from repeat(b"0", 0.05)
    yield b"1\r\nx\r\n0\r\n\r\n"


class Troublemaker:
    """Upstream that sends the bytes of ``produce`` after the head of one request."""

    def __init__(self, produce: Callable[[], Iterator[bytes]]) -> None:
        self._produce = produce
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.closed_by_peer = threading.Event()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def _serve(self) -> None:
        sock, _ = self._listener.accept()
        with sock:
            sock.recv(65536)
            try:
                for part in self._produce():
                    sock.sendall(part)
            except OSError:
                self.closed_by_peer.set()

    def close(self) -> None:
        self._listener.close()


@pytest.fixture
def start_upstream():
    upstreams = []

    def start(produce: Callable[[], Iterator[bytes]]) -> Troublemaker:
        upstreams.append(Troublemaker(produce))
        return upstreams[-1]

    yield start
    for upstream in upstreams:
        upstream.close()


def request_from(upstream: Troublemaker):
    connection = open_http(upstream.address, 1.0)
    request = OutgoingRequest("GET", "/", {"Host": "x"}, None, 0, "id")
    connection.send(request, 1.0)
    return connection


@pytest.mark.parametrize(
    "produce", [send_slow_head, send_endless_headers, send_endless_hints, send_endless_bytes]
)
def test_a_head_without_end_is_given_up(start_upstream, produce):
    upstream = start_upstream(produce)
    connection = request_from(upstream)
    with pytest.raises(TransportError):
        connection.read_head(READ_TIMEOUT_S)
    connection.close()
    assert upstream.closed_by_peer.wait(GIVE_UP_S)


@pytest.mark.parametrize(
    "produce",
    [
        send_endless_extension,
        send_endless_chunks,
        send_endless_trailer,
        send_slow_body,
        send_slow_chunk_size,
    ],
)
def test_a_body_without_end_is_given_up_and_not_kept(start_upstream, produce):
    upstream = start_upstream(produce)
    connection = request_from(upstream)
    connection.read_head(1.0)
    before_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    with pytest.raises(TransportError) as caught:
        for _ in connection.read_body(read_clock() + READ_TIMEOUT_S):
            continue
    assert caught.value.kind is ErrorKind.ANSWER_LOST
    assert not connection.reusable
    connection.close()
    assert upstream.closed_by_peer.wait(GIVE_UP_S)
    assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kib < MAX_GROWTH_KIB


def test_a_caller_that_left_ends_a_body_that_always_has_more_bytes(start_upstream):
    connection = request_from(start_upstream(send_endless_chunks))
    connection.read_head(1.0)
    with pytest.raises(CancelledError):
        for _ in connection.read_body(read_clock() + GIVE_UP_S, lambda: True):
            continue
    connection.close()


def test_the_size_of_a_head_is_limited(start_upstream, monkeypatch):
    monkeypatch.setattr(responses, "MAX_HEAD_BYTES", 1000)

    def send_large_head() -> Iterator[bytes]:
        yield b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Large: " + b"x" * 2000 + b"\r\n\r\n"

    with pytest.raises(TransportError) as caught:
        request_from(start_upstream(send_large_head)).read_head(1.0)
    assert caught.value.kind is ErrorKind.ANSWER_INVALID
