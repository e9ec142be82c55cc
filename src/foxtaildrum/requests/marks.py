"""Marks of connections: what an instance knew before a caller could send on them."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable

from .transport import has_input


class ConnectionMarks:
    """Marks each accepted connection with a number that was known before it was opened.

    What arrives on a connection was sent after its mark was known, however long it waited: in
    the socket of a paused process, behind other requests, or at a caller whose link was down.

    Parameters
    ----------
    listener : socket
        Listening socket whose connections are accepted.

    Attributes
    ----------
    current : int
        Mark of the next connection.
    latest : int
        Latest known number. It becomes the mark once no connection waits to be accepted, as
        one that waits may have been opened before.
    """

    __slots__ = ("_listener", "_lock", "current", "latest")

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._lock = threading.Lock()
        self.current = 0
        self.latest = 0

    def update(self, number: int) -> None:
        """Mark the connections that are opened from now on with a number."""
        with self._lock:
            self.latest = number
            self._settle()

    def accept(self, accept_connection: Callable[[], None]) -> None:
        """Accept a connection; ``accept_connection`` may read its mark."""
        with self._lock:
            accept_connection()
            self._settle()

    def _settle(self) -> None:
        if self.current == self.latest:
            return
        fileno = self._listener.fileno()
        if fileno >= 0 and not has_input(fileno):
            self.current = self.latest
