"""Pauses that double with each failure in a row."""

from __future__ import annotations

# More doublings exceed any pause; 2.0 to a much higher power overflows.
MAX_DOUBLINGS = 64


def compute_pause(count: int, base_s: float, max_s: float) -> float:
    """Return the pause after some failures in a row, in seconds.

    Parameters
    ----------
    count : int
        Number of earlier failures in a row, of which each doubles the pause.
    base_s : float
        Pause after the first failure, in seconds.
    max_s : float
        Longest pause, in seconds.
    """
    return min(max_s, base_s * 2.0 ** min(count, MAX_DOUBLINGS))
