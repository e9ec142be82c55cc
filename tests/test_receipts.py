"""Receipts of drains and leaves: whose are counted, and what those of earlier releases mean."""

from __future__ import annotations

from foxtaildrum.fleet.receipts import (
    MAJORITY_PREFIX,
    RECEIPT_TIMEOUT_S,
    STORED_PREFIX,
    Receipts,
)
from foxtaildrum.fleet.upstreams import LEFT, Entry
from foxtaildrum.records import Announcement

VOTERS = ["c1", "c2", "c3"]


def begin(receipts: Receipts) -> str:
    announcement = Announcement(pool="p", address="127.0.0.1:1", incarnation=7)
    entry = Entry("u", announcement, LEFT, "c1", 1, False, 99.0)
    return receipts.begin(0.0, "leave", entry)


def count_stored(receipts: Receipts, now: float = 0.1) -> list[bool]:
    return [c.stored for c in receipts.pop_actions(now, VOTERS)]


def test_a_voter_does_not_count_itself_before_its_own_sync():
    receipts = Receipts("c1", knows_voters=True)
    token = begin(receipts)
    receipts.record_holder("c2", token)
    assert count_stored(receipts) == []
    receipts.record_holder("c1", token)
    assert count_stored(receipts) == [True]


def test_receipts_of_others_than_voters_make_no_majority():
    receipts = Receipts("c1", knows_voters=True)
    token = begin(receipts)
    for name in ("c1", "e1", "e2", "e3"):
        receipts.record_holder(name, token)
    assert count_stored(receipts) == []
    assert count_stored(receipts, RECEIPT_TIMEOUT_S) == [False]


def test_one_control_instance_that_found_a_majority_is_enough_for_an_entry_instance():
    receipts = Receipts("e1", knows_voters=False)
    token = begin(receipts)
    receipts.record_holder("c2", STORED_PREFIX + token.removeprefix(MAJORITY_PREFIX))
    assert count_stored(receipts) == [True]


def test_an_entry_instance_needs_a_majority_of_control_instances_of_an_earlier_release():
    receipts = Receipts("e1", knows_voters=False)
    token = begin(receipts)
    receipts.record_holder("c2", token)
    assert count_stored(receipts) == []
    receipts.record_holder("c3", token)
    assert count_stored(receipts) == [True]
