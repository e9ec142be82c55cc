"""Open-loop load generator: sends requests at random times, independent of earlier responses.

Latency is measured from the scheduled send time and recorded in an HDR histogram, so that the
delay of a stalled system is counted in full (no coordinated omission).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
ANSWER_TIMEOUT_S = 20.0
MAX_CONNECTIONS = 900
HEAD_END = b"\r\n\r\n"


class Caller(asyncio.Protocol):
    """One keep-alive connection that carries one request at a time."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future | None = None
        self.body_length = -1
        self.status = 0
        self.closing = False
        self.outcome = ""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result((0, ""))

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if self.body_length < 0 and not self.read_head():
            return
        if len(self.buffer) < self.body_length:
            return
        del self.buffer[: self.body_length]
        self.body_length = -1
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result((self.status, self.outcome))

    def read_head(self) -> bool:
        end = self.buffer.find(HEAD_END)
        if end < 0:
            return False
        head = bytes(self.buffer[:end]).lower()
        del self.buffer[: end + len(HEAD_END)]
        self.status = int(head[9:12])
        self.closing = b"connection: close" in head
        _, _, rest = head.partition(b"foxtaildrum-outcome: ")
        self.outcome = rest.split(b"\r\n")[0].decode() if rest else ""
        _, _, rest = head.partition(b"content-length: ")
        self.body_length = int(rest.split(b"\r\n")[0]) if rest else 0
        return True

    async def call(self, data: bytes) -> tuple[int, str]:
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return await self.waiter


class Load:
    """Sends requests at a mean rate to several instances and records the responses."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.targets = [t.split(":") for t in arguments.targets.split(",")]
        self.rate = arguments.rate
        self.duration_s = arguments.duration_s
        self.warm_up_s = arguments.warm_up_s
        self.method = arguments.method
        self.path = arguments.path
        self.timeout_ms = arguments.timeout_ms
        self.keyed = arguments.keyed
        self.rng = random.Random(arguments.seed)
        self.idle: dict[int, list[Caller]] = {n: [] for n in range(len(self.targets))}
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.statuses: Counter[str] = Counter()
        self.sent = 0
        self.open_connections = 0
        self.timeline: list[list[int]] = []

    async def run(self) -> dict[str, Any]:
        began = time.monotonic()
        due = began
        tasks = set()
        while due - began < self.warm_up_s + self.duration_s:
            due += self.rng.expovariate(self.rate)
            delay_s = due - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            in_measurement = due - began >= self.warm_up_s
            task = asyncio.ensure_future(self.send(due, in_measurement, began))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(tasks)
        return self.describe()

    async def send(self, due: float, in_measurement: bool, began: float) -> None:
        number = self.rng.randrange(len(self.targets))
        self.sent += 1
        data = self.build_request(self.sent)
        try:
            caller = await self.connect(number)
            status, outcome = await asyncio.wait_for(caller.call(data), ANSWER_TIMEOUT_S)
        except (OSError, TimeoutError):
            status, outcome, caller = 0, "", None
        if caller is not None and not caller.closing:
            self.idle[number].append(caller)
        elif caller is not None:
            self.open_connections -= 1
            caller.transport.close()
        now = time.monotonic()
        self.record_second(due - began, status)
        if not in_measurement:
            return
        self.statuses[f"{status} {outcome}".strip()] += 1
        if 200 <= status < 300:
            self.histogram.record_value(max(1, int((now - due) * 1e6)))

    def record_second(self, at_s: float, status: int) -> None:
        second = int(at_s)
        while len(self.timeline) <= second:
            self.timeline.append([0, 0])
        self.timeline[second][0 if 200 <= status < 300 else 1] += 1

    async def connect(self, number: int) -> Caller:
        while self.idle[number]:
            caller = self.idle[number].pop()
            if not caller.closing:
                return caller
        host, port = self.targets[number]
        if self.open_connections >= MAX_CONNECTIONS:
            raise OSError("too many connections")
        self.open_connections += 1
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(Caller, host, int(port))
        return caller

    def build_request(self, number: int) -> bytes:
        lines = [f"{self.method} {self.path} HTTP/1.1", "Host: load"]
        if self.timeout_ms:
            lines.append(f"X-Request-Timeout-Ms: {self.timeout_ms}")
        if self.method == "POST":
            lines.append("Content-Length: 2")
        if self.keyed:
            lines.append(f"Idempotency-Key: load-{self.rng.getrandbits(64):x}")
        body = "{}" if self.method == "POST" else ""
        return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()

    def describe(self) -> dict[str, Any]:
        values = {
            f"p{p:g}": round(self.histogram.get_value_at_percentile(p) / 1000, 3)
            for p in PERCENTILES
        }
        return {
            **values,
            "mean": round(self.histogram.get_mean_value() / 1000, 3),
            "good": self.histogram.get_total_count(),
            "statuses": dict(self.statuses),
            "timeline": self.timeline,
        }


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--targets", required=True, help="HOST:PORT,...")
    parser.add_argument("--rate", type=float, default=100.0, help="mean requests per second")
    parser.add_argument("--duration-s", type=float, default=10.0)
    parser.add_argument("--warm-up-s", type=float, default=2.0)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--path", default="/lookup/x")
    parser.add_argument("--timeout-ms", type=int, default=0)
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def main() -> None:
    print(json.dumps(asyncio.run(Load(parse_arguments()).run())))


if __name__ == "__main__":
    main()
