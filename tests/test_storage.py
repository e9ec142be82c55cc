"""Journal writer: order, shared syncs and failed writes."""

from __future__ import annotations

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.control.journal import Journal
from foxtaildrum.control.storage import JournalWriter, WriteCompleted
from foxtaildrum.fleet.actions import Write

from .fleet import FakeDisk

STREAMS = ("log", "claims")


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
