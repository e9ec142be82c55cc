"""Permits of organisations: requests to the leader of the control group, and its replies.

Only the leader issues them, and only while a quorum confirms it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from .. import records as r
from ..control.consensus import Consensus
from ..control.group import Role
from ..events import Send
from ..permits.bounds import OrganisationLimits, QuotaBounds
from ..permits.holder import REPLY_TIMEOUT_S, QuotaItem, QuotaPlan
from ..permits.issuer import MAX_GRANT, QuotaGrant, QuotaIssuer, may_issue
from ..permits.quota import ReturnedPermits
from .actions import ActionQueue, QuotasAnswered
from .parts import Part, handles

# Used until :meth:`QuotaPart.set_bounds` applies the settings.
DEFAULT_BOUNDS = QuotaBounds(window_s=5.0, overshoot=0.1, slack=20.0)
EXPIRE_PERIOD_S = 1.0
# An instance may hear of a leader up to this time after it began to lead.
LEADER_HEARD_MARGIN_S = 1.0
# A control instance that did not reply is not asked for this time, unless there is no other or
# it replies late.
AVOIDED_S = 0.5


class QuotaPart(Part):
    """Passes requests for permits to the leader, and issues permits while this instance leads.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    consensus : Consensus or None
        Replicated log; None on an instance outside the control group.
    list_control_instances : callable
        Returns the known control instances.
    is_usable : callable
        Returns whether an instance is alive.
    rng : random.Random
        Source of random choices.
    actions : ActionQueue
        Receives the actions.

    Attributes
    ----------
    limits : OrganisationLimits
        Limits of the organisations, which the table of organisations fills.
    """

    def __init__(
        self,
        instance_id: str,
        consensus: Consensus | None,
        list_control_instances: Callable[[], list[str]],
        is_usable: Callable[[str], bool],
        rng: random.Random,
        actions: ActionQueue,
    ) -> None:
        self._instance_id = instance_id
        self._consensus = consensus
        self._list_control_instances = list_control_instances
        self._is_usable = is_usable
        self._rng = rng
        self._actions = actions
        self.limits = OrganisationLimits()
        self._issuer = QuotaIssuer(self.limits, DEFAULT_BOUNDS)
        self._leader = ""
        # Requests without a reply, by the time of the request: the instance that was asked, the
        # message, and whether it was passed on to the leader that another instance named.
        self._open: dict[float, tuple[str, r.QuotaRequest, bool]] = {}
        self._avoided_until: dict[str, float] = {}
        self._expire_at = -math.inf
        # Term of the present leader and when this instance heard of it, and those of the leader
        # before it.
        self._present_term: tuple[int, float] = (-1, math.inf)
        self._former_term: tuple[int, float] = (-1, math.inf)

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Apply the settings of the bound."""
        self._issuer.bounds = bounds

    def tick(self, now: float) -> None:
        """Note the leader, and drop the buckets of organisations without a limit."""
        self._note_leader(now)
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_PERIOD_S
            self._issuer.drop_unlimited()

    def request(self, now: float, plan: QuotaPlan) -> None:
        """Request permits; :class:`QuotasAnswered` carries the reply."""
        for requested_at, (target, _, _) in list(self._open.items()):
            if now >= requested_at + REPLY_TIMEOUT_S:
                del self._open[requested_at]
                self._avoided_until[target] = now + AVOIDED_S
        if plan.is_repeated:
            self._leader = ""
        items = [[i.name, i.wanted, i.ahead] for i in plan.items]
        message = r.QuotaRequest(requested_at=plan.requested_at, items=items)
        target = self._find_target(now)
        self._open[plan.requested_at] = (target, message, False)
        self._send(now, target, message)

    def give_back(self, now: float, returns: list[ReturnedPermits]) -> None:
        """Return permits to the instances that issued them."""
        for issuer in sorted({p.issuer for p in returns}):
            items = [[p.name, p.issued_at, p.returned] for p in returns if p.issuer == issuer]
            self._send(now, issuer, r.QuotaReturn(items=items))

    @handles(r.QuotaRequest)
    def handle_request(self, now: float, peer: str, message: r.QuotaRequest) -> None:
        """Issue permits if this instance may; otherwise name the leader."""
        items = [_parse_item(item) for item in message.items]
        grants: list[list[Any]] = []
        if self._begin_issuing(now):
            for item in items:
                grant = self._issuer.issue(now, peer, item.name, item.wanted, item.ahead)
                grants.append([grant.name, grant.count, grant.wait_s, grant.valid_s])
        reply = r.QuotaReply(
            requested_at=message.requested_at,
            issued_at=now,
            leader=self._consensus.leader_id if self._consensus is not None else "",
            grants=grants,
        )
        self._send(now, peer, reply)

    @handles(r.QuotaReply)
    def handle_reply(self, now: float, peer: str, message: r.QuotaReply) -> None:
        """Pass a reply on, or pass the request on to the leader that the reply names."""
        parse_grants(message)  # refuses a malformed reply before any state changes
        asked = self._open.pop(message.requested_at, None)
        self._avoided_until.pop(peer, None)
        leader = message.leader
        if message.grants:
            self._leader = peer
        elif asked is not None and leader not in ("", peer):
            _, request, is_passed_on = asked
            if not is_passed_on and not self._is_avoided(now, leader):
                self._leader = leader
                self._open[message.requested_at] = (leader, request, True)
                self._send(now, leader, request)
                return
        self._actions.add(QuotasAnswered(peer, message))

    @handles(r.QuotaReturn)
    def handle_return(self, now: float, peer: str, message: r.QuotaReturn) -> None:
        """Make returned permits available again, while this instance may issue them."""
        items = [_parse_return(item) for item in message.items]
        if self._begin_issuing(now):
            for name, issued_at, returned in items:
                self._issuer.take_back(now, peer, name, issued_at, returned)

    def _begin_issuing(self, now: float) -> bool:
        """Return whether this instance may issue; if so, begin the term unless it has begun."""
        consensus = self._consensus
        if consensus is None or consensus.role is not Role.LEADER:
            return False
        self._note_leader(now)
        term, term_since = self._former_term
        since = consensus.leader_since
        # No other instance led between two consecutive terms.
        is_long = since - term_since > self._issuer.bounds.window_s + LEADER_HEARD_MARGIN_S
        follows_long_term = term + 1 == consensus.term and is_long
        confirmed_at = consensus.compute_confirmed_at(now)
        if not may_issue(now, since, confirmed_at, follows_long_term):
            return False
        self._issuer.begin_term(consensus.term, since, follows_long_term)
        return True

    def _note_leader(self, now: float) -> None:
        consensus = self._consensus
        if consensus is None or not consensus.leader_id:
            return
        if consensus.term != self._present_term[0]:
            self._former_term, self._present_term = self._present_term, (consensus.term, now)

    def _find_target(self, now: float) -> str:
        if self._consensus is not None and self._consensus.role is Role.LEADER:
            return self._instance_id
        if self._leader:
            return self._leader
        others = [c for c in self._list_control_instances() if c != self._instance_id]
        usable = [c for c in others if self._is_usable(c)]
        responsive = [c for c in usable if not self._is_avoided(now, c)]
        choices = responsive or usable or others
        return self._rng.choice(choices) if choices else ""

    def _is_avoided(self, now: float, instance_id: str) -> bool:
        return now < self._avoided_until.get(instance_id, -math.inf)

    def _send(
        self, now: float, target: str, message: r.QuotaRequest | r.QuotaReply | r.QuotaReturn
    ) -> None:
        if target == self._instance_id:
            self.build_handlers()[type(message)](now, target, message)
        elif target:
            self._actions.add(Send(target, message))


def parse_grants(message: r.QuotaReply) -> list[QuotaGrant]:
    """Return the grants of a reply.

    Raises
    ------
    ValueError
        If a grant has an invalid value.
    """
    return [_parse_grant(grant) for grant in message.grants]


def _parse_item(item: list[Any]) -> QuotaItem:
    name, wanted, ahead = item
    _check_text(name)
    _check_counts(wanted, ahead)
    return QuotaItem(name, wanted, ahead)


def _parse_grant(item: list[Any]) -> QuotaGrant:
    name, count, wait_s, valid_s = item
    _check_text(name)
    _check_counts(count)
    if not 0 <= wait_s < math.inf or not 0 < valid_s < math.inf:
        raise ValueError("a time of a grant is out of range")
    return QuotaGrant(name, count, wait_s, valid_s)


def _parse_return(item: list[Any]) -> tuple[str, float, int]:
    name, issued_at, returned = item
    _check_text(name)
    _check_counts(returned)
    return name, float(issued_at), returned


def _check_text(name: Any) -> None:
    if not isinstance(name, str):
        raise ValueError("the name of an organisation is no text")


def _check_counts(*counts: Any) -> None:
    for count in counts:
        if not isinstance(count, int) or not 0 <= count <= MAX_GRANT:
            raise ValueError("a number of permits is out of range")
