"""Logs changes of the leader, the voters and of whether an instance serves callers."""

from __future__ import annotations

import logging

from ..fleet.node import Node
from ..logs import log_event


class StateChangeLogger:
    """Compares the node with the state logged last and logs each difference once."""

    __slots__ = ("_last_claims", "_last_leader", "_last_voters", "_was_open")

    def __init__(self) -> None:
        self._last_leader = ("", "")
        self._last_voters: list[str] = []
        self._last_claims: tuple[bool, list[str]] = (False, [])
        self._was_open: bool | None = None

    def log_changes(self, now: float, node: Node) -> None:
        """Log the differences since the previous call."""
        self._log_currency(now, node)
        consensus = node.consensus
        if consensus is None:
            return
        self._log_claims(node)
        leader = (consensus.leader_id, consensus.role.value)
        if leader != self._last_leader:
            self._last_leader = leader
            log_event(
                "leader_changed", leader=leader[0] or "-", term=consensus.term, role=leader[1]
            )
        voters = sorted(consensus.voters)
        if voters != self._last_voters:
            self._last_voters = voters
            log_event("voters_changed", voters=",".join(voters), index=consensus.log.last_index)

    def _log_claims(self, node: Node) -> None:
        """Log that the claim holder waits for others, or that it grants claims."""
        holder = node.holder
        awaited = holder.list_awaited()
        if (holder.recovered, awaited) == self._last_claims:
            return
        self._last_claims = (holder.recovered, awaited)
        if holder.recovered:
            log_event("claims_recovered", claims=len(holder.claims))
        else:
            log_event("claims_recovering", awaited=",".join(awaited))

    def _log_currency(self, now: float, node: Node) -> None:
        is_open = node.is_open(now)
        if is_open == self._was_open:
            return
        first = self._was_open is None
        self._was_open = is_open
        if is_open:
            log_event(
                "currency_regained",
                index=node.follower.index,
                version=node.state.tables.desired_number,
            )
        elif not first:
            age_s = node.follower.compute_age(now)
            rounded_age_s = -1.0 if age_s is None else round(age_s, 3)
            log_event("currency_lost", level=logging.WARNING, age_s=rounded_age_s)
