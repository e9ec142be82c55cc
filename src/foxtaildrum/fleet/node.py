"""Node: the state machines of one instance, combined and without I/O.

Each method takes an event and returns the actions for the caller to perform.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .. import records as r
from ..control.claimer import ClaimCompleted, Claimer
from ..control.consensus import Consensus
from ..control.desired import DesiredState
from ..control.entries import SavedState
from ..control.group import ControlDirectory, Role
from ..control.holder import ClaimHolder
from ..control.proposals import ChangeCompleted, Proposer
from ..control.reads import ReadCompleted, Reader
from ..control.table_follower import TableFollower, TableState
from ..control.tables import Change
from ..events import (
    Committed,
    LeadershipTransferRequested,
    Persist,
    Persisted,
    PersistFailed,
    ProposalCompleted,
    Proposed,
    ReadIndexRequested,
    ReadIndexResolved,
    Received,
    Rewrite,
    Send,
    StateReplaced,
    Tick,
)
from ..exceptions import FrameError, StaleAnnouncementError
from .currency import Currency
from .membership import LocalSummary, Member, Membership, MemberState
from .receipts import Receipts, ReceiptsCompleted
from .upstreams import READY, Entry, UpstreamList

LEASE_CHECK_PERIOD_S = 0.5
CONTROL_TICK_S = 0.1
ENTRY_TICK_S = 0.25
STARTING_TICK_S = 0.02
CONTROL_PING_PERIOD_S = 0.05
CONTROL_PING_TARGETS = 2
MAX_DIRECT_UPDATE_MEMBERS = 64
CONTROL_ROLES = ("all", "control")

LOG_STREAM = "log"
CLAIM_STREAM = "claims"
UPSTREAM_STREAM = "upstreams"
UPSTREAM_SAVE_PERIOD_S = 0.5


@dataclass(slots=True)
class Write:
    """Append records to a journal, or replace the journal by them, and sync it."""

    stream: str
    token: int
    records: list[list[Any]]
    replace: bool


@dataclass(slots=True)
class UpstreamsLost:
    """The leases of some upstreams expired."""

    upstream_ids: list[str]


@dataclass(slots=True)
class UpstreamLeaving:
    """An upstream is draining or has left."""

    upstream_id: str
    pool: str
    state: str
    incarnation: int


@dataclass(slots=True)
class MemberChanged:
    """The membership state of another instance changed."""

    instance_id: str
    state: str


Action = (
    Send
    | Write
    | ChangeCompleted
    | ClaimCompleted
    | ReadCompleted
    | ReceiptsCompleted
    | UpstreamsLost
    | UpstreamLeaving
    | MemberChanged
)


class JoinOptions:
    """How an instance joins the fleet and the control group.

    Parameters
    ----------
    seeds : dict
        Addresses of the instances to join, by identifier.
    bootstrap : bool
        Whether the seeds form a new control group if all their disks are empty.
    tolerated_losses : int
        Number of control instances whose disks may be lost at the same time.
    """

    __slots__ = ("bootstrap", "seeds", "tolerated_losses")

    def __init__(self, seeds: dict[str, str], bootstrap: bool, tolerated_losses: int) -> None:
        self.seeds = seeds
        self.bootstrap = bootstrap
        self.tolerated_losses = tolerated_losses


class Node:
    """State of one instance: dispatches each event to the state machine that handles it.

    Parameters
    ----------
    me : Member
        Record of this instance.
    control : dict
        Addresses of the control instances by identifier. If this instance is the only one
        of the fleet, it is the only key; empty if control instances are found through the
        seeds.
    saved : SavedState or None
        Content of the replicated log's journal; None on an instance outside the control
        group.
    claim_records : list
        Decoded records of the claims journal.
    rng : random.Random
        Source of random choices.
    now : float
        Current time in seconds.
    join_options : JoinOptions or None
        How the instance joins the fleet; None to form a group with ``control``.
    """

    def __init__(
        self,
        me: Member,
        control: dict[str, str],
        saved: SavedState | None,
        claim_records: list[list[Any]],
        rng: random.Random,
        now: float,
        join_options: JoinOptions | None = None,
    ) -> None:
        self.instance_id = me.instance_id
        self.control = sorted(control)
        join_options = join_options or JoinOptions(dict(control), True, 0)
        self.members = Membership(me, join_options.seeds, rng, now)
        self.upstreams = UpstreamList(me.instance_id)
        self.state = TableState()
        self.consensus: Consensus | None = None
        self.holder: ClaimHolder | None = None
        if saved is not None:
            self.consensus = Consensus(
                me.instance_id,
                list(join_options.seeds) if join_options.bootstrap else [],
                self.state,
                saved,
                rng,
                now,
                join_options.tolerated_losses,
                _MembersDirectory(self),
            )
            self.holder = ClaimHolder(
                me.instance_id, self.control, saved.disk_id, claim_records, now
            )
        index = self.consensus.applied_index if self.consensus else 0
        self.follower = TableFollower(self.state, index, fetches_entries=saved is None)
        self.claimer = Claimer(self.control)
        self.proposer = Proposer(
            me.instance_id,
            self.list_control_instances,
            self.state,
            self.consensus,
            self.members.is_usable,
            self._submit,
            rng,
        )
        self.reader = Reader(
            self._is_leader,
            self.proposer.pick_control_instance,
            self._get_applied_index,
            self._submit_read,
        )
        self.receipts = Receipts(me.instance_id)
        self._saved_root = 0
        self._save_at = now
        self._save_token = 0
        self.stopping = False
        self._rng = rng
        self.currency = Currency(self.follower, self.members, saved is None, now)
        self._control_ping_at = now
        self._lease_check_at = now
        self._actions: list[Action] = []

    def tick(self, now: float) -> list[Action]:
        """Perform the work that is due at ``now``."""
        if self.consensus is not None:
            self._run_consensus(now, Tick())
            self._record_own_beacon(now)
        summary = self._build_summary(now)
        self._actions += self.members.tick(now, summary)
        self._ping_control_instances(now)
        self._save_upstreams(now)
        self._expire_leases(now)
        if self.holder is not None:
            self._process_claim_actions(now, self.holder.tick(now))
        self._process_claim_actions(now, self.claimer.tick(now))
        self.proposer.tick(now)
        self.reader.tick(now)
        self._process_receipts(now)
        self.currency.tick(now)
        return self._pop_actions(now)

    def get_tick_period(self) -> float:
        """Return the time until :meth:`tick` is next due, in seconds."""
        if self.is_starting():
            return STARTING_TICK_S
        return ENTRY_TICK_S if self.consensus is None else CONTROL_TICK_S

    def receive(self, now: float, peer: str, message: Any) -> list[Action]:
        """Handle a message from another instance.

        Raises
        ------
        FrameError
            When a field of the message has an invalid value.
        """
        handler = _HANDLERS.get(type(message))
        try:
            if handler is not None:
                handler(self, now, peer, message)
            elif self.consensus is not None:
                self._run_consensus(now, Received(peer, message))
        except (ValueError, TypeError, KeyError, IndexError) as error:
            raise FrameError(f"invalid {type(message).__name__}: {error}") from error
        return self._pop_actions(now)

    def handle_written(self, now: float, stream: str, token: int) -> list[Action]:
        """Handle the completion of a write that was synced."""
        if stream == LOG_STREAM:
            self._run_consensus(now, Persisted(token))
        elif stream == CLAIM_STREAM:
            self._process_claim_actions(now, self.holder.handle_persisted(token))
        return self._pop_actions(now)

    def handle_write_failed(self, now: float, stream: str, token: int) -> list[Action]:
        """Handle a write that failed; the journal's disk is not used again."""
        if stream == LOG_STREAM:
            self._run_consensus(now, PersistFailed(token))
        if stream != UPSTREAM_STREAM:
            self.holder.handle_persist_failed()
        return self._pop_actions(now)

    def propose(self, now: float, token: str, change: Change | DesiredState) -> list[Action]:
        """Propose a change; :class:`ChangeCompleted` carries its answer."""
        self.proposer.propose(now, token, change)
        return self._pop_actions(now)

    def read(self, now: float, token: str) -> list[Action]:
        """Check that the tables here include every accepted change.

        :class:`ReadCompleted` carries the result.
        """
        self.reader.request_read(now, token)
        return self._pop_actions(now)

    def announce(
        self, now: float, upstream_id: str, announcement: r.Announcement, token: str = ""
    ) -> tuple[str, list[Action]]:
        """Record an announcement; return the reason of a refusal and the actions.

        If a token is given, :class:`ReceiptsCompleted` reports under that token whether a
        majority of the voters has stored the entry. An instance outside the control group
        collects no receipts and reports it as stored.
        """
        try:
            owner = self.upstreams.announce(
                now, upstream_id, announcement, self.members.is_usable
            )
        except StaleAnnouncementError as error:
            return str(error), []
        if owner:
            message = r.RenewRequest(
                upstream_id=upstream_id,
                incarnation=announcement.incarnation,
                lease_s=announcement.lease_s,
            )
            self._actions.append(Send(owner, message))
        if token:
            self._request_receipts(now, token, upstream_id)
        return "", self._pop_actions(now)

    def leave_upstream(
        self, now: float, upstream_id: str, incarnation: int = 0, token: str = ""
    ) -> tuple[bool, list[Action]]:
        """Record that an upstream left.

        Returns the result of :meth:`UpstreamList.leave` and the actions.

        Parameters
        ----------
        incarnation : int
            Incarnation that leaves; 0 if none was given. If given, the leave is recorded
            even if the upstream is not known here.
        token : str
            If given, :class:`ReceiptsCompleted` reports under that token whether a
            majority of the voters has stored the entry.
        """
        known = self.upstreams.leave(now, upstream_id, incarnation)
        if token:
            self._request_receipts(now, token, upstream_id)
        return known, self._pop_actions(now)

    def _request_receipts(self, now: float, token: str, upstream_id: str) -> None:
        entry = self.upstreams.entries.get(upstream_id)
        if entry is None or self.consensus is None:
            self._actions.append(ReceiptsCompleted(token, True))
            return
        self.receipts.begin(now, token, entry)
        self._process_receipts(now)

    def _process_receipts(self, now: float) -> None:
        voters = list(self.consensus.voters) if self.consensus is not None else []
        for peer, token, entry in self.receipts.list_due(now, voters):
            message = r.UpstreamNews(entries=[entry.to_wire(now)], token=token)
            self._actions.append(Send(peer, message))
        self._actions += self.receipts.pop_actions(now, voters)

    def count_entry_instances(self) -> int:
        """Return the number of instances that serve callers, at least 1.

        Suspect and dead members are counted: otherwise an instance cut off from the rest
        would take over the others' shares of the fleet-wide budgets.
        """
        members = self.members.members.values()
        present = (m for m in members if m.state is not MemberState.LEFT)
        return max(1, sum(m.role != "control" for m in present))

    def restore_upstreams(self, now: float, records: list[list[Any]]) -> None:
        """Merge the upstream list that was read from disk.

        Its entries may be outdated. A later announcement replaces them, and if another
        upstream now uses an address, it refuses requests meant for the former one.
        """
        for fields in records:
            self.upstreams.merge(now, Entry.from_wire(now, fields))

    def _save_upstreams(self, now: float) -> None:
        """Write the upstream list to disk, so that it survives a restart of all instances."""
        if self.consensus is None or now < self._save_at:
            return
        root = self.upstreams.digest.compute_root()
        if root == self._saved_root:
            return
        self._saved_root = root
        self._save_at = now + UPSTREAM_SAVE_PERIOD_S
        self._save_token += 1
        entries = [e.to_wire(now) for e in self.upstreams.entries.values()]
        self._actions.append(Write(UPSTREAM_STREAM, self._save_token, entries, True))

    def list_control_instances(self) -> list[str]:
        """Return the identifiers of the known control instances.

        These are the configured ones or, if none are configured, the usable members with
        a control role and the voters; the seeds if there are none of these either.
        """
        if self.control:
            return self.control
        found = {m.instance_id for m in self.members.members.values() if _is_control(m)}
        if self.consensus is not None:
            found |= self.consensus.voters.keys()
        return sorted(found or self.members.seeds)

    def find_address(self, instance_id: str) -> str:
        """Return the address of an instance; empty when unknown."""
        address = self.members.find_address(instance_id)
        if not address and self.consensus is not None:
            address = self.consensus.find_voter_address(instance_id)
        return address

    def mark_draining(self, now: float, upstream_id: str) -> list[Action]:
        """Record a drain that an upstream signalled in a response."""
        self.upstreams.mark_draining(now, upstream_id)
        return self._pop_actions(now)

    def claim(
        self, now: float, token: str, key: str, digest: str, remaining_s: float
    ) -> list[Action]:
        """Claim an idempotency key; :class:`ClaimCompleted` carries the outcome."""
        self._process_claim_actions(
            now, self.claimer.request_claim(now, token, key, digest, remaining_s)
        )
        return self._pop_actions(now)

    def finish_claim(self, now: float, token: str, message: r.ClaimFinish) -> list[Action]:
        """Store the answer of a claimed request; :class:`ClaimCompleted` reports completion."""
        self._process_claim_actions(now, self.claimer.finish(now, token, message))
        return self._pop_actions(now)

    def release_claim(self, now: float, key: str, claim_id: str) -> list[Action]:
        """Release the claim of a request that was not executed."""
        self._process_claim_actions(now, self.claimer.release(key, claim_id))
        return self._pop_actions(now)

    def begin_stop(self, now: float) -> list[Action]:
        """Transfer leadership and owned leases to other instances."""
        self.stopping = True
        if self.consensus is not None:
            self._run_consensus(now, LeadershipTransferRequested())
        neighbours = [i for i in self.members.list_neighbours() if self.members.is_usable(i)]
        if neighbours:
            self._transfer_leases(now, neighbours[0])
        return self._pop_actions(now)

    def end_stop(self, now: float) -> list[Action]:
        """Announce to the other instances that this one leaves the fleet."""
        self._actions += self.members.leave(now)
        return self._pop_actions(now)

    def list_unready_reasons(self, now: float) -> list[str]:
        """Return the reasons why this instance is not ready; empty when ready."""
        reasons = []
        if self.stopping:
            reasons.append("stopping")
        if self.is_starting():
            reasons.append("starting: the tables are not known to be current")
        elif self.currency.is_cut_off(now):
            reasons.append("cut off from the control instances")
        if self.consensus is not None and self.consensus.role is Role.FAILED:
            reasons.append("the disk failed")
        return reasons

    def is_starting(self) -> bool:
        """Return whether this instance is still waiting for up-to-date tables."""
        return not self.currency.started

    def is_open(self, now: float) -> bool:
        """Return whether this instance may serve callers."""
        return self.currency.started and not self.currency.is_cut_off(now)

    def is_current(self, now: float) -> bool:
        """Return whether the tables here are up to date; see :class:`Currency`."""
        return self.currency.is_current(now)

    def _is_leader(self) -> bool:
        return self.consensus is not None and self.consensus.role is Role.LEADER

    def _pop_actions(self, now: float) -> list[Action]:
        updates = self.upstreams.pop_updates()
        if updates:
            message = r.UpstreamNews(entries=[e.to_wire(now) for e in updates], token="")
            self._actions += [Send(t, message) for t in self._pick_update_targets()]
            self._actions += [_build_leaving_action(e) for e in updates if e.state != READY]
        self._actions += self.members.flush_updates()
        for member in self.members.pop_changed():
            if member is not self.members.me:
                state = member.state.name.lower()
                self._actions.append(MemberChanged(member.instance_id, state))
        self._actions += self.proposer.pop_actions(now)
        self._actions += self.reader.pop_actions()
        actions, self._actions = self._actions, []
        return actions

    def _pick_update_targets(self) -> list[str]:
        """Return the instances that upstream updates are pushed to.

        In a small fleet a control instance pushes to all usable members, because it
        receives drains first: an instance that cannot reach its ring neighbours then
        still learns of them.
        """
        if self.consensus is None or len(self.members.members) > MAX_DIRECT_UPDATE_MEMBERS:
            return self.members.pick_push_targets()
        return self.members.list_usable()

    def _submit(self, now: float, token: str, kind: str, payload: list[Any]) -> None:
        self._run_consensus(now, Proposed(token, kind, payload))

    def _submit_read(self, now: float, token: str) -> None:
        self._run_consensus(now, ReadIndexRequested(token))

    def _get_applied_index(self) -> int:
        return self.follower.index

    def _run_consensus(self, now: float, event: Any) -> None:
        actions = self.consensus.handle(now, event)
        if self.consensus.holds_founding_disk and not self.holder.recovered:
            # A disk that formed the group was empty before the first claim, so it lost none.
            self._process_claim_actions(now, self.holder.handle_founding_disk())
        for action in actions:
            if isinstance(action, Send):
                self._actions.append(action)
            elif isinstance(action, Persist):
                self._actions.append(Write(LOG_STREAM, action.token, [action.record], False))
            elif isinstance(action, Rewrite):
                self._actions.append(Write(LOG_STREAM, action.token, action.records, True))
            elif isinstance(action, ProposalCompleted):
                self.proposer.handle_completed(action)
            elif isinstance(action, ReadIndexResolved):
                self.reader.handle_read_index(action)
            elif isinstance(action, Committed):
                self._relay_committed(now, action)
            elif isinstance(action, StateReplaced):
                self.follower.handle_replaced(action.index)

    def _relay_committed(self, now: float, action: Committed) -> None:
        self.follower.handle_applied(action.entries)
        if not self._is_leader():
            return
        entries = [list(entry) for entry in action.entries]
        push = self.follower.build_push(entries)
        self._actions += [Send(t, push) for t in self.members.pick_push_targets()]

    def _record_own_beacon(self, now: float) -> None:
        confirmed_at = self.consensus.compute_confirmed_at(now)
        if confirmed_at is not None:
            index = self.consensus.commit_index
            self.follower.record_beacon(self.state.group_id, index, confirmed_at)

    def _build_summary(self, now: float) -> LocalSummary:
        summary = LocalSummary()
        summary.applied_index = self.follower.index
        summary.group_id = self.state.group_id
        index, confirmed_at = self.follower.get_beacon()
        summary.beacon_index = index
        summary.beacon_age_s = max(0.0, now - confirmed_at) if index >= 0 else 0.0
        summary.upstreams_root = self.upstreams.digest.compute_root()
        return summary

    def _ping_control_instances(self, now: float) -> None:
        """Ping control instances for a quorum confirmation while this instance starts.

        The ring neighbours cannot supply one after a failure of the whole fleet, because
        they are starting as well.
        """
        if self.currency.started or now < self._control_ping_at:
            return
        self._control_ping_at = now + CONTROL_PING_PERIOD_S
        others = [i for i in self.list_control_instances() if i != self.instance_id]
        leader = self.consensus.leader_id if self.consensus is not None else ""
        if leader in others:
            others = [leader]
        targets = self._rng.sample(others, min(CONTROL_PING_TARGETS, len(others)))
        self._actions += self.members.request_acks(now, targets, self._build_summary(now))

    def _expire_leases(self, now: float) -> None:
        if now < self._lease_check_at:
            return
        self._lease_check_at = now + LEASE_CHECK_PERIOD_S
        lost = self.upstreams.expire(now, self.members.is_usable)
        if lost:
            self._actions.append(UpstreamsLost(lost))

    def _transfer_leases(self, now: float, successor: str) -> None:
        for entry in self.upstreams.list_owned():
            transferred = Entry(
                entry.upstream_id,
                entry.announcement,
                entry.state,
                successor,
                entry.sequence + 1,
                False,
                entry.expires_at,
            )
            self.upstreams.merge(now, transferred)

    def _handle_propose_request(self, now: float, peer: str, message: r.ProposeRequest) -> None:
        self.proposer.handle_request(now, peer, message)

    def _handle_propose_reply(self, now: float, peer: str, message: r.ProposeReply) -> None:
        self.proposer.handle_reply(now, message)

    def _handle_ping(self, now: float, peer: str, message: r.Ping) -> None:
        summary = self._build_summary(now)
        self._actions += self.members.handle_ping(now, peer, message, summary)
        self._reconcile(now, peer, message)

    def _handle_ack(self, now: float, peer: str, message: r.Ack) -> None:
        sent_at, actions = self.members.handle_ack(now, peer, message)
        self._actions += actions
        if sent_at is None:
            return
        self.currency.record_ack(sent_at)
        if message.beacon_index >= 0:
            # The age was measured after the ping was sent, so subtracting it from the send
            # time gives a time no later than the confirmation, however late the ack arrives.
            confirmed_at = sent_at - message.beacon_age_s
            self.follower.record_beacon(message.group_id, message.beacon_index, confirmed_at)
        self._reconcile(now, peer, message)
        self.currency.update_started(now)

    def _reconcile(self, now: float, peer: str, message: r.Ping | r.Ack) -> None:
        self.currency.record_index(message.applied_index)
        self._actions += self.follower.request_if_behind(now, peer, message.applied_index)
        if message.members_root != self.members.digest.compute_root():
            self._actions.append(Send(peer, self._build_buckets("members", reply=False)))
        if message.upstreams_root != self.upstreams.digest.compute_root():
            self._actions.append(Send(peer, self._build_buckets("upstreams", reply=False)))

    def _build_buckets(self, subject: str, reply: bool) -> r.SyncBuckets:
        part = self.members if subject == "members" else self.upstreams
        return r.SyncBuckets(subject=subject, hashes=list(part.digest.hashes), reply=reply)

    def _handle_sync_buckets(self, now: float, peer: str, message: r.SyncBuckets) -> None:
        if message.subject == "members":
            buckets = self.members.digest.find_differences(message.hashes)
            found = [m.to_wire() for m in self.members.list_in_buckets(buckets)]
            repair: Any = r.MemberNews(members=found)
        else:
            buckets = self.upstreams.digest.find_differences(message.hashes)
            found = [e.to_wire(now) for e in self.upstreams.list_in_buckets(buckets)]
            repair = r.UpstreamNews(entries=found, token="")
        if found:
            self._actions.append(Send(peer, repair))
        if buckets and not message.reply:
            self._actions.append(Send(peer, self._build_buckets(message.subject, reply=True)))

    def _handle_ping_request(self, now: float, peer: str, message: r.PingRequest) -> None:
        summary = self._build_summary(now)
        self._actions += self.members.handle_ping_request(now, peer, message, summary)

    def _handle_ping_report(self, now: float, peer: str, message: r.PingReport) -> None:
        self.members.handle_ping_report(message)

    def _handle_member_news(self, now: float, peer: str, message: r.MemberNews) -> None:
        self.members.merge([Member.from_wire(now, fields) for fields in message.members])

    def _handle_upstream_news(self, now: float, peer: str, message: r.UpstreamNews) -> None:
        for fields in message.entries:
            entry = Entry.from_wire(now, fields)
            if not self._has_expired_here(entry):
                self.upstreams.merge(now, entry)
        if message.token:
            self._actions.append(Send(peer, r.NewsReceipt(token=message.token)))

    def _has_expired_here(self, entry: Entry) -> bool:
        """Return whether an entry with an unusable owner has already expired here.

        Other instances expire it slightly later. Merging it back from them would give it
        a new lease each time, so it would never expire.
        """
        owner = self.members.members.get(entry.owner)
        is_orphan = owner is not None and not owner.usable and not entry.is_tombstone
        return is_orphan and entry.upstream_id not in self.upstreams.entries

    def _handle_news_receipt(self, now: float, peer: str, message: r.NewsReceipt) -> None:
        self.receipts.handle_receipt(peer, message)
        self._process_receipts(now)

    def _handle_read_request(self, now: float, peer: str, message: r.ReadRequest) -> None:
        self.reader.handle_request(now, peer, message)

    def _handle_read_reply(self, now: float, peer: str, message: r.ReadReply) -> None:
        self.reader.handle_reply(message)

    def _handle_renew_request(self, now: float, peer: str, message: r.RenewRequest) -> None:
        self.upstreams.renew(now, message.upstream_id, message.incarnation, message.lease_s)

    def _handle_follow_request(self, now: float, peer: str, message: r.FollowRequest) -> None:
        self._actions += self.follower.answer_request(peer, message)

    def _handle_follow_entries(self, now: float, peer: str, message: r.FollowEntries) -> None:
        applied = self.follower.handle_entries(now, peer, message)
        if applied:
            push = self.follower.build_push(applied)
            self._actions += [
                Send(t, push) for t in self.members.pick_push_targets() if t != peer
            ]
        elif self.follower.has_gap(message):
            last = message.entries[-1][0]
            self._actions += self.follower.request_if_behind(now, peer, last)

    def _handle_follow_piece(self, now: float, peer: str, message: r.FollowPiece) -> None:
        self._actions += self.follower.handle_piece(now, peer, message)

    def _process_claim_actions(self, now: float, actions: list[Any]) -> None:
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, Send) and action.peer_id == self.instance_id:
                pending += self._dispatch_claim_message(now, self.instance_id, action.message)
            elif isinstance(action, Persist):
                self._actions.append(Write(CLAIM_STREAM, action.token, [action.record], False))
            elif isinstance(action, Rewrite):
                self._actions.append(Write(CLAIM_STREAM, action.token, action.records, True))
            else:
                self._actions.append(action)

    def _dispatch_claim_message(self, now: float, peer: str, message: Any) -> list[Any]:
        if isinstance(message, r.ClaimReply):
            return self.claimer.handle_reply(now, peer, message)
        if isinstance(message, r.ClaimFinished):
            return self.claimer.handle_finished(peer, message)
        if self.holder is None:
            return []
        if isinstance(message, r.ClaimFetch):
            return self.holder.handle_fetch(peer, message)
        return _CLAIM_HOLDER_HANDLERS[type(message)](self.holder, now, peer, message)

    def _handle_claim_message(self, now: float, peer: str, message: Any) -> None:
        self._process_claim_actions(now, self._dispatch_claim_message(now, peer, message))


_CLAIM_HOLDER_HANDLERS: dict[type, Callable[..., list[Any]]] = {
    r.ClaimRequest: ClaimHolder.handle_request,
    r.ClaimFinish: ClaimHolder.handle_finish,
    r.ClaimRelease: ClaimHolder.handle_release,
    r.ClaimBatch: ClaimHolder.handle_batch,
}

_HANDLERS = {
    r.ProposeRequest: Node._handle_propose_request,
    r.ProposeReply: Node._handle_propose_reply,
    r.Ping: Node._handle_ping,
    r.Ack: Node._handle_ack,
    r.PingRequest: Node._handle_ping_request,
    r.PingReport: Node._handle_ping_report,
    r.MemberNews: Node._handle_member_news,
    r.UpstreamNews: Node._handle_upstream_news,
    r.SyncBuckets: Node._handle_sync_buckets,
    r.NewsReceipt: Node._handle_news_receipt,
    r.ReadRequest: Node._handle_read_request,
    r.ReadReply: Node._handle_read_reply,
    r.RenewRequest: Node._handle_renew_request,
    r.FollowRequest: Node._handle_follow_request,
    r.FollowEntries: Node._handle_follow_entries,
    r.FollowPiece: Node._handle_follow_piece,
    r.ClaimRequest: Node._handle_claim_message,
    r.ClaimReply: Node._handle_claim_message,
    r.ClaimFinish: Node._handle_claim_message,
    r.ClaimFinished: Node._handle_claim_message,
    r.ClaimRelease: Node._handle_claim_message,
    r.ClaimFetch: Node._handle_claim_message,
    r.ClaimBatch: Node._handle_claim_message,
}


class _MembersDirectory(ControlDirectory):
    """Finds the other control instances in the membership."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def list_control_instances(self) -> list[str]:
        members = self._node.members.members.values()
        me = self._node.instance_id
        return [
            m.instance_id
            for m in members
            if m.usable and m.role == "control" and m.instance_id != me
        ]

    def is_gone(self, instance_id: str) -> bool:
        member = self._node.members.members.get(instance_id)
        return member is not None and not member.usable

    def find_address(self, instance_id: str) -> str:
        return self._node.find_address(instance_id)


def _build_leaving_action(entry: Entry) -> UpstreamLeaving:
    announcement = entry.announcement
    return UpstreamLeaving(
        entry.upstream_id, announcement.pool, entry.state, announcement.incarnation
    )


def _is_control(member: Member) -> bool:
    return member.usable and member.role in CONTROL_ROLES
