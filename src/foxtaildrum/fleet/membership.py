"""Membership of the fleet: heartbeats on a ring with a bounded number of neighbours.

Instances are ordered on a ring by a hash of their identifiers. In each period an instance
pings one of its two successors and one of its neighbours at distances 4, 8, 16 and so on, each
in turn, so the number of pings per second does not depend on the size of the fleet. Updates
are pushed to a few neighbours. Each ping and ack carries a digest of the members; two
instances whose digests differ exchange the records in which they differ.
"""

from __future__ import annotations

import enum
import hashlib
import random
from collections.abc import Iterable
from typing import Any

import msgspec

from ..events import Send
from ..records import Ack, MemberNews, Ping, PingReport, PingRequest
from ..sizes import split_batches
from ..validation import is_identifier, is_printable
from .digest import BucketDigest, find_bucket

PING_PERIOD_S = 1.0
PING_TIMEOUT_S = 0.6
MISSES_BEFORE_INDIRECT_PING = 2
MISSES_BEFORE_SUSPECT = 3
SUSPECT_TIMEOUT_S = 3.0
REJOIN_PERIOD_S = 1.0
FORGET_AFTER_S = 3600.0
SUCCESSOR_COUNT = 2
PUSH_FANOUT = 4
PUSH_INTERVAL_S = 0.05
INDIRECT_PING_HELPERS = 2
MAX_MEMBERS = 20_000
# Leaves room to count further in a 64-bit number.
MAX_INCARNATION = 2**62
MAX_FIELD_CHARS = 300


class MemberState(enum.IntEnum):
    """State of a member; within an incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


# Identifier, address, availability zone, role, incarnation, state and address for forwarded
# requests.
_WireMember = tuple[str, str, str, str, int, int, str]


class Member:
    """Latest known record of one instance.

    Parameters
    ----------
    incarnation : int
        Number that increases with each start, and when the instance refutes a suspicion.
    changed_at : float
        Local time of the last change in seconds.
    forward_address : str
        ``HOST:PORT`` that takes forwarded requests; empty if the instance takes none.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "changed_at",
        "forward_address",
        "incarnation",
        "instance_id",
        "position",
        "role",
        "state",
    )

    def __init__(
        self,
        instance_id: str,
        address: str,
        availability_zone: str,
        role: str,
        incarnation: int,
        state: MemberState,
        changed_at: float,
        forward_address: str = "",
    ) -> None:
        self.instance_id = instance_id
        self.address = address
        self.availability_zone = availability_zone
        self.role = role
        self.incarnation = incarnation
        self.state = state
        self.changed_at = changed_at
        self.forward_address = forward_address
        self.position = hashlib.blake2b(instance_id.encode(), digest_size=8).digest()

    @property
    def usable(self) -> bool:
        """Whether messages should be sent to the member."""
        return self.state <= MemberState.SUSPECT

    def rank(self) -> tuple[int, int]:
        """Return the sort key by which a newer record replaces an older one."""
        return (self.incarnation, int(self.state))

    def to_wire(self) -> list[Any]:
        """Return the member as a list that msgpack can encode."""
        return [
            self.instance_id,
            self.address,
            self.availability_zone,
            self.role,
            self.incarnation,
            int(self.state),
            self.forward_address,
        ]

    @classmethod
    def from_wire(cls, now: float, fields: list[Any]) -> Member:
        """Build a member from the list made by :meth:`to_wire`."""
        instance_id, address, zone, role, incarnation, state, forward_address = msgspec.convert(
            fields, _WireMember
        )
        if not is_identifier(instance_id):
            raise ValueError("invalid identifier of the member")
        texts = (address, zone, role, forward_address)
        if not all(is_printable(text, MAX_FIELD_CHARS) for text in texts):
            raise ValueError(f"invalid text in the record of {instance_id}")
        if not 0 <= incarnation <= MAX_INCARNATION:
            raise ValueError(f"invalid incarnation {incarnation}")
        return cls(
            instance_id,
            address,
            zone,
            role,
            incarnation,
            MemberState(state),
            now,
            forward_address,
        )


class LocalSummary:
    """State of this instance's tables and upstream list, sent in its pings and acks."""

    __slots__ = (
        "applied_index",
        "beacon_age_s",
        "beacon_index",
        "crashes_root",
        "group_id",
        "upstreams_root",
    )

    def __init__(self) -> None:
        self.applied_index = 0
        self.group_id = ""
        self.beacon_index = -1
        self.beacon_age_s = 0.0
        self.upstreams_root = 0
        self.crashes_root = 0


class _PendingPing:
    """A ping that has not been acknowledged yet.

    Parameters
    ----------
    requested_by : str
        Instance that requested this ping; empty for a ping of this instance's own.
    request_nonce : int
        Nonce of that request.
    counts_miss : bool
        Whether a timeout counts as a miss of the target.
    """

    __slots__ = ("counts_miss", "request_nonce", "requested_by", "sent_at", "target")

    def __init__(
        self,
        target: str,
        sent_at: float,
        requested_by: str,
        request_nonce: int,
        counts_miss: bool,
    ) -> None:
        self.target = target
        self.sent_at = sent_at
        self.requested_by = requested_by
        self.request_nonce = request_nonce
        self.counts_miss = counts_miss


class Membership:
    """One instance's view of the members, and the failure detector that maintains it.

    Parameters
    ----------
    me : Member
        Record of this instance.
    seeds : dict
        Addresses of the instances to join, by identifier.
    rng : random.Random
        Source of random choices.
    now : float
        Current time in seconds.

    Attributes
    ----------
    unanswered : list of str
        Instances whose pings were not acknowledged in time, since the last
        :meth:`pop_unanswered`.
    change_count : int
        Number of changes of members so far; results computed from the members can be kept
        until it increases.
    """

    def __init__(
        self, me: Member, seeds: dict[str, str], rng: random.Random, now: float
    ) -> None:
        self.me = me
        self.seeds = {i: a for i, a in seeds.items() if i != me.instance_id}
        self.members: dict[str, Member] = {}
        self.digest = BucketDigest()
        self.changed: list[Member] = []
        self.unanswered: list[str] = []
        self.change_count = 0
        self._rng = rng
        self._ring: list[Member] = []
        self._ring_is_stale = True
        self._nonce = rng.getrandbits(32)
        self._pending_pings: dict[int, _PendingPing] = {}
        self._misses: dict[str, int] = {}
        self._ping_round = 0
        self._ping_at = now
        self._rejoin_at = now
        self._pending_updates: dict[str, Member] = {}
        self._flush_at = now
        self._store(me)

    def replace_seeds(self, seeds: dict[str, str]) -> None:
        """Replace the instances to join."""
        self.seeds = {i: a for i, a in seeds.items() if i != self.me.instance_id}

    def tick(self, now: float, summary: LocalSummary) -> list[Send]:
        """Send due pings, update the state of unresponsive members and push updates."""
        actions = self._check_timeouts(now)
        self._expire_members(now)
        if now >= self._ping_at:
            self._ping_at = now + PING_PERIOD_S
            for target in self._pick_ping_targets():
                actions.append(self._ping(now, target, summary))
        if now >= self._rejoin_at:
            self._rejoin_at = now + REJOIN_PERIOD_S
            for target in self._pick_rejoin_targets():
                actions.append(self._ping(now, target, summary))
        return actions + self.flush_updates(now)

    def request_acks(
        self, now: float, targets: Iterable[str], summary: LocalSummary
    ) -> list[Send]:
        """Ping instances for their summary; a timeout does not count as a miss."""
        return [self._ping(now, target, summary, counts_miss=False) for target in targets]

    def handle_ping(
        self, now: float, peer: str, message: Ping, summary: LocalSummary
    ) -> list[Send]:
        """Acknowledge a ping and merge the record of its sender."""
        sender = Member.from_wire(now, message.member)
        actions = []
        known = self.members.get(sender.instance_id)
        if known is not None and known.rank() > sender.rank():
            actions.append(Send(peer, MemberNews(members=[known.to_wire()])))
        self.merge([sender])
        answer = Ack(
            nonce=message.nonce,
            members_root=self.digest.compute_root(),
            upstreams_root=summary.upstreams_root,
            crashes_root=summary.crashes_root,
            applied_index=summary.applied_index,
            group_id=summary.group_id,
            beacon_index=summary.beacon_index,
            beacon_age_s=summary.beacon_age_s,
        )
        return [*actions, Send(peer, answer)]

    def handle_ack(
        self, now: float, peer: str, message: Ack
    ) -> tuple[float | None, list[Send]]:
        """Match an ack to its ping.

        Returns
        -------
        float or None
            Time in seconds at which the ping was sent; None if the ack matches no
            pending ping.
        list of Send
            Report to the instance that requested the ping, if one did.
        """
        ping = self._pending_pings.pop(message.nonce, None)
        if ping is None or ping.target != peer:
            return None, []
        self._misses.pop(peer, None)
        if not ping.requested_by:
            return ping.sent_at, []
        report = PingReport(target=peer, nonce=ping.request_nonce)
        return ping.sent_at, [Send(ping.requested_by, report)]

    def handle_ping_request(
        self, now: float, peer: str, message: PingRequest, summary: LocalSummary
    ) -> list[Send]:
        """Ping a member on behalf of ``peer``."""
        target = self.members.get(message.target)
        if target is None or target is self.me:
            return []
        return [
            self._ping(now, target.instance_id, summary, peer, message.nonce, counts_miss=False)
        ]

    def handle_ping_report(self, message: PingReport) -> None:
        """Reset the misses of a member that acknowledged a helper's ping."""
        self._misses.pop(message.target, None)

    def merge(self, members: Iterable[Member]) -> None:
        """Merge records and queue the new and changed ones as updates."""
        for member in members:
            if member.instance_id == self.me.instance_id:
                self._refute(member)
                continue
            known = self.members.get(member.instance_id)
            if known is None and len(self.members) >= MAX_MEMBERS:
                continue
            if known is None or member.rank() > known.rank():
                self._store(member)
                self._pending_updates[member.instance_id] = member

    def leave(self, now: float) -> list[Send]:
        """Mark this instance as left and return the messages that announce it."""
        self._change_state(now, self.me, MemberState.LEFT)
        self._flush_at = now
        return self.flush_updates(now)

    def flush_updates(self, now: float) -> list[Send]:
        """Return the messages that push the pending updates, and clear the updates.

        A single update is pushed at once. Those that follow within ``PUSH_INTERVAL_S`` are
        pushed together: when a whole fleet starts, each instance hears of every other one.
        """
        if not self._pending_updates or now < self._flush_at:
            return []
        self._flush_at = now + PUSH_INTERVAL_S
        updates = [m.to_wire() for m in self._pending_updates.values()]
        self._pending_updates.clear()
        targets = self.pick_push_targets()
        messages = [MemberNews(members=batch) for batch in split_batches(updates)]
        return [Send(target, message) for message in messages for target in targets]

    def pick_push_targets(self) -> list[str]:
        """Return the neighbours to push updates to: the successor and a random sample."""
        neighbours = self.list_neighbours()
        if len(neighbours) <= PUSH_FANOUT:
            return neighbours
        return [neighbours[0], *self._rng.sample(neighbours[1:], PUSH_FANOUT - 1)]

    def list_neighbours(self) -> list[str]:
        """Return the successors and the members at distances that double.

        An instance that knows no other member returns its seeds.
        """
        ring = self._get_ring()
        if len(ring) <= 1:
            return [] if self.members.keys() - {self.me.instance_id} else list(self.seeds)
        start = ring.index(self.me)
        distances = list(range(1, SUCCESSOR_COUNT + 1))
        distance = SUCCESSOR_COUNT * 2
        while distance < len(ring):
            distances.append(distance)
            distance *= 2
        found = [ring[(start + d) % len(ring)].instance_id for d in distances]
        return [i for i in dict.fromkeys(found) if i != self.me.instance_id]

    def is_usable(self, instance_id: str) -> bool:
        """Return whether an instance is known as alive or suspect."""
        member = self.members.get(instance_id)
        return member is not None and member.usable

    def find_address(self, instance_id: str) -> str:
        """Return the address of an instance; empty when unknown."""
        member = self.members.get(instance_id)
        if member is not None:
            return member.address
        return self.seeds.get(instance_id, "")

    def list_in_buckets(self, buckets: set[int]) -> list[Member]:
        """Return the members whose identifier falls in one of ``buckets``."""
        return [m for m in self.members.values() if find_bucket(m.instance_id) in buckets]

    def pop_changed(self) -> list[Member]:
        """Return and clear the members that changed."""
        changed, self.changed = self.changed, []
        return changed

    def pop_unanswered(self) -> list[str]:
        """Return and clear the instances whose pings were not acknowledged in time."""
        unanswered, self.unanswered = self.unanswered, []
        return unanswered

    def _pick_ping_targets(self) -> list[str]:
        neighbours = self.list_neighbours()
        if not neighbours:
            return []
        self._ping_round += 1
        near, far = neighbours[:SUCCESSOR_COUNT], neighbours[SUCCESSOR_COUNT:]
        targets = [near[self._ping_round % len(near)]]
        if far:
            targets.append(far[self._ping_round % len(far)])
        return targets

    def _pick_rejoin_targets(self) -> list[str]:
        lost = [m.instance_id for m in self.members.values() if m.state is MemberState.DEAD]
        lost += [i for i in self.seeds if i not in self.members]
        return [self._rng.choice(lost)] if lost else []

    def _ping(
        self,
        now: float,
        target: str,
        summary: LocalSummary,
        requested_by: str = "",
        request_nonce: int = 0,
        counts_miss: bool = True,
    ) -> Send:
        self._nonce = (self._nonce + 1) & 0xFFFFFFFF
        self._pending_pings[self._nonce] = _PendingPing(
            target, now, requested_by, request_nonce, counts_miss
        )
        message = Ping(
            nonce=self._nonce,
            member=self.me.to_wire(),
            members_root=self.digest.compute_root(),
            upstreams_root=summary.upstreams_root,
            crashes_root=summary.crashes_root,
            applied_index=summary.applied_index,
        )
        return Send(target, message)

    def _check_timeouts(self, now: float) -> list[Send]:
        late = [n for n, p in self._pending_pings.items() if now - p.sent_at >= PING_TIMEOUT_S]
        actions: list[Send] = []
        for nonce in late:
            ping = self._pending_pings.pop(nonce)
            self.unanswered.append(ping.target)
            if ping.counts_miss:
                actions += self._record_miss(now, ping.target, nonce)
        return actions

    def _record_miss(self, now: float, target: str, nonce: int) -> list[Send]:
        member = self.members.get(target)
        if member is None or not member.usable:
            return []
        misses = self._misses[target] = self._misses.get(target, 0) + 1
        if misses >= MISSES_BEFORE_SUSPECT and member.state is MemberState.ALIVE:
            self._change_state(now, member, MemberState.SUSPECT)
        if misses < MISSES_BEFORE_INDIRECT_PING:
            return []
        others = [i for i in self.list_usable() if i != target]
        helpers = self._rng.sample(others, min(INDIRECT_PING_HELPERS, len(others)))
        return [Send(h, PingRequest(target=target, nonce=nonce)) for h in helpers]

    def _expire_members(self, now: float) -> None:
        for member in list(self.members.values()):
            age_s = now - member.changed_at
            if member.state is MemberState.SUSPECT and age_s >= SUSPECT_TIMEOUT_S:
                self._change_state(now, member, MemberState.DEAD)
            elif not member.usable and age_s >= FORGET_AFTER_S and member is not self.me:
                self._forget(member)

    def list_usable(self) -> list[str]:
        """Return the identifiers of the other members that are alive or suspect."""
        return [m.instance_id for m in self._get_ring() if m is not self.me]

    def _refute(self, reported: Member) -> None:
        if self.me.state is MemberState.LEFT:
            return
        if reported.incarnation < self.me.incarnation:
            return
        if reported.incarnation == self.me.incarnation and reported.state is MemberState.ALIVE:
            return
        self._remove_digest(self.me)
        self.me.incarnation = reported.incarnation + 1
        self._store(self.me)
        self._pending_updates[self.me.instance_id] = self.me

    def _change_state(self, now: float, member: Member, state: MemberState) -> None:
        self._remove_digest(member)
        member.state = state
        member.changed_at = now
        self._store(member)
        self._pending_updates[member.instance_id] = member

    def _store(self, member: Member) -> None:
        known = self.members.get(member.instance_id)
        if known is not None and known is not member:
            self._remove_digest(known)
        self.members[member.instance_id] = member
        self.digest.add(member.instance_id, _describe_rank(member))
        self._ring_is_stale = True
        self.change_count += 1
        self.changed.append(member)

    def _remove_digest(self, member: Member) -> None:
        self.digest.remove(member.instance_id, _describe_rank(member))

    def _forget(self, member: Member) -> None:
        self._remove_digest(member)
        del self.members[member.instance_id]
        self._ring_is_stale = True
        self.change_count += 1

    def _get_ring(self) -> list[Member]:
        if self._ring_is_stale:
            usable = [m for m in self.members.values() if m.usable or m is self.me]
            self._ring = sorted(usable, key=_get_position)
            self._ring_is_stale = False
        return self._ring


def _describe_rank(member: Member) -> str:
    return f"{member.incarnation}.{int(member.state)}"


def _get_position(member: Member) -> bytes:
    return member.position
