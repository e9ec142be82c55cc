"""Delays the acknowledgement of organisations until every instance acts on them, without I/O.

Tables without organisations allow an instance to pass a caller's key on, and are believed only
while they are recent. Once organisations have been in force for longer than that, no instance
does so any more, whether or not it has heard of them. Nobody has to be asked.
"""

from __future__ import annotations

from .tables import Tables


class IntroductionDelay:
    """Tells whether instances may still serve by tables from before the organisations.

    Parameters
    ----------
    delay_s : float
        Age up to which tables without organisations are recent, in seconds.
    """

    __slots__ = ("_delay_s", "_number", "_seen_at")

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._number = 0
        self._seen_at = float("-inf")

    def observe(self, now: float, tables: Tables) -> None:
        """Record when this instance has first seen the organisations in its tables.

        After a restart that is later than they came into force, which does no harm.
        """
        if tables.organisations_since != self._number:
            self._number = tables.organisations_since
            self._seen_at = now

    def is_over(self, now: float, tables: Tables) -> bool:
        """Return whether no instance serves by tables from before the organisations."""
        return tables.get_organisations() is None or now - self._seen_at > self._delay_s
