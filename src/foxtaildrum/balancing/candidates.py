"""Load data of upstreams and pools as one instance sees it; input of the policies."""

from __future__ import annotations

import math

from ..fleet.upstreams import READY
from ..permits.upstreams import Permits
from .warmup import Warmup

RAMP_S = 5.0
MIN_RAMP_SHARE = 0.1
INITIAL_SERVICE_S = 0.01
SERVICE_MEAN_WEIGHT = 0.05  # weight of a new value in the moving average
MEAN_DECAY_SERVICE_TIMES = 3.0


class UpstreamLoad:
    """Load and health of one upstream as this instance sees them.

    Attributes
    ----------
    availability_zone : str
        Availability zone of the upstream; empty if it announces none.
    remote : bool
        Whether the upstream is in another availability zone than this instance.
    in_flight : int
        Requests of this instance that hold a slot.
    last_grant : int
        Sequence number, within the pool, of the last grant of a slot of this upstream.
    reported_others : float
        Requests of other senders in the upstream, according to the last load report.
    pace : float
        Last reported service time, as a multiple of the normal one; 2 is twice as slow.
    smoothed_pace : float
        Moving average of the reported paces.
    reported_at : float
        Time of the last load report or unanswered status check, in seconds.
    permits : Permits or None
        Permits for requests while the upstream limits its rate; None without a limit.
    fleet_limit_per_s : float or None
        Rate limit that the fleet knows; None for no limit.
    limit_reported_at : float
        Time of the last report of a rate limit to the fleet, in seconds.
    warmup : Warmup or None
        Cold period of the upstream; None while it is warm and in pools without a limit.
    listed_cold_until : float or None
        Time until which the upstream list last had it as cold, in seconds.
    warmup_reported_at : float
        Time of the last report of a cold period to the fleet, in seconds.
    service_s : float
        Moving average of the time that requests of this instance held a slot, in seconds.
    sheds : int
        Consecutive requests that the upstream shed.
    unanswered_checks : int
        Consecutive status checks that timed out or connections that failed.
    failures : int
        Consecutive failed requests.
    failure_level : float
        Count of recent failures that halves with each success.
    ejected_until : float
        Time until which the upstream gets no requests, in seconds; ignored while too many
        upstreams of the pool are ejected.
    leaves : bool
        Whether this instance passed on a response in which the upstream says that it leaves.
    rests_until : float
        Time until which the upstream wants no request from this instance, in seconds.
    ejections : int
        Consecutive ejections for failures; each doubles the duration of the next.
    ramp_until : float
        Time until which the upstream may use only part of its slots, in seconds.
    evacuated_at : float
        Time from which the upstream is left out, as its availability zone is evacuated, in
        seconds; infinite if it is not.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "ejected_until",
        "ejections",
        "evacuated_at",
        "failed_at",
        "failure_level",
        "failures",
        "fleet_limit_per_s",
        "in_flight",
        "incarnation",
        "last_grant",
        "leaves",
        "limit_reported_at",
        "listed_cold_until",
        "pace",
        "permits",
        "ramp_until",
        "remote",
        "reported_at",
        "reported_others",
        "rests_until",
        "service_s",
        "sheds",
        "slots",
        "smoothed_pace",
        "state",
        "unanswered_checks",
        "upstream_id",
        "warmup",
        "warmup_reported_at",
    )

    def __init__(self, upstream_id: str) -> None:
        self.upstream_id = upstream_id
        self.address = ""
        self.availability_zone = ""
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
        self.permits: Permits | None = None
        self.fleet_limit_per_s: float | None = None
        self.limit_reported_at = float("-inf")
        self.warmup: Warmup | None = None
        self.listed_cold_until: float | None = None
        self.warmup_reported_at = float("-inf")
        self.service_s = 0.0
        self.sheds = 0
        self.unanswered_checks = 0
        self.failures = 0
        self.failure_level = 0.0
        self.failed_at = float("-inf")
        self.ejected_until = float("-inf")
        self.leaves = False
        self.rests_until = float("-inf")
        self.ejections = 0
        self.ramp_until = float("-inf")
        self.evacuated_at = float("inf")

    def is_unwanted(self, now: float) -> bool:
        """Return whether the upstream may get nothing: neither requests nor status checks."""
        return now < self.rests_until or now >= self.evacuated_at

    def forget_failures(self) -> None:
        """Forget the failures and the ejections for them."""
        self.failures = 0
        self.ejections = 0
        self.unanswered_checks = 0
        self.failure_level = 0.0
        self.ejected_until = float("-inf")

    def compute_ramp(self, now: float) -> float:
        """Return the share of its slots that the upstream may use after a start."""
        if now >= self.ramp_until:
            return 1.0
        return max(MIN_RAMP_SHARE, 1.0 - (self.ramp_until - now) / RAMP_S)

    def has_free_slot(self, now: float) -> bool:
        """Return whether the upstream may get one more request."""
        if self.permits is not None and not self.permits.is_held(now):
            return False
        if now >= self.ramp_until:
            return self.in_flight < self.slots
        return self.in_flight < max(1, int(self.slots * self.compute_ramp(now)))


class PoolLoad:
    """Averages over the upstreams of a pool.

    Attributes
    ----------
    mean_service_s : float
        Moving average of the time that an attempt holds a slot, in seconds.
    response_bytes : float
        Expected size of the response to the request that is being assigned a slot, in bytes.
    mean_pace : float
        Moving average of the reported paces.
    mean_others : float
        Moving average of ``reported_others`` over the reports of all upstreams.
    reported_at : float
        Time of the last load report from any upstream, in seconds.
    service_count : int
        Successful attempts recorded in ``mean_service_s``.
    """

    __slots__ = (
        "mean_others",
        "mean_pace",
        "mean_service_s",
        "reported_at",
        "response_bytes",
        "service_count",
    )

    def __init__(self) -> None:
        self.mean_service_s = INITIAL_SERVICE_S
        self.service_count = 0
        self.response_bytes = 0.0
        self.mean_others = 0.0
        self.mean_pace = 1.0
        self.reported_at = float("-inf")

    def record_service_time(self, held_s: float) -> None:
        """Record the time that one successful attempt held its slot, in seconds.

        The first ones have equal weights, so that an instance with little traffic does not
        rely on the initial value for long.
        """
        self.service_count += 1
        weight = max(SERVICE_MEAN_WEIGHT, 1.0 / self.service_count)
        self.mean_service_s += (held_s - self.mean_service_s) * weight

    def estimate_mean_others(self, now: float) -> float:
        """Return ``mean_others``, decayed by the age of the last load report.

        Without the decay, an instance that queues its requests because of a high mean
        would get no new reports, and the mean would never fall.
        """
        silent_s = now - self.reported_at - self.mean_service_s
        if silent_s <= 0:
            return self.mean_others
        decay_s = MEAN_DECAY_SERVICE_TIMES * self.mean_service_s
        return self.mean_others * math.exp(-silent_s / decay_s)
