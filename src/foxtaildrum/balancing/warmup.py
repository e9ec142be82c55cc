"""Requests that one instance may send to a cold upstream, without I/O.

No messages are exchanged for the limit: each instance computes from its list of the entry
instances whether it may use an upstream while that is cold, and how often.
"""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Mapping

from ..ranks import compute_rank
from ..records import Pool

# Share of the bound that is divided among the instances. The rest covers instances whose lists
# of members differ for a moment.
BOUND_USED_RATIO = 0.7
# The bound counts arrivals in any second. The margin covers latency that differs between two
# requests.
WINDOW_S = 1.05
MIN_OWN_ZONE_RATIO = 0.5
UNLIMITED = sys.maxsize
# A period that ends later than the known one by at most this time is the same period: each
# heartbeat states it anew, and its message takes some time.
PERIOD_TOLERANCE_S = 0.5


class WarmupLimit:
    """Requests that all instances together may send to one cold upstream.

    Parameters
    ----------
    requests : int
        Requests in each window.
    window_s : float
        Length of the window, in seconds.
    """

    __slots__ = ("requests", "window_s")

    def __init__(self, requests: int, window_s: float) -> None:
        self.requests = requests
        self.window_s = window_s

    @classmethod
    def from_pool(cls, pool: Pool, overshoot: float, slack: float) -> WarmupLimit | None:
        """Return the limit of a pool; None if its row sets none.

        Parameters
        ----------
        overshoot : float
            Factor by which the rate of the pool is multiplied; 1 allows just the rate.
        slack : float
            Requests per second that are allowed in addition.
        """
        if pool.warmup_per_s <= 0:
            return None
        usable_per_s = BOUND_USED_RATIO * (pool.warmup_per_s * overshoot + slack)
        if usable_per_s <= 0:
            return cls(0, WINDOW_S)
        if usable_per_s < 1:
            return cls(1, WINDOW_S / usable_per_s)
        return cls(int(usable_per_s), WINDOW_S)

    def compute_share(self, instance_count: int) -> tuple[int, int]:
        """Return how many instances use a cold upstream, and the requests of each per window.

        Parameters
        ----------
        instance_count : int
            Number of entry instances.
        """
        count = min(instance_count, self.requests)
        return count, self.requests // count if count else 0


def choose_instances(
    ranks: Mapping[str, bytes], zones: Mapping[str, str], zone: str, count: int
) -> frozenset[str]:
    """Return the instances with the lowest ranks, at least half of them from one zone.

    Parameters
    ----------
    ranks : mapping
        Rank of each instance for the upstream.
    zones : mapping
        Availability zone of each instance.
    zone : str
        Availability zone of the upstream. All of its instances are chosen if they are fewer
        than half of ``count``.
    """
    ordered = sorted(ranks, key=lambda i: (ranks[i], i))
    local = [i for i in ordered if zones[i] == zone]
    chosen = local[: count - int(count * (1 - MIN_OWN_ZONE_RATIO))]
    known = set(chosen)
    others = [i for i in ordered if i not in known]
    return frozenset(chosen + others[: count - len(chosen)])


def extends_period(known: float | None, until: float) -> bool:
    """Return whether a cold period ends notably later than the known one.

    Parameters
    ----------
    known : float or None
        End of the known period, in seconds; None if none is known.
    """
    return known is None or until > known + PERIOD_TOLERANCE_S


class Warmup:
    """Cold period of one upstream, and what this instance may send in it.

    A request counts from the grant of its slot until one window after it was sent. So the
    requests sent in any window are at most the share, however long a connection takes.

    Parameters
    ----------
    upstream_id : str
        Identifier of the upstream.
    zone : str
        Availability zone of the upstream.
    instance_id : str
        Identifier of this instance.
    limit : WarmupLimit
        Requests of all instances together.
    starts_at : float
        Time before which nothing may be sent, in seconds: what was sent before is not known.

    Attributes
    ----------
    cold_until : float
        End of the cold period, in seconds.
    is_presumed : bool
        Whether the upstream only may be cold; a status check shows whether it is.
    share : int
        Requests that this instance may send in each window; 0 if it is not chosen.
    """

    __slots__ = (
        "_instance_id",
        "_limit",
        "_pending",
        "_ranks",
        "_sent",
        "_starts_at",
        "cold_until",
        "is_presumed",
        "share",
        "upstream_id",
        "zone",
    )

    def __init__(
        self,
        upstream_id: str,
        zone: str,
        instance_id: str,
        limit: WarmupLimit,
        starts_at: float = float("-inf"),
    ) -> None:
        self.upstream_id = upstream_id
        self.zone = zone
        self._instance_id = instance_id
        self._limit = limit
        self._starts_at = starts_at
        self._ranks: dict[str, bytes] = {}
        self._pending = 0
        self._sent: deque[float] = deque()
        self.cold_until = float("-inf")
        self.is_presumed = False
        self.share = 0

    @property
    def window_s(self) -> float:
        """Length of the window of the limit, in seconds."""
        return self._limit.window_s

    def assign_share(self, limit: WarmupLimit, zones: Mapping[str, str]) -> None:
        """Set the share of this instance for the present members.

        Only instances that were not known before are hashed.

        Parameters
        ----------
        zones : mapping
            Availability zone of each entry instance.
        """
        self._limit = limit
        known = self._ranks
        self._ranks = {i: known.get(i) or compute_rank(i, self.upstream_id) for i in zones}
        count, share = limit.compute_share(len(zones))
        chosen = choose_instances(self._ranks, zones, self.zone, count)
        self.share = share if self._instance_id in chosen else 0

    def update_share(self, now: float, limit: WarmupLimit, zones: Mapping[str, str]) -> None:
        """Set the share after a change of the limit or the members.

        A larger share is used one window later, because the instance that had it may have
        used it up just before.
        """
        before = self.share
        self.assign_share(limit, zones)
        if self.share > before:
            self._starts_at = max(self._starts_at, now + limit.window_s)

    def may_send(self, now: float) -> bool:
        """Return whether the upstream may get one more request of this instance."""
        return now >= self.cold_until or self._count_free(now) > 0

    def reserve(self) -> None:
        """Count a request that is granted a slot."""
        self._pending += 1

    def cancel(self) -> None:
        """Give back the reservation of a request that was not sent."""
        self._pending -= 1

    def record_sent(self, now: float) -> None:
        """Count a request that holds a reservation and was sent at ``now``."""
        self._pending -= 1
        self._sent.append(now)

    def count_due(self, now: float, until: float) -> int:
        """Return how many requests may be sent between ``now`` and ``until``."""
        if until >= self.cold_until:
            return UNLIMITED
        if not self.share or until < self._starts_at:
            return 0
        window_s = self._limit.window_s
        counted = sum(sent + window_s > until for sent in self._sent)
        later = int(max(0.0, until - max(now, self._starts_at)) / window_s) * self.share
        return max(0, self.share - self._pending - counted) + later

    def compute_wait(self, now: float) -> float:
        """Return the time until one more request may be sent, in seconds."""
        if now >= self.cold_until:
            return 0.0
        free_at = self.cold_until
        if self.share:
            free_at = max(self._starts_at, self._find_free_time(now))
        return max(0.0, min(self.cold_until, free_at) - now)

    def _find_free_time(self, now: float) -> float:
        window_s = self._limit.window_s
        excess = self._pending + len(self._sent) - self.share
        if excess < 0:
            return now
        return self._sent[excess] + window_s if excess < len(self._sent) else now + window_s

    def _count_free(self, now: float) -> int:
        if now < self._starts_at:
            return 0
        while self._sent and self._sent[0] + self._limit.window_s <= now:
            self._sent.popleft()
        return self.share - self._pending - len(self._sent)
