"""Load reports in the responses of upstreams."""

from __future__ import annotations

import json
import math

from ..decimals import parse_decimal

# Whitespace that may surround the items of a header, RFC 9110, section 5.6.3.
_WHITESPACE = " \t"
MAX_REPORTED_SLOTS = 1e6
MAX_REPORTED_PACE = 1e3
MAX_RATE_LIMIT_PER_S = 1e6
RATE_LIMIT_TOLERANCE_RATIO = 0.05
MAX_REST_S = 600.0
MAX_WARMUP_S = 3600.0


class LoadReport:
    """Load of one upstream when it sent a response.

    Parameters
    ----------
    slots_in_use : float
        Requests that run or wait in the upstream.
    pace : float
        Current service time as a multiple of the normal one; 2 is twice as slow.
    """

    __slots__ = ("pace", "slots_in_use")

    def __init__(self, slots_in_use: float, pace: float = 1.0) -> None:
        self.slots_in_use = slots_in_use
        self.pace = pace


def parse_load_metrics(value: str) -> LoadReport | None:
    """Parse the JSON or TEXT form of ``endpoint-load-metrics``; return None if invalid."""
    form, _, text = value.strip(_WHITESPACE).partition(" ")
    try:
        if form.upper() == "JSON":
            number = _parse_json_metrics(text)
        elif form.upper() == "TEXT":
            number = _parse_text_metrics(text)
        else:
            return None
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None
    return LoadReport(number) if 0 <= number < MAX_REPORTED_SLOTS else None


def parse_load_figures(value: str) -> LoadReport | None:
    """Parse ``running,waiting,slots[,pace in percent]``; return None if invalid."""
    try:
        figures = [_parse_number(part) for part in value.split(",")]
    except ValueError:
        return None
    if len(figures) < 3 or not all(0 <= f < MAX_REPORTED_SLOTS for f in figures):
        return None
    pace = figures[3] / 100 if len(figures) > 3 else 1.0
    if not 0 < pace <= MAX_REPORTED_PACE:
        return None
    return LoadReport(figures[0] + figures[1], pace)


def parse_rate_limit(value: str | None) -> float | None:
    """Parse a limit in requests per second; return None if there is none or it is invalid."""
    try:
        limit_per_s = _parse_number(value or "")
    except ValueError:
        return None
    return limit_per_s if 0 <= limit_per_s < MAX_RATE_LIMIT_PER_S else None


def _parse_number(text: str) -> float:
    return parse_decimal(text.strip(_WHITESPACE))


def _parse_json_metrics(text: str) -> float:
    number = json.loads(text)["named_metrics"]["slots_in_use"]
    if isinstance(number, bool):
        raise TypeError("slots_in_use must be a number")
    return _parse_number(number) if isinstance(number, str) else float(number)


def _parse_text_metrics(text: str) -> float:
    for item in text.split(","):
        name, _, number = item.strip(_WHITESPACE).partition("=")
        if name == "named_metrics.slots_in_use":
            return _parse_number(number)
    raise KeyError("named_metrics.slots_in_use")


def parse_rest(value: str | None) -> float | None:
    """Return the seconds in which an upstream wants no request, or None if none are stated."""
    try:
        rest_s = _parse_number(value or "")
    except ValueError:
        return None
    if not 0 < rest_s < math.inf:
        return None
    return min(rest_s, MAX_REST_S)


def parse_warmup(value: str | None) -> float | None:
    """Return the seconds for which an upstream stays cold, from a header in milliseconds.

    None if the header is missing or invalid.
    """
    try:
        left_s = _parse_number(value or "") / 1000
    except ValueError:
        return None
    return min(left_s, MAX_WARMUP_S) if left_s >= 0 else None


def differs_notably(known: float | None, limit_per_s: float | None) -> bool:
    """Return whether a rate limit differs from the known one by more than a small ratio."""
    if known is None or limit_per_s is None:
        return known is not limit_per_s
    return abs(limit_per_s - known) > RATE_LIMIT_TOLERANCE_RATIO * known
