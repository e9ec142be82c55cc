"""Runs the state machine of one request: performs its actions and reports the events."""

from __future__ import annotations

import select
from collections import deque
from collections.abc import Callable, Iterator
from itertools import chain

from ..balancing.pools import UpstreamPool
from ..balancing.samples import Sampler
from ..balancing.tickets import Ticket
from ..clock import read_clock
from ..kinds import ErrorKind, Outcome
from ..logs import log_event
from . import steps
from .answers import check_identifier, check_proof
from .attempts import AttemptState, ForwardedAttempt, UpstreamAttempt, format_attempt_id
from .dialects import Dialect
from .exchange import Exchange
from .forwards import Forwarder
from .guard import RETRY_AFTER_CRASHES_S, CrashGuard
from .recognising import RETRY_AFTER_TABLES_S, Recognition
from .relays import ErrorResponse, StreamedBody, UpstreamResponse, read_spooled
from .spools import ResponseSpool
from .transport import (
    CancelledError,
    Head,
    OutgoingRequest,
    TransportError,
    has_input,
    refuses_connections,
)

CONNECT_TIMEOUT_S = 0.4
CALLER_POLL_S = 0.05
CRASH_CHECK_TIMEOUT_S = 0.1
UNUSED_HEAD_TIMEOUT_S = 0.005
# Responses with a declared length up to this are read completely before they are relayed.
PREFETCH_BYTES = 262_144


class Dispatch:
    """Runs one request until its response can be sent to the caller.

    Parameters
    ----------
    exchange : Exchange
        State machine that decides the actions.
    pool : UpstreamPool
        Pool whose upstreams serve the request.
    request : OutgoingRequest
        Request to send to the upstreams.
    caller_left : callable
        Returns whether the caller has closed its connection.
    dialect : Dialect
        Names and formats on the wire.
    guard : CrashGuard
        Refuses the request if upstreams have crashed under it.
    open_spool : callable or None
        Opens the spool of a chunked response that must be read completely before it is
        relayed; None relays it while it arrives.
    priority : int
        Priority of the request; 0 is the most urgent.
    max_queue_wait_s : float
        Longest wait for a slot, in seconds.
    expected_response_bytes : float
        Expected size of the response, in bytes.
    forwarder : Forwarder or None
        Forwards the request while the pool cannot be reached.
    takes_forward : bool
        Whether another instance has forwarded the request, which is then not forwarded again.
    table_index : int
        Index of the change that the tables include last by which the request is handled.
    recognition : Recognition or None
        Recognition of the request, checked before each attempt; None checks nothing.

    Attributes
    ----------
    held_s : float
        Time that the successful attempt held its slot, in seconds; 0 before its end.
    """

    def __init__(
        self,
        exchange: Exchange,
        pool: UpstreamPool,
        request: OutgoingRequest,
        caller_left: Callable[[], bool],
        dialect: Dialect,
        guard: CrashGuard,
        open_spool: Callable[[], ResponseSpool] | None,
        priority: int = 0,
        max_queue_wait_s: float = float("inf"),
        expected_response_bytes: float = 0.0,
        forwarder: Forwarder | None = None,
        takes_forward: bool = False,
        table_index: int = 0,
        recognition: Recognition | None = None,
    ) -> None:
        self._exchange = exchange
        self._pool = pool
        self._sampler = Sampler(pool, dialect)
        self._request = request
        self._caller_left = caller_left
        self._dialect = dialect
        self._guard = guard
        self._priority = priority
        self._max_queue_wait_s = max_queue_wait_s
        self._expected_response_bytes = expected_response_bytes
        self._open_spool = open_spool
        self._forwarder = forwarder
        self._takes_forward = takes_forward
        self._table_index = table_index
        self._recognition = recognition
        self._attempt_states: dict[int, AttemptState] = {}
        self._actions: deque[steps.Action] = deque()
        self._result: ErrorResponse | UpstreamResponse | None = None
        self.upstream_id = ""
        self.held_s = 0.0

    @property
    def attempts(self) -> int:
        """Number of attempts that held a slot."""
        return len(self._attempt_states)

    @property
    def hedges(self) -> int:
        """Number of hedges that held a slot."""
        return sum(self._exchange.get_attempt(number).hedge for number in self._attempt_states)

    @property
    def no_retry_reason(self) -> str:
        """Why a failed attempt was not followed by another one; empty if none failed."""
        return self._exchange.no_retry_reason

    def run(self) -> ErrorResponse | UpstreamResponse:
        """Return the response for the caller; its body may still be arriving."""
        # The instance that forwards a request has credited its budget for it.
        if not self._takes_forward:
            self._pool.record_request()
        self._handle_event(steps.RequestArrived())
        while self._result is None:
            if self._actions:
                self._perform_next()
                continue
            self._handle_event(self._wait_for_event())
        return self._result

    def _handle_event(self, event: steps.Event) -> None:
        self._actions.extend(self._exchange.handle(read_clock(), event))

    def _perform_next(self) -> None:
        action = self._actions.popleft()
        event = _PERFORMERS[type(action)](self, action)
        if event is not None:
            self._handle_event(event)

    def _acquire_slot(self, action: steps.AcquireSlot) -> steps.Event:
        ticket = Ticket(
            self._exchange.deadline,
            action.excluded,
            self._priority,
            self._max_queue_wait_s,
            self._expected_response_bytes,
        )
        if self._guard.is_refused():
            return steps.SlotRefused(
                action.attempt, ErrorKind.CRASHES_UPSTREAMS, RETRY_AFTER_CRASHES_S
            )
        if self._is_unrecognised():
            return steps.SlotRefused(action.attempt, ErrorKind.NOT_READY, RETRY_AFTER_TABLES_S)
        if self._is_unreachable():
            return self._acquire_forward(action)
        # The replies arrive while the upstreams are checked.
        self._pool.request_permits(read_clock())
        self._sampler.sample(action.excluded, self._expected_response_bytes)
        if self._sampler.was_silent and self._confirm_unreachable():
            return self._acquire_forward(action)
        if self._exchange.get_attempt(action.attempt).hedge and not self._pool.has_room(
            read_clock(), action.excluded
        ):
            return steps.SlotRefused(action.attempt, ErrorKind.OVERLOADED)
        self._pool.request_slot(read_clock(), ticket, action.may_wait)
        if not ticket.completed:
            self._wait_for_slot(ticket)
        if ticket.granted is None:
            if ticket.refused is ErrorKind.CALLER_LEFT:
                return steps.CallerLeft()
            return steps.SlotRefused(action.attempt, ticket.refused, ticket.retry_after_s)
        upstream = ticket.granted
        self._attempt_states[action.attempt] = UpstreamAttempt(
            action.attempt,
            read_clock(),
            self._pool,
            upstream,
            ticket.took_permit,
            ticket.warmup,
        )
        return steps.SlotGranted(action.attempt, upstream.upstream_id)

    def _is_unrecognised(self) -> bool:
        """Return whether the tables in force no longer allow the request to be sent."""
        recognition = self._recognition
        return recognition is not None and not recognition.holds(read_clock())

    def _is_unreachable(self) -> bool:
        forwarder = self._forwarder
        return forwarder is not None and forwarder.links.is_unreachable(self._pool.name)

    def _suspect_links(self) -> None:
        if self._forwarder is not None:
            self._forwarder.links.suspect(read_clock(), self._pool.name)

    def _confirm_unreachable(self) -> bool:
        """Check the links after a sign that they are lost; return whether they are."""
        forwarder = self._forwarder
        if forwarder is None:
            return False
        return forwarder.links.confirm_unreachable(read_clock(), self._pool.name)

    def _acquire_forward(self, action: steps.AcquireSlot) -> steps.Event:
        """Choose another instance for a request whose pool cannot be reached."""
        refusal = steps.SlotRefused(action.attempt, ErrorKind.UPSTREAMS_UNREACHABLE)
        if self._takes_forward:
            return refusal
        now = read_clock()
        peer = self._forwarder.choose(now, self._pool.name, action.excluded)
        if peer is None:
            return refusal
        header = self._forwarder.format_header(
            self._request,
            self._pool.name,
            self._exchange.attempts_left,
            self._table_index,
            self._recognition.organisation_name if self._recognition is not None else "",
        )
        self._attempt_states[action.attempt] = ForwardedAttempt(
            action.attempt, now, self._forwarder, peer, self._pool, header
        )
        return steps.SlotGranted(action.attempt, peer.instance_id, forwarded=True)

    def _wait_for_slot(self, ticket: Ticket) -> None:
        while not ticket.wake.wait(self._compute_poll_s(ticket.queue_deadline)):
            now = read_clock()
            if now >= ticket.queue_deadline:
                deadline_passed = now >= ticket.deadline
                kind = (
                    ErrorKind.DEADLINE_BEFORE_SEND if deadline_passed else ErrorKind.OVERLOADED
                )
                self._pool.cancel_ticket(ticket, kind)
                return
            if self._caller_left():
                self._pool.cancel_ticket(ticket, ErrorKind.CALLER_LEFT)
                return
            self._pool.serve_queue(read_clock())

    def _compute_poll_s(self, wait_end: float) -> float:
        return max(0.0, min(CALLER_POLL_S, wait_end - read_clock()))

    def _compute_remaining_s(self) -> float:
        return max(0.001, self._exchange.deadline - read_clock())

    def _connect(self, action: steps.Connect) -> steps.Event:
        attempt = self._attempt_states[action.attempt]
        connections = attempt.get_connections()
        timeout_s = min(CONNECT_TIMEOUT_S, self._compute_remaining_s())
        idempotent = self._exchange.idempotent
        try:
            attempt.connection = connections.acquire(
                read_clock(), timeout_s, idempotent, self._request.request_id
            )
            attempt.connection.accepts_trailing_bytes = self._dialect.accepts_trailing_bytes
            attempt.connection.accepts_close_delimited = self._dialect.accepts_close_delimited
        except TransportError:
            if isinstance(attempt, UpstreamAttempt):
                self._confirm_unreachable()
            return steps.ConnectFailed(action.attempt)
        if self._is_unrecognised():
            return steps.RecognitionLapsed(action.attempt, RETRY_AFTER_TABLES_S)
        withdrawal = attempt.find_withdrawal(read_clock())
        if withdrawal is not None:
            return steps.SlotWithdrawn(action.attempt, withdrawal)
        return steps.Connected(action.attempt)

    def _send(self, action: steps.SendRequest) -> steps.Event:
        attempt = self._attempt_states[action.attempt]
        remaining_s = self._compute_remaining_s()
        timeout_ms = max(1, int(remaining_s * 1000))
        self._request.headers[self._dialect.timeout_header] = str(timeout_ms)
        attempt.prepare(self._request, self._dialect)
        try:
            attempt.connection.send(self._request, remaining_s)
        except TransportError as error:
            return steps.AttemptFailed(action.attempt, error.kind)
        attempt.is_sent = True
        if attempt.warmup is not None:
            attempt.record_sent(read_clock())
        return steps.RequestSent(action.attempt)

    def _check_upstream(self, action: steps.CheckUpstream) -> steps.Event:
        upstream = self._attempt_states[action.attempt].upstream
        is_slow = self._sampler.check_slow(upstream)
        if self._sampler.was_silent:
            is_slow = self._confirm_unreachable()
        return steps.UpstreamChecked(action.attempt, is_slow)

    def _release(self, action: steps.ReleaseSlot) -> None:
        attempt = self._attempt_states.get(action.attempt)
        if attempt is None or attempt.released:
            return
        attempt.released = True
        now = read_clock()
        connection = attempt.connection
        if connection is not None:
            if action.result is steps.AttemptResult.CANCELLED:
                self._read_unused_head(action.attempt, attempt)
            attempt.get_connections().release(now, connection)
        held_s = now - attempt.granted_at
        if action.result is steps.AttemptResult.OK:
            self.held_s = held_s
            if isinstance(attempt, UpstreamAttempt):
                self._guard.record_answer()
        attempt.release(now, action.result, held_s)
        if action.result is not steps.AttemptResult.OK or len(self._attempt_states) > 1:
            self._log_attempt(action, attempt, held_s)

    def _log_attempt(
        self, action: steps.ReleaseSlot, attempt: AttemptState, held_s: float
    ) -> None:
        log_event(
            "attempt",
            failed=action.result not in (steps.AttemptResult.OK, steps.AttemptResult.CANCELLED),
            request_id=self._request.request_id,
            attempt=action.attempt,
            upstream=attempt.upstream_id,
            ended=action.result.value,
            status=attempt.head.status if attempt.head else 0,
            held_ms=round(held_s * 1000, 1),
            **attempt.describe_load(),
        )

    def _relay(self, action: steps.RelayResponse) -> None:
        attempt = self._attempt_states[action.attempt]
        self.upstream_id = attempt.upstream_id
        if attempt.body is None:
            body = StreamedBody(self.end_stream, action.attempt, attempt.chunks)
        else:
            body = read_spooled(attempt.body)
            self._handle_event(steps.BodyEnded(action.attempt))
            self._perform_remaining()
        buffered_body = attempt.body if isinstance(attempt.body, bytes) else None
        self._result = UpstreamResponse(attempt.head, body, buffered_body)

    def _set_error_response(self, action: steps.SendProblem) -> None:
        self._result = ErrorResponse(action.kind, action.outcome, action.retry_after_s)

    def _finish(self, action: steps.TruncateResponse | steps.Finish) -> None:
        if self._result is None:
            self._result = ErrorResponse(ErrorKind.CALLER_LEFT, self._get_outcome())

    def _get_outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self._exchange.may_have_run else Outcome.NOT_RUN

    def _perform_remaining(self) -> None:
        while self._actions:
            self._perform_next()

    def abort(self) -> ErrorResponse:
        """Release every slot after an internal error and return the error response."""
        now = read_clock()
        for attempt in self._attempt_states.values():
            if attempt.released:
                continue
            attempt.released = True
            if attempt.connection is not None:
                attempt.connection.close()
            held_s = now - attempt.granted_at
            attempt.release(now, steps.AttemptResult.CANCELLED, held_s)
        return ErrorResponse(ErrorKind.INTERNAL, self._get_outcome())

    def end_stream(self, event: steps.Event) -> None:
        """Notify the exchange of how the relay of a streamed body ended."""
        self._handle_event(event)
        self._perform_remaining()
        if isinstance(event, steps.BodyFailed):
            self._report_crash(self._attempt_states[event.attempt])

    def _wait_for_event(self) -> steps.Event:
        poll = select.poll()
        attempt_by_fileno: dict[int, int] = {}
        for number in self._attempt_states:
            if self._exchange.get_attempt(number).phase is steps.AttemptPhase.AWAITING_HEAD:
                fileno = self._attempt_states[number].connection.fileno()
                attempt_by_fileno[fileno] = number
                poll.register(fileno, select.POLLIN)
        while True:
            wake_at = self._exchange.compute_wake_time()
            ready = poll.poll(self._compute_poll_s(wake_at) * 1000)
            if ready:
                return self._read_response(attempt_by_fileno[ready[0][0]])
            if read_clock() >= wake_at:
                return steps.TimerExpired()
            if self._caller_left() and self._exchange.caller_may_cancel:
                return steps.CallerLeft()

    def _read_response(self, number: int) -> steps.Event:
        attempt = self._attempt_states[number]
        try:
            head = attempt.connection.read_head(self._compute_remaining_s())
            attempt.status = head.status
            not_run = self._dialect.states_not_run(head.status, head.all_headers)
            self._check_response(number, head, not_run)
            attempt.head = head
            # What the head states holds even if the body breaks off.
            event = attempt.handle_head(read_clock(), head, not_run, self._dialect)
            attempt.body = self._prefetch_body(attempt)
            if attempt.body is None:
                attempt.chunks = self._prefetch_chunk(attempt)
        except TransportError as error:
            self._record_failure(attempt, error)
            return steps.AttemptFailed(number, error.kind)
        except CancelledError:
            return steps.CallerLeft()
        return event

    def _read_unused_head(self, number: int, attempt: AttemptState) -> None:
        """Record what a response states that has arrived and that nobody needs any more."""
        if not attempt.awaits_head or not has_input(attempt.connection.fileno()):
            return
        try:
            head = attempt.connection.read_head(UNUSED_HEAD_TIMEOUT_S)
            not_run = self._dialect.states_not_run(head.status, head.all_headers)
            self._check_response(number, head, not_run)
            attempt.handle_head(read_clock(), head, not_run, self._dialect)
        except TransportError:
            # The connection is closed, as its response is not read to the end.
            return

    def _record_failure(self, attempt: AttemptState, error: TransportError) -> None:
        if error.kind is ErrorKind.ANSWER_LOST and isinstance(attempt, UpstreamAttempt):
            self._suspect_links()
        crashed = error.kind is ErrorKind.ANSWER_LOST and self._report_crash(attempt)
        log_event(
            "attempt_failed",
            request_id=self._request.request_id,
            fingerprint=self._guard.get_fingerprint(),
            upstream=attempt.upstream_id,
            kind=error.kind.value,
            crashed=crashed,
            reason=error.reason,
            status=attempt.status,
        )

    def _report_crash(self, attempt: AttemptState) -> bool:
        """Report the upstream if it has ended while it ran the request; return whether it has.

        A connection also ends for other reasons; but then the upstream still accepts others.
        """
        if not isinstance(attempt, UpstreamAttempt):
            return False
        upstream = attempt.upstream
        if not refuses_connections(upstream.address, CRASH_CHECK_TIMEOUT_S):
            return False
        self._guard.record_crash(upstream.upstream_id, upstream.incarnation)
        return True

    def _check_response(self, number: int, head: Head, not_run: bool) -> None:
        dialect = self._dialect
        expected_id = (
            format_attempt_id(self._request, number)
            if dialect.response_id_header == dialect.attempt_header
            else self._request.request_id
        )
        attempt = self._attempt_states[number]
        check_identifier(dialect, attempt.connection, head.all_headers, expected_id)
        if attempt.needs_proof(head, not_run):
            check_proof(dialect, head.status, head.headers)

    def _prefetch_body(self, attempt: AttemptState) -> ResponseSpool | bytes | None:
        length = attempt.head.length
        if length is not None:
            if length > PREFETCH_BYTES:
                return None
            return b"".join(self._read_body(attempt))
        if self._open_spool is None:
            return None
        spool = self._open_spool()
        spool.fill(self._read_body(attempt))
        attempt.head.length = spool.length
        attempt.head.headers.append(("Content-Length", str(spool.length)))
        return spool

    def _prefetch_chunk(self, attempt: AttemptState) -> Iterator[bytes]:
        """Read the first chunk of a body, so that the request can still be retried."""
        chunks = attempt.connection.read_body(self._exchange.deadline, self._is_cancelled)
        first = next(chunks, None)
        return chunks if first is None else chain((first,), chunks)

    def _read_body(self, attempt: AttemptState) -> Iterator[bytes]:
        return attempt.connection.read_body(self._exchange.deadline, self._is_cancelled)

    def _is_cancelled(self) -> bool:
        return self._exchange.caller_may_cancel and self._caller_left()


_PERFORMERS = {
    steps.AcquireSlot: Dispatch._acquire_slot,
    steps.Connect: Dispatch._connect,
    steps.SendRequest: Dispatch._send,
    steps.CheckUpstream: Dispatch._check_upstream,
    steps.ReleaseSlot: Dispatch._release,
    steps.RelayResponse: Dispatch._relay,
    steps.SendProblem: Dispatch._set_error_response,
    steps.TruncateResponse: Dispatch._finish,
    steps.Finish: Dispatch._finish,
}
