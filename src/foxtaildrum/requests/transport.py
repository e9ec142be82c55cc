"""Seam between the policy and the HTTP library that reaches upstreams."""

from __future__ import annotations

import http.client
import select
import socket
import time
from collections.abc import Callable, Iterator, Mapping
from typing import IO, Protocol

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.util import SKIP_HEADER

from ..kinds import ErrorKind
from ..settings import parse_address

CHUNK_BYTES = 65536
BODYLESS_STATUSES = frozenset({204, 304})
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
PRIVATE_HEADERS = frozenset({"x-upstream-state", "foxtaildrum-attempt"})
CANCEL_POLL_S = 0.05
SILENCE_TIMEOUT_MS = 1000
KEEPALIVE_S = 1
KEEPALIVE_MISSES = 3

_HTTP_ERRORS = (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError)


class TransportError(Exception):
    """A connection to an upstream failed.

    Parameters
    ----------
    kind : ErrorKind
        What the failure means for the request.
    """

    def __init__(self, kind: ErrorKind) -> None:
        super().__init__(kind)
        self.kind = kind


class CancelledError(Exception):
    """The caller left while its answer was read."""


class Head:
    """Status and headers of an upstream's answer.

    Attributes
    ----------
    length : int or None
        Bytes of the body; None for a body whose length is not declared.
    headers : list of tuple
        Headers to relay.
    stated : Mapping
        Every header that the upstream sent.
    """

    __slots__ = ("headers", "length", "reason", "stated", "status")

    def __init__(self, status: int, reason: str, length: int | None) -> None:
        self.status = status
        self.reason = reason
        self.length = length
        self.headers: list[tuple[str, str]] = []
        self.stated: Mapping[str, str] = {}


class OutgoingRequest:
    """A request as it is sent to an upstream.

    Parameters
    ----------
    body : file or None
        Seekable body of ``length`` bytes.
    """

    __slots__ = ("body", "headers", "length", "method", "request_id", "target")

    def __init__(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: IO[bytes] | None,
        length: int,
        request_id: str,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.length = length
        self.request_id = request_id


class Connection(Protocol):
    """What the policy needs of a connection to an upstream."""

    whole: bool

    def send(self, request: OutgoingRequest, timeout_s: float) -> None:
        """Send the whole request; raise :class:`TransportError` on failure."""

    def fileno(self) -> int:
        """Return the file descriptor to wait on for the answer."""

    def read_head(self, timeout_s: float) -> Head:
        """Read the status and headers; raise :class:`TransportError` on failure."""

    def read_body(
        self, until: float, is_cancelled: Callable[[], bool] | None = None
    ) -> Iterator[bytes]:
        """Yield the body; raise :class:`TransportError` if it is not whole.

        Parameters
        ----------
        until : float
            Time by which the whole body must have arrived, in seconds.
        is_cancelled : callable or None
            Asked while the upstream is silent; :class:`CancelledError` follows.
        """

    def close(self) -> None:
        """Close the connection, which cancels the work of the upstream."""


Adapter = Callable[[str, float], Connection]

_ADAPTERS: dict[str, Adapter] = {}


def register_adapter(scheme: str) -> Callable[[Adapter], Adapter]:
    """Register the decorated function as the adapter of ``scheme``."""

    def register(function: Adapter) -> Adapter:
        _ADAPTERS[scheme] = function
        return function

    return register


def get_adapter(scheme: str) -> Adapter:
    """Return the adapter registered for ``scheme``."""
    return _ADAPTERS[scheme]


def has_input(fileno: int) -> bool:
    """Return whether a socket has bytes or an end of file to read."""
    poll = select.poll()
    poll.register(fileno, select.POLLIN)
    return bool(poll.poll(0))


class _BodyResponse(http.client.HTTPResponse):
    """Answer that notices bytes beyond its declared length."""

    has_excess = False

    def _close_conn(self) -> None:
        if self.fp is not None and self.length == 0 and not self.chunked:
            self.has_excess = self._find_excess()
        super()._close_conn()

    def _find_excess(self) -> bool:
        raw = getattr(self.fp, "raw", None)
        sock = getattr(raw, "_sock", None)
        if sock is None:
            return False
        timeout = sock.gettimeout()
        sock.settimeout(0)
        try:
            return bool(self.fp.peek(1))
        except OSError:
            return False
        finally:
            sock.settimeout(timeout)


class _BodyConnection(HTTPConnection):
    response_class = _BodyResponse

    def getresponse(self) -> _BodyResponse:
        # The answer is relayed as it is: decoding, redirects and retries, which the
        # wrapper of the library would prepare for, cost a tenth of the processor time.
        self.sock.settimeout(self.timeout)
        return http.client.HTTPConnection.getresponse(self)


class Urllib3Connection:
    """Connection to an upstream through urllib3.

    Raises
    ------
    TransportError
        When the connection cannot be opened.
    """

    __slots__ = (
        "_connection",
        "_method",
        "_response",
        "_sock",
        "accepts_excess",
        "accepts_unframed",
        "whole",
    )

    def __init__(self, address: str, timeout_s: float) -> None:
        host, port = parse_address(address)
        self._connection = _BodyConnection(host, port, timeout=timeout_s)
        self._method = ""
        self._response: _BodyResponse | None = None
        self.whole = False
        self.accepts_excess = False
        self.accepts_unframed = False
        try:
            self._connection.connect()
        except _HTTP_ERRORS as error:
            raise TransportError(ErrorKind.CONNECT_FAILED) from error
        self._sock = self._connection.sock
        _watch_silence(self._sock)

    def send(self, request: OutgoingRequest, timeout_s: float) -> None:
        """Send the whole request; raise :class:`TransportError` on failure."""
        self.whole = False
        self._method = request.method
        self._connection.timeout = timeout_s
        headers = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
        headers |= request.headers
        if request.body is not None:
            request.body.seek(0)
            headers["Content-Length"] = str(request.length)
        try:
            self._connection.request(
                request.method,
                request.target,
                body=request.body if request.length else None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
        except _HTTP_ERRORS as error:
            # An upstream may answer and close before it has read the whole body.
            if not self._has_early_answer():
                raise TransportError(ErrorKind.ANSWER_LOST) from error

    def fileno(self) -> int:
        """Return the file descriptor to wait on for the answer."""
        return self._connection.sock.fileno()

    def read_head(self, timeout_s: float) -> Head:
        """Read the status and headers; raise :class:`TransportError` on failure."""
        self._connection.timeout = max(timeout_s, 0.001)
        try:
            self._response = self._connection.getresponse()
        except (http.client.RemoteDisconnected, OSError) as error:
            raise TransportError(ErrorKind.ANSWER_LOST) from error
        except _HTTP_ERRORS as error:
            raise TransportError(ErrorKind.ANSWER_INVALID) from error
        return self._build_head(self._response)

    def read_body(
        self, until: float, is_cancelled: Callable[[], bool] | None = None
    ) -> Iterator[bytes]:
        """Yield the body; raise :class:`TransportError` if it is not whole."""
        response = self._response
        try:
            if response.chunked:
                yield from self._read_chunks(response, until, is_cancelled)
            else:
                yield from self._read_sized(response, until, is_cancelled)
        except _HTTP_ERRORS as error:
            raise TransportError(ErrorKind.ANSWER_LOST) from error
        self.whole = self._connection.sock is not None and not response.has_excess

    def close(self) -> None:
        """Close the connection, which cancels the work of the upstream."""
        self._connection.close()
        if self._response is not None:
            self._response.close()

    def _read_chunks(
        self, response: _BodyResponse, until: float, is_cancelled: Callable[[], bool] | None
    ) -> Iterator[bytes]:
        while True:
            self._wait_for_input(response, until, is_cancelled)
            chunk = response.read1(CHUNK_BYTES)
            if not chunk:
                return
            yield chunk

    def _read_sized(
        self, response: _BodyResponse, until: float, is_cancelled: Callable[[], bool] | None
    ) -> Iterator[bytes]:
        # The last chunk is held back until the length has been verified.
        held = b""
        while not response.isclosed():
            self._wait_for_input(response, until, is_cancelled)
            chunk = response.read1(CHUNK_BYTES)
            if not chunk:
                break
            if held:
                yield held
            held = chunk
        if response.length == 0 and not response.isclosed():
            response.read()
        if response.length or (response.has_excess and not self.accepts_excess):
            raise TransportError(ErrorKind.ANSWER_LOST)
        if held:
            yield held

    def _wait_for_input(
        self, response: _BodyResponse, until: float, is_cancelled: Callable[[], bool] | None
    ) -> None:
        """Wait until the answer can be read on, or raise."""
        if response.fp is None or response.length == 0:
            return
        self._sock.settimeout(0)
        try:
            if response.fp.peek(1):
                return
        finally:
            self._sock.settimeout(max(0.001, until - read_clock()))
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        while not poll.poll(CANCEL_POLL_S * 1000):
            if is_cancelled is not None and is_cancelled():
                raise CancelledError
            if read_clock() >= until:
                raise TimeoutError("the body did not arrive in time")

    def _has_early_answer(self) -> bool:
        sock = self._connection.sock
        if sock is None or not has_input(sock.fileno()):
            return False
        try:
            return bool(sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _build_head(self, response: _BodyResponse) -> Head:
        length = self._find_length(response)
        head = Head(response.status, response.reason or "", length)
        nominated = _list_nominated(response.headers.get("Connection", ""))
        for name, value in response.headers.items():
            lowered = name.lower()
            if lowered in HOP_BY_HOP or lowered in nominated or lowered in PRIVATE_HEADERS:
                continue
            head.headers.append((name, value))
        head.stated = response.headers
        return head

    def _find_length(self, response: _BodyResponse) -> int | None:
        if response.status < 200 or response.msg.defects:
            raise TransportError(ErrorKind.ANSWER_INVALID)
        bodyless = self._method == "HEAD" or response.status in BODYLESS_STATUSES
        encoding = _join_values(response, "Transfer-Encoding").lower()
        declared = _join_values(response, "Content-Length")
        if encoding and (encoding != "chunked" or declared):
            raise TransportError(ErrorKind.ANSWER_INVALID)
        if declared and not (declared.isascii() and declared.isdigit()):
            raise TransportError(ErrorKind.ANSWER_INVALID)
        if bodyless:
            return 0
        if encoding:
            return None
        if not declared:
            # Without a length only a reset of the connection tells a truncated answer.
            if not self.accepts_unframed:
                raise TransportError(ErrorKind.ANSWER_INVALID)
            return None
        return int(declared)


@register_adapter("http")
def open_http(address: str, timeout_s: float) -> Urllib3Connection:
    """Open an HTTP connection to ``address``."""
    return Urllib3Connection(address, timeout_s)


def read_clock() -> float:
    """Return the present time of the instance in seconds, pauses included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _watch_silence(sock: socket.socket) -> None:
    """Let the operating system end a connection whose other side is silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_MISSES)


def _join_values(response: _BodyResponse, name: str) -> str:
    return ", ".join(response.headers.get_all(name, ())).strip()


def _list_nominated(connection: str) -> frozenset[str]:
    if not connection:
        return frozenset()
    return frozenset(token.strip().lower() for token in connection.split(","))
