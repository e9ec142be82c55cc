"""State of one instance, composed of its machines, without I/O."""

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
from ..control.follower import TableFollower, TableState
from ..control.group import ControlDirectory, Role
from ..control.holder import ClaimHolder
from ..control.proposals import ChangeCompleted, Proposer
from ..control.reads import ReadCompleted, Reader
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
from .membership import Knowledge, Member, Membership, MemberState
from .receipts import Receipts, ReceiptsDone
from .upstreams import READY, Entry, UpstreamList

EXPIRE_PERIOD_S = 0.5
TICK_S = 0.1
CALM_TICK_S = 0.25
STARTING_TICK_S = 0.02
ASK_PERIOD_S = 0.05
ASKED_CONTROL = 2
DIRECT_NEWS_MEMBERS = 64
CONTROL_ROLES = ("all", "control")

LOG_STREAM = "log"
CLAIM_STREAM = "claims"
UPSTREAM_STREAM = "upstreams"
SAVE_PERIOD_S = 0.5


@dataclass(slots=True)
class Write:
    """Append a record to a journal, or replace the journal, and sync it."""

    stream: str
    token: int
    records: list[list[Any]]
    replace: bool


@dataclass(slots=True)
class UpstreamsLost:
    """Leases of upstreams ran out."""

    upstream_ids: list[str]


@dataclass(slots=True)
class UpstreamLeaving:
    """An upstream drains or has left."""

    upstream_id: str
    pool: str
    state: str
    incarnation: int


@dataclass(slots=True)
class MemberChanged:
    """Another instance changed its state."""

    instance_id: str
    state: str


Action = (
    Send
    | Write
    | ChangeCompleted
    | ClaimCompleted
    | ReadCompleted
    | ReceiptsDone
    | UpstreamsLost
    | UpstreamLeaving
    | MemberChanged
)


class Joining:
    """How an instance finds the fleet and the control group.

    Parameters
    ----------
    seeds : dict
        Addresses of a few instances by identifier.
    bootstrap : bool
        Whether the seeds form a new control group when all their disks are new.
    tolerated : int
        Disks of control instances that may be lost at once.
    """

    __slots__ = ("bootstrap", "seeds", "tolerated")

    def __init__(self, seeds: dict[str, str], bootstrap: bool, tolerated: int) -> None:
        self.seeds = seeds
        self.bootstrap = bootstrap
        self.tolerated = tolerated


class Node:
    """State of one instance.

    Parameters
    ----------
    me : Member
        This instance.
    control : dict
        Addresses of the control instances by identifier; only this instance for a
        site of one.
    saved : Saved or None
        Journal of the replicated log; None on an instance without control.
    claim_records : list
        Decoded journal of claims.
    rng : random.Random
        Source of random choices.
    now : float
        Present time in seconds.
    """

    def __init__(
        self,
        me: Member,
        control: dict[str, str],
        saved: SavedState | None,
        claim_records: list[list[Any]],
        rng: random.Random,
        now: float,
        joining: Joining | None = None,
    ) -> None:
        self.instance_id = me.instance_id
        self.control = sorted(control)
        joining = joining or Joining(dict(control), True, 0)
        self.members = Membership(me, joining.seeds, rng, now)
        self.upstreams = UpstreamList(me.instance_id)
        self.state = TableState()
        self.consensus: Consensus | None = None
        self.holder: ClaimHolder | None = None
        if saved is not None:
            self.consensus = Consensus(
                me.instance_id,
                list(joining.seeds) if joining.bootstrap else [],
                self.state,
                saved,
                rng,
                now,
                joining.tolerated,
                _MembersDirectory(self),
            )
            self.holder = ClaimHolder(
                me.instance_id, self.control, saved.disk_id, claim_records, now
            )
        index = self.consensus.applied_index if self.consensus else 0
        self.follower = TableFollower(self.state, index, follows=saved is None)
        self.claimer = Claimer(self.control)
        self.proposer = Proposer(
            me.instance_id,
            self.list_control,
            self.state,
            self.consensus,
            self.members.is_usable,
            self._submit,
            rng,
        )
        self.reader = Reader(
            self._leads, self.proposer.pick_control_instance, self._get_index, self._submit_read
        )
        self.receipts = Receipts(me.instance_id)
        self._saved_root = 0
        self._save_at = now
        self._save_token = 0
        self.stopping = False
        self._rng = rng
        self.currency = Currency(self.follower, self.members, saved is None, now)
        self._ask_at = now
        self._expire_at = now
        self._out: list[Action] = []

    # Events.

    def tick(self, now: float) -> list[Action]:
        """Let time pass."""
        if self.consensus is not None:
            self._run_consensus(now, Tick())
            self._note_own_beacon(now)
        knowledge = self._describe_knowledge(now)
        self._out += self.members.tick(now, knowledge)
        self._ask_control(now)
        self._save_upstreams(now)
        self._expire_leases(now)
        if self.holder is not None:
            self._take_claim_actions(now, self.holder.tick(now))
        self._take_claim_actions(now, self.claimer.tick(now))
        self.proposer.tick(now)
        self.reader.tick(now)
        self._tell_again(now)
        self.currency.tick(now)
        return self._finish(now)

    def get_tick_period(self) -> float:
        """Return the time until :meth:`tick` is next due, in seconds."""
        if self.is_starting():
            return STARTING_TICK_S
        return CALM_TICK_S if self.consensus is None else TICK_S

    def receive(self, now: float, peer: str, message: Any) -> list[Action]:
        """Take a message of another instance.

        Raises
        ------
        FrameError
            When a field of the message is not usable.
        """
        handler = _HANDLERS.get(type(message))
        try:
            if handler is not None:
                handler(self, now, peer, message)
            elif self.consensus is not None:
                self._run_consensus(now, Received(peer, message))
        except (ValueError, TypeError, KeyError, IndexError) as error:
            raise FrameError(f"unusable {type(message).__name__}: {error}") from error
        return self._finish(now)

    def note_written(self, now: float, stream: str, token: int) -> list[Action]:
        """Take note that a write was synced."""
        if stream == LOG_STREAM:
            self._run_consensus(now, Persisted(token))
        elif stream == CLAIM_STREAM:
            self._take_claim_actions(now, self.holder.handle_persisted(token))
        return self._finish(now)

    def note_write_failed(self, now: float, stream: str, token: int) -> list[Action]:
        """Take note that a write failed; its disk is not used again."""
        if stream == LOG_STREAM:
            self._run_consensus(now, PersistFailed(token))
        if stream != UPSTREAM_STREAM:
            self.holder.handle_persist_failed()
        return self._finish(now)

    # Operators.

    def propose(self, now: float, token: str, change: Change | DesiredState) -> list[Action]:
        """Propose a change; its answer comes as :class:`ChangeCompleted`."""
        self.proposer.propose(now, token, change)
        return self._finish(now)

    def read(self, now: float, token: str) -> list[Action]:
        """Ask whether the tables here are current; the answer is :class:`ReadCompleted`."""
        self.reader.request_read(now, token)
        return self._finish(now)

    # Upstreams.

    def announce(
        self, now: float, upstream_id: str, announcement: r.Announcement, token: str = ""
    ) -> tuple[str, list[Action]]:
        """Take an announcement; return the reason of a refusal and the actions.

        Under a token, :class:`ReceiptsDone` tells when most control instances know it.
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
            self._out.append(Send(owner, message))
        if token:
            self._ask_receipts(now, token, upstream_id)
        return "", self._finish(now)

    def leave_upstream(
        self, now: float, upstream_id: str, incarnation: int = 0, token: str = ""
    ) -> tuple[bool, list[Action]]:
        """Take an upstream out; return whether it was known and the actions.

        Parameters
        ----------
        incarnation : int
            Incarnation that leaves; 0 when it was not given. With it an upstream that
            is not known here is taken out as well.
        """
        known = self.upstreams.leave(now, upstream_id, incarnation)
        if token:
            self._ask_receipts(now, token, upstream_id)
        return known, self._finish(now)

    def _ask_receipts(self, now: float, token: str, upstream_id: str) -> None:
        entry = self.upstreams.entries.get(upstream_id)
        if entry is None or self.consensus is None:
            self._out.append(ReceiptsDone(token, True))
            return
        self.receipts.begin(now, token, entry)
        self._tell_again(now)

    def _tell_again(self, now: float) -> None:
        voters = list(self.consensus.voters) if self.consensus is not None else []
        for peer, token, entry in self.receipts.list_due(now, voters):
            news = r.UpstreamNews(entries=[entry.to_wire(now)], token=token)
            self._out.append(Send(peer, news))
        self._out += self.receipts.pop_actions(now, voters)

    def count_entries(self) -> int:
        """Return the instances that serve callers, this one at least.

        Those that seem dead count: an instance that is cut off must not take the shares
        of the others.
        """
        members = self.members.members.values()
        present = (m for m in members if m.state is not MemberState.LEFT)
        return max(1, sum(m.role != "control" for m in present))

    def restore_upstreams(self, now: float, records: list[list[Any]]) -> None:
        """Take over what the disk holds of the upstream list.

        It may be old: a later announcement outranks it, and a request that reaches
        another upstream at the address is refused by that one.
        """
        for fields in records:
            self.upstreams.merge(now, Entry.from_wire(now, fields))

    def _save_upstreams(self, now: float) -> None:
        """Write the upstream list beside the log, so that a restart of all knows it."""
        if self.consensus is None or now < self._save_at:
            return
        root = self.upstreams.digest.compute_root()
        if root == self._saved_root:
            return
        self._saved_root = root
        self._save_at = now + SAVE_PERIOD_S
        self._save_token += 1
        entries = [e.to_wire(now) for e in self.upstreams.entries.values()]
        self._out.append(Write(UPSTREAM_STREAM, self._save_token, entries, True))

    def list_control(self) -> list[str]:
        """Return the control instances that are known."""
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

    def note_draining(self, now: float, upstream_id: str) -> list[Action]:
        """Take note of a drain that an answer told."""
        self.upstreams.note_draining(now, upstream_id)
        return self._finish(now)

    # Claims.

    def claim(
        self, now: float, token: str, key: str, digest: str, left_s: float
    ) -> list[Action]:
        """Claim a key; the outcome comes as :class:`ClaimCompleted`."""
        self._take_claim_actions(
            now, self.claimer.request_claim(now, token, key, digest, left_s)
        )
        return self._finish(now)

    def finish_claim(self, now: float, token: str, message: r.ClaimFinish) -> list[Action]:
        """Store an answer; the end comes as :class:`ClaimCompleted`."""
        self._take_claim_actions(now, self.claimer.finish(now, token, message))
        return self._finish(now)

    def release_claim(self, now: float, key: str, claim_id: str) -> list[Action]:
        """Give back the claim of a request that was not run."""
        self._take_claim_actions(now, self.claimer.release(key, claim_id))
        return self._finish(now)

    # Life of the instance.

    def begin_stop(self, now: float) -> list[Action]:
        """Hand over leadership and leases."""
        self.stopping = True
        if self.consensus is not None:
            self._run_consensus(now, LeadershipTransferRequested())
        neighbours = [i for i in self.members.list_neighbours() if self.members.is_usable(i)]
        if neighbours:
            self._hand_over_leases(now, neighbours[0])
        return self._finish(now)

    def end_stop(self, now: float) -> list[Action]:
        """Tell the others that this instance leaves."""
        self._out += self.members.leave(now)
        return self._finish(now)

    def list_unready_reasons(self, now: float) -> list[str]:
        """Return why callers should not be sent here; empty when ready."""
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
        """Return whether this instance has not yet learnt the present tables."""
        return not self.currency.started

    def is_open(self, now: float) -> bool:
        """Return whether callers are served."""
        return self.currency.started and not self.currency.is_cut_off(now)

    def is_current(self, now: float) -> bool:
        """Return whether the tables include every change of more than a moment ago."""
        return self.currency.is_current(now)

    # Own parts.

    def _leads(self) -> bool:
        return self.consensus is not None and self.consensus.role is Role.LEADER

    def _finish(self, now: float) -> list[Action]:
        news = self.upstreams.take_news()
        if news:
            message = r.UpstreamNews(entries=[e.to_wire(now) for e in news], token="")
            self._out += [Send(t, message) for t in self._pick_news_targets()]
            self._out += [_describe_leaving(e) for e in news if e.state != READY]
        self._out += self.members.flush_news()
        for member in self.members.take_changed():
            if member is not self.members.me:
                state = member.state.name.lower()
                self._out.append(MemberChanged(member.instance_id, state))
        self._out += self.proposer.pop_actions(now)
        self._out += self.reader.pop_actions()
        out, self._out = self._out, []
        return out

    def _pick_news_targets(self) -> list[str]:
        """Return who hears of upstreams at once.

        A control instance tells everybody while the fleet is small: it hears of a drain
        first, and an instance that is cut off from its neighbours still hears it.
        """
        if self.consensus is None or len(self.members.members) > DIRECT_NEWS_MEMBERS:
            return self.members.pick_push_targets()
        return self.members.list_usable()

    def _submit(self, now: float, token: str, kind: str, payload: list[Any]) -> None:
        self._run_consensus(now, Proposed(token, kind, payload))

    def _submit_read(self, now: float, token: str) -> None:
        self._run_consensus(now, ReadIndexRequested(token))

    def _get_index(self) -> int:
        return self.follower.index

    def _run_consensus(self, now: float, event: Any) -> None:
        actions = self.consensus.handle(now, event)
        if self.consensus.formed_here and not self.holder.recovered:
            # A group that forms on new disks starts with no claims. That is written
            # before anything the group decides, so that a crash cannot part the two.
            self._take_claim_actions(now, self.holder.handle_group_formed())
        for action in actions:
            if isinstance(action, Send):
                self._out.append(action)
            elif isinstance(action, Persist):
                self._out.append(Write(LOG_STREAM, action.token, [action.record], False))
            elif isinstance(action, Rewrite):
                self._out.append(Write(LOG_STREAM, action.token, action.records, True))
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
        if not self._leads():
            return
        entries = [list(entry) for entry in action.entries]
        push = self.follower.build_push(entries)
        self._out += [Send(t, push) for t in self.members.pick_push_targets()]

    def _note_own_beacon(self, now: float) -> None:
        confirmed_at = self.consensus.compute_confirmed_at(now)
        if confirmed_at is not None:
            index = self.consensus.commit_index
            self.follower.record_beacon(self.state.group_id, index, confirmed_at)

    def _describe_knowledge(self, now: float) -> Knowledge:
        knowledge = Knowledge()
        knowledge.applied_index = self.follower.index
        knowledge.group_id = self.state.group_id
        index, confirmed_at = self.follower.get_beacon()
        knowledge.beacon_index = index
        knowledge.beacon_age_s = max(0.0, now - confirmed_at) if index >= 0 else 0.0
        knowledge.upstreams_root = self.upstreams.digest.compute_root()
        return knowledge

    def _ask_control(self, now: float) -> None:
        """Ask control instances for the word of a quorum while this instance starts.

        The neighbours on the ring start as well after a failure of the whole fleet and
        have no such word themselves.
        """
        if self.currency.started or now < self._ask_at:
            return
        self._ask_at = now + ASK_PERIOD_S
        others = [i for i in self.list_control() if i != self.instance_id]
        leader = self.consensus.leader_id if self.consensus is not None else ""
        if leader in others:
            others = [leader]
        targets = self._rng.sample(others, min(ASKED_CONTROL, len(others)))
        self._out += self.members.ask(now, targets, self._describe_knowledge(now))

    def _expire_leases(self, now: float) -> None:
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_PERIOD_S
        lost = self.upstreams.expire(now, self.members.is_usable)
        if lost:
            self._out.append(UpstreamsLost(lost))

    def _hand_over_leases(self, now: float, successor: str) -> None:
        for entry in self.upstreams.hand_over():
            left = Entry(
                entry.upstream_id,
                entry.announcement,
                entry.state,
                successor,
                entry.sequence + 1,
                False,
                entry.expires_at,
            )
            self.upstreams.merge(now, left)

    # Membership, tables and upstreams.

    def _on_propose_request(self, now: float, peer: str, message: r.ProposeRequest) -> None:
        self.proposer.handle_request(now, peer, message)

    def _on_propose_reply(self, now: float, peer: str, message: r.ProposeReply) -> None:
        self.proposer.handle_reply(now, message)

    def _on_ping(self, now: float, peer: str, message: r.Ping) -> None:
        knowledge = self._describe_knowledge(now)
        self._out += self.members.answer_ping(now, peer, message, knowledge)
        self._compare(now, peer, message)

    def _on_ack(self, now: float, peer: str, message: r.Ack) -> None:
        sent_at, out = self.members.take_ack(now, peer, message)
        self._out += out
        if sent_at is None:
            return
        self.currency.note_answer(sent_at)
        if message.beacon_index >= 0:
            # The answer is no older than its ping; a late answer is dated by it.
            confirmed_at = sent_at - message.beacon_age_s
            self.follower.record_beacon(message.group_id, message.beacon_index, confirmed_at)
        self._compare(now, peer, message)
        self.currency.update_started(now)

    def _compare(self, now: float, peer: str, message: r.Ping | r.Ack) -> None:
        self.currency.note_index(message.applied_index)
        self._out += self.follower.request_if_behind(now, peer, message.applied_index)
        if message.members_root != self.members.digest.compute_root():
            self._out.append(Send(peer, self._build_buckets("members", reply=False)))
        if message.upstreams_root != self.upstreams.digest.compute_root():
            self._out.append(Send(peer, self._build_buckets("upstreams", reply=False)))

    def _build_buckets(self, subject: str, reply: bool) -> r.SyncBuckets:
        part = self.members if subject == "members" else self.upstreams
        return r.SyncBuckets(subject=subject, hashes=list(part.digest.hashes), reply=reply)

    def _on_sync_buckets(self, now: float, peer: str, message: r.SyncBuckets) -> None:
        if message.subject == "members":
            buckets = self.members.digest.find_differences(message.hashes)
            found = [m.to_wire() for m in self.members.list_bucket(buckets)]
            news: Any = r.MemberNews(members=found)
        else:
            buckets = self.upstreams.digest.find_differences(message.hashes)
            found = [e.to_wire(now) for e in self.upstreams.list_bucket(buckets)]
            news = r.UpstreamNews(entries=found, token="")
        if found:
            self._out.append(Send(peer, news))
        if buckets and not message.reply:
            self._out.append(Send(peer, self._build_buckets(message.subject, reply=True)))

    def _on_ping_request(self, now: float, peer: str, message: r.PingRequest) -> None:
        knowledge = self._describe_knowledge(now)
        self._out += self.members.help_ping(now, peer, message, knowledge)

    def _on_ping_report(self, now: float, peer: str, message: r.PingReport) -> None:
        self.members.take_report(message)

    def _on_member_news(self, now: float, peer: str, message: r.MemberNews) -> None:
        self.members.merge([Member.from_wire(now, fields) for fields in message.members])

    def _on_upstream_news(self, now: float, peer: str, message: r.UpstreamNews) -> None:
        for fields in message.entries:
            entry = Entry.from_wire(now, fields)
            if not self._has_expired_here(entry):
                self.upstreams.merge(now, entry)
        if message.token:
            self._out.append(Send(peer, r.NewsReceipt(token=message.token)))

    def _has_expired_here(self, entry: Entry) -> bool:
        """Return whether an entry without an owner has run out here already.

        Others let it run out a moment later; taken back from them it would live on.
        """
        owner = self.members.members.get(entry.owner)
        is_orphan = owner is not None and not owner.usable and not entry.dead
        return is_orphan and entry.upstream_id not in self.upstreams.entries

    def _on_news_receipt(self, now: float, peer: str, message: r.NewsReceipt) -> None:
        self.receipts.take_receipt(peer, message)
        self._tell_again(now)

    def _on_read_request(self, now: float, peer: str, message: r.ReadRequest) -> None:
        self.reader.handle_request(now, peer, message)

    def _on_read_reply(self, now: float, peer: str, message: r.ReadReply) -> None:
        self.reader.handle_reply(message)

    def _on_renew(self, now: float, peer: str, message: r.RenewRequest) -> None:
        self.upstreams.renew(now, message.upstream_id, message.incarnation, message.lease_s)

    def _on_follow_request(self, now: float, peer: str, message: r.FollowRequest) -> None:
        self._out += self.follower.answer_request(peer, message)

    def _on_follow_entries(self, now: float, peer: str, message: r.FollowEntries) -> None:
        applied = self.follower.handle_entries(now, peer, message)
        if applied:
            push = self.follower.build_push(applied)
            self._out += [Send(t, push) for t in self.members.pick_push_targets() if t != peer]
        elif self.follower.has_gap(message):
            last = message.entries[-1][0]
            self._out += self.follower.request_if_behind(now, peer, last)

    def _on_follow_piece(self, now: float, peer: str, message: r.FollowPiece) -> None:
        self._out += self.follower.handle_piece(now, peer, message)

    # Claims.

    def _take_claim_actions(self, now: float, actions: list[Any]) -> None:
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, Send) and action.peer_id == self.instance_id:
                pending += self._deliver_claim(now, self.instance_id, action.message)
            elif isinstance(action, Persist):
                self._out.append(Write(CLAIM_STREAM, action.token, [action.record], False))
            elif isinstance(action, Rewrite):
                self._out.append(Write(CLAIM_STREAM, action.token, action.records, True))
            else:
                self._out.append(action)

    def _deliver_claim(self, now: float, peer: str, message: Any) -> list[Any]:
        if isinstance(message, r.ClaimReply):
            return self.claimer.handle_reply(now, peer, message)
        if isinstance(message, r.ClaimFinished):
            return self.claimer.handle_finished(peer, message)
        if self.holder is None:
            return []
        if isinstance(message, r.ClaimFetch):
            return self.holder.handle_fetch(peer, message)
        return _HOLDER_METHODS[type(message)](self.holder, now, peer, message)

    def _on_claim_message(self, now: float, peer: str, message: Any) -> None:
        self._take_claim_actions(now, self._deliver_claim(now, peer, message))


_HOLDER_METHODS: dict[type, Callable[..., list[Any]]] = {
    r.ClaimRequest: ClaimHolder.handle_request,
    r.ClaimFinish: ClaimHolder.handle_finish,
    r.ClaimRelease: ClaimHolder.handle_release,
    r.ClaimBatch: ClaimHolder.handle_batch,
}

_HANDLERS = {
    r.ProposeRequest: Node._on_propose_request,
    r.ProposeReply: Node._on_propose_reply,
    r.Ping: Node._on_ping,
    r.Ack: Node._on_ack,
    r.PingRequest: Node._on_ping_request,
    r.PingReport: Node._on_ping_report,
    r.MemberNews: Node._on_member_news,
    r.UpstreamNews: Node._on_upstream_news,
    r.SyncBuckets: Node._on_sync_buckets,
    r.NewsReceipt: Node._on_news_receipt,
    r.ReadRequest: Node._on_read_request,
    r.ReadReply: Node._on_read_reply,
    r.RenewRequest: Node._on_renew,
    r.FollowRequest: Node._on_follow_request,
    r.FollowEntries: Node._on_follow_entries,
    r.FollowPiece: Node._on_follow_piece,
    r.ClaimRequest: Node._on_claim_message,
    r.ClaimReply: Node._on_claim_message,
    r.ClaimFinish: Node._on_claim_message,
    r.ClaimFinished: Node._on_claim_message,
    r.ClaimRelease: Node._on_claim_message,
    r.ClaimFetch: Node._on_claim_message,
    r.ClaimBatch: Node._on_claim_message,
}


class _MembersDirectory(ControlDirectory):
    """The other control instances as the membership knows them."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def list_control(self) -> list[str]:
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


def _describe_leaving(entry: Entry) -> UpstreamLeaving:
    announcement = entry.announcement
    return UpstreamLeaving(
        entry.upstream_id, announcement.pool, entry.state, announcement.incarnation
    )


def _is_control(member: Member) -> bool:
    return member.usable and member.role in CONTROL_ROLES
