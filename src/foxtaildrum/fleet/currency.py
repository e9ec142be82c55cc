"""Tracks how old this instance's tables are and decides whether it may serve from them.

A starting instance waits until a quorum of the control group confirms its tables. An instance
that has had no such confirmation for a while keeps serving only if the control group is down;
it stops serving if the instance itself is cut off from the fleet.
"""

from __future__ import annotations

from ..control.table_follower import TableFollower
from .membership import Membership, MemberState

START_MAX_TABLE_AGE_S = 5.0
CUT_OFF_AFTER_S = 15.0
START_WITHOUT_QUORUM_AFTER_S = 15.0


class Currency:
    """Decides from quorum confirmations and membership whether the tables may be used.

    Parameters
    ----------
    follower : TableFollower
        Records when a quorum last confirmed the tables.
    members : Membership
        Membership view that tells which instances are reachable.
    fetches_entries : bool
        Whether this instance is outside the control group and only replicates its tables.
    now : float
        Current time in seconds.
    start_max_age_s : float
        Highest age of the tables with which a start is complete, in seconds.

    Attributes
    ----------
    started : bool
        Whether the start is complete; see :meth:`update_started`.
    """

    __slots__ = (
        "_fetches_entries",
        "_fleet_size",
        "_follower",
        "_highest_index",
        "_last_ack_sent_at",
        "_members",
        "_start_max_age_s",
        "_started_at",
        "started",
    )

    def __init__(
        self,
        follower: TableFollower,
        members: Membership,
        fetches_entries: bool,
        now: float,
        start_max_age_s: float = START_MAX_TABLE_AGE_S,
    ) -> None:
        self._start_max_age_s = start_max_age_s
        self._follower = follower
        self._members = members
        self._fetches_entries = fetches_entries
        self._started_at = now
        self._last_ack_sent_at = now
        self._highest_index = 0
        self._fleet_size = 0
        self.started = False

    def tick(self, now: float) -> None:
        """Update the fleet size, and ``started`` if the start is complete."""
        self._update_fleet_size(now)
        self.update_started(now)

    def record_ack(self, sent_at: float) -> None:
        """Record that a peer acknowledged a ping that was sent at ``sent_at``."""
        self._last_ack_sent_at = max(self._last_ack_sent_at, sent_at)

    def record_index(self, index: int) -> None:
        """Record that another instance has applied the table log up to ``index``."""
        self._highest_index = max(self._highest_index, index)

    def update_started(self, now: float) -> None:
        """Set ``started`` if this instance's tables are recent enough to serve from.

        The start is complete once the tables include every change accepted up to
        ``start_max_age_s`` ago. An instance outside the control group may also start
        without a quorum: after ``START_WITHOUT_QUORUM_AFTER_S``, if a majority of the
        fleet is reachable and the tables include the highest index that a peer reported and
        one that a quorum has confirmed since this instance or a peer started. Without such a
        confirmation the tables may come from the snapshot of a control instance, which lacks
        what was accepted after it.
        """
        if self.started:
            return
        age_s = self._follower.compute_age(now)
        if age_s is not None and age_s <= self._start_max_age_s:
            self.started = True
            return
        waited = now - self._started_at >= START_WITHOUT_QUORUM_AFTER_S
        caught_up = 0 < self._highest_index <= self._follower.index
        self.started = (
            waited
            and caught_up
            and age_s is not None
            and self._fetches_entries
            and self._sees_majority()
        )

    def is_current(self, now: float) -> bool:
        """Return whether the tables include every change older than ``CUT_OFF_AFTER_S``."""
        age_s = self._follower.compute_age(now)
        return age_s is not None and age_s <= CUT_OFF_AFTER_S

    def is_cut_off(self, now: float) -> bool:
        """Return whether this instance, rather than the control group, is unreachable.

        Without a recent quorum confirmation the instance keeps serving while a majority
        of the fleet is reachable: the control group is then down, so no change can have
        been accepted since. If only a minority is reachable, it stops serving. It also
        stops if it has a recent confirmation but lacks the confirmed tables, and if no
        peer has acknowledged a ping recently, as after a pause of the process.
        """
        if self.is_current(now):
            return False
        if now - self._follower.get_beacon()[1] <= CUT_OFF_AFTER_S:
            return True
        has_others = self._fleet_size > 1
        if has_others and now - self._last_ack_sent_at > CUT_OFF_AFTER_S:
            return True
        return not self._sees_majority()

    def _sees_majority(self) -> bool:
        usable = sum(m.usable for m in self._members.members.values())
        return usable * 2 > self._fleet_size

    def _update_fleet_size(self, now: float) -> None:
        """Update the fleet size that a majority is computed from.

        The size counts the usable members, and those declared dead since the time up to
        which the tables include every change. While that time is longer ago than
        ``CUT_OFF_AFTER_S``, the size never shrinks: otherwise an instance in a minority
        partition would count only its own side and see itself in a majority.
        """
        members = self._members.members.values()
        age_s = self._follower.compute_age(now)
        known_at = self._started_at if age_s is None else now - age_s
        size = sum(
            m.usable or (m.state is MemberState.DEAD and m.changed_at >= known_at)
            for m in members
        )
        self._fleet_size = size if self.is_current(now) else max(self._fleet_size, size)
