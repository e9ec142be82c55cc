"""Requests of the operating system to stop or to reload, received as signals."""

from __future__ import annotations

import contextlib
import os
import select
from typing import Any

from .commands import EXIT_FAILED

READ_BYTES = 4096


class SignalRequests:
    """Remembers what signals have asked for.

    A handler may interrupt another one, or the main thread at any point. It therefore takes no
    lock, as :class:`threading.Event` would: it sets a flag and writes to a pipe.

    Attributes
    ----------
    stop_requested : bool
        Whether a signal asked for a stop; a second such signal ends the process at once.
    """

    __slots__ = ("_reload_requested", "_wake_read", "_wake_write", "stop_requested")

    def __init__(self) -> None:
        self.stop_requested = False
        self._reload_requested = False
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)

    def handle_stop(self, number: int, frame: Any) -> None:
        """Request a stop."""
        if self.stop_requested:
            os._exit(EXIT_FAILED)
        self.stop_requested = True
        self._wake()

    def handle_reload(self, number: int, frame: Any) -> None:
        """Request a reload of the settings."""
        self._reload_requested = True
        self._wake()

    def wait(self) -> None:
        """Wait for the next request."""
        select.select([self._wake_read], [], [])
        with contextlib.suppress(BlockingIOError):
            os.read(self._wake_read, READ_BYTES)

    def take_reload(self) -> bool:
        """Return whether a reload was requested since the last call."""
        requested, self._reload_requested = self._reload_requested, False
        return requested

    def _wake(self) -> None:
        # A full pipe wakes the main thread as well.
        with contextlib.suppress(BlockingIOError):
            os.write(self._wake_write, b"\0")
