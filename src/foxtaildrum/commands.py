"""Parser of the command line, and the registry of the functions that run the commands."""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Callable, Sequence
from typing import Any

from .control.tables import TABLE_NAMES
from .exits import EXIT_CONFLICT, EXIT_FAILED, EXIT_OK, EXIT_USAGE
from .settings import add_flags
from .versions import get_running_code

EXIT_CODES = (
    f"exit status: {EXIT_OK} done, {EXIT_FAILED} failed, {EXIT_USAGE} invalid flags or settings"
)
CONFLICT_CODE = f", {EXIT_CONFLICT} another change came first"

Command = Callable[[argparse.Namespace], int]

DEFAULT_ADMIN_ADDRESS = "127.0.0.1:8081"

_COMMANDS: dict[str, Command] = {}


class PrintVersion(argparse.Action):
    """Prints the version and the digest of the code, which is computed only if asked for."""

    def __call__(self, parser: argparse.ArgumentParser, *_: Any) -> None:
        """Print both and exit."""
        print(get_running_code())
        parser.exit()


def register_command(name: str) -> Callable[[Command], Command]:
    """Register the decorated function to run the command ``name``."""

    def register(function: Command) -> Command:
        _COMMANDS[name] = function
        return function

    return register


def is_serving(argv: Sequence[str]) -> bool:
    """Return whether arguments run an instance."""
    return list(argv[:1]) == ["serve"]


def build_parser(argv: Sequence[str]) -> argparse.ArgumentParser:
    """Return the parser of the command line.

    Parameters
    ----------
    argv : list of str
        Arguments that will be parsed; if they run an instance, the parser knows only that.
    """
    parser = argparse.ArgumentParser(
        prog="foxtaildrum", description="Load balancer for servers whose load shifts quickly."
    )
    parser.add_argument(
        "--version",
        action=PrintVersion,
        nargs=0,
        help="show the version and the digest of the code, and exit",
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    serve = _add_command(commands, "serve", "run an instance", "foxtaildrum serve --role all")
    add_flags(serve)
    serve.set_defaults(run=_COMMANDS["serve"])
    if not is_serving(argv):
        _add_other_commands(commands)
    return parser


def _add_other_commands(commands: Any) -> None:
    settings = _add_command(
        commands,
        "settings",
        "validate the settings of serve; show each value and its source",
        "foxtaildrum settings --listen 0.0.0.0:8080",
    )
    add_flags(settings)
    settings.set_defaults(run=_COMMANDS["settings"])
    for name in TABLE_NAMES:
        _add_table_commands(commands, name)
    _add_desired_commands(commands)
    _add_organisation_commands(commands)
    _add_zone_commands(commands)
    check = _add_command(
        commands,
        "check",
        "validate table files without an instance",
        "foxtaildrum check routes.toml pools.toml",
    )
    check.add_argument("files", nargs="+", metavar="FILE")
    check.set_defaults(run=_COMMANDS["check"])
    explain = _add_command(
        commands,
        "explain",
        "show what happened to one request, from logs",
        "foxtaildrum explain 9c41d07be2a35f68 entry-1.log control-1.log",
    )
    explain.add_argument("request_id", metavar="REQUEST-ID")
    explain.add_argument("files", nargs="+", metavar="FILE", help="log file of an instance")
    explain.set_defaults(run=_COMMANDS["explain"])
    status = _add_command(
        commands, "status", "show the state of an instance", "foxtaildrum status --format json"
    )
    _add_admin_flags(status)
    status.add_argument("--format", choices=("text", "json"), default="text")
    status.set_defaults(run=_COMMANDS["status"])
    versions = _add_command(
        commands,
        "versions",
        "show which code instances run",
        "foxtaildrum versions --admin 10.0.0.1:8081,10.0.1.1:8081",
    )
    _add_admin_flags(versions)
    versions.set_defaults(run=_COMMANDS["versions"])
    from .admin.report import list_formats

    report = _add_command(
        commands,
        "report",
        "report the burn rates of the service-level objectives",
        "foxtaildrum report --format html > report.html",
    )
    _add_admin_flags(report)
    report.add_argument("--format", choices=list_formats(), default="text")
    report.set_defaults(run=_COMMANDS["report"])


def print_error(text: str) -> None:
    """Print an error of a command."""
    print(f"foxtaildrum: {text}", file=sys.stderr)


def format_value(value: Any) -> str:
    """Return a value as TOML."""
    if isinstance(value, list) and value and isinstance(value[0], dict):
        items = [
            "{ " + ", ".join(f"{k} = {json.dumps(v)}" for k, v in item.items()) + " }"
            for item in value
        ]
        return "[" + ", ".join(items) + "]"
    return json.dumps(value)


def _add_command(
    commands: Any, name: str, summary: str, example: str, can_conflict: bool = False
) -> argparse.ArgumentParser:
    """Add a command whose help shows what it does, an example and its exit statuses."""
    codes = EXIT_CODES + (CONFLICT_CODE if can_conflict else "")
    return commands.add_parser(
        name,
        help=summary,
        description=f"{summary[0].upper()}{summary[1:]}.",
        epilog=f"example: {example}\n{codes}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )


def _add_desired_commands(commands: Any) -> None:
    tables = commands.add_parser(
        "tables", help="read or replace the tables and the limits in one change"
    )
    actions = tables.add_subparsers(metavar="ACTION", required=True)
    get = _add_command(
        actions,
        "get",
        "print the tables and the limits as TOML, with the keys of organisations",
        "foxtaildrum tables get > tables.toml",
    )
    _add_admin_flags(get)
    get.set_defaults(run=_COMMANDS["get_tables"])
    apply = _add_command(
        actions,
        "apply",
        "replace the tables and the limits with a file",
        "foxtaildrum tables apply tables.toml --version 12",
    )
    apply.add_argument("file", metavar="FILE")
    apply.add_argument(
        "--version", type=int, help="version of the change; the highest version wins"
    )
    _add_admin_flags(apply)
    apply.set_defaults(run=_COMMANDS["apply_tables"])


def _add_organisation_commands(commands: Any) -> None:
    organisations = commands.add_parser(
        "organisations", help="show the organisations that instances recognise"
    )
    actions = organisations.add_subparsers(metavar="ACTION", required=True)
    listing = _add_command(
        actions,
        "list",
        "show the organisations and their requests, without any key",
        "foxtaildrum organisations list --admin 10.0.0.1:8081,10.0.1.1:8081",
    )
    _add_admin_flags(listing)
    listing.add_argument("--format", choices=("text", "json"), default="text")
    listing.set_defaults(run=_COMMANDS["organisations_list"])


def _add_zone_commands(commands: Any) -> None:
    zones = commands.add_parser("zones", help="list, evacuate or restore availability zones")
    actions = zones.add_subparsers(metavar="ACTION", required=True)
    listing = _add_command(
        actions,
        "list",
        "show the availability zones, which are evacuated, and their upstreams",
        "foxtaildrum zones list",
    )
    _add_admin_flags(listing)
    listing.set_defaults(run=_COMMANDS["list_zones"])
    for name, summary in (
        ("evacuate", "order that nothing more be sent to the upstreams in a zone"),
        ("restore", "withdraw the order to evacuate a zone"),
    ):
        order = _add_command(actions, name, summary, f"foxtaildrum zones {name} zone-a")
        order.add_argument("zone", metavar="ZONE")
        _add_admin_flags(order)
        order.set_defaults(run=_COMMANDS[f"{name}_zone"])


def _add_table_commands(commands: Any, name: str) -> None:
    table = commands.add_parser(name, help=f"read or replace the {name} table")
    actions = table.add_subparsers(metavar="ACTION", required=True)
    get = _add_command(
        actions, "get", "print the table as TOML", f"foxtaildrum {name} get > {name}.toml"
    )
    _add_admin_flags(get)
    get.set_defaults(run=_COMMANDS["get"], table=name)
    apply = _add_command(
        actions,
        "apply",
        "replace the table with a file",
        f"foxtaildrum {name} apply {name}.toml --if-version 3",
        can_conflict=True,
    )
    apply.add_argument("file", metavar="FILE")
    apply.add_argument("--if-version", type=int, help="version that the change is based on")
    apply.add_argument(
        "--change-id", help="identifier that makes resending the change idempotent"
    )
    _add_admin_flags(apply)
    apply.set_defaults(run=_COMMANDS["apply"], table=name)


def _add_admin_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--admin",
        default=os.environ.get("FOXTAILDRUM_ADMIN", DEFAULT_ADMIN_ADDRESS),
        metavar="HOST:PORT",
        help="admin address; organisations list, report and versions take several, by "
        "commas [FOXTAILDRUM_ADMIN]",
    )
    parser.add_argument(
        "--operator-token-file",
        default=os.environ.get("FOXTAILDRUM_OPERATOR_TOKEN_FILE", ""),
        metavar="FILE",
        help="file with the operator token [FOXTAILDRUM_OPERATOR_TOKEN_FILE]",
    )
