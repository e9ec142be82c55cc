"""A crowd of requesters that keep their connections, and the platform that places them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import threading
import time
import uuid

from .deployment import Deployment, Machine
from .endpoints import Endpoint
from .operator import Operator
from .record import NotRun, Record
from .states import build_route, build_state

HOST = "jepu9.example"
SAFE_PATH = "/lepu270/2f"
UNSAFE_PATH = "/xapu221/2f"
SERVICE = "huvo11a"
# Requesters of the site, over all zones.
REQUESTERS = 1441
# Time between two requests on a kept connection; it may rest for 12 s (four fifths of 15 s).
PERIOD_S = 10.0
# Requesters of eight whose hash leads to the first machine.
FIRST_OF_EIGHT = 5
DEADLINE_S = 1.566
# Time after which a requester leaves a machine that has not read its safe request.
UNREAD_S = DEADLINE_S / 3
# ``herd_kill`` of the site file: for_s; its share of .55 is one machine of two.
DOWN_S = 2.0
STABLE_WINDOW_S = 3.0
# Requesters that open a connection for each request, and their time budget.
FRESH = 10
FRESH_DEADLINE_S = 1.288
FRESH_PERIOD_S = 0.5


class Rotation:
    """The platform: asks each entry machine every second, and picks one for a connection."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment = deployment
        self._record = record
        self._misses = {m.name: 0 for m in deployment.entries}
        self.answers: list[tuple[float, str, bool]] = []
        threading.Thread(target=self._ask_always, daemon=True).start()

    def pick(self, number: int, retries: int) -> Machine:
        """Return the machine for a requester: the hash is uneven, and retries reach others."""
        machines = self._deployment.entries
        usable = [m for m in machines if self._misses[m.name] < 2] or machines
        first = 0 if number % 8 < FIRST_OF_EIGHT else 1
        return usable[(first + retries) % len(usable)]

    def _ask_always(self) -> None:
        while True:
            for machine in self._deployment.entries:
                is_ready = self._deployment.is_ready(machine)
                self.answers.append((time.monotonic(), machine.name, is_ready))
                was_usable = self._misses[machine.name] < 2
                self._misses[machine.name] = 0 if is_ready else self._misses[machine.name] + 1
                if was_usable != (self._misses[machine.name] < 2):
                    state = "out of" if was_usable else "in"
                    self._record.write(f"{machine.name} is {state} rotation")
            time.sleep(1.0)


class Crowd:
    """Requesters that keep their connections, in a thread of their own."""

    def __init__(self, deployment: Deployment, rotation: Rotation) -> None:
        self._deployment = deployment
        self._rotation = rotation
        self.counts = {"served": 0, "unread": 0, "closed": 0, "refused": 0}
        self.kept = {m.name: 0 for m in deployment.entries}
        self.is_closed = False
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True)
        self._thread.start()

    def close(self) -> None:
        """End all requesters."""
        self.is_closed = True
        self._thread.join(5.0)

    async def _run(self) -> None:
        tasks = [asyncio.create_task(self._request_always(n)) for n in range(REQUESTERS)]
        while not self.is_closed:
            await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()

    async def _request_always(self, number: int) -> None:
        await asyncio.sleep(random.uniform(0, PERIOD_S))
        retries = 0
        while True:
            machine = self._rotation.pick(number, retries)
            if await self._keep_connection(machine):
                retries = 0
            else:
                retries += 1
                await asyncio.sleep(random.uniform(0.1, 1.0))

    async def _keep_connection(self, machine: Machine) -> bool:
        """Use a connection until it is closed; return whether a request was served on it."""
        host, _, port = self._deployment.get_front(machine).rpartition(":")
        was_served = False
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
            while True:
                async with asyncio.timeout(DEADLINE_S if was_served else UNREAD_S):
                    status = await request(reader, writer, "GET", SAFE_PATH, DEADLINE_S)
                self.counts["served" if status == 200 else "refused"] += 1
                if not was_served:
                    was_served = True
                    self.kept[machine.name] += 1
                await asyncio.sleep(random.uniform(0.9, 1.1) * PERIOD_S)
        except TimeoutError:
            self.counts["unread"] += 1
        except (OSError, EOFError, ValueError):
            self.counts["closed"] += 1
        finally:
            if was_served:
                self.kept[machine.name] -= 1
            if writer is not None:
                writer.close()
        return was_served


async def request(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    deadline_s: float,
    request_id: str = "",
) -> int:
    """Send one request; return the status of its answer."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id or uuid.uuid4().hex[:16]}",
        f"X-Deadline-Ms: {int(deadline_s * 1000)}",
    ]
    if method != "GET":
        lines.append("Content-Length: 0")
    writer.write("\r\n".join([*lines, "", ""]).encode())
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split()[1])


class FreshResult:
    """A request on a connection of its own: status 0 without an answer."""

    def __init__(self, requester: int) -> None:
        self.requester = requester
        self.request_id = uuid.uuid4().hex[:16]
        self.at = time.monotonic()
        self.closed_at = 0.0
        self.status = 0


class Fresh:
    """Requesters that open a connection for each request, to one machine."""

    def __init__(self, front: str) -> None:
        self._front = front
        self.results: list[FreshResult] = []

    def run(self, duration_s: float) -> None:
        """Send requests for some time."""
        asyncio.run(self._run(duration_s))

    async def _run(self, duration_s: float) -> None:
        until = time.monotonic() + duration_s
        await asyncio.gather(*(self._request_always(n, until) for n in range(FRESH)))

    async def _request_always(self, number: int, until: float) -> None:
        await asyncio.sleep(number * FRESH_PERIOD_S / FRESH)
        while time.monotonic() < until:
            result = FreshResult(number)
            with contextlib.suppress(OSError, EOFError, ValueError, TimeoutError):
                result.status = await self._request(result.request_id)
            result.closed_at = time.monotonic()
            self.results.append(result)
            await asyncio.sleep(FRESH_PERIOD_S)

    async def _request(self, request_id: str) -> int:
        host, _, port = self._front.rpartition(":")
        async with asyncio.timeout(FRESH_DEADLINE_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                return await request(
                    reader, writer, "POST", UNSAFE_PATH, FRESH_DEADLINE_S, request_id
                )
            finally:
                writer.close()


class Scene:
    """Two entry machines, of which one is killed, and as many requesters as the site has."""

    def __init__(self, deployment: Deployment, record: Record, base: int) -> None:
        self._record = record
        self._deployment = deployment
        if not deployment.start_all():
            raise NotRun("the control machines did not become ready")
        control = deployment.list_control()
        routes = [
            build_route("r-1", HOST, "/lepu270/", SERVICE),
            build_route("r-2", HOST, "/xapu221/", SERVICE, "unsafe"),
        ]
        state = build_state(1, routes)
        for pool in state["pools"]:
            del pool["warmup_s"], pool["warmup_per_s"]
        Operator(record, control).put_state(state)
        self.endpoints = [
            Endpoint(control, SERVICE, f"zone-{'abc'[n % 3]}", f"127.{base}.3.{n + 1}", 16)
            for n in range(6)
        ]
        for endpoint in self.endpoints:
            endpoint.start_heartbeats()
        if not deployment.wait_ready(deployment.entries):
            raise NotRun("the entry machines did not become ready")
        time.sleep(4.0)
        self.rotation = Rotation(deployment, record)
        self.crowd = Crowd(deployment, self.rotation)
        time.sleep(1.5 * PERIOD_S)
        self.write_counts()

    def write_counts(self) -> None:
        """Write down how the crowd fares."""
        crowd = self.crowd
        self._record.write(
            f"{REQUESTERS} requesters: {crowd.counts}, connections kept: {crowd.kept}"
        )

    def kill_and_restart(self, victim: Machine) -> None:
        """Kill the process of a machine, and start it again after ``DOWN_S``."""
        self._record.write(f"{victim.name} is killed")
        self._deployment.send_signal(victim, signal.SIGKILL)
        victim.process.wait()
        time.sleep(DOWN_S)
        self._deployment.start(victim)
        self._record.write(f"{victim.name} is started again")
        if not self._deployment.wait_ready([victim], 15.0):
            raise NotRun("the killed machine did not become ready again")
        self._record.write(f"{victim.name} is ready again")


def build_deployment(base: int) -> Deployment:
    """Return a deployment with two entry machines."""
    deployment = Deployment(base, entries=2)
    # As on the machines of the site skovbrynet-gw-grown, and with its bounds.
    deployment.entry_limits |= {"memory_mb": 445, "max_fds": 10387, "link_mbps": 2.55}
    for name in ("fail_closed", "revoke_ms", "evac_ms"):
        del deployment.bounds[name]
    for name in [n for n in deployment.bounds if n.startswith(("quota", "warmup"))]:
        del deployment.bounds[name]
    deployment.bounds |= {"retry_slack": 184}
    return deployment
