"""Entries of the log that an instance keeps for others that are a little behind."""

from __future__ import annotations

from collections import deque
from itertools import dropwhile
from typing import Any

from ..sizes import count_fitting, measure_record

WINDOW_ENTRIES = 256
WINDOW_BYTES = 1024 * 1024


class EntryWindow:
    """The latest entries that were applied, as (index, kind, payload).

    It is bounded both in entries and in bytes. An instance that lacks an entry before the
    window gets the whole tables, which are then smaller than the entries that led to them.
    """

    __slots__ = ("_entries", "_size")

    def __init__(self) -> None:
        self._entries: deque[tuple[int, list[Any]]] = deque()
        self._size = 0

    def append(self, entry: list[Any]) -> None:
        """Add the next entry, and drop the oldest ones that no longer fit."""
        size = measure_record(entry)
        self._entries.append((size, entry))
        self._size += size
        while self._entries and self._is_too_large():
            dropped_size, _ = self._entries.popleft()
            self._size -= dropped_size

    def clear(self) -> None:
        """Drop every entry."""
        self._entries.clear()
        self._size = 0

    def reaches_back_to(self, index: int) -> bool:
        """Return whether every entry after ``index`` is in the window."""
        return bool(self._entries) and self._entries[0][1][0] <= index + 1

    def list_batch(self, after_index: int) -> list[list[Any]]:
        """Return the entries after ``after_index`` that fit into one message."""
        later = list(dropwhile(lambda item: item[1][0] <= after_index, self._entries))
        count = count_fitting(size for size, _ in later)
        return [entry for _, entry in later[:count]]

    def _is_too_large(self) -> bool:
        return len(self._entries) > WINDOW_ENTRIES or self._size > WINDOW_BYTES
