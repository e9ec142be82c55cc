"""Drives one exchange: performs its actions and feeds back what happens."""

from __future__ import annotations

import http.client
import select
from collections import deque
from collections.abc import Callable, Iterator
from typing import IO

from ..balancing.candidates import UpstreamLoad
from ..balancing.pools import UpstreamPool, read_clock
from ..balancing.samples import Sampler
from ..balancing.tickets import Ticket
from ..kinds import ErrorKind, Outcome
from ..logs import log_event
from . import steps as x
from .dialects import Dialect
from .exchange import RETRYABLE_STATUSES, Exchange
from .transport import (
    CHUNK_BYTES,
    CancelledError,
    Connection,
    Head,
    OutgoingRequest,
    TransportError,
)

CONNECT_TIMEOUT_S = 0.4
CALLER_POLL_S = 0.05
PREFETCH_BYTES = 262_144
UNKNOWN_AGE_S = 3600.0


class TruncatedAnswerError(Exception):
    """Raised into the server so that the caller sees a broken answer."""


class Refusal:
    """An answer made by the system itself."""

    __slots__ = ("kind", "outcome")

    def __init__(self, kind: ErrorKind, outcome: Outcome) -> None:
        self.kind = kind
        self.outcome = outcome


class UpstreamAnswer:
    """An upstream's answer on its way to the caller.

    Parameters
    ----------
    head : Head
        Status and headers.
    body : iterator of bytes
        Raises :class:`TruncatedAnswerError` when the answer breaks off.
    whole : bytes or None
        The body when it is known whole already.
    """

    __slots__ = ("body", "head", "whole")

    def __init__(self, head: Head, body: Iterator[bytes], whole: bytes | None = None) -> None:
        self.head = head
        self.body = body
        self.whole = whole


class StreamedBody:
    """Body that is relayed while it arrives.

    Parameters
    ----------
    dispatch : Dispatch
        Told how the relay ended, exactly once.
    number : int
        Number of the attempt.
    chunks : iterator of bytes
        Body as the transport yields it.
    """

    __slots__ = ("_chunks", "_dispatch", "_ended", "_number")

    def __init__(self, dispatch: Dispatch, number: int, chunks: Iterator[bytes]) -> None:
        self._dispatch = dispatch
        self._number = number
        self._chunks = chunks
        self._ended = False

    def __iter__(self) -> StreamedBody:
        """Return the iterator itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk; raise :class:`TruncatedAnswerError` on a break."""
        try:
            return next(self._chunks)
        except StopIteration:
            self._end(x.BodyEnded(self._number))
            raise
        except TransportError as error:
            self._end(x.BodyFailed(self._number))
            raise TruncatedAnswerError from error
        except CancelledError as error:
            self._end(x.CallerLeft())
            raise TruncatedAnswerError from error

    def close(self) -> None:
        """Cancel the upstream's work unless the body was read to its end."""
        self._end(x.CallerLeft())

    def _end(self, event: x.Event) -> None:
        if self._ended:
            return
        self._ended = True
        self._dispatch.end_stream(event)


class _Try:
    """Resources of one attempt."""

    __slots__ = (
        "body",
        "connection",
        "granted_at",
        "head",
        "known",
        "released",
        "upstream",
    )

    def __init__(self, upstream: UpstreamLoad, granted_at: float) -> None:
        self.upstream = upstream
        self.granted_at = granted_at
        # What the choice rested on; the upstream's figures go on changing.
        self.known = (upstream.reported_others, upstream.pace, upstream.reported_at)
        self.released = False
        self.connection: Connection | None = None
        self.head: Head | None = None
        self.body: IO[bytes] | bytes | None = None


class Dispatch:
    """Runs one request to its answer.

    Parameters
    ----------
    exchange : Exchange
        Machine that decides.
    pool : UpstreamPool
        Pool that serves the request.
    request : OutgoingRequest
        What is sent.
    caller_left : callable
        Returns whether the caller closed its connection.
    dialect : Dialect
        Names on the wire.
    spool_chunked : bool
        Whether a chunked answer must be read whole before it is relayed.
    priority : int
        Rank of the request; 0 is the most urgent.
    patience_s : float
        Longest wait for a slot, in seconds.
    answer_bytes : float
        Expected size of the answer.
    """

    def __init__(
        self,
        exchange: Exchange,
        pool: UpstreamPool,
        request: OutgoingRequest,
        caller_left: Callable[[], bool],
        dialect: Dialect,
        spool_chunked: bool,
        priority: int = 0,
        patience_s: float = float("inf"),
        answer_bytes: float = 0.0,
    ) -> None:
        self._exchange = exchange
        self._pool = pool
        self._request = request
        self._caller_left = caller_left
        self._dialect = dialect
        self._priority = priority
        self._patience_s = patience_s
        self._answer_bytes = answer_bytes
        self._spool_chunked = spool_chunked
        self._tries: dict[int, _Try] = {}
        self._actions: deque[x.Action] = deque()
        self._result: Refusal | UpstreamAnswer | None = None
        self.upstream_id = ""

    @property
    def attempts(self) -> int:
        """Number of attempts that held a slot."""
        return len(self._tries)

    @property
    def hedges(self) -> int:
        """Number of hedges that held a slot."""
        return sum(self._exchange.get_attempt(number).hedge for number in self._tries)

    def run(self) -> Refusal | UpstreamAnswer:
        """Return the answer to the caller; its body may still be on its way."""
        self._pool.record_request()
        self._feed(x.Start())
        while self._result is None:
            if self._actions:
                self._perform_next()
                continue
            self._feed(self._wait())
        return self._result

    def _feed(self, event: x.Event) -> None:
        self._actions.extend(self._exchange.handle(read_clock(), event))

    def _perform_next(self) -> None:
        action = self._actions.popleft()
        event = _PERFORMERS[type(action)](self, action)
        if event is not None:
            self._feed(event)

    def _acquire_slot(self, action: x.AcquireSlot) -> x.Event:
        ticket = Ticket(
            self._exchange.deadline,
            action.excluded,
            self._priority,
            self._patience_s,
            self._answer_bytes,
        )
        Sampler(self._pool, self._dialect).sample(action.excluded, self._answer_bytes)
        self._pool.request_slot(read_clock(), ticket, action.may_wait)
        if not ticket.completed:
            self._wait_for_slot(ticket)
        if ticket.granted is None:
            if ticket.refused is ErrorKind.CALLER_LEFT:
                return x.CallerLeft()
            return x.SlotRefused(action.attempt, ticket.refused)
        upstream = ticket.granted
        self._tries[action.attempt] = _Try(upstream, read_clock())
        return x.SlotGranted(action.attempt, upstream.upstream_id)

    def _wait_for_slot(self, ticket: Ticket) -> None:
        while not ticket.wake.wait(self._bound_wait(ticket.queue_deadline)):
            now = read_clock()
            if now >= ticket.queue_deadline:
                late = now >= ticket.deadline
                kind = ErrorKind.DEADLINE_BEFORE_SEND if late else ErrorKind.OVERLOADED
                self._pool.cancel_ticket(ticket, kind)
                return
            if self._caller_left():
                self._pool.cancel_ticket(ticket, ErrorKind.CALLER_LEFT)
                return
            self._pool.serve_queue(read_clock())

    def _bound_wait(self, until: float) -> float:
        return max(0.0, min(CALLER_POLL_S, until - read_clock()))

    def _compute_left(self) -> float:
        return max(0.001, self._exchange.deadline - read_clock())

    def _connect(self, action: x.Connect) -> x.Event:
        attempt = self._tries[action.attempt]
        connections = self._pool.get_connections(attempt.upstream)
        timeout_s = min(CONNECT_TIMEOUT_S, self._compute_left())
        repeatable = self._exchange.idempotent
        try:
            attempt.connection = connections.take(read_clock(), timeout_s, repeatable)
            attempt.connection.accepts_excess = self._dialect.accepts_excess
            attempt.connection.accepts_unframed = self._dialect.accepts_unframed
        except TransportError:
            return x.ConnectFailed(action.attempt)
        return x.Connected(action.attempt)

    def _send(self, action: x.Send) -> x.Event:
        attempt = self._tries[action.attempt]
        left_s = self._compute_left()
        headers = self._request.headers
        dialect = self._dialect
        headers[dialect.timeout_header] = str(max(1, int(left_s * 1000)))
        if dialect.attempt_header:
            headers[dialect.attempt_header] = self._name_attempt(action.attempt)
        if dialect.target_header:
            headers[dialect.target_header] = attempt.upstream.upstream_id
        try:
            attempt.connection.send(self._request, left_s)
        except TransportError as error:
            return x.AttemptFailed(action.attempt, error.kind)
        return x.Sent(action.attempt)

    def _name_attempt(self, number: int) -> str:
        return f"{self._request.request_id}-{number}"

    def _release(self, action: x.Release) -> None:
        attempt = self._tries.get(action.attempt)
        if attempt is None or attempt.released:
            return
        attempt.released = True
        now = read_clock()
        connection = attempt.connection
        if connection is not None:
            self._pool.get_connections(attempt.upstream).give(now, connection)
        held_s = now - attempt.granted_at
        self._pool.release(now, attempt.upstream, action.ended, held_s)
        if action.ended is not x.Ended.OK or len(self._tries) > 1:
            self._log_attempt(action, attempt, held_s)

    def _log_attempt(self, action: x.Release, attempt: _Try, held_s: float) -> None:
        others, pace, reported_at = attempt.known
        age_s = attempt.granted_at - reported_at
        log_event(
            "attempt",
            failed=action.ended not in (x.Ended.OK, x.Ended.CANCELLED),
            request_id=self._request.request_id,
            attempt=action.attempt,
            upstream=attempt.upstream.upstream_id,
            ended=action.ended.value,
            status=attempt.head.status if attempt.head else 0,
            held_ms=round(held_s * 1000, 1),
            others=round(others, 1),
            pace=pace,
            report_age_ms=round(age_s * 1000, 1) if age_s < UNKNOWN_AGE_S else -1,
        )

    def _relay(self, action: x.Relay) -> None:
        attempt = self._tries[action.attempt]
        self.upstream_id = attempt.upstream.upstream_id
        if attempt.body is None:
            chunks = attempt.connection.read_body(self._exchange.deadline, self._caller_left)
            body = StreamedBody(self, action.attempt, chunks)
        else:
            body = _read_spooled(attempt.body)
            self._feed(x.BodyEnded(action.attempt))
            self._perform_rest()
        whole = attempt.body if isinstance(attempt.body, bytes) else None
        self._result = UpstreamAnswer(attempt.head, body, whole)

    def _reply(self, action: x.Reply) -> None:
        self._result = Refusal(action.kind, action.outcome)

    def _finish(self, action: x.Truncate | x.Finish) -> None:
        if self._result is None:
            self._result = Refusal(ErrorKind.CALLER_LEFT, self._describe_outcome())

    def _describe_outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self._exchange.may_have_run else Outcome.NOT_RUN

    def _perform_rest(self) -> None:
        while self._actions:
            self._perform_next()

    def abandon(self) -> Refusal:
        """Give every slot back after an error of the instance itself."""
        now = read_clock()
        for attempt in self._tries.values():
            if attempt.released:
                continue
            attempt.released = True
            if attempt.connection is not None:
                attempt.connection.close()
            held_s = now - attempt.granted_at
            self._pool.release(now, attempt.upstream, x.Ended.CANCELLED, held_s)
        return Refusal(ErrorKind.INTERNAL, self._describe_outcome())

    def end_stream(self, event: x.Event) -> None:
        """Tell the exchange how the relay of a streamed body ended."""
        self._feed(event)
        self._perform_rest()

    def _wait(self) -> x.Event:
        poll = select.poll()
        numbers: dict[int, int] = {}
        for number in self._tries:
            if self._exchange.get_attempt(number).phase is x.Phase.AWAITING_HEAD:
                fileno = self._tries[number].connection.fileno()
                numbers[fileno] = number
                poll.register(fileno, select.POLLIN)
        while True:
            wake_at = self._exchange.compute_wake_time()
            ready = poll.poll(self._bound_wait(wake_at) * 1000)
            if ready:
                return self._read_answer(numbers[ready[0][0]])
            if read_clock() >= wake_at:
                return x.TimePassed()
            if self._caller_left() and self._exchange.caller_may_cancel:
                return x.CallerLeft()

    def _read_answer(self, number: int) -> x.Event:
        attempt = self._tries[number]
        try:
            head = attempt.connection.read_head(self._compute_left())
            not_run = self._dialect.read_not_run(head.status, head.stated)
            self._check_answer(number, head, not_run)
            attempt.head = head
            attempt.body = self._prefetch_body(attempt)
        except TransportError as error:
            self._log_failure(attempt, error)
            return x.AttemptFailed(number, error.kind)
        except CancelledError:
            return x.CallerLeft()
        # An upstream that refuses or fails at once reports that it is idle.
        failing = head.status in RETRYABLE_STATUSES
        report = None if failing else self._dialect.read_load(head.stated)
        draining = self._dialect.read_draining(head.stated)
        self._pool.note_answer(read_clock(), attempt.upstream, report, draining)
        return x.HeadReceived(number, head.status, not_run)

    def _log_failure(self, attempt: _Try, error: TransportError) -> None:
        log_event(
            "attempt_failed",
            request_id=self._request.request_id,
            upstream=attempt.upstream.upstream_id,
            kind=error.kind.value,
            reason=repr(error.__cause__),
        )

    def _check_answer(self, number: int, head: Head, not_run: bool) -> None:
        dialect = self._dialect
        named = head.stated.get(dialect.answer_id_header, "")
        expected = (
            self._name_attempt(number)
            if dialect.answer_id_header == dialect.attempt_header
            else self._request.request_id
        )
        # An answer to another attempt means that the connection is out of step.
        if named and named != expected:
            raise TransportError(ErrorKind.ANSWER_INVALID)
        unproved = dialect.proof_header and dialect.proof_header not in head.stated
        if unproved and not not_run and head.status < http.client.BAD_REQUEST:
            raise TransportError(ErrorKind.ANSWER_INVALID)

    def _prefetch_body(self, attempt: _Try) -> IO[bytes] | bytes | None:
        length = attempt.head.length
        if length is not None:
            if length > PREFETCH_BYTES:
                return None
            return b"".join(self._read_body(attempt))
        if not self._spool_chunked:
            return None
        # Only a caller of HTTP/1.0 needs it, and the module is large.
        import tempfile

        spool = tempfile.SpooledTemporaryFile(max_size=CHUNK_BYTES)  # noqa: SIM115
        for chunk in self._read_body(attempt):
            spool.write(chunk)
        attempt.head.length = spool.tell()
        attempt.head.headers.append(("Content-Length", str(attempt.head.length)))
        spool.seek(0)
        return spool

    def _read_body(self, attempt: _Try) -> Iterator[bytes]:
        may_cancel = self._exchange.idempotent
        return attempt.connection.read_body(
            self._exchange.deadline, self._caller_left if may_cancel else None
        )


_PERFORMERS = {
    x.AcquireSlot: Dispatch._acquire_slot,
    x.Connect: Dispatch._connect,
    x.Send: Dispatch._send,
    x.Release: Dispatch._release,
    x.Relay: Dispatch._relay,
    x.Reply: Dispatch._reply,
    x.Truncate: Dispatch._finish,
    x.Finish: Dispatch._finish,
}


def _read_spooled(body: IO[bytes] | bytes) -> Iterator[bytes]:
    if isinstance(body, bytes):
        return iter((body,)) if body else iter(())
    return iter(lambda: body.read(CHUNK_BYTES), b"")
