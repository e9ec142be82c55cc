"""Events and actions exchanged with the state machines of an instance.

The state machines do no I/O: they take events and return actions, which the caller performs.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .fleet.messages import Message


@dataclass(slots=True)
class Tick:
    """A tick of the timer; the handler checks its timeouts and periodic work."""


@dataclass(slots=True)
class Received:
    """A message arrived from another instance."""

    peer_id: str
    message: Message


@dataclass(slots=True)
class Persisted:
    """The write of :class:`Persist` or :class:`Rewrite` with this token was synced to disk."""

    token: int


@dataclass(slots=True)
class PersistFailed:
    """A write or its sync failed; what the disk holds is unknown until it is rewritten."""

    token: int


@dataclass(slots=True)
class Proposed:
    """Request to append an entry to the replicated log."""

    token: str
    kind: str
    payload: Any


@dataclass(slots=True)
class LeadershipTransferRequested:
    """Request to transfer leadership, because the instance is about to stop."""


@dataclass(slots=True)
class ReadIndexRequested:
    """Request for a read index: one that covers every change accepted before the request."""

    token: str


Event = (
    Tick
    | Received
    | Persisted
    | PersistFailed
    | Proposed
    | LeadershipTransferRequested
    | ReadIndexRequested
)


@dataclass(slots=True)
class Send:
    """Send a message; the network may lose, duplicate, delay or reorder it."""

    peer_id: str
    message: Message


@dataclass(slots=True)
class Persist:
    """Append one journal record and sync it."""

    token: int
    record: list[Any]


@dataclass(slots=True)
class Rewrite:
    """Replace the content of the journal by these records and sync it.

    Parameters
    ----------
    substitute : list or None
        Record to append if the disk refuses the replacement, where that only makes the journal
        shorter; None where the replacement is needed.
    """

    token: int
    records: list[list[Any]]
    substitute: list[Any] | None = None


@dataclass(slots=True)
class ProposalCompleted:
    """The result of a proposal is known."""

    token: str
    result: Any


@dataclass(slots=True)
class Committed:
    """Entries were committed and applied, as (index, kind, payload)."""

    entries: list[tuple[int, str, Any]]


@dataclass(slots=True)
class StateReplaced:
    """The replicated state was replaced by a snapshot up to ``index``."""

    index: int


@dataclass(slots=True)
class ReadIndexResolved:
    """The index of a read is known; -1 when this instance can't determine it."""

    token: str
    index: int


Action = (
    Send | Persist | Rewrite | ProposalCompleted | Committed | StateReplaced | ReadIndexResolved
)
