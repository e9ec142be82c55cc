"""Listening sockets that are opened before the rest of the program is imported.

The imports take a third of a second. Connections made in that time wait in the socket's
backlog instead of being refused.
"""

from __future__ import annotations

import socket

BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on ``HOST:PORT``.

    Raises
    ------
    OSError
        If the address cannot be bound or listened on.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host.strip("[]"), int(port)))
    sock.listen(BACKLOG)
    return sock
