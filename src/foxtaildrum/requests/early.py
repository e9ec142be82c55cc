"""Response to a pipelined request that runs ahead of its turn on the connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waitress.channel import ClientDisconnected
from waitress.parser import HTTPRequestParser
from waitress.task import ErrorTask, Task, logger

from ..kinds import ErrorKind
from .callers import read_request_id
from .problem import Refusal
from .tasks import ContentTask

if TYPE_CHECKING:
    from .pipelines import PipelinedChannel

# Interval at which a thread without room checks whether the caller has disconnected.
DISCONNECT_POLL_S = 0.05

_CLOSE_LINE = b"Connection: close\r\n"
_HEAD_END = b"\r\n"


class _LostTask(ContentTask, ErrorTask):
    """Sends an error response in place of one that broke off before any of it was sent."""

    def execute(self) -> None:
        channel = self.channel
        request_id = read_request_id(self.request.headers.get("X_REQUEST_ID", ""))
        refusal = Refusal(
            ErrorKind.ANSWER_LOST,
            "the response of a pipelined request broke off",
            request_id,
            channel.addr[0],
        )
        self.status, headers, body = channel.server.refuse(refusal)
        self.response_headers.extend(headers)
        self.content_length = len(body)
        self.write(body)


class EarlyResponse:
    """Takes the place of a request in the queue of its connection while it runs ahead.

    The task that serves the request uses it as its connection.

    Parameters
    ----------
    channel : PipelinedChannel
        Connection of the caller.
    request : HTTPRequestParser
        Request that is served.

    Attributes
    ----------
    is_cut : bool
        Whether the response broke off and nothing can follow it on the connection.
    """

    __slots__ = (
        "_chunks",
        "_has_place",
        "_has_turn",
        "_held_bytes",
        "_is_begun",
        "_is_cancelled",
        "_is_finished",
        "_is_taken",
        "_wants_close",
        "addr",
        "adj",
        "channel",
        "is_cut",
        "request",
        "server",
    )

    def __init__(self, channel: PipelinedChannel, request: HTTPRequestParser) -> None:
        self.channel = channel
        self.request = request
        self.server = channel.server
        self.adj = channel.adj
        self.addr = channel.addr
        self.is_cut = False
        self._chunks: list[bytes] = []
        self._held_bytes = 0
        self._has_place = True
        # ``_is_taken``: the turn has come and the held chunks are being sent. ``_has_turn``:
        # they are sent, and the thread that serves the request writes to the connection.
        self._is_taken = False
        self._has_turn = False
        self._is_begun = False
        self._is_finished = False
        self._is_cancelled = False
        self._wants_close = False

    def check_client_disconnected(self) -> bool:
        """Return whether nobody waits for the response any more."""
        return self._is_cancelled or self.channel.check_client_disconnected()

    def settle_head(self, task: Task, head: bytes) -> bytes:
        """Return the head of a response that closes the connection, without stating that.

        Whether the response is the last one is known only at its turn.
        """
        self._wants_close = True
        task.close_on_finish = False
        return remove_close(head)

    def write_soon(self, data: bytes) -> int:
        """Hold a part of the response, or send it if its turn has come.

        Waits while the responses that are held on the connection have no room for it.

        Raises
        ------
        ClientDisconnected
            If nobody waits for the response any more.
        """
        changed = self.channel.early_changed
        with changed:
            while not self._has_turn:
                if self.check_client_disconnected():
                    raise ClientDisconnected
                if not self._is_taken and self.channel.hold(len(data)):
                    self._held_bytes += len(data)
                    self._chunks.append(data)
                    return len(data)
                changed.wait(DISCONNECT_POLL_S)
            if self._is_cancelled:
                raise ClientDisconnected
            is_head, self._is_begun = not self._is_begun, True
        return self.channel.write_soon(self._add_close(data) if is_head else data)

    def service(self) -> None:
        """Serve the request; called by a thread of the pool."""
        try:
            if self.check_client_disconnected():
                self.is_cut = True
            else:
                self._run(self.channel.task_class(self, self.request))
        finally:
            self.request.close()
            with self.channel.early_changed:
                self._is_finished = True
                has_turn = self._has_turn
            if has_turn:
                self.channel.end_turn(self)
            elif not self.channel.connected:
                self.close()

    def _run(self, task: Task) -> None:
        try:
            task.service()
        except ClientDisconnected:
            task.close_on_finish = True
        except Exception:
            logger.exception("Exception while serving %s", self.request.path)
            task.close_on_finish = True
        if not task.close_on_finish:
            return
        if self.check_client_disconnected() or not self._discard():
            self.is_cut = True
        else:
            self._run_lost()

    def _run_lost(self) -> None:
        try:
            _LostTask(self, self.request).service()
        except ClientDisconnected:
            self.is_cut = True

    def _discard(self) -> bool:
        """Discard a response that broke off; return whether none of it was sent."""
        with self.channel.early_changed:
            if not self._is_begun:
                self._wants_close = False
                self._free_chunks()
            return not self._is_begun

    def take_turn(self) -> bool:
        """Send what is held; return whether the response is complete.

        If it isn't, the thread that serves the request sends the rest and ends the turn.
        """
        changed = self.channel.early_changed
        with changed:
            self._is_taken = True
            chunks = self._chunks
            self._free_chunks()
            self._release_place()
            self._is_begun = bool(chunks)
        is_sent = True
        try:
            if chunks:
                chunks[0] = self._add_close(chunks[0])
            for chunk in chunks:
                self.channel.write_soon(chunk)
        except ClientDisconnected:
            is_sent = False
        with changed:
            if not is_sent:
                self._is_cancelled = self.is_cut = True
            self._has_turn = True
            changed.notify_all()
            return self._is_finished

    def close(self) -> None:
        """Cancel the request, if it still runs, and discard its response."""
        with self.channel.early_changed:
            self._is_cancelled = True
            self._free_chunks()
            self._release_place()

    def _add_close(self, head: bytes) -> bytes:
        """Return the head with ``Connection: close`` if the connection closes after it."""
        if self.channel.settle_early(self._wants_close):
            return head[: -len(_HEAD_END)] + _CLOSE_LINE + _HEAD_END
        return head

    def _free_chunks(self) -> None:
        self._chunks = []
        if self._held_bytes:
            self.channel.free(self._held_bytes)
        self._held_bytes = 0
        self.channel.early_changed.notify_all()

    def _release_place(self) -> None:
        if self._has_place:
            self._has_place = False
            self.server.pipelining.release()


def remove_close(head: bytes) -> bytes:
    """Return the head of a response without its statement that the connection closes."""
    return head.replace(_HEAD_END + _CLOSE_LINE, _HEAD_END, 1)
