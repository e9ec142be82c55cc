"""What a case writes down, and its exit status."""

from __future__ import annotations

import os
import signal
import sys
import time
import traceback
from collections.abc import Callable
from pathlib import Path

from .deployment import Deployment

# Exit statuses, which run.sh translates: Python itself ends with 1 after an error.
HELD = 0
BROKEN = 10
NOT_RUN = 2
MAX_DURATION_S = 118


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Writes lines with the time since the start to ``record.txt``, and prints them."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


Case = Callable[[Deployment, Record, bool], bool]


def run_case(case: Case, folder: Path, build: Callable[[], Deployment]) -> None:
    """Run a case, which returns whether the rule was broken, and exit with its status."""
    for number in (signal.SIGTERM, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    signal.alarm(MAX_DURATION_S)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={int(has_trouble)}")
    status = NOT_RUN
    deployment = None
    try:
        deployment = build()
        status = BROKEN if case(deployment, record, has_trouble) else HELD
    except Exception:
        record.write(f"the case could not run: {traceback.format_exc()}")
    finally:
        if deployment is not None:
            deployment.close()
    record.write({HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[status])
    os._exit(status)
