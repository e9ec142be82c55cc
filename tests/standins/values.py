"""Values that other writers may put into a field, for tests."""

from __future__ import annotations

from typing import Any

MAX_NAME_CHARS = 40


def nest(depth: int) -> list:
    """Return empty lists nested in each other."""
    value: list = []
    for _ in range(depth):
        value = [value]
    return value


def describe(value: Any) -> str:
    """Return a short name of a value, for the name of a test."""
    try:
        text = value if isinstance(value, str) and value.isprintable() else repr(value)
    except RecursionError:
        return "nested"
    if len(text) <= MAX_NAME_CHARS:
        return text
    return f"{text[:MAX_NAME_CHARS]}...{len(text)}"


# Values that msgpack cannot encode.
UNENCODABLE = ["hu\ud83d", 2**64, -(2**63) - 1, nest(1_100), frozenset()]
