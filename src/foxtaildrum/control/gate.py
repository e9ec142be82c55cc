"""Delays messages until the journal writes before them are synced."""

from __future__ import annotations

from typing import Any

from ..events import Persist, Rewrite, Send


class PendingWrite:
    """A journal write that is not yet synced.

    Attributes
    ----------
    end_position : int
        Position of the journal after the write: a log index or a count of records.
    sends : list of Send
        Messages to send after the sync.
    """

    __slots__ = ("end_position", "sends")

    def __init__(self, end_position: int) -> None:
        self.end_position = end_position
        self.sends: list[Send] = []


class SyncGate:
    """Collects the journal records and messages of one event.

    A held message is sent only after every write started before it is synced. Otherwise a
    crash could undo a state that this instance has already reported to others.
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
        """Hold a message until all writes up to and including the next flush are synced."""
        self._held_sends.append(send)

    def count_records(self) -> int:
        """Return the number of records in the next write."""
        return len(self._batch)

    def flush(
        self,
        end_position: int,
        rewritten: list[list[Any]] | None,
        is_compaction: bool = False,
    ) -> list[Persist | Rewrite | Send]:
        """Return the next write, if any, and the messages that wait for no sync.

        Parameters
        ----------
        end_position : int
            Position of the journal after the write.
        rewritten : list or None
            Records that replace the whole journal, including those of the batch; None to
            append the batch.
        is_compaction : bool
            Whether the rewritten records only shorten the journal, so that the batch can be
            appended instead.
        """
        actions: list[Persist | Rewrite | Send] = []
        if self._batch or rewritten is not None:
            actions.append(self._build_write(end_position, rewritten, is_compaction))
        held, self._held_sends = self._held_sends, []
        if self.writes:
            self.writes[max(self.writes)].sends.extend(held)
        else:
            actions.extend(held)
        return actions

    def pop_synced(self, token: int) -> PendingWrite | None:
        """Remove and return the write that is now synced, with the messages to send."""
        return self.writes.pop(token, None)

    def clear(self) -> None:
        """Discard all pending writes, records and messages after a failed write."""
        self.writes.clear()
        self._batch.clear()
        self._held_sends.clear()

    def _build_write(
        self, end_position: int, rewritten: list[list[Any]] | None, is_compaction: bool
    ) -> Persist | Rewrite:
        self._token += 1
        self.writes[self._token] = PendingWrite(end_position)
        batch: list[Any] = ["batch", *self._batch]
        self._batch = []
        if rewritten is not None:
            return Rewrite(self._token, rewritten, batch if is_compaction else None)
        return Persist(self._token, batch)
