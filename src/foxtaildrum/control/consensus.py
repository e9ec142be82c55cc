"""Replicated log among the control instances, without I/O.

Leader election with pre-vote, commit by quorum, and a sync to disk before every vote and
acknowledgement. This module dispatches the events and forms a new group. The modules
election, leadership and following implement the protocol on the state defined in group.
"""

from __future__ import annotations

from ..events import (
    Action,
    Event,
    LeadershipTransferRequested,
    Persisted,
    PersistFailed,
    ProposalCompleted,
    Proposed,
    ReadIndexRequested,
    ReadIndexResolved,
    Received,
    Send,
    Tick,
)
from ..records import (
    AppendReply,
    AppendRequest,
    ControlProbe,
    Handover,
    SnapshotPiece,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from .following import Following
from .group import ProposalFailure, Role
from .leadership import Leadership

FORMATION_PROBE_PERIOD_S = 0.5
DISK_RETRY_PERIOD_S = 0.5


class Consensus(Leadership, Following):
    """The replicated log on one control instance; entry point for its events."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions."""
        handlers = _FAILED_HANDLERS if self.role is Role.FAILED else _EVENT_HANDLERS
        handler = handlers.get(type(event))
        if handler is not None:
            handler(self, now, event)
        return self._flush()

    def _handle_tick(self, now: float, event: Tick) -> None:
        if self.role is Role.LEADER:
            self._tick_leader(now)
            return
        if self.pristine and not self._formed:
            self._probe_group(now)
            return
        if now >= self._election_at and self.is_voter():
            self._start_election(now, pre=True)

    def _handle_received(self, now: float, event: Received) -> None:
        handler = _MESSAGE_HANDLERS.get(type(event.message))
        if handler is not None:
            handler(self, now, event.peer_id, event.message)

    def _handle_persisted(self, now: float, event: Persisted) -> None:
        write = self._gate.pop_synced(event.token)
        if write is None:
            return
        self._synced_index = max(self._synced_index, write.end_position)
        self._actions.extend(write.sends)
        if self.role is Role.LEADER:
            self._advance_commit(now)

    def _handle_persist_failed(self, now: float, event: PersistFailed) -> None:
        self._clear_leader_state()
        self.role = Role.FAILED
        self.leader_id = ""
        self._gate.clear()
        self._needs_rewrite = self._is_compacted = False
        self._rewrite_at = now + DISK_RETRY_PERIOD_S

    # While the disk fails, this instance neither votes nor acknowledges anything. What it holds
    # in memory is written as a whole until that succeeds; then the disk lacks nothing.

    def _tick_failed(self, now: float, event: Tick) -> None:
        if now >= self._rewrite_at and not self._gate.writes:
            self._needs_rewrite = True

    def _handle_rewritten(self, now: float, event: Persisted) -> None:
        write = self._gate.pop_synced(event.token)
        if write is None:
            return
        self._synced_index = write.end_position
        self.role = Role.FOLLOWER if self.is_voter() else Role.LEARNER
        self._reset_election(now)

    def _handle_rewrite_failed(self, now: float, event: PersistFailed) -> None:
        if self._gate.pop_synced(event.token) is not None:
            self._rewrite_at = now + DISK_RETRY_PERIOD_S

    def _handle_proposed(self, now: float, event: Proposed) -> None:
        if self.role is not Role.LEADER:
            self._actions.append(ProposalCompleted(event.token, ProposalFailure.NOT_LEADER))
            return
        index = self._append_new_entry(event.kind, event.payload)
        self._pending_proposals[index] = event.token
        self._replicate(now)

    def _handle_read_index_requested(self, now: float, event: ReadIndexRequested) -> None:
        if self.role is not Role.LEADER:
            self._actions.append(ReadIndexResolved(event.token, -1))
            return
        self._pending_reads[event.token] = now
        self._replicate(now)
        self._complete_reads(now)

    def _handle_transfer_requested(
        self, now: float, event: LeadershipTransferRequested
    ) -> None:
        if self.role is not Role.LEADER:
            return
        ready = [
            p
            for p in self._peers
            if self._counts_toward_quorum(p) and not self._directory.is_gone(p)
        ]
        if ready:
            best = max(ready, key=lambda p: self._peers[p].match_index)
            self._actions.append(Send(best, Handover(term=self.term)))

    # Formation of a new group.

    def _probe_group(self, now: float) -> None:
        if self.instance_id not in self.founders:
            return
        others = [f for f in self.founders if f != self.instance_id]
        if not others:
            self._form_group({}, now)
            return
        if now < self._probe_at:
            return
        self._probe_at = now + FORMATION_PROBE_PERIOD_S
        probe = ControlProbe(disk_id=self.disk_id, pristine=True, reply=False)
        self._actions.extend(Send(p, probe) for p in others)

    def _handle_probe(self, now: float, peer: str, message: ControlProbe) -> None:
        if message.pristine:
            self._probed_disks[peer] = message.disk_id
        else:
            self._probed_disks.pop(peer, None)
        if not message.reply:
            answer = ControlProbe(disk_id=self.disk_id, pristine=self.pristine, reply=True)
            self._actions.append(Send(peer, answer))
        if not self.pristine or self.instance_id not in self.founders:
            return
        known_disks = {
            f: self._probed_disks[f] for f in self.founders if f in self._probed_disks
        }
        if len(known_disks) == len(self.founders) - 1:
            self._form_group(known_disks, now)

    def _form_group(self, disks: dict[str, str], now: float) -> None:
        self.holds_founding_disk = True
        voters = {
            peer: [disk, self._directory.find_address(peer)] for peer, disk in disks.items()
        }
        own_address = self._directory.find_address(self.instance_id)
        voters[self.instance_id] = [self.disk_id, own_address]
        if self._formed == voters:
            return
        self._formed = voters
        self._persist(["formed", voters])
        self._load_voter_configs()
        self.role = Role.FOLLOWER
        if len(voters) == 1:
            self._start_election(now, pre=False)


_EVENT_HANDLERS = {
    Tick: Consensus._handle_tick,
    Received: Consensus._handle_received,
    Persisted: Consensus._handle_persisted,
    PersistFailed: Consensus._handle_persist_failed,
    Proposed: Consensus._handle_proposed,
    LeadershipTransferRequested: Consensus._handle_transfer_requested,
    ReadIndexRequested: Consensus._handle_read_index_requested,
}

_FAILED_HANDLERS = {
    Tick: Consensus._tick_failed,
    Persisted: Consensus._handle_rewritten,
    PersistFailed: Consensus._handle_rewrite_failed,
}

_MESSAGE_HANDLERS = {
    ControlProbe: Consensus._handle_probe,
    VoteRequest: Consensus._handle_vote_request,
    VoteReply: Consensus._handle_vote_reply,
    AppendRequest: Consensus._handle_append_request,
    AppendReply: Consensus._handle_append_reply,
    SnapshotPiece: Consensus._handle_snapshot_piece,
    SnapshotReply: Consensus._handle_snapshot_reply,
    Handover: Consensus._handle_handover,
}
