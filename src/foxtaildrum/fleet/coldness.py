"""Cold periods of upstreams in the upstream list."""

from __future__ import annotations

from ..balancing.warmup import extends_period
from ..records import Announcement


def find_cold_end(
    now: float, announcement: Announcement, known: float | None, warmup_s: float | None
) -> float | None:
    """Return the time until which the list has an upstream as cold after an announcement.

    Parameters
    ----------
    known : float or None
        Time that the list has for this incarnation; None if it has none.
    warmup_s : float or None
        Time for which a new incarnation is cold if the announcement does not say, in seconds;
        None if the incarnation is not new.

    Returns
    -------
    float or None
        Time in seconds; None if nothing is known of a cold period.
    """
    left_ms = announcement.warmup_left_ms
    if warmup_s is not None:
        return now + (warmup_s if left_ms is None else left_ms / 1000)
    if not left_ms:
        return known
    until = now + left_ms / 1000
    return until if extends_period(known, until) else known
