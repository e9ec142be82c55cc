"""Confirmations of the tables, for requests that can't be decided by older ones."""

from __future__ import annotations

import threading
from collections.abc import Callable

from ..clock import read_clock
from .view import View

# Longest wait of a request. A read takes a round trip to the leader and one to its quorum.
MAX_WAIT_S = 0.3
# Age from which the tables are confirmed again before a request has to wait for it.
KEEP_RECENT_AGE_S = 0.75
# Shortest time between the beginnings of two reads, which all requests share.
READ_PERIOD_S = 0.05
# Time after which a read that has not ended is given up. One that ends later was suspended.
READ_LIMIT_S = 2.0
# Time after a failed read in which nobody waits; while reads fail, the next one ends within it.
FAILURE_PERIOD_S = 1.0


class Confirmations:
    """Gets the tables confirmed when requests need recent ones.

    Parameters
    ----------
    begin_read : callable
        Begins a read of the tables; given this object, whose :meth:`set` is called at its end.
        The view is complete up to the beginning of a read that has succeeded.
    get_view : callable
        Returns the view that is in force.
    """

    __slots__ = (
        "_begin_read",
        "_begun_at",
        "_changed",
        "_failed_at",
        "_get_view",
        "_is_reading",
    )

    def __init__(
        self, begin_read: Callable[[Confirmations], None], get_view: Callable[[], View]
    ) -> None:
        self._begin_read = begin_read
        self._get_view = get_view
        self._changed = threading.Condition()
        self._begun_at = float("-inf")
        self._is_reading = False
        self._failed_at = float("-inf")

    def keep_recent(self, now: float, view: View) -> None:
        """Begin a read if the tables will soon be too old; don't wait for its end."""
        age_s = view.compute_age(now)
        if age_s is None or age_s > KEEP_RECENT_AGE_S:
            with self._changed:
                self._begin_if_due(now)

    def wait(self, max_age_s: float, deadline: float) -> bool:
        """Wait until the tables in force are recent; return whether they are.

        While reads fail, nobody waits.

        Parameters
        ----------
        max_age_s : float
            Age up to which the tables are recent, in seconds.
        deadline : float
            Time at which the wait ends at the latest, in seconds.
        """
        deadline = min(deadline, read_clock() + MAX_WAIT_S)
        with self._changed:
            while True:
                now = read_clock()
                age_s = self._get_view().compute_age(now)
                if age_s is not None and age_s <= max_age_s:
                    return True
                self._begin_if_due(now)
                if now >= deadline or now - self._failed_at < FAILURE_PERIOD_S:
                    return False
                self._changed.wait(min(READ_PERIOD_S, deadline - now))

    def set(self, succeeded: bool) -> None:
        """Handle the end of a read."""
        now = read_clock()
        with self._changed:
            self._is_reading = False
            if succeeded:
                self._failed_at = float("-inf")
            elif now - self._begun_at < READ_LIMIT_S:
                self._failed_at = now
            self._changed.notify_all()

    def _begin_if_due(self, now: float) -> None:
        limit_s = READ_LIMIT_S if self._is_reading else READ_PERIOD_S
        if now - self._begun_at < limit_s:
            return
        self._begun_at = now
        self._is_reading = True
        self._begin_read(self)
