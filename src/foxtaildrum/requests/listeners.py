"""Listening sockets, opened before the rest of the program is loaded.

Loading takes a third of a second. Callers that connect meanwhile wait in the queue of the
socket, where without it their connections would be refused.
"""

from __future__ import annotations

import socket

BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on ``HOST:PORT``.

    Raises
    ------
    OSError
        When the address cannot be listened on.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host.strip("[]"), int(port)))
    sock.listen(BACKLOG)
    return sock
