"""Journal writer: order, shared syncs and failed writes."""

from __future__ import annotations

import contextlib
from collections import deque

import msgpack
import pykka
import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.control.journal import Journal
from foxtaildrum.control.storage import (
    JournalWriter,
    PerformWrites,
    StorageActor,
    WriteCompleted,
)
from foxtaildrum.fleet.actions import UPSTREAM_STREAM, Write

from .fleet import FakeDisk
from .sites import open_site
from .standins.processes import wait_until
from .standins.values import UNENCODABLE, describe

STREAMS = ("log", "claims")
WAIT_S = 10.0


class CountingDisk(FakeDisk):
    syncs = 0

    def append(self, name: str, data: bytes) -> None:
        self.syncs += 1
        super().append(name, data)


def build_writer():
    disk = CountingDisk()
    reports: list[WriteCompleted] = []
    journals = {stream: Journal(disk, stream) for stream in STREAMS}
    return disk, reports, JournalWriter(journals, reports.append)


def read_items(disk: FakeDisk, stream: str) -> list:
    items = []
    for record in Journal(disk, stream).load():
        kind, *fields = msgpack.unpackb(record)
        items += fields if kind == "batch" else [[kind, *fields]]
    return items


WRITES = st.lists(
    st.tuples(st.sampled_from(STREAMS), st.booleans(), st.booleans()), max_size=20
)


@given(WRITES)
def test_streams_keep_their_order_however_writes_are_grouped(steps):
    disk, reports, writer = build_writer()
    expected: dict[str, list] = {stream: [] for stream in STREAMS}
    waiting: list[Write] = []
    for token, (stream, replaces, drains) in enumerate(steps):
        item = ["item", token]
        if replaces:
            expected[stream] = [item]
            waiting.append(Write(stream, token, [item], True))
        else:
            expected[stream].append(item)
            waiting.append(Write(stream, token, [["batch", item]], False))
        if drains:
            writer.perform(waiting)
            waiting = []
    writer.perform(waiting)
    for stream in STREAMS:
        assert read_items(disk, stream) == expected[stream]
    assert sorted(r.token for r in reports) == list(range(len(steps)))
    for stream in STREAMS:
        tokens = [r.token for r in reports if r.stream == stream]
        assert tokens == sorted(tokens)


def test_writes_that_wait_together_share_one_sync():
    disk, reports, writer = build_writer()
    writer.perform([Write("log", n, [["batch", ["item", n]]], False) for n in range(9)])
    assert disk.syncs == 1
    assert [r.token for r in reports] == list(range(9))


def test_a_failed_stream_is_not_written_again_and_the_other_goes_on():
    disk, reports, writer = build_writer()
    disk.failing = True
    writer.perform([Write("log", 1, [["batch", ["item", 1]]], False)])
    disk.failing = False
    writer.perform(
        [
            Write("log", 2, [["batch", ["item", 2]]], False),
            Write("claims", 3, [["batch", ["item", 3]]], False),
        ]
    )
    assert [(r.token, r.failed) for r in reports] == [(1, True), (2, True), (3, False)]
    assert read_items(disk, "log") == []


def test_a_write_that_ends_after_the_node_stops_the_storage(tmp_path):
    with open_site(tmp_path) as site:
        instance = site.instance
        instance._actor.stop()
        for token in (1, 2):
            instance._queue_write(Write("upstreams", token, [[f"saved-{token}"]], True))
            instance._storage.ask(PerformWrites(), timeout=5.0)
        assert b"saved-2" in (tmp_path / "state" / "upstreams").read_bytes()


def run_storage(writes: list[Write]):
    """Perform writes in a storage actor, one at a time; return the disk and the reports."""
    disk = FakeDisk()
    reports: list = []
    journals = {name: Journal(disk, name) for name in ("log", "claims", "upstreams")}
    waiting: deque[Write] = deque()
    actor = StorageActor.start(waiting, JournalWriter(journals, reports.append))
    try:
        for write in writes:
            waiting.append(write)
            actor.tell(PerformWrites())
        assert wait_until(lambda: len(reports) == len(writes) or not actor.is_alive(), WAIT_S)
        assert actor.is_alive()
    finally:
        with contextlib.suppress(pykka.ActorDeadError):
            actor.stop(timeout=WAIT_S)
    return disk, {(report.stream, report.token): report.failed for report in reports}


# Guards against review/3: one name that can't be encoded ended the storage of its instance, and
# with it every later vote and acknowledgement there.
@pytest.mark.parametrize("odd", UNENCODABLE, ids=describe)
def test_an_upstream_that_cannot_be_written_stops_the_storage(odd):
    disk, failed = run_storage(
        [
            Write("upstreams", 1, [["three"]], True),
            Write("upstreams", 2, [["one"], ["odd", odd], ["two"]], True),
            Write("log", 1, [["batch", ["vote", 1, "c1"]]], False),
        ]
    )
    assert failed == {("upstreams", 1): False, ("upstreams", 2): False, ("log", 1): False}
    assert read_items(disk, "upstreams") == [["one"], ["two"]]
    assert read_items(disk, "log") == [["vote", 1, "c1"]]


@pytest.mark.parametrize("odd", UNENCODABLE, ids=describe)
@pytest.mark.parametrize("replaces", [True, False])
def test_a_log_record_that_cannot_be_written_stops_the_other_streams(odd, replaces):
    disk, failed = run_storage(
        [
            Write("log", 1, [["batch", ["vote", 1, "c1"]]], False),
            Write("log", 2, [["batch", ["vote", 2, odd]]], replaces),
            Write("log", 3, [["batch", ["vote", 3, "c1"]]], False),
            Write("claims", 1, [["batch", ["recovered"]]], False),
            Write("upstreams", 1, [["one"]], True),
        ]
    )
    # What follows a record that is missing must not be written: it would take its place.
    assert [failed["log", n] for n in (1, 2, 3)] == [False, True, True]
    assert (failed["claims", 1], failed["upstreams", 1]) == (False, False)
    assert read_items(disk, "log") == [["vote", 1, "c1"]]


def test_writes_queued_beside_an_unwritable_one_get_no_report():
    disk = FakeDisk()
    reports: list = []
    journals = {name: Journal(disk, name) for name in ("log", "claims", "upstreams")}
    JournalWriter(journals, reports.append).perform(
        [
            Write("log", 1, [["batch", ["vote", 1, "c1"]]], False),
            Write("log", 2, [["batch", ["vote", 2, "c\ud83d"]]], False),
            Write("log", 3, [["batch", ["vote", 3, "c1"]]], False),
            Write("claims", 1, [["batch", ["recovered"]]], False),
        ]
    )
    assert {(w.stream, w.token): w.failed for w in reports} == {
        ("log", 1): False,
        ("log", 2): True,
        ("log", 3): True,
        ("claims", 1): False,
    }


def test_a_failed_write_of_the_upstream_list_is_the_last_one():
    disk = FakeDisk()
    reports: list[WriteCompleted] = []
    writer = JournalWriter({UPSTREAM_STREAM: Journal(disk, UPSTREAM_STREAM)}, reports.append)
    disk.failing = True
    writer.perform([Write(UPSTREAM_STREAM, 1, [["u"]], False)])
    disk.failing = False
    writer.perform([Write(UPSTREAM_STREAM, 2, [["u"]], True)])
    assert [r.failed for r in reports] == [True, False]
