"""Faults of the site; each registers itself by decorator and undoes itself when it ends."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from .site import GRACE_S, Instance, Site

# Time in which a group with replaced members is whole again, so that it bears the next loss.
SETTLE_AFTER_LOSS_S = 6.0

Fault = Callable[[Site, random.Random], Awaitable[None]]

FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Register the decorated coroutine, which returns once the fault has ended."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def _pick(rng: random.Random, instances: list[Instance], count: int) -> list[Instance]:
    running = [i for i in instances if i.is_running]
    return rng.sample(running, min(count, len(running)))


async def kill_for(site: Site, instances: list[Instance], down_s: float) -> None:
    site.kill(instances)
    await asyncio.sleep(down_s)
    for instance in instances:
        site.start(instance)


@register_fault("kill some entry instances")
async def kill_entries(site: Site, rng: random.Random) -> None:
    await kill_for(site, _pick(rng, site.entries, rng.randint(1, 3)), rng.uniform(0.3, 2.0))


@register_fault("kill a control instance")
async def kill_control(site: Site, rng: random.Random) -> None:
    await kill_for(site, _pick(rng, site.control, 1), rng.uniform(0.3, 2.0))


@register_fault("kill two control instances, long")
async def kill_two_long(site: Site, rng: random.Random) -> None:
    await kill_for(site, _pick(rng, site.control, 2), rng.uniform(6.0, 9.0))


@register_fault("kill the control group")
async def kill_group(site: Site, rng: random.Random) -> None:
    await kill_for(site, _pick(rng, site.control, len(site.control)), rng.uniform(0.2, 0.9))


@register_fault("kill every instance")
async def kill_all(site: Site, rng: random.Random) -> None:
    instances = _pick(rng, list(site.instances.values()), len(site.instances))
    await kill_for(site, instances, rng.uniform(0.2, 0.9))


@register_fault("kill every instance, the control group back first")
async def kill_all_control_first(site: Site, rng: random.Random) -> None:
    control = _pick(rng, site.control, len(site.control))
    entries = _pick(rng, site.entries, len(site.entries))
    site.kill([*control, *entries])
    await asyncio.sleep(rng.uniform(0.2, 0.9))
    for instance in control:
        site.start(instance)
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    for instance in entries:
        site.start(instance)


@register_fault("stop an entry instance")
async def stop_entry(site: Site, rng: random.Random) -> None:
    await _stop(site, _pick(rng, site.entries, 1))


@register_fault("stop a control instance")
async def stop_control(site: Site, rng: random.Random) -> None:
    await _stop(site, _pick(rng, site.control, 1))


async def _stop(site: Site, instances: list[Instance]) -> None:
    for instance in instances:
        site.terminate(instance)
        for _ in range(int(GRACE_S / 0.05)):
            if instance.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        site.kill([instance])
        await asyncio.sleep(0.3)
        site.start(instance)


@register_fault("freeze an entry instance")
async def freeze_entry(site: Site, rng: random.Random) -> None:
    await _freeze(site, _pick(rng, site.entries, 1), rng.uniform(0.5, 5.0))


@register_fault("freeze control instances")
async def freeze_control(site: Site, rng: random.Random) -> None:
    await _freeze(site, _pick(rng, site.control, rng.randint(1, 2)), rng.uniform(0.5, 5.0))


@register_fault("freeze control instances, long")
async def freeze_control_long(site: Site, rng: random.Random) -> None:
    await _freeze(site, _pick(rng, site.control, rng.randint(1, 2)), rng.uniform(6.0, 9.0))


async def _freeze(site: Site, instances: list[Instance], frozen_s: float) -> None:
    for instance in instances:
        site.freeze(instance)
    await asyncio.sleep(frozen_s)
    for instance in instances:
        site.thaw(instance)


@register_fault("restart entry instances one by one")
async def restart_entries(site: Site, rng: random.Random) -> None:
    for instance in _pick(rng, site.entries, 3):
        await kill_for(site, [instance], 0.3)
        await asyncio.sleep(rng.uniform(0.1, 0.5))


@register_fault("restart control instances one by one")
async def restart_control(site: Site, rng: random.Random) -> None:
    for instance in _pick(rng, site.control, 3):
        await kill_for(site, [instance], 0.3)
        await asyncio.sleep(rng.uniform(0.5, 1.5))


@register_fault("kill a control instance, and then the one that takes a leave")
async def kill_acknowledger(site: Site, rng: random.Random) -> None:
    first = _pick(rng, site.control, 1)
    site.kill(first)
    await _kill_next_acknowledger(site, rng)
    for instance in first:
        site.start(instance)


@register_fault("kill a majority of the control instances")
async def kill_majority(site: Site, rng: random.Random) -> None:
    await kill_for(site, _pick(rng, site.control, 3), rng.uniform(2.0, 8.0))


@register_fault("freeze the control group")
async def freeze_group(site: Site, rng: random.Random) -> None:
    await _freeze(site, _pick(rng, site.control, len(site.control)), rng.uniform(2.0, 8.0))


@register_fault("freeze half of the entry instances, long")
async def freeze_half_of_entries(site: Site, rng: random.Random) -> None:
    await _freeze(site, _pick(rng, site.entries, len(site.entries) // 2), rng.uniform(3.0, 9.0))


@register_fault("exchange the seeds")
async def exchange_seeds(site: Site, rng: random.Random) -> None:
    """Name other control instances, one of which may be down; restart one entry instance."""
    down = _pick(rng, site.control, rng.randint(0, 1))
    site.kill(down)
    seeds = rng.sample(site.control, rng.randint(1, 3))
    site.replace_seeds(seeds, tells=rng.random() < 0.7)
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await kill_for(site, _pick(rng, site.entries, 1), rng.uniform(0.1, 0.5))
    await asyncio.sleep(rng.uniform(0.0, 3.0))
    for instance in down:
        site.start(instance)


def _lose_power(site: Site, rng: random.Random) -> tuple[list[Instance], list[Instance]]:
    """Kill all instances and empty two disks; return those control instances and the others."""
    instances = _pick(rng, list(site.instances.values()), len(site.instances))
    site.kill(instances)
    wiped = rng.sample(site.control, 2)
    for instance in wiped:
        site.wipe(instance)
    return wiped, [i for i in site.control if i not in wiped]


async def _start_groups(
    site: Site, rng: random.Random, groups: list[list[Instance]], pause_s: float
) -> None:
    """Start groups of instances one after the other, and wait until the last has settled."""
    await asyncio.sleep(rng.uniform(0.1, 0.9))
    for number, group in enumerate(groups):
        if number:
            await asyncio.sleep(pause_s)
        for instance in rng.sample(group, len(group)):
            site.start(instance)
            await asyncio.sleep(rng.choice([0.0, 0.0, 0.05]))
    await asyncio.sleep(SETTLE_AFTER_LOSS_S)


@register_fault("lose all power and two disks, all back at once")
async def lose_disks(site: Site, rng: random.Random) -> None:
    wiped, kept = _lose_power(site, rng)
    await _start_groups(site, rng, [[*wiped, *kept, *site.entries]], 0.0)


@register_fault("lose all power and two disks, the empty ones back first")
async def lose_disks_empty_first(site: Site, rng: random.Random) -> None:
    wiped, kept = _lose_power(site, rng)
    await _start_groups(site, rng, [wiped, site.entries, kept], rng.uniform(0.3, 2.0))


@register_fault("lose all power and two disks, the empty ones alone with the entry instances")
async def lose_disks_empty_alone(site: Site, rng: random.Random) -> None:
    wiped, kept = _lose_power(site, rng)
    await _start_groups(site, rng, [[*wiped, *site.entries], kept], rng.uniform(4.0, 7.0))


@register_fault("lose all power and two disks, the entry instances back first")
async def lose_disks_entries_first(site: Site, rng: random.Random) -> None:
    wiped, kept = _lose_power(site, rng)
    groups = [site.entries, *rng.sample([wiped, kept], 2)]
    await _start_groups(site, rng, groups, rng.uniform(0.3, 3.0))


@register_fault("lose all power and two disks, one that kept its disk back last")
async def lose_disks_one_last(site: Site, rng: random.Random) -> None:
    wiped, kept = _lose_power(site, rng)
    groups = [[*wiped, *kept[1:], *site.entries], kept[:1]]
    await _start_groups(site, rng, groups, rng.uniform(1.0, 6.0))


@register_fault("kill the control instance that takes a leave")
async def kill_only_acknowledger(site: Site, rng: random.Random) -> None:
    await _kill_next_acknowledger(site, rng)


@register_fault("freeze a control instance, and then kill the one that takes a leave")
async def freeze_and_kill_acknowledger(site: Site, rng: random.Random) -> None:
    first = _pick(rng, site.control, 1)
    for instance in first:
        site.freeze(instance)
    await _kill_next_acknowledger(site, rng)
    for instance in first:
        site.thaw(instance)


async def _kill_next_acknowledger(site: Site, rng: random.Random) -> None:
    """Kill it until it is taken for dead (8 s) and its leases have ended (6 s), and longer."""
    site.acknowledger = ""
    for _ in range(60):
        if site.acknowledger:
            break
        await asyncio.sleep(0.1)
    second = [i for i in site.control if i.name == site.acknowledger and i.is_running]
    site.kill(second)
    await asyncio.sleep(rng.uniform(16.0, 18.0))

    async def start_later() -> None:
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        for instance in second:
            site.start(instance)

    site.tasks.append(asyncio.create_task(start_later()))
