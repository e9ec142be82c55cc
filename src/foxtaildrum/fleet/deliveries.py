"""Updates that must reach other instances soon: sent until each one confirms, without I/O."""

from __future__ import annotations

import uuid

from .upstreams import Entry

RESEND_PERIOD_S = 0.25
RECONNECT_AFTER_S = 0.5
GIVE_UP_AFTER_S = 3.0


class Delivery:
    """Entries on their way to some instances.

    Attributes
    ----------
    awaited : set of str
        Instances that have not confirmed the entries yet.
    """

    __slots__ = ("_asked", "awaited", "entries", "resend_at", "started_at", "token")

    def __init__(self, now: float, entries: list[Entry], targets: list[str]) -> None:
        self.entries = entries
        self.awaited: set[str] = set()
        self._asked: set[str] = set()
        self.add_targets(targets)
        self.started_at = now
        self.resend_at = now + RESEND_PERIOD_S
        self.token = uuid.uuid4().hex

    def add_targets(self, targets: list[str]) -> None:
        """Await the confirmation of further instances."""
        self.awaited.update(set(targets) - self._asked)
        self._asked.update(targets)

    def is_silent(self, now: float) -> bool:
        """Return whether the connections to the awaited instances may have gone silent."""
        return now - self.started_at >= RECONNECT_AFTER_S


class Deliveries:
    """Deliveries that are not complete yet."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending: dict[str, Delivery] = {}

    def begin(self, now: float, entries: list[Entry], targets: list[str]) -> Delivery:
        """Start a delivery; the caller sends the entries to the targets once."""
        delivery = Delivery(now, entries, targets)
        if targets:
            self._pending[delivery.token] = delivery
        return delivery

    def record_receipt(self, instance_id: str, token: str) -> None:
        """Record that an instance has the entries that were sent with a token."""
        delivery = self._pending.get(token)
        if delivery is None:
            return
        delivery.awaited.discard(instance_id)
        if not delivery.awaited:
            del self._pending[token]

    def list_due(self, now: float) -> list[Delivery]:
        """Return the deliveries to repeat now, and drop those that took too long."""
        due = []
        for delivery in list(self._pending.values()):
            if now - delivery.started_at >= GIVE_UP_AFTER_S:
                del self._pending[delivery.token]
            elif now >= delivery.resend_at:
                delivery.resend_at = now + RESEND_PERIOD_S
                due.append(delivery)
        return due
