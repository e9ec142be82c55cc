"""Decimal numbers in headers."""

from __future__ import annotations

import re

_DECIMAL = re.compile(r"[+-]?(?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE][+-]?[0-9]+)?")
MAX_QUOTED_CHARS = 40


def parse_decimal(text: str) -> float:
    """Return a decimal number, which is infinite if it is too large for a float.

    Raises
    ------
    ValueError
        If the text is none. ``float`` alone also reads words such as ``infinity``, underscores
        and digits of other scripts.
    """
    if not _DECIMAL.fullmatch(text):
        raise ValueError(f"not a number: {text[:MAX_QUOTED_CHARS]!r}")
    return float(text)
