"""Permits of one organisation at one instance, without I/O."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from .bounds import OrganisationLimit

# A permit is not used in the last part of its validity, because the request may still wait for
# a slot afterwards.
SEND_MARGIN_S = 0.1
# Unused permits are returned this time before they may no longer be used; the tick of an entry
# instance is 0.25 s, and a permit that comes back too late is lost.
RETURN_AHEAD_S = 0.15
# Time constant of the decaying average of the demand.
DEMAND_PERIOD_S = 5.0
# Permits are requested in advance if at least this number of requests is expected while they
# are valid.
STEADY_DEMAND = 1.0
MAX_ADVANCE = 100
MAX_RETRY_AFTER_S = 10.0
# Multiples of it, taken modulo 1, are spread evenly over that interval.
GOLDEN_RATIO = 0.618034
# An organisation counts as limited until this time after its last refusal.
LIMITED_S = 5.0


class HeldLot:
    """Permits that one reply granted.

    Parameters
    ----------
    issuer : str
        Instance that issued them.
    issued_at : float
        Time at which they were issued there, in seconds of its clock.
    ends_at : float
        Time until which they may be used, in seconds of the clock here.
    count : int
        Permits left.
    """

    __slots__ = ("count", "ends_at", "issued_at", "issuer", "returned")

    def __init__(self, issuer: str, issued_at: float, ends_at: float, count: int) -> None:
        self.issuer = issuer
        self.issued_at = issued_at
        self.ends_at = ends_at
        self.count = count
        self.returned = 0


@dataclass(slots=True)
class ReturnedPermits:
    """Unused permits to return to the issuer.

    Parameters
    ----------
    returned : int
        Permits of the lot that were returned so far, including those of this message.
    """

    name: str
    issuer: str
    issued_at: float
    returned: int


class Ticket:
    """A request that waits for a permit.

    Attributes
    ----------
    is_settled : bool
        Whether the request has its permit, is refused, or no longer waits.
    lot : HeldLot or None
        Lot whose permit the request takes; None if it was refused.
    wait_s : float
        Time after which a refused request may come again, in seconds.
    """

    __slots__ = ("is_settled", "lot", "wait_s")

    def __init__(self) -> None:
        self.is_settled = False
        self.lot: HeldLot | None = None
        self.wait_s = 0.0


class Quota:
    """Permits, waiting requests and demand of one organisation.

    Parameters
    ----------
    limit : OrganisationLimit
        Limit that this instance knows.

    Attributes
    ----------
    requested_at : float or None
        Time of the request for permits that is not answered yet.
    tickets : deque of Ticket
        Requests that wait.
    used : int
        Number of requests that took a permit or used the share without replies.
    refused : int
        Number of requests refused because the limit was reached.
    unanswered : int
        Number of requests refused because the issuer did not reply.
    is_limited : bool
        Whether a request was refused in the last ``LIMITED_S`` because the limit was reached.
    """

    __slots__ = (
        "_demand_at",
        "_demand_per_s",
        "_lots",
        "_refused_at",
        "_refused_since_reply",
        "_retry_at",
        "_spacing_s",
        "_unanswered_uses",
        "_valid_s",
        "is_limited",
        "limit",
        "refused",
        "requested_at",
        "tickets",
        "unanswered",
        "used",
    )

    def __init__(self, limit: OrganisationLimit) -> None:
        self.limit = limit
        self.requested_at: float | None = None
        self.tickets: deque[Ticket] = deque()
        self.used = 0
        self.refused = 0
        self.unanswered = 0
        self.is_limited = False
        self._lots: deque[HeldLot] = deque()
        self._demand_per_s = 0.0
        self._demand_at = -math.inf
        self._valid_s = 0.0
        self._retry_at = -math.inf
        self._refused_at = -math.inf
        self._refused_since_reply = 0
        self._spacing_s = 0.0
        self._unanswered_uses: deque[float] = deque()

    def note_demand(self, now: float) -> None:
        """Count a request, in an average that decays."""
        self._demand_per_s = self._compute_demand(now) + 1.0 / DEMAND_PERIOD_S
        self._demand_at = now

    def take(self, now: float) -> HeldLot | None:
        """Take a permit that is held; return its lot, or None if there is none."""
        for lot in self._lots:
            if lot.count and now < lot.ends_at:
                lot.count -= 1
                self.used += 1
                return lot
        return None

    def give_back(self, now: float, name: str, lot: HeldLot) -> ReturnedPermits | None:
        """Make the permit of a request that was not run available again.

        Returns
        -------
        ReturnedPermits or None
            What to return to the issuer, if the permit may not be used here any more.
        """
        self.used -= 1
        if now < lot.ends_at - RETURN_AHEAD_S and lot in self._lots:
            lot.count += 1
            return None
        lot.returned += 1
        return ReturnedPermits(name, lot.issuer, lot.issued_at, lot.returned)

    def pop_returns(self, now: float, name: str) -> list[ReturnedPermits]:
        """Remove the permits that end soon; return what to return to the issuer."""
        returns = []
        while self._lots and now >= self._lots[0].ends_at - RETURN_AHEAD_S:
            lot = self._lots.popleft()
            if lot.count and now < lot.ends_at + SEND_MARGIN_S:
                lot.returned += lot.count
                returns.append(ReturnedPermits(name, lot.issuer, lot.issued_at, lot.returned))
            lot.count = 0
        return returns

    def count_held(self, now: float) -> int:
        """Return the number of permits that may be used now."""
        return sum(lot.count for lot in self._lots if now < lot.ends_at)

    def compute_ahead(self, now: float) -> int:
        """Return how many permits to request in advance: what is expected and not held.

        None are requested for an organisation with few requests here: they would mostly end
        unused.
        """
        usable_s = self._valid_s - SEND_MARGIN_S - RETURN_AHEAD_S
        expected = self._compute_demand(now) * max(0.0, usable_s)
        if expected < STEADY_DEMAND or now < self._retry_at:
            return 0
        held = self.count_held(now)
        return 0 if held > expected / 2 else min(MAX_ADVANCE, round(expected) - held)

    def refuse(self, now: float) -> float | None:
        """Refuse a request if the issuer's last reply has set a time that is not over yet.

        Returns
        -------
        float or None
            Time after which the request may come again, in seconds; None if it is not
            refused. The times of several requests are spread.
        """
        if now >= self._retry_at:
            return None
        self.refused += 1
        self._refused_at = now
        first_s = min(MAX_RETRY_AFTER_S / 2, self._retry_at - now)
        span_s = MAX_RETRY_AFTER_S - first_s
        rounds, later_s = divmod(self._refused_since_reply * self._spacing_s, span_s)
        self._refused_since_reply += 1
        # Requests for which there is no room before the longest time are spread evenly.
        shift_s = rounds * GOLDEN_RATIO * self._spacing_s
        return first_s + (later_s + shift_s) % span_s

    def settle(self, now: float, lot: HeldLot, valid_s: float, wait_s: float) -> None:
        """Apply a reply of the issuer: give permits to waiting requests, refuse the rest.

        Parameters
        ----------
        lot : HeldLot
            Permits granted, of which there may be none.
        wait_s : float
            Time before permits may be requested again, in seconds; 0 if all were granted.
        """
        self.requested_at = None
        self._valid_s = valid_s
        if lot.count and now < lot.ends_at:
            self._lots.append(lot)
        if wait_s > 0:
            missing = max(1, len(self.tickets) - lot.count)
            self._retry_at = now + wait_s
            self._spacing_s = max(1.0 / self.limit.rate_per_s, wait_s / missing)
            self._refused_since_reply = 0
        while self.tickets:
            ticket_lot = self.take(now)
            wait_s = None if ticket_lot is not None else self.refuse(now)
            if ticket_lot is None and wait_s is None:
                return
            ticket = self.tickets.popleft()
            ticket.is_settled = True
            ticket.lot = ticket_lot
            ticket.wait_s = wait_s or 0.0

    def use_unanswered(self, now: float, window_s: float, uses: int) -> bool:
        """Use this instance's share of what may be used without replies, if any is left."""
        span_s = window_s + SEND_MARGIN_S
        while self._unanswered_uses and now - self._unanswered_uses[0] >= span_s:
            self._unanswered_uses.popleft()
        if len(self._unanswered_uses) >= uses:
            return False
        self._unanswered_uses.append(now)
        self.used += 1
        return True

    def update_limited(self, now: float) -> bool:
        """Update whether the organisation is limited here; return whether that changed."""
        was_limited = self.is_limited
        self.is_limited = now - self._refused_at < LIMITED_S
        return self.is_limited is not was_limited

    def _compute_demand(self, now: float) -> float:
        return self._demand_per_s * math.exp((self._demand_at - now) / DEMAND_PERIOD_S)
