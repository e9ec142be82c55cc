"""Attempts of one request: at an upstream, or through another instance."""

from __future__ import annotations

import http.client
from collections.abc import Iterator

from ..balancing.candidates import UpstreamLoad
from ..balancing.forwarding import Peer
from ..balancing.loads import parse_rest
from ..balancing.pools import UpstreamPool
from ..balancing.warmup import Warmup
from ..kinds import ErrorKind, Outcome
from .connections import ConnectionPool
from .dialects import Dialect
from .exchange import RETRYABLE_STATUSES
from .forwards import DECLINING_KINDS, FORWARD_HEADER, Forwarder, ForwardResult
from .spools import ResponseSpool
from .steps import AttemptResult, Event, ForwardDeclined, ForwardFailed, HeadReceived
from .transport import Connection, Head, OutgoingRequest, TransportError

# An older report, or an upstream without any report, is logged with an age of -1.
MAX_KNOWN_REPORT_AGE_S = 3600.0


class AttemptState:
    """Connection and response of one attempt.

    Parameters
    ----------
    number : int
        Number of the attempt.
    granted_at : float
        Time at which the attempt was granted its slot, in seconds.

    Attributes
    ----------
    is_sent : bool
        Whether the whole request was sent.
    status : int
        Status of the response that was read, also if it was refused; 0 without one.
    warmup : Warmup or None
        Cold period of the upstream in which the attempt holds a reservation.
    body : ResponseSpool, bytes or None
        Complete body, or None if it is relayed as ``chunks`` while it arrives.
    """

    __slots__ = (
        "body",
        "chunks",
        "connection",
        "granted_at",
        "head",
        "is_sent",
        "number",
        "released",
        "status",
        "warmup",
    )

    def __init__(self, number: int, granted_at: float) -> None:
        self.number = number
        self.granted_at = granted_at
        self.released = False
        self.warmup: Warmup | None = None
        self.is_sent = False
        self.status = 0
        self.connection: Connection | None = None
        self.head: Head | None = None
        self.body: ResponseSpool | bytes | None = None
        self.chunks: Iterator[bytes] = iter(())

    @property
    def upstream_id(self) -> str:
        """Upstream that serves the attempt, as far as it is known."""
        raise NotImplementedError

    @property
    def awaits_head(self) -> bool:
        """Whether the request was sent and no head of its response was read."""
        return self.is_sent and self.head is None

    def get_connections(self) -> ConnectionPool:
        """Return the connections to use."""
        raise NotImplementedError

    def find_withdrawal(self, now: float) -> ErrorKind | None:
        """Return why the target may get no request any more; None if it still may."""
        return None

    def record_sent(self, now: float) -> None:
        """Count the request at a cold upstream."""

    def prepare(self, request: OutgoingRequest, dialect: Dialect) -> None:
        """Set the headers that depend on the attempt."""
        raise NotImplementedError

    def needs_proof(self, head: Head, not_run: bool) -> bool:
        """Return whether the response must prove that an upstream made it."""
        return not not_run

    def handle_head(self, now: float, head: Head, not_run: bool, dialect: Dialect) -> Event:
        """Record the head of the response, and return the event that it causes."""
        raise NotImplementedError

    def release(self, now: float, result: AttemptResult, held_s: float) -> None:
        """Release the slot."""
        raise NotImplementedError

    def describe_load(self) -> dict[str, object]:
        """Return the load that was known when the slot was granted, for the log."""
        return {"others": 0, "pace": 1.0, "report_age_ms": -1}


class UpstreamAttempt(AttemptState):
    """Attempt at an upstream of the pool."""

    __slots__ = ("_load_at_grant", "_pool", "_took_permit", "_was_prepared", "upstream")

    def __init__(
        self,
        number: int,
        granted_at: float,
        pool: UpstreamPool,
        upstream: UpstreamLoad,
        took_permit: bool,
        warmup: Warmup | None = None,
    ) -> None:
        super().__init__(number, granted_at)
        self.warmup = warmup
        self._pool = pool
        self._was_prepared = False
        self.upstream = upstream
        self._took_permit = took_permit
        # ``upstream`` is updated by later reports.
        self._load_at_grant = (upstream.reported_others, upstream.pace, upstream.reported_at)

    @property
    def upstream_id(self) -> str:
        """Upstream that serves the attempt."""
        return self.upstream.upstream_id

    def get_connections(self) -> ConnectionPool:
        """Return the connections to the upstream."""
        return self._pool.get_connections(self.upstream)

    def find_withdrawal(self, now: float) -> ErrorKind | None:
        """Return why the upstream may get no request any more; None if it still may.

        A reservation at an upstream that has become cold since the grant is made here.
        """
        if self.upstream.is_unwanted(now):
            return ErrorKind.UPSTREAMS_RESTING
        if self.upstream.warmup is self.warmup:
            return None
        admitted, self.warmup = self._pool.warmups.admit(now, self.upstream, self.warmup)
        return None if admitted else ErrorKind.UPSTREAMS_WARMING_UP

    def record_sent(self, now: float) -> None:
        """Count the request at a cold upstream."""
        if self.warmup is not None:
            self._pool.warmups.record_sent(now, self.warmup)
            self.warmup = None

    def prepare(self, request: OutgoingRequest, dialect: Dialect) -> None:
        """Name the attempt and the upstream."""
        self._was_prepared = True
        request.headers.pop(FORWARD_HEADER, None)
        if dialect.attempt_header:
            request.headers[dialect.attempt_header] = format_attempt_id(request, self.number)
        if dialect.target_header:
            request.headers[dialect.target_header] = self.upstream.upstream_id

    def handle_head(self, now: float, head: Head, not_run: bool, dialect: Dialect) -> Event:
        """Record the load, the state and the rate limit that the upstream states."""
        # The load report of an error response is ignored: an upstream that refuses or
        # fails requests immediately reports that it is idle.
        failing = head.status in RETRYABLE_STATUSES
        report = None if failing else dialect.read_load(head.all_headers)
        draining = dialect.states_draining(head.all_headers)
        self._pool.record_response(now, self.upstream, report, draining)
        rest_s = dialect.read_rest(head.status, head.all_headers)
        if rest_s is not None:
            self._pool.record_rest(now, self.upstream, rest_s)
        limit_per_s = dialect.read_rate_limit(head.all_headers)
        # An error response may come from something in front of the upstream.
        if limit_per_s is not None or head.status < http.client.INTERNAL_SERVER_ERROR:
            self._pool.record_rate_limit(now, self.upstream, limit_per_s, self._took_permit)
        return HeadReceived(self.number, head.status, not_run)

    def release(self, now: float, result: AttemptResult, held_s: float) -> None:
        """Release the slot of the upstream."""
        if self.warmup is not None and self._was_prepared:
            # Part of the request may have been sent.
            self.record_sent(now)
        elif self.warmup is not None:
            self._pool.warmups.cancel(self.warmup)
        self._pool.release(now, self.upstream, result, held_s)

    def describe_load(self) -> dict[str, object]:
        """Return the load that was known when the slot was granted, for the log."""
        others, pace, reported_at = self._load_at_grant
        age_s = self.granted_at - reported_at
        return {
            "others": round(others, 1),
            "pace": pace,
            "report_age_ms": round(age_s * 1000, 1) if age_s < MAX_KNOWN_REPORT_AGE_S else -1,
        }


class ForwardedAttempt(AttemptState):
    """Attempt through another instance.

    Parameters
    ----------
    header : str
        Statement about the request, for the other instance.
    """

    __slots__ = ("_forwarder", "_header", "_pool", "_upstream_id", "peer")

    def __init__(
        self,
        number: int,
        granted_at: float,
        forwarder: Forwarder,
        peer: Peer,
        pool: UpstreamPool,
        header: str,
    ) -> None:
        super().__init__(number, granted_at)
        self._forwarder = forwarder
        self.peer = peer
        self._pool = pool
        self._header = header
        self._upstream_id = ""

    @property
    def upstream_id(self) -> str:
        """Upstream that served the attempt; the instance while that is not known."""
        return self._upstream_id or f"instance:{self.peer.instance_id}"

    def get_connections(self) -> ConnectionPool:
        """Return the connections to the instance."""
        return self._forwarder.get_connections(self.peer)

    def prepare(self, request: OutgoingRequest, dialect: Dialect) -> None:
        """State what is forwarded; the other instance names the upstream."""
        request.headers.pop(dialect.target_header, None)
        request.headers[FORWARD_HEADER] = self._header

    def needs_proof(self, head: Head, not_run: bool) -> bool:
        """Return whether the instance relays a response of an upstream."""
        result = ForwardResult.parse(head.all_headers)
        is_relayed = result is None or result.error_kind is None
        return is_relayed and super().needs_proof(head, not_run)

    def handle_head(self, now: float, head: Head, not_run: bool, dialect: Dialect) -> Event:
        """Record whether the instance took the request."""
        result = ForwardResult.parse(head.all_headers)
        if result is None:
            raise TransportError(ErrorKind.ANSWER_INVALID)
        kind = result.error_kind
        if kind in DECLINING_KINDS and result.outcome is Outcome.NOT_RUN:
            self._forwarder.record_declined(now, self.peer, self._pool.name)
            return ForwardDeclined(self.number, kind)
        if kind is not None:
            wait_s = parse_rest(head.all_headers.get("Retry-After"))
            return ForwardFailed(self.number, kind, result.outcome, wait_s)
        self._forwarder.record_served(self.peer, self._pool.name)
        self._upstream_id = result.upstream_id
        if result.leaves:
            self._pool.record_leaving(result.upstream_id)
        return HeadReceived(self.number, head.status, not_run)

    def release(self, now: float, result: AttemptResult, held_s: float) -> None:
        """Record how the instance fared."""
        self._forwarder.release(self.peer)
        if result is AttemptResult.UNREACHABLE:
            self._forwarder.record_declined(now, self.peer, self._pool.name)


def format_attempt_id(request: OutgoingRequest, number: int) -> str:
    """Return the identifier of an attempt."""
    return f"{request.request_id}-{number}"
