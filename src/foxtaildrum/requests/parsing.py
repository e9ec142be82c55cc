"""Parser of requests: that of waitress, with limits on what a caller sends without its framing.

The limits are inclusive. That on the header section covers the header lines, as RFC 9112
defines the section; the request line has room of its own. That on the body covers the content,
not the framing of its chunks.
"""

from __future__ import annotations

import re

from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser
from waitress.receiver import ChunkedReceiver
from waitress.utilities import (
    BadRequest,
    Error,
    RequestEntityTooLarge,
    RequestHeaderFieldsTooLarge,
)

from ..clock import read_clock
from .account import MAX_HELD_BYTES_LIMIT, OPEN_FILES_LIMIT, CallerAccount

REQUEST_LINE_BYTES = 8192
# Longest framing of a body's chunks, as a ratio of the content, beside that of one chunk.
MAX_FRAMING_RATIO = 16

_LINE_END = b"\r\n"
_REQUEST_ID = re.compile(rb"\r\nx-request-id:[ \t]*([^\r\n]*?)[ \t]*\r\n", re.IGNORECASE)


class ParserSettings(Adjustments):
    """Settings of waitress, with the limits that the parser applies itself.

    Attributes
    ----------
    max_section_bytes : int
        Maximum size of a header section, in bytes.
    max_content_bytes : int
        Maximum size of the content of a body, in bytes.
    account : CallerAccount or None
        Bounds what all callers hold together; None sets no bound.
    """

    max_section_bytes = 0
    max_content_bytes = 0
    account: CallerAccount | None = None

    def limit_sizes(self, header_bytes: int, body_bytes: int) -> None:
        """Set the limits on the sizes of requests."""
        self.max_section_bytes = header_bytes
        self.max_content_bytes = body_bytes
        # Waitress refuses what reaches these, and counts the request line and the end of the
        # section as well.
        self.max_request_header_size = header_bytes + REQUEST_LINE_BYTES + 1
        self.max_request_body_size = body_bytes + 1


class AccountFullError(Error):
    """Refuses a request because callers hold too much."""

    code = 503
    reason = "Service Unavailable"


class _ChunkReceiver(ChunkedReceiver):
    """Receiver that stores the content of all chunks that arrive together at once.

    Each write to a file that is also read costs several system calls.
    """

    def received(self, s: bytes) -> int:
        buf = self.buf
        parts: list[bytes] = []
        self.buf = parts
        try:
            return super().received(s)
        finally:
            self.buf = buf
            if parts:
                buf.append(b"".join(parts))


class RequestParser(HTTPRequestParser):
    """Reads one request of a caller.

    Attributes
    ----------
    command : str
        Method of the request; empty if it could not be read.
    held_bytes : int
        Size of what the account holds for this request, in bytes.
    begun_at : float or None
        Time at which the head was first seen unfinished, in seconds.
    request_id : str
        Identifier that the caller gave to a request that is refused, if it could be read.
    arrived_at : float or None
        Time at which the request had arrived, in seconds.
    queued_at : float or None
        Time at which a pipelined request began to wait for a thread, in seconds; None if it
        did not wait for others first.
    may_overlap : bool or None
        Whether the request may run beside others of its connection, once it is known.
    """

    command = ""
    request_id = ""
    held_bytes = 0
    _held_head_bytes = 0
    _holds_file = False
    begun_at: float | None = None
    arrived_at: float | None = None
    queued_at: float | None = None
    may_overlap: bool | None = None

    def received(self, data: bytes) -> int:
        """Read bytes that have arrived; return how many of them belong to this request."""
        head = b"" if self.headers_finished else self.header_plus + data
        if self.chunked and not head and not self.completed:
            consumed = self._receive_chunks(data)
        else:
            consumed = super().received(data)
        if head and self.headers_finished and not self.empty and not self.error:
            self._check_section(head)
        if self.adj.account is not None and (self.body_rcv is not None or not self.completed):
            self._hold()
        elif self.empty:
            self._release()
        if self.error or self.body_rcv is None:
            # Nothing follows that the caller could be told to send.
            self.expect_continue = False
        if self.error:
            self.request_id = self._find_request_id(head)
            if head.lstrip().startswith(b"HEAD "):
                # The head may be incomplete, or refused before its first line was read.
                self.command = "HEAD"
        if self.completed:
            self.arrived_at = read_clock()
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parse a head; choose the receiver of the body."""
        super().parse_header(header_plus)
        options = self.headers.get("CONNECTION", "").lower().split(",")
        if "close" in (option.strip() for option in options):
            self.connection_close = True
        if self.chunked:
            self.body_rcv = _ChunkReceiver(self.body_rcv.buf)

    def close(self) -> None:
        """Discard the body and take the request off the account."""
        super().close()
        self._release()

    def hold_head(self) -> None:
        """Add the head of a request that waits for its turn to the account."""
        if self.adj.account is not None and not self._held_head_bytes:
            self._held_head_bytes = self.header_bytes_received
            self.adj.account.change(self._held_head_bytes)

    def _hold(self) -> None:
        """Add what has arrived to the account; refuse the request if the account is full."""
        account = self.adj.account
        if self.error:
            self._discard()
            return
        is_head = self.body_rcv is None
        size = len(self.header_plus if is_head else self.body_rcv)
        added = size - self.held_bytes
        if added > 0:
            admitted = account.hold(added, self.held_bytes)
        else:
            if added:
                account.change(added)
            self.held_bytes = size
            # A body that doesn't fit is refused before it is read.
            admitted = is_head or size > 0 or account.admits(self.content_length)
        if not admitted:
            self._refuse(account, MAX_HELD_BYTES_LIMIT)
            return
        self.held_bytes = size
        if not is_head and self.body_rcv.buf.overflowed and not self._holds_file:
            self._holds_file = account.hold_file()
            if not self._holds_file:
                self._refuse(account, OPEN_FILES_LIMIT)

    def _refuse(self, account: CallerAccount, limit: str) -> None:
        if self.body_rcv is None:
            # The task that responds needs the HTTP version of a parsed head.
            self.parse_header(b"GET / HTTP/1.0\r\n")
            self.header_plus = b""
        self.error = AccountFullError("the callers of the instance hold too much")
        self.completed = True
        self._discard()
        account.report(read_clock(), limit)

    def _discard(self) -> None:
        if self.body_rcv is not None:
            self.body_rcv.getbuf().close()
        self._release()

    def _release(self) -> None:
        size = self.held_bytes + self._held_head_bytes
        if size:
            self.held_bytes = self._held_head_bytes = 0
            self.adj.account.change(-size)
        if self._holds_file:
            self._holds_file = False
            self.adj.account.release_file()

    def _check_section(self, head: bytes) -> None:
        """Refuse a header section that is too large."""
        lines = head[: self.header_bytes_received].lstrip()
        section_bytes = len(lines) - lines.index(_LINE_END) - 2 * len(_LINE_END)
        limit = self.adj.max_section_bytes
        if section_bytes > limit:
            self.error = RequestHeaderFieldsTooLarge(f"exceeds max_header of {limit}")
            self.completed = True

    def _receive_chunks(self, data: bytes) -> int:
        """Read a part of a body in chunks, of which only the content is limited."""
        receiver = self.body_rcv
        consumed = receiver.received(data)
        self.body_bytes_received += consumed
        content_bytes = len(receiver)
        framing_bytes = self.body_bytes_received - content_bytes
        limit = self.adj.max_content_bytes
        if content_bytes > limit:
            self.error = RequestEntityTooLarge(f"exceeds max_body of {limit}")
        elif framing_bytes > self.adj.max_section_bytes + MAX_FRAMING_RATIO * content_bytes:
            self.error = BadRequest("The framing of the chunks is too long")
        else:
            self.error = receiver.error
        self.completed = bool(self.error) or receiver.completed
        if receiver.completed:
            self.headers["CONTENT_LENGTH"] = str(content_bytes)
        return consumed

    def _find_request_id(self, head: bytes) -> str:
        known = self.headers.get("X_REQUEST_ID")
        if known is not None:
            return known
        found = _REQUEST_ID.search(head)
        return found[1].decode("latin-1") if found else ""
