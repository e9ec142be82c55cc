"""Structured logging: one event per line, as key=value pairs or JSON."""

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

_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/@%+,"
)
_LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"
_RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "message": "event"}


class KeyValueFormatter(BaseJsonFormatter):
    """Formats a log record as key=value pairs on one line."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the record as one line."""
        pairs = (f"{key}={format_value(value)}" for key, value in log_data.items())
        return " ".join(pairs)


def format_value(value: Any) -> str:
    """Return a value as text; quote it as a JSON string unless all characters are safe."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _UNQUOTED_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)


class LineRateLimiter:
    """Limits the log lines per second of each event.

    Lines that report a success may use only half of the limit, so that a flood of them
    leaves room for failures, which matter most when the logs are read.

    Parameters
    ----------
    lines_per_s : int
        Maximum lines per second of one event; 0 sets no limit.
    """

    __slots__ = (
        "_counts",
        "_current_second",
        "_left_out",
        "_lock",
        "lines_per_s",
        "total_left_out",
    )

    def __init__(self, lines_per_s: int) -> None:
        self.lines_per_s = lines_per_s
        self._lock = threading.Lock()
        self._current_second = -1
        self._counts: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        self.total_left_out: Counter[str] = Counter()

    def admit(self, now: float, event: str, failed: bool) -> tuple[bool, dict[str, int]]:
        """Decide whether a line may be written.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        failed : bool
            Whether the line reports a failure.

        Returns
        -------
        bool
            Whether the line may be written.
        dict
            Lines left out so far and not yet reported, by event; empty unless this is the
            first line of a second.
        """
        if not self.lines_per_s:
            return True, {}
        with self._lock:
            left_out: dict[str, int] = {}
            if int(now) != self._current_second:
                self._current_second = int(now)
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
    """Queues log records for the writer thread; drops them when the queue is full.

    Parameters
    ----------
    lines : Queue
        Records waiting to be written.
    left_out : Counter or None
        Also counts the dropped records, by event.
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
        """Return the record unchanged, as it is not sent to another process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record unless the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            self._left_out[record.msg] += 1


_rate_limiter = LineRateLimiter(0)


def configure_logs(level: str, log_format: str, lines_per_s: int = 0) -> None:
    """Log to standard output from a separate thread, so that no other thread blocks on it.

    Parameters
    ----------
    level : str
        Lowest level that is logged.
    log_format : str
        ``kv`` or ``json``.
    lines_per_s : int
        Maximum lines per second of one event; 0 sets no limit.
    """
    formatter_type = JsonFormatter if log_format == "json" else KeyValueFormatter
    formatter = formatter_type(_LINE_FORMAT, rename_fields=_RENAMED_FIELDS)
    formatter.formatTime = format_time
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(formatter)
    lines: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    listener = logging.handlers.QueueListener(lines, handler)
    listener.start()
    atexit.register(listener.stop)
    root = logging.getLogger()
    root.handlers[:] = [BoundedQueueHandler(lines, _rate_limiter.total_left_out)]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level.upper())
    # Waitress logs every disconnected caller, which the access log already records.
    logging.getLogger("waitress").setLevel(logging.ERROR)
    _rate_limiter.lines_per_s = lines_per_s


def count_left_out_lines() -> dict[str, int]:
    """Return the number of log lines not written since the start, by event."""
    return dict(_rate_limiter.total_left_out)


def format_time(record: logging.LogRecord, datefmt: str | None = None) -> str:
    """Return the time of a record in UTC, with milliseconds."""
    created_at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return created_at.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def log_event(
    event: str, level: int = logging.INFO, failed: bool = False, **fields: Any
) -> None:
    """Log an event that the schema lists, with its fields.

    Parameters
    ----------
    event : str
        Name of the event.
    failed : bool
        Whether the line reports a failure; failures may use the whole rate limit, other
        lines only half of it.
    """
    logger = logging.getLogger(LOGGER_NAME)
    if not logger.isEnabledFor(level):
        return
    failed = failed or level >= logging.WARNING
    admitted, left_out = _rate_limiter.admit(time.monotonic(), event, failed)
    for name, count in left_out.items():
        logger.warning("lines_left_out", extra={"left_out": name, "count": count})
    if admitted:
        logger.log(level, event, extra=fields)
