"""All error kinds, with the HTTP response and the retry rule of each."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """Whether an upstream may have executed a failed request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Retry(enum.Enum):
    """When a request that failed with an error kind may be retried."""

    NEVER = "never"
    IDEMPOTENT = "idempotent"
    ALWAYS = "always"


class ErrorKind(enum.StrEnum):
    """Every kind of error that an instance reports to a caller."""

    BAD_REQUEST = "bad_request"
    HEADER_TOO_LARGE = "header_too_large"
    BODY_TOO_LARGE = "body_too_large"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    UPSTREAMS_UNREACHABLE = "upstreams_unreachable"
    UPSTREAMS_RESTING = "upstreams_resting"
    ZONES_EVACUATED = "zones_evacuated"
    UPSTREAMS_WARMING_UP = "upstreams_warming_up"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limited"
    ORGANISATION_RATE_LIMITED = "organisation_rate_limited"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_BEFORE_SEND = "deadline_before_send"
    CONNECT_FAILED = "connect_failed"
    SHED = "shed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ANSWER_LOST = "answer_lost"
    ANSWER_INVALID = "answer_invalid"
    CALLER_LEFT = "caller_left"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN_CALLER = "key_unknown_caller"
    KEY_RUNNING = "key_running"
    KEY_REUSED = "key_reused"
    KEY_UNKNOWN = "key_unknown"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    INTERNAL = "internal"


class ErrorSpec:
    """HTTP response to an error kind.

    Parameters
    ----------
    status : int
        HTTP status code.
    outcome : Outcome
        Value of the ``Foxtaildrum-Outcome`` header.
    retry : Retry
        When the request may be retried on another upstream.
    title : str
        Title of the problem document.
    """

    __slots__ = ("outcome", "retry", "status", "title")

    def __init__(self, status: int, outcome: Outcome, retry: Retry, title: str) -> None:
        self.status = status
        self.outcome = outcome
        self.retry = retry
        self.title = title


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ERROR_RESPONSES: dict[ErrorKind, ErrorSpec] = {
    ErrorKind.BAD_REQUEST: ErrorSpec(400, _NOT_RUN, Retry.NEVER, "The request is malformed"),
    ErrorKind.HEADER_TOO_LARGE: ErrorSpec(
        431, _NOT_RUN, Retry.NEVER, "The header section is too large"
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorSpec(413, _NOT_RUN, Retry.NEVER, "The body is too large"),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorSpec(
        405, _NOT_RUN, Retry.NEVER, "The route does not take this method"
    ),
    ErrorKind.NO_ROUTE: ErrorSpec(404, _NOT_RUN, Retry.NEVER, "No route matches the request"),
    ErrorKind.NO_UPSTREAM: ErrorSpec(
        503, _NOT_RUN, Retry.NEVER, "The pool has no upstream that takes requests"
    ),
    ErrorKind.UPSTREAMS_UNREACHABLE: ErrorSpec(
        503, _NOT_RUN, Retry.NEVER, "No instance reaches an upstream of the pool"
    ),
    ErrorKind.UPSTREAMS_RESTING: ErrorSpec(
        503,
        _NOT_RUN,
        Retry.ALWAYS,
        "Every upstream of the pool asked for no requests for a time",
    ),
    ErrorKind.ZONES_EVACUATED: ErrorSpec(
        503,
        _NOT_RUN,
        Retry.NEVER,
        "Every upstream of the pool is in an evacuated availability zone",
    ),
    ErrorKind.UPSTREAMS_WARMING_UP: ErrorSpec(
        503,
        _NOT_RUN,
        Retry.ALWAYS,
        "Every usable upstream of the pool is cold and takes no request of this instance now",
    ),
    ErrorKind.OVERLOADED: ErrorSpec(
        503, _NOT_RUN, Retry.NEVER, "The queue of the pool is full"
    ),
    ErrorKind.RATE_LIMITED: ErrorSpec(
        503, _NOT_RUN, Retry.NEVER, "The upstreams of the pool have reached their rate limits"
    ),
    ErrorKind.ORGANISATION_RATE_LIMITED: ErrorSpec(
        429, _NOT_RUN, Retry.NEVER, "The organisation has reached its rate limit"
    ),
    ErrorKind.CRASHES_UPSTREAMS: ErrorSpec(
        503, _NOT_RUN, Retry.NEVER, "Several upstreams have crashed while they ran this request"
    ),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorSpec(
        503, _NOT_RUN, Retry.NEVER, "The queue is too long for the deadline"
    ),
    ErrorKind.DEADLINE_BEFORE_SEND: ErrorSpec(
        504, _NOT_RUN, Retry.NEVER, "The deadline passed before the request was sent"
    ),
    ErrorKind.CONNECT_FAILED: ErrorSpec(
        502, _NOT_RUN, Retry.ALWAYS, "No connection to an upstream could be made"
    ),
    ErrorKind.SHED: ErrorSpec(503, _NOT_RUN, Retry.ALWAYS, "The upstream refused the request"),
    ErrorKind.DEADLINE_EXCEEDED: ErrorSpec(
        504, _UNKNOWN, Retry.NEVER, "The deadline passed after the request was sent"
    ),
    ErrorKind.ANSWER_LOST: ErrorSpec(
        502, _UNKNOWN, Retry.IDEMPOTENT, "The connection closed before the answer"
    ),
    ErrorKind.ANSWER_INVALID: ErrorSpec(
        502, _UNKNOWN, Retry.IDEMPOTENT, "The answer of the upstream is not valid HTTP"
    ),
    ErrorKind.CALLER_LEFT: ErrorSpec(
        499, _UNKNOWN, Retry.NEVER, "The caller left before the answer"
    ),
    ErrorKind.NOT_READY: ErrorSpec(503, _NOT_RUN, Retry.NEVER, "The instance is not ready"),
    ErrorKind.STOPPING: ErrorSpec(
        503, _NOT_RUN, Retry.NEVER, "The instance stops before the request's time is over"
    ),
    ErrorKind.KEY_MISSING: ErrorSpec(
        401, _NOT_RUN, Retry.NEVER, "The request has no key of an organisation"
    ),
    ErrorKind.KEY_UNKNOWN_CALLER: ErrorSpec(
        401, _NOT_RUN, Retry.NEVER, "The key belongs to no organisation"
    ),
    ErrorKind.KEY_RUNNING: ErrorSpec(
        409, _NOT_RUN, Retry.NEVER, "A request with this idempotency key is running"
    ),
    ErrorKind.KEY_REUSED: ErrorSpec(
        422, _NOT_RUN, Retry.NEVER, "The idempotency key belongs to another request"
    ),
    ErrorKind.KEY_UNKNOWN: ErrorSpec(
        409, _UNKNOWN, Retry.NEVER, "The outcome of the first request is not known"
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorSpec(
        503, _NOT_RUN, Retry.NEVER, "The idempotency key could not be claimed"
    ),
    ErrorKind.INTERNAL: ErrorSpec(500, _UNKNOWN, Retry.NEVER, "The instance failed"),
}
