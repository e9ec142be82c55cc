"""HTTP servers for callers and for the admin interface, built on waitress."""

from __future__ import annotations

import contextlib
import math
import socket
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from waitress import wasyncore
from waitress.channel import ClientDisconnected
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask, WSGITask

from ..clock import read_clock
from ..kinds import ErrorKind
from ..records import Limits
from ..settings import parse_address
from .account import (
    BODY_STALL_LIMIT,
    CONNECTIONS_LIMIT,
    HEADER_TIMEOUT_LIMIT,
    WRITE_DEADLINE_LIMIT,
    CallerAccount,
)
from .callers import (
    ARRIVAL_TIME_KEY,
    CLOSE_KEY,
    CONNECTION_MARK_KEY,
    QUEUED_TIME_KEY,
    read_request_id,
)
from .marks import ConnectionMarks
from .parsing import ParserSettings, RequestParser
from .pipelines import PipelinedChannel, Pipelining
from .problem import Problem, Refusal, refuse_request
from .relays import TruncatedResponseError
from .tasks import ContentTask
from .threads import ThreadPool
from .transport import has_input

MAX_HEADER_BYTES = 262_144
MAX_BODY_BYTES = 1_073_741_824
OUTPUT_BUFFER_BYTES = 262_144
LINGER_S = 2.0
LOOP_TIMEOUT_S = 1.0
CLOSE_POLL_S = 0.02
# Time between two checks of the time limits of unfinished requests and unsent responses.
SWEEP_PERIOD_S = 1
# Time between two checks for idle connections; the default of waitress.
IDLE_SWEEP_PERIOD_S = 30
# While no connection is left, a caller that has sent nothing for this time is disconnected.
SILENCE_S = 2.0

_ERROR_KIND_BY_STATUS = {
    400: ErrorKind.BAD_REQUEST,
    413: ErrorKind.BODY_TOO_LARGE,
    431: ErrorKind.HEADER_TOO_LARGE,
    503: ErrorKind.OVERLOADED,
}


class _Task(ContentTask, WSGITask):
    """Task that sends ``Connection: close`` if the caller or the application asks for it.

    It also does during a shutdown. Waitress recognises ``close`` only where the caller names no
    other option beside it.
    """

    def build_response_header(self) -> bytes:
        is_last = self.request.connection_close or CLOSE_KEY in self.environ
        if self.channel.server.stopping or is_last:
            self.response_headers.append(("Connection", "close"))
            self.close_on_finish = True
        head = super().build_response_header()
        return self.channel.settle_head(self, head) if self.close_on_finish else head

    def execute(self) -> None:
        try:
            super().execute()
        except TruncatedResponseError as error:
            # The connection is closed without the end of the response.
            raise ClientDisconnected from error

    def get_environment(self) -> dict[str, Any]:
        environ = super().get_environment()
        environ[ARRIVAL_TIME_KEY] = self.request.arrived_at
        if self.request.queued_at is not None:
            environ[QUEUED_TIME_KEY] = self.request.queued_at
        if self.channel.server.marks is not None:
            environ[CONNECTION_MARK_KEY] = self.channel.mark
        return environ


class _ErrorTask(ContentTask, ErrorTask):
    """Responds with a problem document to a request that the parser rejected."""

    def execute(self) -> None:
        error = self.request.error
        kind = _ERROR_KIND_BY_STATUS.get(error.code, ErrorKind.INTERNAL)
        request_id = read_request_id(self.request.request_id)
        refusal = Refusal(kind, error.body, request_id, self.channel.addr[0])
        status, headers, body = self.channel.server.refuse(refusal)
        self.channel.lingers_on_close = True
        self.status = status
        self.response_headers.extend(headers)
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class _Channel(PipelinedChannel):
    """Connection of a caller that is closed if the caller stops reading.

    Unsent responses are changed and sent under ``outbuf_lock``. Locks are acquired in the order
    ``requests_lock``, ``outbuf_lock``, ``early_changed``, and that of the account last.
    """

    task_class = _Task
    error_task_class = _ErrorTask
    parser_class = RequestParser
    lingers_on_close = False
    discard_until = 0.0
    # Size of the unsent responses that the account holds for this connection.
    held_unsent_bytes = 0
    # What was known before the connection was opened, on a server that marks connections.
    mark = 0

    def __init__(self, server: _Server, *arguments: Any, **options: Any) -> None:
        super().__init__(server, *arguments, **options)
        if server.marks is not None:
            self.mark = server.marks.current

    def handle_write(self) -> None:
        self._write_unsent()
        self.settle_unsent()

    def _write_unsent(self) -> None:
        self._flush_exception(
            self._flush_some_if_lockable if self.requests else self._flush_some
        )
        if self.discard_until:
            self.will_close = True
        # A service thread sets this after the last response, at any time: it is read once.
        if self.close_when_flushed and not self.total_outbufs_len:
            self.close_when_flushed = False
            if self.lingers_on_close and not self.will_close:
                self._begin_linger()
            else:
                self.will_close = True
        if self.will_close:
            self.handle_close()

    def handle_close(self) -> None:
        super().handle_close()
        with self.outbuf_lock:
            self._settle_unsent()

    def find_exceeded_limit(self, now: float) -> str:
        """Return the time limit that the caller exceeds; empty if there is none.

        Parameters
        ----------
        now : float
            Unix time, in seconds, as waitress passes it to ``maintenance``.
        """
        idle_s = now - self.last_activity
        if self.total_outbufs_len and idle_s > self.server.write_deadline_s:
            return WRITE_DEADLINE_LIMIT
        request = self.request
        if request is None:
            return ""
        if not self.readable():
            # The caller can't send more at present.
            request.begun_at = None
        elif request.headers_finished:
            # One that waits for "100 Continue" behind other requests may not send yet.
            if not request.expect_continue and idle_s > self.server.body_stall_s:
                return BODY_STALL_LIMIT
        elif request.begun_at is None:
            request.begun_at = now
        elif now - request.begun_at > self.server.header_timeout_s:
            return HEADER_TIMEOUT_LIMIT
        return ""

    def is_silent(self, now: float) -> bool:
        """Return whether the caller has sent nothing since it connected."""
        is_unused = self.last_activity == self.creation_time
        return is_unused and now - self.creation_time > SILENCE_S

    def settle_unsent(self) -> None:
        """Bring the account up to date, unless a thread is writing: it does that itself."""
        if self.total_outbufs_len != self.held_unsent_bytes and self.outbuf_lock.acquire(False):
            try:
                self._settle_unsent()
            finally:
                self.outbuf_lock.release()

    def _settle_unsent(self) -> None:
        added = self.total_outbufs_len - self.held_unsent_bytes
        if added and self.adj.account is not None:
            self.held_unsent_bytes += added
            self.adj.account.change(added)

    def readable(self) -> bool:
        return bool(self.discard_until) or super().readable()

    def writable(self) -> bool:
        if self.discard_until:
            return self.will_close or time.monotonic() >= self.discard_until
        return super().writable()

    def handle_read(self) -> None:
        if not self.discard_until:
            super().handle_read()
        elif not self.recv(self.adj.recv_bytes):
            self.handle_close()

    def _begin_linger(self) -> None:
        # Closing a socket with unread input resets the connection, and the caller may
        # lose the error response before it has read it.
        self.discard_until = time.monotonic() + LINGER_S
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def _flush_some(self, do_close: bool = True) -> bool:
        # Waitress sends without the lock while no request is queued, but a thread that has
        # just removed the last one may be sending "100 Continue" for the next.
        # The thread of the server uses the connection meanwhile, and closes it alone.
        do_close = do_close and threading.get_ident() == self.server.thread_id
        with self.outbuf_lock:
            return super()._flush_some(do_close)

    def _flush_outbufs_below_high_watermark(self) -> None:
        max_buffered_bytes = self.adj.outbuf_high_watermark
        if self.total_outbufs_len != self.held_unsent_bytes:
            with self.outbuf_lock:
                self._settle_unsent()
        if self.total_outbufs_len and self.adj.account is not None and self.adj.account.is_full:
            max_buffered_bytes = 0
        if self.total_outbufs_len <= max_buffered_bytes:
            return
        with self.outbuf_lock:
            bytes_left = self.total_outbufs_len
            stall_deadline = time.monotonic() + self.server.write_deadline_s
            while self.connected and self.total_outbufs_len > max_buffered_bytes:
                self.server.pull_trigger()
                self.outbuf_lock.wait(LOOP_TIMEOUT_S)
                if self.total_outbufs_len < bytes_left:
                    bytes_left = self.total_outbufs_len
                    stall_deadline = time.monotonic() + self.server.write_deadline_s
                elif time.monotonic() >= stall_deadline:
                    self.server.report_limit(WRITE_DEADLINE_LIMIT)
                    self.will_close = True
                    self.server.pull_trigger()
                    raise ClientDisconnected


class _Server(TcpWSGIServer):
    """Listening server with a shutdown mode in which responses close their connections."""

    channel_class = _Channel
    stopping = False
    write_deadline_s = 30.0
    refuse: Callable[[Refusal], Problem] = staticmethod(refuse_request)
    pipelining: Pipelining | None = None
    marks: ConnectionMarks | None = None
    header_timeout_s = math.inf
    body_stall_s = math.inf
    _idle_swept_at = 0.0
    # Thread that runs the loop of the server.
    thread_id = 0

    def handle_accept(self) -> None:
        if self.marks is None:
            super().handle_accept()
        else:
            self.marks.accept(super().handle_accept)

    def maintenance(self, now: float) -> None:
        if now - self._idle_swept_at >= IDLE_SWEEP_PERIOD_S:
            self._idle_swept_at = now
            super().maintenance(now)
        for channel in list(self.active_channels.values()):
            # The loop closes connections only once their sockets can be written to, which
            # that of a caller that reads nothing never can.
            if channel.will_close:
                channel.handle_close()
            elif self.adj.account is not None:
                self._apply_limits(channel, now)

    def _apply_limits(self, channel: _Channel, now: float) -> None:
        """Close a connection whose caller exceeds a limit."""
        channel.settle_unsent()
        limit = channel.find_exceeded_limit(now)
        if not limit and self.in_connection_overflow and channel.is_silent(now):
            limit = CONNECTIONS_LIMIT
        if limit:
            self.report_limit(limit)
            channel.handle_close()

    def report_limit(self, limit: str) -> None:
        """Report that a limit was applied to a caller, if there is an account."""
        if self.adj.account is not None:
            self.adj.account.report(read_clock(), limit)

    def add_task(self, task: _Channel) -> None:
        if not task.defers_turn():
            super().add_task(task)


class HttpServer:
    """HTTP server on one listening address, with its threads.

    Parameters
    ----------
    application : callable
        WSGI application.
    address : str
        ``HOST:PORT`` to listen on.
    threads : int
        Maximum number of requests handled concurrently.
    write_deadline_s : float
        Time after which a caller that reads no byte is disconnected, in seconds.
    listener : socket or None
        Socket that already listens on the address; None opens one.
    refuse : callable
        Returns the status line, headers and body for a request that can't be read.
    max_header_bytes, max_body_bytes : int
        Maximum sizes of the header section and of the body of a request, in bytes.
    pipelining : Pipelining or None
        Bounds on pipelined requests; None serves them one after the other.
    account : CallerAccount or None
        Bounds what all callers hold; None sets no bound and no time limits on requests.
    body_stall_s : float
        Time after which a caller that sends no byte of a body is disconnected, in seconds.
    marks_connections : bool
        Whether requests tell the mark of their connection; see :attr:`marks`.
    adjustments : dict
        Further settings of waitress.
    """

    def __init__(
        self,
        application: Callable[..., Iterable[bytes]],
        address: str,
        threads: int,
        write_deadline_s: float,
        listener: socket.socket | None = None,
        refuse: Callable[[Refusal], Problem] = refuse_request,
        max_header_bytes: int = MAX_HEADER_BYTES,
        max_body_bytes: int = MAX_BODY_BYTES,
        pipelining: Pipelining | None = None,
        account: CallerAccount | None = None,
        body_stall_s: float = math.inf,
        marks_connections: bool = False,
        **adjustments: Any,
    ) -> None:
        host, port = parse_address(address)
        settings = ParserSettings(
            host=host,
            port=port,
            threads=threads,
            ident="foxtaildrum",
            clear_untrusted_proxy_headers=False,
            channel_request_lookahead=pipelining.per_connection if pipelining else 1,
            outbuf_high_watermark=OUTPUT_BUFFER_BYTES,
            asyncore_use_poll=True,
            cleanup_interval=SWEEP_PERIOD_S,
            **adjustments,
        )
        settings.limit_sizes(max_header_bytes, max_body_bytes)
        settings.account = account
        self._socket_map: dict[int, Any] = {}
        self._server = _Server(
            application,
            map=self._socket_map,
            _sock=listener,
            bind_socket=listener is None,
            dispatcher=ThreadPool(threads),
            adj=settings,
            sockinfo=settings.listen[0],
        )
        self._server.write_deadline_s = write_deadline_s
        self._server.body_stall_s = body_stall_s
        self._server.header_timeout_s = Limits().header_timeout_ms / 1000
        self._server.refuse = refuse
        self._server.pipelining = self.pipelining = pipelining
        if marks_connections:
            self._server.marks = ConnectionMarks(self._server.socket)
        self._thread = threading.Thread(target=self._run, name=f"http-{port}", daemon=True)

    @property
    def marks(self) -> ConnectionMarks | None:
        """Marks of the connections; None on a server that marks none."""
        return self._server.marks

    @property
    def address(self) -> str:
        """Address that the server listens on."""
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def list_channels(self) -> list[PipelinedChannel]:
        """Return the open connections of callers."""
        return list(self._server.active_channels.values())

    def apply_limits(self, limits: Limits) -> None:
        """Apply limits on requests and on idle connections."""
        settings = self._server.adj
        settings.limit_sizes(limits.max_header_bytes, limits.max_body_bytes)
        settings.channel_timeout = math.ceil(limits.idle_timeout_ms / 1000)
        self._server.header_timeout_s = limits.header_timeout_ms / 1000

    def start(self) -> None:
        """Start serving in a background thread."""
        self._thread.start()

    def announce_close(self) -> None:
        """Send ``Connection: close`` with each response from now on."""
        self._server.stopping = True

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        self._server.trigger.pull_trigger(lambda: wasyncore.dispatcher.close(self._server))

    def close_idle(self) -> None:
        """Close idle connections; a connection with a request arriving stays open."""
        self._server.trigger.pull_trigger(self._close_idle_channels)

    def _close_idle_channels(self) -> None:
        for channel in self.list_channels():
            busy = channel.requests or channel.total_outbufs_len or channel.request
            idle = not busy and not has_input(channel.socket.fileno())
            if idle or channel.will_close:
                channel.handle_close()

    def wait_closed(self, deadline: float) -> bool:
        """Close connections as they become idle; return whether all closed in time."""
        while self._server.active_channels:
            if time.monotonic() >= deadline:
                return False
            self.close_idle()
            time.sleep(CLOSE_POLL_S)
        return True

    def _run(self) -> None:
        self._server.thread_id = threading.get_ident()
        wasyncore.loop(timeout=LOOP_TIMEOUT_S, map=self._socket_map, use_poll=True)
