"""Requests that wait until the tables are known to be recent, and the reads that they share."""

from __future__ import annotations

import threading

import pytest

from foxtaildrum.clock import read_clock
from foxtaildrum.control.table_follower import TableFollower, TableState
from foxtaildrum.requests import confirmations as confirmations_module
from foxtaildrum.requests.confirmations import (
    FAILURE_PERIOD_S,
    KEEP_RECENT_AGE_S,
    MAX_WAIT_S,
    READ_LIMIT_S,
    READ_PERIOD_S,
    Confirmations,
)
from foxtaildrum.requests.routing import Router
from foxtaildrum.requests.view import View

MAX_AGE_S = 1.5
NEVER = float("inf")
SLACK_S = 0.15


class Tables:
    """A view of some age, and the reads that are begun to confirm it.

    Attributes
    ----------
    answer : bool or None
        Whether each read succeeds, at once; None if it doesn't end.
    """

    def __init__(self, age_s: float) -> None:
        self.view = View(Router([]), {})
        self.view.complete_up_to = read_clock() - age_s
        self.answer: bool | None = None
        self.reads = 0
        self.confirmations = Confirmations(self._begin_read, lambda: self.view)

    def _begin_read(self, confirmations: Confirmations) -> None:
        self.reads += 1
        if self.answer is not None:
            # As from the thread of the node: the caller holds the lock.
            threading.Thread(target=self.end_read, args=(self.answer,)).start()

    def end_read(self, succeeded: bool) -> None:
        if succeeded:
            self.view.complete_up_to = confirmations_module.read_clock()
        self.confirmations.set(succeeded)

    def wait(self, deadline: float = NEVER) -> tuple[bool, float]:
        """Return whether the tables are recent, and the time that this took to know."""
        begun_at = read_clock()
        is_recent = self.confirmations.wait(MAX_AGE_S, deadline)
        return is_recent, read_clock() - begun_at


# Guards against tables of a lost group that count as recent by a read of the group after it.
@pytest.mark.parametrize(("group_id", "age_s"), [("own", 1.0), ("other", None)])
def test_a_read_confirms_the_tables_of_its_own_group_only(group_id, age_s):
    state = TableState()
    state.group_id = "own"
    follower = TableFollower(state, 5, fetches_entries=True)
    follower.record_beacon(group_id, 7, 1.0)
    follower.record_read(2.0)
    assert follower.compute_age(3.0) == age_s


def test_nobody_waits_for_recent_tables():
    tables = Tables(1.0)
    assert tables.wait()[0]
    assert tables.reads == 0


def test_a_request_waits_for_a_read():
    tables = Tables(3.5)
    tables.answer = True
    is_recent, waited_s = tables.wait()
    assert is_recent
    assert waited_s < SLACK_S
    assert tables.reads == 1


@pytest.mark.parametrize("limit_s", [NEVER, 0.05, 0.0, -1.0])
def test_a_request_waits_briefly_and_not_past_its_deadline(limit_s):
    tables = Tables(float("inf"))
    is_recent, waited_s = tables.wait(read_clock() + limit_s)
    assert not is_recent
    assert min(limit_s, MAX_WAIT_S) <= waited_s < min(max(limit_s, 0.0), MAX_WAIT_S) + SLACK_S


# Guards against a read for each request of a caller who uses these headers.
def test_requests_share_reads():
    tables = Tables(3.5)
    results = []
    threads = [
        threading.Thread(target=lambda: results.append(tables.wait())) for _ in range(20)
    ]
    for thread in threads:
        thread.start()
    threading.Event().wait(2 * READ_PERIOD_S)
    tables.end_read(True)
    for thread in threads:
        thread.join()
    assert all(is_recent for is_recent, _ in results)
    assert tables.reads == 1


# Guards against requests that all wait while the control group can't be reached.
def test_nobody_waits_while_reads_fail():
    tables = Tables(3.5)
    tables.answer = False
    assert not tables.wait()[0]
    tables.answer = None
    is_recent, waited_s = tables.wait()
    assert not is_recent
    assert waited_s < READ_PERIOD_S
    tables.end_read(True)
    tables.view.complete_up_to = read_clock() - 3.5
    assert tables.wait()[1] >= MAX_WAIT_S


# Guards against a refusal after a pause because a read, or its failure, is from before it.
@pytest.mark.parametrize("fails_before", [True, False])
def test_a_failure_before_a_pause_is_forgotten(monkeypatch, fails_before):
    tables = Tables(3.5)
    paused_s = 0.0
    monkeypatch.setattr(confirmations_module, "read_clock", lambda: read_clock() + paused_s)
    tables.confirmations.keep_recent(read_clock(), tables.view)
    if fails_before:
        tables.end_read(False)
        paused_s = FAILURE_PERIOD_S + 0.1
    else:
        paused_s = READ_LIMIT_S + 0.1
        tables.end_read(False)
    tables.answer = True
    assert tables.wait() == (True, pytest.approx(0.0, abs=SLACK_S))


# Guards against a wait once in a while where organisations were never in force.
def test_tables_are_confirmed_before_anybody_has_to_wait():
    tables = Tables(0.0)
    now = tables.view.complete_up_to
    tables.confirmations.keep_recent(now + KEEP_RECENT_AGE_S - 0.1, tables.view)
    assert tables.reads == 0
    for step in range(1, 4):
        tables.confirmations.keep_recent(now + KEEP_RECENT_AGE_S + step / 100, tables.view)
    assert tables.reads == 1
    assert KEEP_RECENT_AGE_S < MAX_AGE_S
