"""Upstreams at one instance: announcements, leases, drains, and their spread in the fleet."""

from __future__ import annotations

from collections.abc import Callable

from .. import records as r
from ..events import Send
from ..exceptions import StaleAnnouncementError
from .actions import (
    UPSTREAM_STREAM,
    ActionQueue,
    UpstreamLeaving,
    UpstreamsLost,
    Write,
)
from .membership import Membership
from .parts import Part, handles
from .receipts import Receipts, ReceiptsCompleted
from .upstreams import READY, Entry, UpstreamList

LEASE_CHECK_PERIOD_S = 0.5
SAVE_PERIOD_S = 0.5
MAX_DIRECT_UPDATE_MEMBERS = 64


class UpstreamPart(Part):
    """Keeps the upstream list of an instance and exchanges its entries with others.

    Parameters
    ----------
    members : Membership
        Instances of the fleet.
    list_voters : callable or None
        Returns the voters, of which a majority confirms drains and leaves; None outside the
        control group.
    actions : ActionQueue
        Receives the actions.
    now : float
        Current time in seconds.
    """

    def __init__(
        self,
        members: Membership,
        list_voters: Callable[[], list[str]] | None,
        actions: ActionQueue,
        now: float,
    ) -> None:
        instance_id = members.me.instance_id
        self.upstreams = UpstreamList(instance_id)
        self.receipts = Receipts(instance_id)
        self._members = members
        self._list_voters = list_voters
        self._actions = actions
        self._saved_root = 0
        self._save_at = now
        self._save_token = 0
        self._lease_check_at = now

    def tick(self, now: float) -> None:
        """Save the list and expire leases."""
        self._save(now)
        self._expire_leases(now)

    def announce(
        self, now: float, upstream_id: str, announcement: r.Announcement, token: str
    ) -> str:
        """Record an announcement; return the reason of a refusal."""
        try:
            owner = self.upstreams.announce(
                now, upstream_id, announcement, self._members.is_usable
            )
        except StaleAnnouncementError as error:
            return str(error)
        if owner:
            message = r.RenewRequest(
                upstream_id=upstream_id,
                incarnation=announcement.incarnation,
                lease_s=announcement.lease_s,
            )
            self._actions.add(Send(owner, message))
        if token:
            self._request_receipts(now, token, upstream_id)
        return ""

    def leave(self, now: float, upstream_id: str, incarnation: int, token: str) -> bool:
        """Record that an upstream left; return the result of :meth:`UpstreamList.leave`."""
        known = self.upstreams.leave(now, upstream_id, incarnation)
        if token:
            self._request_receipts(now, token, upstream_id)
        return known

    def restore(self, now: float, records: list[list]) -> None:
        """Merge the upstream list that was read from disk.

        Its entries may be outdated. A later announcement replaces them, and if another
        upstream now uses an address, it refuses requests meant for the former one.
        """
        for fields in records:
            self.upstreams.merge(now, Entry.from_wire(now, fields))

    def transfer_leases(self, now: float, successor: str) -> None:
        """Make another instance the owner of all leases that this one owns."""
        for entry in self.upstreams.list_owned():
            transferred = entry.build_successor()
            transferred.owner = successor
            self.upstreams.merge(now, transferred)

    def push_updates(self, now: float) -> None:
        """Send the entries that changed to other instances."""
        updates = self.upstreams.pop_updates()
        if not updates:
            return
        message = r.UpstreamNews(entries=[e.to_wire(now) for e in updates], token="")
        self._actions.extend(Send(t, message) for t in self._pick_update_targets())
        self._actions.extend(_build_leaving_action(e) for e in updates if e.state != READY)

    def process_receipts(self, now: float) -> None:
        """Request the receipts that are due, and report those that are complete."""
        voters = self._list_voters() if self._list_voters is not None else []
        for peer, token, entry in self.receipts.list_due(now, voters):
            message = r.UpstreamNews(entries=[entry.to_wire(now)], token=token)
            self._actions.add(Send(peer, message))
        self._actions.extend(self.receipts.pop_actions(now, voters))

    @handles(r.UpstreamNews)
    def handle_news(self, now: float, peer: str, message: r.UpstreamNews) -> None:
        """Merge entries of another instance."""
        for fields in message.entries:
            entry = Entry.from_wire(now, fields)
            if not self._has_expired_here(entry):
                self.upstreams.merge(now, entry)
        if message.token:
            self._actions.add(Send(peer, r.NewsReceipt(token=message.token)))

    @handles(r.NewsReceipt)
    def handle_receipt(self, now: float, peer: str, message: r.NewsReceipt) -> None:
        """Count a voter that has stored an entry."""
        self.receipts.handle_receipt(peer, message)
        self.process_receipts(now)

    @handles(r.RenewRequest)
    def handle_renewal(self, now: float, peer: str, message: r.RenewRequest) -> None:
        """Renew a lease that this instance owns."""
        self.upstreams.renew(now, message.upstream_id, message.incarnation, message.lease_s)

    def _request_receipts(self, now: float, token: str, upstream_id: str) -> None:
        entry = self.upstreams.entries.get(upstream_id)
        if entry is None or self._list_voters is None:
            self._actions.add(ReceiptsCompleted(token, True))
            return
        self.receipts.begin(now, token, entry)
        self.process_receipts(now)

    def _save(self, now: float) -> None:
        """Write the upstream list to disk, so that it survives a restart of all instances."""
        if self._list_voters is None or now < self._save_at:
            return
        root = self.upstreams.digest.compute_root()
        if root == self._saved_root:
            return
        self._saved_root = root
        self._save_at = now + SAVE_PERIOD_S
        self._save_token += 1
        entries = [e.to_wire(now) for e in self.upstreams.entries.values()]
        self._actions.add(Write(UPSTREAM_STREAM, self._save_token, entries, True))

    def _expire_leases(self, now: float) -> None:
        if now < self._lease_check_at:
            return
        self._lease_check_at = now + LEASE_CHECK_PERIOD_S
        lost = self.upstreams.expire(now, self._members.is_usable)
        if lost:
            self._actions.add(UpstreamsLost(lost))

    def _has_expired_here(self, entry: Entry) -> bool:
        """Return whether an entry with an unusable owner has already expired here.

        Other instances expire it slightly later. Merging it back from them would give it
        a new lease each time, so it would never expire.
        """
        owner = self._members.members.get(entry.owner)
        is_orphan = owner is not None and not owner.usable and not entry.is_tombstone
        return is_orphan and entry.upstream_id not in self.upstreams.entries

    def _pick_update_targets(self) -> list[str]:
        """Return the instances that upstream updates are pushed to.

        In a small fleet a control instance pushes to all usable members, because it
        receives drains first: an instance that cannot reach its ring neighbours then
        still learns of them.
        """
        is_large = len(self._members.members) > MAX_DIRECT_UPDATE_MEMBERS
        if self._list_voters is None or is_large:
            return self._members.pick_push_targets()
        return self._members.list_usable()


def _build_leaving_action(entry: Entry) -> UpstreamLeaving:
    announcement = entry.announcement
    return UpstreamLeaving(
        entry.upstream_id, announcement.pool, entry.state, announcement.incarnation
    )
