"""Keeps a thread or an actor running after an unexpected error in one of its steps."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from .admin.metrics import Meter
from .logs import log_event


def run_isolated(part: str, meter: Meter, step: Callable[..., Any], *arguments: Any) -> bool:
    """Call ``step``; log and count an unexpected error, and return whether there was none.

    Parameters
    ----------
    part : str
        Name of the thread or actor, for the log.
    """
    try:
        step(*arguments)
    except Exception as error:
        meter.count("internal_errors")
        log_event("part_failed", level=logging.ERROR, part=part, reason=repr(error))
        return False
    return True
