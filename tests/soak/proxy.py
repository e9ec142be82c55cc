"""A loopback TCP proxy between entry instances and one upstream that injects link faults."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time

CHUNK_BYTES = 65_536
POLL_S = 0.05


class Proxy:
    """Forwards bytes in both directions and injects the faults set on it.

    Attributes
    ----------
    delay_s : float
        Delay before each chunk is forwarded.
    dropped_direction : str
        Direction whose bytes are dropped: ``up`` (to the upstream), ``down`` or ``both``;
        empty when none are.
    refuses_connections : bool
        Whether new connections are reset.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._closed = False
        self.restore()
        threading.Thread(target=self._accept, daemon=True).start()

    def restore(self) -> None:
        self.delay_s = 0.0
        self.dropped_direction = ""
        self.refuses_connections = False

    def reset_all(self) -> None:
        """Reset every open connection on both sides."""
        for pair in list(self._pairs):
            for sock in pair:
                _reset(sock)

    def close(self) -> None:
        self._closed = True
        self._listener.close()
        self.reset_all()

    def _accept(self) -> None:
        while not self._closed:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            if self.refuses_connections:
                _reset(client)
                continue
            try:
                upstream = socket.create_connection(("127.0.0.1", self._port), 1.0)
            except OSError:
                _reset(client)
                continue
            pair = (client, upstream)
            self._pairs.add(pair)
            for source, target, direction in (
                (client, upstream, "up"),
                (upstream, client, "down"),
            ):
                threading.Thread(
                    target=self._forward, args=(source, target, direction, pair), daemon=True
                ).start()

    def _forward(
        self, source: socket.socket, target: socket.socket, direction: str, pair: tuple
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                if self.dropped_direction not in (direction, "both"):
                    target.sendall(data)
        # Keeps the connection open while its bytes are dropped, so that the other side does not
        # learn that it was closed.
        while self.dropped_direction in (direction, "both") and not self._closed:
            time.sleep(POLL_S)
        for sock in pair:
            with contextlib.suppress(OSError):
                sock.close()
        self._pairs.discard(pair)


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
