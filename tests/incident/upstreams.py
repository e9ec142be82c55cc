"""Stand-in upstreams as the platform's pages describe them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections import Counter

from .answers import ANSWER_FAULTS, build_answer
from .proofs import digest
from .site import HEARTBEAT_S, Site
from .wire import WireError, call, parse_headers

HEALTH_PATH = "/healthz"
EARLY_BODY_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Service:
    """How the upstreams of one service behave.

    Attributes
    ----------
    faults : dict of str to float
        Share of the answers that each fault of ``ANSWER_FAULTS`` befalls.
    echoes : str
        Whether answers bear the identifier of their request: ``always``, as the pages say, only
        ``answers`` but no refusals, or ``never``.
    """

    def __init__(self, name: str, kind: str, **options: object) -> None:
        self.name = name
        self.kind = kind
        self.count = 3
        self.slots = 4
        self.queue = 3
        self.tells_load = True
        self.resets_when_full = False
        self.idle_s = 5.0
        self.faults: dict[str, float] = {}
        self.echoes = "always"
        self.early_share = 0.0
        for option, value in options.items():
            setattr(self, option, value)


class Arrival:
    """A request that reached an upstream; ``answered`` holds the statuses that it gave."""

    __slots__ = ("answered", "at", "body_hash", "has_run", "method", "request_id", "target")

    def __init__(self, request_id: str, method: str, target: str) -> None:
        self.at = time.time()
        self.request_id = request_id
        self.method = method
        self.target = target
        self.body_hash = ""
        self.has_run = False
        self.answered = 0


class Request:
    """A request as it is read; its body may come later."""

    __slots__ = ("body", "headers", "method", "target")

    def __init__(self, method: str, target: str, headers: dict[str, str]) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


class Upstream:
    """One boot of an upstream.

    Attributes
    ----------
    left_at : float
        When the first 2xx for its leave came; infinite before.
    garbage : list of tuple
        Moments and bytes that came where a request was due.
    """

    def __init__(
        self,
        site: Site,
        service: Service,
        upstream_id: str,
        address: tuple[str, int],
        rng: random.Random,
    ) -> None:
        self.site = site
        self.service = service
        self.upstream_id = upstream_id
        self.address = address
        self.rng = rng
        self.zone = f"zone-{rng.choice('abc')}"
        self.born = int(time.time() * 1000)
        self.arrivals: list[Arrival] = []
        self.faults_done: Counter[str] = Counter()
        self.garbage: list[tuple[float, str]] = []
        self.left_at = float("inf")
        self.acknowledged_by = ""
        self.is_leaving = False
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self._slots = asyncio.Semaphore(service.slots)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None

    # Service discovery.

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=256)
        self.site.note(
            f"{self.upstream_id} {self.service.name} born {self.born} {self.address}"
        )
        self._beats = asyncio.create_task(self._beat())

    def build_heartbeat(self, state: str) -> dict:
        self.sequence += 1
        return {
            "pool": self.service.name,
            "address": "{}:{}".format(*self.address),
            "availability_zone": self.zone,
            "version": "v1",
            "slots": self.service.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def tell(self, method: str, document: dict, tries: int = 5) -> str:
        """Return the control instance that acknowledged; empty when none did."""
        for instance in self.rng.sample(self.site.control, len(self.site.control))[:tries]:
            path = f"/v1/upstreams/{self.upstream_id}"
            with contextlib.suppress(OSError):
                status, _ = await call(self.site.admin(instance), method, path, document)
                if 200 <= status < 300:
                    return instance.name
        return ""

    async def leave(self, method: str) -> str:
        """Say that it leaves, by ``PUT`` (draining) or ``DELETE``, until it is acknowledged."""
        self.is_leaving = True
        for _ in range(4):
            document = {"born": self.born}
            if method == "PUT":
                document = self.build_heartbeat("draining")
            name = await self.tell(method, document)
            if name:
                self.left_at = min(self.left_at, time.time())
                self.acknowledged_by = self.acknowledged_by or name
                self.site.acknowledger = name
                self.site.note(f"{self.upstream_id} {method} leave acknowledged by {name}")
                return name
        self.site.note(f"{self.upstream_id} {method} leave not acknowledged")
        return ""

    async def _beat(self) -> None:
        while not self.is_leaving:
            await self.tell("PUT", self.build_heartbeat("ready"))
            await asyncio.sleep(HEARTBEAT_S * self.rng.uniform(0.9, 1.1))

    async def end(self) -> None:
        """Exit; as a crash does, if nothing was said before."""
        self.site.note(f"{self.upstream_id} exits")
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            # Without it, an answer without a length would seem to end here.
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    # Requests.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._writers.add(writer)
        channel = Channel(writer, self.rng)
        try:
            while await self._serve_one(reader, channel):
                pass
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        except (ValueError, WireError) as error:
            self.garbage.append((time.time(), repr(error)))
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, channel: Channel) -> bool:
        try:
            async with asyncio.timeout(self.service.idle_s):
                request = await read_head(reader)
        except TimeoutError:
            return False
        await channel.send_held_copy()
        if request.target == HEALTH_PATH:
            return await self._answer_health(request, reader, channel)
        arrival = Arrival(request.request_id, request.method, request.target)
        self.arrivals.append(arrival)
        length = int(request.headers.get("content-length", "0"))
        is_early = length > EARLY_BODY_BYTES and self.rng.random() < self.service.early_share
        if not is_early:
            request.body = await read_body(reader, request.headers)
            arrival.body_hash = digest(request.body)
            return await self._answer(request, arrival, reader, channel)
        begin = await reader.readexactly(EARLY_BODY_BYTES // 4)
        self.faults_done["early answer"] += 1
        arrival.answered = 503
        await channel.send(self._build_refusal(request))
        arrival.body_hash = digest(begin + await reader.readexactly(length - len(begin)))
        return True

    async def _answer_health(
        self, request: Request, reader: asyncio.StreamReader, channel: Channel
    ) -> bool:
        if not self.service.tells_load and not await self._take_slot(reader):
            return await self._send(channel, self._build_refusal(request))
        if not self.service.tells_load:
            await asyncio.sleep(0.002)
            self._release_slot()
        status = 503 if self.is_leaving else 200
        headers = [f"X-Instance-Id: {self.upstream_id}"]
        data = build_answer(status, [*headers, *self._common(request)], b"", "sized", self.rng)
        return await self._send(channel, data)

    async def _answer(
        self,
        request: Request,
        arrival: Arrival,
        reader: asyncio.StreamReader,
        channel: Channel,
    ) -> bool:
        if request.headers.get("x-target-instance", self.upstream_id) != self.upstream_id:
            arrival.answered = 421
            headers = [f"X-Instance-Id: {self.upstream_id}", *self._common(request)]
            data = build_answer(421, headers, b"", "sized", self.rng)
            return await self._send(channel, data)
        if not await self._take_slot(reader):
            if reader.at_eof():
                return False
            if self.service.resets_when_full:
                return channel.reset()
            arrival.answered = 503
            return await self._send(channel, self._build_refusal(request))
        arrival.has_run = True
        try:
            await asyncio.sleep(self.rng.choice([0.005, 0.01, 0.02, 0.03, 0.1]))
        finally:
            self._release_slot()
        status = self.rng.choices([200, 500, 404, 409], [94, 2, 2, 2])[0]
        body, framing = self._build_body(request)
        arrival.answered = status
        data = build_answer(
            status, self._common(request), body, framing, self.rng, self.upstream_id, request
        )
        return await self._send(channel, data)

    def _build_body(self, request: Request) -> tuple[bytes, str]:
        size = self.rng.randrange(0, 2000)
        if self.service.kind == "download":
            size = self.rng.randrange(100_000, 600_000)
        text = f"{self.upstream_id} {request.request_id} {request.target}\n".encode()
        framing = self.rng.choices(["sized", "chunked", "closed"], [70, 25, 5])[0]
        return text + self.rng.randbytes(64) * (size // 64), framing

    def _build_refusal(self, request: Request) -> bytes:
        headers = ["X-Not-Executed: 1", *self._common(request)]
        if self.service.echoes == "answers":
            headers = [h for h in headers if not h.startswith("X-Request-Id")]
        return build_answer(503, headers, b"", "sized", self.rng)

    def _common(self, request: Request) -> list[str]:
        headers = [f"Keep-Alive: timeout={int(self.service.idle_s)}"]
        if request.request_id and self.service.echoes != "never":
            headers.append(f"X-Request-Id: {request.request_id}")
        if self.service.tells_load:
            load = f"{self.running},{self.waiting},{self.service.slots},100"
            headers.append(f"X-Server-Load: {load}")
        if self.is_leaving and self.rng.random() < 0.5:
            headers.append("Connection: close")
        return headers

    async def _send(self, channel: Channel, data: bytes) -> bool:
        """Send an answer with its faults; return whether the connection lives on."""
        closes = b"\r\nConnection: close" in data.partition(b"\r\n\r\n")[0]
        for name, share in self.service.faults.items():
            # What follows an answer that ends with its connection would be part of its body.
            if self.rng.random() < share and not (closes and name.startswith("copy")):
                self.faults_done[name] += 1
                return await ANSWER_FAULTS[name](channel, data) and not closes
        await channel.send(data)
        return not closes

    async def _take_slot(self, reader: asyncio.StreamReader) -> bool:
        if self._slots.locked():
            if self.waiting >= self.service.queue:
                return False
            self.waiting += 1
            try:
                await self._slots.acquire()
            finally:
                self.waiting -= 1
            if reader.at_eof():
                self._slots.release()
                return False
        else:
            await self._slots.acquire()
        self.running += 1
        return True

    def _release_slot(self) -> None:
        self.running -= 1
        self._slots.release()


class Channel:
    """The writing side of a connection; one answer at a time."""

    def __init__(self, writer: asyncio.StreamWriter, rng: random.Random) -> None:
        self.rng = rng
        self.held_copy = b""
        self._writer = writer
        self._lock = asyncio.Lock()
        self._tasks: set[asyncio.Task] = set()

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    async def send(self, data: bytes, pieces: int = 1) -> None:
        async with self._lock:
            step = len(data) // pieces + 1
            if len(data) > 100_000:
                step = 65_536
            for start in range(0, len(data), step):
                self._writer.write(data[start : start + step])
                await self._writer.drain()
                if start + step < len(data):
                    await asyncio.sleep(self.rng.uniform(0.0, 0.02))

    def send_later(self, data: bytes, delay_s: float, pieces: int) -> None:
        async def send() -> None:
            await asyncio.sleep(delay_s)
            with contextlib.suppress(OSError):
                await self.send(data, pieces)

        task = asyncio.create_task(send())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send_held_copy(self) -> None:
        copy, self.held_copy = self.held_copy, b""
        if copy:
            await self.send(copy)

    async def finish(self) -> bool:
        """End the connection in order; return that it doesn't live on."""
        await self._writer.drain()
        self._writer.close()
        return False

    def reset(self) -> bool:
        """Reset the connection; return that it doesn't live on."""
        sock = self._writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._writer.transport.abort()
        return False


async def read_head(reader: asyncio.StreamReader) -> Request:
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    parts = lines[0].split(" ")
    if len(parts) != 3 or not parts[2].startswith("HTTP/1."):
        raise ValueError(f"no request line: {lines[0][:80]!r}")
    return Request(parts[0], parts[1], parse_headers(lines[1:]))


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return body
