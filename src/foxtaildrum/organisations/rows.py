"""Validation of the organisations table; no problem shows a value, which may be a key."""

from __future__ import annotations

from typing import Any

from ..exceptions import FieldError
from ..validation import find_unquoted_problems

TABLE = "organisations"


def find_organisation_problems(rows: Any) -> list[FieldError]:
    """Return every problem of the organisations table; each names its row and field."""
    if not isinstance(rows, list):
        return [FieldError(TABLE, "must be a list of rows")]
    problems: list[FieldError] = []
    for number, row in enumerate(rows):
        problems += find_unquoted_problems("Organisation", row, f"{TABLE}[{number}]")
    return problems + _find_duplicate_names(rows) + _find_shared_keys(rows)


def _find_duplicate_names(rows: list[Any]) -> list[FieldError]:
    first_rows: dict[str, int] = {}
    problems = []
    for number, row in _list_rows(rows):
        name = row.get("name")
        if not isinstance(name, str):
            continue
        first = first_rows.setdefault(name, number)
        if first != number:
            reason = f"duplicate name, as in row {first}"
            problems.append(FieldError(f"{TABLE}[{number}].name", reason))
    return problems


def _find_shared_keys(rows: list[Any]) -> list[FieldError]:
    first_rows: dict[str, int] = {}
    problems = []
    for number, row in _list_rows(rows):
        keys = row.get("keys")
        for position, key in enumerate(keys if isinstance(keys, list) else []):
            if not isinstance(key, str):
                continue
            if key in first_rows:
                reason = f"the key is also one of row {first_rows[key]}"
                field = f"{TABLE}[{number}].keys[{position}]"
                problems.append(FieldError(field, reason))
            first_rows.setdefault(key, number)
    return problems


def _list_rows(rows: list[Any]) -> list[tuple[int, dict[str, Any]]]:
    return [(number, row) for number, row in enumerate(rows) if isinstance(row, dict)]
