"""Callers: tasks that send requests to one entry instance each and record the answers."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections import Counter
from collections.abc import Callable, Coroutine

from .proofs import digest
from .site import Instance, Site
from .states import HOST, RouteUse, States
from .wire import Answer, Connection, WireError

DEADLINES_MS = (800, 1500, 2500)
MAX_TRIES = 4
LEAVE_EARLY_SHARE = 0.02
NEW_CONNECTION_SHARE = 0.1
LONG_BODY_SHARE = 0.04
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)


class Record:
    """One request and what its caller saw; ``status`` is 0 without a complete answer.

    Attributes
    ----------
    manner : str
        Unusual manner in which it was sent; empty for the usual one.
    """

    __slots__ = (
        "answer",
        "answer_hash",
        "body_hash",
        "deadline",
        "detail",
        "ended_at",
        "entry",
        "has_left",
        "manner",
        "method",
        "request_id",
        "sent_at",
        "stray",
        "target",
        "use",
    )

    def __init__(self, entry: str, use: RouteUse, method: str, deadline: str) -> None:
        self.request_id = uuid.uuid4().hex[:16]
        self.entry = entry
        self.use = use
        self.method = method
        self.target = f"{use.prefix}{self.request_id[:6]}"
        self.deadline = deadline
        self.sent_at = time.time()
        self.ended_at = 0.0
        self.answer: Answer | None = None
        self.answer_hash = ""
        self.body_hash = ""
        self.detail = ""
        self.stray = b""
        self.has_left = False
        self.manner = ""

    @property
    def status(self) -> int:
        return self.answer.status if self.answer is not None else 0

    def describe(self) -> str:
        return (
            f"{self.request_id} {self.method} {self.target} ({self.use.kind}) at {self.entry}, "
            f"deadline {self.deadline}, status {self.status} {self.detail} {self.manner}"
        )


class Callers:
    """Callers of all entry instances; each keeps a connection.

    Parameters
    ----------
    fractional : bool
        Whether retries state the rest of their time with a fraction.
    """

    def __init__(
        self, site: Site, states: States, seed: int, per_entry: int, fractional: bool
    ) -> None:
        self.site = site
        self.states = states
        self._seed = seed
        self._per_entry = per_entry
        self._fractional = fractional
        self.is_stopped = False
        self._tasks: list[asyncio.Task] = []
        self.records: list[Record] = []
        # Number of times that requests were sent in each unusual manner.
        self.manners: Counter[str] = Counter()

    def start(self) -> None:
        self.spawn(self._run, self._per_entry, "")

    def spawn(
        self,
        run: Callable[[Instance, random.Random], Coroutine[None, None, None]],
        per_entry: int,
        label: str,
    ) -> None:
        """Start tasks that send requests until the callers are stopped.

        Parameters
        ----------
        label : str
            Tells the random generators of these tasks from those of others.
        """
        for instance in self.site.entries:
            for number in range(per_entry):
                rng = random.Random(f"{self._seed}-{label}{instance.name}-{number}")
                self._tasks.append(asyncio.create_task(run(instance, rng)))

    async def stop(self) -> None:
        self.is_stopped = True
        await asyncio.gather(*self._tasks)

    def count(self) -> Counter[str]:
        return Counter(
            str(r.status or ("left" if r.has_left else "no answer")) for r in self.records
        )

    async def _run(self, instance: Instance, rng: random.Random) -> None:
        connection: Connection | None = None
        while not self.is_stopped:
            await asyncio.sleep(rng.uniform(0.0, 0.12))
            use = self.states.pick_use(rng)
            if connection is not None and rng.random() < NEW_CONNECTION_SHARE:
                connection.close()
                connection = None
            connection = await self._send_with_retries(instance, connection, use, rng)
        if connection is not None:
            connection.close()

    async def _send_with_retries(
        self,
        instance: Instance,
        connection: Connection | None,
        use: RouteUse,
        rng: random.Random,
    ) -> Connection | None:
        deadline_ms = rng.choice(DEADLINES_MS)
        ends_at = time.time() + deadline_ms / 1000
        method = "POST" if use.kind == "unsafe" or rng.random() < 0.1 else "GET"
        text = str(deadline_ms)
        target = instance
        for number in range(MAX_TRIES):
            record = Record(target.name, use, method, text)
            self.records.append(record)
            connection = await self._send(target, connection, record, rng)
            left_s = ends_at - time.time()
            if not _may_retry(record) or left_s < 0.1 or number + 1 == MAX_TRIES:
                break
            if connection is not None:
                connection.close()
                connection = None
            await asyncio.sleep(_retry_after(record, left_s))
            left_ms = max(1.0, 1000 * (ends_at - time.time()))
            text = f"{left_ms:.3f}" if self._fractional else str(int(left_ms))
            target = rng.choice(self.site.entries)
        if target is not instance and connection is not None:
            connection.close()
            return None
        return connection

    async def _send(
        self,
        instance: Instance,
        connection: Connection | None,
        record: Record,
        rng: random.Random,
    ) -> Connection | None:
        """Send one request; return the connection if it lives on."""
        if connection is not None and (connection.is_ended or connection.stray):
            record.stray = connection.stray
            connection.close()
            connection = None
        timeout_s = float(record.deadline) / 1000 + 1.0
        try:
            if connection is None:
                connection = await Connection.open(self.site.front(instance))
            record.sent_at = time.time()
            async with asyncio.timeout(timeout_s):
                self._write(connection, record, rng)
                if rng.random() < LEAVE_EARLY_SHARE:
                    record.has_left = True
                    await asyncio.sleep(rng.uniform(0.0, 0.05))
                    raise WireError("left early")
                record.answer = await connection.read_answer()
        except (OSError, ValueError, TimeoutError) as error:
            record.detail = repr(error)[:120]
            if connection is not None:
                connection.close()
                connection = None
        record.ended_at = time.time()
        if record.answer is None:
            return None
        record.answer_hash = digest(record.answer.body)
        record.stray += connection.stray
        closes = record.answer.headers.get("connection", "").lower() == "close"
        if closes or record.answer.framing == "closed":
            connection.close()
            return None
        return connection

    def _write(self, connection: Connection, record: Record, rng: random.Random) -> None:
        lines = [
            f"{record.method} {record.target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {record.request_id}",
            f"X-Deadline-Ms: {record.deadline}",
        ]
        body = b""
        if record.method == "POST":
            count = rng.randrange(6000, 20_000) if rng.random() < LONG_BODY_SHARE else 5
            body = f"{record.request_id}:".encode() * count
            if rng.random() < 0.2:
                lines.append("Transfer-Encoding: chunked")
                data = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            else:
                lines.append(f"Content-Length: {len(body)}")
                data = body
            record.body_hash = digest(body)
        else:
            data = b""
            record.body_hash = digest(body)
        connection.expect()
        connection.transport.write("\r\n".join([*lines, "", ""]).encode() + data)


def _may_retry(record: Record) -> bool:
    if record.has_left or 200 <= record.status < 300 or record.status in FINAL:
        return False
    if record.use.kind == "unsafe":
        return record.status in PROMISES
    return True


def _retry_after(record: Record, left_s: float) -> float:
    value = record.answer.headers.get("retry-after", "") if record.answer else ""
    try:
        return min(float(value), left_s / 3)
    except ValueError:
        return 0.02
