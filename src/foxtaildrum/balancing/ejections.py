"""What the result of an attempt says about its upstream, and when the upstream is ejected."""

from __future__ import annotations

from ..requests.steps import AttemptResult
from .backoff import compute_pause
from .candidates import PoolLoad, UpstreamLoad

EJECT_AFTER_FAILURES = 5
EJECT_BASE_S = 1.0
EJECT_MAX_S = 30.0
MAX_FAILURE_LEVEL = 16.0
SHED_EJECT_BASE_S = 0.05
SHED_EJECT_MAX_S = 2.0
# Weight of a new value in an exponential moving average.
SERVICE_TIME_WEIGHT = 0.2


def record_result(
    now: float,
    upstream: UpstreamLoad,
    load: PoolLoad,
    result: AttemptResult,
    held_s: float,
    sends_checks: bool,
) -> None:
    """Record the result of an attempt, and eject the upstream for some of them.

    Parameters
    ----------
    load : PoolLoad
        Averages over the pool.
    held_s : float
        Time that the attempt held its slot, in seconds.
    sends_checks : bool
        Whether status checks are sent, one of which an unreachable upstream must answer.
    """
    if result is AttemptResult.OK:
        upstream.failures = 0
        upstream.sheds = 0
        upstream.unanswered_checks = 0
        upstream.ejections = 0
        upstream.failure_level *= 0.5
        upstream.service_s += (held_s - upstream.service_s) * SERVICE_TIME_WEIGHT
        load.record_service_time(held_s)
        return
    if result is AttemptResult.CANCELLED:
        return
    if result is AttemptResult.SHED:
        pause_s = compute_pause(upstream.sheds, SHED_EJECT_BASE_S, SHED_EJECT_MAX_S)
        upstream.sheds += 1
        upstream.ejected_until = max(upstream.ejected_until, now + pause_s)
        return
    upstream.failures += 1
    upstream.failure_level = min(MAX_FAILURE_LEVEL, upstream.failure_level + 1.0)
    upstream.failed_at = now
    if result is AttemptResult.UNREACHABLE or upstream.failures >= EJECT_AFTER_FAILURES:
        pause_s = compute_pause(upstream.ejections, EJECT_BASE_S, EJECT_MAX_S)
        upstream.ejections += 1
        if result is AttemptResult.UNREACHABLE and sends_checks:
            upstream.unanswered_checks += 1
        upstream.ejected_until = now + pause_s
