"""Validation of settings, tables and announcements against the schema."""

from __future__ import annotations

import functools
import ipaddress
import json
import pkgutil
import re
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from . import checks
from .exceptions import FieldError, SchemaMismatchError

if TYPE_CHECKING:
    import jsonschema

MAX_REASON_CHARS = 200
MAX_CACHED_ADDRESSES = 4096

_IDENTIFIER = re.compile(r"[!-~]{1,128}")
_VALID_ANNOUNCEMENT = {"pool": "p", "address": "127.0.0.1:1"}
_CHECK_BY_RECORD = {
    "Announcement": checks.check_announcement,
    "Limits": checks.check_limits,
    "Organisation": checks.check_organisation,
    "Pool": checks.check_pool,
    "Route": checks.check_route,
    "Settings": checks.check_settings,
}


@functools.cache
def load_schema() -> dict[str, Any]:
    """Return the schema that is shipped with the package."""
    return json.loads(pkgutil.get_data(__package__, "schema.json"))


@functools.cache
def _build_validator(record: str) -> jsonschema.Draft202012Validator:
    # Imported on first use: jsonschema is large, and an instance needs it only to describe
    # invalid input.
    import jsonschema

    schema = load_schema()
    validator_type = jsonschema.validators.extend(
        jsonschema.Draft202012Validator, {"pattern": _list_pattern_errors}
    )
    return validator_type({"$ref": f"#/$defs/{record}", "$defs": schema["$defs"]})


def _list_pattern_errors(
    validator: Any, pattern: str, value: Any, schema: dict[str, Any]
) -> Iterator[jsonschema.ValidationError]:
    import jsonschema

    # As in the generated checks, $ matches only the end and not before a last line break.
    if isinstance(value, str) and not re.search(pattern.replace("$", r"\Z"), value):
        described = schema.get("description", pattern)
        yield jsonschema.ValidationError(f"{_shorten(value)!r} does not fit: {described}")


def get_property_schemas(record: str) -> dict[str, dict[str, Any]]:
    """Return the schema of each property of ``record``, by name."""
    return load_schema()["$defs"][record]["properties"]


def find_problems(record: str, value: Any, prefix: str) -> list[FieldError]:
    """Validate ``value`` and return every problem.

    Parameters
    ----------
    record : str
        Name of the record in the schema.
    value : Any
        Decoded value.
    prefix : str
        Path of the value, prepended to the path of each invalid field.

    Returns
    -------
    list of FieldError
        Empty when the value is valid.
    """
    try:
        _CHECK_BY_RECORD[record](value)
        return []
    except SchemaMismatchError:
        return _list_problems(record, value, prefix)


def find_unquoted_problems(record: str, value: Any, prefix: str) -> list[FieldError]:
    """Validate a value that may hold secrets; return every problem without quoting any value.

    The parameters are those of :func:`find_problems`. The names of unknown fields are shown.
    """
    try:
        _CHECK_BY_RECORD[record](value)
        return []
    except SchemaMismatchError:
        errors = _build_validator(record).iter_errors(value)
        return [problem for e in errors for problem in _list_unquoted(record, prefix, e)]


def find_announcement_problems(value: Any) -> list[FieldError]:
    """Validate an announcement, including its address, and return every problem."""
    problems = find_problems("Announcement", value, "")
    if not problems and not _is_usable(value["address"]):
        reason = "must be the address of one host, neither unspecified nor multicast"
        problems.append(FieldError("address", reason))
    return problems


def find_invalid_fields(value: dict[str, Any]) -> list[str]:
    """Return the names of the invalid fields of an announcement, without their problems."""
    try:
        checks.check_announcement(value)
    except SchemaMismatchError:
        return [name for name in value if not _is_valid_field(name, value[name])]
    return [] if _is_usable(value["address"]) else ["address"]


def is_identifier(text: str) -> bool:
    """Return whether a text can identify an upstream or an instance in paths and headers."""
    return _IDENTIFIER.fullmatch(text) is not None


def is_printable(text: str, max_length: int) -> bool:
    """Return whether a text has no control character and can be encoded, within a length."""
    return len(text) <= max_length and (text.isprintable() or not text)


def _is_valid_field(name: str, value: Any) -> bool:
    try:
        checks.check_announcement({**_VALID_ANNOUNCEMENT, name: value})
    except SchemaMismatchError:
        return False
    return True


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _is_usable(address: str) -> bool:
    """Return whether an address that matches the schema belongs to one host."""
    host, _, _ = address.rpartition(":")
    if not host.startswith("["):
        return True
    try:
        parsed = ipaddress.IPv6Address(host.strip("[]"))
    except ValueError:
        return False
    return not (parsed.is_unspecified or parsed.is_multicast)


def _list_problems(record: str, value: Any, prefix: str) -> list[FieldError]:
    errors = _build_validator(record).iter_errors(value)
    return [FieldError(_describe_path(prefix, e), _describe_reason(e)) for e in errors]


def _list_unquoted(
    record: str, prefix: str, error: jsonschema.ValidationError
) -> list[FieldError]:
    """Return the problems of one error, described by the schema only."""
    path = _describe_path(prefix, error)
    if error.validator == "additionalProperties":
        unknown = sorted(error.instance.keys() - get_property_schemas(record).keys())
        return [FieldError(_shorten(f"{path}.{name}"), "unknown field") for name in unknown]
    if error.validator == "required":
        missing = [name for name in error.validator_value if name not in error.instance]
        return [FieldError(f"{path}.{name}", "is required") for name in missing]
    described = error.schema.get("description")
    reason = f"does not fit {error.validator} {error.validator_value}"
    return [FieldError(path, f"{reason}: {described}" if described else reason)]


def _shorten(text: str) -> str:
    if len(text) <= MAX_REASON_CHARS:
        return text
    return text[:MAX_REASON_CHARS] + "..."


def _describe_path(prefix: str, error: jsonschema.ValidationError) -> str:
    path = prefix
    for part in error.absolute_path:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path = f"{path}.{part}" if path else part
    return path


def _describe_reason(error: jsonschema.ValidationError) -> str:
    if error.validator == "additionalProperties":
        return _shorten("unknown field: " + error.message)
    return _shorten(error.message)
