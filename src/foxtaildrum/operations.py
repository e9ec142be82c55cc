"""Commands with which operators read and change running instances and their tables."""

from __future__ import annotations

import argparse
import datetime
import json
import tomllib
import uuid
from pathlib import Path
from typing import Any

from .admin.client import AdminClient
from .admin.explain import explain_request, format_history
from .admin.objectives import merge_service_levels
from .admin.organisations import format_organisations
from .admin.report import format_report
from .commands import format_value, print_error, register_command
from .control.desired import ACCEPTED, DesiredState
from .control.tables import (
    ORGANISATIONS,
    TABLE_NAMES,
    check_references,
    check_table,
    find_table_problems,
)
from .exceptions import AdminRequestError, FieldError, InvalidTableError
from .exits import EXIT_FAILED, EXIT_OK
from .organisations.rows import find_organisation_problems
from .settings import read_secret


@register_command("get")
def run_get(arguments: argparse.Namespace) -> int:
    """Print a table as TOML."""
    rows, version = _build_client(arguments).get_table(arguments.table)
    print(f"# {arguments.table}, version {version}")
    print(format_table(arguments.table, rows), end="")
    return EXIT_OK


@register_command("apply")
def run_apply(arguments: argparse.Namespace) -> int:
    """Replace a table with the content of a file."""
    rows = read_table(arguments.file, arguments.table)
    check_table(arguments.table, rows)
    client = _build_client(arguments)
    version = arguments.if_version
    if version is None:
        _, version = client.get_table(arguments.table)
    change_id = arguments.change_id or uuid.uuid4().hex
    try:
        first_submission = not arguments.change_id
        print(client.put_table(arguments.table, rows, version, change_id, first_submission))
    except AdminRequestError as error:
        raise AdminRequestError(
            error.status,
            f"{error.detail}\nto retry, add --if-version {version} --change-id {change_id}",
        ) from error
    return EXIT_OK


@register_command("get_tables")
def run_get_tables(arguments: argparse.Namespace) -> int:
    """Print the tables and the limits as TOML."""
    document = _build_client(arguments).get_tables()
    print(format_desired_state(document), end="")
    return EXIT_OK


@register_command("apply_tables")
def run_apply_tables(arguments: argparse.Namespace) -> int:
    """Replace the tables and the limits with the content of a file."""
    document = read_desired_state(arguments.file)
    if arguments.version is not None:
        document["version"] = arguments.version
    DesiredState.from_document(document)
    verdict, version = _build_client(arguments).put_tables(document)
    print(version)
    if verdict != ACCEPTED:
        print_error(
            f"version {document['version']} changes nothing: version {version} is in force"
        )
    return EXIT_OK


def read_desired_state(path: str) -> dict[str, Any]:
    """Read the desired state from a TOML file.

    Raises
    ------
    InvalidTableError
        When the file is not valid TOML.
    """
    try:
        return tomllib.loads(Path(path).read_text("utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidTableError("invalid file", [FieldError(path, str(error))]) from error


def format_desired_state(document: dict[str, Any]) -> str:
    """Return a desired state as TOML."""
    blocks = [f"version = {document['version']}\n"]
    organisations = document.get(ORGANISATIONS)
    if organisations == []:
        # Without rows there is no block that shows that organisations are in force.
        blocks.append(f"{ORGANISATIONS} = []\n")
    limits = document.get("limits", {})
    if limits:
        lines = [f"{name} = {json.dumps(value)}" for name, value in limits.items()]
        blocks.append("\n".join(["[limits]", *lines]) + "\n")
    blocks += [format_table(name, document[name]) for name in TABLE_NAMES]
    if organisations:
        blocks.append(format_table(ORGANISATIONS, organisations))
    return "\n".join(blocks)


@register_command("list_zones")
def run_list_zones(arguments: argparse.Namespace) -> int:
    """Print the availability zones."""
    zones = _build_client(arguments).get_zones()
    print("\n".join(map(format_zone, zones)))
    return EXIT_OK


@register_command("evacuate_zone")
def run_evacuate_zone(arguments: argparse.Namespace) -> int:
    """Order that nothing more be sent to the upstreams in a zone."""
    _build_client(arguments).evacuate_zone(arguments.zone)
    return EXIT_OK


@register_command("restore_zone")
def run_restore_zone(arguments: argparse.Namespace) -> int:
    """Withdraw the order to evacuate a zone."""
    _build_client(arguments).restore_zone(arguments.zone)
    return EXIT_OK


def format_zone(zone: dict[str, Any]) -> str:
    """Return a zone as a line of text."""
    state = "in use"
    if zone["evacuated"]:
        since = datetime.datetime.fromtimestamp(zone["since"], datetime.UTC)
        state = f"evacuated since {since:%Y-%m-%dT%H:%M:%SZ}"
    return f"{zone['zone']}: {state}; upstreams: {', '.join(zone['upstreams']) or '-'}"


@register_command("check")
def run_check(arguments: argparse.Namespace) -> int:
    """Validate table files; with both tables, also the references between them."""
    problems: list[Exception] = []
    tables: dict[str, list[dict[str, Any]]] = {}
    for path in arguments.files:
        for name, rows in read_tables(path).items():
            found = _find_problems(name, rows)
            problems += [FieldError(f"{path}: {p.field}", p.reason) for p in found]
            if not found:
                tables[name] = rows
    if all(name in tables for name in TABLE_NAMES):
        try:
            check_references(*({r["name"]: r for r in tables[n]} for n in TABLE_NAMES))
        except InvalidTableError as error:
            problems += error.exceptions
    if problems:
        raise InvalidTableError("invalid tables", problems)
    print("ok: " + ", ".join(f"{len(rows)} {name}" for name, rows in tables.items()))
    return EXIT_OK


@register_command("explain")
def run_explain(arguments: argparse.Namespace) -> int:
    """Print what the logs of several instances say about one request."""
    logs = {path: Path(path).read_text("utf-8", "replace") for path in arguments.files}
    history = explain_request(arguments.request_id, logs)
    print("\n".join(format_history(history)))
    return EXIT_OK if history.lines else EXIT_FAILED


@register_command("status")
def run_status(arguments: argparse.Namespace) -> int:
    """Show the state of an instance."""
    status = _build_client(arguments).get_status()
    if arguments.format == "json":
        print(json.dumps(status, indent=2))
    else:
        print("\n".join(format_status_lines(status)))
    return EXIT_OK


@register_command("organisations_list")
def run_organisations_list(arguments: argparse.Namespace) -> int:
    """Print the organisations and their requests at each of the given instances."""
    is_complete = True
    for address in arguments.admin.split(","):
        try:
            document = _build_client(arguments, address).get_organisations()
        except AdminRequestError as error:
            is_complete = False
            print(f"{address}: {error}")
            continue
        if arguments.format == "json":
            print(json.dumps(document, indent=2))
        else:
            print("\n".join(format_organisations(document)))
    return EXIT_OK if is_complete else EXIT_FAILED


@register_command("versions")
def run_versions(arguments: argparse.Namespace) -> int:
    """Print which code each of the given instances runs."""
    is_complete = True
    for address in arguments.admin.split(","):
        try:
            status = _build_client(arguments, address).get_status()
            print(f"{address} {status['instance']} {format_code(status)}")
        except AdminRequestError as error:
            is_complete = False
            print(f"{address} - {error}")
    return EXIT_OK if is_complete else EXIT_FAILED


@register_command("report")
def run_report(arguments: argparse.Namespace) -> int:
    """Print the burn rates of each route, summed over the given instances."""
    by_route: dict[str, list[dict[str, Any]]] = {}
    for address in arguments.admin.split(","):
        for level in _build_client(arguments, address).get_report():
            by_route.setdefault(level["route"], []).append(level)
    levels = [merge_service_levels(documents) for documents in by_route.values()]
    print(format_report(levels, arguments.format), end="")
    return EXIT_OK


def read_tables(path: str) -> dict[str, Any]:
    """Read the tables from a TOML file.

    Raises
    ------
    InvalidTableError
        When the file is not valid TOML, has an unknown table or has no table.
    """
    try:
        document = tomllib.loads(Path(path).read_text("utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidTableError("invalid file", [FieldError(path, str(error))]) from error
    unknown = [
        FieldError(f"{path}: {name}", "unknown table; expected routes, pools or organisations")
        for name in document
        if name not in (*TABLE_NAMES, ORGANISATIONS)
    ]
    if unknown:
        raise InvalidTableError("invalid file", unknown)
    if not document:
        raise InvalidTableError("invalid file", [FieldError(path, "contains no table")])
    return document


def _find_problems(name: str, rows: Any) -> list[FieldError]:
    if name == ORGANISATIONS:
        return find_organisation_problems(rows)
    return find_table_problems(name, rows)


def read_table(path: str, name: str) -> Any:
    """Read the rows of one table from a TOML file."""
    tables = read_tables(path)
    if name not in tables:
        raise InvalidTableError("invalid file", [FieldError(path, f"contains no {name} table")])
    return tables[name]


def format_table(name: str, rows: list[dict[str, Any]]) -> str:
    """Return a table as TOML."""
    blocks = []
    for row in rows:
        lines = [f"[[{name}]]"]
        lines += [f"{k} = {format_value(v)}" for k, v in row.items() if v is not None]
        blocks.append("\n".join(lines) + "\n")
    return "\n".join(blocks)


def format_status_lines(status: dict[str, Any]) -> list[str]:
    """Return the status document as text lines."""
    ready = "ready" if status["ready"] else "unready: " + "; ".join(status["unready_reasons"])
    age_s = status["table_age_s"]
    age = "unknown" if age_s is None else f"{age_s:.1f} s"
    lines = [
        f"instance {status['instance']} ({status['role']}, "
        f"zone {status['availability_zone']}): {ready}",
        f"code: {format_code(status)}",
        f"tables: index {status['table_index']}, age {age}",
    ]
    for name, table in status["tables"].items():
        lines.append(
            f"  {name}: version {table['version']}, {table['rows']} rows, "
            f"changed by {table['changed_by'] or '-'}"
        )
    organisations = status.get("organisations")
    if organisations:
        service = (
            "served" if organisations["serves_keys"] else "refused: the tables are too old"
        )
        lines.append(f"organisations: requests with keys are {service}")
    control = status.get("control")
    if control:
        lines.append(
            f"control: {control['role']}, term {control['term']}, "
            f"leader {control['leader'] or '-'}, commit {control['commit_index']}, "
            f"disk {'admitted' if control['disk_admitted'] else 'not admitted'}, "
            f"{control['claims']} claims"
            f"{'' if control['claims_recovered'] else ', not recovered'}"
        )
    lines += [
        f"zone {e['zone']}: evacuated, {'applied' if e['applied'] else 'being applied'} here"
        for e in status.get("evacuations", [])
    ]
    lines.append("members:")
    lines += [
        f"  {m['instance']}: {m['state']}, {m['role']}, zone {m['availability_zone']}"
        for m in status["members"]
    ]
    for pool in status["pools"]:
        lines.append(
            f"pool {pool['pool']}: policy {pool['policy']}, {pool['waiting']} waiting, "
            f"mean service {pool['mean_service_ms']:.1f} ms"
        )
        lines += [
            f"  {u['upstream']}: {u['state']}{', ejected' if u['ejected'] else ''}"
            f"{', evacuated' if u.get('evacuated') else ''}, "
            f"{u['in_flight']}/{u['slots']} slots"
            for u in pool["upstreams"]
        ]
    return lines


def format_code(status: dict[str, Any]) -> str:
    """Return the version and the digest of the code of an instance.

    Instances of earlier builds don't tell it.
    """
    code = status.get("code")
    return f"{code['version']} {code['digest']}" if code else "unknown"


def _build_client(arguments: argparse.Namespace, address: str = "") -> AdminClient:
    token = read_secret(arguments.operator_token_file).decode()
    return AdminClient(address or arguments.admin, token)
