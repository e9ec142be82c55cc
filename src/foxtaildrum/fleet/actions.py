"""Actions that a node returns for its caller to perform."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ..control.claimer import ClaimCompleted
from ..control.orders import OrderCompleted
from ..control.proposals import ChangeCompleted
from ..control.reads import ReadCompleted
from ..events import Rewrite, Send
from ..records import PermitReply, QuotaReply
from .receipts import ReceiptsCompleted

# Journals that an action can write to.
LOG_STREAM = "log"
CLAIM_STREAM = "claims"
UPSTREAM_STREAM = "upstreams"


@dataclass(slots=True)
class Write:
    """Append records to a journal, or replace the journal by them, and sync it.

    Parameters
    ----------
    substitute : list or None
        Record to append if the disk refuses a replacement; None where it is needed.
    """

    stream: str
    token: int
    records: list[list[Any]]
    replace: bool
    substitute: list[Any] | None = None


def build_rewrite(stream: str, action: Rewrite) -> Write:
    """Return the write that replaces the journal of a stream."""
    return Write(stream, action.token, action.records, True, action.substitute)


@dataclass(slots=True)
class Reconnect:
    """Replace the connection to an instance: messages on it were not answered."""

    peer_id: str


@dataclass(slots=True)
class UpstreamsLost:
    """The leases of some upstreams expired."""

    upstream_ids: list[str]


@dataclass(slots=True)
class UpstreamsOrphaned:
    """The leases of some upstreams ran out here because their owners are unusable.

    Parameters
    ----------
    owners : dict
        Owner of each lease, by the identifier of the upstream.
    """

    owners: dict[str, str]


@dataclass(slots=True)
class UpstreamLeaving:
    """An upstream is draining or has left."""

    upstream_id: str
    pool: str
    state: str
    incarnation: int


@dataclass(slots=True)
class PermitsAnswered:
    """The issuer of an upstream of ``pool`` replied to a request for permits."""

    pool: str
    reply: PermitReply


@dataclass(slots=True)
class QuotasAnswered:
    """An instance replied to a request for permits of organisations."""

    peer_id: str
    reply: QuotaReply


@dataclass(slots=True)
class RecordSkipped:
    """A record of another instance or on disk was left out, as it cannot be used.

    Parameters
    ----------
    subject : str
        Kind of the record: upstream, member, crash or tables.
    source : str
        Instance that sent it, or ``disk``.
    """

    subject: str
    source: str
    reason: str


@dataclass(slots=True)
class MemberChanged:
    """The membership state of another instance changed."""

    instance_id: str
    state: str


Action = (
    Send
    | Write
    | ChangeCompleted
    | ClaimCompleted
    | ReadCompleted
    | OrderCompleted
    | ReceiptsCompleted
    | Reconnect
    | UpstreamsLost
    | UpstreamsOrphaned
    | UpstreamLeaving
    | MemberChanged
    | PermitsAnswered
    | QuotasAnswered
    | RecordSkipped
)


class ActionQueue:
    """Actions of one event, in the order in which the parts of the node added them."""

    __slots__ = ("_actions",)

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Add one action."""
        self._actions.append(action)

    def extend(self, actions: Iterable[Action]) -> None:
        """Add several actions."""
        self._actions.extend(actions)

    def pop_all(self) -> list[Action]:
        """Return and remove all actions."""
        actions, self._actions = self._actions, []
        return actions
