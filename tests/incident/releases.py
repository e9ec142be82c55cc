"""Upstreams that come, leave, crash and take over addresses while callers use them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import uuid

from .site import HEARTBEAT_S, Site
from .upstreams import Service, Upstream

REUSE_AFTER_S = 2.0
CRASH_SHARE = 0.15
SAME_ID_SHARE = 0.15
LEAVE_GAP_S = 0.1
# How long an upstream serves on at most after its leave; the pages say many seconds.
LONGEST_S = 24.0


class Releases:
    """The upstreams of all services.

    Parameters
    ----------
    linger : bool
        Whether upstreams that leave serve on as long as any.

    Attributes
    ----------
    all : list of Upstream
        Every boot, also those that have ended.
    """

    def __init__(
        self, site: Site, services: list[Service], seed: int, linger: bool = False
    ) -> None:
        self._linger = linger
        self._site = site
        self._services = services
        self._rng = random.Random(f"{seed}-releases")
        self._free: list[tuple[float, tuple[str, int]]] = []
        self._addresses = 0
        self._is_stopped = False
        self._tasks: set[asyncio.Task] = set()
        self.all: list[Upstream] = []
        self.live: list[Upstream] = []
        self.left = asyncio.Event()

    async def start_all(self) -> None:
        for service in self._services:
            for _ in range(service.count):
                await self._begin(service)

    def run(self, period_s: float) -> None:
        self._spawn(self._run(period_s))

    def stop(self) -> None:
        """Begin no further releases; those that are under way go on."""
        self._is_stopped = True

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for upstream in list(self.live):
            await self._end(upstream)

    async def leave_together(self, count: int = 3) -> None:
        """Let upstreams of different services leave; return at the last acknowledgement."""
        chosen = {u.service.name: u for u in self._rng.sample(self.live, len(self.live))}
        for number, upstream in enumerate(list(chosen.values())[:count]):
            await asyncio.sleep(LEAVE_GAP_S if number else 0.0)
            self._spawn(self.release(upstream, must_linger=True))
            await self.left.wait()

    async def release(self, upstream: Upstream, must_linger: bool = False) -> None:
        """Replace an upstream: it leaves, serves on for a while, and exits."""
        rng = self._rng
        self.live.remove(upstream)
        if rng.random() < CRASH_SHARE and not must_linger:
            await self._end(upstream, is_live=False)
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            same = rng.random() < SAME_ID_SHARE
            await self._begin(upstream.service, upstream.upstream_id if same else "")
            return
        is_same = rng.random() < SAME_ID_SHARE and not must_linger
        if not is_same:
            await self._begin(upstream.service)
        late = upstream.build_heartbeat("ready")
        method = rng.choice(["PUT", "DELETE"])
        name = await upstream.leave(method)
        self.left.set()
        self.left.clear()
        if name and rng.random() < 0.5:
            self._spawn(self._send_late(upstream, late))
        await asyncio.sleep(LONGEST_S if must_linger else rng.choice([2.2, 3, 5, 9, LONGEST_S]))
        if method == "PUT":
            await upstream.leave("DELETE")
        await self._end(upstream, is_live=False)
        if is_same:
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            await self._begin(upstream.service, upstream.upstream_id)

    async def _send_late(self, upstream: Upstream, document: dict) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, 4.0))
        name = await upstream.tell("PUT", document, tries=1)
        self._site.note(f"{upstream.upstream_id} late heartbeat taken by {name or 'none'}")

    async def _begin(self, service: Service, upstream_id: str = "") -> None:
        upstream_id = upstream_id or f"i-{uuid.uuid4().hex[:8]}"
        rng = random.Random(f"{self._rng.random()}")
        upstream = Upstream(self._site, service, upstream_id, self._pick_address(), rng)
        await upstream.start()
        self.all.append(upstream)
        self.live.append(upstream)

    async def _end(self, upstream: Upstream, is_live: bool = True) -> None:
        if is_live:
            self.live.remove(upstream)
        await upstream.end()
        self._free.append((time.time(), upstream.address))

    def _pick_address(self) -> tuple[str, int]:
        old = [f for f in self._free if f[0] < time.time() - REUSE_AFTER_S]
        if old:
            self._free.remove(old[0])
            return old[0][1]
        self._addresses += 1
        return self._site.ip(
            100 + self._addresses // 250, self._addresses % 250 + 1
        ), self._site.upstream_port

    async def _run(self, period_s: float) -> None:
        await asyncio.sleep(HEARTBEAT_S)
        while not self._is_stopped:
            if self.live:
                self._spawn(self.release(self._rng.choice(self.live), self._linger))
            await asyncio.sleep(self._rng.uniform(0.2, 1.8) * period_s)

    def _spawn(self, coroutine) -> None:
        async def guarded() -> None:
            with contextlib.suppress(asyncio.CancelledError):
                await coroutine

        task = asyncio.create_task(guarded())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
