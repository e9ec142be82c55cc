"""Upstream list on disk: what is synced, and who waits for that, without I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from .actions import UPSTREAM_STREAM, ActionQueue, Write
from .upstreams import READY, Entry, UpstreamList

SAVE_PERIOD_S = 0.5
RETRY_PERIOD_S = 2.0

_Rank = tuple[Any, ...]


class _Waiter:
    """Callback that is called once the entries that it waits for are synced."""

    __slots__ = ("call", "missing")

    def __init__(self, missing: int, call: Callable[[], None]) -> None:
        self.missing = missing
        self.call = call


class _PendingWrite:
    """A write that is not completed: whose ranks it syncs, and whether it replaces the list."""

    __slots__ = ("ranks", "replaces")

    def __init__(self, ranks: dict[str, _Rank], replaces: bool) -> None:
        self.ranks = ranks
        self.replaces = replaces


class UpstreamSaver:
    """Decides when entries are written, and remembers which of them are synced.

    The whole list is replaced now and then. An entry that somebody waits for is appended at
    once; entries that are appended together share a sync. After a write that failed, the file
    may end in half a record, so nothing counts that is appended before the list is replaced.

    Parameters
    ----------
    upstreams : UpstreamList
        List to save.
    actions : ActionQueue
        Receives the writes.
    now : float
        Current time in seconds.
    """

    def __init__(self, upstreams: UpstreamList, actions: ActionQueue, now: float) -> None:
        self._upstreams = upstreams
        self._actions = actions
        self._saved_root: int | None = 0
        self._save_at = now
        self._token = 0
        self._synced: dict[str, _Rank] = {}
        self._pending_writes: dict[int, _PendingWrite] = {}
        self._is_damaged = False
        self._waiters: dict[str, list[tuple[_Rank, _Waiter]]] = {}

    def tick(self, now: float) -> None:
        """Replace the saved list if it has changed, so that it survives a restart of all."""
        root = self._upstreams.digest.compute_root()
        if now < self._save_at or root == self._saved_root:
            return
        self._saved_root = root
        self._save_at = now + SAVE_PERIOD_S
        entries = self._upstreams.entries
        self._synced = {i: rank for i, rank in self._synced.items() if i in entries}
        self._write(now, list(entries.values()), replace=True)

    def record_restored(self, entry: Entry) -> None:
        """Record that an entry was read from the disk."""
        if entry.state != READY:
            self._record_synced(entry.upstream_id, entry.rank())

    def request_sync(
        self, now: float, entries: Iterable[Entry], call: Callable[[], None]
    ) -> None:
        """Call ``call`` once an entry at least as new as each of ``entries`` is synced.

        It is not called if the list holds none for one of them, or if the write fails.
        """
        missing = [e for e in entries if not self._is_synced(e)]
        if not missing:
            call()
            return
        known = [self._upstreams.entries.get(e.upstream_id) for e in missing]
        if any(k is None or k.rank() < e.rank() for k, e in zip(known, missing, strict=True)):
            return
        waiter = _Waiter(len(missing), call)
        for entry in missing:
            self._waiters.setdefault(entry.upstream_id, []).append((entry.rank(), waiter))
        unwritten = [e for e in known if e is not None and not self._is_being_written(e)]
        if unwritten:
            self._write(now, unwritten, replace=False)

    def handle_written(self, token: int) -> None:
        """Handle the completion of a write that was synced."""
        write = self._pending_writes.pop(token)
        if write.replaces:
            self._is_damaged = False
        elif self._is_damaged:
            self._drop_waiters(write)
            return
        for upstream_id, rank in write.ranks.items():
            self._record_synced(upstream_id, rank)
            self._release_waiters(upstream_id, self._synced[upstream_id])

    def handle_write_failed(self, now: float, token: int) -> None:
        """Handle a write that failed; those who wait for it have to request it again.

        No write is known by the token if the file was found damaged at the start.
        """
        write = self._pending_writes.pop(token, None)
        if write is not None:
            self._drop_waiters(write)
        self._is_damaged = True
        # The file is not known to hold any list, so the next tick writes it whatever its root.
        self._saved_root = None
        self._save_at = now + RETRY_PERIOD_S

    def _drop_waiters(self, write: _PendingWrite) -> None:
        for upstream_id in write.ranks:
            self._waiters.pop(upstream_id, None)

    def _release_waiters(self, upstream_id: str, rank: _Rank) -> None:
        waiting = self._waiters.pop(upstream_id, [])
        left = [(needed, waiter) for needed, waiter in waiting if needed > rank]
        if left:
            self._waiters[upstream_id] = left
        for needed, waiter in waiting:
            if needed <= rank:
                waiter.missing -= 1
                if not waiter.missing:
                    waiter.call()

    def _is_synced(self, entry: Entry) -> bool:
        rank = self._synced.get(entry.upstream_id)
        return rank is not None and rank >= entry.rank()

    def _is_being_written(self, entry: Entry) -> bool:
        rank = entry.rank()
        return any(
            w.ranks.get(entry.upstream_id) == rank for w in self._pending_writes.values()
        )

    def _record_synced(self, upstream_id: str, rank: _Rank) -> None:
        self._synced[upstream_id] = max(rank, self._synced.get(upstream_id, rank))

    def _write(self, now: float, entries: list[Entry], replace: bool) -> None:
        if self._is_damaged and not replace:
            entries = list(self._upstreams.entries.values())
            replace = True
        self._token += 1
        ranks = {e.upstream_id: e.rank() for e in entries if not replace or e.state != READY}
        self._pending_writes[self._token] = _PendingWrite(ranks, replace)
        records = [e.to_wire(now) for e in entries]
        self._actions.add(Write(UPSTREAM_STREAM, self._token, records, replace))
