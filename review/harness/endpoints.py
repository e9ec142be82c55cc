"""Stand-in endpoints that follow the protocol page."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import uuid

from .deployment import HEARTBEAT_S
from .web import call

MAX_LINE_BYTES = 65536
HEALTH_PATH = "/healthz"


class Arrival:
    """A request that an endpoint began to work on."""

    def __init__(self, at: float, endpoint: Endpoint, target: str, headers: dict) -> None:
        self.at = at
        self.endpoint = endpoint
        self.target = target
        self.headers = headers

    @property
    def request_id(self) -> str:
        """Identifier that the requester sent."""
        return self.headers.get("x-request-id", "")


class Endpoint:
    """An endpoint of one service: serves requests and sends heartbeats.

    Parameters
    ----------
    control : list of str
        Nodes that take heartbeats.
    """

    def __init__(
        self,
        control: list[str],
        service: str,
        zone: str,
        ip: str,
        slots: int = 4,
        work_s: float = 0.02,
    ) -> None:
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.endpoint_id = f"i-{uuid.uuid4().hex[:8]}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.warm_at = 0.0
        self.arrivals: list[Arrival] = []
        self._control = control
        self._picked = 0
        self._running = 0
        self._sequence = 0
        self._lock = threading.Lock()
        self._is_closed = False
        self._sockets: set[socket.socket] = set()
        self._listener = socket.create_server((ip, 0), backlog=256)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def start_heartbeats(self) -> None:
        """Send heartbeats from now on."""
        threading.Thread(target=self._beat, daemon=True).start()

    def send_heartbeat(self) -> bool:
        """Send one heartbeat; return whether a node acknowledged it."""
        self._sequence += 1
        document = {
            "pool": self.service,
            "address": self.address,
            "availability_zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": self.compute_warmup_ms(),
            "sequence": self._sequence,
            "born": self.born,
        }
        path = f"/v1/upstreams/{self.endpoint_id}"
        for _ in self._control:
            with contextlib.suppress(OSError):
                address = self._control[self._picked % len(self._control)]
                if 200 <= call(address, "PUT", path, document)[0] < 300:
                    return True
            self._picked += 1
        return False

    def compute_warmup_ms(self) -> int:
        """Return how long the endpoint stays cold."""
        return max(0, int((self.warm_at - time.monotonic()) * 1000))

    def close(self) -> None:
        """End as a crash does."""
        self._is_closed = True
        self._listener.close()
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.close()

    def _beat(self) -> None:
        while not self._is_closed:
            self.send_heartbeat()
            time.sleep(HEARTBEAT_S)

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), sock.makefile("rb") as file:
            while not self._is_closed:
                head = read_head(file)
                if head is None:
                    break
                target, headers = head
                file.read(int(headers.get("content-length", "0")))
                self._answer(sock, target, headers)
        self._sockets.discard(sock)
        sock.close()

    def _answer(self, sock: socket.socket, target: str, headers: dict[str, str]) -> None:
        if target == HEALTH_PATH:
            sock.sendall(self._build("200 OK"))
            return
        echo = {"X-Request-Id": headers.get("x-request-id", "")}
        if headers.get("x-target-instance", self.endpoint_id) != self.endpoint_id:
            sock.sendall(self._build("421 Misdirected Request", echo))
            return
        with self._lock:
            self.arrivals.append(Arrival(time.monotonic(), self, target, headers))
            self._running += 1
        time.sleep(self.work_s)
        with self._lock:
            self._running -= 1
        echo["X-Response-Signature"] = f"proof.{echo['X-Request-Id']}"
        self._send_answer(sock, echo)

    def _send_answer(self, sock: socket.socket, echo: dict[str, str]) -> None:
        sock.sendall(self._build("200 OK", echo, f"{self.endpoint_id}\n".encode()))

    def _build(self, status: str, headers: dict | None = None, body: bytes = b"") -> bytes:
        fields = {
            "X-Instance-Id": self.endpoint_id,
            "X-Server-Load": f"{self._running},0,{self.slots},100",
            "Content-Length": str(len(body)),
        }
        warmup_ms = self.compute_warmup_ms()
        if warmup_ms:
            fields["X-Warmup-Ms"] = str(warmup_ms)
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in (fields | (headers or {})).items()]
        return "\r\n".join([*lines, "", ""]).encode() + body


def read_head(file) -> tuple[str, dict[str, str]] | None:
    """Return the target and the headers, with names in lower case; None at the end."""
    parts = file.readline(MAX_LINE_BYTES).decode("latin-1").split()
    if len(parts) != 3:
        return None
    headers = {}
    while line := file.readline(MAX_LINE_BYTES).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return parts[1], headers
