"""Injects faults while callers and an operator use the site, and checks the guarantees."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from pathlib import Path

from tests.standins.processes import wait_until

from .faults import FAULTS, Undo
from .site import SoakSite
from .traffic import Callers, Operator

MIN_FAULT_S = 0.3
MAX_FAULT_S = 3.0
MIN_GAP_S = 0.1
MAX_GAP_S = 1.2


class SoakResult:
    """The injected faults and the observed results of one soak.

    Attributes
    ----------
    violations : list of str
        Guarantees that did not hold.
    accepted_version : int
        Highest version of a desired state that was acknowledged.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.injected_faults: list[str] = []
        self.violations: list[str] = []
        self.outcomes: dict[str, int] = {}
        self.accepted_version = 0

    def format(self) -> str:
        lines = [f"seed {self.seed}: {len(self.injected_faults)} faults"]
        lines += [f"  {fault}" for fault in self.injected_faults]
        lines.append(f"  responses to callers: {self.outcomes}")
        lines.append(f"  highest acknowledged desired state: {self.accepted_version}")
        lines += [f"  VIOLATION: {violation}" for violation in self.violations]
        lines.append(f"  to repeat: python -m tests.soak --seeds {self.seed}")
        return "\n".join(lines)


class FaultSchedule:
    """Starts random faults at random times; faults may overlap."""

    def __init__(self, site: SoakSite, seed: int, result: SoakResult) -> None:
        self._site = site
        self._rng = random.Random(f"{seed}-faults")
        self._result = result
        self._active: list[tuple[float, Undo]] = []
        self._next_at = 0.0

    def step(self, elapsed_s: float) -> None:
        """End the faults whose time is over and start the next one when it is due."""
        for item in [i for i in self._active if i[0] <= elapsed_s]:
            self._active.remove(item)
            item[1]()
        if elapsed_s < self._next_at:
            return
        self._next_at = elapsed_s + self._rng.uniform(MIN_GAP_S, MAX_GAP_S)
        name = self._rng.choice(sorted(FAULTS))
        duration_s = self._rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        undo = FAULTS[name](self._site, self._rng)
        if undo is not None:
            self._result.injected_faults.append(
                f"{elapsed_s:6.1f} s: {name} for {duration_s:.1f} s"
            )
            self._active.append((elapsed_s + duration_s, undo))

    def end_all(self) -> None:
        """End every active fault."""
        for _, undo in self._active:
            undo()
        self._active.clear()


def run_soak(
    folder: Path,
    seed: int,
    duration_s: float,
    report_progress: Callable[[float], None] | None = None,
) -> SoakResult:
    """Run the soak of one seed on a new site and return its result."""
    result = SoakResult(seed)
    site = SoakSite(folder)
    try:
        operator = Operator(site, seed)
        if not site.wait_until_ready() or not wait_until(operator.put_next):
            result.violations.append("the site did not start")
            return result
        callers = Callers(site, seed)
        schedule = FaultSchedule(site, seed, result)
        callers.start()
        operator.start()
        began = time.monotonic()
        while (elapsed_s := time.monotonic() - began) < duration_s:
            schedule.step(elapsed_s)
            time.sleep(0.02)
            if report_progress is not None:
                report_progress(elapsed_s / duration_s)
        schedule.end_all()
        callers.stop()
        operator.stop()
        _check(site, callers, operator, result)
    finally:
        site.close()
    return result


def _check(site: SoakSite, callers: Callers, operator: Operator, result: SoakResult) -> None:
    result.outcomes = callers.count_outcomes()
    result.accepted_version = operator.accepted_version
    if not site.wait_until_ready():
        result.violations.append("the site did not recover after the faults")
    for name in site.control_names:
        if operator.read(name) is None:
            result.violations.append(f"{name} refuses reads after all faults have ended")
    result.violations += operator.violations
    if not operator.accepted_version:
        result.violations.append("no desired state was acknowledged")
    _check_requests(site, callers, result)


def _check_requests(site: SoakSite, callers: Callers, result: SoakResult) -> None:
    runs = site.count_runs()
    for record in callers.records:
        count = runs.get(record.request_id, 0)
        reported_not_run = record.outcome == "not-run"
        if record.mismatch:
            result.violations.append(f"{record.request_id}: {record.mismatch}")
        if record.is_order and count > 1:
            result.violations.append(f"{record.request_id}: an order ran {count} times")
        if reported_not_run and count:
            result.violations.append(
                f"{record.request_id}: reported as not run, but ran {count} times"
            )
        if record.status == 200 and not count:
            result.violations.append(
                f"{record.request_id}: answered with status 200, but never ran"
            )
    if not any(record.status == 200 for record in callers.records):
        result.violations.append("no request was served")
