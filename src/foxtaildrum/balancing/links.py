"""Which pools an instance cannot reach over its own links, without I/O.

An instance that has lost its links hears from no upstream; so does one whose link is full,
and every instance if a pool is down. A check opens connections to some upstreams of each pool
and to other instances at the same time: if only the instances answer, the link works but does
not lead to the upstreams. Whether the pool is down is then told by the other instances.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Iterable

MIN_CHECK_INTERVAL_S = 0.25
RECHECK_PERIOD_S = 0.2
# Bounds the connections that one check opens.
MAX_CHECKED_POOLS = 16


class Verdict(enum.Enum):
    """Result of a check of one pool."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


def judge_pool(opened: int, needed: int, peer_answered: bool) -> Verdict:
    """Return the verdict on a pool.

    Parameters
    ----------
    opened : int
        Number of upstreams of the pool that accepted a connection.
    needed : int
        Number of them that shows that the pool can be reached.
    peer_answered : bool
        Whether another instance answered over the same link meanwhile.
    """
    if opened >= needed:
        return Verdict.REACHABLE
    return Verdict.UNREACHABLE if peer_answered else Verdict.UNKNOWN


class LinkStates:
    """State of the links to the pools, and when they are checked.

    A sign that the links of one pool are lost causes a check of other pools as well: the cause
    is often the same, and a request to another pool then need not find out by itself.

    Parameters
    ----------
    rng : random.Random
        Chooses the pools that are checked besides the suspected ones.
    """

    __slots__ = ("_checked_at", "_checked_at_by_pool", "_rng", "_suspected", "_unreachable")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._checked_at = -math.inf
        self._checked_at_by_pool: dict[str, float] = {}
        self._suspected: frozenset[str] = frozenset()
        self._unreachable: frozenset[str] = frozenset()

    @property
    def unreachable(self) -> frozenset[str]:
        """Names of the pools that cannot be reached."""
        return self._unreachable

    def suspect(self, now: float, pool: str) -> bool:
        """Note a sign that the links of a pool are lost; return whether a check is due."""
        if now - self._checked_at_by_pool.get(pool, -math.inf) < MIN_CHECK_INTERVAL_S:
            return self.is_pending(pool)
        self._suspected |= {pool}
        return True

    def is_pending(self, pool: str) -> bool:
        """Whether a check of a suspected pool has no result yet."""
        return pool in self._suspected

    def compute_wait_s(self, now: float) -> float | None:
        """Return the time until the next check in seconds; None if none is planned."""
        if self._suspected:
            return 0.0
        if not self._unreachable:
            return None
        return max(0.0, self._checked_at + RECHECK_PERIOD_S - now)

    def select_due(self, pools: Iterable[str]) -> list[str]:
        """Return the pools that the next check is about; forget those that are not listed."""
        names = set(pools)
        self._unreachable &= names
        self._suspected &= names
        due = self._choose(self._suspected, MAX_CHECKED_POOLS)
        due += self._choose(self._unreachable - set(due), MAX_CHECKED_POOLS - len(due))
        if self._suspected:
            due += self._choose(names - set(due), MAX_CHECKED_POOLS - len(due))
        return due

    def count_needed(self, pool: str, checked: int) -> int:
        """Return how many upstreams must accept a connection for a pool to be reachable.

        One is enough for a pool that is in use. Half of them are for one that could not be
        reached, so that an instance with few links left neither changes its mind with every
        check nor sends its requests to few upstreams.
        """
        return math.ceil(checked / 2) if pool in self._unreachable else 1

    def record_check(self, now: float, verdicts: dict[str, Verdict]) -> frozenset[str]:
        """Apply the result of a check; return the pools that can be reached again.

        Parameters
        ----------
        verdicts : dict
            Verdict by pool. A pool with an unknown verdict keeps its state, and so does a
            pool that was not checked.
        """
        self._checked_at_by_pool |= dict.fromkeys(verdicts, now)
        self._suspected -= verdicts.keys()
        lost = {n for n, verdict in verdicts.items() if verdict is Verdict.UNREACHABLE}
        reached = {n for n, verdict in verdicts.items() if verdict is Verdict.REACHABLE}
        restored = self._unreachable & reached
        self._unreachable = (self._unreachable | lost) - reached
        # Links are often restored together, so the other pools are checked without delay.
        self._checked_at = -math.inf if restored else now
        return restored

    def abandon_check(self, now: float) -> None:
        """Forget the suspicions, after a check that failed unexpectedly."""
        self._suspected = frozenset()
        self._checked_at = now

    def _choose(self, names: Iterable[str], count: int) -> list[str]:
        found = sorted(names)
        return self._rng.sample(found, min(count, len(found)))
