"""Acknowledgements of upstream updates that must not be lost, without I/O.

A drain or a leave is acknowledged to its sender only when a majority of the voters has it on
disk. Every instance that reaches a majority of them then learns of it, even if all instances
fail. An instance that knows no voters asks control instances to find a majority: it gives the
update a token with :data:`MAJORITY_PREFIX`, which comes back with :data:`STORED_PREFIX`. A
control instance of an earlier release returns the token unchanged, once it has the update in
memory.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass

from .upstreams import Entry

RECEIPT_TIMEOUT_S = 0.9
RESEND_PERIOD_S = 0.25
RECONNECT_AFTER_S = 0.5
MAJORITY_PREFIX = "majority:"
STORED_PREFIX = "stored:"


@dataclass(slots=True)
class ReceiptsCompleted:
    """A majority of the voters has the update on disk, or the deadline passed without one.

    Parameters
    ----------
    stored : bool
        Whether a majority has stored the update.
    holders : tuple of str
        Instances that have confirmed it.
    entry : Entry or None
        The update; None if there was nothing to store.
    """

    token: str
    stored: bool
    holders: tuple[str, ...] = ()
    entry: Entry | None = None


class _PendingReceipts:
    """An update that waits for receipts."""

    __slots__ = (
        "confirmed",
        "deadline",
        "entry",
        "message_token",
        "received_from",
        "resend_at",
    )

    def __init__(self, now: float, entry: Entry, message_token: str) -> None:
        self.entry = entry
        self.deadline = now + RECEIPT_TIMEOUT_S
        self.resend_at = now
        self.received_from: set[str] = set()
        self.message_token = message_token
        self.confirmed = False


class Receipts:
    """Collects receipts for the updates that this instance sent.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    knows_voters : bool
        Whether the receipts of the voters are counted here; otherwise a control instance
        is asked to count them.
    """

    def __init__(self, instance_id: str, knows_voters: bool) -> None:
        self._instance_id = instance_id
        self._prefix = "" if knows_voters else MAJORITY_PREFIX
        self._pending: dict[str, _PendingReceipts] = {}

    def begin(self, now: float, token: str, entry: Entry) -> str:
        """Start collecting receipts for an entry; return the token that they repeat."""
        message_token = self._prefix + uuid.uuid4().hex
        self._pending[token] = _PendingReceipts(now, entry, message_token)
        return message_token

    def is_pending(self, token: str) -> bool:
        """Return whether receipts are being collected under a token."""
        return token in self._pending

    def list_due(self, now: float, voters: list[str]) -> list[tuple[str, str, Entry, bool]]:
        """Return the peers to send an update to now, each with its token and entry.

        A voter gets the update again every ``RESEND_PERIOD_S`` until its receipt arrives. The
        last field is whether the connection to the peer may have gone silent.
        """
        due = []
        for pending in self._pending.values():
            if now < pending.resend_at:
                continue
            pending.resend_at = now + RESEND_PERIOD_S
            silent = now >= pending.deadline - RECEIPT_TIMEOUT_S + RECONNECT_AFTER_S
            for peer in voters:
                if peer != self._instance_id and peer not in pending.received_from:
                    due.append((peer, pending.message_token, pending.entry, silent))
        return due

    def record_holder(self, instance_id: str, message_token: str) -> None:
        """Record that an instance has stored the update with a token."""
        confirmed = message_token.startswith(STORED_PREFIX)
        if confirmed:
            message_token = MAJORITY_PREFIX + message_token.removeprefix(STORED_PREFIX)
        for pending in self._pending.values():
            if pending.message_token == message_token:
                pending.received_from.add(instance_id)
                pending.confirmed |= confirmed

    def pop_actions(self, now: float, voters: list[str]) -> list[ReceiptsCompleted]:
        """Remove the updates that a majority has or that timed out; return their results."""
        completed = []
        for token, pending in list(self._pending.items()):
            holders = pending.received_from.intersection(voters)
            stored = pending.confirmed or len(holders) > len(voters) // 2
            if stored or now >= pending.deadline:
                del self._pending[token]
                names = tuple(sorted(pending.received_from))
                completed.append(ReceiptsCompleted(token, stored, names, pending.entry))
        return completed
