"""Linearizable reads of the tables, without I/O.

A read includes every change accepted before it. The reader requests an index from the
leader, which replies only after a quorum has confirmed its leadership since the request.
So an instance that was cut off or paused can't return an old state as the latest one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..events import ReadIndexResolved, Send
from ..records import ReadReply, ReadRequest

READ_TIMEOUT_S = 0.85
RETRY_S = 0.2
ORIGIN_SEPARATOR = "/"  # between the instance that a request came from and its token


@dataclass(slots=True)
class ReadCompleted:
    """A read requested at this instance may be answered from its tables, or has failed.

    Attributes
    ----------
    begun_at : float
        Time up to which the tables include every accepted change, if it succeeded, in seconds.
    """

    token: str
    succeeded: bool
    begun_at: float


class _Read:
    """A read requested at this instance."""

    __slots__ = ("begun_at", "deadline", "index", "retry_at")

    def __init__(self, now: float) -> None:
        self.begun_at = now
        self.deadline = now + READ_TIMEOUT_S
        self.retry_at = now
        self.index = -1


class Reader:
    """Gets the index of a read from the leader and waits until this instance has applied it.

    Parameters
    ----------
    is_leader : callable
        Returns whether this instance leads.
    pick_control_instance : callable
        Returns the control instance to send requests to; empty when none is known.
    get_applied_index : callable
        Returns the index of the last entry that this instance has applied.
    submit : callable
        Requests the index of a read from the log; only called while this instance leads.
    """

    def __init__(
        self,
        is_leader: Callable[[], bool],
        pick_control_instance: Callable[[float], str],
        get_applied_index: Callable[[], int],
        submit: Callable[[float, str], None],
    ) -> None:
        self._is_leader = is_leader
        self._pick_control = pick_control_instance
        self._get_applied_index = get_applied_index
        self._submit = submit
        self._reads: dict[str, _Read] = {}
        self._actions: list[Send | ReadCompleted] = []

    def request_read(self, now: float, token: str) -> None:
        """Start a read; :class:`ReadCompleted` with this token reports its end."""
        self._reads[token] = _Read(now)
        self._request_index(now, token)

    def tick(self, now: float) -> None:
        """Retry requests without a reply and fail the reads whose deadline has passed."""
        for token, read in list(self._reads.items()):
            if now >= read.deadline:
                del self._reads[token]
                self._actions.append(ReadCompleted(token, False, read.begun_at))
            elif read.index < 0 and now >= read.retry_at:
                self._request_index(now, token)

    def handle_request(self, now: float, peer: str, message: ReadRequest) -> None:
        """Handle the read request of another instance; forward it at most once."""
        token = f"{peer}{ORIGIN_SEPARATOR}{message.token}"
        if self._is_leader():
            self._submit(now, token)
            return
        leader = self._pick_control(now)
        if leader and ORIGIN_SEPARATOR not in message.token:
            self._actions.append(Send(leader, ReadRequest(token=token)))
        else:
            self._actions.append(Send(peer, ReadReply(token=message.token, index=-1)))

    def handle_reply(self, message: ReadReply) -> None:
        """Store the index of a read, or send it to the instance that the request came from."""
        origin, separator, token = message.token.partition(ORIGIN_SEPARATOR)
        if separator:
            self._actions.append(Send(origin, ReadReply(token=token, index=message.index)))
            return
        read = self._reads.get(message.token)
        if read is not None and message.index >= 0:
            read.index = max(read.index, message.index)

    def handle_read_index(self, action: ReadIndexResolved) -> None:
        """Handle the index that the log of this instance has determined."""
        self.handle_reply(ReadReply(token=action.token, index=action.index))

    def pop_actions(self) -> list[Send | ReadCompleted]:
        """Return and clear the messages and results that are due."""
        for token, read in list(self._reads.items()):
            if 0 <= read.index <= self._get_applied_index():
                del self._reads[token]
                self._actions.append(ReadCompleted(token, True, read.begun_at))
        actions, self._actions = self._actions, []
        return actions

    def _request_index(self, now: float, token: str) -> None:
        self._reads[token].retry_at = now + RETRY_S
        if self._is_leader():
            self._submit(now, token)
            return
        target = self._pick_control(now)
        if target:
            self._actions.append(Send(target, ReadRequest(token=token)))
