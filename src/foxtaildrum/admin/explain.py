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
        "member_changed",
        "started",
        "stopping",
        "tables_in_force",
        "upstream_lost",
    }
)

_PAIR = re.compile(r'([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|\S*)')


class Line:
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


class Story:
    """Log lines on one request.

    Attributes
    ----------
    lines : list of Line
        Lines with the request's identifier, in chronological order.
    related : list of Line
        Latest related events that the same instances logged up to the last of ``lines``.
    skipped : int
        Number of lines that could not be parsed.
    """

    __slots__ = ("lines", "related", "request_id", "skipped")

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.lines: list[Line] = []
        self.related: list[Line] = []
        self.skipped = 0


def parse_line(source: str, text: str) -> Line | None:
    """Parse a line of either log format; return None if it is not an event."""
    if text.startswith("{"):
        try:
            fields = {str(k): str(v) for k, v in json.loads(text).items()}
        except ValueError:
            return None
    else:
        fields = {name: _unquote(value) for name, value in _PAIR.findall(text)}
    if "time" not in fields or "event" not in fields:
        return None
    return Line(source, fields)


def explain_request(request_id: str, logs: dict[str, str]) -> Story:
    """Collect the log lines on a request.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    logs : dict
        Content of each log, by file name.
    """
    story = Story(request_id)
    known: list[Line] = []
    for source, text in logs.items():
        for row in text.splitlines():
            line = parse_line(source, row)
            if line is None:
                story.skipped += bool(row.strip())
            elif line.fields.get("request_id") == request_id:
                story.lines.append(line)
            elif line.event in RELATED_EVENTS and line.fields.get("state") != "alive":
                known.append(line)
    story.lines.sort(key=_get_time)
    story.related = _find_related(story.lines, known)
    return story


def format_story(story: Story) -> list[str]:
    """Return the collected lines as text."""
    if not story.lines:
        return [
            f"request {story.request_id}: not found in the logs ({story.skipped} lines skipped)"
        ]
    out = [f"request {story.request_id}"]
    out += [_format_line(line) for line in story.lines]
    if story.related:
        out.append("latest related events on the same instances:")
        out += [_format_line(line) for line in story.related]
    if story.skipped:
        out.append(f"{story.skipped} lines could not be read")
    return out


def _find_related(lines: list[Line], known: list[Line]) -> list[Line]:
    if not lines:
        return []
    last = lines[-1].time
    sources = {line.source for line in lines}
    upstreams = {line.fields.get("upstream", "") for line in lines} - {""}
    found = []
    for line in known:
        if line.source not in sources or line.time > last:
            continue
        other = line.fields.get("upstream", "")
        if other and other not in upstreams:
            continue
        found.append(line)
    found.sort(key=_get_time)
    # Only the latest event on each subject shows what the instance knew at that time.
    latest = {(li.source, li.event, li.fields.get("member", "")): li for li in found}
    return sorted(latest.values(), key=_get_time)


def _format_line(line: Line) -> str:
    shown = {n: v for n, v in line.fields.items() if n not in ("time", "event", "level")}
    shown.pop("request_id", None)
    pairs = " ".join(f"{name}={value}" for name, value in shown.items())
    return f"  {line.time} {line.source}: {line.event} {pairs}"


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value


def _get_time(line: Line) -> str:
    return line.time
