"""What a caller's request states: its target, host, identifier and time limit."""

from __future__ import annotations

import re
import uuid
from typing import Any

from ..clock import read_clock
from ..decimals import parse_decimal
from ..organisations.keys import KeyTable
from ..records import Organisation, Route
from .forwards import Forward
from .transport import OutgoingRequest

ARRIVAL_TIME_KEY = "foxtaildrum.arrived"
# Set for a request that waited for its turn on a connection before it waited for a thread.
QUEUED_TIME_KEY = "foxtaildrum.queued"
# Number that was known before the connection of the request was opened.
CONNECTION_MARK_KEY = "foxtaildrum.mark"
# Set by an application whose response is the last one on its connection.
CLOSE_KEY = "foxtaildrum.close"
MAX_REQUEST_ID_CHARS = 128

_AUTHORITY = re.compile(r"([^/?#]*)([^?#]*)((?:\?[^#]*)?)(?:#.*)?", re.DOTALL)


class CallerRequest:
    """One request from a caller.

    Parameters
    ----------
    environ : dict
        WSGI environment of the request.

    Attributes
    ----------
    host : str
        Host that the request is for; that of a target in absolute form takes precedence.
    target : str
        Path and query, as the caller sent them.
    forward : Forward or None
        Statement of the instance that forwarded the request; None if a caller sent it.
    route : Route or None
        Route of the request, once it is known.
    organisation : Organisation or None
        Organisation whose key the caller sent, without its keys; None if there is none.
    key_table : KeyTable or None
        Organisations in force when the request was recognised; None without any.
    hides_caller : bool
        Whether upstreams get neither the caller's key nor the organisation that it names.
    states_caller : bool
        Whether the request has a key or the name of an organisation.
    version : int or None
        Version of the desired state that the request is handled by, once it is chosen.
    """

    __slots__ = (
        "arrived_at",
        "environ",
        "forward",
        "hides_caller",
        "host",
        "key_table",
        "method",
        "organisation",
        "path",
        "request_id",
        "route",
        "states_caller",
        "target",
        "version",
    )

    def __init__(self, environ: dict[str, Any]) -> None:
        self.environ = environ
        self.forward: Forward | None = None
        self.arrived_at = environ.get(ARRIVAL_TIME_KEY) or read_clock()
        self.method = environ["REQUEST_METHOD"]
        self.path = environ.get("PATH_INFO") or "/"
        authority, self.target = _split_target(environ)
        self.host = authority or environ.get("HTTP_HOST", "")
        self.request_id = read_request_id(environ.get("HTTP_X_REQUEST_ID", ""))
        self.route: Route | None = None
        self.organisation: Organisation | None = None
        self.key_table: KeyTable | None = None
        self.hides_caller = False
        self.states_caller = False
        self.version: int | None = None

    @property
    def priority(self) -> int:
        """Priority of the organisation if it has one, else that of the route."""
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    def build_outgoing(self, replaced_headers: frozenset[str]) -> OutgoingRequest:
        """Return the request to send to upstreams, without the headers that are replaced."""
        environ = self.environ
        headers = _copy_headers(environ, replaced_headers)
        headers["X-Request-Id"] = self.request_id
        if self.host:
            headers["Host"] = self.host
        forwarded = environ.get("HTTP_X_FORWARDED_FOR")
        caller = environ.get("REMOTE_ADDR", "")
        if self.forward is None:
            forwarded = f"{forwarded}, {caller}" if forwarded else caller
        headers["X-Forwarded-For"] = forwarded or caller
        length_text = environ.get("CONTENT_LENGTH") or ""
        has_body = bool(length_text)
        return OutgoingRequest(
            self.method,
            self.target,
            headers,
            environ["wsgi.input"] if has_body else None,
            int(length_text) if has_body else 0,
            self.request_id,
        )


def read_request_id(given: str) -> str:
    """Return the identifier that the caller gave, or a new one if it can't be used."""
    if 0 < len(given) <= MAX_REQUEST_ID_CHARS and given.isascii() and given.isprintable():
        return given
    return uuid.uuid4().hex


def read_time_limit(text: str | None, route: Route) -> float | None:
    """Return the time that a request may take, in seconds; None if the header is no number.

    It is the caller's time, in milliseconds, or the time-out of the route if that is shorter
    or the caller gave none. A caller whose time is over gives 0 or less.
    """
    if text is None:
        return route.timeout_ms / 1000
    try:
        timeout_ms = parse_decimal(text)
    except ValueError:
        return None
    return min(timeout_ms, route.timeout_ms) / 1000


def _split_target(environ: dict[str, Any]) -> tuple[str, str]:
    """Return the host that the target names, if it is in absolute form, and the rest of it."""
    target = environ.get("REQUEST_URI") or environ.get("PATH_INFO") or "/"
    _, separator, rest = target.partition("://")
    if target.startswith("/") or not separator:
        return "", target
    authority, path, query = _AUTHORITY.fullmatch(rest).groups()
    return authority.rpartition("@")[2], f"{path or '/'}{query}"


def _copy_headers(environ: dict[str, Any], replaced_headers: frozenset[str]) -> dict[str, str]:
    connection_options = {
        t.strip().lower() for t in environ.get("HTTP_CONNECTION", "").split(",")
    }
    headers = {}
    for key, value in environ.items():
        if not key.startswith("HTTP_"):
            continue
        name = key[5:].replace("_", "-")
        lowered = name.lower()
        if lowered not in replaced_headers and lowered not in connection_options:
            headers[name.title()] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers
