"""Parser of requests: that of waitress, which also keeps the identifier of a refused one."""

from __future__ import annotations

import re

from waitress.parser import HTTPRequestParser

_REQUEST_ID = re.compile(rb"\r\nx-request-id:[ \t]*([^\r\n]*?)[ \t]*\r\n", re.IGNORECASE)


class RequestParser(HTTPRequestParser):
    """Reads one request of a caller.

    Attributes
    ----------
    request_id : str
        Identifier that the caller gave to a request that is refused, if it could be read.
    """

    request_id = ""

    def received(self, data: bytes) -> int:
        """Read bytes that have arrived; return how many of them belong to this request."""
        head = b"" if self.headers_finished else self.header_plus + data
        consumed = super().received(data)
        if self.error:
            self.request_id = self._find_request_id(head)
        return consumed

    def _find_request_id(self, head: bytes) -> str:
        known = self.headers.get("X_REQUEST_ID")
        if known is not None:
            return known
        found = _REQUEST_ID.search(head)
        return found[1].decode("latin-1") if found else ""
