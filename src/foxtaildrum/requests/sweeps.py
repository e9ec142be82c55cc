"""Closes connections that can't be used any more, from a thread of its own."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from ..admin.metrics import Meter
from ..clock import read_clock
from ..isolation import run_isolated
from .connections import ConnectionPool

SWEEP_PERIOD_S = 5.0


class ConnectionSweeper:
    """Sweeps the connections of one instance.

    Parameters
    ----------
    list_connections : callable
        Returns the current connection pools.
    meter : Meter
        Counts unexpected errors.
    """

    def __init__(
        self, list_connections: Callable[[], Iterable[ConnectionPool]], meter: Meter
    ) -> None:
        self._list_connections = list_connections
        self._meter = meter
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="sweeps", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(SWEEP_PERIOD_S):
            run_isolated("sweeps", self._meter, self._sweep)

    def _sweep(self) -> None:
        for connections in self._list_connections():
            connections.close_unusable(read_clock())
