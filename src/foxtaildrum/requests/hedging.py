"""When a second copy of an idempotent request is considered, without I/O.

A copy that is sent by time alone is either early, and then mostly unnecessary, or too late to
be in time. The upstream of a request that takes long can say how it fares: a copy is sent
early only if that upstream is slow or has no free slot.
"""

from __future__ import annotations

# First check of the upstream, as a ratio of the route's latency objective, while the duration
# of the route's requests is unknown.
UNKNOWN_DURATION_CHECK_RATIO = 0.4
MIN_CHECK_DURATIONS = 0.5
# Time between two checks of one request, as a ratio of the delay of the first.
CHECK_REPEAT_RATIO = 0.5


class HedgeTimes:
    """Delays after which one request is hedged, counted from when it was sent.

    Parameters
    ----------
    check_delay_s : float or None
        Delay before the upstream is asked for its load, in seconds; None for no check.
    send_delay_s : float or None
        Delay before a copy is sent without such evidence, in seconds; None for no copy.
    """

    __slots__ = ("check_delay_s", "send_delay_s")

    def __init__(self, check_delay_s: float | None, send_delay_s: float | None) -> None:
        self.check_delay_s = check_delay_s
        self.send_delay_s = send_delay_s


NO_HEDGE = HedgeTimes(None, None)


def plan_hedge(
    send_delay_s: float | None, expected_s: float, objective_s: float, can_check: bool
) -> HedgeTimes:
    """Return when to check the upstream of a request, and when to send a copy regardless.

    Parameters
    ----------
    send_delay_s : float or None
        Delay derived from the latencies of the pool, in seconds; None disables hedges.
    expected_s : float
        Expected duration of the request, in seconds; 0 if unknown.
    objective_s : float
        Latency objective of the route, in seconds.
    can_check : bool
        Whether the upstreams answer status checks.
    """
    if send_delay_s is None:
        return NO_HEDGE
    # A copy sent later than this would miss the objective even at an idle upstream.
    latest_s = objective_s - expected_s
    if latest_s > expected_s > 0:
        send_delay_s = min(send_delay_s, latest_s)
    if not can_check:
        return HedgeTimes(None, send_delay_s)
    duration_s = expected_s or objective_s * UNKNOWN_DURATION_CHECK_RATIO
    check_delay_s = max(MIN_CHECK_DURATIONS * duration_s, min(duration_s, latest_s))
    return HedgeTimes(min(check_delay_s, send_delay_s), send_delay_s)
