"""Upstream list: the announcements of all upstreams as a mergeable map of soft state.

The instance that receives an announcement owns its lease. Renewals stay with the owner; only
changes are gossiped, so an idle fleet sends no upstream updates. An entry is valid while its
owner is alive. After the owner fails, the entry stays valid for one more lease, in which the
upstream announces itself to another instance.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..balancing.loads import MAX_RATE_LIMIT_PER_S, MAX_WARMUP_S, differs_notably
from ..balancing.warmup import extends_period
from ..exceptions import StaleAnnouncementError
from ..records import Announcement
from ..validation import MAX_REASON_CHARS, find_invalid_fields, is_identifier
from .coldness import find_cold_end
from .digest import BucketDigest, find_bucket

READY = "ready"
DRAINING = "draining"
LEFT = "left"
TOMBSTONE_S = 900.0
MAX_ENTRIES = 100_000
MAX_LEASE_S = 3600.0
# Leaves room to count further in a 64-bit number.
MAX_COUNTER = 2**62
UNKNOWN_POOL = "-"
UNKNOWN_ADDRESS = "0.0.0.0:0"

_STATE_RANK = {READY: 0, DRAINING: 1, LEFT: 2}


# Identifier, pool, address, availability zone, slots, incarnation, state, owner, sequence,
# whether the lease expired, and remaining time in seconds. A rate limit and the rest of a cold
# period may follow.
_WireEntry = tuple[str, str, str, str, int | None, int, str, str, int, bool, float]
WIRE_FIELD_COUNT = 11


class Entry:
    """Latest known announcement of one upstream.

    Within one incarnation the state only moves from ready to draining to left, so
    merging entries in any order gives the same result on every instance.

    Parameters
    ----------
    owner : str
        Instance that owns the lease.
    sequence : int
        Number that increases with each change of the entry.
    lost : bool
        Whether the lease expired.
    expires_at : float
        Local time of expiry in seconds. On the owner the lease expires then; a tombstone
        is removed then.
    rate_limit_per_s : float or None
        Requests per second that the upstream takes from the whole fleet, as its responses
        name it; None for no limit. Only the owner changes it.
    cold_until : float or None
        Local time until which the upstream is cold, in seconds; None if nothing is known of a
        cold period.
    """

    __slots__ = (
        "announcement",
        "cold_until",
        "expires_at",
        "lost",
        "owner",
        "rate_limit_per_s",
        "sequence",
        "state",
        "upstream_id",
    )

    def __init__(
        self,
        upstream_id: str,
        announcement: Announcement,
        state: str,
        owner: str,
        sequence: int,
        lost: bool,
        expires_at: float,
        rate_limit_per_s: float | None = None,
        cold_until: float | None = None,
    ) -> None:
        self.upstream_id = upstream_id
        self.announcement = announcement
        self.state = state
        self.owner = owner
        self.sequence = sequence
        self.lost = lost
        self.expires_at = expires_at
        self.rate_limit_per_s = rate_limit_per_s
        self.cold_until = cold_until

    @property
    def is_tombstone(self) -> bool:
        """Whether the entry is kept only so that older entries do not replace it."""
        return self.lost or self.state == LEFT

    def build_successor(self) -> Entry:
        """Return a copy that replaces this entry, for the caller to change."""
        return Entry(
            self.upstream_id,
            self.announcement,
            self.state,
            self.owner,
            self.sequence + 1,
            False,
            self.expires_at,
            self.rate_limit_per_s,
            self.cold_until,
        )

    def rank(self) -> tuple[int, int, int, str, bool]:
        """Return the sort key by which a newer entry replaces an older one."""
        incarnation = self.announcement.incarnation
        return (incarnation, _STATE_RANK[self.state], self.sequence, self.owner, self.lost)

    def get_balancing_fields(self) -> tuple[Any, ...]:
        """Return the fields that affect how a pool selects this upstream."""
        a = self.announcement
        return (
            self.state,
            self.lost,
            a.pool,
            a.address,
            a.availability_zone,
            a.slots,
            a.incarnation,
            self.rate_limit_per_s,
            self.cold_until,
        )

    def to_wire(self, now: float) -> list[Any]:
        """Return the entry as a list that msgpack can encode."""
        a = self.announcement
        remaining_s = max(0.0, self.expires_at - now) if self.is_tombstone else a.lease_s
        fields = [
            self.upstream_id,
            a.pool,
            a.address,
            a.availability_zone,
            a.slots,
            a.incarnation,
            self.state,
            self.owner,
            self.sequence,
            self.lost,
            round(remaining_s, 3),
            self.rate_limit_per_s,
        ]
        if self.cold_until is not None:
            fields.append(round(max(0.0, self.cold_until - now), 3))
        return fields

    @classmethod
    def from_wire(cls, now: float, fields: list[Any]) -> Entry:
        """Build an entry from the list made by :meth:`to_wire`."""
        known = msgspec.convert(fields[:WIRE_FIELD_COUNT], _WireEntry)
        upstream_id, pool, address, zone, slots, incarnation, state = known[:7]
        owner, sequence, lost, remaining_s = known[7:]
        _check_wire_entry(known)
        announcement = Announcement(
            pool=pool,
            address=address,
            availability_zone=zone,
            slots=slots,
            incarnation=incarnation,
            lease_s=remaining_s,
        )
        # Lists of earlier releases have no rate limits or no cold periods.
        rate_limit_per_s = _read_optional(fields, WIRE_FIELD_COUNT)
        if rate_limit_per_s is not None and not 0 <= rate_limit_per_s < MAX_RATE_LIMIT_PER_S:
            raise ValueError(f"invalid rate limit {rate_limit_per_s!r}")
        cold_s = _read_optional(fields, WIRE_FIELD_COUNT + 1)
        if cold_s is not None and not 0 <= cold_s <= MAX_WARMUP_S:
            raise ValueError(f"invalid cold period {cold_s!r}")
        expires_at = now + remaining_s
        return cls(
            upstream_id,
            announcement,
            state,
            owner,
            sequence,
            lost,
            expires_at,
            rate_limit_per_s,
            None if cold_s is None else now + cold_s,
        )


def check_lease(lease_s: float) -> None:
    """Raise ValueError unless a time can be the rest of a lease."""
    if not 0 <= lease_s <= MAX_LEASE_S:
        raise ValueError(f"invalid time {lease_s!r}")


def _read_optional(fields: list[Any], index: int) -> float | None:
    """Return a field that builds before it leave out."""
    return msgspec.convert(fields[index] if len(fields) > index else None, float | None)


def _check_wire_entry(known: _WireEntry) -> None:
    upstream_id, pool, address, zone, slots, incarnation, state = known[:7]
    owner, sequence, lost, remaining_s = known[7:]
    if not (is_identifier(upstream_id) and is_identifier(owner)):
        raise ValueError("invalid identifier of the upstream or its owner")
    check_lease(remaining_s)
    if not 0 <= sequence <= MAX_COUNTER:
        raise ValueError(f"invalid sequence {sequence}")
    if state not in _STATE_RANK:
        raise ValueError(f"unknown state {state[:MAX_REASON_CHARS]!r}")
    document = {"pool": pool, "address": address, "availability_zone": zone}
    document |= {"slots": slots or 0, "incarnation": incarnation}
    if lost or state == LEFT:
        # A leave of an unknown upstream names neither a pool nor an address.
        document |= {"pool": pool if pool != UNKNOWN_POOL else "p"}
        document |= {"address": address if address != UNKNOWN_ADDRESS else "127.0.0.1:1"}
    invalid = find_invalid_fields(document)
    if invalid:
        raise ValueError(f"invalid {', '.join(invalid)}")


class UpstreamList:
    """Mergeable map of upstreams; the entry with the highest rank wins.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    """

    __slots__ = (
        "_address_holders",
        "_by_pool",
        "_changed_pools",
        "_expired",
        "_orphans",
        "_pending_updates",
        "digest",
        "entries",
        "instance_id",
    )

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self.entries: dict[str, Entry] = {}
        self.digest = BucketDigest()
        self._address_holders: dict[str, tuple[int, str]] = {}
        self._by_pool: dict[str, dict[str, Entry]] = {}
        self._changed_pools: set[str] = set()
        self._expired: dict[str, tuple[tuple[Any, ...], float]] = {}
        self._orphans: dict[str, str] = {}
        self._pending_updates: dict[str, Entry] = {}

    def announce(
        self,
        now: float,
        upstream_id: str,
        announcement: Announcement,
        is_usable: Callable[[str], bool],
        warmup_s: float | None = None,
    ) -> str:
        """Record an announcement made to this instance.

        Parameters
        ----------
        warmup_s : float or None
            Time for which a new incarnation is cold if it does not say, in seconds; None to
            record no cold periods.
        is_usable : callable
            Returns whether an instance is alive.

        Returns
        -------
        str
            The other instance that owns the lease, to which the renewal must be
            forwarded; empty when this instance owns it.

        Raises
        ------
        StaleAnnouncementError
            When a later incarnation or sequence is known, or when this incarnation has
            drained or left.
        """
        known = self.entries.get(upstream_id)
        entry = self._build_entry(now, upstream_id, announcement, announcement.state, known)
        if warmup_s is not None:
            is_new = known is None or announcement.incarnation > known.announcement.incarnation
            entry.cold_until = find_cold_end(
                now, announcement, entry.cold_until, warmup_s if is_new else None
            )
        if known is None:
            self._store(entry, spread=True)
            return ""
        if entry.rank()[:2] < known.rank()[:2]:
            raise StaleAnnouncementError(
                f"{upstream_id} is known as {known.state} under incarnation "
                f"{known.announcement.incarnation}; announce a higher incarnation"
            )
        if _is_out_of_order(known.announcement, announcement):
            raise StaleAnnouncementError(
                f"{upstream_id} has announced itself since, under sequence "
                f"{known.announcement.sequence}"
            )
        same = known.get_balancing_fields() == entry.get_balancing_fields()
        if same and known.owner == self.instance_id:
            known.announcement.sequence = announcement.sequence
            known.announcement.lease_s = announcement.lease_s
            known.expires_at = entry.expires_at
            return ""
        if same and is_usable(known.owner):
            return known.owner
        self._store(entry, spread=True)
        return ""

    def renew(self, now: float, upstream_id: str, incarnation: int, lease_s: float) -> None:
        """Renew a lease that this instance owns; ignore others."""
        known = self.entries.get(upstream_id)
        if known is None or known.owner != self.instance_id or known.is_tombstone:
            return
        if known.announcement.incarnation == incarnation:
            known.announcement.lease_s = lease_s
            known.expires_at = now + lease_s

    def leave(self, now: float, upstream_id: str, incarnation: int = 0) -> bool:
        """Record that an upstream left.

        Parameters
        ----------
        incarnation : int
            Incarnation that leaves; 0 for the known one. If it is higher than the known
            one, a tombstone is stored, so that a late announcement of it is refused.

        Returns
        -------
        bool
            False if no incarnation is given and the upstream is not known or has left
            already.
        """
        known = self.entries.get(upstream_id)
        if incarnation and (known is None or known.announcement.incarnation < incarnation):
            announcement = Announcement(
                pool=UNKNOWN_POOL, address=UNKNOWN_ADDRESS, incarnation=incarnation
            )
            entry = self._build_entry(now, upstream_id, announcement, LEFT, None)
            self._store(entry, spread=True)
            return True
        if known is None or known.state == LEFT:
            return bool(incarnation)
        if incarnation and known.announcement.incarnation > incarnation:
            return True
        entry = self._build_entry(now, upstream_id, known.announcement, LEFT, known)
        self._store(entry, spread=True)
        return True

    def mark_draining(self, now: float, upstream_id: str) -> bool:
        """Record a drain that an upstream signalled in a response.

        Returns
        -------
        bool
            Whether the entry changed.
        """
        known = self.entries.get(upstream_id)
        if known is None or known.state != READY or known.lost:
            return False
        entry = self._build_entry(now, upstream_id, known.announcement, DRAINING, known)
        entry.owner = known.owner
        self._store(entry, spread=True)
        return True

    def set_rate_limit(
        self, upstream_id: str, incarnation: int, limit_per_s: float | None
    ) -> None:
        """Set the rate limit of an upstream whose lease this instance owns; ignore others.

        A small change of the limit is ignored, so that an upstream that names a slightly
        different one in each response causes no flood of updates.
        """
        known = self.entries.get(upstream_id)
        if known is None or known.owner != self.instance_id or known.is_tombstone:
            return
        if known.announcement.incarnation != incarnation:
            return
        if not differs_notably(known.rate_limit_per_s, limit_per_s):
            return
        changed = known.build_successor()
        changed.rate_limit_per_s = limit_per_s
        self._store(changed, spread=True)

    def set_cold_end(self, upstream_id: str, incarnation: int, until: float) -> None:
        """Set the end of the cold period of an upstream that this instance owns.

        Others are ignored, and an end that is not notably later than the known one.
        """
        known = self.entries.get(upstream_id)
        if known is None or known.owner != self.instance_id or known.is_tombstone:
            return
        if known.announcement.incarnation != incarnation:
            return
        if not extends_period(known.cold_until, until):
            return
        changed = known.build_successor()
        changed.cold_until = until
        self._store(changed, spread=True)

    def merge(self, now: float, entry: Entry) -> bool:
        """Merge an entry from another instance; return whether it was stored."""
        known = self.entries.get(entry.upstream_id)
        if known is not None and entry.rank() <= known.rank():
            return False
        if known is None and len(self.entries) >= MAX_ENTRIES:
            return False
        if known is None and entry.is_tombstone and entry.expires_at <= now:
            return False
        self._store(entry, spread=True)
        return True

    def expire(self, now: float, is_usable: Callable[[str], bool]) -> list[str]:
        """Expire leases and remove old tombstones.

        The owner gossips that a lease expired. If the owner itself is unusable, every
        instance expires the entry on its own: it drops the entry of a ready upstream, and
        keeps that of a draining one, so that it is not taken for ready again.

        Returns
        -------
        list of str
            Identifiers of the upstreams whose lease expired here.
        """
        lost = []
        self._expired = {i: e for i, e in self._expired.items() if e[1] > now}
        for entry in list(self.entries.values()):
            if (
                not entry.is_tombstone
                and entry.owner != self.instance_id
                and is_usable(entry.owner)
            ):
                entry.expires_at = now + entry.announcement.lease_s
                continue
            if entry.expires_at > now:
                continue
            if entry.is_tombstone:
                self._drop(entry)
                continue
            lost.append(entry.upstream_id)
            if entry.owner == self.instance_id:
                self._mark_lost(now, entry)
                continue
            self._orphans[entry.upstream_id] = entry.owner
            if entry.state == DRAINING:
                self._keep_expired(now, entry)
            else:
                self._expired[entry.upstream_id] = (entry.rank(), now + TOMBSTONE_S)
                self._drop(entry)
        return lost

    def pop_orphans(self) -> dict[str, str]:
        """Return and clear the owners of the leases that ran out here for an unusable owner."""
        orphans, self._orphans = self._orphans, {}
        return orphans

    def has_expired(self, entry: Entry) -> bool:
        """Return whether this entry, or a newer one, was dropped here with its lease."""
        expired = self._expired.get(entry.upstream_id)
        return expired is not None and entry.rank() <= expired[0]

    def list_owned(self) -> list[Entry]:
        """Return the live entries whose lease this instance owns."""
        return [
            e
            for e in self.entries.values()
            if e.owner == self.instance_id and not e.is_tombstone
        ]

    def list_members(self, pool: str) -> list[Entry]:
        """Return the live entries of ``pool`` whose address no later incarnation uses."""
        entries = self._by_pool.get(pool, {}).values()
        return [e for e in entries if not e.is_tombstone and self._holds_address(e)]

    def _holds_address(self, entry: Entry) -> bool:
        # An address belongs to the highest incarnation that announced it.
        incarnation, _ = self._address_holders.get(entry.announcement.address, (0, ""))
        return entry.announcement.incarnation >= incarnation

    def _record_address_holder(self, entry: Entry) -> None:
        address = entry.announcement.address
        rank = (entry.announcement.incarnation, entry.upstream_id)
        before = self._address_holders.get(address)
        if before is not None and rank <= before:
            return
        self._address_holders[address] = rank
        former = self.entries.get(before[1]) if before is not None else None
        if former is not None:
            self._changed_pools.add(former.announcement.pool)

    def pop_changed_pools(self) -> set[str]:
        """Return and clear the names of the pools whose members changed."""
        changed, self._changed_pools = self._changed_pools, set()
        return changed

    def list_in_buckets(self, buckets: set[int]) -> list[Entry]:
        """Return the entries whose identifier falls in one of ``buckets``."""
        return [e for e in self.entries.values() if find_bucket(e.upstream_id) in buckets]

    def pop_updates(self) -> list[Entry]:
        """Return and clear the entries that changed and are to be gossiped."""
        updates = list(self._pending_updates.values())
        self._pending_updates.clear()
        return updates

    def _mark_lost(self, now: float, known: Entry) -> None:
        entry = self._build_entry(
            now, known.upstream_id, known.announcement, known.state, known
        )
        entry.lost = True
        entry.expires_at = now + TOMBSTONE_S
        self._store(entry, spread=True)

    def _keep_expired(self, now: float, known: Entry) -> None:
        # Owner and sequence stay, so that all instances that do this hold the same entry.
        entry = known.build_successor()
        entry.sequence = known.sequence
        entry.lost = True
        entry.expires_at = now + TOMBSTONE_S
        self._store(entry, spread=True)

    def _drop(self, entry: Entry) -> None:
        del self.entries[entry.upstream_id]
        address = entry.announcement.address
        if self._address_holders.get(address, (0, ""))[1] == entry.upstream_id:
            del self._address_holders[address]
        self._remove_from_pool(entry)
        self.digest.remove(entry.upstream_id, _describe_rank(entry))
        self._changed_pools.add(entry.announcement.pool)

    def _store(self, entry: Entry, spread: bool) -> None:
        known = self.entries.get(entry.upstream_id)
        pool = entry.announcement.pool
        if known is not None:
            self.digest.remove(known.upstream_id, _describe_rank(known))
            self._remove_from_pool(known)
        self.entries[entry.upstream_id] = entry
        self._by_pool.setdefault(pool, {})[entry.upstream_id] = entry
        self.digest.add(entry.upstream_id, _describe_rank(entry))
        self._record_address_holder(entry)
        if known is None:
            self._changed_pools.add(pool)
        elif known.get_balancing_fields() != entry.get_balancing_fields():
            self._changed_pools |= {pool, known.announcement.pool}
        if spread:
            self._pending_updates[entry.upstream_id] = entry

    def _remove_from_pool(self, entry: Entry) -> None:
        members = self._by_pool[entry.announcement.pool]
        del members[entry.upstream_id]
        if not members:
            del self._by_pool[entry.announcement.pool]

    def _build_entry(
        self,
        now: float,
        upstream_id: str,
        announcement: Announcement,
        state: str,
        known: Entry | None,
    ) -> Entry:
        sequence = known.sequence + 1 if known else 1
        lease_s = TOMBSTONE_S if state == LEFT else announcement.lease_s
        same_start = known and known.announcement.incarnation == announcement.incarnation
        return Entry(
            upstream_id,
            announcement,
            state,
            self.instance_id,
            sequence,
            False,
            now + lease_s,
            known.rate_limit_per_s if same_start else None,
            known.cold_until if same_start else None,
        )


def _describe_rank(entry: Entry) -> str:
    incarnation, state, sequence, owner, lost = entry.rank()
    return f"{incarnation}.{state}.{sequence}.{owner}.{lost:d}"


def _is_out_of_order(known: Announcement, announcement: Announcement) -> bool:
    if known.incarnation != announcement.incarnation:
        return False
    return 0 < announcement.sequence < known.sequence
