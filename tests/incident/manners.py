"""Proper requests in unusual manners; each manner registers itself by decorator.

A manner sends requests on connections of its own and never repeats one.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable

from .callers import Callers, Record
from .proofs import digest
from .site import Instance
from .states import HOST, LIMITS
from .wire import Connection, WireError

DEADLINE_MS = 2500
TIMEOUT_S = DEADLINE_MS / 1000 + 1.0
MAX_BODY_BYTES = 200_000
# Callers reuse connections that were idle for up to four fifths of the limit.
MAX_IDLE_RATIO = 0.8


class Sender:
    """Sends requests of one manner to an entry instance."""

    def __init__(
        self, callers: Callers, instance: Instance, rng: random.Random, manner: str
    ) -> None:
        self.callers = callers
        self.instance = instance
        self.rng = rng
        self.manner = manner

    async def open(self) -> Connection:
        return await Connection.open(self.callers.site.front(self.instance))

    def build_record(self, kinds: tuple[str, ...], method: str) -> Record:
        """Return the record of a new request on a route of one of the kinds."""
        states = self.callers.states
        use = states.pick_use(self.rng)
        while use.kind not in kinds:
            use = states.pick_use(self.rng)
        record = Record(self.instance.name, use, method, str(DEADLINE_MS))
        record.body_hash = digest(b"")
        record.manner = self.manner
        self.callers.records.append(record)
        return record


Manner = Callable[[Sender], Awaitable[None]]

MANNERS: dict[str, Manner] = {}


def register_manner(name: str) -> Callable[[Manner], Manner]:
    """Register the decorated coroutine, which returns once its requests have ended."""

    def register(function: Manner) -> Manner:
        MANNERS[name] = function
        return function

    return register


async def run_manners(callers: Callers, instance: Instance, rng: random.Random) -> None:
    """Send requests in random manners until the callers are stopped."""
    while not callers.is_stopped:
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        name = rng.choice(list(MANNERS))
        callers.manners[name] += 1
        sender = Sender(callers, instance, rng, name)
        with contextlib.suppress(OSError, TimeoutError):
            await MANNERS[name](sender)


def _build_head(record: Record, *lines: str) -> bytes:
    head = [
        f"{record.method} {record.target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {record.request_id}",
        f"X-Deadline-Ms: {record.deadline}",
        *lines,
    ]
    return "\r\n".join([*head, "", ""]).encode()


async def _read(connection: Connection, record: Record) -> None:
    try:
        async with asyncio.timeout(TIMEOUT_S):
            record.answer = await connection.read_answer()
    except (OSError, ValueError, TimeoutError) as error:
        record.detail = repr(error)[:120]
    record.ended_at = time.time()
    if record.answer is not None:
        record.answer_hash = digest(record.answer.body)


async def _read_all(connection: Connection, records: list[Record]) -> bool:
    """Read the answers in order; return whether the connection lives on."""
    for number, record in enumerate(records):
        await _read(connection, record)
        if record.answer is None or _closes(record):
            for other in records[number + 1 :]:
                other.ended_at = time.time()
                other.detail = "sent behind the answer that closed the connection"
            return False
    records[-1].stray += connection.stray
    return True


def _closes(record: Record) -> bool:
    return (
        record.answer.headers.get("connection", "").lower() == "close"
        or record.answer.framing == "closed"
    )


async def _send_pipelined(sender: Sender, closing: bool, ends: bool) -> None:
    connection = await sender.open()
    try:
        for _ in range(sender.rng.randint(1, 3)):
            count = sender.rng.randint(2, 12)
            records = [sender.build_record(("safe", "download"), "GET") for _ in range(count)]
            heads = [_build_head(r) for r in records]
            if closing:
                last = sender.rng.randrange(count)
                heads[last] = _build_head(records[last], "Connection: close")
            connection.expect(count)
            per_write = sender.rng.choice([1, 2, count, count])
            for start in range(0, count, per_write):
                connection.transport.write(b"".join(heads[start : start + per_write]))
                await asyncio.sleep(sender.rng.uniform(0.0, 0.02))
            if ends:
                connection.transport.write_eof()
            lives = await _read_all(connection, records)
            if ends or not lives:
                return
    finally:
        connection.close()


@register_manner("pipelined")
async def send_pipelined(sender: Sender) -> None:
    await _send_pipelined(sender, closing=False, ends=False)


@register_manner("pipelined, one closes the connection")
async def send_pipelined_closing(sender: Sender) -> None:
    await _send_pipelined(sender, closing=True, ends=False)


@register_manner("pipelined, the sending side closed")
async def send_pipelined_and_end(sender: Sender) -> None:
    await _send_pipelined(sender, closing=False, ends=True)


@register_manner("one request, the sending side closed")
async def send_one_and_end(sender: Sender) -> None:
    connection = await sender.open()
    try:
        record = sender.build_record(("safe", "download"), "GET")
        connection.expect()
        connection.transport.write(_build_head(record))
        await asyncio.sleep(sender.rng.choice([0.0, 0.002, 0.01]))
        connection.transport.write_eof()
        await _read(connection, record)
    finally:
        connection.close()


def _build_body(rng: random.Random) -> tuple[bytes, bytes, str]:
    """Return a body, its bytes on the wire and the header line that frames it."""
    body = rng.randbytes(rng.choice([0, 1, 300, 20_000, rng.randrange(MAX_BODY_BYTES)]))
    if rng.random() < 0.5:
        return body, body, f"Content-Length: {len(body)}"
    data = b""
    start = 0
    while start < len(body):
        part = body[start : start + rng.choice([1, 100, 5000, 70_000])]
        start += len(part)
        data += b"%0*x\r\n%b\r\n" % (rng.choice([1, 1, 8]), len(part), part)
    return body, data + b"0\r\n\r\n", "Transfer-Encoding: chunked"


async def _send_body(sender: Sender, connection: Connection, asks: bool) -> bool:
    record = sender.build_record(("safe", "unsafe", "download"), "POST")
    body, data, framing = _build_body(sender.rng)
    record.body_hash = digest(body)
    connection.expect()
    lines = [framing, "Expect: 100-continue"] if asks else [framing]
    sent = _build_head(record, *lines)
    if asks:
        connection.transport.write(sent)
        sent = b""
        with contextlib.suppress(TimeoutError, WireError):
            await asyncio.wait_for(connection.await_continue(), 0.5)
    sent += data
    pieces = sender.rng.choice([1, 2, 5])
    size = len(sent) // pieces + 1
    for start in range(0, len(sent), size):
        connection.transport.write(sent[start : start + size])
        await asyncio.sleep(sender.rng.choice([0.0, 0.001, 0.1]))
    return await _read_all(connection, [record])


async def _send_bodies(sender: Sender, max_count: int, asks: bool) -> None:
    """Send bodies one after the other over a connection of their own."""
    connection = await sender.open()
    try:
        for _ in range(sender.rng.randint(1, max_count)):
            if not await _send_body(sender, connection, asks=asks):
                return
    finally:
        connection.close()


@register_manner("bodies in pieces")
async def send_pieces(sender: Sender) -> None:
    await _send_bodies(sender, 4, asks=False)


@register_manner("bodies that wait for 100 Continue")
async def send_expecting(sender: Sender) -> None:
    await _send_bodies(sender, 3, asks=True)


@register_manner("a connection that was idle")
async def send_after_idle(sender: Sender) -> None:
    connection = await sender.open()
    try:
        await asyncio.sleep(sender.rng.choice([0.0, 1.0]))
        for _ in range(2):
            if not await _send_body(sender, connection, asks=False):
                return
            await _rest(
                sender.callers,
                sender.rng.uniform(0.0, MAX_IDLE_RATIO) * LIMITS["idle_timeout_ms"],
            )
            if connection.is_ended:
                return
    finally:
        connection.close()


async def _rest(callers: Callers, idle_ms: float) -> None:
    ends_at = time.time() + idle_ms / 1000
    while time.time() < ends_at and not callers.is_stopped:
        await asyncio.sleep(0.1)
