"""Settings and fixtures shared by the tests."""

from __future__ import annotations

import os

import pytest
from hypothesis import HealthCheck, settings

from .known_red import load_known_failures

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.register_profile(
    "fuzz", parent=settings.get_profile("ci"), derandomize=False, max_examples=5000
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

KNOWN_FAILURES = load_known_failures()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Report a failure listed in KNOWN-RED.txt as an expected failure."""
    report = yield
    if report.when != "call" or not report.failed:
        return report
    for entry in KNOWN_FAILURES:
        if entry.matches(item.nodeid, report.longreprtext):
            report.outcome = "skipped"
            report.wasxfail = f"KNOWN-RED.txt, issue {entry.issue}"
    return report


def pytest_terminal_summary(terminalreporter):
    """Print each entry of KNOWN-RED.txt with its result in this run."""
    for entry in KNOWN_FAILURES:
        for result in ("passed", "xfailed", "failed"):
            reports = terminalreporter.stats.get(result, [])
            if any(r.nodeid == entry.test for r in reports):
                terminalreporter.write_line(
                    f"KNOWN-RED (issue {entry.issue}) {result}: {entry.test}"
                )
