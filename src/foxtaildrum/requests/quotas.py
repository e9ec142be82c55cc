"""Rate limits of organisations: permits for request threads."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from typing import Any

from ..clock import read_clock
from ..kinds import ErrorKind
from ..logs import log_event
from ..permits.holder import MAX_ADMIT_S, QuotaHolder, QuotaPlan
from ..permits.issuer import QuotaGrant
from ..permits.quota import HeldLot, ReturnedPermits
from ..records import Organisation

# While a request waits, it is checked this often whether a request for permits is due again.
POLL_S = 0.02


class QuotaClient:
    """Sends requests for permits to the issuer; ``NodeReports`` implements the methods."""

    def request_quotas(self, plan: QuotaPlan) -> None:
        """Request permits; the reply repeats the time of the plan."""

    def return_quotas(self, returns: list[ReturnedPermits]) -> None:
        """Return permits that were not used."""


class Decision:
    """Whether a request of an organisation may be sent.

    Parameters
    ----------
    kind : ErrorKind or None
        Error kind with which it is refused; None if it may be sent.
    wait_s : float or None
        Time after which a refused request may come again, in seconds.
    name : str
        Name of the organisation whose permit it took; empty if it took none.
    lot : HeldLot or None
        Lot of its permit; None if it took none.
    """

    __slots__ = ("kind", "lot", "name", "wait_s")

    def __init__(
        self,
        kind: ErrorKind | None = None,
        wait_s: float | None = None,
        name: str = "",
        lot: HeldLot | None = None,
    ) -> None:
        self.kind = kind
        self.wait_s = wait_s
        self.name = name
        self.lot = lot


_UNLIMITED = Decision()


class Quotas:
    """Admits requests of organisations by the permits of this instance.

    Parameters
    ----------
    holder : QuotaHolder or None
        Permits of this instance; None for one that admits every request.
    client : QuotaClient or None
        Reaches the issuer; None if there is no holder.
    get_time : callable
        Returns the current time, in seconds.
    """

    __slots__ = ("_answered", "_client", "_get_time", "_holder")

    def __init__(
        self,
        holder: QuotaHolder | None = None,
        client: QuotaClient | None = None,
        get_time: Callable[[], float] = read_clock,
    ) -> None:
        self._holder = holder
        self._client = client
        self._get_time = get_time
        self._answered = threading.Condition()

    def admit(self, now: float, organisation: Organisation, deadline: float) -> Decision:
        """Decide on a request; wait for the issuer at most ``MAX_ADMIT_S``.

        Parameters
        ----------
        deadline : float
            Time by which the response must have arrived, in seconds.
        """
        holder = self._holder
        if organisation.rate_per_s <= 0 or holder is None:
            return _UNLIMITED
        name = organisation.name
        until = min(now + MAX_ADMIT_S, deadline)
        with self._answered:
            ticket = holder.admit(now, organisation)
            self._send_due(now)
            while not ticket.is_settled:
                if now >= until or not holder.may_be_answered(now, name, until):
                    if holder.withdraw(now, name, ticket):
                        return Decision(name=name)
                    return Decision(ErrorKind.NOT_READY, ticket.wait_s)
                self._answered.wait(min(POLL_S, until - now))
                now = self._get_time()
                if not ticket.is_settled:
                    self._send_due(now)
        if ticket.lot is None:
            return Decision(ErrorKind.ORGANISATION_RATE_LIMITED, ticket.wait_s)
        return Decision(name=name, lot=ticket.lot)

    def refuse(self, now: float, organisation: Organisation) -> Decision | None:
        """Return the refusal of a request that can get no permit; None if it may get one."""
        if organisation.rate_per_s <= 0 or self._holder is None:
            return None
        with self._answered:
            wait_s = self._holder.refuse(now, organisation.name)
        if wait_s is None:
            return None
        return Decision(ErrorKind.ORGANISATION_RATE_LIMITED, wait_s)

    def give_back(self, now: float, decision: Decision) -> None:
        """Return the permit of a request that was not run."""
        if decision.lot is None:
            return
        with self._answered:
            returned = self._holder.give_back(now, decision.name, decision.lot)
        if returned is not None:
            self._client.return_quotas([returned])

    def handle_reply(
        self,
        now: float,
        requested_at: float,
        issuer: str,
        issued_at: float,
        grants: list[QuotaGrant],
    ) -> None:
        """Apply the reply of an instance; without grants it may not issue permits."""
        if self._holder is None:
            return
        with self._answered:
            if grants:
                self._holder.handle_reply(now, requested_at, issuer, issued_at, grants)
            else:
                self._holder.handle_no_issuer(now, requested_at)
            self._send_due(now)
            self._answered.notify_all()

    def set_instances(self, instances: Sequence[str]) -> None:
        """Apply which instances divide the share without replies."""
        if self._holder is not None:
            with self._answered:
                self._holder.instances = instances

    def tick(self, now: float) -> None:
        """Return permits that end soon, and log which organisations are limited."""
        if self._holder is None or not self._holder.quotas:
            return
        with self._answered:
            returns, changes = self._holder.tick(now)
            self._send_due(now)
        if returns:
            self._client.return_quotas(returns)
        for change in changes:
            log_event(
                "organisation_limited",
                organisation=change.name,
                rate_per_s=change.rate_per_s,
                state="begins" if change.is_limited else "ends",
                refused=change.refused,
            )

    def retain(self, organisations: list[Organisation]) -> None:
        """Drop what is known of organisations that are not in the table or have no limit."""
        if self._holder is None:
            return
        names = {o.name for o in organisations if o.rate_per_s > 0}
        with self._answered:
            self._holder.retain(names)

    def describe(self) -> list[dict[str, Any]]:
        """Return limit and use of each limited organisation with requests at this instance."""
        if self._holder is None:
            return []
        with self._answered:
            return [
                {
                    "organisation": name,
                    "rate_per_s": quota.limit.rate_per_s,
                    "burst": quota.limit.burst,
                    "used": quota.used,
                    "refused": quota.refused,
                    "unanswered": quota.unanswered,
                    "limited": quota.is_limited,
                }
                for name, quota in sorted(self._holder.quotas.items())
            ]

    def _send_due(self, now: float) -> None:
        plan = self._holder.plan_request(now)
        if plan is not None:
            self._client.request_quotas(plan)
