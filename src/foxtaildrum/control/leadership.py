"""Leader of the control group: replication, commits, reads and changes of voters."""

from __future__ import annotations

from ..events import ReadIndexResolved, Send
from ..records import (
    AppendReply,
    AppendRequest,
    SnapshotPiece,
    SnapshotReply,
)
from .election import ELECTION_MIN_S, Election
from .group import ADMIT, NOOP, PeerProgress, Role

HEARTBEAT_S = 0.2
PIECE_BYTES = 65_536
FORMING_WAIT_S = 3.0  # a new leader waits this long for the group to reach its full size


class Leadership(Election):
    """Replicates the log, commits entries, confirms reads and changes the set of voters."""

    @property
    def leader_since(self) -> float:
        """Time at which this instance became the leader, in seconds."""
        return self._leader_since

    def compute_confirmed_at(self, now: float) -> float | None:
        """Return the time up to which a quorum has confirmed this leader, or None.

        Every change accepted by that time has an index up to ``commit_index``. None means
        that this instance doesn't lead or hasn't committed an entry of its term yet.
        """
        if self.role is not Role.LEADER or self.commit_index < self._term_start_index:
            return None
        return self._find_confirmed_at(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader_id = self.instance_id
        self._leader_since = now
        self._forming_wait_over = False
        self._peers = {p: PeerProgress(self.log.last_index + 1) for p in self.others}
        if self._voter_configs[-1][0]:
            self._term_start_index = self._append_new_entry(NOOP, None)
        else:
            group_id = f"{self._rng.getrandbits(64):016x}"
            payload = {"group_id": group_id, "voters": dict(self._formed)}
            self._term_start_index = self._append_new_entry(ADMIT, payload)
        self._replicate(now)

    def _tick_leader(self, now: float) -> None:
        if now - max(self._find_confirmed_at(now), self._leader_since) > ELECTION_MIN_S:
            self._step_down(now)
            return
        self._forming_wait_over = now - self._leader_since >= FORMING_WAIT_S
        self._change_voters(now)
        if now >= self._heartbeat_at:
            self._replicate(now)

    def _find_confirmed_at(self, now: float) -> float:
        times = [
            p.confirmed_at for i, p in self._peers.items() if self._counts_toward_quorum(i)
        ]
        times += [now] if self.is_voter() else []
        times += [float("-inf")] * (len(self.voters) - len(times))
        return sorted(times, reverse=True)[self.quorum - 1]

    def _complete_reads(self, now: float) -> None:
        confirmed_at = self.compute_confirmed_at(now)
        if confirmed_at is None:
            return
        for token, requested_at in list(self._pending_reads.items()):
            if requested_at <= confirmed_at:
                del self._pending_reads[token]
                self._actions.append(ReadIndexResolved(token, self.commit_index))

    def _replicate(self, now: float) -> None:
        self._heartbeat_at = now + HEARTBEAT_S
        for peer in self.others:
            self._send_append(now, peer)

    def _send_append(self, now: float, peer: str) -> None:
        progress = self._peers.setdefault(peer, PeerProgress(self.log.last_index + 1))
        previous = progress.next_index - 1
        previous_term = self.log.get_term(previous)
        if previous_term is None:
            self._send_piece(now, peer)
            return
        entries = self.log.list_batch(progress.next_index)
        request = AppendRequest(
            term=self.term,
            previous_index=previous,
            previous_term=previous_term,
            entries=[e.to_wire() for e in entries],
            commit_index=self.commit_index,
            sent_at=now,
        )
        progress.next_index += len(entries)
        self._actions.append(Send(peer, request))

    def _send_piece(self, now: float, peer: str) -> None:
        progress = self._peers[peer]
        if progress.offset > len(self._snapshot):
            progress.offset = 0
        end = progress.offset + PIECE_BYTES
        message = SnapshotPiece(
            term=self.term,
            index=self.log.snapshot_index,
            last_term=self.log.snapshot_term,
            offset=progress.offset,
            piece=self._snapshot[progress.offset : end],
            final=end >= len(self._snapshot),
            sent_at=now,
        )
        self._actions.append(Send(peer, message))

    def _handle_append_reply(self, now: float, peer: str, message: AppendReply) -> None:
        progress = self._accept_reply(now, peer, message)
        if progress is None:
            return
        if not message.matched:
            progress.next_index = max(1, min(progress.next_index - 1, message.match_index + 1))
            self._send_append(now, peer)
            return
        progress.match_index = max(progress.match_index, message.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self._advance_commit(now)
        self._change_voters(now)
        self._complete_reads(now)
        if self.role is Role.LEADER and progress.next_index <= self.log.last_index:
            self._send_append(now, peer)

    def _accept_reply(
        self, now: float, peer: str, message: AppendReply | SnapshotReply
    ) -> PeerProgress | None:
        if message.term > self.term:
            self._adopt_term(now, message.term)
            return None
        if self.role is not Role.LEADER or message.term != self.term:
            return None
        progress = self._peers.get(peer)
        if progress is None:
            return None
        if progress.disk_id != message.disk_id:
            progress.disk_id = message.disk_id
            progress.match_index = 0
            progress.offset = 0
        progress.confirmed_at = max(progress.confirmed_at, message.sent_at)
        return progress

    def _handle_snapshot_reply(self, now: float, peer: str, message: SnapshotReply) -> None:
        progress = self._accept_reply(now, peer, message)
        if progress is None:
            return
        if message.index != self.log.snapshot_index:
            progress.offset = 0
            return
        progress.offset = message.offset
        if message.offset >= len(self._snapshot):
            progress.offset = 0
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = progress.match_index + 1
        self._send_append(now, peer)

    def _advance_commit(self, now: float) -> None:
        matches = [
            p.match_index for i, p in self._peers.items() if self._counts_toward_quorum(i)
        ]
        matches += [min(self._synced_index, self.log.last_index)] if self.is_voter() else []
        matches += [0] * (len(self.voters) - len(matches))
        index = sorted(matches, reverse=True)[self.commit_quorum - 1]
        if index > self.commit_index and self.log.get_term(index) == self.term:
            self.commit_index = index
            self._apply_committed()
            self._replicate(now)

    # Changes of the voters, one disk at a time.

    def _change_voters(self, now: float) -> None:
        """Append an entry that adds or removes one voter, if a change is due."""
        if not self.can_propose() or self._has_pending_config():
            return
        voters = dict(self.voters)
        leaving = self._find_leaving_voter()
        joining = "" if leaving else self._find_joining_learner()
        if leaving:
            del voters[leaving]
        elif joining:
            address = self._directory.find_address(joining)
            voters[joining] = [self._peers[joining].disk_id, address]
        else:
            return
        self._append_new_entry(ADMIT, {"voters": voters})
        self._replicate(now)

    def _find_leaving_voter(self) -> str:
        """Return a voter to remove, or an empty string.

        That is a voter whose disk was replaced and has caught up, or, in a group of full
        size, one that is gone while a learner has caught up to take its place.
        """
        for peer in self.voters:
            if peer != self.instance_id and self._has_new_disk(peer):
                return peer
        if len(self.voters) < self.full_size or not self._list_ready_learners():
            return ""
        for peer in self.voters:
            if peer != self.instance_id and self._directory.is_gone(peer):
                return peer
        return ""

    def _has_new_disk(self, peer: str) -> bool:
        progress = self._peers.get(peer)
        return (
            progress is not None
            and bool(progress.disk_id)
            and progress.disk_id != self._find_voter_disk(peer)
            and progress.match_index >= self.commit_index
        )

    def _find_joining_learner(self) -> str:
        if len(self.voters) >= self.full_size:
            return ""
        ready = self._list_ready_learners()
        return ready[0] if ready else ""

    def _list_ready_learners(self) -> list[str]:
        return [
            peer
            for peer, progress in self._peers.items()
            if peer not in self.voters
            and progress.disk_id
            and progress.match_index >= self.commit_index
            and not self._directory.is_gone(peer)
        ]
