"""Outcome rules: what reaches upstreams and what the caller is told."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.kinds import ERROR_RESPONSES, ErrorKind, Outcome
from foxtaildrum.requests import steps as x
from foxtaildrum.requests.exchange import MAX_ATTEMPTS, Allowance, Exchange

DEADLINE_S = 10.0
HEDGE_S = 1.0

# What an upstream does with an attempt whose first byte may have left: whether it runs
# the request, and the event that the instance sees.
FATES = {
    "lost_unrun": (False, "failed"),
    "lost_after_run": (True, "failed"),
    "shed": (False, "shed"),
    "good": (True, "good"),
    "error": (True, "error"),
    "silent": (False, "silent"),
    "runs_silently": (True, "silent"),
}


class FakeAllowance(Allowance):
    def __init__(self, retries: int, hedges: int) -> None:
        self.retries = retries
        self.hedges = hedges

    def allow_retry(self) -> bool:
        self.retries -= 1
        return self.retries >= 0

    def allow_hedge(self) -> bool:
        self.hedges -= 1
        return self.hedges >= 0


class World:
    """Performs the actions of an exchange with drawn results and keeps the truth."""

    def __init__(self, draw, idempotent: bool, retries: int = 3, hedges: int = 1) -> None:
        self.draw = draw
        self.now = 0.0
        self.allowance = FakeAllowance(retries, hedges)
        hedge_delay_s = HEDGE_S if idempotent else None
        self.exchange = Exchange(idempotent, DEADLINE_S, hedge_delay_s, self.allowance)
        self.runs = 0
        self.sends = 0
        self.released: dict[int, x.Ended] = {}
        self.slots: set[int] = set()
        self.excluded: list[frozenset[str]] = []
        self.open: dict[int, str] = {}
        self.reply: x.Reply | None = None
        self.relayed: int | None = None
        self.truncated = False
        self.finished = False

    def run(self) -> None:
        pending = self.exchange.handle(self.now, x.Start())
        for _ in range(200):
            while pending:
                event = self.perform(pending.pop(0))
                if event is not None:
                    pending += self.exchange.handle(self.now, event)
            if self.finished:
                return
            pending += self.exchange.handle(self.now, self.wait())
        raise AssertionError("the exchange does not end")

    def perform(self, action):
        handler = getattr(self, f"on_{type(action).__name__}")
        return handler(action)

    def on_AcquireSlot(self, action):
        self.excluded.append(action.excluded)
        choice = self.draw(["granted", "granted", "refused", "left"])
        if choice == "left":
            return x.CallerLeft()
        if choice == "refused":
            return x.SlotRefused(action.attempt, ErrorKind.OVERLOADED)
        self.slots.add(action.attempt)
        return x.SlotGranted(action.attempt, f"upstream-{action.attempt}")

    def on_Connect(self, action):
        self.now += self.draw([0.0, 0.0, DEADLINE_S])
        if self.draw([True, True, False]):
            return x.Connected(action.attempt)
        return x.ConnectFailed(action.attempt)

    def on_Send(self, action):
        self.sends += 1
        fate = self.draw(sorted(FATES))
        runs, seen = FATES[fate]
        self.runs += runs
        if seen == "failed" and self.draw([True, False]):
            return x.AttemptFailed(action.attempt, ErrorKind.ANSWER_LOST)
        self.open[action.attempt] = seen
        return x.Sent(action.attempt)

    def on_Release(self, action):
        assert action.attempt not in self.released, "released twice"
        self.released[action.attempt] = action.ended
        self.open.pop(action.attempt, None)

    def on_Relay(self, action):
        self.relayed = action.attempt
        if self.draw([True, True, False]):
            return x.BodyEnded(action.attempt)
        return self.draw([x.BodyFailed(action.attempt), x.CallerLeft()])

    def on_Reply(self, action):
        assert self.reply is None
        self.reply = action

    def on_Truncate(self, action):
        self.truncated = True

    def on_Finish(self, action):
        self.finished = True

    def wait(self):
        waiting = {
            n: seen
            for n, seen in self.open.items()
            if self.exchange.get_attempt(n).phase is x.Phase.AWAITING_HEAD
        }
        choices = ["time", *[n for n, seen in waiting.items() if seen != "silent"]]
        if self.draw([True, False, False]):
            choices.append("left")
        choice = self.draw(choices)
        if choice == "left":
            return x.CallerLeft()
        if choice == "time":
            self.now = max(self.now, self.exchange.compute_wake_time())
            return x.TimePassed()
        seen = self.open[choice]
        if seen == "failed":
            return x.AttemptFailed(choice, ErrorKind.ANSWER_LOST)
        status = {"good": 200, "error": 500, "shed": 503}[seen]
        return x.HeadReceived(choice, status, seen == "shed")


@given(st.data(), st.booleans())
def test_every_interleaving_keeps_the_promises(data, idempotent):
    world = World(lambda options: data.draw(st.sampled_from(options)), idempotent)
    world.run()
    assert (world.reply is not None) + (world.relayed is not None) <= 1
    if not idempotent:
        assert world.runs <= 1
    if world.reply is not None and world.reply.outcome is Outcome.NOT_RUN:
        assert world.runs == 0
    if world.reply is None and world.relayed is None:
        assert world.truncated
    assert set(world.released) >= world.slots, "a slot was not given back"
    assert world.sends <= MAX_ATTEMPTS


@given(st.data())
def test_retries_and_hedges_stay_inside_their_budgets(data):
    retries = data.draw(st.integers(0, 3))
    hedges = data.draw(st.integers(0, 1))
    world = World(lambda options: data.draw(st.sampled_from(options)), True, retries, hedges)
    world.run()
    assert world.sends <= 1 + retries + hedges


@given(st.data())
def test_a_retry_never_names_a_tried_upstream_first(data):
    world = World(lambda options: data.draw(st.sampled_from(options)), True)
    world.run()
    tried: frozenset[str] = frozenset()
    for excluded in world.excluded:
        assert tried <= excluded
        tried = excluded


def test_a_request_that_must_not_repeat_is_not_hedged():
    exchange = Exchange(False, DEADLINE_S, HEDGE_S, FakeAllowance(9, 9))
    exchange.handle(0.0, x.Start())
    exchange.handle(0.0, x.SlotGranted(0, "a"))
    exchange.handle(0.0, x.Connected(0))
    exchange.handle(0.0, x.Sent(0))
    assert exchange.handle(HEDGE_S * 2, x.TimePassed()) == []


def test_the_loser_of_a_hedge_is_cancelled():
    exchange = Exchange(True, DEADLINE_S, HEDGE_S, FakeAllowance(0, 1))
    exchange.handle(0.0, x.Start())
    exchange.handle(0.0, x.SlotGranted(0, "a"))
    exchange.handle(0.0, x.Connected(0))
    exchange.handle(0.0, x.Sent(0))
    [acquire] = exchange.handle(HEDGE_S, x.TimePassed())
    assert acquire == x.AcquireSlot(1, frozenset({"a"}), may_wait=False)
    exchange.handle(HEDGE_S, x.SlotGranted(1, "b"))
    exchange.handle(HEDGE_S, x.Connected(1))
    exchange.handle(HEDGE_S, x.Sent(1))
    actions = exchange.handle(HEDGE_S, x.HeadReceived(1, 200, False))
    assert actions == [x.Release(0, x.Ended.CANCELLED), x.Relay(1)]


def test_a_retryable_answer_is_kept_until_a_better_one_arrives():
    exchange = Exchange(True, DEADLINE_S, None, FakeAllowance(1, 0))
    exchange.handle(0.0, x.Start())
    exchange.handle(0.0, x.SlotGranted(0, "a"))
    exchange.handle(0.0, x.Connected(0))
    exchange.handle(0.0, x.Sent(0))
    [acquire] = exchange.handle(0.0, x.HeadReceived(0, 500, False))
    assert not acquire.may_wait
    actions = exchange.handle(0.0, x.SlotRefused(1, ErrorKind.OVERLOADED))
    assert actions == [x.Relay(0)]


def test_a_caller_that_leaves_does_not_cancel_an_order():
    exchange = Exchange(False, DEADLINE_S, None, FakeAllowance(0, 0))
    exchange.handle(0.0, x.Start())
    exchange.handle(0.0, x.SlotGranted(0, "a"))
    exchange.handle(0.0, x.Connected(0))
    exchange.handle(0.0, x.Sent(0))
    assert exchange.handle(0.0, x.CallerLeft()) == []
    assert exchange.handle(1.0, x.HeadReceived(0, 200, False)) == [x.Relay(0)]


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_each_kind_has_one_answer(kind):
    answer = ERROR_RESPONSES[kind]
    assert 400 <= answer.status <= 599
    assert answer.title


def take_first(exchange: Exchange, status: int, not_run: bool) -> list[x.Action]:
    exchange.handle(0.0, x.Start())
    exchange.handle(0.0, x.SlotGranted(0, "u1"))
    exchange.handle(0.0, x.Connected(0))
    exchange.handle(0.0, x.Sent(0))
    return exchange.handle(0.1, x.HeadReceived(0, status, not_run))


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_status_that_would_promise_too_much_is_not_passed_on(status):
    promises = frozenset({408, 421, 429, 503})
    exchange = Exchange(False, DEADLINE_S, None, FakeAllowance(3, 0), 4, promises)
    reply = take_first(exchange, status, not_run=False)[-2]
    assert reply.outcome is Outcome.UNKNOWN
    assert ERROR_RESPONSES[reply.kind].status == 502


def test_an_upstream_that_moved_is_not_asked_again_soon():
    exchange = Exchange(False, DEADLINE_S, None, FakeAllowance(3, 0))
    release, again = take_first(exchange, 421, not_run=True)
    assert release.ended is x.Ended.UNREACHABLE
    assert again.excluded == {"u1"}


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_what_may_have_run_is_sent_to_no_more_upstreams_than_the_route_allows(max_attempts):
    exchange = Exchange(True, DEADLINE_S, HEDGE_S, FakeAllowance(99, 99), max_attempts)
    actions = exchange.handle(0.0, x.Start())
    sends = 0
    while isinstance(actions[-1], x.AcquireSlot):
        number = actions[-1].attempt
        exchange.handle(0.0, x.SlotGranted(number, f"u{number}"))
        exchange.handle(0.0, x.Connected(number))
        exchange.handle(0.0, x.Sent(number))
        sends += 1
        actions = exchange.handle(0.1, x.AttemptFailed(number, ErrorKind.ANSWER_LOST))
    assert sends == max_attempts
