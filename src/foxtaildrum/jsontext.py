"""Strict reading of JSON that callers of the admin interface send."""

from __future__ import annotations

import codecs
import json
import math
from collections.abc import Iterator
from typing import Any

MAX_DEPTH = 64
MAX_DIGITS = 400
MAX_NAMED_CHARS = 100


class _Reader:
    """Builds the values of one text, and notes whether some need a closer look.

    Attributes
    ----------
    found_odd : bool
        Whether a number was read that is not finite.
    """

    def __init__(self) -> None:
        self.found_odd = False

    def read_constant(self, text: str) -> float:
        """Return NaN or an infinity, which Python reads and JSON does not have."""
        self.found_odd = True
        return float(text)

    def read_float(self, text: str) -> float:
        """Return a number with a fraction or an exponent."""
        number = float(text)
        self.found_odd = self.found_odd or math.isinf(number)
        return number

    def read_int(self, text: str) -> int | float:
        """Return a whole number; infinity if it has too many digits."""
        if len(text) <= MAX_DIGITS:
            return int(text)
        self.found_odd = True
        return math.inf

    def read_object(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """Return an object; a repeated name is an error."""
        found = dict(pairs)
        if len(found) < len(pairs):
            names = [name for name, _ in pairs]
            repeated = next(name for name in names if names.count(name) > 1)
            raise ValueError(f"{repeated[:MAX_NAMED_CHARS]!r} occurs twice in one object")
        return found


def parse_json(data: bytes) -> Any:
    """Return the value of a JSON text in UTF-8.

    Raises
    ------
    ValueError
        If the text is no JSON, or has a value that no field can hold: nested too deeply, a
        number that is not finite, text that cannot be encoded. The message names the field.
    """
    text = data.removeprefix(codecs.BOM_UTF8).decode()
    reader = _Reader()
    try:
        value = json.loads(
            text,
            parse_constant=reader.read_constant,
            parse_float=reader.read_float,
            parse_int=reader.read_int,
            object_pairs_hook=reader.read_object,
        )
    except RecursionError:
        raise _build_depth_error() from None
    _check_depth(value)
    if reader.found_odd or "\\ud" in text.lower():
        for path, scalar in _list_scalars(value, ""):
            _check_scalar(path, scalar)
    return value


def _check_depth(value: Any) -> None:
    level = [value] if isinstance(value, dict | list) else []
    for _ in range(MAX_DEPTH):
        level = [
            item
            for holder in level
            for item in (holder.values() if type(holder) is dict else holder)
            if type(item) is dict or type(item) is list
        ]
        if not level:
            return
    raise _build_depth_error()


def _build_depth_error() -> ValueError:
    return ValueError(f"nested more than {MAX_DEPTH} levels deep")


def _list_scalars(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    """Return the names, texts and numbers in a value, each with its path."""
    if isinstance(value, dict):
        for name, item in value.items():
            yield path, name
            yield from _list_scalars(item, f"{path}.{name}" if path else name)
    elif isinstance(value, list):
        for number, item in enumerate(value):
            yield from _list_scalars(item, f"{path}[{number}]")
    else:
        yield path, value


def _check_scalar(path: str, scalar: Any) -> None:
    where = path[:MAX_NAMED_CHARS] or "the document"
    if isinstance(scalar, float) and not math.isfinite(scalar):
        raise ValueError(f"{where}: the number is not finite or too large")
    if isinstance(scalar, str) and not is_encodable(scalar):
        raise ValueError(f"{where}: the text cannot be encoded")


def is_encodable(text: str) -> bool:
    """Return whether a text can be encoded: it has no half of a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
