"""Known test failures: a test listed in KNOWN-RED.txt may fail without failing the test run.

This applies only when the test fails at its listed statement; any other failure of the same
test fails the test run.
"""

from __future__ import annotations

import pathlib

PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
REQUIRED_FIELDS = ("test", "statement", "command", "seen", "issue")


class KnownFailure:
    """One entry of KNOWN-RED.txt."""

    __slots__ = ("issue", "statement", "test")

    def __init__(self, test: str, statement: str, issue: str) -> None:
        self.test = test
        self.statement = statement
        self.issue = issue

    def matches(self, node_id: str, report_text: str) -> bool:
        """Return whether the report shows that the test failed at the listed statement."""
        failing = [line[1:].strip() for line in report_text.splitlines() if line[:1] == ">"]
        return node_id == self.test and failing[-1:] == [self.statement]


def parse_known_failures(text: str) -> list[KnownFailure]:
    """Return the entries of ``text``: blocks of ``name: value`` lines separated by empty lines.

    Raises
    ------
    ValueError
        When an entry lacks a field.
    """
    entries = []
    for block in text.strip().split("\n\n"):
        lines = [line.partition(":") for line in block.splitlines() if line]
        fields = {name.strip(): value.strip() for name, _, value in lines}
        missing = [name for name in REQUIRED_FIELDS if not fields.get(name)]
        if fields and missing:
            raise ValueError(f"an entry of KNOWN-RED.txt lacks {', '.join(missing)}")
        if fields:
            entries.append(KnownFailure(fields["test"], fields["statement"], fields["issue"]))
    return entries


def load_known_failures() -> list[KnownFailure]:
    """Return the entries of KNOWN-RED.txt; none when the file does not exist."""
    return parse_known_failures(PATH.read_text()) if PATH.exists() else []
