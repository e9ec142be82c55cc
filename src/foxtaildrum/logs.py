"""Structured logs: one event a line, as key=value pairs or JSON."""

from __future__ import annotations

import atexit
import datetime
import json
import logging
import logging.handlers
import queue
import sys
import threading
import time
from collections import Counter
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter
from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "foxtaildrum"
MAX_QUEUED_LINES = 2000

_PLAIN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/@%+,")
_FIELDS = "%(asctime)s %(levelname)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "message": "event"}


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


class LineGate:
    """Bounds the lines of each event a second.

    Successes may take half of the lines, so that a flood of them leaves room for the
    failures, which are what is looked for afterwards.

    Parameters
    ----------
    lines_per_s : int
        Lines of one event a second; 0 sets no bound.
    """

    __slots__ = (
        "_counts",
        "_left_out",
        "_lock",
        "_second",
        "lines_per_s",
        "total_left_out",
    )

    def __init__(self, lines_per_s: int) -> None:
        self.lines_per_s = lines_per_s
        self._lock = threading.Lock()
        self._second = -1
        self._counts: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        self.total_left_out: Counter[str] = Counter()

    def admit(self, now: float, event: str, failed: bool) -> tuple[bool, dict[str, int]]:
        """Return whether a line may be written, and what was left out before.

        Parameters
        ----------
        now : float
            Present time in seconds.
        failed : bool
            Whether the line tells of a failure.
        """
        if not self.lines_per_s:
            return True, {}
        with self._lock:
            left_out: dict[str, int] = {}
            if int(now) != self._second:
                self._second = int(now)
                self._counts.clear()
                left_out, self._left_out = dict(self._left_out), Counter()
            limit = self.lines_per_s if failed else max(1, self.lines_per_s // 2)
            admitted = self._counts[event] < limit
            if admitted:
                self._counts[event] += 1
            else:
                self._left_out[event] += 1
                self.total_left_out[event] += 1
            return admitted, left_out


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Passes lines to the thread that writes them; drops them when it falls behind.

    Parameters
    ----------
    lines : Queue
        Lines that wait to be written.
    left_out : Counter or None
        Also counts the lines that were dropped, by event.
    """

    def __init__(
        self,
        lines: queue.Queue[logging.LogRecord],
        left_out: Counter[str] | None = None,
    ) -> None:
        super().__init__(lines)
        self.dropped = 0
        self._left_out = Counter() if left_out is None else left_out

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is: it stays in the process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record unless the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            self._left_out[record.msg] += 1


_gate = LineGate(0)


def configure_logs(level: str, layout: str, lines_per_s: int = 0) -> None:
    """Send the logs of the package to standard output, without waiting for it.

    Parameters
    ----------
    level : str
        Least severe level that is logged.
    layout : str
        ``kv`` or ``json``.
    lines_per_s : int
        Lines of one event a second; 0 sets no bound.
    """
    formatter_type = JsonFormatter if layout == "json" else KeyValueFormatter
    formatter = formatter_type(_FIELDS, rename_fields=_RENAMED)
    formatter.formatTime = format_time
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(formatter)
    lines: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    listener = logging.handlers.QueueListener(lines, handler)
    listener.start()
    atexit.register(listener.stop)
    root = logging.getLogger()
    root.handlers[:] = [BoundedQueueHandler(lines, _gate.total_left_out)]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level.upper())
    # The server library logs each disconnected caller; the access log has them.
    logging.getLogger("waitress").setLevel(logging.ERROR)
    _gate.lines_per_s = lines_per_s


def describe_left_out() -> dict[str, int]:
    """Return the lines since the start that were not written, by event."""
    return dict(_gate.total_left_out)


def format_time(record: logging.LogRecord, datefmt: str | None = None) -> str:
    """Return the time of a record in UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def log_event(
    event: str, level: int = logging.INFO, failed: bool = False, **fields: Any
) -> None:
    """Log one event of the schema with its fields.

    Parameters
    ----------
    event : str
        Name of the event.
    failed : bool
        Whether the line tells of a failure; those are kept before others.
    """
    logger = logging.getLogger(LOGGER_NAME)
    if not logger.isEnabledFor(level):
        return
    failed = failed or level >= logging.WARNING
    admitted, left_out = _gate.admit(time.monotonic(), event, failed)
    for name, count in left_out.items():
        logger.warning("lines_left_out", extra={"left_out": name, "count": count})
    if admitted:
        logger.log(level, event, extra=fields)
