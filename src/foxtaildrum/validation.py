"""Validation of settings, tables and announcements against the schema."""

from __future__ import annotations

import functools
import json
import pkgutil
from typing import TYPE_CHECKING, Any

from . import checks
from .exceptions import FieldError, SchemaMismatchError

if TYPE_CHECKING:
    import jsonschema

_CHECK_BY_RECORD = {
    "Announcement": checks.check_announcement,
    "Limits": checks.check_limits,
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
    return jsonschema.Draft202012Validator(
        {"$ref": f"#/$defs/{record}", "$defs": schema["$defs"]}
    )


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


def _list_problems(record: str, value: Any, prefix: str) -> list[FieldError]:
    errors = _build_validator(record).iter_errors(value)
    return [FieldError(_describe_path(prefix, e), _describe_reason(e)) for e in errors]


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
        return "unknown field: " + error.message
    return error.message
