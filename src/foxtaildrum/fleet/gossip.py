"""Pings between instances, and the comparison and repair of what each of them knows."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from .. import records as r
from ..events import Send
from ..sizes import split_batches
from .actions import ActionQueue, MemberChanged, Reconnect
from .announcing import UpstreamPart
from .comparing import ListComparison
from .confirming import ConfirmationSchedule
from .crashing import CrashPart
from .currency import Currency
from .digest import BucketDigest
from .intake import read_records
from .membership import LocalSummary, Member, Membership
from .parts import Part, handles
from .relaying import TablePart

CONTROL_PING_PERIOD_S = 0.05
LATE_PING_PERIOD_S = 1.0
CONTROL_PING_TARGETS = 2
REPAIR_INTERVAL_S = 0.25

News = r.MemberNews | r.UpstreamNews | r.CrashNews


class GossipPart(Part):
    """Pings other instances and repairs differences of members, upstreams and tables.

    Parameters
    ----------
    members : Membership
        Instances of the fleet.
    upstreams : UpstreamPart
        Upstreams of this instance.
    crashes : CrashPart
        Crashes that this instance knows.
    tables : TablePart
        Tables of this instance.
    currency : Currency
        Whether the tables are up to date.
    comparison : ListComparison
        Whether the upstream list is complete.
    list_control_instances : callable
        Returns the known control instances.
    get_leader : callable
        Returns the leader of the control group; empty when unknown.
    rng : random.Random
        Source of random choices.
    actions : ActionQueue
        Receives the actions.
    now : float
        Current time in seconds.
    """

    def __init__(
        self,
        members: Membership,
        upstreams: UpstreamPart,
        crashes: CrashPart,
        tables: TablePart,
        currency: Currency,
        comparison: ListComparison,
        list_control_instances: Callable[[], list[str]],
        get_leader: Callable[[], str],
        rng: random.Random,
        actions: ActionQueue,
        now: float,
    ) -> None:
        self._members = members
        self._upstreams = upstreams
        self._crashes = crashes
        self._tables = tables
        self._currency = currency
        self._comparison = comparison
        self._list_control_instances = list_control_instances
        self._get_leader = get_leader
        self._rng = rng
        self._actions = actions
        self._control_ping_at = now
        self._confirmations = ConfirmationSchedule(members.me.instance_id, rng)
        self._repair_at: dict[str, float] = {}

    def tick(self, now: float) -> None:
        """Send the pings that are due."""
        summary = self._build_summary(now)
        self._actions.extend(self._members.tick(now, summary))
        unanswered = dict.fromkeys(self._members.pop_unanswered())
        self._actions.extend(Reconnect(i) for i in unanswered)
        self._ping_control_instances(now)
        if self._tables.state.tables.get_organisations() is not None:
            self._request_confirmation(now)

    def push_updates(self, now: float) -> None:
        """Send the members that changed to other instances, and report them."""
        self._actions.extend(self._members.flush_updates(now))
        for member in self._members.pop_changed():
            if member is not self._members.me:
                state = member.state.name.lower()
                self._actions.add(MemberChanged(member.instance_id, state))

    @handles(r.Ping)
    def handle_ping(self, now: float, peer: str, message: r.Ping) -> None:
        """Acknowledge a ping."""
        summary = self._build_summary(now)
        self._actions.extend(self._members.handle_ping(now, peer, message, summary))
        self._reconcile(now, peer, message)

    @handles(r.Ack)
    def handle_ack(self, now: float, peer: str, message: r.Ack) -> None:
        """Handle the reply to a ping, with the quorum confirmation that it carries."""
        sent_at, actions = self._members.handle_ack(now, peer, message)
        self._actions.extend(actions)
        if sent_at is None:
            return
        self._currency.record_ack(sent_at)
        if message.beacon_index >= 0:
            # The age was measured after the ping was sent, so subtracting it from the send
            # time gives a time no later than the confirmation, however late the ack arrives.
            confirmed_at = sent_at - message.beacon_age_s
            self._tables.record_beacon(message.group_id, message.beacon_index, confirmed_at)
        self._reconcile(now, peer, message)
        self._currency.update_started(now)

    @handles(r.PingRequest)
    def handle_ping_request(self, now: float, peer: str, message: r.PingRequest) -> None:
        """Ping an instance on behalf of another one."""
        summary = self._build_summary(now)
        self._actions.extend(self._members.handle_ping_request(now, peer, message, summary))

    @handles(r.PingReport)
    def handle_ping_report(self, now: float, peer: str, message: r.PingReport) -> None:
        """Handle the result of a ping that another instance sent for this one."""
        self._members.handle_ping_report(message)

    @handles(r.MemberNews)
    def handle_member_news(self, now: float, peer: str, message: r.MemberNews) -> None:
        """Merge members that another instance knows."""
        members = read_records(
            "member", peer, message.members, partial(Member.from_wire, now), self._actions
        )
        self._members.merge(members)

    @handles(r.SyncBuckets)
    def handle_sync_buckets(self, now: float, peer: str, message: r.SyncBuckets) -> None:
        """Send the members, upstreams or crashes that another instance lacks."""
        buckets = self._get_digest(message.subject).find_differences(message.hashes)
        for repair in self._build_repairs(now, message.subject, buckets):
            self._actions.add(Send(peer, repair))
        if buckets and not message.reply:
            self._actions.add(Send(peer, self._build_buckets(message.subject, reply=True)))

    def _build_repairs(self, now: float, subject: str, buckets: set[int]) -> list[News]:
        """Return the messages with all members, upstreams or crashes in some buckets."""
        if subject == "members":
            members = self._members.list_in_buckets(buckets)
            batches = split_batches([m.to_wire() for m in members])
            return [r.MemberNews(members=batch) for batch in batches]
        if subject == "crashes":
            crashes = self._crashes.crashes.list_in_buckets(buckets)
            batches = split_batches([c.to_wire(now) for c in crashes])
            return [r.CrashNews(records=batch) for batch in batches]
        entries = self._upstreams.upstreams.list_in_buckets(buckets)
        batches = split_batches([e.to_wire(now) for e in entries])
        return [r.UpstreamNews(entries=batch, token="") for batch in batches]

    def _build_summary(self, now: float) -> LocalSummary:
        summary = LocalSummary()
        self._tables.fill_summary(now, summary)
        root = self._upstreams.upstreams.digest.compute_root()
        summary.upstreams_root = self._comparison.encode_root(root)
        summary.crashes_root = self._crashes.crashes.digest.compute_root()
        return summary

    def _ping_control_instances(self, now: float) -> None:
        """Ping control instances while this instance starts.

        They supply a quorum confirmation and what they know of the upstreams. The ring
        neighbours cannot do so after a failure of the whole fleet, because they are starting
        as well.
        """
        started = self._currency.started
        if (started and self._comparison.complete) or now < self._control_ping_at:
            return
        late = started and self._comparison.may_serve
        self._control_ping_at = now + (LATE_PING_PERIOD_S if late else CONTROL_PING_PERIOD_S)
        targets = self._sample(self._comparison.list_awaited())
        if not started:
            me = self._members.me.instance_id
            others = [i for i in self._list_control_instances() if i != me]
            leader = self._get_leader()
            targets += [leader] if leader in others else self._sample(others)
        summary = self._build_summary(now)
        distinct = dict.fromkeys(targets)
        self._actions.extend(self._members.request_acks(now, distinct, summary))

    def _request_confirmation(self, now: float) -> None:
        """Ask a control instance up to when a quorum has confirmed the tables."""
        if not self._currency.started:
            return
        target = self._confirmations.choose(
            now,
            self._tables.confirmed_at,
            self._get_leader(),
            self._list_usable_control_instances(),
        )
        if target:
            summary = self._build_summary(now)
            self._actions.extend(self._members.request_acks(now, [target], summary))

    def _list_usable_control_instances(self) -> list[str]:
        return [i for i in self._list_control_instances() if self._members.is_usable(i)]

    def _sample(self, instances: list[str]) -> list[str]:
        return self._rng.sample(instances, min(CONTROL_PING_TARGETS, len(instances)))

    def _reconcile(self, now: float, peer: str, message: r.Ping | r.Ack) -> None:
        self._currency.record_index(message.applied_index)
        self._tables.request_if_behind(now, peer, message.applied_index)
        if message.members_root != self._members.digest.compute_root():
            self._request_repair(now, peer, "members")
        root = self._upstreams.upstreams.digest.compute_root()
        same = self._comparison.record_root(now, peer, message.upstreams_root, root)
        if not same and not self._comparison.prefers_others(peer):
            self._request_repair(now, peer, "upstreams")
        if message.crashes_root != self._crashes.crashes.digest.compute_root():
            self._request_repair(now, peer, "crashes")

    def _request_repair(self, now: float, peer: str, subject: str) -> None:
        """Compare buckets with a peer, unless another peer was asked just before.

        When a whole fleet starts, every ping shows a difference, and each repair may carry
        the whole list.
        """
        if now < self._repair_at.get(subject, now):
            return
        self._repair_at[subject] = now + REPAIR_INTERVAL_S
        self._actions.add(Send(peer, self._build_buckets(subject, reply=False)))

    def _build_buckets(self, subject: str, reply: bool) -> r.SyncBuckets:
        hashes = list(self._get_digest(subject).hashes)
        return r.SyncBuckets(subject=subject, hashes=hashes, reply=reply)

    def _get_digest(self, subject: str) -> BucketDigest:
        if subject == "members":
            return self._members.digest
        if subject == "crashes":
            return self._crashes.crashes.digest
        return self._upstreams.upstreams.digest
