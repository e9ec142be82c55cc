"""Pools of idle connections to upstreams."""

from __future__ import annotations

import select
import threading
from collections.abc import Callable

from ..clock import read_clock
from .transport import Adapter, Connection, Head, TransportError, discard_body, has_input

MAX_IDLE_S = 30.0
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
MAX_IDLE_CONNECTIONS = 64
MAX_LATE_S = 2.0
LATE_READ_TIMEOUT_S = 0.01

HeadCheck = Callable[[Connection, Head], None]


def _accept_any(connection: Connection, head: Head) -> None:
    """Accept every response."""


class ConnectionPool:
    """Idle connections to one address; the most recently used one is reused first.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the upstream.
    open_connection : Adapter
        Opens a connection to the address.
    """

    __slots__ = ("_address", "_idle", "_late", "_lock", "_open_connection")

    def __init__(self, address: str, open_connection: Adapter) -> None:
        self._address = address
        self._open_connection = open_connection
        self._idle: list[tuple[float, Connection]] = []
        self._late: list[tuple[float, Connection, HeadCheck]] = []
        self._lock = threading.Lock()

    def acquire(
        self, now: float, timeout_s: float, idempotent: bool, request_id: str = ""
    ) -> Connection:
        """Return an idle connection, or open a new one.

        A request is never sent twice over one connection: a late copy of its first answer
        could not be told from the second one.

        A request that is not idempotent reuses only a connection that was idle for at
        most ``MAX_IDLE_NON_IDEMPOTENT_S``: the upstream may be about to close one that was
        idle for longer, and the request could not be sent again.

        Raises
        ------
        TransportError
            If no connection can be opened.
        """
        self._reclaim_late(now)
        max_idle_s = MAX_IDLE_S if idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        while True:
            with self._lock:
                idle = self._pop_idle(request_id)
            if idle is None:
                break
            returned_at, connection = idle
            if now - returned_at <= max_idle_s and not has_input(connection.fileno()):
                return connection
            connection.close()
        return self._open_connection(self._address, timeout_s)

    def release(self, now: float, connection: Connection) -> None:
        """Keep a connection whose last response was read completely; close any other."""
        with self._lock:
            closing = self._pop_expired(now)
            if connection.reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append((now, connection))
            else:
                closing.append(connection)
        for item in closing:
            item.close()

    def hold_late(
        self, now: float, connection: Connection, check_head: HeadCheck = _accept_any
    ) -> None:
        """Keep a connection whose response to a status check is late.

        It is used again once the response has arrived and was read, and closed if that takes
        longer than ``MAX_LATE_S``.

        Parameters
        ----------
        check_head : callable
            Raises :class:`TransportError` if the head belongs to another response.
        """
        with self._lock:
            self._late.append((now, connection, check_head))

    def close_unusable(self, now: float) -> None:
        """Close the connections that can't be used any more.

        Nobody reads what arrives on them until the next request to the upstream, and it takes
        memory until then.
        """
        with self._lock:
            unusable = self._find_unusable(now)
            self._idle = [item for item in self._idle if item[1] not in unusable]
            self._late = [item for item in self._late if item[1] not in unusable]
        for connection in unusable:
            connection.close()

    def _find_unusable(self, now: float) -> list[Connection]:
        unusable = [item[1] for item in self._late if now - item[0] > MAX_LATE_S]
        poll = select.poll()
        idle = {}
        for returned_at, connection in self._idle:
            if now - returned_at > MAX_IDLE_S:
                unusable.append(connection)
                continue
            idle[connection.fileno()] = connection
            poll.register(connection.fileno(), select.POLLIN)
        return unusable + [idle[fileno] for fileno, _ in poll.poll(0)]

    def _reclaim_late(self, now: float) -> None:
        """Read the late responses that have arrived."""
        if not self._late:
            return
        with self._lock:
            late, self._late = self._late, []
        for held_at, connection, check_head in late:
            if has_input(connection.fileno()):
                _read_late_response(connection, check_head)
                self.release(now, connection)
            elif now - held_at <= MAX_LATE_S:
                self.hold_late(held_at, connection, check_head)
            else:
                connection.close()

    def _pop_idle(self, request_id: str) -> tuple[float, Connection] | None:
        """Return the connection that was used last among those without the request."""
        for position in reversed(range(len(self._idle))):
            if not (request_id and self._idle[position][1].has_carried(request_id)):
                return self._idle.pop(position)
        return None

    def _pop_expired(self, now: float) -> list[Connection]:
        expired = []
        while self._idle and now - self._idle[0][0] > MAX_IDLE_S:
            expired.append(self._idle.pop(0)[1])
        return expired

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            closing = [item[1] for item in (*self._idle, *self._late)]
            self._idle, self._late = [], []
        for connection in closing:
            connection.close()


def _read_late_response(connection: Connection, check_head: HeadCheck) -> None:
    """Read the response to a status check; the connection stays unusable if that fails."""
    deadline = read_clock() + LATE_READ_TIMEOUT_S
    try:
        check_head(connection, connection.read_head(LATE_READ_TIMEOUT_S))
        discard_body(connection, deadline)
    except TransportError:
        connection.reusable = False
