"""Stand-in endpoints that follow the platform's pages, unless a case says what they do else."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import uuid

from .site import HEARTBEAT_MS, Site, call


class Request:
    """A request as an endpoint has read it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


class Endpoint:
    """An endpoint of one service: serves requests, and announces itself every heartbeat.

    A subclass overrides :meth:`serve` or :meth:`work`.
    """

    slots = 4
    reads_bytes = 65536
    receive_buffer = 0
    tells_load = True

    def __init__(self, site: Site, service: str, ip: str, work_s: float = 0.02) -> None:
        self.site = site
        self.service = service
        self.work_s = work_s
        self.upstream_id = f"i-{uuid.uuid4().hex[:10]}"
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[float, Request]] = []
        self.running = 0
        self.lock = threading.Lock()
        self.sequence = 0
        self.announcing = threading.Event()
        self.closed = False
        self._next_control = 0
        self._sockets: set[socket.socket] = set()
        self._listener = socket.socket()
        if self.receive_buffer:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        self._listener.bind((ip, 0))
        self._listener.listen(128)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    # Service discovery.

    def start_announcing(self) -> None:
        self.announcing.set()
        threading.Thread(target=self._announce_always, daemon=True).start()

    def announce(self, state: str = "ready") -> bool:
        """Send one ping; return whether a node acknowledged it within a second."""
        with self.lock:
            self.sequence += 1
            document = {
                "pool": self.service,
                "address": self.address,
                "availability_zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "warmup_left_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        return self._tell("PUT", document)

    def deregister(self) -> bool:
        """Say that the endpoint leaves; return whether that was acknowledged."""
        self.announcing.clear()
        return self._tell("DELETE", {"born": self.born})

    def _tell(self, method: str, document: dict) -> bool:
        addresses = self.site.control_addresses()
        for _ in addresses:
            address = addresses[self._next_control % len(addresses)]
            try:
                status, _ = call(
                    address, method, f"/v1/upstreams/{self.upstream_id}", document, 1.0
                )
            except OSError:
                status = 0
            if 200 <= status < 300:
                return True
            self._next_control += 1
        return False

    def _announce_always(self) -> None:
        while self.announcing.is_set() and not self.closed:
            self.announce()
            time.sleep(HEARTBEAT_MS / 1000)

    # Requests.

    def close(self) -> None:
        self.closed = True
        self.announcing.clear()
        self._listener.close()
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.close()

    def _accept(self) -> None:
        while not self.closed:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(sock)
            threading.Thread(target=self._serve_connection, args=(sock,), daemon=True).start()

    def _serve_connection(self, sock: socket.socket) -> None:
        try:
            file = sock.makefile("rb", buffering=self.reads_bytes)
            while not self.closed:
                request = self.read_request(sock, file)
                if request is None:
                    return
                if request.target == "/healthz":
                    self.answer_health(sock)
                else:
                    self.serve(sock, request)
        except (OSError, ValueError):
            pass
        finally:
            self._sockets.discard(sock)
            sock.close()

    def read_request(self, sock: socket.socket, file) -> Request | None:
        head = read_head(file)
        if head is None:
            return None
        method, target, headers = head
        body = read_body(file, headers)
        if body is None:
            return None
        return Request(method, target, headers, body)

    def answer_health(self, sock: socket.socket) -> None:
        sock.sendall(self.build_health())

    def load(self) -> str:
        return f"{self.running},0,{self.slots},100"

    def serve(self, sock: socket.socket, request: Request) -> None:
        wanted = request.headers.get("x-target-instance", self.upstream_id)
        if wanted != self.upstream_id:
            sock.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                + f"X-Instance-Id: {self.upstream_id}\r\n\r\n".encode()
            )
            return
        self.run(request)
        sock.sendall(self.build_answer(request))

    def run(self, request: Request) -> None:
        with self.lock:
            self.runs.append((time.monotonic(), request))
            self.running += 1
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1

    def build_answer(self, request: Request) -> bytes:
        body = f"done by {self.upstream_id} for {request.request_id}\n".encode()
        proof = f"X-Response-Signature: proof-{request.request_id}"
        return self._build("200 OK", [f"X-Request-Id: {request.request_id}", proof], body)

    def build_health(self) -> bytes:
        return self._build("200 OK", [f"X-Instance-Id: {self.upstream_id}"])

    def build_shed(self, request: Request | None) -> bytes:
        """Return a refusal; a status check has no identifier that could be echoed."""
        echo = [f"X-Request-Id: {request.request_id}"] if request else []
        return self._build("503 Service Unavailable", ["X-Not-Executed: 1", *echo])

    def _build(self, status: str, headers: list[str], body: bytes = b"") -> bytes:
        if self.tells_load:
            headers = [*headers, f"X-Server-Load: {self.load()}"]
        lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body


def read_head(file) -> tuple[str, str, dict[str, str]] | None:
    """Return method, target and headers (names in lower case); None at the end."""
    line = file.readline(65536)
    if not line:
        return None
    parts = line.decode("latin-1").split()
    if len(parts) != 3:
        raise ValueError(f"no request line: {line[:80]!r}")
    headers = {}
    while True:
        line = file.readline(65536)
        if not line:
            return None
        text = line.decode("latin-1").strip()
        if not text:
            return parts[0], parts[1], headers
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()


def read_body(file, headers: dict[str, str]) -> bytes | None:
    """Return the whole body; None if it is incomplete."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(file.readline(1024).split(b";")[0], 16)
            chunk = file.read(size)
            file.readline(1024)
            if not size:
                return body
            body += chunk
    length = int(headers.get("content-length", "0"))
    body = file.read(length) if length else b""
    return body if len(body) == length else None
