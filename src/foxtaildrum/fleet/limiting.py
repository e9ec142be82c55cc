"""Rate limits of upstreams: reports of the instances, and permits that the owner issues.

Only the instance that owns the lease of an upstream issues permits for it, so that the limit
holds for the fleet, whatever each instance knows.
"""

from __future__ import annotations

import math

from .. import records as r
from ..balancing.loads import MAX_RATE_LIMIT_PER_S
from ..events import Send
from ..permits.spacing import PermitIssuer
from ..permits.upstreams import MAX_PERMITS
from .actions import ActionQueue, PermitsAnswered
from .parts import Part, handles
from .upstreams import Entry, UpstreamList

NOT_OWNER_WAIT_S = 0.1
EXPIRE_PERIOD_S = 1.0


class LimitPart(Part):
    """Reports rate limits, and issues the permits of the upstreams that this instance owns.

    Parameters
    ----------
    upstreams : UpstreamList
        Upstreams that this instance knows.
    actions : ActionQueue
        Receives the actions.
    now : float
        Current time in seconds.
    """

    def __init__(self, upstreams: UpstreamList, actions: ActionQueue, now: float) -> None:
        self._upstreams = upstreams
        self._actions = actions
        self._issuers: dict[str, PermitIssuer] = {}
        self._expire_at = now

    def tick(self, now: float) -> None:
        """Drop the issuers of upstreams that are gone, unlimited or owned elsewhere."""
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_PERIOD_S
        self._issuers = {i: p for i, p in self._issuers.items() if self._find_limited(i)}

    def report(
        self, now: float, upstream_id: str, incarnation: int, limit_per_s: float | None
    ) -> None:
        """Tell the owner of an upstream which limit its responses name."""
        message = r.RateLimitReport(
            upstream_id=upstream_id, incarnation=incarnation, limit_per_s=limit_per_s
        )
        self._send_to_owner(now, upstream_id, message)

    def request(
        self, now: float, upstream_id: str, limit_per_s: float, count: int, requested_at: float
    ) -> None:
        """Request permits from the owner; :class:`PermitsAnswered` carries its reply."""
        message = r.PermitRequest(
            upstream_id=upstream_id,
            limit_per_s=limit_per_s,
            count=count,
            requested_at=requested_at,
        )
        self._send_to_owner(now, upstream_id, message)

    def give_back(self, now: float, upstream_id: str, count: int) -> None:
        """Return permits to the owner."""
        message = r.PermitReturn(upstream_id=upstream_id, count=count)
        self._send_to_owner(now, upstream_id, message)

    @handles(r.RateLimitReport)
    def handle_report(self, now: float, peer: str, message: r.RateLimitReport) -> None:
        """Apply a reported limit to an upstream that this instance owns."""
        if message.limit_per_s is not None:
            _check_limit(message.limit_per_s)
        self._upstreams.set_rate_limit(
            message.upstream_id, message.incarnation, message.limit_per_s
        )

    @handles(r.PermitRequest)
    def handle_request(self, now: float, peer: str, message: r.PermitRequest) -> None:
        """Issue permits of an upstream that this instance owns."""
        _check_limit(message.limit_per_s)
        count, wait_s = self._issue(now, message)
        reply = r.PermitReply(
            upstream_id=message.upstream_id,
            count=count,
            wait_s=wait_s,
            requested_at=message.requested_at,
        )
        if peer == self._upstreams.instance_id:
            self.handle_reply(now, peer, reply)
        else:
            self._actions.add(Send(peer, reply))

    @handles(r.PermitReply)
    def handle_reply(self, now: float, peer: str, message: r.PermitReply) -> None:
        """Pass the permits on to the pool of the upstream."""
        if not 0 <= message.wait_s < math.inf or not 0 <= message.count <= MAX_PERMITS:
            raise ValueError("a permit reply is out of range")
        entry = self._upstreams.entries.get(message.upstream_id)
        if entry is not None:
            self._actions.add(PermitsAnswered(entry.announcement.pool, message))

    @handles(r.PermitReturn)
    def handle_return(self, now: float, peer: str, message: r.PermitReturn) -> None:
        """Make returned permits available again."""
        issuer = self._issuers.get(message.upstream_id)
        entry = self._find_limited(message.upstream_id)
        if issuer is not None and entry is not None:
            count = max(0, min(message.count, MAX_PERMITS))
            issuer.take_back(now, entry.rate_limit_per_s, count)

    def _issue(self, now: float, message: r.PermitRequest) -> tuple[int, float]:
        entry = self._upstreams.entries.get(message.upstream_id)
        if entry is None or entry.owner != self._upstreams.instance_id:
            return 0, NOT_OWNER_WAIT_S
        # The report of the limit may have been lost; the request states it as well.
        known = entry.rate_limit_per_s
        limit_per_s = message.limit_per_s if known is None else known
        issuer = self._issuers.get(message.upstream_id)
        if issuer is None:
            issuer = self._issuers[message.upstream_id] = PermitIssuer(now, limit_per_s)
        return issuer.issue(now, limit_per_s, max(1, message.count))

    def _send_to_owner(
        self,
        now: float,
        upstream_id: str,
        message: r.RateLimitReport | r.PermitRequest | r.PermitReturn,
    ) -> None:
        entry = self._upstreams.entries.get(upstream_id)
        if entry is None:
            return
        if entry.owner != self._upstreams.instance_id:
            self._actions.add(Send(entry.owner, message))
            return
        self.build_handlers()[type(message)](now, entry.owner, message)

    def _find_limited(self, upstream_id: str) -> Entry | None:
        """Return the entry of a limited upstream that this instance owns."""
        entry = self._upstreams.entries.get(upstream_id)
        if entry is None or entry.is_tombstone or entry.rate_limit_per_s is None:
            return None
        return entry if entry.owner == self._upstreams.instance_id else None


def _check_limit(limit_per_s: float) -> None:
    if not 0 <= limit_per_s < MAX_RATE_LIMIT_PER_S:
        raise ValueError(f"invalid rate limit {limit_per_s!r}")
