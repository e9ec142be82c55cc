"""Tables of the deployment: validation of routes and pools, and versioned changes."""

from __future__ import annotations

import hashlib
import json
from collections import OrderedDict
from typing import Any

from ..balancing.policies import list_policies
from ..exceptions import FieldError, InvalidTableError
from ..records import Organisation, Pool, Route, Share
from ..validation import find_problems
from .evacuations import Evacuations

TABLE_NAMES = ("routes", "pools")
# This table is optional and only part of a desired state; see the module desired.
ORGANISATIONS = "organisations"
REMEMBERED_CHANGES = 4096
MAX_REMEMBERED_PROBLEMS = 20
EVACUATIONS_FIELD = 3  # position among the fields of the captured state
ORGANISATIONS_FIELD = 4  # there only if the tables don't tell when organisations were in force

_RECORDS = {"routes": "Route", "pools": "Pool"}
_TYPES = {"routes": Route, "pools": Pool}


class Change:
    """A proposed replacement of one table.

    Parameters
    ----------
    table : str
        ``routes`` or ``pools``.
    rows : list of dict
        Complete content of the table.
    if_version : int
        Version that the change is based on; another version in force makes it stale.
    change_id : str
        Identifier that makes a resent change idempotent.
    first : bool
        Whether the operator sends this identifier for the first time. Only then does a
        failure to propose the change mean that it was not accepted.
    """

    __slots__ = ("change_id", "first", "if_version", "rows", "table")

    def __init__(
        self,
        table: str,
        rows: list[dict[str, Any]],
        if_version: int,
        change_id: str,
        first: bool,
    ) -> None:
        self.first = first
        self.table = table
        self.rows = rows
        self.if_version = if_version
        self.change_id = change_id

    def compute_digest(self) -> str:
        """Return a digest of the content, used to detect a reused identifier."""
        text = json.dumps([self.table, self.rows, self.if_version], sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()

    def to_wire(self) -> list[Any]:
        """Return the change as a list that msgpack can encode."""
        return [self.table, self.rows, self.if_version, self.change_id, self.first]

    @classmethod
    def from_wire(cls, fields: list[Any]) -> Change:
        """Build a change from the list made by :meth:`to_wire`."""
        return cls(*fields)


class Patch:
    """Rows that a change adds, replaces and removes.

    Only the rows that differ are sent to the instances and written to the logs.

    Parameters
    ----------
    digest : str
        Digest of the whole change.
    upserts : list of dict
        Rows that are new or different.
    removals : list of str
        Names of the rows to remove.
    """

    __slots__ = ("change_id", "digest", "if_version", "removals", "table", "upserts")

    def __init__(
        self,
        table: str,
        if_version: int,
        change_id: str,
        digest: str,
        upserts: list[dict[str, Any]],
        removals: list[str],
    ) -> None:
        self.table = table
        self.if_version = if_version
        self.change_id = change_id
        self.digest = digest
        self.upserts = upserts
        self.removals = removals

    def to_wire(self) -> list[Any]:
        """Return the patch as a list that msgpack can encode."""
        return [
            self.table,
            self.if_version,
            self.change_id,
            self.digest,
            self.upserts,
            self.removals,
        ]

    @classmethod
    def from_wire(cls, fields: list[Any]) -> Patch:
        """Build a patch from the list made by :meth:`to_wire`."""
        return cls(*fields)


class ChangeResult:
    """Answer to a change, stored under its change identifier.

    Parameters
    ----------
    verdict : str
        ``accepted``, ``stale``, ``invalid`` or ``reused``.
    version : int
        Version of the table after the change was applied or refused.
    changed_by : str
        Identifier of the change that produced ``version``.
    problems : list of dict
        Problems of an invalid table.
    """

    __slots__ = ("changed_by", "problems", "verdict", "version")

    def __init__(
        self, verdict: str, version: int, changed_by: str, problems: list[dict[str, str]]
    ) -> None:
        self.verdict = verdict
        self.version = version
        self.changed_by = changed_by
        self.problems = problems

    def to_wire(self) -> list[Any]:
        """Return the result as a list that msgpack can encode."""
        return [self.verdict, self.version, self.changed_by, self.problems]


class Table:
    """One versioned table.

    Attributes
    ----------
    rows : dict
        Rows by name, in the order in which they were added.
    version : int
        Number of accepted changes; for the organisations the number of the desired state
        that changed them last.
    changed_by : str
        Identifier of the change that produced ``version``.
    """

    __slots__ = ("changed_by", "rows", "version")

    def __init__(self, rows: dict[str, dict[str, Any]], version: int, changed_by: str) -> None:
        self.rows = rows
        self.version = version
        self.changed_by = changed_by

    def list_rows(self) -> list[dict[str, Any]]:
        """Return the rows in order."""
        return list(self.rows.values())


class Tables:
    """The tables, the answers to past changes, and the evacuated zones.

    Deterministic: equal sequences of patches give equal states on every replica.

    Attributes
    ----------
    had_organisations : bool
        Whether organisations are in force or have been: callers may still send their keys.
    organisations_since : int
        Number of the desired state that brought organisations into force in place of one
        without them; 0 if none did.
    tables : dict
        Tables by name. That of the organisations is there only while the desired state in
        force has it, be it empty.
    """

    __slots__ = (
        "desired_digest",
        "desired_number",
        "evacuations",
        "had_organisations",
        "limits",
        "organisations_since",
        "remembered_answers",
        "tables",
    )

    def __init__(self) -> None:
        self.evacuations = Evacuations()
        self.had_organisations = False
        self.organisations_since = 0
        self.desired_number = 0
        self.desired_digest = ""
        self.limits: dict[str, Any] = {}
        self.tables = {name: Table({}, 0, "") for name in TABLE_NAMES}
        self.remembered_answers: OrderedDict[str, tuple[str, ChangeResult]] = OrderedDict()

    @property
    def is_set(self) -> bool:
        """Whether an operator has set the routes, be it to none."""
        return self.desired_number > 0 or self.tables["routes"].version > 0

    def build_patch(self, change: Change) -> Patch:
        """Return the patch of a validated change against the tables in force.

        With a stale version the patch is empty; the result of applying it names the change
        that is in force.
        """
        table = self.tables[change.table]
        patch = Patch(
            change.table, change.if_version, change.change_id, change.compute_digest(), [], []
        )
        if change.if_version != table.version:
            return patch
        names = {row["name"] for row in change.rows}
        patch.upserts = [r for r in change.rows if table.rows.get(r["name"]) != r]
        patch.removals = [name for name in table.rows if name not in names]
        return patch

    def find_answer(self, change: Change) -> ChangeResult | None:
        """Return the stored answer to a resent change, or None for a new change."""
        remembered = self.remembered_answers.get(change.change_id)
        if remembered is None:
            return None
        return self._answer_repeat(change.table, change.compute_digest(), remembered)

    def apply_patch(self, patch: Patch) -> ChangeResult:
        """Apply a patch and return its answer; a repeated patch only gets the stored answer."""
        remembered = self.remembered_answers.get(patch.change_id)
        if remembered is not None:
            return self._answer_repeat(patch.table, patch.digest, remembered)
        result = self._apply_new_patch(patch)
        self.remembered_answers[patch.change_id] = (patch.digest, result)
        while len(self.remembered_answers) > REMEMBERED_CHANGES:
            self.remembered_answers.popitem(last=False)
        return result

    def list_routes(self) -> list[Route]:
        """Return the rows of the routes table."""
        return [_build_route(row) for row in self.tables["routes"].rows.values()]

    def list_pools(self) -> list[Pool]:
        """Return the rows of the pools table."""
        return [Pool(**row) for row in self.tables["pools"].rows.values()]

    def get_organisations(self) -> Table | None:
        """Return the organisations table; None while organisations are not in force."""
        return self.tables.get(ORGANISATIONS)

    def list_organisations(self) -> list[Organisation]:
        """Return the organisations in force, without their keys; empty if none are."""
        table = self.get_organisations()
        rows = [] if table is None else table.list_rows()
        return [Organisation(**{**row, "keys": []}) for row in rows]

    def to_wire(self, with_answers: bool) -> list[Any]:
        """Return the state as a list that msgpack can encode.

        Builds that don't know evacuations read the first three fields only, and those that
        don't know when organisations were in force the first four.

        Parameters
        ----------
        with_answers : bool
            Whether the answers to past changes are included.
        """
        tables = [[n, t.list_rows(), t.version, t.changed_by] for n, t in self.tables.items()]
        desired = [self.desired_number, self.desired_digest, self.limits]
        evacuations = self.evacuations.to_wire()
        remembered_answers = []
        if with_answers:
            remembered_answers = [
                [i, d, r.to_wire()] for i, (d, r) in self.remembered_answers.items()
            ]
        fields = [tables, remembered_answers, desired, evacuations]
        were_removed = self.had_organisations and ORGANISATIONS not in self.tables
        if were_removed or self.organisations_since:
            fields.append([self.had_organisations, self.organisations_since])
        return fields

    @classmethod
    def from_wire(cls, fields: list[Any]) -> Tables:
        """Build the state from the list made by :meth:`to_wire`.

        A list of a build that doesn't know evacuations has none.
        """
        state = cls()
        for name, rows, version, changed_by in fields[0]:
            state.tables[name] = Table({r["name"]: r for r in rows}, version, changed_by)
        for change_id, digest, result in fields[1]:
            state.remembered_answers[change_id] = (digest, ChangeResult(*result))
        state.desired_number, state.desired_digest, state.limits = fields[2]
        if len(fields) > EVACUATIONS_FIELD:
            state.evacuations = Evacuations.from_wire(fields[EVACUATIONS_FIELD])
        state.had_organisations = ORGANISATIONS in state.tables
        if len(fields) > ORGANISATIONS_FIELD:
            state.had_organisations, state.organisations_since = fields[ORGANISATIONS_FIELD]
        return state

    def _answer_repeat(
        self, table_name: str, digest: str, remembered: tuple[str, ChangeResult]
    ) -> ChangeResult:
        if remembered[0] == digest:
            return remembered[1]
        table = self.tables[table_name]
        return ChangeResult("reused", table.version, table.changed_by, [])

    def _apply_new_patch(self, patch: Patch) -> ChangeResult:
        table = self.tables[patch.table]
        if patch.if_version != table.version:
            return ChangeResult("stale", table.version, table.changed_by, [])
        rows = {n: r for n, r in table.rows.items() if n not in patch.removals}
        rows |= {row["name"]: row for row in patch.upserts}
        merged = {n: t.rows for n, t in self.tables.items()} | {patch.table: rows}
        try:
            check_references(merged["routes"], merged["pools"])
        except InvalidTableError as error:
            problems = error.list_problems(MAX_REMEMBERED_PROBLEMS)
            return ChangeResult("invalid", table.version, table.changed_by, problems)
        self.tables[patch.table] = Table(rows, table.version + 1, patch.change_id)
        return ChangeResult("accepted", table.version + 1, patch.change_id, [])


def check_table(table: str, rows: Any) -> None:
    """Validate the rows of one table.

    Raises
    ------
    InvalidTableError
        With every problem; each names its row and field.
    """
    problems = find_table_problems(table, rows)
    if problems:
        raise InvalidTableError("invalid table", problems)


def find_table_problems(table: str, rows: Any) -> list[FieldError]:
    """Return every problem of the rows of one table; each names its row and field."""
    if not isinstance(rows, list):
        return [FieldError(table, "must be a list of rows")]
    problems: list[FieldError] = []
    for number, row in enumerate(rows):
        problems += find_problems(_RECORDS[table], row, f"{table}[{number}]")
    problems += _find_duplicates(table, rows)
    if table == "pools":
        problems += _find_unknown_policies(rows)
    if table == "routes":
        problems += _find_duplicate_matches(rows)
        problems += _find_invalid_targets(rows)
    return problems


def check_references(
    routes: dict[str, dict[str, Any]], pools: dict[str, dict[str, Any]]
) -> None:
    """Check that each route names pools that exist.

    Raises
    ------
    InvalidTableError
        With every route that names a missing pool.
    """
    problems = find_reference_problems(list(routes.values()), list(pools.values()))
    if problems:
        raise InvalidTableError("invalid table", problems)


def find_reference_problems(routes: Any, pools: Any) -> list[FieldError]:
    """Return a problem for each missing pool that a route names."""
    if not isinstance(routes, list) or not isinstance(pools, list):
        return []
    pool_names = {row.get("name") for _, row in _list_rows(pools) if _is_text(row.get("name"))}
    problems = []
    for number, row in _list_rows(routes):
        for field, pool in _list_targets(row):
            if _is_text(pool) and pool not in pool_names:
                reason = f"pool {pool!r} does not exist"
                problems.append(FieldError(f"routes[{number}].{field}", reason))
    return problems


def _is_text(value: Any) -> bool:
    return isinstance(value, str)


def _list_targets(row: dict[str, Any]) -> list[tuple[str, Any]]:
    """Return the field and name of each pool that a route refers to."""
    targets = [("pool", row["pool"])] if row.get("pool") else []
    split = row.get("split")
    for number, share in enumerate(split if isinstance(split, list) else []):
        if isinstance(share, dict):
            targets.append((f"split[{number}].pool", share.get("pool")))
    return targets


def _find_invalid_targets(rows: list[Any]) -> list[FieldError]:
    problems = []
    for number, row in _list_rows(rows):
        split = row.get("split")
        if bool(row.get("pool")) == bool(split):
            reason = "must name either a pool or a split"
            problems.append(FieldError(f"routes[{number}].pool", reason))
        weights = [
            share.get("weight")
            for share in (split if isinstance(split, list) else [])
            if isinstance(share, dict)
        ]
        numbers = [w for w in weights if isinstance(w, int | float)]
        if split and len(numbers) == len(weights) and sum(numbers) <= 0:
            reason = "the weights must add up to more than 0"
            problems.append(FieldError(f"routes[{number}].split", reason))
    return problems


def _list_rows(rows: list[Any]) -> list[tuple[int, dict[str, Any]]]:
    return [(n, row) for n, row in enumerate(rows) if isinstance(row, dict)]


def _find_duplicates(table: str, rows: list[Any]) -> list[FieldError]:
    seen: set[str] = set()
    problems = []
    for number, row in _list_rows(rows):
        name = str(row.get("name"))
        if name in seen:
            problems.append(FieldError(f"{table}[{number}].name", f"duplicate name {name!r}"))
        seen.add(name)
    return problems


def _find_unknown_policies(rows: list[Any]) -> list[FieldError]:
    policy_names = list_policies()
    return [
        FieldError(f"pools[{number}].policy", f"{row['policy']!r} is not one of {policy_names}")
        for number, row in _list_rows(rows)
        if isinstance(row.get("policy"), str) and row["policy"] not in policy_names
    ]


def _find_duplicate_matches(rows: list[Any]) -> list[FieldError]:
    seen: dict[tuple[str, str, str], int] = {}
    problems = []
    for number, row in _list_rows(rows):
        methods = row.get("methods")
        for method in methods if isinstance(methods, list) and methods else [""]:
            key = (str(row.get("host", "")), str(row.get("path_prefix", "/")), str(method))
            first = seen.setdefault(key, number)
            if first != number:
                problems.append(
                    FieldError(f"routes[{number}]", f"matches the same requests as row {first}")
                )
    return problems


def _build_route(row: dict[str, Any]) -> Route:
    route = Route(**row)
    route.split = [Share(**share) for share in row.get("split", [])]
    return route
