"""Followers and learners of the control group: replication of the leader's log."""

from __future__ import annotations

from ..events import Send, StateReplaced
from ..records import (
    AppendReply,
    AppendRequest,
    SnapshotPiece,
    SnapshotReply,
)
from .election import Election
from .entries import Entry
from .group import Role


class Following(Election):
    """Appends the entries and installs the snapshots that the leader sends."""

    def _handle_append_request(self, now: float, peer: str, message: AppendRequest) -> None:
        if not self._accept_leader(now, peer, message.term):
            self._reply_append(peer, message, matched=False, index=0)
            return
        if not self._matches_log(message):
            hint = min(self.log.last_index, message.previous_index - 1)
            self._reply_append(peer, message, matched=False, index=max(0, hint))
            return
        entries = [Entry(*fields) for fields in message.entries]
        self._append_entries(entries)
        last = message.previous_index + len(entries)
        if min(message.commit_index, last) > self.commit_index:
            self.commit_index = min(message.commit_index, last)
            self._apply_committed()
        self._reply_append(peer, message, matched=True, index=last)

    def _accept_leader(self, now: float, peer: str, term: int) -> bool:
        if term < self.term:
            return False
        if term > self.term:
            self._adopt_term(now, term)
        self.leader_id = peer
        self.role = Role.FOLLOWER if self.is_voter() else Role.LEARNER
        self._leader_heard_at = now
        self._reset_election(now)
        return True

    def _matches_log(self, message: AppendRequest) -> bool:
        if message.previous_index < self.log.snapshot_index:
            # The snapshot includes only committed entries, which every later leader has.
            return True
        return self.log.get_term(message.previous_index) == message.previous_term

    def _append_entries(self, entries: list[Entry]) -> None:
        new_entries = []
        for entry in entries:
            if entry.index <= self.log.snapshot_index:
                continue
            if not new_entries and self.log.get_term(entry.index) == entry.term:
                continue
            new_entries.append(entry)
        if not new_entries:
            return
        self._truncate_log(new_entries[0].index - 1)
        for entry in new_entries:
            self.log.append(entry)
            self._record_config(entry)
        self._persist(["entries", [e.to_wire() for e in new_entries]])

    def _reply_append(
        self, peer: str, message: AppendRequest, matched: bool, index: int
    ) -> None:
        reply = AppendReply(
            term=self.term,
            matched=matched,
            match_index=index,
            sent_at=message.sent_at,
            disk_id=self.disk_id,
        )
        self._gate.hold(Send(peer, reply))

    def _handle_snapshot_piece(self, now: float, peer: str, message: SnapshotPiece) -> None:
        if not self._accept_leader(now, peer, message.term):
            self._reply_snapshot(peer, message, 0)
            return
        if message.index <= self.commit_index:
            self._acknowledge_snapshot(peer, message, self.commit_index)
            return
        if self._incoming_snapshot_index != message.index or message.offset == 0:
            self._incoming_snapshot_index = message.index
            self._incoming_snapshot.clear()
        if message.offset == len(self._incoming_snapshot):
            self._incoming_snapshot += message.piece
            if message.final:
                self._install_snapshot(message)
                self._acknowledge_snapshot(peer, message, message.index)
                return
        self._reply_snapshot(peer, message, len(self._incoming_snapshot))

    def _acknowledge_snapshot(self, peer: str, message: SnapshotPiece, index: int) -> None:
        reply = AppendReply(
            term=self.term,
            matched=True,
            match_index=index,
            sent_at=message.sent_at,
            disk_id=self.disk_id,
        )
        self._gate.hold(Send(peer, reply))

    def _reply_snapshot(self, peer: str, message: SnapshotPiece, offset: int) -> None:
        reply = SnapshotReply(
            term=self.term,
            index=message.index,
            offset=offset,
            sent_at=message.sent_at,
            disk_id=self.disk_id,
        )
        self._gate.hold(Send(peer, reply))

    def _install_snapshot(self, message: SnapshotPiece) -> None:
        self._snapshot = bytes(self._incoming_snapshot)
        self._incoming_snapshot.clear()
        self._incoming_snapshot_index = 0
        if self.log.get_term(message.index) == message.last_term:
            self.log.compact(message.index, message.last_term)
        else:
            self._truncate_log(self.log.snapshot_index)
            self.log.compact(message.index, message.last_term)
        self.commit_index = message.index
        self.applied_index = message.index
        self._applied_bytes = 0
        self._restore_snapshot()
        self._load_voter_configs()
        self._needs_rewrite = True
        self._actions.append(StateReplaced(message.index))
