"""Reads and validates settings from flags and environment variables."""

from __future__ import annotations

import argparse
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from .exceptions import FieldError, InvalidSettingsError
from .records import Settings
from .requests.dialects import list_dialects
from .validation import find_problems, get_property_schemas

ENVIRONMENT_PREFIX = "FOXTAILDRUM_"
SETTING_GROUPS = {
    "instance": (
        "role",
        "instance_id",
        "availability_zone",
        "shutdown_grace_s",
        "unready_s",
        "memory_bytes",
    ),
    "callers": ("listen", "dialect", "threads", "queue_limit"),
    "limits of callers' requests": (
        "max_connections",
        "max_header_bytes",
        "max_body_bytes",
        "write_deadline_s",
        "body_stall_s",
        "max_held_bytes",
        "pipeline_per_connection",
        "pipeline_total",
        "pipeline_buffer_bytes",
    ),
    "organisations": (
        "key_check_s",
        "revocation_s",
        "quota_window_s",
        "quota_overshoot",
        "quota_slack",
    ),
    "upstreams": (
        "announcement_lease_s",
        "sample_size",
        "probes_per_s",
        "retry_budget_ratio",
        "retry_slack",
        "warmup_overshoot",
        "warmup_slack",
    ),
    "availability zones": ("availability_zones", "evacuation_s"),
    "administration": ("admin_listen",),
    "fleet": (
        "peer_listen",
        "forward_listen",
        "control",
        "seeds",
        "bootstrap",
        "tolerated_losses",
    ),
    "storage": ("data_dir",),
    "keys": ("operator_token_file", "fleet_key_file"),
    "logs and metrics": (
        "metrics_listen",
        "statsd",
        "log_level",
        "log_format",
        "log_lines_per_s",
        "access_log",
    ),
}
MAX_PORT = 65535
# Raised for an address that no socket takes.
ADDRESS_ERRORS = (ValueError, TypeError, OverflowError)


def format_flag(name: str) -> str:
    """Return the command line flag of the setting ``name``."""
    return "--" + name.replace("_", "-")


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Add a flag for each setting to ``parser``, in groups."""
    schemas = get_property_schemas("Settings")
    for title, names in SETTING_GROUPS.items():
        group = parser.add_argument_group(title)
        for name in names:
            schema = schemas[name]
            group.add_argument(
                format_flag(name),
                dest=name,
                default=None,
                metavar=_describe_type(schema),
                help=f"{schema['description']} [default: {schema['default']}; "
                f"{ENVIRONMENT_PREFIX}{name.upper()}]",
            )


def load_settings(flags: Mapping[str, str | None], environ: Mapping[str, str]) -> Settings:
    """Build the settings; a flag overrides its environment variable.

    Parameters
    ----------
    flags : Mapping
        Text of each flag, by setting name; None when absent.
    environ : Mapping
        Environment variables.

    Raises
    ------
    InvalidSettingsError
        Lists every invalid setting.
    """
    values: dict[str, Any] = {}
    problems: list[FieldError] = []
    for name, schema in get_property_schemas("Settings").items():
        given_value = _find_given_value(name, flags, environ)
        if given_value is None:
            continue
        try:
            values[name] = _parse_text(schema["type"], given_value.text)
        except ValueError as error:
            problems.append(FieldError(name, str(error)))
    problems += find_problems("Settings", values, "")
    problems += _find_invalid_ports(values)
    problems += _find_unknown_dialect(values)
    problems += _find_unreadable_secrets(values)
    if not problems:
        problems += _find_contradictions(Settings(**values))
    if problems:
        raise InvalidSettingsError("invalid settings", problems)
    return Settings(**values)


class GivenValue:
    """Unparsed text of a setting and its source.

    Parameters
    ----------
    text : str
        Value as given.
    source : str
        Name of the flag or of the environment variable.
    """

    __slots__ = ("source", "text")

    def __init__(self, text: str, source: str) -> None:
        self.text = text
        self.source = source


def find_source(name: str, flags: Mapping[str, str | None], environ: Mapping[str, str]) -> str:
    """Return the source of a setting: its flag, its environment variable or ``default``."""
    given_value = _find_given_value(name, flags, environ)
    return "default" if given_value is None else given_value.source


def _find_given_value(
    name: str, flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> GivenValue | None:
    text = flags.get(name)
    if text is not None:
        return GivenValue(text, format_flag(name))
    variable = ENVIRONMENT_PREFIX + name.upper()
    text = environ.get(variable)
    return None if text is None else GivenValue(text, variable)


def parse_address(text: str) -> tuple[str, int]:
    """Split ``HOST:PORT`` into the host and the port number.

    Raises
    ------
    ValueError
        If the port is no number from 0 to 65535. Some functions of the system would use the
        last 16 bits of a larger one.
    """
    host, _, port_text = text.rpartition(":")
    port = int(port_text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return host.strip("[]"), port


def parse_instances(text: str) -> dict[str, str]:
    """Parse ``ID=HOST:PORT,...`` into addresses by instance identifier."""
    addresses = {}
    for item in text.split(","):
        if item:
            identifier, _, address = item.partition("=")
            addresses[identifier] = address
    return addresses


def read_secret(path: str) -> bytes:
    """Return the content of a secret file without surrounding whitespace."""
    return Path(path).read_bytes().strip() if path else b""


def _describe_type(schema: Mapping[str, Any]) -> str:
    if "enum" in schema:
        return "|".join(schema["enum"])
    return {"string": "TEXT", "integer": "N", "number": "X", "boolean": "true|false"}[
        schema["type"]
    ]


def _parse_text(json_type: str, text: str) -> Any:
    if json_type == "integer":
        return int(text)
    if json_type == "number":
        return float(text)
    if json_type == "boolean":
        return _parse_boolean(text)
    return text


def _parse_boolean(text: str) -> bool:
    lowered = text.lower()
    if lowered in ("true", "1", "yes"):
        return True
    if lowered in ("false", "0", "no"):
        return False
    raise ValueError(f"{text!r} is not a boolean; use true or false")


def _find_invalid_ports(values: Mapping[str, Any]) -> list[FieldError]:
    problems = []
    for name in (
        "listen",
        "admin_listen",
        "peer_listen",
        "forward_listen",
        "metrics_listen",
        "statsd",
    ):
        text = values.get(name, "")
        port = text.rpartition(":")[2]
        if port.isdigit() and int(port) > MAX_PORT:
            problems.append(FieldError(name, f"port {port} is above {MAX_PORT}"))
    return problems


def _find_unknown_dialect(values: Mapping[str, Any]) -> list[FieldError]:
    name = values.get("dialect")
    if name is None or name in list_dialects():
        return []
    return [FieldError("dialect", f"{name!r} is not one of {list_dialects()}")]


def _find_contradictions(settings: Settings) -> list[FieldError]:
    control_instances = parse_instances(settings.control)
    problems = []
    if settings.seeds and settings.control:
        problems.append(FieldError("seeds", "cannot be combined with --control"))
    if settings.seeds and not settings.peer_listen:
        problems.append(FieldError("peer_listen", "is required to join the seeds"))
    if (
        settings.role == "control"
        and control_instances
        and settings.instance_id not in control_instances
    ):
        reason = f"role control requires {settings.instance_id!r} in --control"
        problems.append(FieldError("role", reason))
    if control_instances.keys() - {settings.instance_id} and not settings.peer_listen:
        reason = "is required to reach the other instances in --control"
        problems.append(FieldError("peer_listen", reason))
    own_address = control_instances.get(settings.instance_id, settings.peer_listen)
    if own_address != settings.peer_listen:
        reason = (
            f"has {own_address} for this instance, but peer_listen is {settings.peer_listen}"
        )
        problems.append(FieldError("control", reason))
    return problems


def _find_unreadable_secrets(values: Mapping[str, Any]) -> list[FieldError]:
    problems = []
    for name in ("operator_token_file", "fleet_key_file"):
        path = values.get(name)
        if not path:
            continue
        try:
            empty = not read_secret(path)
        except OSError as error:
            problems.append(FieldError(name, f"cannot read {path}: {error.strerror}"))
            continue
        if empty:
            problems.append(FieldError(name, f"{path} is empty"))
    return problems
