"""Crash reports at one instance, and their spread in the fleet."""

from __future__ import annotations

from functools import partial

from .. import records as r
from ..events import Send
from ..sizes import split_batches
from .actions import ActionQueue
from .crashes import CrashList, CrashRecord, describe_start
from .intake import read_records
from .membership import Membership
from .parts import Part, handles

# Crashes come in series: the first is pushed at once, those that follow together.
PUSH_INTERVAL_S = 0.05
EXPIRE_PERIOD_S = 5.0


class CrashPart(Part):
    """Keeps the crash reports of the fleet.

    Parameters
    ----------
    members : Membership
        Instances of the fleet.
    actions : ActionQueue
        Receives the actions.
    now : float
        Current time in seconds.
    """

    def __init__(self, members: Membership, actions: ActionQueue, now: float) -> None:
        self.crashes = CrashList()
        self._members = members
        self._actions = actions
        self._push_at = now
        self._expire_at = now

    def tick(self, now: float) -> None:
        """Drop old reports."""
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_PERIOD_S
            self.crashes.expire(now)

    def report(self, now: float, fingerprint: str, upstream_id: str, incarnation: int) -> None:
        """Record that an upstream ended while it ran a request."""
        self.crashes.report(now, fingerprint, describe_start(upstream_id, incarnation))

    def clear(self, now: float, fingerprint: str) -> None:
        """Record that an upstream answered a request."""
        self.crashes.clear(now, fingerprint)

    def push_updates(self, now: float) -> None:
        """Send the records that changed to some neighbours, which send them on."""
        if now < self._push_at:
            return
        updates = self.crashes.pop_updates()
        if not updates:
            return
        self._push_at = now + PUSH_INTERVAL_S
        targets = self._members.pick_push_targets()
        for batch in split_batches([record.to_wire(now) for record in updates]):
            message = r.CrashNews(records=batch)
            self._actions.extend(Send(target, message) for target in targets)

    @handles(r.CrashNews)
    def handle_news(self, now: float, peer: str, message: r.CrashNews) -> None:
        """Merge records of another instance."""
        build = partial(CrashRecord.from_wire, now)
        for record in read_records("crash", peer, message.records, build, self._actions):
            self.crashes.merge(now, record)
