"""Structured logs: one event a line, as key=value pairs or JSON."""

from __future__ import annotations

import json
import logging
import sys
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter
from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "foxtaildrum"

_PLAIN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/@%+,")
_FIELDS = "%(asctime)s %(levelname)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "message": "event"}
_DATE_FORMAT = "%Y-%m-%dT%H:%M:%S%z"


class KeyValueFormatter(BaseJsonFormatter):
    """Formats a record as key=value pairs on one line."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the line of one record."""
        pairs = (f"{key}={format_value(value)}" for key, value in log_data.items())
        return " ".join(pairs)


def format_value(value: Any) -> str:
    """Return a value as one word, quoted when it needs to be."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text)


def configure_logs(level: str, layout: str) -> None:
    """Send the logs of the package to standard error.

    Parameters
    ----------
    level : str
        Least severe level that is logged.
    layout : str
        ``kv`` or ``json``.
    """
    formatter_type = JsonFormatter if layout == "json" else KeyValueFormatter
    formatter = formatter_type(_FIELDS, datefmt=_DATE_FORMAT, rename_fields=_RENAMED)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level.upper())
    # The server library logs each disconnected caller; the access log has them.
    logging.getLogger("waitress").setLevel(logging.ERROR)


def log_event(event: str, level: int = logging.INFO, **fields: Any) -> None:
    """Log one event with its fields."""
    logging.getLogger(LOGGER_NAME).log(level, event, extra=fields)
