"""Responses of upstreams, read within limits of time and size."""

from __future__ import annotations

import http.client
import io
import re
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from ..clock import read_clock
from .heads import clean_field_line, join_continued_fields, parse_status_line

MAX_HEAD_BYTES = 262_144
MAX_TRAILER_BYTES = 65_536
MIN_TIMEOUT_S = 0.001
MAX_LINE_BYTES = 65_536

_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(;[^\n]*)?\r?\n")
_CHUNK_END = b"\r\n"


class ResponseTooLargeError(http.client.HTTPException):
    """The head or the trailer of a response exceeds its limit."""


class CutOffError(ConnectionResetError):
    """The connection ended inside the head, the trailer or the size of a chunk."""


class MalformedChunkError(http.client.HTTPException):
    """A chunk of a body has no valid size, or does not end where its size says."""


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


class _LineReader(io.BufferedReader):
    """Reads lines that are complete.

    http.client takes the end of the connection for the end of the head or the trailer.

    Attributes
    ----------
    in_fields : bool
        Whether the lines belong to the header section, and are checked.
    has_continued_field : bool
        Whether a header went on in a second line.
    """

    _has_line = False
    in_fields = False
    has_continued_field = False

    def readline(self, size: int = -1) -> bytes:
        """Return one line with its end, or the first ``size`` bytes of a longer one."""
        line = super().readline(size)
        if not line and not self._has_line:
            # The connection ended before the response began, which http.client reports.
            return line
        self._has_line = True
        if not line.endswith(b"\n") and (size < 0 or len(line) < size):
            raise CutOffError(f"the connection ended after {line[-40:]!r}")
        if self.in_fields and line.endswith(b"\n"):
            self.has_continued_field |= line.startswith((b" ", b"\t"))
            return clean_field_line(line)
        return line


class BoundedResponse(http.client.HTTPResponse):
    """Response that is read within limits, and detects bytes beyond its end.

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
        self.fp = _LineReader(self._reader)
        self._has_last_chunk = False
        self.has_trailing_bytes = False

    def begin(self) -> None:
        """Read the status line and the headers."""
        lines = self.fp
        with self._limit_bytes(MAX_HEAD_BYTES):
            super().begin()
        lines.in_fields = False
        if lines.has_continued_field:
            join_continued_fields(self.headers)

    def _read_status(self) -> tuple[str, int, str]:
        self.fp.in_fields = False
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        if not line:
            raise http.client.RemoteDisconnected("the connection ended without a response")
        if len(line) > MAX_LINE_BYTES:
            raise ResponseTooLargeError("the status line is too large")
        self.fp.in_fields = True
        return parse_status_line(line)

    @property
    def awaits_body(self) -> bool:
        """Whether more of the body is due; a response to HEAD has none."""
        return self.length != 0

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

    def end(self) -> None:
        """End a response whose body was read completely."""
        if not self.isclosed():
            self._close_conn()

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of the current or the next chunk; None after the last one."""
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left is not None and self._safe_read(len(_CHUNK_END)) != _CHUNK_END:
            raise MalformedChunkError("a chunk is longer than its size")
        self.chunk_left = self._read_chunk_size()
        if self.chunk_left == 0:
            self._read_and_discard_trailer()
            self._has_last_chunk = True
            self._close_conn()
            self.chunk_left = None
        return self.chunk_left

    def _read_chunk_size(self) -> int:
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        found = _CHUNK_SIZE.fullmatch(line)
        if found is None:
            raise MalformedChunkError(f"invalid size of a chunk: {line[:40]!r}")
        return int(found[1], 16)

    def _read_and_discard_trailer(self) -> None:
        with self._limit_bytes(MAX_TRAILER_BYTES):
            super()._read_and_discard_trailer()

    def _close_conn(self) -> None:
        if self.fp is not None and (self._has_last_chunk or not self.awaits_body):
            try:
                self.has_trailing_bytes = self.has_input()
            except OSError:
                self.has_trailing_bytes = False
        super()._close_conn()
