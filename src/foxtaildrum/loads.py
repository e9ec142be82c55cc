"""Load that upstreams report on their answers."""

from __future__ import annotations

import json
from collections.abc import Mapping

MAX_REPORTED_SLOTS = 1e6


def parse_slots_in_use(headers: Mapping[str, str] | list[tuple[str, str]]) -> float | None:
    """Return the slots in use that an answer reports, or None.

    Reads the JSON and TEXT forms of ``endpoint-load-metrics``.
    """
    for name, value in headers:
        if name.lower() == "endpoint-load-metrics":
            return _parse_metrics(value)
    return None


def _parse_metrics(value: str) -> float | None:
    form, _, text = value.strip().partition(" ")
    try:
        if form.upper() == "JSON":
            number = float(json.loads(text)["named_metrics"]["slots_in_use"])
        elif form.upper() == "TEXT":
            number = _parse_text_metrics(text)
        else:
            return None
    except (ValueError, KeyError, TypeError):
        return None
    return number if 0 <= number < MAX_REPORTED_SLOTS else None


def _parse_text_metrics(text: str) -> float:
    for item in text.split(","):
        name, _, number = item.strip().partition("=")
        if name == "named_metrics.slots_in_use":
            return float(number)
    raise KeyError("named_metrics.slots_in_use")
