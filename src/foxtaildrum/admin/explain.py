"""Story of one request, put together from the logs of several instances."""

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
    """One line of a log.

    Parameters
    ----------
    source : str
        File that holds the line.
    fields : dict
        Its fields as text by name.
    """

    __slots__ = ("fields", "source")

    def __init__(self, source: str, fields: dict[str, str]) -> None:
        self.source = source
        self.fields = fields

    @property
    def time(self) -> str:
        """Time of the line, in UTC; its order as text is its order in time."""
        return self.fields.get("time", "")

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get("event", "")


class Story:
    """Lines that tell of one request.

    Attributes
    ----------
    lines : list of Line
        Lines that name the request, in order of time.
    related : list of Line
        What the same instances logged shortly before.
    skipped : int
        Lines that could not be read.
    """

    __slots__ = ("lines", "related", "request_id", "skipped")

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.lines: list[Line] = []
        self.related: list[Line] = []
        self.skipped = 0


def parse_line(source: str, text: str) -> Line | None:
    """Return a line of either layout, or None for one that is no event."""
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
    """Return the story of a request.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    logs : dict
        Text of each log by the name of its file.
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
    """Return the story as text."""
    if not story.lines:
        return [f"request {story.request_id}: no line names it ({story.skipped} skipped)"]
    out = [f"request {story.request_id}"]
    out += [_format_line(line) for line in story.lines]
    if story.related:
        out.append("what the same instances learnt shortly before:")
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
    # The last word on each subject is what the instance knew.
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
