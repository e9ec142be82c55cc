"""Replicated log among the control instances, without I/O.

Leader election with pre-vote, quorum commit, and a sync before every vote and every
acknowledgement. The voters are part of the log: the latest entry that names them is in
force on an instance from the moment it is in its log, and each such entry adds or removes
one disk. An instance whose disk is not among the voters is a learner: it neither votes
nor counts.
"""

from __future__ import annotations

import enum
import random
from typing import Any, Protocol

import msgpack

from ..events import (
    Action,
    Committed,
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
    StateReplaced,
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
from .entries import Entry, Saved
from .gate import SyncGate

HEARTBEAT_S = 0.2
ELECTION_MIN_S = 0.8
ELECTION_MAX_S = 1.6
FIRST_ELECTION_S = 0.3
RETRY_ELECTION_MIN_S = 0.2
RETRY_ELECTION_MAX_S = 0.6
PROBE_S = 0.5
MAX_ENTRIES_PER_MESSAGE = 64
PIECE_BYTES = 65_536
COMPACT_ENTRIES = 1024
FORMING_WAIT_S = 3.0

NOOP = "noop"
ADMIT = "admit"


class Role(enum.StrEnum):
    """What an instance is in the group."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class Unsettled(enum.StrEnum):
    """Result of a proposal that was not decided here."""

    NOT_LEADER = "not_leader"
    UNKNOWN = "unknown"


class ReplicatedState(Protocol):
    """State machine that the log drives; deterministic."""

    def apply(self, kind: str, payload: Any) -> Any:
        """Apply one entry and return its result."""

    def capture(self) -> Any:
        """Return the state as a value that msgpack can encode."""

    def restore(self, captured: Any) -> None:
        """Replace the state by a captured one."""


class ControlDirectory:
    """What the log needs to know of the other control instances.

    This one knows none beside the founders; the membership of the fleet gives another.
    """

    def list_control(self) -> list[str]:
        """Return the control instances that answer, this one left out."""
        return []

    def is_gone(self, instance_id: str) -> bool:
        """Return whether an instance left or was found dead."""
        return False

    def find_address(self, instance_id: str) -> str:
        """Return the address of an instance; empty when unknown."""
        return ""


class _Peer:
    """What the leader knows of another control instance."""

    __slots__ = ("confirmed_at", "disk_id", "match_index", "next_index", "offset")

    def __init__(self, next_index: int) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.disk_id = ""
        self.offset = 0
        self.confirmed_at = float("-inf")


class Consensus:
    """One control instance's part in the replicated log.

    Parameters
    ----------
    instance_id : str
        This instance.
    founders : list of str
        Control instances that form a new group, this one included; empty for one that
        only joins.
    state : ReplicatedState
        State machine that the log drives.
    saved : Saved
        Content of the journal.
    rng : random.Random
        Source of election timeouts.
    now : float
        Present time in seconds.
    tolerated : int
        Disks that may be lost at once.
    directory : ControlDirectory or None
        The other control instances.
    """

    def __init__(
        self,
        instance_id: str,
        founders: list[str],
        state: ReplicatedState,
        saved: Saved,
        rng: random.Random,
        now: float,
        tolerated: int = 0,
        directory: ControlDirectory | None = None,
    ) -> None:
        self.instance_id = instance_id
        self.founders = sorted(founders)
        self.tolerated = tolerated
        self._directory = directory or ControlDirectory()
        self.disk_id = saved.disk_id
        self.term = saved.term
        self.voted_for = saved.voted_for
        self.log = saved.log
        self.state = state
        self.leader_id = ""
        self.commit_index = self.log.snapshot_index
        self.applied_index = self.log.snapshot_index
        self._formed = saved.formed
        self._configs: list[tuple[int, dict[str, list[str]]]] = [(0, self._formed)]
        self.formed_here = False
        self._snapshot = saved.snapshot
        self._rng = rng
        self._synced_index = self.log.last_index
        self._gate = SyncGate()
        self._rewrite = False
        self._out: list[Action] = []
        self._probed: dict[str, str] = {}
        self._peers: dict[str, _Peer] = {}
        self._votes: set[str] = set()
        self._pre = False
        self._pending: dict[int, str] = {}
        self._term_start = 0
        self._incoming = bytearray()
        self._incoming_index = 0
        self._heard_at = float("-inf")
        self._led_since = now
        self._waited = False
        self._reads: dict[str, float] = {}
        self._heartbeat_at = now
        self._probe_at = now
        if self._snapshot:
            self._restore_snapshot()
        self._read_configs()
        self.role = Role.FOLLOWER if self.is_voter() else Role.LEARNER
        # After a restart of the whole group nobody leads; before a vote is asked for, the
        # others tell whether they hear a leader.
        self._election_at = now + FIRST_ELECTION_S * (0.2 + 0.8 * rng.random())
        if len(self.voters) == 1:
            self._election_at = now

    @property
    def voters(self) -> dict[str, list[str]]:
        """Disk and address of each voter by its instance."""
        return self._configs[-1][1]

    @property
    def quorum(self) -> int:
        """Number of voters that decide."""
        return len(self.voters) // 2 + 1

    @property
    def commit_quorum(self) -> int:
        """Number of disks that must hold an entry before it counts as committed."""
        return max(self.quorum, min(self.tolerated + 1, len(self.voters)))

    @property
    def full_size(self) -> int:
        """Number of voters that the group grows to."""
        return max(2 * self.tolerated + 1, len(self.founders))

    @property
    def others(self) -> list[str]:
        """Every other control instance: voters, founders and those that answer."""
        known = {*self.voters, *self.founders, *self._directory.list_control()}
        return sorted(known - {self.instance_id})

    @property
    def pristine(self) -> bool:
        """Whether this disk never took part in an election or held an entry."""
        return self.term == 0 and self.log.last_index == 0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return the actions that follow from it."""
        if self.role is not Role.FAILED:
            _HANDLERS[type(event)](self, now, event)
        return self._flush()

    def compute_confirmed_at(self, now: float) -> float | None:
        """Return when a quorum last confirmed this leader, or None.

        Every change accepted by that time has an index up to ``commit_index``.
        """
        if self.role is not Role.LEADER or self.commit_index < self._term_start:
            return None
        return self._find_confirmed_at(now)

    def find_voter_address(self, instance_id: str) -> str:
        """Return the address of a voter as the log has it; empty when unknown."""
        disk_and_address = self.voters.get(instance_id)
        return disk_and_address[1] if disk_and_address else ""

    def can_propose(self) -> bool:
        """Whether this leader has applied every entry of earlier terms."""
        return self.role is Role.LEADER and self.applied_index >= self._term_start

    def can_accept(self) -> bool:
        """Whether changes of operators may be proposed.

        A group that is still growing would not survive the losses that it is meant to,
        so it accepts nothing until it is full or nobody came for a while.
        """
        if not self.can_propose():
            return False
        return self._waited or len(self.voters) >= self.full_size

    def count_pending(self) -> int:
        """Return the number of entries that wait for their commit."""
        return self.log.last_index - self.applied_index

    # Events.

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

    def _settle_reads(self, now: float) -> None:
        confirmed_at = self.compute_confirmed_at(now)
        if confirmed_at is None:
            return
        for token, asked_at in list(self._reads.items()):
            if asked_at <= confirmed_at:
                del self._reads[token]
                self._out.append(ReadSettled(token, self.commit_index))

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

    def is_voter(self) -> bool:
        """Return whether this disk is among the voters."""
        return self._find_disk(self.instance_id) == self.disk_id

    def _find_disk(self, instance_id: str) -> str:
        known = self.voters.get(instance_id)
        return known[0] if known else ""

    def _counts(self, peer: str) -> bool:
        known = self._peers.get(peer)
        return (
            known is not None and bool(known.disk_id) and self._find_disk(peer) == known.disk_id
        )

    # Voters.

    def _read_configs(self) -> None:
        """Find the entries of the log that name the voters."""
        base = self._configs[0] if self._configs[0][0] else (0, self._formed)
        first = self.log.snapshot_index + 1
        self._configs = [base]
        for entry in self.log.list_from(first, len(self.log)):
            self._note_config(entry)

    def _note_config(self, entry: Entry) -> None:
        if entry.kind == ADMIT:
            self._configs.append((entry.index, entry.payload["voters"]))

    def _cut_configs(self, last_index: int) -> None:
        self._configs = self._configs[:1] + [c for c in self._configs[1:] if c[0] <= last_index]

    def _compact_configs(self, index: int) -> None:
        held = [c for c in self._configs if c[0] <= index]
        self._configs = held[-1:] + [c for c in self._configs if c[0] > index]

    def _has_pending_config(self) -> bool:
        return self._configs[-1][0] > self.commit_index

    def _change_voters(self, now: float) -> None:
        """Add or remove at most one voter."""
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
        self._append_own(ADMIT, {"voters": voters})
        self._replicate(now)

    def _find_leaving_voter(self) -> str:
        """Return a voter whose place a learner that has caught up can take."""
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
        known = self._peers.get(peer)
        return (
            known is not None
            and bool(known.disk_id)
            and known.disk_id != self._find_disk(peer)
            and known.match_index >= self.commit_index
        )

    def _find_joining_learner(self) -> str:
        if len(self.voters) >= self.full_size:
            return ""
        ready = self._list_ready_learners()
        return ready[0] if ready else ""

    def _list_ready_learners(self) -> list[str]:
        return [
            peer
            for peer, known in self._peers.items()
            if peer not in self.voters
            and known.disk_id
            and known.match_index >= self.commit_index
            and not self._directory.is_gone(peer)
        ]

    # Elections.

    def _reset_election(
        self, now: float, shortest_s: float = ELECTION_MIN_S, longest_s: float = ELECTION_MAX_S
    ) -> None:
        span_s = longest_s - shortest_s
        self._election_at = now + shortest_s + self._rng.random() * span_s
        if len(self.voters) == 1:
            self._election_at = now

    def _start_election(self, now: float, pre: bool) -> None:
        # Nobody leads, so that a vote which was split or came before the others were up
        # is repeated soon.
        self._reset_election(now, RETRY_ELECTION_MIN_S, RETRY_ELECTION_MAX_S)
        self.role = Role.CANDIDATE
        self.leader_id = ""
        self._pre = pre
        self._votes = {self.instance_id}
        if not pre:
            self.term += 1
            self.voted_for = self.instance_id
            self._persist(["vote", self.term, self.voted_for])
        request = VoteRequest(
            term=self.term + 1 if pre else self.term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre=pre,
        )
        for peer in self.voters:
            if peer != self.instance_id:
                self._gate.hold(Send(peer, request))
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if len(self._votes) < self.quorum:
            return
        if self._pre:
            self._start_election(now, pre=False)
        else:
            self._become_leader(now)

    def _on_vote_request(self, now: float, peer: str, message: VoteRequest) -> None:
        if not self.is_voter():
            return
        if message.pre:
            self._answer_pre_vote(now, peer, message)
            return
        if message.term > self.term:
            self._follow_term(now, message.term)
        granted = (
            message.term == self.term
            and self.voted_for in ("", peer)
            and self._is_up_to_date(message)
        )
        if granted and not self.voted_for:
            self.voted_for = peer
            self._persist(["vote", self.term, peer])
        if granted:
            self._reset_election(now)
        self._reply_vote(peer, self.term, granted, pre=False)

    def _answer_pre_vote(self, now: float, peer: str, message: VoteRequest) -> None:
        leader_alive = now - self._heard_at < ELECTION_MIN_S or self.role is Role.LEADER
        granted = message.term > self.term and not leader_alive and self._is_up_to_date(message)
        term = message.term if granted else self.term
        self._reply_vote(peer, term, granted, pre=True)

    def _reply_vote(self, peer: str, term: int, granted: bool, pre: bool) -> None:
        reply = VoteReply(term=term, granted=granted, pre=pre, disk_id=self.disk_id)
        self._gate.hold(Send(peer, reply))

    def _is_up_to_date(self, message: VoteRequest) -> bool:
        mine = (self.log.last_term, self.log.last_index)
        return (message.last_term, message.last_index) >= mine

    def _on_vote_reply(self, now: float, peer: str, message: VoteReply) -> None:
        if not message.granted and message.term > self.term:
            self._follow_term(now, message.term)
            return
        if self.role is not Role.CANDIDATE or message.pre != self._pre:
            return
        expected = self.term + 1 if self._pre else self.term
        if not message.granted or message.term != expected:
            return
        if self._find_disk(peer) != message.disk_id:
            return
        self._votes.add(peer)
        self._count_votes(now)

    def _on_handover_message(self, now: float, peer: str, message: Handover) -> None:
        if message.term == self.term and self.is_voter() and self.role is Role.FOLLOWER:
            self._start_election(now, pre=False)

    def _follow_term(self, now: float, term: int) -> None:
        self._leave_leadership()
        self.term = term
        self.voted_for = ""
        self._persist(["vote", term, ""])
        self.leader_id = ""
        self.role = Role.FOLLOWER if self.is_voter() else Role.LEARNER
        self._reset_election(now)

    def _step_down(self, now: float) -> None:
        self._leave_leadership()
        self.leader_id = ""
        self.role = Role.FOLLOWER
        self._reset_election(now)

    def _leave_leadership(self) -> None:
        for token in self._pending.values():
            self._out.append(Settled(token, Unsettled.UNKNOWN))
        self._pending.clear()
        self._out.extend(ReadSettled(token, -1) for token in self._reads)
        self._reads.clear()
        self._peers.clear()

    # Leadership.

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader_id = self.instance_id
        self._led_since = now
        self._waited = False
        self._peers = {p: _Peer(self.log.last_index + 1) for p in self.others}
        if self._configs[-1][0]:
            self._term_start = self._append_own(NOOP, None)
        else:
            group_id = f"{self._rng.getrandbits(64):016x}"
            payload = {"group_id": group_id, "voters": dict(self._formed)}
            self._term_start = self._append_own(ADMIT, payload)
        self._replicate(now)

    def _append_own(self, kind: str, payload: Any) -> int:
        entry = Entry(self.log.last_index + 1, self.term, kind, payload)
        self.log.append(entry)
        self._note_config(entry)
        self._persist(["entries", [entry.to_wire()]])
        return entry.index

    def _tick_leader(self, now: float) -> None:
        if now - max(self._find_confirmed_at(now), self._led_since) > ELECTION_MIN_S:
            self._step_down(now)
            return
        self._waited = now - self._led_since >= FORMING_WAIT_S
        self._change_voters(now)
        if now >= self._heartbeat_at:
            self._replicate(now)

    def _find_confirmed_at(self, now: float) -> float:
        times = [p.confirmed_at for i, p in self._peers.items() if self._counts(i)]
        times += [now] if self.is_voter() else []
        times += [float("-inf")] * (len(self.voters) - len(times))
        return sorted(times, reverse=True)[self.quorum - 1]

    def _replicate(self, now: float) -> None:
        self._heartbeat_at = now + HEARTBEAT_S
        for peer in self.others:
            self._send_append(now, peer)

    def _send_append(self, now: float, peer: str) -> None:
        known = self._peers.setdefault(peer, _Peer(self.log.last_index + 1))
        previous = known.next_index - 1
        previous_term = self.log.get_term(previous)
        if previous_term is None:
            self._send_piece(now, peer)
            return
        entries = self.log.list_from(known.next_index, MAX_ENTRIES_PER_MESSAGE)
        request = AppendRequest(
            term=self.term,
            previous_index=previous,
            previous_term=previous_term,
            entries=[e.to_wire() for e in entries],
            commit_index=self.commit_index,
            sent_at=now,
        )
        known.next_index += len(entries)
        self._out.append(Send(peer, request))

    def _send_piece(self, now: float, peer: str) -> None:
        known = self._peers[peer]
        if known.offset > len(self._snapshot):
            known.offset = 0
        end = known.offset + PIECE_BYTES
        message = SnapshotPiece(
            term=self.term,
            index=self.log.snapshot_index,
            last_term=self.log.snapshot_term,
            offset=known.offset,
            piece=self._snapshot[known.offset : end],
            final=end >= len(self._snapshot),
            sent_at=now,
        )
        self._out.append(Send(peer, message))

    def _on_append_reply(self, now: float, peer: str, message: AppendReply) -> None:
        known = self._accept_reply(now, peer, message)
        if known is None:
            return
        if not message.matched:
            known.next_index = max(1, min(known.next_index - 1, message.match_index + 1))
            self._send_append(now, peer)
            return
        known.match_index = max(known.match_index, message.match_index)
        known.next_index = max(known.next_index, known.match_index + 1)
        self._advance_commit(now)
        self._change_voters(now)
        self._settle_reads(now)
        if self.role is Role.LEADER and known.next_index <= self.log.last_index:
            self._send_append(now, peer)

    def _accept_reply(
        self, now: float, peer: str, message: AppendReply | SnapshotReply
    ) -> _Peer | None:
        if message.term > self.term:
            self._follow_term(now, message.term)
            return None
        if self.role is not Role.LEADER or message.term != self.term:
            return None
        known = self._peers.get(peer)
        if known is None:
            return None
        if known.disk_id != message.disk_id:
            known.disk_id = message.disk_id
            known.match_index = 0
            known.offset = 0
        known.confirmed_at = max(known.confirmed_at, message.sent_at)
        return known

    def _on_snapshot_reply(self, now: float, peer: str, message: SnapshotReply) -> None:
        known = self._accept_reply(now, peer, message)
        if known is None:
            return
        if message.index != self.log.snapshot_index:
            known.offset = 0
            return
        known.offset = message.offset
        if message.offset >= len(self._snapshot):
            known.offset = 0
            known.match_index = max(known.match_index, message.index)
            known.next_index = known.match_index + 1
        self._send_append(now, peer)

    def _advance_commit(self, now: float) -> None:
        matches = [p.match_index for i, p in self._peers.items() if self._counts(i)]
        matches += [min(self._synced_index, self.log.last_index)] if self.is_voter() else []
        matches += [0] * (len(self.voters) - len(matches))
        index = sorted(matches, reverse=True)[self.commit_quorum - 1]
        if index > self.commit_index and self.log.get_term(index) == self.term:
            self.commit_index = index
            self._apply_committed()
            self._replicate(now)

    # Following.

    def _on_append_request(self, now: float, peer: str, message: AppendRequest) -> None:
        if not self._accept_leader(now, peer, message.term):
            self._reply_append(peer, message, matched=False, index=0)
            return
        if not self._fits(message):
            hint = min(self.log.last_index, message.previous_index - 1)
            self._reply_append(peer, message, matched=False, index=max(0, hint))
            return
        entries = [Entry(*fields) for fields in message.entries]
        self._take_entries(entries)
        last = message.previous_index + len(entries)
        if min(message.commit_index, last) > self.commit_index:
            self.commit_index = min(message.commit_index, last)
            self._apply_committed()
        self._reply_append(peer, message, matched=True, index=last)

    def _accept_leader(self, now: float, peer: str, term: int) -> bool:
        if term < self.term:
            return False
        if term > self.term:
            self._follow_term(now, term)
        self.leader_id = peer
        self.role = Role.FOLLOWER if self.is_voter() else Role.LEARNER
        self._heard_at = now
        self._reset_election(now)
        return True

    def _fits(self, message: AppendRequest) -> bool:
        if message.previous_index < self.log.snapshot_index:
            return True
        return self.log.get_term(message.previous_index) == message.previous_term

    def _take_entries(self, entries: list[Entry]) -> None:
        fresh = []
        for entry in entries:
            if entry.index <= self.log.snapshot_index:
                continue
            if not fresh and self.log.get_term(entry.index) == entry.term:
                continue
            fresh.append(entry)
        if not fresh:
            return
        self._cut_log(fresh[0].index - 1)
        for entry in fresh:
            self.log.append(entry)
            self._note_config(entry)
        self._persist(["entries", [e.to_wire() for e in fresh]])

    def _cut_log(self, last_index: int) -> None:
        if last_index >= self.log.last_index:
            return
        self.log.cut(last_index)
        self._cut_configs(last_index)
        self._synced_index = min(self._synced_index, last_index)
        for write in self._gate.writes.values():
            write.marker = min(write.marker, last_index)

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

    def _on_snapshot_piece(self, now: float, peer: str, message: SnapshotPiece) -> None:
        if not self._accept_leader(now, peer, message.term):
            self._reply_snapshot(peer, message, 0)
            return
        if message.index <= self.commit_index:
            self._reply_append_at(peer, message, self.commit_index)
            return
        if self._incoming_index != message.index or message.offset == 0:
            self._incoming_index = message.index
            self._incoming.clear()
        if message.offset == len(self._incoming):
            self._incoming += message.piece
            if message.final:
                self._install_snapshot(message)
                self._reply_append_at(peer, message, message.index)
                return
        self._reply_snapshot(peer, message, len(self._incoming))

    def _reply_append_at(self, peer: str, message: SnapshotPiece, index: int) -> None:
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
        self._snapshot = bytes(self._incoming)
        self._incoming.clear()
        self._incoming_index = 0
        if self.log.get_term(message.index) == message.last_term:
            self.log.compact(message.index, message.last_term)
        else:
            self._cut_log(self.log.snapshot_index)
            self.log.compact(message.index, message.last_term)
        self.commit_index = message.index
        self.applied_index = message.index
        self._restore_snapshot()
        self._read_configs()
        self._rewrite = True
        self._out.append(StateReplaced(message.index))

    # State machine and journal.

    def _restore_snapshot(self) -> None:
        voters, captured = msgpack.unpackb(self._snapshot, strict_map_key=False)
        self._configs = [(self.log.snapshot_index, voters)]
        self.state.restore(captured)

    def _apply_committed(self) -> None:
        applied = []
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.get(self.applied_index)
            result = self.state.apply(entry.kind, entry.payload)
            applied.append((entry.index, entry.kind, entry.payload))
            token = self._pending.pop(entry.index, None)
            if token is not None:
                self._out.append(Settled(token, result))
        if applied:
            self._out.append(Committed(applied))
        if self.role is Role.LEARNER and self.is_voter():
            self.role = Role.FOLLOWER
        if self.applied_index - self.log.snapshot_index >= COMPACT_ENTRIES:
            self._compact()

    def _compact(self) -> None:
        term = self.log.get_term(self.applied_index)
        self._compact_configs(self.applied_index)
        voters = self._configs[0][1]
        self._snapshot = msgpack.packb([voters, self.state.capture()])
        self.log.compact(self.applied_index, term)
        for peer in self._peers.values():
            peer.offset = 0
        self._rewrite = True

    def _persist(self, record: list[Any]) -> None:
        self._gate.add_record(record)

    def _list_journal(self) -> list[list[Any]]:
        records: list[list[Any]] = [["disk", self.disk_id], ["formed", self._formed]]
        if self._snapshot:
            index, term = self.log.snapshot_index, self.log.snapshot_term
            records.append(["snapshot", index, term, self._snapshot])
        records.append(["vote", self.term, self.voted_for])
        entries = self.log.list_from(self.log.snapshot_index + 1, len(self.log))
        if entries:
            records.append(["entries", [e.to_wire() for e in entries]])
        return records

    def _flush(self) -> list[Action]:
        out, self._out = self._out, []
        rewritten = self._list_journal() if self._rewrite else None
        self._rewrite = False
        return out + self._gate.flush(self.log.last_index, rewritten)


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
