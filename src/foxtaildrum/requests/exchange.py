"""Life of one request from its arrival to its answer, without I/O.

The machine takes events and returns actions. It decides when a request is sent,
repeated, hedged, cancelled or refused, and what the caller may be told. Bytes may
reach an upstream only after a :class:`Send` action, so everything known about the
execution of a request follows from the events after it.
"""

from __future__ import annotations

from ..kinds import ERROR_RESPONSES, ErrorKind, Outcome, Retry
from .steps import (
    AcquireSlot,
    Action,
    AttemptFailed,
    BodyEnded,
    BodyFailed,
    CallerLeft,
    Connect,
    Connected,
    ConnectFailed,
    Ended,
    Event,
    Finish,
    HeadReceived,
    Phase,
    Relay,
    Release,
    Reply,
    Send,
    Sent,
    SlotGranted,
    SlotRefused,
    Start,
    TimePassed,
    Truncate,
)

MAX_ATTEMPTS = 4
MISDIRECTED_STATUS = 421
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


class Allowance:
    """What the budgets of the pool allow a request.

    The host passes an object with these methods; tests pass a fake.
    """

    def allow_retry(self) -> bool:
        """Take one retry from the budget; return whether it was there."""
        raise NotImplementedError

    def allow_hedge(self) -> bool:
        """Take one hedge from the budget; return whether it was there."""
        raise NotImplementedError


class Attempt:
    """One try of the request on one upstream."""

    __slots__ = ("failing", "hedge", "may_have_run", "number", "phase", "upstream_id")

    def __init__(self, number: int, hedge: bool) -> None:
        self.number = number
        self.hedge = hedge
        self.phase = Phase.WAITING_SLOT
        self.upstream_id = ""
        self.may_have_run = False
        self.failing = False

    @property
    def live(self) -> bool:
        """Whether the attempt may still bring an answer."""
        return self.phase is not Phase.ENDED


class Exchange:
    """Decides the life of one request.

    Parameters
    ----------
    idempotent : bool
        Whether the request may be sent more than once.
    deadline : float
        Time by which the answer's head must have arrived, in seconds.
    hedge_delay_s : float or None
        Wait before a hedge is sent; None sends no hedge.
    allowance : Allowance
        Budgets of the pool.
    max_attempts : int
        Most upstreams that the request may be sent to.
    promise_statuses : frozenset of int
        Statuses that would promise the caller that its request was not run.
    """

    __slots__ = (
        "_allowance",
        "_attempts",
        "_hedge_at",
        "_hedge_delay_s",
        "_max_attempts",
        "_promise_statuses",
        "_relaying",
        "_tried",
        "deadline",
        "finished",
        "idempotent",
        "outcome",
    )

    def __init__(
        self,
        idempotent: bool,
        deadline: float,
        hedge_delay_s: float | None,
        allowance: Allowance,
        max_attempts: int = MAX_ATTEMPTS,
        promise_statuses: frozenset[int] = frozenset(),
    ) -> None:
        self._max_attempts = max_attempts
        self._promise_statuses = promise_statuses
        self.idempotent = idempotent
        self.deadline = deadline
        self._hedge_delay_s = hedge_delay_s if idempotent else None
        self._hedge_at: float | None = None
        self._allowance = allowance
        self._attempts: list[Attempt] = []
        self._tried: frozenset[str] = frozenset()
        self._relaying = False
        self.finished = False
        self.outcome: ErrorKind | None = None

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return the actions that follow from it."""
        if self.finished:
            return []
        return _HANDLERS[type(event)](self, now, event)

    def compute_wake_time(self) -> float:
        """Return when :class:`TimePassed` is next due, in seconds."""
        if self._hedge_at is not None:
            return min(self._hedge_at, self.deadline)
        return self.deadline

    def get_attempt(self, number: int) -> Attempt:
        """Return an attempt by its number."""
        return self._attempts[number]

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return any(a.may_have_run for a in self._attempts)

    @property
    def caller_may_cancel(self) -> bool:
        """Whether the upstream's work is dropped when the caller leaves."""
        return self.idempotent or self._relaying or not self.may_have_run

    def _on_start(self, now: float, event: Start) -> list[Action]:
        if now >= self.deadline:
            return self._reply(ErrorKind.DEADLINE_BEFORE_SEND)
        return self._begin_attempt(may_wait=True, hedge=False)

    def _on_slot_granted(self, now: float, event: SlotGranted) -> list[Action]:
        attempt = self._attempts[event.attempt]
        attempt.upstream_id = event.upstream_id
        self._tried |= {event.upstream_id}
        attempt.phase = Phase.CONNECTING
        if now >= self.deadline:
            return [
                self._end(attempt, Ended.CANCELLED),
                *self._settle(ErrorKind.DEADLINE_BEFORE_SEND),
            ]
        return [Connect(attempt.number)]

    def _on_slot_refused(self, now: float, event: SlotRefused) -> list[Action]:
        attempt = self._attempts[event.attempt]
        attempt.phase = Phase.ENDED
        return self._settle(event.kind)

    def _on_connected(self, now: float, event: Connected) -> list[Action]:
        attempt = self._attempts[event.attempt]
        if now >= self.deadline:
            return [
                self._end(attempt, Ended.CANCELLED),
                *self._settle(ErrorKind.DEADLINE_BEFORE_SEND),
            ]
        attempt.phase = Phase.SENDING
        attempt.may_have_run = True
        return [Send(attempt.number)]

    def _on_connect_failed(self, now: float, event: ConnectFailed) -> list[Action]:
        attempt = self._attempts[event.attempt]
        return [
            self._end(attempt, Ended.UNREACHABLE),
            *self._retry_or_settle(now, ErrorKind.CONNECT_FAILED),
        ]

    def _on_sent(self, now: float, event: Sent) -> list[Action]:
        attempt = self._attempts[event.attempt]
        if attempt.phase is Phase.SENDING:
            attempt.phase = Phase.AWAITING_HEAD
        if self._hedge_delay_s is not None and len(self._attempts) == 1:
            self._hedge_at = now + self._hedge_delay_s
        return []

    def _on_attempt_failed(self, now: float, event: AttemptFailed) -> list[Action]:
        attempt = self._attempts[event.attempt]
        return [
            self._end(attempt, Ended.FAILED),
            *self._retry_or_settle(now, event.kind),
        ]

    def _on_head_received(self, now: float, event: HeadReceived) -> list[Action]:
        attempt = self._attempts[event.attempt]
        if event.not_run:
            attempt.may_have_run = False
            moved = event.status == MISDIRECTED_STATUS
            return [
                self._end(attempt, Ended.UNREACHABLE if moved else Ended.SHED),
                *self._retry_or_settle(now, ErrorKind.SHED),
            ]
        if event.status in self._promise_statuses and not self.idempotent:
            # Passed on, the status would say of a request that may have run that it
            # was not.
            return self._on_attempt_failed(
                now, AttemptFailed(attempt.number, ErrorKind.ANSWER_INVALID)
            )
        attempt.failing = event.status in RETRYABLE_STATUSES
        if attempt.failing and self._may_replace(now):
            attempt.phase = Phase.HOLDING_HEAD
            return self._begin_attempt(may_wait=False, hedge=False)
        return self._relay(attempt)

    def _on_body_ended(self, now: float, event: BodyEnded) -> list[Action]:
        attempt = self._attempts[event.attempt]
        self.finished = True
        return [self._end(attempt, Ended.FAILED if attempt.failing else Ended.OK), Finish()]

    def _on_body_failed(self, now: float, event: BodyFailed) -> list[Action]:
        attempt = self._attempts[event.attempt]
        self.finished = True
        self.outcome = ErrorKind.ANSWER_LOST
        return [self._end(attempt, Ended.FAILED), Truncate(), Finish()]

    def _on_caller_left(self, now: float, event: CallerLeft) -> list[Action]:
        if not self.caller_may_cancel:
            return []
        self.finished = True
        self.outcome = ErrorKind.CALLER_LEFT
        return [*self._end_live(), Truncate(), Finish()]

    def _on_time_passed(self, now: float, event: TimePassed) -> list[Action]:
        if self._relaying:
            return []
        if now >= self.deadline:
            return self._expire()
        if self._hedge_at is None or now < self._hedge_at:
            return []
        self._hedge_at = None
        if len(self._attempts) > 1 or self._max_attempts < 2:
            return []
        if not self._allowance.allow_hedge():
            return []
        return self._begin_attempt(may_wait=False, hedge=True)

    def _expire(self) -> list[Action]:
        kind = (
            ErrorKind.DEADLINE_EXCEEDED if self.may_have_run else ErrorKind.DEADLINE_BEFORE_SEND
        )
        held = self._get_holding()
        if held is not None:
            others = [a for a in self._attempts if a is not held]
            return [*self._end_live(others), *self._relay(held)]
        return [*self._end_live(failed=True), *self._reply(kind)]

    def _begin_attempt(self, may_wait: bool, hedge: bool) -> list[Action]:
        attempt = Attempt(len(self._attempts), hedge)
        self._attempts.append(attempt)
        return [AcquireSlot(attempt.number, self._tried, may_wait)]

    def _retry_or_settle(self, now: float, kind: ErrorKind) -> list[Action]:
        if self._has_live_attempt():
            return self._settle(kind)
        if self._may_retry(now, kind):
            return self._begin_attempt(may_wait=True, hedge=False)
        return self._settle(kind)

    def _may_retry(self, now: float, kind: ErrorKind) -> bool:
        retry = ERROR_RESPONSES[kind].retry
        if retry is Retry.NEVER or now >= self.deadline:
            return False
        if self.may_have_run and not self.idempotent:
            return False
        if not self._has_attempts_left():
            return False
        return self._allowance.allow_retry()

    def _has_attempts_left(self) -> bool:
        sent = sum(a.may_have_run for a in self._attempts)
        tried = len(self._attempts)
        return sent < self._max_attempts and tried < max(MAX_ATTEMPTS, self._max_attempts)

    def _may_replace(self, now: float) -> bool:
        if not self.idempotent or now >= self.deadline:
            return False
        if sum(a.live for a in self._attempts) > 1:
            return False
        if not self._has_attempts_left():
            return False
        return self._allowance.allow_retry()

    def _has_live_attempt(self) -> bool:
        return any(a.live for a in self._attempts)

    def _settle(self, kind: ErrorKind) -> list[Action]:
        live = [a for a in self._attempts if a.live]
        if not live:
            return self._reply(kind)
        held = self._get_holding()
        if held is not None and len(live) == 1:
            return self._relay(held)
        return []

    def _reply(self, kind: ErrorKind) -> list[Action]:
        self.finished = True
        self.outcome = kind
        outcome = ERROR_RESPONSES[kind].outcome
        if self.may_have_run:
            outcome = Outcome.UNKNOWN
        return [Reply(kind, outcome), Finish()]

    def _relay(self, attempt: Attempt) -> list[Action]:
        self._relaying = True
        attempt.phase = Phase.RELAYING
        others = [a for a in self._attempts if a is not attempt]
        return [*self._end_live(others), Relay(attempt.number)]

    def _get_holding(self) -> Attempt | None:
        for attempt in self._attempts:
            if attempt.phase is Phase.HOLDING_HEAD:
                return attempt
        return None

    def _end_live(
        self, attempts: list[Attempt] | None = None, failed: bool = False
    ) -> list[Action]:
        ended = Ended.FAILED if failed else Ended.CANCELLED
        chosen = self._attempts if attempts is None else attempts
        return [self._end(a, ended) for a in chosen if a.live]

    def _end(self, attempt: Attempt, ended: Ended) -> Release:
        if attempt.phase is Phase.WAITING_SLOT:
            ended = Ended.NO_SLOT
        if attempt.phase is Phase.HOLDING_HEAD:
            ended = Ended.FAILED
        attempt.phase = Phase.ENDED
        return Release(attempt.number, ended)


_HANDLERS = {
    Start: Exchange._on_start,
    SlotGranted: Exchange._on_slot_granted,
    SlotRefused: Exchange._on_slot_refused,
    Connected: Exchange._on_connected,
    ConnectFailed: Exchange._on_connect_failed,
    Sent: Exchange._on_sent,
    AttemptFailed: Exchange._on_attempt_failed,
    HeadReceived: Exchange._on_head_received,
    BodyEnded: Exchange._on_body_ended,
    BodyFailed: Exchange._on_body_failed,
    CallerLeft: Exchange._on_caller_left,
    TimePassed: Exchange._on_time_passed,
}
