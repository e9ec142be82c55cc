"""Which requests an instance still takes while it stops, without I/O."""

from __future__ import annotations

# Time that an answer needs to reach its caller before the connections are closed.
ANSWER_MARGIN_S = 0.2
# Share of the stop in which a request that may be repeated is taken whatever its time limit: it
# seldom needs all of it, and nothing is lost if it does.
IDEMPOTENT_SHARE = 0.5


class StopPlan:
    """Begin and end of a stop, at whose end open connections are closed.

    Parameters
    ----------
    started_at, ends_at : float
        Times in seconds.
    """

    __slots__ = ("_ends_at", "_started_at")

    def __init__(self, started_at: float, ends_at: float) -> None:
        self._started_at = started_at
        self._ends_at = ends_at

    def admits(self, now: float, deadline: float, idempotent: bool) -> bool:
        """Return whether a request is to be taken at ``now``.

        It is refused if the stop may end before its answer: another instance can answer it.
        """
        if deadline <= self._ends_at - ANSWER_MARGIN_S:
            return True
        length_s = self._ends_at - self._started_at
        return idempotent and now < self._started_at + IDEMPOTENT_SHARE * length_s
