"""Steps of one request: phases of an attempt, events and actions of an exchange."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..kinds import ErrorKind, Outcome


class Phase(enum.Enum):
    """Where an attempt stands."""

    WAITING_SLOT = "waiting_slot"
    CONNECTING = "connecting"
    SENDING = "sending"
    AWAITING_HEAD = "awaiting_head"
    HOLDING_HEAD = "holding_head"
    RELAYING = "relaying"
    ENDED = "ended"


class AttemptResult(enum.Enum):
    """How an attempt ended, as the balancer is told."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"
    NO_SLOT = "no_slot"


@dataclass(slots=True)
class Start:
    """The request has arrived."""


@dataclass(slots=True)
class SlotGranted:
    """An upstream's slot belongs to the attempt."""

    attempt: int
    upstream_id: str


@dataclass(slots=True)
class SlotRefused:
    """No slot can be had for the attempt."""

    attempt: int
    kind: ErrorKind


@dataclass(slots=True)
class Connected:
    """A connection for the attempt is open; no byte was sent."""

    attempt: int


@dataclass(slots=True)
class ConnectFailed:
    """No connection could be opened; no byte was sent."""

    attempt: int


@dataclass(slots=True)
class Sent:
    """The whole request was handed to the operating system."""

    attempt: int


@dataclass(slots=True)
class AttemptFailed:
    """The attempt failed after its first byte could have left."""

    attempt: int
    kind: ErrorKind


@dataclass(slots=True)
class HeadReceived:
    """The status and headers of an answer arrived.

    Parameters
    ----------
    status : int
        HTTP status code.
    not_run : bool
        Whether the upstream said that it did not run the request.
    """

    attempt: int
    status: int
    not_run: bool


@dataclass(slots=True)
class BodyEnded:
    """The whole answer was relayed."""

    attempt: int


@dataclass(slots=True)
class BodyFailed:
    """The answer broke off after its head."""

    attempt: int


@dataclass(slots=True)
class CallerLeft:
    """The caller closed its connection."""


@dataclass(slots=True)
class TimerExpired:
    """The deadline or the time of a hedge may have come."""


Event = (
    Start
    | SlotGranted
    | SlotRefused
    | Connected
    | ConnectFailed
    | Sent
    | AttemptFailed
    | HeadReceived
    | BodyEnded
    | BodyFailed
    | CallerLeft
    | TimerExpired
)


@dataclass(slots=True)
class AcquireSlot:
    """Ask the balancer for a slot, not at an excluded upstream first."""

    attempt: int
    excluded: frozenset[str]
    may_wait: bool


@dataclass(slots=True)
class Connect:
    """Open or reuse a connection."""

    attempt: int


@dataclass(slots=True)
class Send:
    """Send the request; from here on an upstream may run it."""

    attempt: int


@dataclass(slots=True)
class Release:
    """Give the slot back and close the connection unless the attempt ended well."""

    attempt: int
    result: AttemptResult


@dataclass(slots=True)
class Relay:
    """Send the answer's head to the caller and relay the body."""

    attempt: int


@dataclass(slots=True)
class SendProblem:
    """Answer the caller with a problem document."""

    kind: ErrorKind
    outcome: Outcome


@dataclass(slots=True)
class Truncate:
    """Close the caller's connection so that the answer does not look whole."""


@dataclass(slots=True)
class Finish:
    """Nothing is left to do."""


Action = AcquireSlot | Connect | Send | Release | Relay | SendProblem | Truncate | Finish
