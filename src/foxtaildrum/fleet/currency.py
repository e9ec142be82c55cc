"""Whether an instance may take its tables for the present ones.

An instance that starts waits for the word of a quorum. One without such a word for a while
serves on only if the control group, and not the instance itself, is what is missing.
"""

from __future__ import annotations

from ..control.follower import TableFollower
from .membership import Membership, MemberState

START_AGE_S = 5.0
CUT_OFF_S = 15.0
GROUP_DOWN_START_S = 15.0


class Currency:
    """Judges the age of the tables by what was heard of the fleet.

    Parameters
    ----------
    follower : Follower
        Knows when a quorum last confirmed the tables.
    members : Membership
        Knows who can be seen.
    follows : bool
        Whether this instance follows the control group without being part of it.
    now : float
        Present time in seconds.

    Attributes
    ----------
    started : bool
        Whether this instance has learnt the present tables since its start.
    """

    __slots__ = (
        "_fleet_size",
        "_follower",
        "_follows",
        "_heard_at",
        "_highest_index",
        "_members",
        "_started_at",
        "started",
    )

    def __init__(
        self, follower: TableFollower, members: Membership, follows: bool, now: float
    ) -> None:
        self._follower = follower
        self._members = members
        self._follows = follows
        self._started_at = now
        self._heard_at = now
        self._highest_index = 0
        self._fleet_size = 0
        self.started = False

    def tick(self, now: float) -> None:
        """Follow the members and judge whether the start is over."""
        self._note_fleet(now)
        self.update_started(now)

    def note_answer(self, sent_at: float) -> None:
        """Take note of an answer to a ping that was sent at ``sent_at``."""
        self._heard_at = max(self._heard_at, sent_at)

    def note_index(self, index: int) -> None:
        """Take note that another instance has the tables up to ``index``."""
        self._highest_index = max(self._highest_index, index)

    def update_started(self, now: float) -> None:
        """Judge whether the start is over.

        It is once a quorum confirmed the tables a moment ago, or, on an instance that
        only follows, when the control group stays away and most of the fleet is seen.
        """
        if self.started:
            return
        age_s = self._follower.compute_age(now)
        if age_s is not None and age_s <= START_AGE_S:
            self.started = True
            return
        waited = now - self._started_at >= GROUP_DOWN_START_S
        caught_up = 0 < self._highest_index <= self._follower.index
        self.started = waited and caught_up and self._follows and self._sees_majority()

    def is_current(self, now: float) -> bool:
        """Return whether the tables include every change of more than a moment ago."""
        age_s = self._follower.compute_age(now)
        return age_s is not None and age_s <= CUT_OFF_S

    def is_cut_off(self, now: float) -> bool:
        """Return whether this instance, and not the control group, is cut off.

        Without a recent word of a quorum the instance serves on as long as it sees
        most of the fleet: then the control group is down and no change can have been
        accepted since. Seeing only a minority it stops. It also stops when it has such
        a word but not yet the tables, and when it was paused and has heard nobody since.
        """
        if self.is_current(now):
            return False
        if now - self._follower.get_beacon()[1] <= CUT_OFF_S:
            return True
        has_others = self._fleet_size > 1
        if has_others and now - self._heard_at > CUT_OFF_S:
            return True
        return not self._sees_majority()

    def _sees_majority(self) -> bool:
        usable = sum(m.usable for m in self._members.members.values())
        return usable * 2 > self._fleet_size

    def _note_fleet(self, now: float) -> None:
        """Keep the size of the fleet that a majority is counted against.

        It holds the usable members and those found dead since the time that the view
        of the tables is known for. While that is long ago it only grows: an instance
        that is cut off must not come to take its own side for the whole.
        """
        members = self._members.members.values()
        age_s = self._follower.compute_age(now)
        known_at = self._started_at if age_s is None else now - age_s
        size = sum(
            m.usable or (m.state is MemberState.DEAD and m.changed_at >= known_at)
            for m in members
        )
        self._fleet_size = size if self.is_current(now) else max(self._fleet_size, size)
