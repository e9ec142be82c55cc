"""Syntax of the head of a response, without I/O.

http.client reads a status line with ``int`` and ``str.split``, which also accept signs,
underscores and control characters.
"""

from __future__ import annotations

import http.client
import re
from email.message import Message

# RFC 9112, section 4. Lenient as allowed there: runs of spaces and tabs between the parts, no
# reason, the end of a line without a carriage return.
_STATUS_LINE = re.compile(
    rb"(HTTP/(?:1\.[0-9]+|0\.9))[ \t]+([1-5][0-9]{2})(?:[ \t]+([\t -~\x80-\xff]*))?\r?\n"
)
# RFC 9112, section 5: a header, the continuation of the one before, or the empty line. A name
# may have any visible character but a colon: servers send more than RFC 9110 allows.
_FIELD_LINE = re.compile(rb"(?:(?:[!-9;-~]+:|[ \t])[\t -~\x80-\xff]*)?\r?\n")
_CONTINUATION = re.compile(r"[ \t]*\r?\n[ \t]*")
MAX_QUOTED_BYTES = 40


class MalformedHeadError(http.client.HTTPException):
    """The head of a response is not one by RFC 9112."""


def parse_status_line(line: bytes) -> tuple[str, int, str]:
    """Return the version, the status and the reason in a status line.

    Raises
    ------
    MalformedHeadError
        If the line is no status line of HTTP/1, or its status is not from 100 to 599.
    """
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise MalformedHeadError(f"not a status line: {line[:MAX_QUOTED_BYTES]!r}")
    version, status, reason = found.groups(default=b"")
    return version.decode("ascii"), int(status), reason.decode("latin-1").strip(" \t")


def clean_field_line(line: bytes) -> bytes:
    """Return a line of a header section without the spaces and tabs at its end.

    The parser of http.client ends lines at bare carriage returns as well, so that one header
    would become two, and counts the spaces at the end as a part of the value.

    Raises
    ------
    MalformedHeadError
        If the line has no name, or has a control character other than a tab.
    """
    if not _FIELD_LINE.fullmatch(line):
        raise MalformedHeadError(f"not a header line: {line[:MAX_QUOTED_BYTES]!r}")
    # Without its spaces, an empty continuation would be the end of the section.
    if line.startswith((b" ", b"\t")):
        return line
    return line.rstrip() + b"\r\n"


def join_continued_fields(headers: Message) -> None:
    """Replace the line ends inside continued headers by a space each.

    RFC 9112, section 5.2, has a proxy do that, or refuse the response.
    """
    fields = headers.items()
    for name, _ in fields:
        del headers[name]
    for name, value in fields:
        headers[name] = _CONTINUATION.sub(" ", value).strip(" \t")
