"""What one instance knows of the load of upstreams, as policies read it."""

from __future__ import annotations

import math

from ..fleet.upstreams import READY

RAMP_S = 5.0
MIN_RAMP_SHARE = 0.1
INITIAL_SERVICE_S = 0.01
MEAN_DECAY_SERVICE_TIMES = 3.0


class UpstreamLoad:
    """What one instance knows of the load of one upstream.

    Attributes
    ----------
    in_flight : int
        Own requests that hold a slot.
    reported_others : float
        Slots that others used according to the last report.
    reported_at : float
        Time of the last report, in seconds.
    service_s : float
        Recent mean of the time that own requests held a slot, in seconds.
    """

    __slots__ = (
        "address",
        "ejected_until",
        "ejections",
        "failed_at",
        "failure_level",
        "failures",
        "in_flight",
        "incarnation",
        "last_grant",
        "pace",
        "ramp_until",
        "remote",
        "reported_at",
        "reported_others",
        "service_s",
        "sheds",
        "slots",
        "smoothed_pace",
        "state",
        "unanswered_checks",
        "upstream_id",
    )

    def __init__(self, upstream_id: str) -> None:
        self.upstream_id = upstream_id
        self.address = ""
        self.state = READY
        self.slots = 1
        self.incarnation = -1
        self.remote = False
        self.in_flight = 0
        self.last_grant = 0
        self.reported_others = 0.0
        self.pace = 1.0
        self.smoothed_pace = 1.0
        self.reported_at = float("-inf")
        self.service_s = 0.0
        self.sheds = 0
        self.unanswered_checks = 0
        self.failures = 0
        self.failure_level = 0.0
        self.failed_at = float("-inf")
        self.ejected_until = float("-inf")
        self.ejections = 0
        self.ramp_until = float("-inf")

    def compute_ramp(self, now: float) -> float:
        """Return the share of its slots that a starting upstream may use."""
        if now >= self.ramp_until:
            return 1.0
        return max(MIN_RAMP_SHARE, 1.0 - (self.ramp_until - now) / RAMP_S)

    def has_free_slot(self, now: float) -> bool:
        """Return whether one more request may be sent."""
        if now >= self.ramp_until:
            return self.in_flight < self.slots
        return self.in_flight < max(1, int(self.slots * self.compute_ramp(now)))


class PoolLoad:
    """Averages over a pool that policies read.

    Attributes
    ----------
    mean_service_s : float
        Mean time that an attempt holds a slot, in seconds.
    answer_bytes : float
        Expected size of the answer to the request at hand.
    mean_pace : float
        Mean of how long work takes, as a multiple of the usual.
    mean_others : float
        Mean of the slots that others use at an upstream.
    """

    __slots__ = (
        "answer_bytes",
        "mean_others",
        "mean_pace",
        "mean_service_s",
        "reported_at",
    )

    def __init__(self) -> None:
        self.mean_service_s = INITIAL_SERVICE_S
        self.answer_bytes = 0.0
        self.mean_others = 0.0
        self.mean_pace = 1.0
        self.reported_at = float("-inf")

    def estimate_mean_others(self, now: float) -> float:
        """Return the mean, faded when no answer has reported for long.

        Without the fading an instance that holds requests back for a high mean would
        never hear of a lower one.
        """
        silent_s = now - self.reported_at - self.mean_service_s
        if silent_s <= 0:
            return self.mean_others
        fade_s = MEAN_DECAY_SERVICE_TIMES * self.mean_service_s
        return self.mean_others * math.exp(-silent_s / fade_s)
