"""Names that callers and upstreams use on the wire, kept in a registry.

A dialect translates: it names headers and reads what an answer states. What follows
from that is decided elsewhere.
"""

from __future__ import annotations

import http.client
import math
from collections.abc import Callable, Mapping

from ..balancing.loads import LoadReport, parse_load_metrics
from ..kinds import ANSWERS, ErrorKind, Outcome

Headers = Mapping[str, str]


class Dialect:
    """Names and formats of the product's own interface.

    A subclass replaces what another platform writes differently.

    Attributes
    ----------
    timeout_header : str
        Header with the milliseconds that a request may take.
    target_header : str
        Header that names the upstream a request is meant for; empty for none.
    attempt_header : str
        Header that names the attempt; empty for none.
    response_id_header : str
        Header by which an answer names what it answers.
    required_response_header : str
        Header that every successful answer of an upstream carries; empty for none.
    idempotency_key_header : str
        Header with the idempotency key; empty for none.
    not_run_statuses : frozenset of int
        Statuses that promise a caller that its request was not run.
    accepts_trailing_bytes : bool
        Whether an answer counts as whole when further bytes follow it.
    accepts_close_delimited : bool
        Whether an answer may have no length and end with its connection.
    announcement_fields : tuple of str
        Fields that every announcement has.
    probe_header : str
        Header by which the answer to a status check names the upstream.
    """

    timeout_header = "X-Request-Timeout-Ms"
    target_header = ""
    attempt_header = "Foxtaildrum-Attempt"
    response_id_header = "Foxtaildrum-Attempt"
    required_response_header = ""
    idempotency_key_header = "Idempotency-Key"
    not_run_statuses: frozenset[int] = frozenset()
    accepts_trailing_bytes = False
    accepts_close_delimited = False
    announcement_fields: tuple[str, ...] = ()
    probe_header = ""

    def states_not_run(self, status: int, headers: Headers) -> bool:
        """Return whether an upstream states that it did not run the request."""
        stated = headers.get("Foxtaildrum-Outcome", "").lower()
        return status == http.client.SERVICE_UNAVAILABLE and stated == "not-run"

    def states_draining(self, headers: Headers) -> bool:
        """Return whether an upstream states that it is draining."""
        return headers.get("X-Upstream-State", "").lower() == "draining"

    def read_load(self, headers: Headers) -> LoadReport | None:
        """Return the load that an answer reports, or None."""
        value = headers.get("endpoint-load-metrics")
        return parse_load_metrics(value) if value else None

    def get_status(self, kind: ErrorKind, outcome: Outcome) -> int:
        """Return the status of an answer that the system makes."""
        return ANSWERS[kind].status

    def format_retry_after(self, wait_s: float) -> str:
        """Return the text of ``Retry-After`` for a wait in seconds."""
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
    """Return the registered names in alphabetical order."""
    return sorted(_DIALECTS)


register_dialect("foxtaildrum")(Dialect)
