"""Receipts for news of upstreams that must not be lost, without I/O.

A drain or a leave is acknowledged only when most control instances know it: then every
instance that reaches most of them hears of it, whatever happens to this one.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass

from ..records import NewsReceipt
from .upstreams import Entry

RECEIPT_TIMEOUT_S = 0.9
REPEAT_S = 0.25


@dataclass(slots=True)
class ReceiptsDone:
    """Most control instances know the news, or not in time."""

    token: str
    known: bool


class _Pending:
    """News that waits for receipts."""

    __slots__ = ("entry", "give_up_at", "message_token", "received", "repeat_at")

    def __init__(self, now: float, entry: Entry) -> None:
        self.entry = entry
        self.give_up_at = now + RECEIPT_TIMEOUT_S
        self.repeat_at = now
        self.received: set[str] = set()
        self.message_token = uuid.uuid4().hex


class Receipts:
    """Collects receipts for the news that this instance gave.

    Parameters
    ----------
    instance_id : str
        This instance.
    """

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._pending: dict[str, _Pending] = {}

    def begin(self, now: float, token: str, entry: Entry) -> None:
        """Begin to collect receipts for an entry."""
        self._pending[token] = _Pending(now, entry)

    def list_due(self, now: float, voters: list[str]) -> list[tuple[str, str, Entry]]:
        """Return the instances to tell now, each with the token and the entry."""
        due = []
        for pending in self._pending.values():
            if now < pending.repeat_at:
                continue
            pending.repeat_at = now + REPEAT_S
            for peer in voters:
                if peer != self._instance_id and peer not in pending.received:
                    due.append((peer, pending.message_token, pending.entry))
        return due

    def take_receipt(self, peer: str, message: NewsReceipt) -> None:
        """Take a receipt."""
        for pending in self._pending.values():
            if pending.message_token == message.token:
                pending.received.add(peer)

    def pop_actions(self, now: float, voters: list[str]) -> list[ReceiptsDone]:
        """Return what is known by a quorum of the voters, and what came too late."""
        done = []
        for token, pending in list(self._pending.items()):
            known = self._is_known(pending, voters)
            if known or now >= pending.give_up_at:
                del self._pending[token]
                done.append(ReceiptsDone(token, known))
        return done

    def _is_known(self, pending: _Pending, voters: list[str]) -> bool:
        holders = {*pending.received, self._instance_id}
        return len(holders.intersection(voters)) > len(voters) // 2
