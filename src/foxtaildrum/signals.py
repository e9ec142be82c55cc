"""Requests of the operating system to stop or to reload, received as signals."""

from __future__ import annotations

import contextlib
import os
import select
import signal
from typing import Any

from .exits import EXIT_FAILED

READ_BYTES = 4096


class SignalRequests:
    """Remembers what signals have asked for.

    A signal may interrupt the main thread at any point, also in a handler. The handlers
    therefore take no lock, as :class:`threading.Event` would, and those of signals that may
    come in series are not written in Python: each would interrupt the one before it, until the
    recursion limit ends the main thread. The interpreter writes to a pipe for each signal.

    Attributes
    ----------
    stop_requested : bool
        Whether a signal asked for a stop; a second such signal ends the process at once.
    """

    __slots__ = ("_received", "_wake_read", "_wake_write", "stop_requested")

    def __init__(self) -> None:
        self.stop_requested = False
        self._received: dict[int, Any] = {}
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)

    def install(self) -> None:
        """Handle the signals of this process from now on; call it in the main thread."""
        signal.set_wakeup_fd(self._wake_write, warn_on_full_buffer=False)
        signal.signal(signal.SIGTERM, self._handle_stop)
        signal.signal(signal.SIGINT, self._handle_stop)
        signal.signal(signal.SIGHUP, self._received.__setitem__)

    def wait(self) -> None:
        """Wait for the next request."""
        select.select([self._wake_read], [], [])
        with contextlib.suppress(BlockingIOError):
            os.read(self._wake_read, READ_BYTES)

    def take_reload(self) -> bool:
        """Return whether a reload was requested since the last call."""
        requested = signal.SIGHUP in self._received
        self._received.clear()
        return requested

    def _handle_stop(self, number: int, frame: Any) -> None:
        if self.stop_requested:
            os._exit(EXIT_FAILED)
        self.stop_requested = True
