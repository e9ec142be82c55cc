"""Clock of an instance."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return the boot-time clock in seconds; it also counts time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
