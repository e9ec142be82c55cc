"""Replicated log among the control instances, without I/O.

Leader election with pre-vote, quorum commit, and a sync before every vote and every
acknowledgement. This module takes the events and forms a new group; election, leadership and
following are modules of their own, over the state in group.
"""

from __future__ import annotations

from ..events import (
    Action,
    Event,
    HandoverRequested,
    Persisted,
    PersistFailed,
    Proposed,
    ReadAsked,
    ReadSettled,
    Received,
    Send,
    Settled,
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
from .group import Role, Unsettled
from .leadership import Leadership

PROBE_S = 0.5


class Consensus(Leadership, Following):
    """One control instance's part in the replicated log."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return the actions that follow from it."""
        if self.role is not Role.FAILED:
            _HANDLERS[type(event)](self, now, event)
        return self._flush()

    def _on_tick(self, now: float, event: Tick) -> None:
        if self.role is Role.LEADER:
            self._tick_leader(now)
            return
        if self.pristine and not self._formed:
            self._probe_group(now)
            return
        if now >= self._election_at and self.is_voter():
            self._start_election(now, pre=True)

    def _on_received(self, now: float, event: Received) -> None:
        handler = _MESSAGE_HANDLERS.get(type(event.message))
        if handler is not None:
            handler(self, now, event.peer_id, event.message)

    def _on_persisted(self, now: float, event: Persisted) -> None:
        write = self._gate.take_synced(event.token)
        if write is None:
            return
        self._synced_index = max(self._synced_index, write.marker)
        self._out.extend(write.sends)
        if self.role is Role.LEADER:
            self._advance_commit(now)

    def _on_persist_failed(self, now: float, event: PersistFailed) -> None:
        self._leave_leadership()
        self.role = Role.FAILED
        self.leader_id = ""
        self._gate.clear()
        self._rewrite = False

    def _on_proposed(self, now: float, event: Proposed) -> None:
        if self.role is not Role.LEADER:
            self._out.append(Settled(event.token, Unsettled.NOT_LEADER))
            return
        index = self._append_own(event.kind, event.payload)
        self._pending[index] = event.token
        self._replicate(now)

    def _on_read_asked(self, now: float, event: ReadAsked) -> None:
        if self.role is not Role.LEADER:
            self._out.append(ReadSettled(event.token, -1))
            return
        self._reads[event.token] = now
        self._replicate(now)
        self._settle_reads(now)

    def _on_handover(self, now: float, event: HandoverRequested) -> None:
        if self.role is not Role.LEADER:
            return
        ready = [p for p in self._peers if self._counts(p) and not self._directory.is_gone(p)]
        if ready:
            best = max(ready, key=lambda p: self._peers[p].match_index)
            self._out.append(Send(best, Handover(term=self.term)))

    # Formation of a new group.

    def _probe_group(self, now: float) -> None:
        if self.instance_id not in self.founders:
            return
        others = [f for f in self.founders if f != self.instance_id]
        if not others:
            self._form({}, now)
            return
        if now < self._probe_at:
            return
        self._probe_at = now + PROBE_S
        probe = ControlProbe(disk_id=self.disk_id, pristine=True, reply=False)
        self._out.extend(Send(p, probe) for p in others)

    def _on_probe(self, now: float, peer: str, message: ControlProbe) -> None:
        if message.pristine:
            self._probed[peer] = message.disk_id
        else:
            self._probed.pop(peer, None)
        if not message.reply:
            answer = ControlProbe(disk_id=self.disk_id, pristine=self.pristine, reply=True)
            self._out.append(Send(peer, answer))
        if not self.pristine or self.instance_id not in self.founders:
            return
        met = {f: self._probed[f] for f in self.founders if f in self._probed}
        if len(met) == len(self.founders) - 1:
            self._form(met, now)

    def _form(self, disks: dict[str, str], now: float) -> None:
        self.formed_here = True
        voters = {
            peer: [disk, self._directory.find_address(peer)] for peer, disk in disks.items()
        }
        own_address = self._directory.find_address(self.instance_id)
        voters[self.instance_id] = [self.disk_id, own_address]
        if self._formed == voters:
            return
        self._formed = voters
        self._persist(["formed", voters])
        self._read_configs()
        self.role = Role.FOLLOWER
        if len(voters) == 1:
            self._start_election(now, pre=False)


_HANDLERS = {
    Tick: Consensus._on_tick,
    Received: Consensus._on_received,
    Persisted: Consensus._on_persisted,
    PersistFailed: Consensus._on_persist_failed,
    Proposed: Consensus._on_proposed,
    HandoverRequested: Consensus._on_handover,
    ReadAsked: Consensus._on_read_asked,
}

_MESSAGE_HANDLERS = {
    ControlProbe: Consensus._on_probe,
    VoteRequest: Consensus._on_vote_request,
    VoteReply: Consensus._on_vote_reply,
    AppendRequest: Consensus._on_append_request,
    AppendReply: Consensus._on_append_reply,
    SnapshotPiece: Consensus._on_snapshot_piece,
    SnapshotReply: Consensus._on_snapshot_reply,
    Handover: Consensus._on_handover_message,
}
