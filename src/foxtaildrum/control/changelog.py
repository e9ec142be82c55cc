"""Logs what an instance comes to believe, once for each change."""

from __future__ import annotations

import logging

from ..fleet.node import Node
from ..logs import log_event


class ChangeLog:
    """Compares the node with what was logged of it last."""

    __slots__ = ("_leader", "_open", "_voters")

    def __init__(self) -> None:
        self._leader = ("", "")
        self._voters: list[str] = []
        self._open: bool | None = None

    def note(self, now: float, node: Node) -> None:
        """Log what has changed."""
        self._note_currency(now, node)
        consensus = node.consensus
        if consensus is None:
            return
        leader = (consensus.leader_id, consensus.role.value)
        if leader != self._leader:
            self._leader = leader
            log_event(
                "leader_changed", leader=leader[0] or "-", term=consensus.term, role=leader[1]
            )
        voters = sorted(consensus.voters)
        if voters != self._voters:
            self._voters = voters
            log_event("voters_changed", voters=",".join(voters), index=consensus.log.last_index)

    def _note_currency(self, now: float, node: Node) -> None:
        is_open = node.is_open(now)
        if is_open == self._open:
            return
        first = self._open is None
        self._open = is_open
        if is_open:
            log_event(
                "currency_regained",
                index=node.follower.index,
                version=node.state.tables.desired_number,
            )
        elif not first:
            age_s = node.follower.compute_age(now)
            known = -1.0 if age_s is None else round(age_s, 3)
            log_event("currency_lost", level=logging.WARNING, age_s=known)
