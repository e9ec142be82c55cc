"""State machine of one request from its arrival to its response, without I/O.

The state machine takes events and returns actions. It decides when a request is sent,
retried, hedged, cancelled or refused, and which outcome the caller is told. Bytes reach
an upstream only after a :class:`SendRequest` action, so the events that follow it determine
whether an upstream may have run the request.
"""

from __future__ import annotations

import math

from ..kinds import ERROR_RESPONSES, ErrorKind, Outcome, Retry
from .hedging import CHECK_REPEAT_RATIO, NO_HEDGE, HedgeTimes
from .steps import (
    AcquireSlot,
    Action,
    AttemptFailed,
    AttemptPhase,
    AttemptResult,
    BodyEnded,
    BodyFailed,
    CallerLeft,
    CheckUpstream,
    Connect,
    Connected,
    ConnectFailed,
    Event,
    Finish,
    ForwardDeclined,
    ForwardFailed,
    HeadReceived,
    RecognitionLapsed,
    RelayResponse,
    ReleaseSlot,
    RequestArrived,
    RequestSent,
    SendProblem,
    SendRequest,
    SlotGranted,
    SlotRefused,
    SlotWithdrawn,
    TimerExpired,
    TruncateResponse,
    UpstreamChecked,
)

MAX_ATTEMPTS = 4
# Instances that one request is offered to in turn.
MAX_FORWARDS = 6
MISDIRECTED_STATUS = 421
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})
_UNSENT_KINDS = frozenset(
    {
        ErrorKind.CONNECT_FAILED,
        ErrorKind.UPSTREAMS_RESTING,
        ErrorKind.UPSTREAMS_WARMING_UP,
    }
)


class AttemptBudget:
    """Retry and hedge budgets of the pool that serves a request.

    ``UpstreamPool`` implements the methods; tests pass a fake.
    """

    def allow_retry(self) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        raise NotImplementedError

    def allow_hedge(self) -> bool:
        """Spend one hedge if the budget allows it; return whether it did."""
        raise NotImplementedError

    def return_hedge(self) -> None:
        """Return the budget of a hedge that was not sent."""


class Attempt:
    """One attempt to serve the request, from one upstream or through another instance."""

    __slots__ = (
        "forwarded",
        "has_retryable_status",
        "hedge",
        "may_have_run",
        "number",
        "phase",
        "target_id",
        "upstream_limit",
    )

    def __init__(self, number: int, hedge: bool) -> None:
        self.number = number
        self.hedge = hedge
        self.phase = AttemptPhase.WAITING_SLOT
        self.target_id = ""
        self.forwarded = False
        # Upstreams to which the attempt may be sent; another instance may try several.
        self.upstream_limit = 1
        self.may_have_run = False
        self.has_retryable_status = False

    @property
    def is_live(self) -> bool:
        """Whether the attempt may still yield a response."""
        return self.phase is not AttemptPhase.ENDED


class Exchange:
    """State machine that decides how one request is served.

    Parameters
    ----------
    idempotent : bool
        Whether the request may be sent more than once.
    deadline : float
        Time by which the response must have arrived, in seconds. The state machine applies
        it until the relay starts; from then on, the transport applies it to the body.
    hedge_times : HedgeTimes
        When the request is hedged.
    budget : AttemptBudget
        Retry and hedge budgets of the pool.
    max_attempts : int
        Maximum number of upstreams that may run the request.
    not_run_statuses : frozenset of int
        Statuses that tell the caller that its request was not run.

    Attributes
    ----------
    no_retry_reason : str
        Why a failed attempt was not followed by another one; empty if none failed.
    """

    __slots__ = (
        "_attempts",
        "_budget",
        "_check_at",
        "_hedge_at",
        "_hedge_times",
        "_max_attempts",
        "_not_run_statuses",
        "_relaying",
        "_retry_after_s",
        "_tried_ids",
        "deadline",
        "error_kind",
        "finished",
        "idempotent",
        "no_retry_reason",
    )

    def __init__(
        self,
        idempotent: bool,
        deadline: float,
        hedge_times: HedgeTimes,
        budget: AttemptBudget,
        max_attempts: int = MAX_ATTEMPTS,
        not_run_statuses: frozenset[int] = frozenset(),
    ) -> None:
        self._max_attempts = max_attempts
        self._not_run_statuses = not_run_statuses
        self.idempotent = idempotent
        self.deadline = deadline
        self._hedge_times = hedge_times if idempotent else NO_HEDGE
        self._hedge_at = math.inf
        self._check_at = math.inf
        self._budget = budget
        self._attempts: list[Attempt] = []
        self._tried_ids: frozenset[str] = frozenset()
        self._relaying = False
        self._retry_after_s: float | None = None
        self.finished = False
        self.error_kind: ErrorKind | None = None
        self.no_retry_reason = ""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the actions to perform."""
        if self.finished:
            return []
        return _HANDLERS[type(event)](self, now, event)

    def compute_wake_time(self) -> float:
        """Return the time at which :class:`TimerExpired` is next due, in seconds."""
        return min(self._check_at, self._hedge_at, self.deadline)

    def get_attempt(self, number: int) -> Attempt:
        """Return an attempt by its number."""
        return self._attempts[number]

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return any(a.may_have_run for a in self._attempts)

    @property
    def attempts_left(self) -> int:
        """Number of upstreams to which the request may still be sent."""
        return self._max_attempts - sum(
            a.upstream_limit for a in self._attempts if a.may_have_run
        )

    @property
    def caller_may_cancel(self) -> bool:
        """Whether the request is cancelled when the caller disconnects."""
        return self.idempotent or self._relaying or not self.may_have_run

    def _handle_request_arrived(self, now: float, event: RequestArrived) -> list[Action]:
        if now >= self.deadline:
            return self._reply_problem(ErrorKind.DEADLINE_BEFORE_SEND)
        return self._begin_attempt(may_wait=True, hedge=False)

    def _handle_slot_granted(self, now: float, event: SlotGranted) -> list[Action]:
        attempt = self._attempts[event.attempt]
        attempt.target_id = event.target_id
        attempt.forwarded = event.forwarded
        if event.forwarded:
            attempt.upstream_limit = self.attempts_left
        self._tried_ids |= {event.target_id}
        attempt.phase = AttemptPhase.CONNECTING
        if now >= self.deadline:
            return [
                self._end_attempt(attempt, AttemptResult.CANCELLED),
                *self._finish_unless_pending(ErrorKind.DEADLINE_BEFORE_SEND),
            ]
        return [Connect(attempt.number)]

    def _handle_slot_refused(self, now: float, event: SlotRefused) -> list[Action]:
        attempt = self._attempts[event.attempt]
        attempt.phase = AttemptPhase.ENDED
        if attempt.hedge:
            self._budget.return_hedge()
        self._retry_after_s = event.retry_after_s
        return self._finish_unless_pending(event.kind)

    def _handle_slot_withdrawn(self, now: float, event: SlotWithdrawn) -> list[Action]:
        attempt = self._attempts[event.attempt]
        return [
            self._end_attempt(attempt, AttemptResult.SHED),
            *self._retry_or_finish(now, event.kind),
        ]

    def _handle_recognition_lapsed(self, now: float, event: RecognitionLapsed) -> list[Action]:
        attempt = self._attempts[event.attempt]
        if attempt.hedge:
            self._budget.return_hedge()
        self._retry_after_s = event.retry_after_s
        # The upstream is not at fault.
        return [
            self._end_attempt(attempt, AttemptResult.CANCELLED),
            *self._finish_unless_pending(ErrorKind.NOT_READY),
        ]

    def _handle_connected(self, now: float, event: Connected) -> list[Action]:
        attempt = self._attempts[event.attempt]
        if now >= self.deadline:
            return [
                self._end_attempt(attempt, AttemptResult.CANCELLED),
                *self._finish_unless_pending(ErrorKind.DEADLINE_BEFORE_SEND),
            ]
        attempt.phase = AttemptPhase.SENDING
        attempt.may_have_run = True
        return [SendRequest(attempt.number)]

    def _handle_connect_failed(self, now: float, event: ConnectFailed) -> list[Action]:
        attempt = self._attempts[event.attempt]
        ended = self._end_attempt(attempt, AttemptResult.UNREACHABLE)
        if attempt.forwarded:
            return [ended, *self._forward_or_finish(now, ErrorKind.UPSTREAMS_UNREACHABLE)]
        return [ended, *self._retry_or_finish(now, ErrorKind.CONNECT_FAILED)]

    def _handle_request_sent(self, now: float, event: RequestSent) -> list[Action]:
        attempt = self._attempts[event.attempt]
        if attempt.phase is AttemptPhase.SENDING:
            attempt.phase = AttemptPhase.AWAITING_HEAD
        if len(self._attempts) > 1 or attempt.forwarded:
            # The other instance hedges what is forwarded to it.
            return []
        times = self._hedge_times
        if times.send_delay_s is not None:
            self._hedge_at = now + times.send_delay_s
        if times.check_delay_s is not None:
            self._check_at = now + times.check_delay_s
        return []

    def _handle_attempt_failed(self, now: float, event: AttemptFailed) -> list[Action]:
        attempt = self._attempts[event.attempt]
        return [
            self._end_attempt(attempt, AttemptResult.FAILED),
            *self._retry_or_finish(now, event.kind),
        ]

    def _handle_head_received(self, now: float, event: HeadReceived) -> list[Action]:
        attempt = self._attempts[event.attempt]
        if event.not_run:
            attempt.may_have_run = False
            misdirected = event.status == MISDIRECTED_STATUS
            return [
                self._end_attempt(
                    attempt, AttemptResult.UNREACHABLE if misdirected else AttemptResult.SHED
                ),
                *self._retry_or_finish(now, ErrorKind.SHED),
            ]
        if event.status in self._not_run_statuses and not self.idempotent:
            # Relaying the status would tell the caller that the request was not run,
            # although it may have been.
            return self._handle_attempt_failed(
                now, AttemptFailed(attempt.number, ErrorKind.ANSWER_INVALID)
            )
        # The other instance has made the retries of what is forwarded to it.
        attempt.has_retryable_status = (
            event.status in RETRYABLE_STATUSES and not attempt.forwarded
        )
        if attempt.has_retryable_status and self._awaits_other(attempt):
            # The other copy may still be answered well.
            attempt.phase = AttemptPhase.HOLDING_HEAD
            return []
        if attempt.has_retryable_status and self._may_retry_held_response(now):
            attempt.phase = AttemptPhase.HOLDING_HEAD
            return self._begin_attempt(may_wait=False, hedge=False)
        return self._relay(attempt)

    def _handle_forward_declined(self, now: float, event: ForwardDeclined) -> list[Action]:
        attempt = self._attempts[event.attempt]
        attempt.may_have_run = False
        return [
            self._end_attempt(attempt, AttemptResult.SHED),
            *self._forward_or_finish(now, event.kind),
        ]

    def _handle_forward_failed(self, now: float, event: ForwardFailed) -> list[Action]:
        attempt = self._attempts[event.attempt]
        attempt.may_have_run = event.outcome is Outcome.UNKNOWN
        self._retry_after_s = event.retry_after_s
        return [
            self._end_attempt(attempt, AttemptResult.OK),
            *self._finish_unless_pending(event.kind),
        ]

    def _handle_body_ended(self, now: float, event: BodyEnded) -> list[Action]:
        attempt = self._attempts[event.attempt]
        self.finished = True
        return [
            self._end_attempt(
                attempt,
                AttemptResult.FAILED if attempt.has_retryable_status else AttemptResult.OK,
            ),
            Finish(),
        ]

    def _handle_body_failed(self, now: float, event: BodyFailed) -> list[Action]:
        attempt = self._attempts[event.attempt]
        self.finished = True
        self.error_kind = ErrorKind.ANSWER_LOST
        return [self._end_attempt(attempt, AttemptResult.FAILED), TruncateResponse(), Finish()]

    def _handle_caller_left(self, now: float, event: CallerLeft) -> list[Action]:
        if not self.caller_may_cancel:
            return []
        self.finished = True
        self.error_kind = ErrorKind.CALLER_LEFT
        return [*self._end_live_attempts(), TruncateResponse(), Finish()]

    def _handle_timer_expired(self, now: float, event: TimerExpired) -> list[Action]:
        if self._relaying:
            return []
        if now >= self.deadline:
            return self._handle_deadline()
        if now >= self._hedge_at:
            self._hedge_at = self._check_at = math.inf
            return self._begin_hedge()
        if now < self._check_at:
            return []
        self._check_at = math.inf
        return [CheckUpstream(0)] if self._may_hedge() else []

    def _handle_upstream_checked(self, now: float, event: UpstreamChecked) -> list[Action]:
        if self._relaying or not self._may_hedge():
            return []
        hedge = self._begin_hedge() if event.slow else []
        if not hedge:
            self._check_at = now + CHECK_REPEAT_RATIO * self._hedge_times.check_delay_s
        return hedge

    def _may_hedge(self) -> bool:
        return len(self._attempts) == 1 and self._max_attempts > 1

    def _begin_hedge(self) -> list[Action]:
        if not self._may_hedge() or not self._budget.allow_hedge():
            return []
        self._hedge_at = self._check_at = math.inf
        return self._begin_attempt(may_wait=False, hedge=True)

    def _handle_deadline(self) -> list[Action]:
        kind = (
            ErrorKind.DEADLINE_EXCEEDED if self.may_have_run else ErrorKind.DEADLINE_BEFORE_SEND
        )
        held = self._get_held_attempt()
        if held is not None:
            others = [a for a in self._attempts if a is not held]
            return [*self._end_live_attempts(others), *self._relay(held)]
        return [*self._end_live_attempts(failed=True), *self._reply_problem(kind)]

    def _begin_attempt(self, may_wait: bool, hedge: bool) -> list[Action]:
        attempt = Attempt(len(self._attempts), hedge)
        self._attempts.append(attempt)
        return [AcquireSlot(attempt.number, self._tried_ids, may_wait)]

    def _retry_or_finish(self, now: float, kind: ErrorKind) -> list[Action]:
        if self._has_live_attempt():
            return self._finish_unless_pending(kind)
        if self._may_retry(now, kind):
            return self._begin_attempt(may_wait=True, hedge=False)
        return self._finish_unless_pending(kind)

    def _forward_or_finish(self, now: float, kind: ErrorKind) -> list[Action]:
        """Offer a request that an instance did not take to another one."""
        forwards = sum(a.forwarded for a in self._attempts)
        if self._has_live_attempt() or now >= self.deadline or forwards >= MAX_FORWARDS:
            return self._finish_unless_pending(kind)
        return self._begin_attempt(may_wait=True, hedge=False)

    def _may_retry(self, now: float, kind: ErrorKind) -> bool:
        self.no_retry_reason = self._find_no_retry_reason(now, kind)
        return not self.no_retry_reason

    def _find_no_retry_reason(self, now: float, kind: ErrorKind) -> str:
        """Return why a failed attempt may not be followed by another one; empty if it may."""
        if ERROR_RESPONSES[kind].retry is Retry.NEVER:
            return "error_kind"
        if now >= self.deadline:
            return "deadline"
        if self.may_have_run and not self.idempotent:
            return "not_idempotent"
        if not self._has_attempts_left():
            return "attempts"
        if kind in _UNSENT_KINDS:
            # The budget bounds what arrives at upstreams, and nothing has arrived.
            return ""
        return "" if self._budget.allow_retry() else "budget"

    def _has_attempts_left(self) -> bool:
        attempts_made = len(self._attempts)
        return self.attempts_left > 0 and attempts_made < max(MAX_ATTEMPTS, self._max_attempts)

    def _may_retry_held_response(self, now: float) -> bool:
        if not self.idempotent or now >= self.deadline:
            return False
        if sum(a.is_live for a in self._attempts) > 1:
            return False
        if not self._has_attempts_left():
            return False
        return self._budget.allow_retry()

    def _awaits_other(self, attempt: Attempt) -> bool:
        """Return whether another attempt is still without a response."""
        return any(
            a.is_live and a.phase is not AttemptPhase.HOLDING_HEAD
            for a in self._attempts
            if a is not attempt
        )

    def _has_live_attempt(self) -> bool:
        return any(a.is_live for a in self._attempts)

    def _finish_unless_pending(self, kind: ErrorKind) -> list[Action]:
        live = [a for a in self._attempts if a.is_live]
        if not live:
            return self._reply_problem(kind)
        held = self._get_held_attempt()
        if held is not None and len(live) == 1:
            return self._relay(held)
        return []

    def _reply_problem(self, kind: ErrorKind) -> list[Action]:
        self.finished = True
        self.error_kind = kind
        outcome = ERROR_RESPONSES[kind].outcome
        if self.may_have_run:
            outcome = Outcome.UNKNOWN
        return [SendProblem(kind, outcome, self._retry_after_s), Finish()]

    def _relay(self, attempt: Attempt) -> list[Action]:
        self._relaying = True
        attempt.phase = AttemptPhase.RELAYING
        others = [a for a in self._attempts if a is not attempt]
        return [*self._end_live_attempts(others), RelayResponse(attempt.number)]

    def _get_held_attempt(self) -> Attempt | None:
        for attempt in self._attempts:
            if attempt.phase is AttemptPhase.HOLDING_HEAD:
                return attempt
        return None

    def _end_live_attempts(
        self, attempts: list[Attempt] | None = None, failed: bool = False
    ) -> list[Action]:
        result = AttemptResult.FAILED if failed else AttemptResult.CANCELLED
        chosen = self._attempts if attempts is None else attempts
        return [self._end_attempt(a, result) for a in chosen if a.is_live]

    def _end_attempt(self, attempt: Attempt, result: AttemptResult) -> ReleaseSlot:
        if attempt.phase is AttemptPhase.WAITING_SLOT:
            result = AttemptResult.NO_SLOT
        if attempt.phase is AttemptPhase.HOLDING_HEAD:
            result = AttemptResult.FAILED
        attempt.phase = AttemptPhase.ENDED
        return ReleaseSlot(attempt.number, result)


_HANDLERS = {
    RequestArrived: Exchange._handle_request_arrived,
    SlotGranted: Exchange._handle_slot_granted,
    SlotRefused: Exchange._handle_slot_refused,
    SlotWithdrawn: Exchange._handle_slot_withdrawn,
    RecognitionLapsed: Exchange._handle_recognition_lapsed,
    Connected: Exchange._handle_connected,
    ConnectFailed: Exchange._handle_connect_failed,
    RequestSent: Exchange._handle_request_sent,
    AttemptFailed: Exchange._handle_attempt_failed,
    HeadReceived: Exchange._handle_head_received,
    ForwardDeclined: Exchange._handle_forward_declined,
    ForwardFailed: Exchange._handle_forward_failed,
    BodyEnded: Exchange._handle_body_ended,
    BodyFailed: Exchange._handle_body_failed,
    CallerLeft: Exchange._handle_caller_left,
    TimerExpired: Exchange._handle_timer_expired,
    UpstreamChecked: Exchange._handle_upstream_checked,
}
