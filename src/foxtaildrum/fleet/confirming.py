"""Decides when to ask a control instance for a confirmation of the tables, and which one.

While organisations are in force, requests with keys are served only from tables that are known
to be recent. The pings on the ring bring confirmations too seldom for that.
"""

from __future__ import annotations

import random

# A control instance that follows asks the leader this often, to have something to pass on.
FOLLOWER_PERIOD_S = 0.2
# Any other instance asks once its confirmation is this old. One period of its ticks, the age of
# what a control instance passes on and a lost message come on top; the sum stays below 2 s.
MAX_UNASKED_AGE_S = 0.75
# Time after which another control instance is asked, if the confirmation is no newer.
REPEAT_S = 0.2


class ConfirmationSchedule:
    """Decides whom to ask for a confirmation.

    Parameters
    ----------
    me : str
        Identifier of this instance.
    rng : random.Random
        Source of random choices.
    """

    __slots__ = ("_ask_at", "_asked", "_me", "_rng")

    def __init__(self, me: str, rng: random.Random) -> None:
        self._me = me
        self._rng = rng
        self._ask_at = float("-inf")
        self._asked = ""

    def choose(
        self, now: float, confirmed_at: float, leader: str, control_instances: list[str]
    ) -> str:
        """Return the instance to ask now; empty if none is to be asked.

        Parameters
        ----------
        confirmed_at : float
            Time of the last confirmation, in seconds.
        leader : str
            Leader of the control group; empty if it is unknown or this instance is not in the
            control group.
        control_instances : list of str
            Control instances that may be asked.
        """
        if leader == self._me or now < self._ask_at:
            return ""
        if leader:
            self._ask_at = now + FOLLOWER_PERIOD_S
            return leader
        if now - confirmed_at < MAX_UNASKED_AGE_S:
            return ""
        others = [i for i in control_instances if i != self._me]
        # One that was asked and brought nothing newer may be gone.
        others = [i for i in others if i != self._asked] or others
        if not others:
            return ""
        self._ask_at = now + REPEAT_S
        self._asked = self._rng.choice(others)
        return self._asked
