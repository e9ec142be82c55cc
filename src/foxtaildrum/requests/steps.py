"""Types of the request state machine: attempt phases, input events and output actions."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..kinds import ErrorKind, Outcome


class AttemptPhase(enum.Enum):
    """Phase that an attempt is in."""

    WAITING_SLOT = "waiting_slot"
    CONNECTING = "connecting"
    SENDING = "sending"
    AWAITING_HEAD = "awaiting_head"
    HOLDING_HEAD = "holding_head"
    RELAYING = "relaying"
    ENDED = "ended"


class AttemptResult(enum.Enum):
    """How an attempt ended, as it is reported to the balancer."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"
    NO_SLOT = "no_slot"


@dataclass(slots=True)
class RequestArrived:
    """The request has arrived."""


@dataclass(slots=True)
class SlotGranted:
    """The balancer granted the attempt a slot of an upstream.

    Parameters
    ----------
    target_id : str
        Identifier of the upstream, or of the instance that the request is forwarded to.
    forwarded : bool
        Whether the request is forwarded to another instance.
    """

    attempt: int
    target_id: str
    forwarded: bool = False


@dataclass(slots=True)
class SlotRefused:
    """The balancer refused the attempt a slot.

    Parameters
    ----------
    retry_after_s : float or None
        Time after which the request may succeed, in seconds; None if unknown.
    """

    attempt: int
    kind: ErrorKind
    retry_after_s: float | None = None


@dataclass(slots=True)
class SlotWithdrawn:
    """The upstream may get no request any more although the slot was granted; nothing was sent.

    It has asked for no requests, its availability zone is evacuated, or it has become cold.

    Parameters
    ----------
    kind : ErrorKind
        Error of the request if no other upstream takes it.
    """

    attempt: int
    kind: ErrorKind = ErrorKind.UPSTREAMS_RESTING


@dataclass(slots=True)
class RecognitionLapsed:
    """The caller's key is no longer known to be valid; the attempt sent nothing.

    Parameters
    ----------
    retry_after_s : float
        Time after which the request may succeed, in seconds.
    """

    attempt: int
    retry_after_s: float


@dataclass(slots=True)
class Connected:
    """A connection for the attempt is open; no byte of the request was sent yet."""

    attempt: int


@dataclass(slots=True)
class ConnectFailed:
    """No connection could be opened; no byte of the request was sent."""

    attempt: int


@dataclass(slots=True)
class RequestSent:
    """The whole request was handed to the operating system."""

    attempt: int


@dataclass(slots=True)
class AttemptFailed:
    """The attempt failed when some bytes of the request may already have been sent."""

    attempt: int
    kind: ErrorKind


@dataclass(slots=True)
class HeadReceived:
    """The status and headers of a response arrived.

    Parameters
    ----------
    status : int
        HTTP status code.
    not_run : bool
        Whether the response states that the upstream did not run the request.
    """

    attempt: int
    status: int
    not_run: bool


@dataclass(slots=True)
class ForwardDeclined:
    """The instance that the request was forwarded to does not take it; it was not run."""

    attempt: int
    kind: ErrorKind


@dataclass(slots=True)
class ForwardFailed:
    """The instance that the request was forwarded to took it and answers with an error.

    Parameters
    ----------
    retry_after_s : float or None
        Time after which the request may succeed, in seconds; None if unknown.
    """

    attempt: int
    kind: ErrorKind
    outcome: Outcome
    retry_after_s: float | None = None


@dataclass(slots=True)
class BodyEnded:
    """The response was relayed completely."""

    attempt: int


@dataclass(slots=True)
class BodyFailed:
    """The response was truncated after its head."""

    attempt: int


@dataclass(slots=True)
class CallerLeft:
    """The caller closed its connection."""


@dataclass(slots=True)
class TimerExpired:
    """The wake-up time passed: the deadline or a hedge may be due."""


@dataclass(slots=True)
class UpstreamChecked:
    """The upstream of an attempt answered a status check, or did not in time.

    Parameters
    ----------
    slow : bool
        Whether it is slower than normal, has no free slot or did not answer.
    """

    attempt: int
    slow: bool


Event = (
    RequestArrived
    | SlotGranted
    | SlotRefused
    | SlotWithdrawn
    | RecognitionLapsed
    | Connected
    | ConnectFailed
    | RequestSent
    | AttemptFailed
    | HeadReceived
    | ForwardDeclined
    | ForwardFailed
    | BodyEnded
    | BodyFailed
    | CallerLeft
    | TimerExpired
    | UpstreamChecked
)


@dataclass(slots=True)
class AcquireSlot:
    """Request a slot from the balancer, preferably not at an excluded upstream."""

    attempt: int
    excluded: frozenset[str]
    may_wait: bool


@dataclass(slots=True)
class Connect:
    """Open a connection to the upstream or reuse an idle one."""

    attempt: int


@dataclass(slots=True)
class SendRequest:
    """Send the request; from this point on the upstream may run it."""

    attempt: int


@dataclass(slots=True)
class CheckUpstream:
    """Request the load of the upstream of an attempt that takes long."""

    attempt: int


@dataclass(slots=True)
class ReleaseSlot:
    """Release the slot, and close the connection unless it can be reused."""

    attempt: int
    result: AttemptResult


@dataclass(slots=True)
class RelayResponse:
    """Send the response head to the caller and relay the body."""

    attempt: int


@dataclass(slots=True)
class SendProblem:
    """Respond to the caller with a problem document.

    Parameters
    ----------
    retry_after_s : float or None
        Time after which the request may succeed, in seconds; None for the usual one.
    """

    kind: ErrorKind
    outcome: Outcome
    retry_after_s: float | None = None


@dataclass(slots=True)
class TruncateResponse:
    """Close the caller's connection so that the response is recognizably incomplete."""


@dataclass(slots=True)
class Finish:
    """End the exchange; no further action follows."""


Action = (
    AcquireSlot
    | Connect
    | SendRequest
    | CheckUpstream
    | ReleaseSlot
    | RelayResponse
    | SendProblem
    | TruncateResponse
    | Finish
)
