"""Acknowledgements of upstream updates that must not be lost, without I/O.

A drain or a leave is acknowledged to its sender only when a majority of the voters has stored
it. Every instance that reaches a majority of them then learns of it, even if this instance
fails.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass

from ..records import NewsReceipt
from .upstreams import Entry

RECEIPT_TIMEOUT_S = 0.9
RESEND_PERIOD_S = 0.25


@dataclass(slots=True)
class ReceiptsCompleted:
    """A majority of the voters has the update, or the deadline passed without one.

    Parameters
    ----------
    stored : bool
        Whether a majority has stored the update.
    """

    token: str
    stored: bool


class _PendingReceipts:
    """An update that waits for receipts."""

    __slots__ = ("deadline", "entry", "message_token", "received_from", "resend_at")

    def __init__(self, now: float, entry: Entry) -> None:
        self.entry = entry
        self.deadline = now + RECEIPT_TIMEOUT_S
        self.resend_at = now
        self.received_from: set[str] = set()
        self.message_token = uuid.uuid4().hex


class Receipts:
    """Collects receipts for the updates that this instance sent.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    """

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._pending: dict[str, _PendingReceipts] = {}

    def begin(self, now: float, token: str, entry: Entry) -> None:
        """Start collecting receipts for an entry."""
        self._pending[token] = _PendingReceipts(now, entry)

    def list_due(self, now: float, voters: list[str]) -> list[tuple[str, str, Entry]]:
        """Return the peers to send an update to now, each with its token and entry.

        A voter gets the update again every ``RESEND_PERIOD_S`` until its receipt arrives.
        """
        due = []
        for pending in self._pending.values():
            if now < pending.resend_at:
                continue
            pending.resend_at = now + RESEND_PERIOD_S
            for peer in voters:
                if peer != self._instance_id and peer not in pending.received_from:
                    due.append((peer, pending.message_token, pending.entry))
        return due

    def handle_receipt(self, peer: str, message: NewsReceipt) -> None:
        """Record that ``peer`` has the update that the receipt names."""
        for pending in self._pending.values():
            if pending.message_token == message.token:
                pending.received_from.add(peer)

    def pop_actions(self, now: float, voters: list[str]) -> list[ReceiptsCompleted]:
        """Remove the updates that a majority has or that timed out; return their results."""
        completed = []
        for token, pending in list(self._pending.items()):
            stored = self._is_stored(pending, voters)
            if stored or now >= pending.deadline:
                del self._pending[token]
                completed.append(ReceiptsCompleted(token, stored))
        return completed

    def _is_stored(self, pending: _PendingReceipts, voters: list[str]) -> bool:
        holders = {*pending.received_from, self._instance_id}
        return len(holders.intersection(voters)) > len(voters) // 2
