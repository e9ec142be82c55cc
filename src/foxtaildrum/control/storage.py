"""Actor that writes the journals of an instance."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgpack
import pykka

from ..exceptions import FileNotReplacedError
from ..fleet.actions import UPSTREAM_STREAM, Write
from ..logs import log_event
from ..sizes import ENCODING_ERRORS
from .journal import Journal

# Token of a report that belongs to no write.
NO_TOKEN = 0
# Streams whose records do not depend on each other.
INDEPENDENT_STREAMS = frozenset({UPSTREAM_STREAM})


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
        self._failed_streams = {name for name, j in journals.items() if j.is_torn}

    def report_torn(self) -> None:
        """Report the journals whose torn last record could not be cut off at the start."""
        for stream in sorted(self._failed_streams):
            self._report(WriteCompleted(stream, NO_TOKEN, failed=True))

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
        if stream in INDEPENDENT_STREAMS:
            packed = [record for w in group for record in self._pack_each(w) or []]
        else:
            try:
                packed = [msgpack.packb(merge_batches([r for w in group for r in w.records]))]
            except ENCODING_ERRORS as error:
                if len(group) > 1:
                    for write in group:
                        self._append([write])
                    return
                packed = []
                self._fail(stream, error)
        self._run_and_report(group, lambda: self._journals[stream].append(*packed))

    def _replace(self, write: Write) -> None:
        journal = self._journals[write.stream]
        packed = self._pack_each(write)
        if packed is None:
            self._report(WriteCompleted(write.stream, write.token, failed=True))
            return
        if write.substitute is None or write.stream in self._failed_streams:
            self._run_and_report([write], lambda: journal.replace(packed), replaces=True)
            return
        self._run_and_report([write], lambda: self._compact(write, packed))

    def _compact(self, write: Write, packed: list[bytes]) -> None:
        """Replace a journal by a shorter one; without the room for it, append what is new."""
        journal = self._journals[write.stream]
        try:
            journal.replace(packed)
        except FileNotReplacedError as error:
            log_event(
                "journal_not_compacted",
                level=logging.WARNING,
                stream=write.stream,
                reason=str(error),
            )
            _, *items = write.substitute
            if items:
                journal.append(msgpack.packb(write.substitute))

    def _pack_each(self, write: Write) -> list[bytes] | None:
        """Return the records of a write, without those that cannot be encoded.

        A log that lacks a record is of no use, so its stream fails and there is no result.
        """
        packed = []
        for record in write.records:
            try:
                packed.append(msgpack.packb(record))
            except ENCODING_ERRORS as error:
                if write.stream not in INDEPENDENT_STREAMS:
                    self._fail(write.stream, error)
                    return None
                log_event(
                    "record_skipped",
                    level=logging.WARNING,
                    subject=write.stream,
                    source="storage",
                    reason=str(error),
                )
        return packed

    def _fail(self, stream: str, error: Exception) -> None:
        """Append nothing to a stream until it is replaced.

        The content of its file is unknown, or lacks a record.
        """
        self._failed_streams.add(stream)
        log_event(
            "disk_failed",
            level=logging.ERROR,
            stream=stream,
            reason=str(error) or repr(error),
        )

    def _record_replaced(self, stream: str) -> None:
        if stream in self._failed_streams:
            self._failed_streams.discard(stream)
            log_event("disk_recovered", stream=stream)

    def _run_and_report(
        self, group: list[Write], perform: Callable[[], None], replaces: bool = False
    ) -> None:
        stream = group[0].stream
        failed = stream in self._failed_streams and not replaces
        if not failed:
            try:
                perform()
            except Exception as error:
                failed = True
                self._fail(stream, error)
        if replaces and not failed:
            self._record_replaced(stream)
        for write in group:
            self._report(WriteCompleted(stream, write.token, failed))


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
