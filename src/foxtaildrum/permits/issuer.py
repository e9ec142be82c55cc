"""Issuer of the permits of organisations, without I/O.

The leader of the control group issues them. It may only do so while a quorum has confirmed its
leadership recently, and tokens accrue only after a pause at the beginning of its term, so those
of two leaders never accrue at once.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .bounds import MIN_VALID_S, OrganisationLimit, OrganisationLimits, QuotaBounds

# A quorum must have confirmed the leadership within this time. It is shorter than the shortest
# election.
CONFIRMED_S = 0.5
# A former leader may issue for at most this time after the votes for the next one, whose voters
# no longer confirm it. The pause also covers handovers and voters that restarted: these vote
# before the shortest election is over.
TAKEOVER_S = CONFIRMED_S
# Longest time before a refused instance may ask again. It bounds how long an instance refuses
# after an organisation is back within its limit, and spreads the requests of a fleet.
MAX_WAIT_S = 2.0
# Permits that one reply grants for one organisation.
MAX_GRANT = 1000
# Permits in advance are issued only from the part of a bucket above this ratio.
ADVANCE_RATIO = 0.5


def may_issue(
    now: float,
    leader_since: float,
    confirmed_at: float | None,
    follows_long_term: bool = False,
) -> bool:
    """Return whether a leader may issue permits.

    One that follows a long term may issue the initial content of its buckets before the pause
    ends: the bound covers it beside all that its predecessor issues.

    Parameters
    ----------
    leader_since : float
        Time since which the instance leads, in seconds.
    confirmed_at : float or None
        Time up to which a quorum confirmed it, or None; see ``compute_confirmed_at``.
    follows_long_term : bool
        Whether the term before it lasted longer than a window.
    """
    if confirmed_at is None:
        return False
    if now - leader_since < TAKEOVER_S and not follows_long_term:
        return False
    return now - confirmed_at <= CONFIRMED_S


@dataclass(slots=True)
class QuotaGrant:
    """Answer of the issuer for one organisation.

    Parameters
    ----------
    count : int
        Permits issued; fewer than wanted if the bucket does not hold them.
    wait_s : float
        Time before permits may be asked for again, in seconds; 0 if all were issued.
    valid_s : float
        How long the permits are valid, in seconds, counted from the request.
    """

    name: str
    count: int
    wait_s: float
    valid_s: float


class IssuedLot:
    """Permits issued to one instance at one time, until they are no longer valid."""

    __slots__ = ("count", "ends_at", "issued_at", "peer", "returned")

    def __init__(self, peer: str, issued_at: float, ends_at: float, count: int) -> None:
        self.peer = peer
        self.issued_at = issued_at
        self.ends_at = ends_at
        self.count = count
        self.returned = 0


class Bucket:
    """Token bucket of one organisation.

    The tokens and the valid permits together never exceed the ceiling of the bound. Without
    it, permits that are held, returned and issued again would add up beyond the burst.

    Parameters
    ----------
    now : float
        Time since which tokens accrue, in seconds.
    limit : OrganisationLimit
        Limit of the organisation.
    bounds : QuotaBounds
        Bound on the requests in a window.
    level : float
        Tokens at first.
    """

    __slots__ = (
        "_bounds",
        "_capacity",
        "_ceiling",
        "_level",
        "_lots",
        "_outstanding",
        "_promised_at",
        "_updated_at",
        "limit",
        "valid_s",
    )

    def __init__(
        self, now: float, limit: OrganisationLimit, bounds: QuotaBounds, level: float = 0.0
    ) -> None:
        self._bounds = bounds
        self._level = level
        self._updated_at = now
        self._promised_at = now
        self._lots: deque[IssuedLot] = deque()
        self._outstanding = 0
        self._apply(limit)
        self._level = min(self._level, self._compute_room())

    def set_limit(self, now: float, limit: OrganisationLimit) -> None:
        """Apply a changed limit from now on."""
        self.settle(now)
        self._apply(limit)
        self._level = min(self._level, self._compute_room())
        self._promised_at = now

    def issue(self, now: float, peer: str, wanted: int, ahead: int) -> tuple[int, float]:
        """Issue permits.

        Parameters
        ----------
        wanted : int
            Permits for requests that wait.
        ahead : int
            Permits in advance, issued only while the bucket is well filled.

        Returns
        -------
        int
            Number of permits issued.
        float
            Time before the instance may ask again, in seconds; 0 if nothing was refused.
        """
        self.settle(now)
        count = min(wanted, MAX_GRANT, int(self._level))
        if count == wanted and ahead:
            spare = int(self._level - count - ADVANCE_RATIO * self._capacity)
            count += max(0, min(ahead, MAX_GRANT - count, spare))
        if count:
            self._level -= count
            self._outstanding += count
            self._lots.append(IssuedLot(peer, now, now + self.valid_s, count))
        if count >= wanted:
            return count, 0.0
        return count, self._promise(now, wanted - count)

    def take_back(self, now: float, peer: str, issued_at: float, returned: int) -> None:
        """Make unused permits available again, unless they are no longer valid.

        Parameters
        ----------
        returned : int
            Permits issued at that time that the instance has returned so far, in total, so that
            a message that arrives twice or late returns nothing twice.
        """
        self.settle(now)
        for lot in self._lots:
            if lot.issued_at == issued_at and lot.peer == peer:
                count = max(0, min(returned, lot.count + lot.returned) - lot.returned)
                lot.count -= count
                lot.returned += count
                self._outstanding -= count
                self._level = max(self._level, min(self._level + count, self._compute_room()))
                return

    def settle(self, now: float) -> None:
        """Add the tokens that accrued, and drop the permits that are no longer valid."""
        while self._lots and self._lots[0].ends_at <= now:
            lot = self._lots.popleft()
            self._accrue(lot.ends_at)
            self._outstanding -= lot.count
        self._accrue(now)

    def _apply(self, limit: OrganisationLimit) -> None:
        self.limit = limit
        self.valid_s = self._bounds.compute_valid_s(limit)
        self._capacity = self._bounds.compute_capacity(limit)
        self._ceiling = self._bounds.compute_ceiling(limit)

    def _accrue(self, now: float) -> None:
        gained = self.limit.rate_per_s * max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._level = max(self._level, min(self._level + gained, self._compute_room()))

    def _compute_room(self) -> float:
        return max(0.0, min(self._capacity, self._ceiling - self._outstanding))

    def _promise(self, now: float, missing: int) -> float:
        """Return when permits are likely; each promise takes its time from the rate.

        The waits of all instances thus spread their requests at about the rate, whatever the
        number of instances.
        """
        rate_per_s = self.limit.rate_per_s
        needed_s = max(0.0, 1.0 - self._level) / rate_per_s
        start = max(now + needed_s, self._promised_at)
        self._promised_at = min(start + missing / rate_per_s, now + MAX_WAIT_S)
        return min(MAX_WAIT_S, start - now)


class QuotaIssuer:
    """Issues the permits of all organisations while this instance leads the control group.

    Parameters
    ----------
    limits : OrganisationLimits
        Limits by name.
    bounds : QuotaBounds
        Bound on the requests of an organisation in a window.
    """

    __slots__ = ("_buckets", "_follows_long_term", "_limits", "_since", "_term", "bounds")

    def __init__(self, limits: OrganisationLimits, bounds: QuotaBounds) -> None:
        self._limits = limits
        self.bounds = bounds
        self._buckets: dict[str, Bucket] = {}
        self._term = -1
        self._since = 0.0
        self._follows_long_term = False

    def begin_term(
        self, term: int, leader_since: float, follows_long_term: bool = False
    ) -> None:
        """Begin with new buckets if the term is another one than before.

        A leader that was confirmed again in the same term had no successor meanwhile, so its
        buckets still count everything that was issued. Tokens accrue from the time at which no
        former leader issues any more, also before the first request.

        Parameters
        ----------
        follows_long_term : bool
            Whether the term before it lasted longer than a window. The buckets are empty
            otherwise, so that several changes in a window don't add up.
        """
        if term != self._term:
            self._term = term
            self._since = leader_since + TAKEOVER_S
            self._follows_long_term = follows_long_term
            self._buckets.clear()

    def issue(self, now: float, peer: str, name: str, wanted: int, ahead: int) -> QuotaGrant:
        """Issue permits of one organisation to an instance."""
        wanted, ahead = max(0, wanted), max(0, ahead)
        limit = self._limits.find(name)
        if limit is None:
            # The instance has not heard yet that the limit was removed.
            return QuotaGrant(name, min(wanted + ahead, MAX_GRANT), 0.0, MIN_VALID_S)
        bucket = self._find_bucket(now, name, limit)
        count, wait_s = bucket.issue(now, peer, wanted, ahead)
        return QuotaGrant(name, count, wait_s, bucket.valid_s)

    def take_back(
        self, now: float, peer: str, name: str, issued_at: float, returned: int
    ) -> None:
        """Make unused permits available again."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.take_back(now, peer, issued_at, returned)

    def drop_unlimited(self) -> None:
        """Drop the buckets of organisations that are gone or have no limit any more."""
        known = self._buckets.items()
        self._buckets = {n: b for n, b in known if self._limits.find(n) is not None}

    def _find_bucket(self, now: float, name: str, limit: OrganisationLimit) -> Bucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            # Tokens accrue from the beginning of the term: nobody has used any since then.
            level = self.bounds.compute_initial(limit) if self._follows_long_term else 0.0
            bucket = self._buckets[name] = Bucket(self._since, limit, self.bounds, level)
        elif bucket.limit != limit:
            bucket.set_limit(now, limit)
        return bucket
