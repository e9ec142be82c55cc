"""Holder of the permits of organisations at one instance, without I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from ..ranks import compute_rank
from ..records import Organisation
from .bounds import OrganisationLimit, QuotaBounds
from .issuer import MAX_GRANT, QuotaGrant
from .quota import SEND_MARGIN_S, HeldLot, Quota, ReturnedPermits, Ticket

# Longest time that a request waits for a permit.
MAX_ADMIT_S = 0.1
# Time after which another control instance is asked, so that a request that waits gets a permit
# if only the leader it knew is gone. A reply usually takes 3 ms. While no issuer replies, an
# instance sends at most one request in this time.
REPLY_TIMEOUT_S = 0.05
# Spreads the requests of instances that were refused at the same time.
RETRY_SPREAD_RATIO = 0.25
# Shortest Retry-After of a request that is refused because the issuer does not reply; the
# longest is twice as long.
UNANSWERED_RETRY_S = 0.5
# Names of organisations in one message.
MAX_ITEMS = 200


@dataclass(slots=True)
class QuotaItem:
    """Permits to request for one organisation.

    Parameters
    ----------
    wanted : int
        Permits for requests that wait.
    ahead : int
        Permits in advance.
    """

    name: str
    wanted: int
    ahead: int


@dataclass(slots=True)
class QuotaPlan:
    """One message to the issuer.

    Parameters
    ----------
    requested_at : float
        Time of the request, in seconds, which the reply repeats.
    is_repeated : bool
        Whether an earlier request was not answered in time.
    """

    requested_at: float
    items: list[QuotaItem]
    is_repeated: bool


@dataclass(slots=True)
class LimitedChange:
    """An organisation begins or ends to be limited at this instance."""

    name: str
    is_limited: bool
    rate_per_s: float
    refused: int


class QuotaHolder:
    """Permits of this instance for the organisations that have a limit.

    Parameters
    ----------
    now : float
        Current time in seconds. The share without replies begins a window later, because the
        instance may have used it just before a restart.
    instance_id : str
        Identifier of this instance.
    bounds : QuotaBounds
        Bound on the requests of an organisation in a window.
    rng : random.Random
        Source of random choices.

    Attributes
    ----------
    instances : sequence of str
        Instances that serve callers, also suspect and dead ones; empty while they are not
        known, which leaves no share without replies.
    """

    __slots__ = (
        "_bounds",
        "_due",
        "_instance_id",
        "_quotas",
        "_resume_at",
        "_rng",
        "_silent",
        "_started_at",
        "instances",
    )

    def __init__(
        self, now: float, instance_id: str, bounds: QuotaBounds, rng: random.Random
    ) -> None:
        self._instance_id = instance_id
        self._bounds = bounds
        self._rng = rng
        self._started_at = now
        self._quotas: dict[str, Quota] = {}
        # A dict, as the order of a set of text differs from process to process.
        self._due: dict[str, None] = {}
        self._silent = False
        self._resume_at = -math.inf
        self.instances: Sequence[str] = ()

    @property
    def quotas(self) -> dict[str, Quota]:
        """State of each organisation with a limit whose requests reached this instance."""
        return self._quotas

    def admit(self, now: float, organisation: Organisation) -> Ticket:
        """Take a permit for a request; the ticket is not settled if it has to wait."""
        name = organisation.name
        quota = self._find_quota(organisation)
        quota.note_demand(now)
        ticket = Ticket()
        ticket.lot = quota.take(now)
        if ticket.lot is not None:
            ticket.is_settled = True
            if not quota.tickets and quota.compute_ahead(now):
                self._due[name] = None
            return ticket
        wait_s = quota.refuse(now)
        if wait_s is not None:
            ticket.is_settled = True
            ticket.wait_s = wait_s
            return ticket
        quota.tickets.append(ticket)
        self._due[name] = None
        return ticket

    def may_be_answered(self, now: float, name: str, until: float) -> bool:
        """Return whether a reply may come before ``until``, a time in seconds."""
        requested_at = self._quotas[name].requested_at
        if requested_at is not None and now < requested_at + REPLY_TIMEOUT_S:
            return True
        return max(now, self._resume_at) < until

    def withdraw(self, now: float, name: str, ticket: Ticket) -> bool:
        """End the wait of a request; return whether it may be sent without a permit.

        It may if the issuer is silent and the share without replies is not used up. Otherwise
        the time after which it may come again is set on the ticket.
        """
        self._note_timeouts(now)
        quota = self._quotas[name]
        quota.tickets.remove(ticket)
        ticket.is_settled = True
        chosen, uses = self._bounds.divide_unanswered(quota.limit, len(self.instances))
        window_s = self._bounds.window_s
        may_use = (
            self._silent
            and bool(self.instances)
            and now - self._started_at >= window_s + SEND_MARGIN_S
            and self._is_chosen(name, chosen)
            and quota.use_unanswered(now, window_s, uses)
        )
        if not may_use:
            quota.unanswered += 1
            ticket.wait_s = UNANSWERED_RETRY_S * self._rng.uniform(1.0, 2.0)
        return may_use

    def give_back(self, now: float, name: str, lot: HeldLot) -> ReturnedPermits | None:
        """Return the permit of a request that was not run."""
        quota = self._quotas.get(name)
        return None if quota is None else quota.give_back(now, name, lot)

    def refuse(self, now: float, name: str) -> float | None:
        """Refuse a request if a permit is certain to be refused; otherwise do nothing.

        Returns
        -------
        float or None
            Time after which it may come again, in seconds; None if it is not refused.
        """
        quota = self._quotas.get(name)
        if quota is None or quota.count_held(now):
            return None
        wait_s = quota.refuse(now)
        if wait_s is not None:
            quota.note_demand(now)
        return wait_s

    def plan_request(self, now: float) -> QuotaPlan | None:
        """Return the next message to the issuer, or None if none is due."""
        self._note_timeouts(now)
        if not self._due or now < self._resume_at:
            return None
        items = []
        for name in list(self._due):
            quota = self._quotas[name]
            if quota.requested_at is not None or len(items) >= MAX_ITEMS:
                continue
            self._due.pop(name, None)
            wanted = min(MAX_GRANT, len(quota.tickets))
            ahead = max(0, quota.compute_ahead(now) - wanted)
            if quota.is_limited:
                # Fewer and larger requests while the organisation asks for more than it gets.
                wanted, ahead = wanted + ahead, 0
            if wanted or ahead:
                quota.requested_at = now
                items.append(QuotaItem(name, wanted, ahead))
        if not items:
            return None
        is_repeated = self._silent
        if self._silent:
            self._resume_at = now + REPLY_TIMEOUT_S
        return QuotaPlan(now, items, is_repeated)

    def handle_reply(
        self,
        now: float,
        requested_at: float,
        issuer: str,
        issued_at: float,
        grants: list[QuotaGrant],
    ) -> None:
        """Apply a reply of the issuer; replies to other requests grant nothing.

        Parameters
        ----------
        issuer : str
            Instance that sent it.
        issued_at : float
            Time at the issuer, in seconds, by which permits are returned.
        """
        self._silent = False
        self._resume_at = -math.inf
        for grant in grants:
            quota = self._quotas.get(grant.name)
            if quota is None or quota.requested_at != requested_at:
                continue
            # Counted from the request, as the permits were issued after it.
            ends_at = requested_at + grant.valid_s - SEND_MARGIN_S
            wait_s = grant.wait_s * self._rng.uniform(1.0, 1.0 + RETRY_SPREAD_RATIO)
            lot = HeldLot(issuer, issued_at, ends_at, grant.count)
            quota.settle(now, lot, grant.valid_s, wait_s)
            if quota.tickets:
                self._due[grant.name] = None

    def handle_no_issuer(self, now: float, requested_at: float) -> None:
        """Handle a reply of an instance that may not issue; the requests continue to wait."""
        for name, quota in self._quotas.items():
            if quota.requested_at == requested_at:
                self._note_silence(name, quota)

    def tick(self, now: float) -> tuple[list[ReturnedPermits], list[LimitedChange]]:
        """Return the permits to return, and which organisations begin or end to be limited."""
        returns: list[ReturnedPermits] = []
        changes = []
        for name, quota in self._quotas.items():
            returns += quota.pop_returns(now, name)
            if quota.update_limited(now):
                rate_per_s = quota.limit.rate_per_s
                changes.append(LimitedChange(name, quota.is_limited, rate_per_s, quota.refused))
        return returns, changes

    def retain(self, names: set[str]) -> None:
        """Drop the state of organisations that are not in the table any more."""
        for name in self._quotas.keys() - names:
            if not self._quotas[name].tickets:
                del self._quotas[name]
                self._due.pop(name, None)

    def _find_quota(self, organisation: Organisation) -> Quota:
        quota = self._quotas.get(organisation.name)
        if quota is None:
            limit = OrganisationLimit(organisation.rate_per_s, organisation.burst)
            quota = self._quotas[organisation.name] = Quota(limit)
        elif quota.limit.rate_per_s != organisation.rate_per_s or (
            quota.limit.burst != organisation.burst
        ):
            quota.limit = OrganisationLimit(organisation.rate_per_s, organisation.burst)
        return quota

    def _note_timeouts(self, now: float) -> None:
        for name, quota in self._quotas.items():
            requested_at = quota.requested_at
            if requested_at is not None and now >= requested_at + REPLY_TIMEOUT_S:
                self._note_silence(name, quota)

    def _note_silence(self, name: str, quota: Quota) -> None:
        quota.requested_at = None
        if quota.tickets:
            self._due[name] = None
        self._silent = True

    def _is_chosen(self, name: str, chosen: int) -> bool:
        """Return whether this instance is among those that may act without replies.

        Rendezvous hashing needs no message, and chooses other instances for each
        organisation.
        """
        if chosen >= len(self.instances):
            return True
        own = compute_rank(name, self._instance_id)
        return sum(compute_rank(name, i) < own for i in self.instances) < chosen
