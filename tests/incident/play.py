"""Plays one incident: a site, upstreams, callers, an operator and faults; then judges it."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import time
from collections import Counter
from pathlib import Path

from .answers import ANSWER_FAULTS
from .callers import Callers
from .faults import FAULTS
from .manners import run_manners
from .releases import Releases
from .rules import Evidence, Violation, count_refusals, judge
from .site import READY_TIMEOUT_S, Site
from .states import Operator, States
from .upstreams import Service

CALM_S = 4.5
SETTLE_S = 3.5


class Options:
    """What a run does; every fault is off unless it is asked for."""

    def __init__(self, **options: object) -> None:
        self.duration_s = 30.0
        self.entries = 6
        self.per_entry = 5
        self.copies = 0.0
        self.cuts = 0.0
        self.cut_names = [n for n in ANSWER_FAULTS if not n.startswith("copy")]
        self.early = 0.0
        self.releases = 0.0
        self.linger = False
        self.states = 0.0
        self.operators = 1
        self.unusual_per_entry = 0
        self.faults: list[str] = []
        self.overlaps = True
        self.after_acknowledgement = False
        self.kill_delays_s = [0.0, 0.0, 0.1, 0.4]
        self.fractional = False
        self.echoes = "always"
        self.is_built = False
        for option, value in options.items():
            setattr(self, option, value)


class Result:
    """What one run has shown."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.violations: list[Violation] = []
        self.statuses: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.manners: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.requests = 0
        self.in_touch = 0
        self.late_arrivals: Counter[str] = Counter()
        self.max_lag_s = 0.0
        self.trouble = ""

    def count(self) -> Counter[str]:
        return Counter(v.rule for v in self.violations)

    def count_kinds(self) -> Counter[str]:
        return Counter(f"{v.rule} {v.kind}" for v in self.violations)

    def format(self, site: Site, limit: int = 8) -> str:
        lines = [
            f"seed {self.seed}: {self.requests} requests, {self.in_touch} in touch, "
            f"harness late by up to {self.max_lag_s:.2f} s {self.trouble}",
            f"  statuses: {dict(sorted(self.statuses.items()))}",
            f"  3xx and 4xx: {dict(sorted(self.refusals.items()))}",
            f"  manners: {dict(sorted(self.manners.items()))}",
            f"  faults: {dict(sorted(self.faults.items()))}",
            f"  after a leave + 2 s: {dict(self.late_arrivals)}",
            f"  violations: {dict(self.count()) or 'none'}, {dict(self.count_kinds())}",
        ]
        shown: Counter[str] = Counter()
        for violation in sorted(self.violations, key=lambda v: v.moment):
            shown[violation.rule] += 1
            if shown[violation.rule] <= limit:
                lines.append(violation.format(site))
        return "\n".join(lines)


class Play:
    """One run on a site of its own."""

    def __init__(self, folder: Path, seed: int, options: Options) -> None:
        self.options = options
        self.seed = seed
        self.result = Result(seed)
        self.site = Site(folder, entries=options.entries, is_built=options.is_built)
        self._rng = random.Random(f"{seed}-faults")
        services = build_services(options)
        self.states = States({s.name: s.kind for s in services}, seed)
        self.operators = [
            Operator(self.site, self.states, seed, n) for n in range(options.operators)
        ]
        self.operator = self.operators[0]
        self.releases = Releases(self.site, services, seed, options.linger)
        self.callers = Callers(
            self.site, self.states, seed, options.per_entry, options.fractional
        )

    async def run(self) -> Result:
        lag = asyncio.create_task(self._measure_lag())
        try:
            if await self._start():
                await self._play()
                self._judge()
            else:
                self.result.trouble = "THE SITE DID NOT START"
        finally:
            lag.cancel()
            await self.releases.close()
            self.site.close()
        return self.result

    async def _start(self) -> bool:
        for instance in self.site.instances.values():
            self.site.start(instance, bootstrap=True)
        if not await self._wait_ready() or not await self.operator.put_next(READY_TIMEOUT_S):
            return False
        await self.releases.start_all()
        await asyncio.sleep(SETTLE_S)
        return True

    async def _play(self) -> None:
        options = self.options
        self.callers.start()
        if options.unusual_per_entry:
            run = functools.partial(run_manners, self.callers)
            self.callers.spawn(run, options.unusual_per_entry, "unusual-")
        if options.releases:
            self.releases.run(options.releases)
        if options.states:
            for operator in self.operators:
                operator.start(options.states)
        ends_at = time.time() + options.duration_s
        while options.faults and time.time() < ends_at - CALM_S:
            await self._inject()
            pause_s = self._rng.uniform(1.0, 2.0) * CALM_S
            await asyncio.sleep(max(0.0, min(pause_s, ends_at - time.time())))
        await asyncio.sleep(max(0.0, ends_at - time.time()))
        self.releases.stop()
        if options.states:
            await asyncio.gather(*(operator.stop() for operator in self.operators))
        await asyncio.sleep(CALM_S)
        await self.callers.stop()
        if not await self._wait_ready():
            self.result.trouble += "NOT READY AT THE END "
        if await self.operator.read() is None and await self.operator.read() is None:
            self.result.trouble += "NO STATE READ AT THE END "
        if ended := self.site.find_ended():
            self.result.trouble += f"ENDED BY THEMSELVES {ended} "

    async def _inject(self) -> None:
        """Inject one to three faults that overlap; some right after an acknowledgement."""
        names = self._rng.choices(self.options.faults, k=self._rng.choice([1, 1, 2, 3]))
        names = names if self.options.overlaps else names[:1]
        if self.options.after_acknowledgement:
            await self._wait_for_acknowledgement()
        tasks = []
        for name in names:
            self.result.faults[name] += 1
            self.site.note(f"FAULT {name}")
            tasks.append(asyncio.create_task(FAULTS[name](self.site, self._rng)))
            await asyncio.sleep(self._rng.choice([0.0, 0.3, 1.0]))
        await asyncio.gather(*tasks)
        await asyncio.gather(*self.site.tasks)
        self.site.tasks.clear()

    async def _wait_for_acknowledgement(self) -> None:
        waits = [self.releases.leave_together] if self.options.releases else []
        waits += [self.operator.acknowledged.wait] if self.options.states else []
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._rng.choice(waits)(), 4.0)
        await asyncio.sleep(self._rng.choice(self.options.kill_delays_s))

    async def _wait_ready(self) -> bool:
        deadline = time.time() + READY_TIMEOUT_S
        while time.time() < deadline:
            ready = [await self.site.is_ready(i) for i in self.site.instances.values()]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    async def _measure_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            lag_s = time.monotonic() - before - 0.02
            if self.callers.records:
                self.result.max_lag_s = max(self.result.max_lag_s, lag_s)

    def _judge(self) -> None:
        evidence = Evidence(
            self.site, self.callers, self.operators, self.states, self.releases.all
        )
        result = self.result
        result.violations = judge(evidence)
        result.statuses = self.callers.count()
        result.refusals = count_refusals(evidence)
        result.manners = self.callers.manners
        result.requests = len(evidence.records)
        result.in_touch = sum(evidence.is_in_touch(r) for r in evidence.records)
        for upstream in self.releases.all:
            result.faults.update(upstream.faults_done)
            for arrival in upstream.arrivals:
                if arrival.at > upstream.left_at + 2.0:
                    kind = "421" if arrival.answered == 421 else "reached"
                    result.late_arrivals[kind] += 1


def build_services(options: Options) -> list[Service]:
    """Return five services that differ in what their upstreams say and do."""
    copies = {n: options.copies for n in ANSWER_FAULTS if n.startswith("copy")}
    cuts = dict.fromkeys(options.cut_names, options.cuts)
    common = {
        "faults": {n: share for n, share in (copies | cuts).items() if share},
        "echoes": options.echoes,
        "early_share": options.early,
    }
    return [
        Service("lookup", "safe", **common),
        Service("order", "unsafe", idle_s=2.0, **common),
        Service("quiet", "unsafe", tells_load=False, slots=3, queue=1, **common),
        Service("full", "safe", tells_load=False, resets_when_full=True, **common),
        Service("files", "download", count=2, idle_s=1.0, **common),
    ]
