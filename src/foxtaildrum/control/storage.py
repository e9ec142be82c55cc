"""Actor that writes the journals of an instance."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgpack
import pykka

from ..fleet.actions import UPSTREAM_STREAM, Write
from ..logs import log_event
from .journal import Journal


@dataclass(slots=True)
class WriteCompleted:
    """A write was synced or has failed."""

    stream: str
    token: int
    failed: bool


@dataclass(slots=True)
class PerformWrites:
    """Message to the storage actor: perform all queued writes."""


class JournalWriter:
    """Performs writes in order; appends that are queued together share one sync.

    Parameters
    ----------
    journals : dict
        Journals by the name of their stream.
    report : callable
        Called with :class:`WriteCompleted` after each write.
    """

    def __init__(
        self, journals: dict[str, Journal], report: Callable[[WriteCompleted], None]
    ) -> None:
        self._journals = journals
        self._report = report
        self._failed_streams: set[str] = set()

    def perform(self, writes: list[Write]) -> None:
        """Perform writes of several streams; the order is kept within each stream."""
        groups: dict[str, list[Write]] = {}
        for write in writes:
            if write.replace:
                self._append(groups.pop(write.stream, []))
                self._replace(write)
            else:
                groups.setdefault(write.stream, []).append(write)
        for group in groups.values():
            self._append(group)

    def _append(self, group: list[Write]) -> None:
        if not group:
            return
        stream = group[0].stream
        journal = self._journals[stream]
        records = [r for write in group for r in write.records]
        if stream != UPSTREAM_STREAM:
            records = [merge_batches(records)]
        packed = [msgpack.packb(record) for record in records]
        self._run_and_report(group, lambda: journal.append(*packed))

    def _replace(self, write: Write) -> None:
        journal = self._journals[write.stream]
        packed = [msgpack.packb(record) for record in write.records]
        self._run_and_report([write], lambda: journal.replace(packed))

    def _run_and_report(self, group: list[Write], perform: Callable[[], None]) -> None:
        stream = group[0].stream
        if stream not in self._failed_streams:
            try:
                perform()
            except OSError as error:
                # After a failed sync the content of the file is unknown, so the stream is
                # not written again.
                self._failed_streams.add(stream)
                log_event("disk_failed", stream=stream, reason=str(error))
        for write in group:
            self._report(WriteCompleted(stream, write.token, stream in self._failed_streams))


class StorageActor(pykka.ThreadingActor):
    """Runs the writer in its own thread, so that a sync doesn't block the node.

    Parameters
    ----------
    waiting : deque of Write
        Queued writes; the node adds to it and then sends :class:`PerformWrites`.
    writer : JournalWriter
        Performs the writes.
    """

    def __init__(self, waiting: deque[Write], writer: JournalWriter) -> None:
        super().__init__()
        self._waiting = waiting
        self._writer = writer

    def on_receive(self, message: PerformWrites) -> None:
        """Perform all queued writes."""
        writes = []
        while self._waiting:
            writes.append(self._waiting.popleft())
        self._writer.perform(writes)


def merge_batches(records: list[list[Any]]) -> list[Any]:
    """Return one batch record with the items of several batch records.

    A record is written and checked as a whole, so a crash can't keep a later batch and lose
    an earlier one.
    """
    merged: list[Any] = ["batch"]
    for _, *items in records:
        merged += items
    return merged
