"""Node: the state machines of one instance, combined and without I/O.

Each method takes an event and returns the actions for the caller to perform. The parts of a
node handle the messages; the node passes events on, in a fixed order.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec

from .. import records as r
from ..control.claimer import Claimer
from ..control.consensus import Consensus
from ..control.desired import DesiredState
from ..control.entries import SavedState
from ..control.evacuations import EvacuationOrder
from ..control.group import ControlDirectory, Role
from ..control.holder import ClaimHolder
from ..control.introduction import IntroductionDelay
from ..control.orders import OrderProposer
from ..control.proposals import Proposer
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
from ..exceptions import FrameError
from ..permits.bounds import QuotaBounds
from ..permits.holder import QuotaPlan
from ..permits.quota import ReturnedPermits
from .actions import (
    CLAIM_STREAM,
    LOG_STREAM,
    UPSTREAM_STREAM,
    Action,
    ActionQueue,
    Write,
    build_rewrite,
)
from .announcing import UpstreamPart
from .claiming import ClaimPart
from .comparing import ListComparison
from .crashes import CrashList
from .crashing import CrashPart
from .currency import START_MAX_TABLE_AGE_S, Currency
from .gossip import GossipPart
from .limiting import LimitPart
from .membership import Member, Membership, MemberState
from .parts import Handler
from .quotas import QuotaPart
from .relaying import TablePart
from .upstreams import UpstreamList
from .warmups import WarmupPart, WarmupTimes

CONTROL_TICK_S = 0.1
ENTRY_TICK_S = 0.25
STARTING_TICK_S = 0.02
CONTROL_ROLES = ("all", "control")


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
    start_max_age_s : float
        Highest age of the tables with which a start is complete, in seconds.
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
        start_max_age_s: float = START_MAX_TABLE_AGE_S,
    ) -> None:
        self.instance_id = me.instance_id
        self.control = sorted(control)
        self.stopping = False
        join_options = join_options or JoinOptions(dict(control), True, 0)
        self.members = Membership(me, join_options.seeds, rng, now)
        self.state = TableState()
        self.consensus: Consensus | None = None
        self._started_as_voter = False
        holder: ClaimHolder | None = None
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
            self._started_as_voter = self.consensus.is_voter()
            holder = ClaimHolder(
                me.instance_id, self.control, saved.disk_id, claim_records, now
            )
        index = self.consensus.applied_index if self.consensus else 0
        self.follower = TableFollower(self.state, index, fetches_entries=saved is None)
        self.proposer = Proposer(
            me.instance_id,
            self.list_control_instances,
            self.state,
            self.consensus,
            self.members.is_usable,
            self._submit,
            rng,
        )
        self.orders = OrderProposer(
            me.instance_id,
            self.state,
            self.consensus,
            self.proposer.pick_control_instance,
            self._submit,
        )
        self.reader = Reader(
            self._is_leader,
            self.proposer.pick_control_instance,
            self._get_applied_index,
            self._submit_read,
        )
        self.currency = Currency(
            self.follower, self.members, saved is None, now, start_max_age_s
        )
        self._actions = ActionQueue()
        self._claims = ClaimPart(me.instance_id, self.control, holder, self._actions)
        list_voters = self._list_voters if saved is not None else None
        self._upstreams = UpstreamPart(
            self.members,
            list_voters,
            self.list_control_instances,
            self._actions,
            now,
            WarmupTimes(self.follower, self.is_starting).find,
        )
        self._comparison = ListComparison(
            me.instance_id,
            list_voters,
            self.list_control_instances,
            self._has_former_disk,
            now,
        )
        self._crashes = CrashPart(self.members, self._actions, now)
        self._limits = LimitPart(self.upstreams, self._actions, now)
        self._warmups = WarmupPart(self.upstreams, self._actions)
        self._quotas = QuotaPart(
            me.instance_id,
            self.consensus,
            self.list_control_instances,
            self.members.is_usable,
            rng,
            self._actions,
        )
        self._tables = TablePart(self.follower, self.members, self._actions)
        self._gossip = GossipPart(
            self.members,
            self._upstreams,
            self._crashes,
            self._tables,
            self.currency,
            self._comparison,
            self.list_control_instances,
            self._get_leader,
            rng,
            self._actions,
            now,
        )
        self._handlers = self._build_handlers()
        self._entry_count = 1
        self._entry_count_version = -1

    def _build_handlers(self) -> dict[type, Handler]:
        handlers: dict[type, Handler] = {
            r.ProposeRequest: self.proposer.handle_request,
            r.ProposeReply: lambda now, peer, message: self.proposer.handle_reply(now, message),
            r.EvacuationRequest: self.orders.handle_request,
            r.EvacuationReply: self.orders.handle_reply,
            r.ReadRequest: self.reader.handle_request,
            r.ReadReply: self._handle_read_reply,
        }
        for part in (
            self._claims,
            self._upstreams,
            self._limits,
            self._warmups,
            self._quotas,
            self._crashes,
            self._tables,
            self._gossip,
        ):
            handlers |= part.build_handlers()
        return handlers

    @property
    def upstreams(self) -> UpstreamList:
        """Upstreams that this instance knows."""
        return self._upstreams.upstreams

    @property
    def crashes(self) -> CrashList:
        """Crashes of upstreams under requests that this instance knows."""
        return self._crashes.crashes

    @property
    def claimer(self) -> Claimer:
        """Claims that this instance requests."""
        return self._claims.claimer

    @property
    def holder(self) -> ClaimHolder | None:
        """Claims that this instance stores; None outside the control group."""
        return self._claims.holder

    def tick(self, now: float) -> list[Action]:
        """Perform the work that is due at ``now``."""
        if self.consensus is not None:
            self._run_consensus(now, Tick())
            self._record_own_beacon(now)
        self._gossip.tick(now)
        self._upstreams.tick(now)
        self._limits.tick(now)
        self._quotas.tick(now)
        self._crashes.tick(now)
        self._claims.tick(now)
        self.proposer.tick(now)
        self.orders.tick(now)
        self.reader.tick(now)
        self._upstreams.process_receipts(now)
        self.currency.tick(now)
        self._comparison.update(now)
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
        handler = self._handlers.get(type(message))
        try:
            if handler is not None:
                handler(now, peer, message)
            elif self.consensus is not None:
                self._run_consensus(now, Received(peer, message))
        except (
            ValueError,
            TypeError,
            KeyError,
            IndexError,
            msgspec.ValidationError,
        ) as error:
            raise FrameError(f"invalid {type(message).__name__}: {error}") from error
        return self._pop_actions(now)

    def handle_written(self, now: float, stream: str, token: int) -> list[Action]:
        """Handle the completion of a write that was synced."""
        if stream == LOG_STREAM:
            self._run_consensus(now, Persisted(token))
        elif stream == CLAIM_STREAM:
            self._claims.handle_written(now, token)
        elif stream == UPSTREAM_STREAM:
            self._upstreams.handle_written(now, token)
        return self._pop_actions(now)

    def handle_write_failed(self, now: float, stream: str, token: int) -> list[Action]:
        """Handle a write that failed; the journal is written again as a whole."""
        if stream == LOG_STREAM:
            self._run_consensus(now, PersistFailed(token))
        elif stream == CLAIM_STREAM:
            self._claims.handle_write_failed(now, token)
        elif stream == UPSTREAM_STREAM:
            self._upstreams.handle_write_failed(now, token)
        return self._pop_actions(now)

    def propose(self, now: float, token: str, change: Change | DesiredState) -> list[Action]:
        """Propose a change; :class:`ChangeCompleted` carries its answer."""
        self.proposer.propose(now, token, change)
        return self._pop_actions(now)

    def order_evacuation(
        self, now: float, token: str, order: EvacuationOrder, known_orders: int
    ) -> list[Action]:
        """Propose an order on a zone; :class:`OrderCompleted` tells whether it is committed.

        Parameters
        ----------
        known_orders : int
            Number of orders that were known before this one was given.
        """
        self.orders.propose(now, token, order, known_orders)
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
        majority of the voters has stored the entry.
        """
        refusal = self._upstreams.announce(now, upstream_id, announcement, token)
        return refusal, [] if refusal else self._pop_actions(now)

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
        known = self._upstreams.leave(now, upstream_id, incarnation, token)
        return known, self._pop_actions(now)

    def count_entry_instances(self) -> int:
        """Return the number of instances that serve callers, at least 1.

        Suspect and dead members are counted: otherwise an instance cut off from the rest
        would take over the others' shares of the fleet-wide budgets.
        """
        if self._entry_count_version != self.members.change_count:
            self._entry_count_version = self.members.change_count
            self._entry_count = max(1, len(self.list_entry_zones()))
        return self._entry_count

    def list_entry_zones(self) -> dict[str, str]:
        """Return the availability zones of the instances that serve callers and have not left.

        Suspect and dead members are included, so that a partition does not change which
        instances use a cold upstream.
        """
        members = self.members.members.values()
        return {
            m.instance_id: m.availability_zone
            for m in members
            if m.role != "control" and m.state is not MemberState.LEFT
        }

    def list_forward_addresses(self) -> dict[str, str]:
        """Return the addresses of the other instances that take forwarded requests."""
        members = self.members.members.values()
        return {
            m.instance_id: m.forward_address
            for m in members
            if m.usable and m.forward_address and m is not self.members.me
        }

    def restore_upstreams(self, now: float, records: list[list[Any]]) -> None:
        """Merge the upstream list that was read from disk."""
        self._upstreams.restore(now, records)

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

    def report_rate_limit(
        self, now: float, upstream_id: str, incarnation: int, limit_per_s: float | None
    ) -> list[Action]:
        """Report the rate limit that an upstream names in its responses."""
        self._limits.report(now, upstream_id, incarnation, limit_per_s)
        return self._pop_actions(now)

    def request_permits(
        self, now: float, upstream_id: str, limit_per_s: float, count: int, requested_at: float
    ) -> list[Action]:
        """Request permits for requests; :class:`PermitsAnswered` carries the reply."""
        self._limits.request(now, upstream_id, limit_per_s, count, requested_at)
        return self._pop_actions(now)

    def return_permits(self, now: float, upstream_id: str, count: int) -> list[Action]:
        """Return permits that were not used."""
        self._limits.give_back(now, upstream_id, count)
        return self._pop_actions(now)

    def report_warmup(
        self, now: float, upstream_id: str, incarnation: int, left_s: float
    ) -> list[Action]:
        """Report that an upstream is cold for some seconds, which the list does not state."""
        self._warmups.report(now, upstream_id, incarnation, left_s)
        return self._pop_actions(now)

    def set_organisations(self, organisations: list[r.Organisation]) -> None:
        """Apply the limits of the organisations in force."""
        self._quotas.limits.replace(organisations)

    def set_key_check(self, key_check_s: float) -> None:
        """Apply the age up to which tables without organisations are recent, in seconds."""
        self.proposer.introduction = IntroductionDelay(key_check_s)

    def set_quota_bounds(self, bounds: QuotaBounds) -> None:
        """Apply the bound on the requests of organisations."""
        self._quotas.set_bounds(bounds)

    def request_quotas(self, now: float, plan: QuotaPlan) -> list[Action]:
        """Request permits of organisations; :class:`QuotasAnswered` carries the reply."""
        self._quotas.request(now, plan)
        return self._pop_actions(now)

    def return_quotas(self, now: float, returns: list[ReturnedPermits]) -> list[Action]:
        """Return permits of organisations that were not used."""
        self._quotas.give_back(now, returns)
        return self._pop_actions(now)

    def list_entry_instances(self) -> list[str]:
        """Return the instances that serve callers; see :meth:`count_entry_instances`."""
        return list(self.list_entry_zones())

    def report_crash(
        self, now: float, fingerprint: str, upstream_id: str, incarnation: int
    ) -> list[Action]:
        """Record that an upstream ended while it ran a request."""
        self._crashes.report(now, fingerprint, upstream_id, incarnation)
        return self._pop_actions(now)

    def clear_crashes(self, now: float, fingerprint: str) -> list[Action]:
        """Record that an upstream answered a request that had been reported."""
        self._crashes.clear(now, fingerprint)
        return self._pop_actions(now)

    def claim(
        self, now: float, token: str, key: str, digest: str, remaining_s: float
    ) -> list[Action]:
        """Claim an idempotency key; :class:`ClaimCompleted` carries the outcome."""
        self._claims.request(now, token, key, digest, remaining_s)
        return self._pop_actions(now)

    def finish_claim(self, now: float, token: str, message: r.ClaimFinish) -> list[Action]:
        """Store the answer of a claimed request; :class:`ClaimCompleted` reports completion."""
        self._claims.finish(now, token, message)
        return self._pop_actions(now)

    def release_claim(self, now: float, key: str, claim_id: str) -> list[Action]:
        """Release the claim of a request that was not executed."""
        self._claims.release(now, key, claim_id)
        return self._pop_actions(now)

    def begin_stop(self, now: float) -> list[Action]:
        """Transfer leadership and owned leases to other instances."""
        self.stopping = True
        if self.consensus is not None:
            self._run_consensus(now, LeadershipTransferRequested())
        neighbours = [i for i in self.members.list_neighbours() if self.members.is_usable(i)]
        if neighbours:
            self._upstreams.transfer_leases(now, neighbours[0])
        return self._pop_actions(now)

    def end_stop(self, now: float) -> list[Action]:
        """Announce to the other instances that this one leaves the fleet."""
        self._actions.extend(self.members.leave(now))
        return self._pop_actions(now)

    def list_unready_reasons(self, now: float) -> list[str]:
        """Return the reasons why this instance is not ready; empty when ready."""
        reasons = []
        if self.stopping:
            reasons.append("stopping")
        if not self.currency.started:
            reasons.append("starting: the tables are not known to be current")
        elif not self._comparison.may_serve:
            reasons.append("starting: the upstreams are not known to be current")
        elif self.currency.is_cut_off(now):
            reasons.append("cut off from the control instances")
        if self.consensus is not None and self.consensus.role is Role.FAILED:
            reasons.append("the disk failed")
        return reasons

    def is_starting(self) -> bool:
        """Return whether this instance still waits for up-to-date tables and upstreams."""
        return not (self.currency.started and self._comparison.may_serve)

    def is_open(self, now: float) -> bool:
        """Return whether this instance may serve callers."""
        return not self.is_starting() and not self.currency.is_cut_off(now)

    def is_current(self, now: float) -> bool:
        """Return whether the tables here are up to date; see :class:`Currency`."""
        return self.currency.is_current(now)

    def _is_leader(self) -> bool:
        return self.consensus is not None and self.consensus.role is Role.LEADER

    def _pop_actions(self, now: float) -> list[Action]:
        self._upstreams.push_updates(now)
        self._crashes.push_updates(now)
        self._gossip.push_updates(now)
        self._actions.extend(self.proposer.pop_actions(now))
        self._actions.extend(self.orders.pop_actions(now))
        for action in self.reader.pop_actions():
            if isinstance(action, ReadCompleted) and action.succeeded:
                self.follower.record_read(action.begun_at)
            self._actions.add(action)
        return self._actions.pop_all()

    def _handle_read_reply(self, now: float, peer: str, message: r.ReadReply) -> None:
        self.reader.handle_reply(message)
        # A read ends once the entries up to its index are here.
        self._tables.request_if_behind(now, peer, message.index)

    def _submit(self, now: float, token: str, kind: str, payload: Any) -> None:
        self._run_consensus(now, Proposed(token, kind, payload))

    def _submit_read(self, now: float, token: str) -> None:
        self._run_consensus(now, ReadIndexRequested(token))

    def _get_applied_index(self) -> int:
        return self.follower.index

    def _get_leader(self) -> str:
        return self.consensus.leader_id if self.consensus is not None else ""

    def _list_voters(self) -> list[str]:
        return list(self.consensus.voters)

    def _has_former_disk(self) -> bool:
        """Return whether this instance started with all that it had ever confirmed."""
        consensus = self.consensus
        return consensus is None or self._started_as_voter or consensus.holds_founding_disk

    def _run_consensus(self, now: float, event: Any) -> None:
        actions = self.consensus.handle(now, event)
        if self.consensus.holds_founding_disk:
            # A disk that formed the group was empty before the first claim, so it lost none.
            self._claims.handle_founding_disk(now)
        for action in actions:
            if isinstance(action, Send):
                self._actions.add(action)
            elif isinstance(action, Persist):
                self._actions.add(Write(LOG_STREAM, action.token, [action.record], False))
            elif isinstance(action, Rewrite):
                self._actions.add(build_rewrite(LOG_STREAM, action))
            elif isinstance(action, ProposalCompleted):
                self.proposer.handle_completed(action)
                self.orders.handle_completed(now, action)
            elif isinstance(action, ReadIndexResolved):
                self.reader.handle_read_index(action)
            elif isinstance(action, Committed):
                self._tables.handle_committed(action, self._is_leader())
            elif isinstance(action, StateReplaced):
                self.follower.handle_replaced(action.index)

    def _record_own_beacon(self, now: float) -> None:
        confirmed_at = self.consensus.compute_confirmed_at(now)
        if confirmed_at is not None:
            index = self.consensus.commit_index
            self.follower.record_beacon(self.state.group_id, index, confirmed_at)


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


def _is_control(member: Member) -> bool:
    return member.usable and member.role in CONTROL_ROLES
