"""Dialects: the header names and formats used towards callers and upstreams.

A dialect only names headers and interprets response headers; other modules decide what
to do with the result. Dialects are registered by name.
"""

from __future__ import annotations

import http.client
import math
from collections.abc import Callable, Mapping

from ..balancing.loads import (
    LoadReport,
    parse_load_metrics,
    parse_rate_limit,
    parse_rest,
    parse_warmup,
)
from ..kinds import ERROR_RESPONSES, ErrorKind, Outcome

Headers = Mapping[str, str]


class Dialect:
    """Foxtaildrum's own header names and formats.

    A subclass overrides what differs on another platform.

    Attributes
    ----------
    timeout_header : str
        Header with the time that a request may take, in milliseconds.
    target_header : str
        Header that identifies the upstream a request is sent to; empty for none.
    attempt_header : str
        Header that identifies the attempt; empty for none.
    response_id_header : str
        Header in which a response repeats the identifier of its attempt or request.
    requires_response_id : bool
        Whether every response to a request has ``response_id_header``; one without it may be
        a late copy of another. If not, a late copy is recognized only on a connection with an
        earlier response that has the header.
    required_response_header : str
        Header that proves that an upstream made a response; empty for none. Every response
        must have it, but for failures (5xx) and those that state that the request was not run.
    idempotency_key_header : str
        Header with the idempotency key; empty for none.
    key_header : str
        Header with the key of the caller's organisation.
    organisation_header : str
        Header with the name of the caller's organisation, for upstreams.
    not_run_statuses : frozenset of int
        Statuses that tell the caller that its request was not run.
    accepts_trailing_bytes : bool
        Whether a response is valid if more bytes follow its body than its length declares.
        The end of a chunked body is not in doubt.
    accepts_close_delimited : bool
        Whether a response may have no declared length and end with its connection.
    announcement_fields : tuple of str
        Fields that every announcement must have.
    upstream_id_header : str
        Header that identifies the upstream in the response to a status check.
    """

    timeout_header = "X-Request-Timeout-Ms"
    target_header = ""
    attempt_header = "Foxtaildrum-Attempt"
    response_id_header = "Foxtaildrum-Attempt"
    requires_response_id = False
    required_response_header = ""
    idempotency_key_header = "Idempotency-Key"
    key_header = "X-Organisation-Key"
    organisation_header = "X-Organisation"
    not_run_statuses: frozenset[int] = frozenset()
    accepts_trailing_bytes = False
    accepts_close_delimited = False
    announcement_fields: tuple[str, ...] = ()
    upstream_id_header = ""

    def states_not_run(self, status: int, headers: Headers) -> bool:
        """Return whether a response states that the upstream did not run the request."""
        stated = headers.get("Foxtaildrum-Outcome", "").lower()
        return status == http.client.SERVICE_UNAVAILABLE and stated == "not-run"

    def states_draining(self, headers: Headers) -> bool:
        """Return whether a response states that the upstream is draining."""
        return headers.get("X-Upstream-State", "").lower() == "draining"

    def read_load(self, headers: Headers) -> LoadReport | None:
        """Return the load that a response reports, or None."""
        value = headers.get("endpoint-load-metrics")
        return parse_load_metrics(value) if value else None

    def read_rate_limit(self, headers: Headers) -> float | None:
        """Return the requests per second that the upstream takes from the fleet, or None."""
        return parse_rate_limit(headers.get("X-Upstream-Rate-Limit"))

    def read_warmup_left(self, headers: Headers) -> float | None:
        """Return for how many seconds the upstream stays cold, or None if it does not say.

        Only responses to status checks state it.
        """
        return parse_warmup(headers.get("X-Upstream-Warmup-Ms"))

    def read_rest(self, status: int, headers: Headers) -> float | None:
        """Return for how many seconds the upstream wants no request from this instance.

        An upstream states it in ``Retry-After`` of a 503; a date is not supported.
        """
        if status != http.client.SERVICE_UNAVAILABLE:
            return None
        return parse_rest(headers.get("Retry-After"))

    def get_status(self, kind: ErrorKind, outcome: Outcome) -> int:
        """Return the status of a response that this instance generates itself."""
        return ERROR_RESPONSES[kind].status

    def format_retry_after(self, wait_s: float) -> str:
        """Return the value of ``Retry-After`` for a delay in seconds."""
        return str(max(1, math.ceil(wait_s)))


_DIALECTS: dict[str, Dialect] = {}


def register_dialect(name: str) -> Callable[[type[Dialect]], type[Dialect]]:
    """Register the decorated class as the dialect ``name``."""

    def register(dialect_type: type[Dialect]) -> type[Dialect]:
        _DIALECTS[name] = dialect_type()
        return dialect_type

    return register


def get_dialect(name: str) -> Dialect:
    """Return the dialect registered as ``name``."""
    return _DIALECTS[name]


def list_dialects() -> list[str]:
    """Return the names of the registered dialects in alphabetical order."""
    return sorted(_DIALECTS)


register_dialect("foxtaildrum")(Dialect)
