"""Entries of the replicated log and the state loaded from its journal."""

from __future__ import annotations

from itertools import islice
from typing import Any

from ..sizes import count_fitting, measure_record


class Entry:
    """One entry of the log.

    Attributes
    ----------
    size : int
        Size of the encoded entry in bytes.
    """

    __slots__ = ("index", "kind", "payload", "size", "term")

    def __init__(self, index: int, term: int, kind: str, payload: Any) -> None:
        self.index = index
        self.term = term
        self.kind = kind
        self.payload = payload
        self.size = measure_record(self.to_wire())

    def to_wire(self) -> list[Any]:
        """Return the entry as a list that msgpack can encode."""
        return [self.index, self.term, self.kind, self.payload]


class Log:
    """Log entries after the last snapshot."""

    __slots__ = ("_entries", "snapshot_index", "snapshot_term")

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self.snapshot_index = 0
        self.snapshot_term = 0

    def __len__(self) -> int:
        """Return the number of entries after the snapshot."""
        return len(self._entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot_term

    def get_term(self, index: int) -> int | None:
        """Return the term at ``index``, or None if the log has no such entry."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self.get(index).term
        return None

    def get(self, index: int) -> Entry:
        """Return the entry at ``index``."""
        return self._entries[index - self.snapshot_index - 1]

    def list_from(self, index: int, limit: int) -> list[Entry]:
        """Return up to ``limit`` entries, starting at ``index``."""
        start = index - self.snapshot_index - 1
        return self._entries[start : start + limit]

    def list_batch(self, index: int) -> list[Entry]:
        """Return the entries from ``index`` on that fit into one message; at least one."""
        start = index - self.snapshot_index - 1
        sizes = (entry.size for entry in islice(self._entries, start, None))
        return self._entries[start : start + count_fitting(sizes)]

    def append(self, entry: Entry) -> None:
        """Append one entry."""
        self._entries.append(entry)

    def truncate(self, last_index: int) -> None:
        """Drop every entry after ``last_index``."""
        del self._entries[max(0, last_index - self.snapshot_index) :]

    def compact(self, index: int, term: int) -> None:
        """Drop the entries up to ``index``, which a snapshot now includes."""
        if index >= self.last_index:
            self._entries = []
        else:
            self._entries = self._entries[index - self.snapshot_index :]
        self.snapshot_index = index
        self.snapshot_term = term


class SavedState:
    """State of one control instance, loaded from its journal.

    Parameters
    ----------
    records : list
        Decoded journal records; empty for a new disk.

    Attributes
    ----------
    replaces_damaged : bool
        Whether the disk is new because a damaged journal was set aside.
    """

    def __init__(self, records: list[list[Any]]) -> None:
        self.disk_id = ""
        self.replaces_damaged = False
        self.formed: dict[str, list[str]] = {}
        self.term = 0
        self.voted_for = ""
        self.log = Log()
        self.snapshot: bytes = b""
        for kind, *fields in records:
            getattr(self, f"_load_{kind}")(*fields)

    def _load_batch(self, *records: list[Any]) -> None:
        for kind, *fields in records:
            getattr(self, f"_load_{kind}")(*fields)

    def _load_disk(self, disk_id: str) -> None:
        self.disk_id = disk_id

    def _load_formed(self, voters: dict[str, list[str]]) -> None:
        self.formed = voters

    def _load_vote(self, term: int, voted_for: str) -> None:
        self.term, self.voted_for = term, voted_for

    def _load_entries(self, entries: list[list[Any]]) -> None:
        for fields in entries:
            entry = Entry(*fields)
            if entry.index <= self.log.snapshot_index:
                continue
            self.log.truncate(entry.index - 1)
            self.log.append(entry)

    def _load_snapshot(self, index: int, term: int, state: bytes) -> None:
        self.log.compact(index, term)
        self.snapshot = state
