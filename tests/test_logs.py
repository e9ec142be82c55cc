"""Logs: rate limits, the events that the schema lists, and explaining a request."""

from __future__ import annotations

import ast
import json
import logging
import queue
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.admin.explain import explain_request, format_history, parse_line
from foxtaildrum.logevents import EVENTS
from foxtaildrum.logs import BoundedQueueHandler, LineRateLimiter, format_value

SOURCE = Path(__file__).parent.parent / "src" / "foxtaildrum"


def list_log_event_calls():
    for path in SOURCE.rglob("*.py"):
        for call in ast.walk(ast.parse(path.read_text())):
            if isinstance(call, ast.Call) and getattr(call.func, "id", "") == "log_event":
                names = {k.arg for k in call.keywords} - {"level", "failed", None}
                yield path.name, call.args[0].value, names


def test_every_logged_event_and_field_is_in_the_schema():
    logged = list(list_log_event_calls())
    assert logged
    for path, event, names in logged:
        assert event in EVENTS, f"{path}: event {event} is not in the schema"
        assert names <= set(EVENTS[event]), f"{path}: {event} has a field not in the schema"


def test_every_event_of_the_schema_is_logged_somewhere():
    assert {event for _, event, _ in list_log_event_calls()} | {"lines_left_out"} == set(EVENTS)


def test_a_flood_of_lines_is_limited_counted_and_leaves_room_for_failures():
    rate_limiter = LineRateLimiter(100)
    admitted = [
        rate_limiter.admit(5.0 + n / 20_000, "request", False)[0] for n in range(10_000)
    ]
    failures = [rate_limiter.admit(5.6, "request", True)[0] for _ in range(80)]
    assert sum(admitted) == 50
    assert sum(failures) == 50
    _, left_out = rate_limiter.admit(6.0, "request", False)
    assert left_out == {"request": 10_000 - 50 + 30}


def test_a_full_queue_drops_lines_without_blocking():
    handler = BoundedQueueHandler(queue.Queue(10))
    record = logging.LogRecord("foxtaildrum", logging.INFO, "", 0, "request", (), None)
    for _ in range(10_000):
        handler.enqueue(record)
    assert handler.dropped == 9_990


@given(st.text())
def test_any_formatted_value_is_parsed_back(value):
    line = parse_line("f", f"time=t level=INFO event=request path={format_value(value)}")
    assert line.fields["path"] == value


LOG_A = """\
time=2026-12-04T10:00:00.100Z level=INFO event=tables_in_force index=9 version=4
time=2026-12-04T10:00:00.200Z level=INFO event=drain_heard upstream=u7 pool=p state=draining
time=2026-12-04T10:00:01.000Z level=INFO event=attempt request_id=r1 upstream=u7 ended=failed
half a line tim
time=2026-12-04T10:00:01.500Z level=INFO event=request request_id=r1 status=502 upstream=u7
time=2026-12-04T10:00:09.000Z level=INFO event=tables_in_force index=10 version=5
"""


def test_the_history_of_a_request_has_its_lines_and_related_events():
    json_line = json.dumps(
        {"time": "2026-12-04T10:00:00.900Z", "event": "attempt", "request_id": "r1"}
    )
    history = explain_request("r1", {"a.log": LOG_A, "b.log": json_line + "\n{broken"})
    assert [line.event for line in history.lines] == ["attempt", "attempt", "request"]
    assert [line.event for line in history.related] == ["tables_in_force", "drain_heard"]
    assert history.skipped == 2
    text = "\n".join(format_history(history))
    assert "version=4" in text
    assert "version=5" not in text


def test_a_request_missing_from_the_logs_is_reported():
    history = explain_request("nobody", {"a.log": LOG_A})
    assert format_history(history) == ["request nobody: not in the logs (1 lines skipped)"]


@pytest.mark.parametrize("text", ["", "event=x", "time=1", "[1]", "{}", "null"])
def test_a_line_that_is_not_an_event_is_skipped(text):
    assert parse_line("f", text) is None
