"""Parser of requests: that of waitress, with limits on what a caller sends without its framing.

The limits are inclusive. That on the header section covers the header lines, as RFC 9112
defines the section; the request line has room of its own. That on the body covers the content,
not the framing of its chunks.
"""

from __future__ import annotations

import re

from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser
from waitress.utilities import BadRequest, RequestEntityTooLarge, RequestHeaderFieldsTooLarge

from ..clock import read_clock

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
    """

    max_section_bytes = 0
    max_content_bytes = 0

    def limit_sizes(self, header_bytes: int, body_bytes: int) -> None:
        """Set the limits on the sizes of requests."""
        self.max_section_bytes = header_bytes
        self.max_content_bytes = body_bytes
        # Waitress refuses what reaches these, and counts the request line and the end of the
        # section as well.
        self.max_request_header_size = header_bytes + REQUEST_LINE_BYTES + 1
        self.max_request_body_size = body_bytes + 1


class RequestParser(HTTPRequestParser):
    """Reads one request of a caller.

    Attributes
    ----------
    request_id : str
        Identifier that the caller gave to a request that is refused, if it could be read.
    arrived_at : float or None
        Time at which the request had arrived, in seconds.
    queued_at : float or None
        Time at which a pipelined request began to wait for a thread, in seconds.
    may_overlap : bool or None
        Whether the request may run beside others of its connection, once it is known.
    """

    request_id = ""
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
        if self.error or self.body_rcv is None:
            # Nothing follows that the caller could be told to send.
            self.expect_continue = False
        if self.error:
            self.request_id = self._find_request_id(head)
        if self.completed:
            self.arrived_at = read_clock()
        return consumed

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
