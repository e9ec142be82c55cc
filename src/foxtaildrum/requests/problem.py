"""Error responses that this instance generates itself, as problem documents (RFC 9457)."""

from __future__ import annotations

import http.client
import json
import re
from collections.abc import Callable, Iterable

from ..kinds import ERROR_RESPONSES, ErrorKind, Outcome
from ..logs import log_event
from .dialects import Dialect

CONTENT_TYPE = "application/problem+json"
DEFAULT_RETRY_AFTER_S = 0.25
RETRY_AFTER_BY_KIND_S = {
    ErrorKind.NOT_READY: 0.8,
    ErrorKind.NO_UPSTREAM: 0.5,
    ErrorKind.UPSTREAMS_UNREACHABLE: 0.5,
    ErrorKind.ZONES_EVACUATED: 0.5,
    ErrorKind.SHED: 0.02,
    ErrorKind.STOPPING: 0.02,
    ErrorKind.OVERLOADED: 0.1,
}
OUTCOME_HEADER = "Foxtaildrum-Outcome"
_RETRYABLE_STATUSES = (http.client.SERVICE_UNAVAILABLE, http.client.TOO_MANY_REQUESTS)

_HEADER_LINE = re.compile(r'header line ".*"', re.DOTALL)

StartResponse = Callable[[str, list[tuple[str, str]]], object]
Problem = tuple[str, list[tuple[str, str]], bytes]


class Refusal:
    """A request that can't be read or is too large, and so reaches no application.

    Parameters
    ----------
    kind : ErrorKind
        What is wrong with it.
    reason : str
        What is wrong with it, in words.
    request_id : str
        Identifier that the caller gave; empty if it could not be read.
    caller : str
        Address of the caller.
    """

    __slots__ = ("caller", "kind", "reason", "request_id")

    def __init__(self, kind: ErrorKind, reason: str, request_id: str, caller: str) -> None:
        self.kind = kind
        # The parser quotes the line, which may hold the key of an organisation.
        self.reason = _HEADER_LINE.sub("header line", reason)
        self.request_id = request_id
        self.caller = caller


def build_problem(
    kind: ErrorKind,
    outcome: Outcome,
    request_id: str,
    dialect: Dialect | None = None,
    retry_after_s: float | None = None,
) -> Problem:
    """Return the status line, headers and body for an error kind.

    Parameters
    ----------
    retry_after_s : float or None
        Time after which the request may succeed, in seconds; None for the usual one of the
        error kind.
    """
    error_response = ERROR_RESPONSES[kind]
    dialect = dialect or Dialect()
    status = dialect.get_status(kind, outcome)
    document = {
        "type": "about:blank",
        "title": error_response.title,
        "status": status,
        "kind": kind.value,
        "outcome": outcome.value,
        "request_id": request_id,
    }
    body = json.dumps(document).encode() + b"\n"
    headers = [
        ("Content-Type", CONTENT_TYPE),
        ("Content-Length", str(len(body))),
        (OUTCOME_HEADER, outcome.value),
        ("X-Request-Id", request_id),
    ]
    if status == http.client.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", f'Key header="{dialect.key_header}"'))
    if status in _RETRYABLE_STATUSES:
        wait_s = retry_after_s
        if wait_s is None:
            wait_s = RETRY_AFTER_BY_KIND_S.get(kind, DEFAULT_RETRY_AFTER_S)
        headers.append(("Retry-After", dialect.format_retry_after(wait_s)))
    return format_status(status), headers, body


def send_problem(
    start_response: StartResponse,
    kind: ErrorKind,
    outcome: Outcome,
    request_id: str,
    dialect: Dialect | None = None,
    retry_after_s: float | None = None,
) -> Iterable[bytes]:
    """Start an error response and return its body."""
    status, headers, body = build_problem(kind, outcome, request_id, dialect, retry_after_s)
    start_response(status, headers)
    return [body]


def refuse_request(refusal: Refusal) -> Problem:
    """Log a request that can't be read; return the status line, headers and body."""
    problem = build_problem(
        refusal.kind, ERROR_RESPONSES[refusal.kind].outcome, refusal.request_id
    )
    log_event(
        "refused_request",
        failed=True,
        request_id=refusal.request_id,
        kind=refusal.kind.value,
        status=ERROR_RESPONSES[refusal.kind].status,
        reason=refusal.reason,
        origin=refusal.caller,
    )
    return problem


def format_status(status: int, reason: str = "") -> str:
    """Return the status line of a WSGI response."""
    reason = reason or http.client.responses.get(status, "Unknown")
    return f"{status} {reason}"
