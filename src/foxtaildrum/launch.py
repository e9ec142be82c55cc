"""Start of the program: signals are handled before the rest of it is imported."""

from __future__ import annotations

import socket
import sys
from collections.abc import Callable, Sequence

from .signals import SignalRequests


class Launch:
    """What was set up for an instance before the program was imported.

    Parameters
    ----------
    signals : SignalRequests
        Requests that came as signals, also during the imports.
    read_arguments : callable or None
        Returns the present arguments when the instance reloads its settings; None keeps those
        of the start.
    listener : socket or None
        Socket already listening on the callers' address; None opens one.
    build_problem : str
        Why a build beside the code isn't used, for the log; empty if there is no problem.
    """

    __slots__ = ("build_problem", "listener", "read_arguments", "signals")

    def __init__(
        self,
        signals: SignalRequests,
        read_arguments: Callable[[], Sequence[str]] | None = None,
        listener: socket.socket | None = None,
        build_problem: str = "",
    ) -> None:
        self.signals = signals
        self.read_arguments = read_arguments
        self.listener = listener
        self.build_problem = build_problem


def main() -> int:
    """Run the command line of this process and return its exit status."""
    argv = sys.argv[1:]
    signals = SignalRequests()
    if argv[:1] == ["serve"]:
        signals.install()
    # The import takes a third of a second, in which a signal must not end the process.
    from .cli import main as run_commands

    return run_commands(argv, Launch(signals))
