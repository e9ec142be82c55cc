"""State of a control instance: log, voters, state machine and journal.

The set of voters is part of the log. An instance uses the latest entry that names the voters
as soon as the entry is in its log, before it is committed. Each such entry adds or removes
one disk. An instance whose disk is not among the voters is a learner: it doesn't vote and
doesn't count toward a quorum.
"""

from __future__ import annotations

import enum
import random
from typing import Any, Protocol

import msgpack

from ..events import Action, Committed, ProposalCompleted
from .entries import Entry, SavedState
from .gate import SyncGate

FIRST_ELECTION_MAX_S = 0.3
# A snapshot replaces the applied entries once they are that many or this large.
COMPACT_ENTRIES = 1024
COMPACT_BYTES = 4 * 1024 * 1024
# The entries may be this many times as large as the last snapshot, so that other instances
# have received a large snapshot before the next one replaces it.
COMPACT_SNAPSHOTS = 4

# Kinds of log entries.
NOOP = "noop"
ADMIT = "admit"


class Role(enum.StrEnum):
    """Role of an instance in the control group."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class ProposalFailure(enum.StrEnum):
    """Why this instance has no result for a proposal."""

    NOT_LEADER = "not_leader"
    UNKNOWN = "unknown"


class ReplicatedState(Protocol):
    """Deterministic state machine that applies the entries of the log."""

    def apply(self, kind: str, payload: Any) -> Any:
        """Apply one entry and return its result."""

    def capture(self) -> Any:
        """Return the state as a value that msgpack can encode."""

    def restore(self, captured: Any) -> None:
        """Replace the state by a captured one."""


class ControlDirectory:
    """Information about the other control instances that the log needs.

    This default implementation knows none; the fleet provides one based on its membership.
    """

    def list_control_instances(self) -> list[str]:
        """Return the control instances that respond, except this one."""
        return []

    def is_gone(self, instance_id: str) -> bool:
        """Return whether an instance has left or was declared dead."""
        return False

    def find_address(self, instance_id: str) -> str:
        """Return the address of an instance; empty when unknown."""
        return ""


class PeerProgress:
    """Replication progress of another control instance, kept by the leader."""

    __slots__ = ("confirmed_at", "disk_id", "match_index", "next_index", "offset")

    def __init__(self, next_index: int) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.disk_id = ""
        self.offset = 0
        self.confirmed_at = float("-inf")


class GroupState:
    """State of the replicated log on one control instance.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    founders : list of str
        Control instances that form a new group. An instance that is not among them only
        joins an existing group.
    state : ReplicatedState
        State machine that applies the entries of the log.
    saved : SavedState
        State loaded from the journal.
    rng : random.Random
        Random generator for the election timeouts.
    now : float
        Current time in seconds.
    tolerated_losses : int
        Number of disks that may be lost at the same time.
    directory : ControlDirectory or None
        Information about the other control instances.

    Attributes
    ----------
    holds_founding_disk : bool
        Whether the disk of this instance is among those that formed the group.
    """

    def __init__(
        self,
        instance_id: str,
        founders: list[str],
        state: ReplicatedState,
        saved: SavedState,
        rng: random.Random,
        now: float,
        tolerated_losses: int = 0,
        directory: ControlDirectory | None = None,
    ) -> None:
        self.instance_id = instance_id
        self.founders = sorted(founders)
        self.tolerated_losses = tolerated_losses
        self._directory = directory or ControlDirectory()
        self.disk_id = saved.disk_id
        self.term = saved.term
        self.voted_for = saved.voted_for
        self.log = saved.log
        self.state = state
        self.leader_id = ""
        self.commit_index = self.log.snapshot_index
        self.applied_index = self.log.snapshot_index
        # Size of the entries that were applied since the snapshot.
        self._applied_bytes = 0
        self._formed = saved.formed
        self._voter_configs: list[tuple[int, dict[str, list[str]]]] = [(0, self._formed)]
        self.holds_founding_disk = self._names_own_disk(self._formed)
        self._snapshot = saved.snapshot
        self._rng = rng
        self._synced_index = self.log.last_index
        self._gate = SyncGate()
        self._needs_rewrite = False
        self._is_compacted = False
        self._rewrite_at = now
        self._actions: list[Action] = []
        self._probed_disks: dict[str, str] = {}
        self._peers: dict[str, PeerProgress] = {}
        self._votes: set[str] = set()
        self._is_pre_vote = False
        self._pending_proposals: dict[int, str] = {}
        self._term_start_index = 0
        self._incoming_snapshot = bytearray()
        self._incoming_snapshot_index = 0
        self._leader_heard_at = float("-inf")
        self._leader_since = now
        self._forming_wait_over = False
        self._pending_reads: dict[str, float] = {}
        self._heartbeat_at = now
        self._probe_at = now
        if self._snapshot:
            self._restore_snapshot()
        self._load_voter_configs()
        self.role = Role.FOLLOWER if self.is_voter() else Role.LEARNER
        # Short first timeout: after a restart of the whole group there is no leader. It
        # doesn't disturb a running group, because the pre-vote fails while the others hear
        # from a leader.
        self._election_at = now + FIRST_ELECTION_MAX_S * (0.2 + 0.8 * rng.random())
        if len(self.voters) == 1:
            self._election_at = now

    @property
    def voters(self) -> dict[str, list[str]]:
        """Disk and address of each voter by its instance identifier."""
        return self._voter_configs[-1][1]

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def commit_quorum(self) -> int:
        """Number of disks that must store an entry before it is committed."""
        return max(self.quorum, min(self.tolerated_losses + 1, len(self.voters)))

    @property
    def full_size(self) -> int:
        """Number of voters that the group grows to."""
        return max(2 * self.tolerated_losses + 1, len(self.founders))

    @property
    def others(self) -> list[str]:
        """Every other control instance: voters, founders and those that respond."""
        known = {*self.voters, *self.founders, *self._directory.list_control_instances()}
        return sorted(known - {self.instance_id})

    @property
    def pristine(self) -> bool:
        """Whether this disk has recorded no election and stored no entry."""
        return self.term == 0 and self.log.last_index == 0

    def find_voter_address(self, instance_id: str) -> str:
        """Return the address of a voter according to the log; empty when unknown."""
        disk_and_address = self.voters.get(instance_id)
        return disk_and_address[1] if disk_and_address else ""

    def can_propose(self) -> bool:
        """Whether this instance leads and has applied every entry of earlier terms."""
        return self.role is Role.LEADER and self.applied_index >= self._term_start_index

    def can_accept_changes(self) -> bool:
        """Whether this instance leads and accepts changes from operators.

        A group that is still growing can't survive the configured number of lost disks. It
        accepts no changes until it has its full size or the forming wait has passed.
        """
        if not self.can_propose():
            return False
        return self._forming_wait_over or len(self.voters) >= self.full_size

    def count_pending(self) -> int:
        """Return the number of log entries that are not yet applied."""
        return self.log.last_index - self.applied_index

    def is_voter(self) -> bool:
        """Return whether the disk of this instance is a voter."""
        return self._find_voter_disk(self.instance_id) == self.disk_id

    def _names_own_disk(self, voters: dict[str, list[str]]) -> bool:
        voter = voters.get(self.instance_id)
        return voter is not None and voter[0] == self.disk_id

    def _find_voter_disk(self, instance_id: str) -> str:
        voter = self.voters.get(instance_id)
        return voter[0] if voter else ""

    def _counts_toward_quorum(self, peer: str) -> bool:
        progress = self._peers.get(peer)
        return (
            progress is not None
            and bool(progress.disk_id)
            and self._find_voter_disk(peer) == progress.disk_id
        )

    # Voter configurations.

    def _load_voter_configs(self) -> None:
        """Collect the entries of the log that name the voters."""
        base = self._voter_configs[0] if self._voter_configs[0][0] else (0, self._formed)
        first_index = self.log.snapshot_index + 1
        self._voter_configs = [base]
        for entry in self.log.list_from(first_index, len(self.log)):
            self._record_config(entry)

    def _record_config(self, entry: Entry) -> None:
        if entry.kind != ADMIT:
            return
        voters = entry.payload["voters"]
        self._voter_configs.append((entry.index, voters))
        if "group_id" in entry.payload and self._names_own_disk(voters):
            # An instance may learn of the group it founded from the leader's first entries.
            self.holds_founding_disk = True

    def _truncate_configs(self, last_index: int) -> None:
        self._voter_configs = self._voter_configs[:1] + [
            c for c in self._voter_configs[1:] if c[0] <= last_index
        ]

    def _compact_configs(self, index: int) -> None:
        covered = [c for c in self._voter_configs if c[0] <= index]
        self._voter_configs = covered[-1:] + [c for c in self._voter_configs if c[0] > index]

    def _has_pending_config(self) -> bool:
        return self._voter_configs[-1][0] > self.commit_index

    # State machine and journal.

    def _restore_snapshot(self) -> None:
        voters, captured = msgpack.unpackb(self._snapshot, strict_map_key=False)
        self._voter_configs = [(self.log.snapshot_index, voters)]
        self.state.restore(captured)

    def _apply_committed(self) -> None:
        applied = []
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.get(self.applied_index)
            self._applied_bytes += entry.size
            result = self.state.apply(entry.kind, entry.payload)
            applied.append((entry.index, entry.kind, entry.payload))
            token = self._pending_proposals.pop(entry.index, None)
            if token is not None:
                self._actions.append(ProposalCompleted(token, result))
        if applied:
            self._actions.append(Committed(applied))
        if self.role is Role.LEARNER and self.is_voter():
            self.role = Role.FOLLOWER
        if self._is_compaction_due():
            self._compact()

    def _is_compaction_due(self) -> bool:
        applied = self.applied_index - self.log.snapshot_index
        max_bytes = max(COMPACT_BYTES, COMPACT_SNAPSHOTS * len(self._snapshot))
        return applied >= COMPACT_ENTRIES or self._applied_bytes >= max_bytes

    def _compact(self) -> None:
        term = self.log.get_term(self.applied_index)
        self._compact_configs(self.applied_index)
        voters = self._voter_configs[0][1]
        self._snapshot = msgpack.packb([voters, self.state.capture()])
        self._applied_bytes = 0
        self.log.compact(self.applied_index, term)
        for peer in self._peers.values():
            peer.offset = 0
        self._is_compacted = True

    def _truncate_log(self, last_index: int) -> None:
        if last_index >= self.log.last_index:
            return
        self.log.truncate(last_index)
        self._truncate_configs(last_index)
        self._synced_index = min(self._synced_index, last_index)
        for write in self._gate.writes.values():
            write.end_position = min(write.end_position, last_index)

    def _append_new_entry(self, kind: str, payload: Any) -> int:
        entry = Entry(self.log.last_index + 1, self.term, kind, payload)
        self.log.append(entry)
        self._record_config(entry)
        self._persist(["entries", [entry.to_wire()]])
        return entry.index

    def _persist(self, record: list[Any]) -> None:
        self._gate.add_record(record)

    def _build_journal_records(self) -> list[list[Any]]:
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
        actions, self._actions = self._actions, []
        is_compaction = self._is_compacted and not self._needs_rewrite
        is_rewritten = is_compaction or self._needs_rewrite
        rewritten = self._build_journal_records() if is_rewritten else None
        self._needs_rewrite = self._is_compacted = False
        return actions + self._gate.flush(self.log.last_index, rewritten, is_compaction)
