"""Pipelined requests: several requests of one connection are served at once.

The first request of a connection writes to the connection itself, as waitress does it. The
idempotent requests behind it are served by threads of their own. Their responses wait in
memory until all responses before them have been sent.
"""

from __future__ import annotations

import select
import threading
import time
from collections.abc import Callable
from typing import Any

from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.task import Task

from ..clock import read_clock
from ..records import Settings
from .early import EarlyResponse, remove_close

# Share of the threads that requests ahead of their turn may use; the rest is left to requests
# that are first on their connections.
MAX_THREAD_RATIO = 0.5

RepeatCheck = Callable[[str, str, str], bool]


class Pipelining:
    """Bounds on the pipelined requests of a server.

    Parameters
    ----------
    per_connection : int
        Maximum number of requests of one connection that run at once.
    total : int
        Maximum number of requests of the server that run ahead of their turn.
    buffer_bytes : int
        Maximum size of the responses of one connection that wait for their turn, in bytes.
    is_repeatable : callable
        Returns whether a request is idempotent, by its host, path and method.
    """

    __slots__ = ("_ahead", "_lock", "_total", "buffer_bytes", "is_repeatable", "per_connection")

    def __init__(
        self, per_connection: int, total: int, buffer_bytes: int, is_repeatable: RepeatCheck
    ) -> None:
        self.per_connection = per_connection
        self.buffer_bytes = buffer_bytes
        self.is_repeatable = is_repeatable
        self._total = total
        self._ahead = 0
        self._lock = threading.Lock()

    @classmethod
    def from_settings(cls, settings: Settings, is_repeatable: RepeatCheck) -> Pipelining | None:
        """Return the bounds of an instance; None if its requests run one after the other."""
        if settings.pipeline_per_connection == 1:
            return None
        return cls(
            settings.pipeline_per_connection,
            min(settings.pipeline_total, int(MAX_THREAD_RATIO * settings.threads)),
            settings.pipeline_buffer_bytes,
            is_repeatable,
        )

    @property
    def ahead(self) -> int:
        """Number of requests that have started ahead of their turn and still wait for it."""
        return self._ahead

    def acquire(self) -> bool:
        """Take one of the places ahead of the turn; return whether one was left."""
        with self._lock:
            if self._ahead >= self._total:
                return False
            self._ahead += 1
            return True

    def release(self) -> None:
        """Give back a place."""
        with self._lock:
            self._ahead -= 1


class PipelinedChannel(HTTPChannel):
    """Connection of a caller that may send requests before earlier ones are answered.

    The queue ``requests`` holds the requests in order; those that run ahead of their turn are
    replaced in it by an :class:`EarlyResponse`. It is changed under ``requests_lock``, which
    is never acquired while ``early_changed`` is held.

    Attributes
    ----------
    closing : bool
        Whether the connection closes after the last request that has started.
    early_bytes : int
        Size of the responses that wait for their turn, in bytes.
    early_changed : Condition
        Guards the responses that wait for their turn; set with the first of them.
    """

    closing = False
    early_bytes = 0
    early_changed: Any = None
    _turn_due = False
    _has_left = False
    # Number of times that the next request was handed to a thread.
    _handovers = 0

    def received(self, data: bytes) -> bool:
        """Read bytes that have arrived; start the requests that need not wait."""
        result = super().received(data)
        if not self.connected and self.request is not None:
            # The connection was closed while its input was read.
            self.request.close()
        if len(self.requests) > 1 and self.server.pipelining is not None:
            with self.requests_lock:
                for request in self.requests[1:]:
                    if not isinstance(request, EarlyResponse):
                        request.hold_head()
                self._start_ahead()
        return result

    def service(self) -> None:
        """Serve the first request; pass the turn on to those that run already."""
        handovers = self._handovers
        super().service()
        if self.requests:
            with self.requests_lock:
                if not self.connected and self._handovers == handovers:
                    # No other thread serves what is left of a closed connection.
                    self._drop_requests()
                elif self.server.pipelining is not None:
                    self._start_ahead()
        if self._turn_due:
            self._turn_due = False
            self._pass_turns()

    def defers_turn(self) -> bool:
        """Prepare the turn of the next request; return whether it needs no thread.

        One that runs ahead already has a thread. Another gets the time from which its wait for
        a thread counts.

        Called with ``requests_lock`` held.
        """
        self._handovers += 1
        head = self.requests[0]
        if isinstance(head, EarlyResponse):
            self._turn_due = True
            return True
        if head is not self.request and self.server.pipelining is not None:
            # It waited for the requests before it, and waits for a thread only from now on.
            head.queued_at = read_clock()
        return False

    def check_client_disconnected(self) -> bool:
        """Return whether the caller has closed the connection."""
        if not self.connected:
            return True
        if len(self.requests) > self.adj.channel_request_lookahead and self._has_hung_up():
            self._has_left = True
            self.will_close = True
            self.server.pull_trigger()
            return True
        return False

    def write_soon(self, data: bytes) -> int:
        """Send a part of a response.

        A caller that was found to have left may only have closed its sending side, and would
        read the error that ends its request.

        Raises
        ------
        ClientDisconnected
            If the caller has left.
        """
        if self._has_left:
            raise ClientDisconnected
        return super().write_soon(data)

    def handle_close(self) -> None:
        """Close the connection; discard what has arrived and cancel what runs ahead."""
        super().handle_close()
        if self.request is not None:
            self.request.close()
        for request in list(self.requests):
            if isinstance(request, EarlyResponse):
                request.close()

    def hold(self, size: int) -> bool:
        """Reserve room for a response that waits; return whether there was enough.

        Called with ``early_changed`` held.
        """
        if self.early_bytes + size > self.server.pipelining.buffer_bytes:
            return False
        account = self.adj.account
        if account is not None and not account.hold(size, self.early_bytes):
            return False
        self.early_bytes += size
        return True

    def free(self, size: int) -> None:
        """Give back room that :meth:`hold` reserved."""
        self.early_bytes -= size
        if self.adj.account is not None:
            self.adj.account.change(-size)

    def settle_head(self, task: Task, head: bytes) -> bytes:
        """Return the head of a response that closes the connection.

        If requests behind it have started, the last of their responses closes it instead.
        """
        if self.server.pipelining is None:
            return head
        with self.requests_lock:
            self.closing = True
            # Closing a socket with unread input resets the connection, and the caller may
            # lose responses before it has read them.
            self.lingers_on_close = self.lingers_on_close or len(self.requests) > 1
            if not self._has_early_behind():
                return head
        task.close_on_finish = False
        return remove_close(head)

    def settle_early(self, wants_close: bool) -> bool:
        """Return whether a response that has its turn states ``Connection: close``.

        Parameters
        ----------
        wants_close : bool
            Whether the task of the response closes the connection.
        """
        with self.requests_lock:
            if wants_close or self.server.stopping:
                self.closing = True
            return self.closing and not self._has_early_behind()

    def end_turn(self, early: EarlyResponse) -> None:
        """Pass the turn on after a response that ran ahead has been sent."""
        if self._remove_response(early):
            self._pass_turns()

    def _pass_turns(self) -> None:
        while True:
            head = next(iter(self.requests), None)
            if not isinstance(head, EarlyResponse):
                return
            if not head.take_turn() or not self._remove_response(head):
                return

    def _remove_response(self, early: EarlyResponse) -> bool:
        """Remove a response that was sent; return whether the next one runs ahead already.

        Closes the connection if nothing may follow the response.
        """
        if self.current_outbuf_count > 0:
            # The next response begins a new buffer, so that the memory of this one is freed.
            self.current_outbuf_count = self.adj.outbuf_high_watermark
        with self.requests_lock:
            closes = self.closing and not self._has_early_behind()
            if early.is_cut or closes or not self.connected:
                self._drop_requests()
                self.lingers_on_close = not early.is_cut
                self.close_when_flushed = True
            else:
                self.requests.pop(0).close()
            is_next_early = False
            if self.requests:
                is_next_early = isinstance(self.requests[0], EarlyResponse)
                if not is_next_early:
                    self.server.add_task(self)
                # Queued behind the first request, so that those ahead of their turn never
                # occupy all threads while they wait for it.
                self._start_ahead()
            elif self._awaits_continue():
                self.send_continue()
        self.last_activity = time.time()
        self.server.pull_trigger()
        return is_next_early

    def _drop_requests(self) -> None:
        dropped, self.requests = self.requests, []
        for request in dropped:
            request.close()

    def _awaits_continue(self) -> bool:
        request = self.request
        return (
            self.connected
            and not self.close_when_flushed
            and request is not None
            and request.expect_continue
            and request.headers_finished
            and not self.sent_continue
        )

    def _has_early_behind(self) -> bool:
        return len(self.requests) > 1 and isinstance(self.requests[1], EarlyResponse)

    def _start_ahead(self) -> None:
        """Start the requests that need not wait for those before them.

        Called with ``requests_lock`` held.
        """
        pipelining = self.server.pipelining
        for index, request in enumerate(self.requests[: pipelining.per_connection]):
            if not isinstance(request, EarlyResponse):
                if self._is_closing() or not self._may_overlap(request):
                    return
                if index > 0:
                    if not pipelining.acquire():
                        return
                    self._start_early(index, request)
            else:
                request = request.request
            if request.connection_close:
                return

    def _start_early(self, index: int, request: HTTPRequestParser) -> None:
        if self.early_changed is None:
            self.early_changed = threading.Condition()
        request.queued_at = read_clock()
        early = EarlyResponse(self, request)
        self.requests[index] = early
        self.server.task_dispatcher.add_early(early)

    def _is_closing(self) -> bool:
        """Return whether no further request of the connection may start."""
        return (
            self.closing
            or self.will_close
            or self.close_when_flushed
            or not self.connected
            or self.server.stopping
        )

    def _may_overlap(self, request: HTTPRequestParser) -> bool:
        """Return whether a request may run beside others; the answer is kept with it."""
        if request.may_overlap is None:
            request.may_overlap = (
                not request.error
                and request.version == "1.1"
                and request.request_uri.startswith("/")
                and self.server.pipelining.is_repeatable(
                    request.headers.get("HOST", ""),
                    "/" + request.path.lstrip("/"),
                    request.command,
                )
            )
        return request.may_overlap

    def _has_hung_up(self) -> bool:
        """Return whether the caller has closed a connection that isn't read at present."""
        descriptor = self.socket.fileno()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLRDHUP)
        return bool(poll.poll(0))
