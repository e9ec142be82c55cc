"""Responses of upstreams, read within limits of time and size."""

from __future__ import annotations

import http.client
import io
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from ..clock import read_clock

MAX_HEAD_BYTES = 262_144
MAX_TRAILER_BYTES = 65_536
MIN_TIMEOUT_S = 0.001


class ResponseTooLargeError(http.client.HTTPException):
    """The head or the trailer of a response exceeds its limit."""


class _BoundedReader(io.RawIOBase):
    """Reads a socket until a deadline.

    Each read of a plain socket waits for the whole timeout again, so that a peer could hold
    its reader for ever by sending a byte now and then.

    Attributes
    ----------
    deadline : float
        Time after which reads fail, in seconds.
    bytes_left : int or None
        Bytes that may still be read; None for any number.
    waits : bool
        Whether a read waits for data.
    """

    def __init__(self, sock: socket.socket, deadline: float) -> None:
        self._sock = sock
        self._file = sock.makefile("rb", buffering=0)
        self.deadline = deadline
        self.bytes_left: int | None = None
        self.waits = True

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if self.bytes_left is not None:
            if self.bytes_left <= 0:
                raise ResponseTooLargeError("the head or the trailer is too large")
            buffer = memoryview(buffer)[: self.bytes_left]
        self._sock.settimeout(self._compute_timeout())
        count = self._file.readinto(buffer)
        if self.bytes_left is not None and count:
            self.bytes_left -= count
        return count

    def _compute_timeout(self) -> float:
        if not self.waits:
            return 0.0
        remaining_s = self.deadline - read_clock()
        if remaining_s <= 0:
            raise TimeoutError("the response did not arrive before the deadline")
        return max(MIN_TIMEOUT_S, remaining_s)

    def close(self) -> None:
        self._file.close()
        super().close()


class BoundedResponse(http.client.HTTPResponse):
    """Response that is read within limits, and detects bytes beyond its declared length.

    Parameters
    ----------
    sock : socket
        Connection that the response arrives on.
    deadline : float
        Time by which the head must have arrived, in seconds.

    Attributes
    ----------
    has_trailing_bytes : bool
        Whether more bytes had arrived when the last byte of the body was read.
    """

    def __init__(self, sock: socket.socket, deadline: float, **options: Any) -> None:
        super().__init__(sock, **options)
        self.fp.close()
        self._reader = _BoundedReader(sock, deadline)
        self.fp = io.BufferedReader(self._reader)
        self.has_trailing_bytes = False

    def begin(self) -> None:
        """Read the status line and the headers."""
        with self._limit_bytes(MAX_HEAD_BYTES):
            super().begin()

    def set_deadline(self, deadline: float) -> None:
        """Set the time by which the rest of the response must have arrived."""
        self._reader.deadline = deadline

    def has_input(self) -> bool:
        """Return whether bytes of the response have arrived, without waiting for any."""
        self._reader.waits = False
        try:
            return bool(self.fp.peek(1))
        finally:
            self._reader.waits = True

    @contextmanager
    def _limit_bytes(self, limit: int) -> Iterator[None]:
        self._reader.bytes_left = limit
        try:
            yield
        finally:
            self._reader.bytes_left = None

    def _read_and_discard_trailer(self) -> None:
        with self._limit_bytes(MAX_TRAILER_BYTES):
            super()._read_and_discard_trailer()

    def _close_conn(self) -> None:
        if self.fp is not None and self.length == 0 and not self.chunked:
            try:
                self.has_trailing_bytes = self.has_input()
            except OSError:
                self.has_trailing_bytes = False
        super()._close_conn()
