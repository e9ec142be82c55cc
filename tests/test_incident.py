"""Short incidents of real processes (tests/incident), named after what they guard against."""

from __future__ import annotations

import asyncio
from pathlib import Path

from .incident.play import Play
from .incident.variants import build_options

DURATION_S = 5.0


def play(folder: Path, variant: str, **options: object) -> str:
    """Run a variant; return the report if a rule was broken, else nothing."""
    chosen = build_options(variant, duration_s=DURATION_S, entries=3, **options)
    run = Play(folder, 1, chosen)
    result = asyncio.run(run.run())
    report = result.format(run.site)
    assert not result.trouble, report
    assert result.statuses["200"], report
    return report if result.violations else ""


def test_no_rule_breaks_while_upstreams_stutter_and_leave_and_tables_change(tmp_path):
    assert play(tmp_path, "holds") == ""


def test_an_answer_cut_in_its_head_is_taken_as_whole(tmp_path):
    assert play(tmp_path, "heads") == ""


def test_a_deadline_with_a_fraction_is_denied(tmp_path):
    assert play(tmp_path, "fractions") == ""


def test_an_acknowledged_leave_is_forgotten_when_all_processes_are_killed(tmp_path):
    assert play(tmp_path, "power", releases=60.0, kill_delays_s=[0.0]) == ""


# Guards against a refusal that no upstream proved and that callers take for the system's own.
def test_refusals_of_upstreams_without_proof_reach_callers(tmp_path):
    assert not play(tmp_path, "unproved")
