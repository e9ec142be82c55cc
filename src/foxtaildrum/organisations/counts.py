"""Requests of each organisation, and refused keys, as this instance saw them."""

from __future__ import annotations

import enum
import threading
from collections import Counter
from collections.abc import Iterable

from ..kinds import ErrorKind

REPORT_PERIOD_S = 10.0


class Result(enum.StrEnum):
    """How a request of an organisation ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class OrganisationCounts:
    """Counts requests by organisation and result; safe to share between threads.

    Only the organisations in force are counted, which bounds the number of counters.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: dict[str, Counter[Result]] = {}

    def retain(self, names: Iterable[str]) -> None:
        """Count these organisations from now on; counts of those that remain are kept."""
        with self._lock:
            self._counts = {name: self._counts.get(name, Counter()) for name in names}

    def record(self, name: str, result: Result) -> None:
        """Count a request of an organisation, unless the organisation is gone."""
        with self._lock:
            counter = self._counts.get(name)
            if counter is not None:
                counter[result] += 1

    def list_counts(self) -> dict[str, dict[str, int]]:
        """Return the number of requests with each result, by organisation."""
        with self._lock:
            return {
                name: {result.value: counter[result] for result in Result}
                for name, counter in self._counts.items()
            }

    def list_by_result(self) -> dict[tuple[str, str], int]:
        """Return the number of requests by organisation and result."""
        return {
            (name, result): count
            for name, counts in self.list_counts().items()
            for result, count in counts.items()
        }


class RefusedKeys:
    """Requests refused for their keys since the last report; safe to share between threads.

    One line in ``REPORT_PERIOD_S`` reports them, however many there are.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[ErrorKind] = Counter()
        self._report_at = float("-inf")

    def record(self, now: float, kind: ErrorKind) -> dict[str, int] | None:
        """Record a refusal; return the counts to report, or None if no report is due."""
        with self._lock:
            self._counts[kind] += 1
            if now < self._report_at:
                return None
            self._report_at = now + REPORT_PERIOD_S
            counts, self._counts = self._counts, Counter()
            return {
                "missing": counts[ErrorKind.KEY_MISSING],
                "unknown": counts[ErrorKind.KEY_UNKNOWN_CALLER],
            }
