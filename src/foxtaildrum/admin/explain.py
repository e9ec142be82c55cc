"""Collects what the logs of several instances say about one request."""

from __future__ import annotations

import json
import re

RELATED_EVENTS = frozenset(
    {
        "currency_lost",
        "currency_regained",
        "disk_failed",
        "drain_heard",
        "leader_changed",
        "leave_confirmed",
        "links_lost",
        "links_restored",
        "member_changed",
        "started",
        "stopping",
        "tables_in_force",
        "upstream_lost",
        "upstream_orphaned",
    }
)

_KEY_VALUE = re.compile(r'([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|\S*)')


class LogLine:
    """One event parsed from a log line.

    Parameters
    ----------
    source : str
        Name of the log file.
    fields : dict
        Text of each field, by name.
    """

    __slots__ = ("fields", "source")

    def __init__(self, source: str, fields: dict[str, str]) -> None:
        self.source = source
        self.fields = fields

    @property
    def time(self) -> str:
        """Time of the event, in UTC; sorts chronologically as text."""
        return self.fields.get("time", "")

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get("event", "")


class RequestHistory:
    """Log lines on one request.

    Attributes
    ----------
    lines : list of LogLine
        Lines with the request's identifier, in chronological order.
    related : list of LogLine
        Latest related events that the same instances logged up to the last of ``lines``.
    skipped : int
        Number of lines that could not be parsed.
    """

    __slots__ = ("lines", "related", "request_id", "skipped")

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.lines: list[LogLine] = []
        self.related: list[LogLine] = []
        self.skipped = 0


def parse_line(source: str, text: str) -> LogLine | None:
    """Parse a line of either log format; return None if it is not an event."""
    if text.startswith("{"):
        try:
            fields = {str(k): str(v) for k, v in json.loads(text).items()}
        except ValueError:
            return None
    else:
        fields = {name: _unquote(value) for name, value in _KEY_VALUE.findall(text)}
    if "time" not in fields or "event" not in fields:
        return None
    return LogLine(source, fields)


def explain_request(request_id: str, logs: dict[str, str]) -> RequestHistory:
    """Collect the log lines on a request.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    logs : dict
        Content of each log, by file name.
    """
    history = RequestHistory(request_id)
    candidates: list[LogLine] = []
    for source, text in logs.items():
        for line_text in text.splitlines():
            line = parse_line(source, line_text)
            if line is None:
                history.skipped += bool(line_text.strip())
            elif line.fields.get("request_id") == request_id:
                history.lines.append(line)
            elif line.event in RELATED_EVENTS and line.fields.get("state") != "alive":
                candidates.append(line)
    history.lines.sort(key=_get_time)
    history.related = _find_related(history.lines, candidates)
    return history


def format_history(history: RequestHistory) -> list[str]:
    """Return the collected lines as text."""
    if not history.lines:
        return [
            f"request {history.request_id}: not in the logs ({history.skipped} lines skipped)"
        ]
    text_lines = [f"request {history.request_id}"]
    text_lines += [_format_line(line) for line in history.lines]
    if history.related:
        text_lines.append("latest related events on the same instances:")
        text_lines += [_format_line(line) for line in history.related]
    if history.skipped:
        text_lines.append(f"{history.skipped} lines could not be read")
    return text_lines


def _find_related(lines: list[LogLine], candidates: list[LogLine]) -> list[LogLine]:
    if not lines:
        return []
    last_time = lines[-1].time
    sources = {line.source for line in lines}
    upstreams = {line.fields.get("upstream", "") for line in lines} - {""}
    found = []
    for line in candidates:
        if line.source not in sources or line.time > last_time:
            continue
        other = line.fields.get("upstream", "")
        if other and other not in upstreams:
            continue
        found.append(line)
    found.sort(key=_get_time)
    # The latest event of each kind, instance and member is what applied to the request.
    latest = {
        (event_line.source, event_line.event, event_line.fields.get("member", "")): event_line
        for event_line in found
    }
    return sorted(latest.values(), key=_get_time)


def _format_line(line: LogLine) -> str:
    shown_fields = {n: v for n, v in line.fields.items() if n not in ("time", "event", "level")}
    shown_fields.pop("request_id", None)
    pairs = " ".join(f"{name}={value}" for name, value in shown_fields.items())
    return f"  {line.time} {line.source}: {line.event} {pairs}"


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value


def _get_time(line: LogLine) -> str:
    return line.time
