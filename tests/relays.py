"""Relays of bytes between two instances: connections that go silent or stall, slow links."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from enum import Enum

CHUNK_BYTES = 65_536
SLOW_CHUNK_BYTES = 4096
CONNECT_TIMEOUT_S = 5.0


class Fault(Enum):
    """What happens to the bytes of the connections that are open when it begins.

    The relay's system goes on to acknowledge them, except after ``STALL``.
    """

    DISCARD = "discard"
    STALL = "stall"
    HOLD = "hold"


class Relay:
    """Passes bytes on to one address; a fault changes that for the open connections only."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.opened = 0
        self._faults: dict[socket.socket, Fault] = {}
        self._released = threading.Event()
        self._sockets: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def begin(self, fault: Fault) -> None:
        """Apply a fault to the connections that are open now."""
        self._faults = dict.fromkeys(list(self._sockets), fault)

    def release(self) -> None:
        """Pass on what was held."""
        self._released.set()

    def close(self) -> None:
        self._released.set()
        for sock in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
                server = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
            except OSError:
                return
            server.settimeout(None)
            self.opened += 1
            self._sockets |= {client, server}
            for pair in ((client, server), (server, client)):
                threading.Thread(target=self._copy, args=pair, daemon=True).start()

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                fault = self._faults.get(source)
                if fault is Fault.STALL or fault is Fault.HOLD:
                    self._released.wait()
                if fault is not Fault.DISCARD:
                    target.sendall(data)
        if source not in self._faults:
            target.close()


class SlowRelay(Relay):
    """Passes bytes on at the rate of a slow link, all connections and directions together."""

    def __init__(self, target: str, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._link = threading.Lock()
        super().__init__(target)

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(SLOW_CHUNK_BYTES):
                with self._link:
                    time.sleep(len(data) / self._bytes_per_s)
                target.sendall(data)
        target.close()
