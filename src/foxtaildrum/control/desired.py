"""Desired state: the tables and the limits, replaced as a whole.

The operator numbers each desired state; the one with the highest number is in force.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

from ..exceptions import FieldError, InvalidTableError
from ..organisations.rows import find_organisation_problems
from ..validation import find_problems
from .tables import (
    ORGANISATIONS,
    TABLE_NAMES,
    ChangeResult,
    Table,
    Tables,
    find_reference_problems,
    find_table_problems,
)

MAX_NUMBER = 2**63 - 1

ACCEPTED = "accepted"
SUPERSEDED = "superseded"
CONFLICT = "conflict"
REBASED = "rebased"  # the patch must be built again, against the tables in force

_FIELDS = ("version", "routes", "pools", ORGANISATIONS, "limits")


class DesiredState:
    """Complete content of the tables and the limits, numbered by the operator.

    Parameters
    ----------
    number : int
        Number of the desired state; the highest number is in force.
    rows : dict
        Rows of each table by its name; without organisations if the document has none.
    limits : dict
        Fields of ``Limits`` that the operator set.
    """

    __slots__ = ("limits", "number", "rows")

    def __init__(
        self, number: int, rows: dict[str, list[dict[str, Any]]], limits: dict[str, Any]
    ) -> None:
        self.number = number
        self.rows = rows
        self.limits = limits

    @classmethod
    def from_document(cls, value: Any) -> DesiredState:
        """Build a desired state from a decoded document.

        Raises
        ------
        InvalidTableError
            With every problem of the document.
        """
        if not isinstance(value, dict):
            raise InvalidTableError("invalid tables", [FieldError("body", "must be an object")])
        problems = _find_document_problems(value)
        rows = {name: value.get(name) for name in TABLE_NAMES}
        for name in TABLE_NAMES:
            problems += find_table_problems(name, rows[name])
        problems += find_reference_problems(rows["routes"], rows["pools"])
        if ORGANISATIONS in value:
            rows[ORGANISATIONS] = value[ORGANISATIONS]
            problems += find_organisation_problems(rows[ORGANISATIONS])
        limits = value.get("limits", {})
        problems += find_problems("Limits", limits, "limits")
        if problems:
            raise InvalidTableError("invalid tables", problems)
        return cls(value["version"], rows, limits)

    def compute_digest(self) -> str:
        """Return a digest of the content; the number is not included."""
        text = json.dumps([self.rows, self.limits], sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()

    def to_wire(self) -> list[Any]:
        """Return the desired state as a list that msgpack can encode."""
        return [self.number, self.rows, self.limits]

    @classmethod
    def from_wire(cls, fields: list[Any]) -> DesiredState:
        """Build a desired state from the list made by :meth:`to_wire`."""
        return cls(*fields)


class DesiredPatch:
    """Difference between a desired state and the one in force.

    Parameters
    ----------
    base : int
        Number of the desired state that the patch was built against.
    tables : dict
        For each table the rows to add or replace, the names to remove and the order of
        the names. The order is None when merging the rows already gives it. Without the
        organisations, these are no longer in force.
    """

    __slots__ = ("base", "digest", "limits", "number", "tables", "versions")

    def __init__(
        self,
        number: int,
        digest: str,
        base: int,
        versions: dict[str, int],
        tables: dict[str, list[Any]],
        limits: dict[str, Any],
    ) -> None:
        self.number = number
        self.digest = digest
        self.base = base
        self.versions = versions
        self.tables = tables
        self.limits = limits

    def to_wire(self) -> list[Any]:
        """Return the patch as a list that msgpack can encode."""
        return [
            self.number,
            self.digest,
            self.base,
            self.versions,
            self.tables,
            self.limits,
        ]

    @classmethod
    def from_wire(cls, fields: list[Any]) -> DesiredPatch:
        """Build a patch from the list made by :meth:`to_wire`."""
        return cls(*fields)


def evaluate_number(tables: Tables, number: int, digest: str) -> ChangeResult | None:
    """Return the result for a number up to the one in force, or None for a higher one."""
    in_force = tables.desired_number
    if number > in_force:
        return None
    if number == in_force and digest != tables.desired_digest:
        return ChangeResult(CONFLICT, in_force, _format_change_id(in_force), [])
    verdict = ACCEPTED if number == in_force else SUPERSEDED
    return ChangeResult(verdict, in_force, _format_change_id(in_force), [])


def build_patch(tables: Tables, desired: DesiredState) -> DesiredPatch:
    """Return the patch that changes ``tables`` into the desired state."""
    table_patches = {}
    for name, rows in desired.rows.items():
        current = tables.tables.get(name)
        current_rows = current.rows if current is not None else {}
        desired_rows = {row["name"]: row for row in rows}
        upserts = [row for row in desired_rows.values() if current_rows.get(row["name"]) != row]
        removals = [row_name for row_name in current_rows if row_name not in desired_rows]
        order: list[str] | None = list(desired_rows)
        if list(_merge_rows(current_rows, upserts, removals)) == order:
            order = None
        table_patches[name] = [upserts, removals, order]
    return DesiredPatch(
        desired.number,
        desired.compute_digest(),
        tables.desired_number,
        _list_versions(tables),
        table_patches,
        desired.limits,
    )


def apply_patch(tables: Tables, patch: DesiredPatch) -> ChangeResult:
    """Apply a patch and return its result; deterministic on every replica."""
    earlier_result = evaluate_number(tables, patch.number, patch.digest)
    if earlier_result is not None:
        return earlier_result
    if patch.base != tables.desired_number or patch.versions != _list_versions(tables):
        return ChangeResult(REBASED, tables.desired_number, "", [])
    changed_by = _format_change_id(patch.number)
    for name in TABLE_NAMES:
        table = tables.tables[name]
        rows = _build_rows(table.rows, patch.tables[name])
        if rows is not None:
            tables.tables[name] = Table(rows, table.version + 1, changed_by)
    _apply_organisations(tables, patch, changed_by)
    tables.desired_number = patch.number
    tables.desired_digest = patch.digest
    tables.limits = patch.limits
    return ChangeResult(ACCEPTED, patch.number, _format_change_id(patch.number), [])


def describe_desired(tables: Tables) -> dict[str, Any]:
    """Return the desired state in force as a document."""
    document: dict[str, Any] = {"version": tables.desired_number}
    for name in TABLE_NAMES:
        document[name] = tables.tables[name].list_rows()
    organisations = tables.get_organisations()
    if organisations is not None:
        document[ORGANISATIONS] = organisations.list_rows()
    if tables.limits:
        document["limits"] = tables.limits
    return document


def _list_versions(tables: Tables) -> dict[str, int]:
    return {name: table.version for name, table in tables.tables.items()}


def _apply_organisations(tables: Tables, patch: DesiredPatch, changed_by: str) -> None:
    changes = patch.tables.get(ORGANISATIONS)
    if changes is None:
        tables.tables.pop(ORGANISATIONS, None)
        return
    table = tables.get_organisations()
    if table is None and tables.is_set:
        tables.organisations_since = patch.number
    tables.had_organisations = True
    rows = _build_rows({} if table is None else table.rows, changes)
    if table is None or rows is not None:
        # The version is the number of the desired state. A count of changes would begin again
        # after the table was left out, and give two contents the same version.
        tables.tables[ORGANISATIONS] = Table(rows or {}, patch.number, changed_by)


def _build_rows(
    current_rows: dict[str, dict[str, Any]], changes: list[Any]
) -> dict[str, dict[str, Any]] | None:
    """Return the rows of a table after the changes; None if they change nothing."""
    upserts, removals, order = changes
    rows = _merge_rows(current_rows, upserts, removals)
    if order is None:
        return rows if rows != current_rows else None
    return {name: rows[name] for name in order}


def _merge_rows(
    current_rows: dict[str, dict[str, Any]], upserts: list[dict[str, Any]], removals: list[str]
) -> dict[str, dict[str, Any]]:
    removed = set(removals)
    rows = {name: row for name, row in current_rows.items() if name not in removed}
    rows |= {row["name"]: row for row in upserts}
    return rows


def _format_change_id(number: int) -> str:
    return f"version-{number}" if number else ""


def _find_document_problems(value: dict[str, Any]) -> list[FieldError]:
    problems = [FieldError(str(name), "unknown field") for name in value if name not in _FIELDS]
    number = value.get("version")
    is_number = isinstance(number, int) and not isinstance(number, bool)
    if not is_number or not 0 < number <= MAX_NUMBER:
        problems.append(FieldError("version", "must be a positive integer"))
    return problems
