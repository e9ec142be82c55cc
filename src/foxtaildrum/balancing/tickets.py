"""Requests for a slot of a pool."""

from __future__ import annotations

from ..kinds import ErrorKind
from .candidates import UpstreamLoad
from .warmup import Warmup


class Ticket:
    """Tracks a request for a slot until the slot is granted or refused.

    Parameters
    ----------
    deadline : float
        Time by which the response must have arrived, in seconds.
    excluded : frozenset of str
        Identifiers of the upstreams that were tried already.
    priority : int
        Priority of the request; 0 is the most urgent.
    max_queue_wait_s : float
        Longest wait for a slot, in seconds.
    response_bytes : float
        Expected size of the response, in bytes.

    Attributes
    ----------
    granted : UpstreamLoad or None
        Upstream whose slot was granted.
    refused : ErrorKind or None
        Reason for the refusal.
    took_permit : bool
        Whether the upstream limited its rate when the slot was granted.
    warmup : Warmup or None
        Cold period in which the request holds a reservation; None if it needs none.
    retry_after_s : float or None
        Time after which a refused request may succeed, in seconds; None if unknown.
    queue_deadline : float
        Time by which the ticket must be granted a slot, in seconds.
    wake : threading.Event or None
        Set when a ticket that waits is granted or refused.
    """

    __slots__ = (
        "deadline",
        "excluded",
        "granted",
        "max_queue_wait_s",
        "priority",
        "queue_deadline",
        "refused",
        "response_bytes",
        "retry_after_s",
        "took_permit",
        "wake",
        "warmup",
    )

    def __init__(
        self,
        deadline: float,
        excluded: frozenset[str],
        priority: int = 0,
        max_queue_wait_s: float = float("inf"),
        response_bytes: float = 0.0,
    ) -> None:
        self.deadline = deadline
        self.response_bytes = response_bytes
        self.priority = priority
        self.max_queue_wait_s = max_queue_wait_s
        self.queue_deadline = deadline
        self.excluded = excluded
        self.granted: UpstreamLoad | None = None
        self.refused: ErrorKind | None = None
        self.took_permit = False
        self.warmup: Warmup | None = None
        self.retry_after_s: float | None = None
        self.wake = None

    @property
    def completed(self) -> bool:
        """Whether the ticket has been granted or refused."""
        return self.granted is not None or self.refused is not None
