"""Upstreams at one instance: announcements, leases, drains, and their spread in the fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any

from .. import records as r
from ..events import Send
from ..exceptions import StaleAnnouncementError
from ..sizes import split_batches
from .actions import (
    ActionQueue,
    Reconnect,
    UpstreamLeaving,
    UpstreamsLost,
    UpstreamsOrphaned,
)
from .deliveries import Deliveries
from .intake import read_records
from .membership import Membership
from .parts import Part, handles
from .receipts import MAJORITY_PREFIX, STORED_PREFIX, Receipts, ReceiptsCompleted
from .saving import UpstreamSaver
from .upstreams import READY, Entry, UpstreamList, check_lease

LEASE_CHECK_PERIOD_S = 0.5
MAX_DIRECT_UPDATE_MEMBERS = 64
# Source of the entries that were saved before a restart.
DISK = "disk"


class UpstreamPart(Part):
    """Keeps the upstream list of an instance and exchanges its entries with others.

    Parameters
    ----------
    members : Membership
        Instances of the fleet.
    list_voters : callable or None
        Returns the voters, of which a majority confirms drains and leaves; None outside the
        control group.
    list_control_instances : callable
        Returns the known control instances, which confirm drains and leaves to an instance
        outside the control group.
    actions : ActionQueue
        Receives the actions.
    now : float
        Current time in seconds.
    find_warmup_s : callable
        Returns the time for which a new start in a pool is cold, in seconds; None where no
        cold periods are recorded.
    """

    def __init__(
        self,
        members: Membership,
        list_voters: Callable[[], list[str]] | None,
        list_control_instances: Callable[[], list[str]],
        actions: ActionQueue,
        now: float,
        find_warmup_s: Callable[[str], float | None],
    ) -> None:
        instance_id = members.me.instance_id
        self.upstreams = UpstreamList(instance_id)
        self.receipts = Receipts(instance_id, list_voters is not None)
        self._members = members
        self._list_voters = list_voters
        self._list_control_instances = list_control_instances
        self._actions = actions
        self._saver: UpstreamSaver | None = None
        if list_voters is not None:
            self._saver = UpstreamSaver(self.upstreams, actions, now)
        self._deliveries = Deliveries()
        self._relayed: dict[str, tuple[str, str]] = {}
        self._lease_check_at = now
        self._find_warmup_s = find_warmup_s

    def tick(self, now: float) -> None:
        """Save the list, expire leases, and repeat the news that are not confirmed."""
        if self._saver is not None:
            self._saver.tick(now)
        self._expire_leases(now)
        self._repeat_deliveries(now)

    def handle_written(self, now: float, token: int) -> None:
        """Handle the completion of a write that was synced."""
        self._saver.handle_written(token)
        self.process_receipts(now)

    def handle_write_failed(self, now: float, token: int) -> None:
        """Handle a write that failed."""
        self._saver.handle_write_failed(now, token)

    def announce(
        self, now: float, upstream_id: str, announcement: r.Announcement, token: str
    ) -> str:
        """Record an announcement; return the reason of a refusal."""
        try:
            owner = self.upstreams.announce(
                now,
                upstream_id,
                announcement,
                self._members.is_usable,
                self._find_warmup_s(announcement.pool),
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
        for entry in self._read_entries(now, DISK, records):
            self.upstreams.merge(now, entry)
            self._saver.record_restored(entry)

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
        targets = self._pick_update_targets()
        for batch in split_batches(updates, lambda entry: entry.to_wire(now)):
            self._push_batch(now, batch, targets)

    def _push_batch(self, now: float, updates: list[Entry], targets: list[str]) -> None:
        leaving = [e for e in updates if e.state != READY]
        confirmed = [e for e in leaving if self._needs_confirmation(e)]
        token = self._deliveries.begin(now, confirmed, targets).token if confirmed else ""
        self._send_news(now, updates, token, targets)
        self._actions.extend(_build_leaving_action(e) for e in leaving)

    def process_receipts(self, now: float) -> None:
        """Request the receipts that are due, and report those that are complete."""
        counted = self._list_voters or self._list_control_instances
        voters = counted()
        for peer, token, entry, silent in self.receipts.list_due(now, voters):
            if silent:
                self._actions.add(Reconnect(peer))
            self._send_news(now, [entry], token, [peer])
        for completed in self.receipts.pop_actions(now, voters):
            peer, token = self._relayed.pop(completed.token, ("", ""))
            if not peer:
                self._actions.add(completed)
            elif completed.stored:
                self._actions.add(Send(peer, r.NewsReceipt(token=token)))

    @handles(r.UpstreamNews)
    def handle_news(self, now: float, peer: str, message: r.UpstreamNews) -> None:
        """Merge entries of another instance, and confirm them if it asks for that."""
        entries = list(self._read_entries(now, peer, message.entries))
        for entry in entries:
            if not self._has_expired_here(entry):
                self.upstreams.merge(now, entry)
        # A receipt states that every entry is stored.
        if not message.token or len(entries) < len(message.entries):
            return
        receipt = Send(peer, r.NewsReceipt(token=message.token))
        if self._saver is None:
            self._actions.add(receipt)
        elif message.token.startswith(MAJORITY_PREFIX):
            for entry in entries:
                self._relay_receipts(now, peer, message.token, entry)
        else:
            self._saver.request_sync(now, entries, lambda: self._actions.add(receipt))

    @handles(r.NewsReceipt)
    def handle_receipt(self, now: float, peer: str, message: r.NewsReceipt) -> None:
        """Count a voter that has stored an entry."""
        self._deliveries.record_receipt(peer, message.token)
        self.receipts.record_holder(peer, message.token)
        self.process_receipts(now)

    @handles(r.RenewRequest)
    def handle_renewal(self, now: float, peer: str, message: r.RenewRequest) -> None:
        """Renew a lease that this instance owns."""
        if not message.lease_s > 0:
            raise ValueError(f"invalid lease {message.lease_s!r}")
        check_lease(message.lease_s)
        self.upstreams.renew(now, message.upstream_id, message.incarnation, message.lease_s)

    def _read_entries(self, now: float, source: str, items: list[Any]) -> Iterator[Entry]:
        build = partial(Entry.from_wire, now)
        return read_records("upstream", source, items, build, self._actions)

    def _request_receipts(self, now: float, token: str, upstream_id: str) -> None:
        entry = self.upstreams.entries.get(upstream_id)
        if entry is None:
            self._actions.add(ReceiptsCompleted(token, True))
            return
        self._collect_receipts(now, token, entry)

    def _relay_receipts(self, now: float, peer: str, message_token: str, entry: Entry) -> None:
        """Collect receipts for an instance that knows no voters."""
        token = f"{peer} {message_token}"
        known = self.upstreams.entries.get(entry.upstream_id)
        if known is None or known.rank() < entry.rank() or self.receipts.is_pending(token):
            return
        stored_token = STORED_PREFIX + message_token.removeprefix(MAJORITY_PREFIX)
        self._relayed[token] = (peer, stored_token)
        self._collect_receipts(now, token, known)

    def _collect_receipts(self, now: float, token: str, entry: Entry) -> None:
        message_token = self.receipts.begin(now, token, entry)
        if self._saver is not None:
            me = self.upstreams.instance_id
            self._saver.request_sync(
                now, [entry], lambda: self.receipts.record_holder(me, message_token)
            )
        self.process_receipts(now)

    def _send_news(
        self, now: float, entries: list[Entry], token: str, targets: Iterable[str]
    ) -> None:
        message = r.UpstreamNews(entries=[e.to_wire(now) for e in entries], token=token)
        self._actions.extend(Send(target, message) for target in targets)

    def _repeat_deliveries(self, now: float) -> None:
        for delivery in self._deliveries.list_due(now):
            # An instance that does not confirm does not pass the entries on either.
            delivery.add_targets(self._members.list_neighbours())
            targets = [i for i in sorted(delivery.awaited) if self._members.is_usable(i)]
            if delivery.is_silent(now):
                self._actions.extend(Reconnect(target) for target in targets)
            self._send_news(now, delivery.entries, delivery.token, targets)

    def _expire_leases(self, now: float) -> None:
        if now < self._lease_check_at:
            return
        self._lease_check_at = now + LEASE_CHECK_PERIOD_S
        expired = self.upstreams.expire(now, self._members.is_usable)
        orphans = self.upstreams.pop_orphans()
        lost = [i for i in expired if i not in orphans]
        if lost:
            self._actions.add(UpstreamsLost(lost))
        if orphans:
            self._actions.add(UpstreamsOrphaned(orphans))

    def _has_expired_here(self, entry: Entry) -> bool:
        """Return whether a ready upstream with an unusable owner has already expired here.

        Other instances expire it slightly later. Merging it back from them would give it
        a new lease each time, so it would never expire.
        """
        if entry.is_tombstone or entry.state != READY:
            return False
        if entry.upstream_id in self.upstreams.entries or self._members.is_usable(entry.owner):
            return False
        return entry.owner in self._members.members or self.upstreams.has_expired(entry)

    def _pick_update_targets(self) -> list[str]:
        """Return the instances that upstream updates are pushed to.

        In a small fleet a control instance pushes to all usable members, because it
        receives drains first: an instance that cannot reach its ring neighbours then
        still learns of them.
        """
        if self._list_voters is None or self._is_large_fleet():
            return self._members.pick_push_targets()
        return self._members.list_usable()

    def _needs_confirmation(self, entry: Entry) -> bool:
        """Return whether others have to confirm an entry that changed.

        In a small fleet the instance at which it changed pushes it to all.
        """
        return entry.owner == self.upstreams.instance_id or self._is_large_fleet()

    def _is_large_fleet(self) -> bool:
        return len(self._members.members) > MAX_DIRECT_UPDATE_MEMBERS


def _build_leaving_action(entry: Entry) -> UpstreamLeaving:
    announcement = entry.announcement
    return UpstreamLeaving(
        entry.upstream_id, announcement.pool, entry.state, announcement.incarnation
    )
