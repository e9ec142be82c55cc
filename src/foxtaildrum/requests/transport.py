"""Connections to upstreams: the interface for the request path, and urllib3 behind it."""

from __future__ import annotations

import http.client
import select
import socket
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from functools import partial
from typing import IO, Protocol

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.util import SKIP_HEADER

from ..clock import read_clock
from ..kinds import ErrorKind
from ..settings import ADDRESS_ERRORS, parse_address
from .heads import MalformedHeadError
from .responses import BoundedResponse, ResponseTooLargeError

CHUNK_BYTES = 65536
BODYLESS_STATUSES = frozenset({204, 304})
HOP_BY_HOP_HEADERS = frozenset(
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
INTERNAL_HEADERS = frozenset(
    {"x-upstream-state", "foxtaildrum-attempt", "foxtaildrum-forward-result"}
)
CANCEL_POLL_S = 0.05
TCP_USER_TIMEOUT_MS = 1000
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_MAX_PROBES = 3
MAX_REFUSAL_CHECKS = 3
LISTENER_CLOSE_TIMEOUT_S = 0.02
MAX_LENGTH_DIGITS = 18
# Later requests whose responses have matched show that no late copy is due any more.
MAX_CARRIED_IDS = 32

# Longest body of a response to a status check or a probe, of which only the head is used.
MAX_UNUSED_BODY_BYTES = 65_536

# Why a response is refused, for the log.
ANSWER_TOO_LARGE = "answer_too_large"
BODY_CUT = "body_cut"
BYTES_BEYOND = "bytes_beyond"
HEAD_MALFORMED = "head_malformed"
LENGTH_UNCLEAR = "length_unclear"

_HTTP_ERRORS = (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError)
_CONNECT_ERRORS = (*_HTTP_ERRORS, *ADDRESS_ERRORS)


class TransportError(Exception):
    """A connection to an upstream failed.

    Parameters
    ----------
    kind : ErrorKind
        Error kind that the failure causes for the request.
    timed_out : bool
        Whether nothing was heard from the upstream in time.
    reason : str
        Why a response was refused, for the log; empty if the cause says it.
    """

    def __init__(self, kind: ErrorKind, timed_out: bool = False, reason: str = "") -> None:
        super().__init__(kind)
        self.kind = kind
        self.timed_out = timed_out
        self._reason = reason

    @property
    def reason(self) -> str:
        """Why the connection failed, for the log."""
        return self._reason or repr(self.__cause__)


class CancelledError(Exception):
    """The caller disconnected while the response was being read."""


class Head:
    """Status and headers of an upstream's response.

    Attributes
    ----------
    length : int or None
        Length of the body in bytes; None if it is not declared.
    headers : list of tuple
        Headers to relay to the caller.
    all_headers : Mapping
        All headers that the upstream sent.
    """

    __slots__ = ("all_headers", "headers", "length", "reason", "status")

    def __init__(self, status: int, reason: str, length: int | None) -> None:
        self.status = status
        self.reason = reason
        self.length = length
        self.headers: list[tuple[str, str]] = []
        self.all_headers: Mapping[str, str] = {}


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
    """Connection to an upstream, as the request path uses it.

    Attributes
    ----------
    reusable : bool
        Whether the last request was sent and its response read completely, no bytes
        followed it and the connection is still open.
    states_response_id : bool
        Whether a response on this connection stated the identifier of its attempt or request.
    """

    reusable: bool
    states_response_id: bool

    def has_carried(self, request_id: str) -> bool:
        """Return whether a late copy of an answer to this request may still arrive here."""

    def send(self, request: OutgoingRequest, timeout_s: float) -> None:
        """Send the whole request; raise :class:`TransportError` on failure."""

    def fileno(self) -> int:
        """Return the file descriptor to poll for the response."""

    def read_head(self, timeout_s: float) -> Head:
        """Read the status and headers; raise :class:`TransportError` on failure."""

    def read_body(
        self, deadline: float, is_cancelled: Callable[[], bool] | None = None
    ) -> Iterator[bytes]:
        """Yield the body; raise :class:`TransportError` if it is incomplete.

        Parameters
        ----------
        deadline : float
            Time by which the whole body must have arrived, in seconds.
        is_cancelled : callable or None
            Polled while no data arrives; :class:`CancelledError` is raised once it
            returns True.
        """

    def close(self) -> None:
        """Close the connection, which cancels the work of the upstream."""


Adapter = Callable[[str, float], Connection]

_ADAPTERS: dict[str, Adapter] = {}


def register_adapter(scheme: str) -> Callable[[Adapter], Adapter]:
    """Register the decorated function to open connections for ``scheme``."""

    def register(function: Adapter) -> Adapter:
        _ADAPTERS[scheme] = function
        return function

    return register


def get_adapter(scheme: str) -> Adapter:
    """Return the function that opens connections for ``scheme``."""
    return _ADAPTERS[scheme]


def has_input(fileno: int) -> bool:
    """Return whether a socket is readable: data or the end of the stream has arrived."""
    return _has_input_within(fileno, 0.0)


def _has_input_within(fileno: int, timeout_s: float) -> bool:
    poll = select.poll()
    poll.register(fileno, select.POLLIN)
    return bool(poll.poll(timeout_s * 1000))


def refuses_connections(address: str, timeout_s: float) -> bool:
    """Return whether nothing listens at an address; False if that is not known in time.

    The connections of a process that ends may be closed before its listener is, which then
    accepts one more connection and closes it. So a connection that is closed at once does not
    show that the process lives.
    """
    for _ in range(MAX_REFUSAL_CHECKS):
        try:
            sock = socket.create_connection(parse_address(address), timeout_s)
        except ConnectionRefusedError:
            return True
        except ConnectionResetError:
            continue
        except _CONNECT_ERRORS:
            return False
        with sock:
            if not _has_input_within(sock.fileno(), LISTENER_CLOSE_TIMEOUT_S):
                return False
    return False


def discard_body(connection: Connection, deadline: float) -> None:
    """Read a body of which nothing is used.

    Raises
    ------
    TransportError
        If the body is incomplete, or longer than ``MAX_UNUSED_BODY_BYTES``.
    """
    size = 0
    for part in connection.read_body(deadline):
        size += len(part)
        if size > MAX_UNUSED_BODY_BYTES:
            raise TransportError(ErrorKind.ANSWER_INVALID, reason=ANSWER_TOO_LARGE)


class _UpstreamHTTPConnection(HTTPConnection):
    """Connection whose response is relayed unchanged.

    Decoding, redirects and retries, which the response wrapper of urllib3 prepares for, would
    cost a tenth of the CPU time.
    """

    head_deadline = 0.0

    def getresponse(self) -> BoundedResponse:
        self.response_class = partial(BoundedResponse, deadline=self.head_deadline)
        return http.client.HTTPConnection.getresponse(self)


class Urllib3Connection:
    """Connection to an upstream, implemented with urllib3.

    Raises
    ------
    TransportError
        If the connection cannot be opened.
    """

    __slots__ = (
        "_carried_ids",
        "_connection",
        "_is_sent",
        "_method",
        "_response",
        "_sock",
        "accepts_close_delimited",
        "accepts_trailing_bytes",
        "reusable",
        "states_response_id",
    )

    def __init__(self, address: str, timeout_s: float) -> None:
        # Hashes take less memory than identifiers.
        self._carried_ids: deque[int] = deque(maxlen=MAX_CARRIED_IDS)
        self._method = ""
        self._is_sent = False
        self._response: BoundedResponse | None = None
        self.reusable = False
        self.states_response_id = False
        self.accepts_trailing_bytes = False
        self.accepts_close_delimited = False
        try:
            host, port = parse_address(address)
            self._connection = _UpstreamHTTPConnection(host, port, timeout=timeout_s)
            self._connection.connect()
        except _CONNECT_ERRORS as error:
            timed_out = isinstance(error, urllib3.exceptions.ConnectTimeoutError)
            raise TransportError(ErrorKind.CONNECT_FAILED, timed_out) from error
        self._sock = self._connection.sock
        _configure_socket(self._sock)

    def has_carried(self, request_id: str) -> bool:
        """Return whether a late copy of an answer to this request may still arrive here."""
        return hash(request_id) in self._carried_ids

    def send(self, request: OutgoingRequest, timeout_s: float) -> None:
        """Send the whole request; raise :class:`TransportError` on failure."""
        if request.request_id:
            self._carried_ids.append(hash(request.request_id))
        self.reusable = self._is_sent = False
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
        except (*_HTTP_ERRORS, ValueError) as error:
            # An upstream may respond and close the connection before it has read the
            # whole body, so a response that already arrived is still used.
            if not self._has_early_response():
                raise TransportError(ErrorKind.ANSWER_LOST) from error
            return
        self._is_sent = True

    def fileno(self) -> int:
        """Return the file descriptor to poll for the response."""
        return self._connection.sock.fileno()

    def read_head(self, timeout_s: float) -> Head:
        """Read the status and headers; raise :class:`TransportError` on failure."""
        self._connection.head_deadline = read_clock() + timeout_s
        try:
            self._response = self._connection.getresponse()
        except OSError as error:
            raise TransportError(ErrorKind.ANSWER_LOST) from error
        except MalformedHeadError as error:
            raise TransportError(ErrorKind.ANSWER_INVALID, reason=HEAD_MALFORMED) from error
        except _HTTP_ERRORS as error:
            is_too_large = isinstance(error, ResponseTooLargeError | http.client.LineTooLong)
            reason = ANSWER_TOO_LARGE if is_too_large else ""
            raise TransportError(ErrorKind.ANSWER_INVALID, reason=reason) from error
        return self._build_head(self._response)

    def read_body(
        self, deadline: float, is_cancelled: Callable[[], bool] | None = None
    ) -> Iterator[bytes]:
        """Yield the body; raise :class:`TransportError` if it is incomplete."""
        response = self._response
        response.set_deadline(deadline)
        try:
            if response.chunked and response.awaits_body:
                yield from self._read_chunks(response, deadline, is_cancelled)
            else:
                yield from self._read_sized(response, deadline, is_cancelled)
        except _HTTP_ERRORS as error:
            raise TransportError(ErrorKind.ANSWER_LOST) from error
        # An upstream may still read the rest of a request that was not sent to its end.
        self.reusable = (
            self._is_sent
            and self._connection.sock is not None
            and not response.has_trailing_bytes
        )

    def close(self) -> None:
        """Close the connection, which cancels the work of the upstream."""
        self._connection.close()
        if self._response is not None:
            self._response.close()

    def _read_chunks(
        self,
        response: BoundedResponse,
        deadline: float,
        is_cancelled: Callable[[], bool] | None,
    ) -> Iterator[bytes]:
        while True:
            self._wait_for_input(response, deadline, is_cancelled)
            chunk = response.read1(CHUNK_BYTES)
            if not chunk:
                return
            yield chunk

    def _read_sized(
        self,
        response: BoundedResponse,
        deadline: float,
        is_cancelled: Callable[[], bool] | None,
    ) -> Iterator[bytes]:
        # The last chunk is held back until the length of the body has been verified.
        held_chunk = b""
        while not response.isclosed():
            self._wait_for_input(response, deadline, is_cancelled)
            chunk = response.read1(CHUNK_BYTES)
            if not chunk:
                break
            if held_chunk:
                yield held_chunk
            held_chunk = chunk
        if not response.awaits_body:
            response.end()
        if response.length:
            raise TransportError(ErrorKind.ANSWER_LOST, reason=BODY_CUT)
        if response.has_trailing_bytes and not self.accepts_trailing_bytes:
            raise TransportError(ErrorKind.ANSWER_LOST, reason=BYTES_BEYOND)
        if held_chunk:
            yield held_chunk

    def _wait_for_input(
        self,
        response: BoundedResponse,
        deadline: float,
        is_cancelled: Callable[[], bool] | None,
    ) -> None:
        """Wait until more of the response can be read, or raise."""
        if response.fp is None or response.length == 0:
            return
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        arrived = response.has_input()
        while True:
            # Checked also while bytes wait: an upstream may send without end.
            if is_cancelled is not None and is_cancelled():
                raise CancelledError
            if read_clock() >= deadline:
                raise TimeoutError("the response body did not arrive before the deadline")
            if arrived or poll.poll(CANCEL_POLL_S * 1000):
                return

    def _has_early_response(self) -> bool:
        sock = self._connection.sock
        if sock is None or not has_input(sock.fileno()):
            return False
        try:
            return bool(sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _build_head(self, response: BoundedResponse) -> Head:
        length = self._parse_body_length(response)
        head = Head(response.status, response.reason or "", length)
        connection_options = _parse_connection_options(response.headers.get("Connection", ""))
        for name, value in response.headers.items():
            lowered = name.lower()
            if (
                lowered in HOP_BY_HOP_HEADERS
                or lowered in connection_options
                or lowered in INTERNAL_HEADERS
            ):
                continue
            head.headers.append((name, value))
        head.all_headers = response.headers
        return head

    def _parse_body_length(self, response: BoundedResponse) -> int | None:
        if response.status < 200 or response.msg.defects:
            raise TransportError(ErrorKind.ANSWER_INVALID, reason=HEAD_MALFORMED)
        has_no_body = self._method == "HEAD" or response.status in BODYLESS_STATUSES
        transfer_encoding = _join_header_values(response, "Transfer-Encoding").lower()
        content_length = _join_header_values(response, "Content-Length")
        is_chunked = transfer_encoding == "chunked" and response.chunked
        if transfer_encoding and (not is_chunked or content_length):
            raise TransportError(ErrorKind.ANSWER_INVALID, reason=LENGTH_UNCLEAR)
        if "Content-Length" in response.headers and not _is_length(content_length):
            raise TransportError(ErrorKind.ANSWER_INVALID, reason=LENGTH_UNCLEAR)
        if has_no_body:
            return 0
        if transfer_encoding:
            return None
        if not content_length:
            # Without a declared length, a truncated response is only detected if the
            # connection is reset, which the failed send of a request may have reported.
            if not (self.accepts_close_delimited and self._is_sent):
                raise TransportError(ErrorKind.ANSWER_INVALID, reason=LENGTH_UNCLEAR)
            return None
        return int(content_length)


@register_adapter("http")
def open_http(address: str, timeout_s: float) -> Urllib3Connection:
    """Open an HTTP connection to ``address``."""
    return Urllib3Connection(address, timeout_s)


def _configure_socket(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and let the kernel close a connection to a silent peer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_MAX_PROBES)


def _join_header_values(response: BoundedResponse, name: str) -> str:
    return ", ".join(response.headers.get_all(name, ())).strip(" \t")


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS


def _parse_connection_options(connection: str) -> frozenset[str]:
    if not connection:
        return frozenset()
    return frozenset(token.strip().lower() for token in connection.split(","))
