"""Reads and checks what requests to the admin interface carry."""

from __future__ import annotations

import dataclasses
import http.client
from typing import Any

from ..exceptions import FieldError, InvalidTableError
from ..fleet.upstreams import MAX_COUNTER
from ..jsontext import parse_json
from ..records import Announcement
from ..validation import find_announcement_problems, get_property_schemas, is_identifier

MAX_VERSION_DIGITS = 18

_ANNOUNCEMENT_FIELDS = frozenset(f.name for f in dataclasses.fields(Announcement))
_WHOLE_FIELDS = tuple(
    name
    for name, schema in get_property_schemas("Announcement").items()
    if schema["type"] == "integer"
)


class AdminResponse:
    """Response of an admin handler.

    Parameters
    ----------
    document : Any
        Document to encode as JSON, or the encoded body when ``text_type`` is given.
    text_type : str
        Content type of a body that is not JSON; empty for JSON.
    """

    __slots__ = ("document", "headers", "status", "text_type")

    def __init__(
        self,
        status: int,
        document: Any,
        headers: list[tuple[str, str]] | None = None,
        text_type: str = "",
    ) -> None:
        self.text_type = text_type
        self.status = status
        self.document = document
        self.headers = headers or []


class AdminError(Exception):
    """An admin request was refused; carries the error response."""

    def __init__(self, status: int, title: str, **extra: Any) -> None:
        super().__init__(title)
        self.response = AdminResponse(status, {"title": title, "status": status, **extra})


def read_if_match(environ: dict[str, Any]) -> int:
    """Return the version in ``If-Match``."""
    text = environ.get("HTTP_IF_MATCH")
    if text is None:
        raise AdminError(
            http.client.PRECONDITION_REQUIRED, "If-Match with the version read is required"
        )
    version = text.strip().removeprefix("W/").strip('"')
    if not (version.isascii() and version.isdigit() and len(version) <= MAX_VERSION_DIGITS):
        raise AdminError(http.client.BAD_REQUEST, "If-Match is not a version")
    return int(version)


def read_json(environ: dict[str, Any]) -> Any:
    """Return the JSON document in the body; None for an empty body."""
    try:
        return parse_json(environ["wsgi.input"].read() or b"null")
    except ValueError as error:
        raise AdminError(http.client.BAD_REQUEST, f"The body is not JSON: {error}") from error


def check_upstream_id(segment: str) -> None:
    """Refuse a path whose last segment cannot identify an upstream."""
    if not is_identifier(segment):
        raise AdminError(
            http.client.BAD_REQUEST,
            "The upstream identifier must have 1 to 128 visible ASCII characters",
        )


def read_announcement(
    environ: dict[str, Any], lease_s: float, required_fields: tuple[str, ...]
) -> Announcement:
    """Return the announcement in the body; fields of a later version are ignored."""
    document = read_json(environ)
    problems = find_announcement_problems(document)
    if isinstance(document, dict):
        missing = [name for name in required_fields if name not in document]
        problems += [FieldError(name, "is required") for name in missing]
    if problems:
        listed_problems = [{"field": p.field, "reason": p.reason} for p in problems]
        raise AdminError(
            http.client.UNPROCESSABLE_ENTITY, "Invalid announcement", problems=listed_problems
        )
    known = {name: value for name, value in document.items() if name in _ANNOUNCEMENT_FIELDS}
    announcement = Announcement(**{"lease_s": lease_s, **known})
    # JSON has one notation for 4 and 4.0; other instances expect a whole number.
    for name in _WHOLE_FIELDS:
        setattr(announcement, name, int(getattr(announcement, name)))
    announcement.incarnation = announcement.incarnation or announcement.born
    return announcement


def read_incarnation(environ: dict[str, Any]) -> int:
    """Return the incarnation of a leaving upstream; 0 when the body has none."""
    value = read_json(environ)
    given_fields = [
        n for n in ("incarnation", "born") if isinstance(value, dict) and n in value
    ]
    if not given_fields:
        return 0
    incarnation = value[given_fields[0]]
    is_whole = isinstance(incarnation, int) or (
        isinstance(incarnation, float) and incarnation.is_integer()
    )
    if not is_whole or isinstance(incarnation, bool) or not 0 <= incarnation <= MAX_COUNTER:
        raise AdminError(
            http.client.UNPROCESSABLE_ENTITY,
            "Invalid leave",
            problems=[{"field": given_fields[0], "reason": "must be a whole number in range"}],
        )
    return int(incarnation)


def read_rows(environ: dict[str, Any], table: str) -> list[dict[str, Any]]:
    """Return the rows of a table in the body."""
    value = read_json(environ)
    if not isinstance(value, dict) or set(value) != {table}:
        error = InvalidTableError(
            "invalid table", [FieldError(table, f'the body must be {{"{table}": [...]}}')]
        )
        raise AdminError(
            http.client.UNPROCESSABLE_ENTITY, "Invalid table", problems=error.list_problems()
        )
    return value[table]
