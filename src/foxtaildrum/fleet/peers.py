"""TCP connections between instances.

One thread sends and receives the bytes of all connections and passes on each message; it
makes no decisions about their content.
"""

from __future__ import annotations

import contextlib
import logging
import os
import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from ..admin.metrics import Meter
from ..exceptions import FrameError, MessageTooLargeError, UnencodableError
from ..isolation import run_isolated
from ..logs import log_event
from ..requests.listeners import open_listener
from ..settings import ADDRESS_ERRORS, parse_address
from .frames import (
    NONCE_BYTES,
    FrameReader,
    FrameWriter,
    Greeting,
    derive_key,
    pack_greeting,
)
from .messages import Message

MAX_QUEUED_MESSAGES = 2000
MAX_BUFFERED_BYTES = 262_144
MAX_INBOUND = 20_000
RECEIVE_BYTES = 65_536
IDLE_TIMEOUT_S = 60.0
RECONNECT_DELAY_S = 0.05
HANDSHAKE_TIMEOUT_S = 2.0
# A connection whose peer acknowledges no data for so long is closed by the system.
UNACKNOWLEDGED_TIMEOUT_S = 1.0
KEEPALIVE_AFTER_S = 10
RECONNECT_MIN_AGE_S = 1.0
RECONNECT_MAX_AGE_S = 30.0
REOPEN_MIN_AGE_S = 5.0
SELECT_TIMEOUT_S = 1.0

Deliver = Callable[[str, Message], None]


class _Outbound:
    """Connection that this instance opens to send messages to a peer."""

    __slots__ = (
        "address",
        "buffer",
        "nonce",
        "opened_at",
        "peer_id",
        "queue",
        "reader",
        "reopen_age_s",
        "retry_at",
        "sock",
        "used_at",
        "writer",
    )

    def __init__(self, peer_id: str, address: str) -> None:
        self.peer_id = peer_id
        self.address = address
        self.queue: deque[Message] = deque()
        self.sock: socket.socket | None = None
        self.buffer = bytearray()
        self.nonce = b""
        self.reader = FrameReader()
        self.writer: FrameWriter | None = None
        self.retry_at = 0.0
        # Age from which the connection may be replaced.
        self.reopen_age_s = RECONNECT_MIN_AGE_S
        self.opened_at = 0.0
        self.used_at = 0.0


class _Inbound:
    """Connection that a peer opened to send messages to this instance."""

    __slots__ = ("opened_at", "peer_id", "reader", "sock", "used_at")

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock = sock
        self.reader = FrameReader()
        self.peer_id = ""
        self.opened_at = now
        self.used_at = now


class PeerNetwork:
    """Sends and receives the messages of one instance.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    listen : str
        ``HOST:PORT`` to listen on.
    fleet_key : bytes
        Key that signs greetings and from which the keys of connections are derived.
    deliver : callable
        Called with the sender's identifier and each message.
    meter : Meter
        Counts messages, bytes and refused frames.
    """

    def __init__(
        self,
        instance_id: str,
        listen: str,
        fleet_key: bytes,
        deliver: Deliver,
        meter: Meter,
    ) -> None:
        self._instance_id = instance_id
        self._fleet_key = fleet_key
        self._key_replaced = False
        self._deliver = deliver
        self._meter = meter
        self._selector = selectors.DefaultSelector()
        self._outbound: dict[str, _Outbound] = {}
        self._inbound: set[_Inbound] = set()
        self._send_queue: deque[tuple[str, str, Message]] = deque()
        self._reconnect_queue: deque[str] = deque()
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._listener = open_listener(listen)
        self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ, None)
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)

    def start(self) -> None:
        """Start the thread that sends and receives."""
        self._thread.start()

    def send(self, peer_id: str, address: str, message: Message) -> None:
        """Queue a message; it is dropped if the peer cannot be reached."""
        self._send_queue.append((peer_id, address, message))
        self._wake()

    def reconnect(self, peer_id: str) -> None:
        """Replace the connection to a peer, which may have gone silent, unless it is new."""
        self._reconnect_queue.append(peer_id)
        self._wake()

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError, OSError):
            self._wake_write.send(b"\0")

    def replace_key(self, fleet_key: bytes) -> None:
        """Use another key from now on; connections opened with the old one are closed."""
        if fleet_key == self._fleet_key:
            return
        self._fleet_key = fleet_key
        self._key_replaced = True
        with contextlib.suppress(OSError):
            self._wake_write.send(b"\0")

    def stop(self) -> None:
        """Stop the thread after one last attempt to send the queued messages."""
        self._stopping = True
        with contextlib.suppress(OSError):
            self._wake_write.send(b"\0")
        self._thread.join(timeout=2 * SELECT_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping:
            for key, mask in self._selector.select(SELECT_TIMEOUT_S):
                if not self._run_step(self._handle_ready, key.fileobj, key.data, mask):
                    self._close_connection(key.data)
            if self._key_replaced:
                self._key_replaced = False
                self._close_connections()
            now = time.monotonic()
            self._run_step(self._process_reconnects, now)
            self._run_step(self._process_send_queue, now)
            self._run_step(self._close_idle_connections, now)
        self._process_send_queue(time.monotonic())
        self._close_connections()
        self._listener.close()

    def _run_step(self, step: Callable[..., None], *arguments: Any) -> bool:
        return run_isolated("peers", self._meter, step, *arguments)

    def _close_connection(self, connection: _Outbound | _Inbound | None) -> None:
        if isinstance(connection, _Inbound):
            self._close_inbound(connection)
        elif connection is not None:
            self._close_outbound(connection)

    def _close_connections(self) -> None:
        for connection in list(self._outbound.values()):
            self._close_outbound(connection)
        for connection in list(self._inbound):
            self._close_inbound(connection)

    def _handle_ready(
        self, sock: socket.socket, connection: _Outbound | _Inbound | None, mask: int
    ) -> None:
        if sock is self._wake_read:
            with contextlib.suppress(BlockingIOError):
                self._wake_read.recv(RECEIVE_BYTES)
        elif sock is self._listener:
            self._accept()
        elif isinstance(connection, _Inbound):
            self._read_inbound(connection)
        elif connection is not None:
            self._handle_outbound(connection, mask)

    def _process_reconnects(self, now: float) -> None:
        while self._reconnect_queue:
            self._reopen(self._reconnect_queue.popleft(), now, RECONNECT_MIN_AGE_S)

    def _reopen(self, peer_id: str, now: float, min_age_s: float) -> None:
        connection = self._outbound.get(peer_id)
        if connection is None or connection.writer is None:
            return
        age_s = now - connection.opened_at
        if age_s < max(min_age_s, connection.reopen_age_s):
            return
        # What passes a slow link for long keeps answers waiting: it gets more and more time.
        is_settled = age_s >= RECONNECT_MAX_AGE_S
        longer_s = min(2 * connection.reopen_age_s, RECONNECT_MAX_AGE_S)
        connection.reopen_age_s = RECONNECT_MIN_AGE_S if is_settled else longer_s
        waiting = list(connection.queue)
        self._close_outbound(connection)
        connection.queue.extend(waiting)
        connection.retry_at = now
        self._open_outbound(connection, now)

    def _process_send_queue(self, now: float) -> None:
        touched = {}
        while self._send_queue:
            peer_id, address, message = self._send_queue.popleft()
            connection = self._outbound.get(peer_id)
            if connection is None or connection.address != address:
                connection = self._replace_outbound(connection, peer_id, address)
            self._enqueue(connection, message)
            connection.used_at = now
            touched[peer_id] = connection
        for connection in touched.values():
            if connection.sock is None:
                self._open_outbound(connection, now)
            elif connection.writer is not None:
                self._write_outbound(connection)

    def _enqueue(self, connection: _Outbound, message: Message) -> None:
        if len(connection.queue) >= MAX_QUEUED_MESSAGES:
            dropped = connection.queue.popleft()
            self._meter.count("peers.unsendable_messages")
            reason = f"{type(dropped).__name__}: {MAX_QUEUED_MESSAGES} messages wait"
            log_event(
                "message_dropped",
                level=logging.WARNING,
                peer=connection.peer_id,
                reason=reason,
            )
        connection.queue.append(message)

    def _replace_outbound(
        self, connection: _Outbound | None, peer_id: str, address: str
    ) -> _Outbound:
        if connection is not None:
            self._close_outbound(connection)
        connection = self._outbound[peer_id] = _Outbound(peer_id, address)
        return connection

    def _open_outbound(self, connection: _Outbound, now: float) -> None:
        if now < connection.retry_at:
            connection.queue.clear()
            return
        connection.retry_at = now + RECONNECT_DELAY_S
        connection.opened_at = now
        sock = _begin_connect(connection.address)
        if sock is None:
            connection.queue.clear()
            return
        connection.sock = sock
        connection.nonce = os.urandom(NONCE_BYTES)
        connection.reader = FrameReader()
        connection.writer = None
        greeting = Greeting(self._instance_id, connection.nonce)
        connection.buffer = bytearray(pack_greeting(self._fleet_key, greeting, b""))
        self._selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, connection)

    def _handle_outbound(self, connection: _Outbound, mask: int) -> None:
        if mask & selectors.EVENT_READ and not self._read_greeting_answer(connection):
            return
        if mask & selectors.EVENT_WRITE:
            self._write_outbound(connection)

    def _read_greeting_answer(self, connection: _Outbound) -> bool:
        try:
            data = connection.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            data = b""
        if not data or connection.writer is not None:
            self._close_outbound(connection)
            return False
        connection.reader.feed(data)
        try:
            greeting = connection.reader.read_greeting(self._fleet_key, connection.nonce)
            if greeting is not None:
                self._open_session(connection, greeting)
        except FrameError as error:
            self._record_refusal("outbound", connection.peer_id, error)
            self._close_outbound(connection)
            return False
        return True

    def _open_session(self, connection: _Outbound, greeting: Greeting) -> None:
        if greeting.instance_id != connection.peer_id:
            raise FrameError(
                f"connected to {greeting.instance_id} instead of {connection.peer_id}"
            )
        connection.writer = FrameWriter(
            derive_key(self._fleet_key, connection.nonce, greeting.nonce)
        )
        self._write_outbound(connection)

    def _write_outbound(self, connection: _Outbound) -> None:
        try:
            while self._fill_buffer(connection):
                sent = connection.sock.send(connection.buffer)
                del connection.buffer[:sent]
        except BlockingIOError:
            pass
        except OSError:
            self._close_outbound(connection)
            return
        events = selectors.EVENT_READ
        if connection.buffer:
            events |= selectors.EVENT_WRITE
        self._selector.modify(connection.sock, events, connection)

    def _fill_buffer(self, connection: _Outbound) -> bool:
        """Frame queued messages up to a limit; return whether there is anything to send."""
        if connection.writer is not None:
            while connection.queue and len(connection.buffer) < MAX_BUFFERED_BYTES:
                self._append_frame(connection, connection.queue.popleft())
        return bool(connection.buffer)

    def _append_frame(self, connection: _Outbound, message: Message) -> None:
        try:
            frame = connection.writer.pack(message)
        except UnencodableError as error:
            self._meter.count("peers.unsendable_messages")
            log_event(
                "message_not_encoded",
                level=logging.ERROR,
                peer=connection.peer_id,
                reason=str(error),
            )
            return
        except MessageTooLargeError as error:
            self._meter.count("peers.unsendable_messages")
            log_event(
                "message_too_large",
                level=logging.ERROR,
                peer=connection.peer_id,
                reason=str(error),
            )
            return
        connection.buffer += frame
        self._meter.count("peers.sent_messages")
        self._meter.count("peers.sent_bytes", len(frame))

    def _close_outbound(self, connection: _Outbound) -> None:
        if connection.sock is None:
            return
        self._selector.unregister(connection.sock)
        connection.sock.close()
        connection.sock = None
        connection.writer = None
        connection.queue.clear()
        connection.buffer.clear()

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        if len(self._inbound) >= MAX_INBOUND:
            sock.close()
            return
        sock.setblocking(False)
        connection = _Inbound(sock, time.monotonic())
        self._inbound.add(connection)
        self._selector.register(sock, selectors.EVENT_READ, connection)

    def _read_inbound(self, connection: _Inbound) -> None:
        try:
            data = connection.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close_inbound(connection)
            return
        connection.used_at = time.monotonic()
        connection.reader.feed(data)
        self._meter.count("peers.received_bytes", len(data))
        try:
            self._process_frames(connection)
        except FrameError as error:
            self._record_refusal("inbound", connection.peer_id or "-", error)
            self._close_inbound(connection)

    def _process_frames(self, connection: _Inbound) -> None:
        if not connection.peer_id and not self._process_greeting(connection):
            return
        while (message := connection.reader.read_message()) is not None:
            self._meter.count("peers.received_messages")
            self._deliver(connection.peer_id, message)

    def _process_greeting(self, connection: _Inbound) -> bool:
        greeting = connection.reader.read_greeting(self._fleet_key, b"")
        if greeting is None:
            return False
        nonce = os.urandom(NONCE_BYTES)
        answer = pack_greeting(
            self._fleet_key, Greeting(self._instance_id, nonce), greeting.nonce
        )
        try:
            connection.sock.send(answer)
        except OSError as error:
            raise FrameError("sending the answer to the greeting failed") from error
        self._handle_replaced(greeting.instance_id, time.monotonic())
        connection.peer_id = greeting.instance_id
        connection.reader.set_key(derive_key(self._fleet_key, greeting.nonce, nonce))
        return True

    def _handle_replaced(self, peer_id: str, now: float) -> None:
        """Handle that a peer opens another connection.

        It has found the former one silent, so the connection to the peer may be silent too.
        """
        former = [c for c in self._inbound if c.peer_id == peer_id]
        if not former:
            return
        for connection in former:
            if now - connection.used_at > RECONNECT_MIN_AGE_S:
                self._close_inbound(connection)
        self._reopen(peer_id, now, REOPEN_MIN_AGE_S)

    def _close_inbound(self, connection: _Inbound) -> None:
        self._inbound.discard(connection)
        self._selector.unregister(connection.sock)
        connection.sock.close()

    def _close_idle_connections(self, now: float) -> None:
        for connection in list(self._outbound.values()):
            handshaking = connection.sock is not None and connection.writer is None
            if handshaking and now - connection.opened_at > HANDSHAKE_TIMEOUT_S:
                self._close_outbound(connection)
            elif now - connection.used_at > IDLE_TIMEOUT_S:
                self._close_outbound(connection)
                del self._outbound[connection.peer_id]
        for connection in list(self._inbound):
            limit_s = 2 * IDLE_TIMEOUT_S if connection.peer_id else HANDSHAKE_TIMEOUT_S
            if now - connection.used_at > limit_s:
                self._close_inbound(connection)

    def _record_refusal(self, direction: str, peer_id: str, error: FrameError) -> None:
        self._meter.count("frames.refused")
        log_event("frame_refused", direction=direction, peer=peer_id, reason=str(error))


def _limit_silence(sock: socket.socket) -> None:
    """Let the system close a connection whose peer acknowledges nothing for a while."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        timeout_ms = int(UNACKNOWLEDGED_TIMEOUT_S * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_AFTER_S)


def _begin_connect(address: str) -> socket.socket | None:
    """Return a socket that is connecting to an address; None if the address is no use."""
    try:
        host, port = parse_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
    except (OSError, *ADDRESS_ERRORS):
        return None
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    _limit_silence(sock)
    try:
        sock.connect((host, port))
    except BlockingIOError:
        pass
    except (OSError, *ADDRESS_ERRORS):
        sock.close()
        return None
    return sock
