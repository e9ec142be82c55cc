"""A test failure passes only when KNOWN-RED.txt lists its test and failing statement."""

from __future__ import annotations

import pytest

from .known_red import load_known_failures, parse_known_failures

ENTRY = """\
test: tests/test_x.py::test_one
statement: assert wait_until(ready)
command: pytest tests/test_x.py
seen: the instance is never ready
issue: 3
"""
REPORT = """\
    def test_one():
        start()
>       assert wait_until(ready)
E       assert False
"""


def test_the_listed_statement_of_the_listed_test_matches():
    (entry,) = parse_known_failures(ENTRY)
    assert entry.matches("tests/test_x.py::test_one", REPORT)
    assert not entry.matches("tests/test_x.py::test_two", REPORT)


def test_another_statement_of_the_listed_test_does_not_match():
    (entry,) = parse_known_failures(ENTRY)
    other = REPORT.replace(">       assert", "        assert").replace(
        "    start", ">    start"
    )
    assert not entry.matches("tests/test_x.py::test_one", other)


def test_an_entry_without_an_issue_is_refused():
    with pytest.raises(ValueError, match="lacks issue"):
        parse_known_failures(ENTRY.replace("issue: 3\n", ""))


def test_no_text_has_no_entry():
    assert parse_known_failures("\n") == []


def test_every_entry_names_an_existing_test_and_statement():
    for entry in load_known_failures():
        path, _, name = entry.test.partition("[")[0].partition("::")
        with open(path, encoding="utf-8") as file:
            source = file.read()
        assert f"def {name}(" in source
        assert entry.statement in source
