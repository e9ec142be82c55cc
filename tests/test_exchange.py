"""State machine of a request: what upstreams run and which outcome the caller is told."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.kinds import ERROR_RESPONSES, ErrorKind, Outcome
from foxtaildrum.requests import steps
from foxtaildrum.requests.exchange import MAX_ATTEMPTS, MAX_FORWARDS, AttemptBudget, Exchange
from foxtaildrum.requests.hedging import NO_HEDGE, HedgeTimes

DEADLINE_S = 10.0
HEDGE_DELAY_S = 1.0

# Behaviour of an upstream after the request was sent to it: whether it runs the request,
# and which kind of response or failure the instance observes.
UPSTREAM_BEHAVIOURS = {
    "lost_unrun": (False, "failed"),
    "lost_after_run": (True, "failed"),
    "shed": (False, "shed"),
    "good": (True, "good"),
    "error": (True, "error"),
    "silent": (False, "silent"),
    "runs_silently": (True, "silent"),
}


# Whether an upstream ran a forwarded request, and what the other instance states.
FORWARD_BEHAVIOURS = {
    "declines": (0, "declined"),
    "refuses": (0, "refused"),
    "loses the answer": (1, "lost"),
    "serves": (1, "good"),
    "relays an error": (1, "error"),
    "ends before": (0, "failed"),
    "ends after": (1, "failed"),
    "is silent": (1, "silent"),
}


class FakeBudget(AttemptBudget):
    def __init__(self, retries: int, hedges: int) -> None:
        self.retries = retries
        self.hedges = hedges

    def allow_retry(self) -> bool:
        self.retries -= 1
        return self.retries >= 0

    def allow_hedge(self) -> bool:
        self.hedges -= 1
        return self.hedges >= 0

    def return_hedge(self) -> None:
        self.hedges += 1


class FakeHost:
    """Performs actions with results that Hypothesis draws, and counts the actual runs."""

    def __init__(self, draw, idempotent: bool, retries: int = 3, hedges: int = 1) -> None:
        self.draw = draw
        self.now = 0.0
        self.budget = FakeBudget(retries, hedges)
        hedge_times = HedgeTimes(None, HEDGE_DELAY_S) if idempotent else NO_HEDGE
        self.exchange = Exchange(idempotent, DEADLINE_S, hedge_times, self.budget)
        self.runs = 0
        self.sends = 0
        self.released: dict[int, steps.AttemptResult] = {}
        self.slots: set[int] = set()
        self.excluded: list[frozenset[str]] = []
        self.awaited: dict[int, str] = {}
        self.reply: steps.SendProblem | None = None
        self.relayed: int | None = None
        self.truncated = False
        self.finished = False

    def run(self) -> None:
        pending = self.exchange.handle(self.now, steps.RequestArrived())
        for _ in range(200):
            while pending:
                event = self.perform(pending.pop(0))
                if event is not None:
                    pending += self.exchange.handle(self.now, event)
            if self.finished:
                return
            pending += self.exchange.handle(self.now, self.wait())
        raise AssertionError("the exchange did not finish after 200 waits")

    def perform(self, action):
        handler = getattr(self, f"on_{type(action).__name__}")
        return handler(action)

    def on_AcquireSlot(self, action):
        self.excluded.append(action.excluded)
        choice = self.draw(["granted", "granted", "refused", "left"])
        if choice == "left":
            return steps.CallerLeft()
        if choice == "refused":
            return steps.SlotRefused(action.attempt, ErrorKind.OVERLOADED)
        self.slots.add(action.attempt)
        return steps.SlotGranted(action.attempt, f"upstream-{action.attempt}")

    def on_Connect(self, action):
        self.now += self.draw([0.0, 0.0, DEADLINE_S])
        choice = self.draw(["connected", "connected", "failed", "lapsed"])
        if choice == "connected":
            return steps.Connected(action.attempt)
        if choice == "lapsed":
            return steps.RecognitionLapsed(action.attempt, 0.4)
        return steps.ConnectFailed(action.attempt)

    def on_SendRequest(self, action):
        self.sends += 1
        behaviour = self.draw(sorted(UPSTREAM_BEHAVIOURS))
        runs, seen = UPSTREAM_BEHAVIOURS[behaviour]
        self.runs += runs
        if seen == "failed" and self.draw([True, False]):
            return steps.AttemptFailed(action.attempt, ErrorKind.ANSWER_LOST)
        self.awaited[action.attempt] = seen
        return steps.RequestSent(action.attempt)

    def on_ReleaseSlot(self, action):
        assert action.attempt not in self.released, "the slot of an attempt was released twice"
        self.released[action.attempt] = action.result
        self.awaited.pop(action.attempt, None)

    def on_RelayResponse(self, action):
        self.relayed = action.attempt
        if self.draw([True, True, False]):
            return steps.BodyEnded(action.attempt)
        return self.draw([steps.BodyFailed(action.attempt), steps.CallerLeft()])

    def on_SendProblem(self, action):
        assert self.reply is None
        self.reply = action

    def on_TruncateResponse(self, action):
        self.truncated = True

    def on_Finish(self, action):
        self.finished = True

    def wait(self):
        waiting = {
            n: seen
            for n, seen in self.awaited.items()
            if self.exchange.get_attempt(n).phase is steps.AttemptPhase.AWAITING_HEAD
        }
        choices = ["time", *[n for n, seen in waiting.items() if seen != "silent"]]
        if self.draw([True, False, False]):
            choices.append("left")
        choice = self.draw(choices)
        if choice == "left":
            return steps.CallerLeft()
        if choice == "time":
            self.now = max(self.now, self.exchange.compute_wake_time())
            return steps.TimerExpired()
        seen = self.awaited[choice]
        if seen == "failed":
            return steps.AttemptFailed(choice, ErrorKind.ANSWER_LOST)
        status = {"good": 200, "error": 500, "shed": 503}.get(seen, 503)
        return steps.HeadReceived(choice, status, seen == "shed")


class ForwardingHost(FakeHost):
    """Host that forwards some attempts to other instances.

    Attributes
    ----------
    forwarded : set of int
        Attempts that were forwarded.
    offers : int
        Attempts that were sent to another instance.
    """

    def __init__(self, draw, idempotent: bool) -> None:
        super().__init__(draw, idempotent)
        self.forwarded: set[int] = set()
        self.offers = 0

    def on_AcquireSlot(self, action):
        if not self.draw([True, False]):
            return super().on_AcquireSlot(action)
        self.excluded.append(action.excluded)
        self.slots.add(action.attempt)
        self.forwarded.add(action.attempt)
        return steps.SlotGranted(action.attempt, f"instance-{action.attempt}", forwarded=True)

    def on_SendRequest(self, action):
        if action.attempt not in self.forwarded:
            return super().on_SendRequest(action)
        self.offers += 1
        behaviour = self.draw(sorted(FORWARD_BEHAVIOURS))
        runs, self.awaited[action.attempt] = FORWARD_BEHAVIOURS[behaviour]
        self.runs += runs
        return steps.RequestSent(action.attempt)

    def wait(self):
        event = super().wait()
        if not isinstance(event, steps.HeadReceived) or event.attempt not in self.forwarded:
            return event
        seen = self.awaited[event.attempt]
        if seen == "declined":
            return steps.ForwardDeclined(event.attempt, ErrorKind.UPSTREAMS_UNREACHABLE)
        if seen == "refused":
            return steps.ForwardFailed(event.attempt, ErrorKind.OVERLOADED, Outcome.NOT_RUN)
        if seen == "lost":
            return steps.ForwardFailed(event.attempt, ErrorKind.ANSWER_LOST, Outcome.UNKNOWN)
        return event


@given(st.data(), st.booleans())
def test_every_interleaving_of_forwards_keeps_the_outcome_rules(data, idempotent):
    host = ForwardingHost(lambda options: data.draw(st.sampled_from(options)), idempotent)
    host.run()
    assert (host.reply is not None) + (host.relayed is not None) <= 1
    if not idempotent:
        assert host.runs <= 1
    if host.reply is not None and host.reply.outcome is Outcome.NOT_RUN:
        assert host.runs == 0
    assert set(host.released) >= host.slots, "a granted slot was not released"
    assert host.offers <= MAX_FORWARDS + 1


@given(st.data(), st.booleans())
def test_every_interleaving_keeps_the_outcome_rules(data, idempotent):
    host = FakeHost(lambda options: data.draw(st.sampled_from(options)), idempotent)
    host.run()
    assert (host.reply is not None) + (host.relayed is not None) <= 1
    if not idempotent:
        assert host.runs <= 1
    if host.reply is not None and host.reply.outcome is Outcome.NOT_RUN:
        assert host.runs == 0
    if host.reply is None and host.relayed is None:
        assert host.truncated
    assert set(host.released) >= host.slots, "a granted slot was not released"
    assert host.sends <= MAX_ATTEMPTS


@given(st.data())
def test_retries_and_hedges_stay_within_their_budgets(data):
    retries = data.draw(st.integers(0, 3))
    hedges = data.draw(st.integers(0, 1))
    host = FakeHost(lambda options: data.draw(st.sampled_from(options)), True, retries, hedges)
    host.run()
    assert host.sends <= 1 + retries + hedges


@given(st.data())
def test_each_attempt_excludes_the_upstreams_tried_before(data):
    host = FakeHost(lambda options: data.draw(st.sampled_from(options)), True)
    host.run()
    tried: frozenset[str] = frozenset()
    for excluded in host.excluded:
        assert tried <= excluded
        tried = excluded


def test_a_non_idempotent_request_is_not_hedged():
    exchange = Exchange(False, DEADLINE_S, HedgeTimes(None, HEDGE_DELAY_S), FakeBudget(9, 9))
    exchange.handle(0.0, steps.RequestArrived())
    exchange.handle(0.0, steps.SlotGranted(0, "a"))
    exchange.handle(0.0, steps.Connected(0))
    exchange.handle(0.0, steps.RequestSent(0))
    assert exchange.handle(HEDGE_DELAY_S * 2, steps.TimerExpired()) == []


def test_the_first_attempt_is_cancelled_when_its_hedge_responds():
    exchange = Exchange(True, DEADLINE_S, HedgeTimes(None, HEDGE_DELAY_S), FakeBudget(0, 1))
    exchange.handle(0.0, steps.RequestArrived())
    exchange.handle(0.0, steps.SlotGranted(0, "a"))
    exchange.handle(0.0, steps.Connected(0))
    exchange.handle(0.0, steps.RequestSent(0))
    [acquire] = exchange.handle(HEDGE_DELAY_S, steps.TimerExpired())
    assert acquire == steps.AcquireSlot(1, frozenset({"a"}), may_wait=False)
    exchange.handle(HEDGE_DELAY_S, steps.SlotGranted(1, "b"))
    exchange.handle(HEDGE_DELAY_S, steps.Connected(1))
    exchange.handle(HEDGE_DELAY_S, steps.RequestSent(1))
    actions = exchange.handle(HEDGE_DELAY_S, steps.HeadReceived(1, 200, False))
    assert actions == [
        steps.ReleaseSlot(0, steps.AttemptResult.CANCELLED),
        steps.RelayResponse(1),
    ]


def hedge_request(budget: FakeBudget) -> Exchange:
    """Return a request with two copies that were sent and have no response yet."""
    exchange = Exchange(True, DEADLINE_S, HedgeTimes(None, HEDGE_DELAY_S), budget)
    exchange.handle(0.0, steps.RequestArrived())
    for number, now in ((0, 0.0), (1, HEDGE_DELAY_S)):
        if number:
            exchange.handle(now, steps.TimerExpired())
        exchange.handle(now, steps.SlotGranted(number, f"upstream-{number}"))
        exchange.handle(now, steps.Connected(number))
        exchange.handle(now, steps.RequestSent(number))
    return exchange


# Guards against a caller that gets the error of one copy while the other would have succeeded.
@pytest.mark.parametrize("status", [500, 502, 503, 504])
@pytest.mark.parametrize("failing", [0, 1])
def test_an_error_of_one_copy_waits_for_the_other(status, failing):
    exchange = hedge_request(FakeBudget(0, 1))
    other = 1 - failing
    assert exchange.handle(2.0, steps.HeadReceived(failing, status, False)) == []
    assert exchange.handle(3.0, steps.HeadReceived(other, 200, False)) == [
        steps.ReleaseSlot(failing, steps.AttemptResult.FAILED),
        steps.RelayResponse(other),
    ]


@pytest.mark.parametrize("end", ["failure", "error", "deadline"])
def test_an_error_of_one_copy_is_relayed_when_the_other_ends_without_success(end):
    exchange = hedge_request(FakeBudget(0, 1))
    exchange.handle(2.0, steps.HeadReceived(0, 500, False))
    if end == "failure":
        actions = exchange.handle(3.0, steps.AttemptFailed(1, ErrorKind.ANSWER_LOST))
        assert actions[-1] == steps.RelayResponse(0)
    elif end == "error":
        actions = exchange.handle(3.0, steps.HeadReceived(1, 502, False))
        assert actions[-1] == steps.RelayResponse(1)
    else:
        actions = exchange.handle(DEADLINE_S, steps.TimerExpired())
        assert actions[-1] == steps.RelayResponse(0)


def test_a_held_error_response_is_relayed_when_its_retry_gets_no_slot():
    exchange = Exchange(True, DEADLINE_S, NO_HEDGE, FakeBudget(1, 0))
    exchange.handle(0.0, steps.RequestArrived())
    exchange.handle(0.0, steps.SlotGranted(0, "a"))
    exchange.handle(0.0, steps.Connected(0))
    exchange.handle(0.0, steps.RequestSent(0))
    [acquire] = exchange.handle(0.0, steps.HeadReceived(0, 500, False))
    assert not acquire.may_wait
    actions = exchange.handle(0.0, steps.SlotRefused(1, ErrorKind.OVERLOADED))
    assert actions == [steps.RelayResponse(0)]


def test_a_non_idempotent_request_continues_after_its_caller_disconnects():
    exchange = Exchange(False, DEADLINE_S, NO_HEDGE, FakeBudget(0, 0))
    exchange.handle(0.0, steps.RequestArrived())
    exchange.handle(0.0, steps.SlotGranted(0, "a"))
    exchange.handle(0.0, steps.Connected(0))
    exchange.handle(0.0, steps.RequestSent(0))
    assert exchange.handle(0.0, steps.CallerLeft()) == []
    assert exchange.handle(1.0, steps.HeadReceived(0, 200, False)) == [steps.RelayResponse(0)]


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_each_error_kind_has_a_status_and_a_title(kind):
    error_response = ERROR_RESPONSES[kind]
    assert 400 <= error_response.status <= 599
    assert error_response.title


def receive_first_head(exchange: Exchange, status: int, not_run: bool) -> list[steps.Action]:
    exchange.handle(0.0, steps.RequestArrived())
    exchange.handle(0.0, steps.SlotGranted(0, "u1"))
    exchange.handle(0.0, steps.Connected(0))
    exchange.handle(0.0, steps.RequestSent(0))
    return exchange.handle(0.1, steps.HeadReceived(0, status, not_run))


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_not_run_status_is_not_relayed_when_the_request_may_have_run(status):
    not_run_statuses = frozenset({408, 421, 429, 503})
    exchange = Exchange(False, DEADLINE_S, NO_HEDGE, FakeBudget(3, 0), 4, not_run_statuses)
    reply = receive_first_head(exchange, status, not_run=False)[-2]
    assert reply.outcome is Outcome.UNKNOWN
    assert ERROR_RESPONSES[reply.kind].status == 502


def test_a_421_response_excludes_its_upstream_from_the_retry():
    exchange = Exchange(False, DEADLINE_S, NO_HEDGE, FakeBudget(3, 0))
    release, again = receive_first_head(exchange, 421, not_run=True)
    assert release.result is steps.AttemptResult.UNREACHABLE
    assert again.excluded == {"u1"}


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_a_request_that_may_have_run_is_sent_at_most_max_attempts_times(max_attempts):
    exchange = Exchange(
        True, DEADLINE_S, HedgeTimes(None, HEDGE_DELAY_S), FakeBudget(99, 99), max_attempts
    )
    actions = exchange.handle(0.0, steps.RequestArrived())
    sends = 0
    while isinstance(actions[-1], steps.AcquireSlot):
        number = actions[-1].attempt
        exchange.handle(0.0, steps.SlotGranted(number, f"u{number}"))
        exchange.handle(0.0, steps.Connected(number))
        exchange.handle(0.0, steps.RequestSent(number))
        sends += 1
        actions = exchange.handle(0.1, steps.AttemptFailed(number, ErrorKind.ANSWER_LOST))
    assert sends == max_attempts


CHECK_DELAY_S = 0.4


def send_first_attempt(budget: FakeBudget, max_attempts: int = 2) -> Exchange:
    hedge_times = HedgeTimes(CHECK_DELAY_S, HEDGE_DELAY_S)
    exchange = Exchange(True, DEADLINE_S, hedge_times, budget, max_attempts)
    exchange.handle(0.0, steps.RequestArrived())
    exchange.handle(0.0, steps.SlotGranted(0, "a"))
    exchange.handle(0.0, steps.Connected(0))
    exchange.handle(0.0, steps.RequestSent(0))
    return exchange


def test_a_copy_is_sent_early_only_if_the_upstream_is_slow():
    exchange = send_first_attempt(FakeBudget(0, 1))
    assert exchange.compute_wake_time() == CHECK_DELAY_S
    now = CHECK_DELAY_S
    assert exchange.handle(now, steps.TimerExpired()) == [steps.CheckUpstream(0)]
    assert exchange.handle(now, steps.UpstreamChecked(0, slow=False)) == []
    now = exchange.compute_wake_time()
    assert CHECK_DELAY_S < now < HEDGE_DELAY_S
    assert exchange.handle(now, steps.TimerExpired()) == [steps.CheckUpstream(0)]
    [acquire] = exchange.handle(now, steps.UpstreamChecked(0, slow=True))
    assert acquire == steps.AcquireSlot(1, frozenset({"a"}), may_wait=False)
    assert exchange.compute_wake_time() == DEADLINE_S


def test_a_copy_is_sent_without_evidence_at_the_end_of_its_delay():
    exchange = send_first_attempt(FakeBudget(0, 1))
    [acquire] = exchange.handle(HEDGE_DELAY_S, steps.TimerExpired())
    assert acquire.attempt == 1


def test_a_check_that_ends_after_the_response_sends_no_copy():
    exchange = send_first_attempt(FakeBudget(0, 1))
    exchange.handle(CHECK_DELAY_S, steps.TimerExpired())
    exchange.handle(CHECK_DELAY_S, steps.HeadReceived(0, 200, False))
    assert exchange.handle(CHECK_DELAY_S, steps.UpstreamChecked(0, slow=True)) == []


def test_a_route_with_one_attempt_asks_and_hedges_nothing():
    exchange = send_first_attempt(FakeBudget(0, 1), max_attempts=1)
    assert exchange.handle(CHECK_DELAY_S, steps.TimerExpired()) == []
    assert exchange.handle(HEDGE_DELAY_S, steps.TimerExpired()) == []


def test_a_copy_that_gets_no_slot_returns_its_budget():
    budget = FakeBudget(0, 1)
    exchange = send_first_attempt(budget)
    exchange.handle(HEDGE_DELAY_S, steps.TimerExpired())
    assert budget.hedges == 0
    exchange.handle(HEDGE_DELAY_S, steps.SlotRefused(1, ErrorKind.OVERLOADED))
    assert budget.hedges == 1


class _SpentBudget(AttemptBudget):
    """Budget that is spent."""

    def allow_retry(self) -> bool:
        return False

    def allow_hedge(self) -> bool:
        return False


def fail_connection(idempotent: bool) -> list[steps.Action]:
    exchange = Exchange(idempotent, 10.0, NO_HEDGE, _SpentBudget())
    exchange.handle(0.0, steps.RequestArrived())
    exchange.handle(0.0, steps.SlotGranted(0, "u0"))
    return exchange.handle(0.1, steps.ConnectFailed(0))


@pytest.mark.parametrize("idempotent", [True, False])
def test_another_upstream_is_tried_after_a_failed_connection_although_the_budget_is_spent(
    idempotent,
):
    # The budget bounds what arrives at upstreams; of a failed connection, nothing arrives.
    assert any(isinstance(a, steps.AcquireSlot) for a in fail_connection(idempotent))


def test_a_lost_answer_is_not_retried_once_the_budget_is_spent():
    exchange = Exchange(True, 10.0, NO_HEDGE, _SpentBudget())
    exchange.handle(0.0, steps.RequestArrived())
    exchange.handle(0.0, steps.SlotGranted(0, "u0"))
    exchange.handle(0.0, steps.Connected(0))
    exchange.handle(0.0, steps.RequestSent(0))
    actions = exchange.handle(0.1, steps.AttemptFailed(0, ErrorKind.ANSWER_LOST))
    assert any(isinstance(a, steps.SendProblem) for a in actions)
    assert exchange.no_retry_reason == "budget"


@pytest.mark.parametrize("may_have_run", [False, True])
def test_a_request_whose_key_is_no_longer_valid_is_not_tried_again(may_have_run):
    """A retry after the removal of the key would run at another upstream."""
    exchange = Exchange(True, DEADLINE_S, NO_HEDGE, FakeBudget(9, 9))
    exchange.handle(0.0, steps.RequestArrived())
    number = 0
    if may_have_run:
        exchange.handle(0.0, steps.SlotGranted(0, "u0"))
        exchange.handle(0.0, steps.Connected(0))
        exchange.handle(0.0, steps.RequestSent(0))
        exchange.handle(0.0, steps.AttemptFailed(0, ErrorKind.ANSWER_LOST))
        number = 1
    exchange.handle(0.0, steps.SlotGranted(number, "u1"))
    released, problem, _ = exchange.handle(0.0, steps.RecognitionLapsed(number, 0.4))
    assert released == steps.ReleaseSlot(number, steps.AttemptResult.CANCELLED)
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    assert problem == steps.SendProblem(ErrorKind.NOT_READY, outcome, 0.4)


def test_a_hedge_whose_key_is_no_longer_valid_leaves_the_first_attempt_alone():
    budget = FakeBudget(9, 1)
    exchange = Exchange(True, DEADLINE_S, HedgeTimes(None, HEDGE_DELAY_S), budget)
    exchange.handle(0.0, steps.RequestArrived())
    exchange.handle(0.0, steps.SlotGranted(0, "u0"))
    exchange.handle(0.0, steps.Connected(0))
    exchange.handle(0.0, steps.RequestSent(0))
    exchange.handle(HEDGE_DELAY_S, steps.TimerExpired())
    exchange.handle(HEDGE_DELAY_S, steps.SlotGranted(1, "u1"))
    actions = exchange.handle(HEDGE_DELAY_S, steps.RecognitionLapsed(1, 0.4))
    assert actions == [steps.ReleaseSlot(1, steps.AttemptResult.CANCELLED)]
    assert budget.hedges == 1
    relayed = exchange.handle(HEDGE_DELAY_S, steps.HeadReceived(0, 200, False))
    assert relayed == [steps.RelayResponse(0)]
