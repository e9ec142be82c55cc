"""Desired states: routes that always hold, and others that an operator changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time

from .site import CONFIG_APPLY_S, Site
from .wire import call

HOST = "hulo84.example"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
MOVING_COUNT = 6
NEVER_SHARE = 0.01
MOVING_SHARE = 0.2
# Share of the changes after which an operator that repeats delivers an earlier state again.
REPEAT_SHARE = 0.3


class RouteUse:
    """A path that callers use: its prefix and kind; ``name`` is empty for one that never is."""

    __slots__ = ("kind", "name", "prefix")

    def __init__(self, name: str, prefix: str, kind: str) -> None:
        self.name = name
        self.prefix = prefix
        self.kind = kind


class State:
    """A desired state: the services of each route, when it was sent and acknowledged."""

    __slots__ = ("acknowledged_at", "document", "sent_at", "services", "version")

    def __init__(self, version: int, document: dict) -> None:
        self.version = version
        self.document = document
        self.sent_at = float("inf")
        self.acknowledged_at = float("inf")
        self.services = {
            r["name"]: {s["pool"] for s in r.get("split", [])} or {r["pool"]}
            for r in document["routes"]
        }


class States:
    """Every desired state of a run, and the uses that callers make of their routes."""

    def __init__(self, services: dict[str, str], seed: int) -> None:
        self._services = services
        self._rng = random.Random(f"{seed}-states")
        self._fixed = [RouteUse(f"r-{n}", f"/{n}/", kind) for n, kind in services.items()]
        kinds = ["safe", "unsafe"]
        self._moving = [
            RouteUse(f"m{n}", f"/moving/{n}/", kinds[n % 2]) for n in range(MOVING_COUNT)
        ]
        self.all: list[State] = []

    def pick_use(self, rng: random.Random) -> RouteUse:
        draw = rng.random()
        if draw < NEVER_SHARE:
            return RouteUse("", f"/never/{rng.randrange(9)}/", "safe")
        return rng.choice(self._moving if draw < NEVER_SHARE + MOVING_SHARE else self._fixed)

    def build_next(self) -> State:
        version = (self.all[-1].version if self.all else 0) + self._rng.randint(1, 4)
        routes = [_build_route(use, [use.prefix.strip("/")], 2000) for use in self._fixed]
        for use in self._moving:
            choices = [n for n, kind in self._services.items() if kind == use.kind]
            if self._rng.random() < 0.25:
                continue
            count = min(len(choices), self._rng.choice([1, 1, 2]))
            timeout_ms = self._rng.choice([1000, 2000, 3000])
            routes.append(_build_route(use, self._rng.sample(choices, count), timeout_ms))
        pools = [
            {
                "name": n,
                "health_path": "/healthz",
                "max_conns": 240,
                "protocol": "h1",
                "tls": False,
            }
            for n in self._services
        ]
        document = {"version": version, "routes": routes, "pools": pools, "limits": LIMITS}
        state = State(version, document)
        self.all.append(state)
        return state

    def find_possible(self, begin: float, end: float) -> list[State]:
        """Return the states that may be in force at a machine in touch between the moments."""
        acknowledged = [s for s in self.all if s.acknowledged_at <= begin - CONFIG_APPLY_S]
        floor = max((s.version for s in acknowledged), default=0)
        return [s for s in self.all if s.version >= floor and s.sent_at <= end]

    def find_sent(self, end: float) -> list[State]:
        return [s for s in self.all if s.sent_at <= end]


def _build_route(use: RouteUse, services: list[str], timeout_ms: int) -> dict:
    route = {
        "name": use.name,
        "host": HOST,
        "path_prefix": use.prefix,
        "type": use.kind,
        "timeout_ms": timeout_ms,
        "objective_latency_ms": 400,
        "priority": 1,
        "max_attempts": 2,
    }
    if len(services) == 1:
        return route | {"pool": services[0]}
    return route | {"split": [{"pool": s, "weight": 50} for s in services]}


class Operator:
    """Sends desired states, each until it is acknowledged, and reads them back.

    Parameters
    ----------
    number : int
        Tells this operator from others that change the same states; all but the first also
        deliver earlier states again.

    Attributes
    ----------
    violations : list of tuple
        Moments and texts of reads that gave an older state than an acknowledged one.
    """

    def __init__(self, site: Site, states: States, seed: int, number: int = 0) -> None:
        self._site = site
        self._states = states
        self._rng = random.Random(f"{seed}-operator{number or ''}")
        self._repeats = number > 0
        self._is_stopped = False
        self._task: asyncio.Task | None = None
        self.violations: list[tuple[float, str]] = []
        self.acknowledged = asyncio.Event()

    def start(self, period_s: float) -> None:
        self._task = asyncio.create_task(self._run(period_s))

    async def stop(self) -> None:
        self._is_stopped = True
        await self._task

    async def put_next(self, give_up_s: float = 15.0) -> bool:
        state = self._states.build_next()
        state.sent_at = time.time()
        while time.time() < state.sent_at + give_up_s:
            instance = self._rng.choice(self._site.control)
            with contextlib.suppress(OSError):
                status, body = await call(
                    self._site.admin(instance), "PUT", "/v1/tables", state.document
                )
                if status == 200:
                    state.acknowledged_at = time.time()
                    self.acknowledged.set()
                    self.acknowledged.clear()
                    self._site.note(f"state {state.version} acknowledged by {instance.name}")
                    return True
                if status in (400, 409, 412, 413, 422):
                    text = f"state {state.version} refused with {status}: {body[:200]!r}"
                    self.violations.append((time.time(), text))
                    return False
            await asyncio.sleep(0.2)
        self._site.note(f"state {state.version} not acknowledged")
        return False

    async def _repeat(self) -> None:
        """Deliver an earlier state once more, which changes nothing."""
        state = self._rng.choice(self._states.all)
        instance = self._rng.choice(self._site.control)
        with contextlib.suppress(OSError):
            await call(self._site.admin(instance), "PUT", "/v1/tables", state.document)

    async def read(self) -> int | None:
        """Return the version that some control instance reads; None if it gives none."""
        instance = self._rng.choice(self._site.control)
        floor = [
            s.version
            for s in self._states.all
            if s.acknowledged_at <= time.time() - CONFIG_APPLY_S
        ]
        try:
            status, body = await call(self._site.admin(instance), "GET", "/v1/tables")
        except OSError:
            return None
        if status != 200:
            return None
        document = json.loads(body)
        sent = next((s for s in self._states.all if s.version == document["version"]), None)
        if floor and document["version"] < max(floor):
            text = f"{instance.name} reads version {document['version']}, not {max(floor)}"
            self.violations.append((time.time(), text))
        elif sent is None or len(sent.document["routes"]) != len(document["routes"]):
            text = f"{instance.name} reads other content for {document['version']}"
            self.violations.append((time.time(), text))
        return document["version"]

    async def _run(self, period_s: float) -> None:
        while not self._is_stopped:
            await self.put_next()
            await self.read()
            if self._repeats and self._rng.random() < REPEAT_SHARE:
                await self._repeat()
            await asyncio.sleep(self._rng.uniform(0.2, 1.8) * period_s)
