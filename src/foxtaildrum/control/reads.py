"""Reads of the tables that include every change accepted before them, without I/O.

The reader asks the leader for an index. The leader answers once a quorum has confirmed
it after the question came, so an instance that was cut off or paused cannot pass an old
state on as the present one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..events import ReadSettled, Send
from ..records import ReadReply, ReadRequest

READ_TIMEOUT_S = 0.85
RETRY_S = 0.2
ORIGIN_MARK = "/"


@dataclass(slots=True)
class ReadDone:
    """A read asked for at this instance may be answered, or failed."""

    token: str
    current: bool


class _Read:
    """A read asked for at this instance."""

    __slots__ = ("give_up_at", "index", "retry_at")

    def __init__(self, now: float) -> None:
        self.give_up_at = now + READ_TIMEOUT_S
        self.retry_at = now
        self.index = -1


class Reader:
    """Takes reads to the leader and waits until this instance shows what it told.

    Parameters
    ----------
    leads : callable
        Returns whether this instance leads.
    pick_control : callable
        Returns the control instance to ask; empty when none is known.
    get_index : callable
        Returns the index that this instance has applied.
    submit : callable
        Asks the log of this instance, which leads, for the index of a read.
    """

    def __init__(
        self,
        leads: Callable[[], bool],
        pick_control: Callable[[float], str],
        get_index: Callable[[], int],
        submit: Callable[[float, str], None],
    ) -> None:
        self._leads = leads
        self._pick_control = pick_control
        self._get_index = get_index
        self._submit = submit
        self._reads: dict[str, _Read] = {}
        self._out: list[Send | ReadDone] = []

    def ask(self, now: float, token: str) -> None:
        """Begin a read."""
        self._reads[token] = _Read(now)
        self._ask_leader(now, token)

    def tick(self, now: float) -> None:
        """Ask again where no answer came and give up what waited too long."""
        for token, read in list(self._reads.items()):
            if now >= read.give_up_at:
                del self._reads[token]
                self._out.append(ReadDone(token, False))
            elif read.index < 0 and now >= read.retry_at:
                self._ask_leader(now, token)

    def take_request(self, now: float, peer: str, message: ReadRequest) -> None:
        """Take a read that another instance asks for."""
        token = f"{peer}{ORIGIN_MARK}{message.token}"
        if self._leads():
            self._submit(now, token)
            return
        leader = self._pick_control(now)
        if leader and ORIGIN_MARK not in message.token:
            self._out.append(Send(leader, ReadRequest(token=token)))
        else:
            self._out.append(Send(peer, ReadReply(token=message.token, index=-1)))

    def take_reply(self, message: ReadReply) -> None:
        """Take the index of a read; one that was passed on goes back to where it came from."""
        origin, mark, token = message.token.partition(ORIGIN_MARK)
        if mark:
            self._out.append(Send(origin, ReadReply(token=token, index=message.index)))
            return
        read = self._reads.get(message.token)
        if read is not None and message.index >= 0:
            read.index = max(read.index, message.index)

    def settle(self, action: ReadSettled) -> None:
        """Take the index that this instance's own log tells."""
        self.take_reply(ReadReply(token=action.token, index=action.index))

    def take_out(self) -> list[Send | ReadDone]:
        """Return the messages and answers that are due."""
        for token, read in list(self._reads.items()):
            if 0 <= read.index <= self._get_index():
                del self._reads[token]
                self._out.append(ReadDone(token, True))
        out, self._out = self._out, []
        return out

    def _ask_leader(self, now: float, token: str) -> None:
        self._reads[token].retry_at = now + RETRY_S
        if self._leads():
            self._submit(now, token)
            return
        target = self._pick_control(now)
        if target:
            self._out.append(Send(target, ReadRequest(token=token)))
