"""Events and actions shared by the machines of an instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .fleet.messages import Message


@dataclass(slots=True)
class Tick:
    """Time has passed."""


@dataclass(slots=True)
class Received:
    """A message arrived from another instance."""

    peer_id: str
    message: Message


@dataclass(slots=True)
class Persisted:
    """A write and its sync succeeded."""

    token: int


@dataclass(slots=True)
class PersistFailed:
    """A write or its sync failed; the disk is not used again."""

    token: int


@dataclass(slots=True)
class Proposed:
    """An entry is proposed for the replicated log."""

    token: str
    kind: str
    payload: Any


@dataclass(slots=True)
class LeadershipTransferRequested:
    """The instance is about to stop."""


@dataclass(slots=True)
class ReadIndexRequested:
    """An index that every accepted change is below is asked for."""

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
    """Send a message; it may be lost, repeated, late or reordered."""

    peer_id: str
    message: Message


@dataclass(slots=True)
class Persist:
    """Append one journal record and sync it."""

    token: int
    record: list[Any]


@dataclass(slots=True)
class Rewrite:
    """Replace the journal by these records and sync it."""

    token: int
    records: list[list[Any]]


@dataclass(slots=True)
class ProposalCompleted:
    """A proposal has its result."""

    token: str
    result: Any


@dataclass(slots=True)
class Committed:
    """Entries were committed and applied, as (index, kind, payload)."""

    entries: list[tuple[int, str, Any]]


@dataclass(slots=True)
class StateReplaced:
    """The replicated state was replaced by a snapshot."""

    index: int


@dataclass(slots=True)
class ReadIndexResolved:
    """A read has its index; -1 when this instance cannot tell."""

    token: str
    index: int


Action = (
    Send | Persist | Rewrite | ProposalCompleted | Committed | StateReplaced | ReadIndexResolved
)
