"""An instance that sends messages as fast as another one takes them."""

from __future__ import annotations

import os
import socket

from foxtaildrum.fleet.frames import (
    NONCE_BYTES,
    FrameReader,
    FrameWriter,
    Greeting,
    derive_key,
    pack_greeting,
)
from foxtaildrum.fleet.messages import Message

SEND_TIMEOUT_S = 60.0
RECEIVE_BYTES = 4096


def flood_peer(instance_id: str, address: str, message: Message, count: int) -> None:
    """Send the same message many times over one connection, without a fleet key.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` on which the other instance takes messages.

    Raises
    ------
    OSError
        When the connection fails, or takes no bytes for too long.
    FrameError
        When the answer to the greeting is invalid.
    """
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=SEND_TIMEOUT_S) as sock:
        writer = _open_session(sock, instance_id)
        for _ in range(count):
            sock.sendall(writer.pack(message))


def _open_session(sock: socket.socket, instance_id: str) -> FrameWriter:
    nonce = os.urandom(NONCE_BYTES)
    sock.sendall(pack_greeting(b"", Greeting(instance_id, nonce), b""))
    reader = FrameReader()
    answer = None
    while answer is None:
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionError("the connection ended before the greeting was answered")
        reader.feed(data)
        answer = reader.read_greeting(b"", nonce)
    return FrameWriter(derive_key(b"", nonce, answer.nonce))
