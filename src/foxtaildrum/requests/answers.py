"""Whether a response belongs to the request that waits for it, without I/O.

An upstream may send a response once more, when the next one on the connection is due. Such a
copy proves nothing about the request that waits, neither a success nor that it was not run.
"""

from __future__ import annotations

import enum
import http.client
from collections.abc import Iterable

from ..kinds import ErrorKind
from .dialects import Dialect, Headers
from .transport import Connection, TransportError

NO_IDENTIFIER = "no_identifier"
OTHER_IDENTIFIER = "other_identifier"
NO_PROOF = "no_proof"


class Proof(enum.StrEnum):
    """Whether a response has the header that shows that an upstream made it."""

    PRESENT = "present"
    MISSING = "missing"
    NOT_REQUIRED = "not_required"


def check_identifier(
    dialect: Dialect, connection: Connection, headers: Headers, expected_id: str
) -> None:
    """Refuse a response that was or may have been sent for something else.

    Parameters
    ----------
    expected_id : str
        Identifier that the response must repeat; empty for the response to a status check,
        which has none.

    Raises
    ------
    TransportError
        If the response states another identifier, or none although the dialect requires one
        or an earlier response on the connection had one.
    """
    stated_id = headers.get(dialect.response_id_header, "")
    if stated_id:
        connection.states_response_id = True
    if stated_id == expected_id:
        return
    if stated_id:
        raise TransportError(ErrorKind.ANSWER_INVALID, reason=OTHER_IDENTIFIER)
    if dialect.requires_response_id or connection.states_response_id:
        raise TransportError(ErrorKind.ANSWER_INVALID, reason=NO_IDENTIFIER)


def find_proof(dialect: Dialect, relayed_headers: Iterable[tuple[str, str]]) -> Proof:
    """Return whether a response has the header that the dialect requires; empty, it has not.

    Parameters
    ----------
    relayed_headers : iterable of tuple
        Names and values that the caller gets: one that ``Connection`` names is not relayed.
    """
    required = dialect.required_response_header.lower()
    if not required:
        return Proof.NOT_REQUIRED
    is_present = any(n.lower() == required and v.strip() for n, v in relayed_headers)
    return Proof.PRESENT if is_present else Proof.MISSING


def check_proof(
    dialect: Dialect, status: int, relayed_headers: Iterable[tuple[str, str]]
) -> None:
    """Refuse a response without the header that the dialect requires.

    A failure (5xx) needs none: it promises nothing, whoever made it. Any other status tells
    the caller what became of the request, or that the request is wrong.

    Raises
    ------
    TransportError
        If the header is missing or empty.
    """
    if status >= http.client.INTERNAL_SERVER_ERROR:
        return
    if find_proof(dialect, relayed_headers) is Proof.MISSING:
        raise TransportError(ErrorKind.ANSWER_INVALID, reason=NO_PROOF)
