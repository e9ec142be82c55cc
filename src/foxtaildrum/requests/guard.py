"""Refuses a request under which several upstreams crashed, and reports crashes under it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..fleet.crashes import MAX_CRASHES, CrashView, describe_start
from .fingerprints import compute_fingerprint, compute_head_digest
from .transport import OutgoingRequest

RETRY_AFTER_CRASHES_S = 60.0


class CrashReporter(Protocol):
    """Passes reports on to the fleet; no method waits."""

    def report_crash(self, fingerprint: str, upstream_id: str, incarnation: int) -> None:
        """Report that an upstream ended while it ran a request."""

    def clear_crashes(self, fingerprint: str) -> None:
        """Report that an upstream answered a request that had been reported."""


class CrashGuard:
    """Guards the upstreams against one request.

    Parameters
    ----------
    request : OutgoingRequest
        Request to be sent.
    get_view : callable
        Returns the crashes that the fleet knows at present.
    reporter : CrashReporter or None
        Receives the reports; None if there is no fleet to report to.
    """

    __slots__ = (
        "_fingerprint",
        "_get_view",
        "_head_digest",
        "_own_starts",
        "_reporter",
        "_request",
    )

    def __init__(
        self,
        request: OutgoingRequest,
        get_view: Callable[[], CrashView],
        reporter: CrashReporter | None,
    ) -> None:
        self._request = request
        self._get_view = get_view
        self._reporter = reporter
        self._own_starts: frozenset[str] = frozenset()
        self._head_digest = ""
        self._fingerprint = ""

    def is_refused(self) -> bool:
        """Return whether the request must not be sent (again)."""
        starts = self._find_starts()
        return len((starts or frozenset()) | self._own_starts) >= MAX_CRASHES

    def record_crash(self, upstream_id: str, incarnation: int) -> None:
        """Record that an upstream ended while it ran the request."""
        self._own_starts |= {describe_start(upstream_id, incarnation)}
        if self._reporter is not None:
            self._reporter.report_crash(self.get_fingerprint(), upstream_id, incarnation)

    def record_answer(self) -> None:
        """Record that an upstream ran the request and answered."""
        if self._reporter is not None and self._find_starts() is not None:
            self._reporter.clear_crashes(self.get_fingerprint())

    def get_fingerprint(self) -> str:
        """Return the fingerprint of the request."""
        if not self._fingerprint:
            self._fingerprint = compute_fingerprint(self._request, self._get_head_digest())
        return self._fingerprint

    def _find_starts(self) -> frozenset[str] | None:
        # The body is read only if the head matches, which is very rare.
        view = self._get_view()
        if view.is_empty or not view.may_know(self._get_head_digest()):
            return None
        return view.get_starts(self.get_fingerprint())

    def _get_head_digest(self) -> str:
        if not self._head_digest:
            self._head_digest = compute_head_digest(self._request)
        return self._head_digest
