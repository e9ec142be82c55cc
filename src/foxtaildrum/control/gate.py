"""Holds messages back until the writes before them are synced."""

from __future__ import annotations

from typing import Any

from ..events import Persist, Rewrite, Send


class PendingWrite:
    """A write whose sync is outstanding.

    Attributes
    ----------
    marker : int
        Position that the write brings the journal to.
    sends : list of Send
        Messages that wait for the sync.
    """

    __slots__ = ("end_position", "sends")

    def __init__(self, end_position: int) -> None:
        self.end_position = end_position
        self.sends: list[Send] = []


class SyncGate:
    """Collects records and messages of one event and orders them.

    A message that is held leaves only when every write begun before it is synced, so
    that nothing is told to others that a crash could undo.
    """

    __slots__ = ("_batch", "_held_sends", "_token", "writes")

    def __init__(self) -> None:
        self.writes: dict[int, PendingWrite] = {}
        self._batch: list[list[Any]] = []
        self._held_sends: list[Send] = []
        self._token = 0

    def add_record(self, record: list[Any]) -> None:
        """Add a journal record to the next write."""
        self._batch.append(record)

    def hold(self, send: Send) -> None:
        """Hold a message until the writes up to the next flush are synced."""
        self._held_sends.append(send)

    def count_records(self) -> int:
        """Return the records of the next write."""
        return len(self._batch)

    def flush(
        self, end_position: int, rewritten: list[list[Any]] | None
    ) -> list[Persist | Rewrite | Send]:
        """Return the write and the messages that are due.

        Parameters
        ----------
        marker : int
            Position that the write brings the journal to.
        rewritten : list or None
            Records that replace the journal as a whole; they include the batch.
        """
        out: list[Persist | Rewrite | Send] = []
        if self._batch or rewritten is not None:
            out.append(self._build_write(end_position, rewritten))
        held, self._held_sends = self._held_sends, []
        if self.writes:
            self.writes[max(self.writes)].sends.extend(held)
        else:
            out.extend(held)
        return out

    def pop_synced(self, token: int) -> PendingWrite | None:
        """Return the write that is now synced, with the messages to send."""
        return self.writes.pop(token, None)

    def clear(self) -> None:
        """Drop everything after a failed write."""
        self.writes.clear()
        self._batch.clear()
        self._held_sends.clear()

    def _build_write(
        self, end_position: int, rewritten: list[list[Any]] | None
    ) -> Persist | Rewrite:
        self._token += 1
        self.writes[self._token] = PendingWrite(end_position)
        batch, self._batch = self._batch, []
        if rewritten is not None:
            return Rewrite(self._token, rewritten)
        return Persist(self._token, ["batch", *batch])
