"""Faults that a soak injects into the site; each function registers itself by decorator."""

from __future__ import annotations

import random
from collections.abc import Callable

from .site import SoakSite

Undo = Callable[[], None]
Fault = Callable[[SoakSite, random.Random], Undo | None]

FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Register the decorated function as a fault.

    The function injects the fault and returns a callable that ends it, or None when the fault
    can't be injected at present.
    """

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def _pick_healthy(site: SoakSite, rng: random.Random, names: list[str]) -> str:
    healthy = [n for n in names if n not in site.faulty]
    return rng.choice(healthy) if healthy else ""


def _make_restart(site: SoakSite, names: list[str]) -> Undo:
    def undo() -> None:
        for name in names:
            site.start(name)
            site.faulty.discard(name)

    return undo


def _kill(site: SoakSite, names: list[str]) -> Undo | None:
    if not names or site.faulty.intersection(names):
        return None
    site.faulty.update(names)
    for name in names:
        site.instances[name].kill()
    return _make_restart(site, names)


@register_fault("kill an entry instance")
def kill_entry(site: SoakSite, rng: random.Random) -> Undo | None:
    name = _pick_healthy(site, rng, site.entry_names)
    return _kill(site, [name]) if name else None


@register_fault("kill a control instance")
def kill_control(site: SoakSite, rng: random.Random) -> Undo | None:
    name = _pick_healthy(site, rng, site.control_names)
    return _kill(site, [name]) if name else None


@register_fault("kill the control group")
def kill_group(site: SoakSite, rng: random.Random) -> Undo | None:
    return _kill(site, list(site.control_names))


@register_fault("kill every instance")
def kill_all(site: SoakSite, rng: random.Random) -> Undo | None:
    return _kill(site, list(site.instances))


@register_fault("lose a disk")
def lose_disk(site: SoakSite, rng: random.Random) -> Undo | None:
    # The control group tolerates one lost disk (tolerated_losses), so every other control
    # instance must run and a disk that was lost before must have been replaced.
    if site.faulty.intersection(site.control_names) or not site.is_control_group_complete():
        return None
    name = rng.choice(site.control_names)
    undo = _kill(site, [name])
    site.delete_data(name)
    return undo


@register_fault("stop an entry instance")
def stop_entry(site: SoakSite, rng: random.Random) -> Undo | None:
    name = _pick_healthy(site, rng, site.entry_names)
    if not name:
        return None
    site.faulty.add(name)
    site.instances[name].popen.terminate()

    def undo() -> None:
        site.instances[name].stop()
        _make_restart(site, [name])()

    return undo


@register_fault("pause an instance")
def pause(site: SoakSite, rng: random.Random) -> Undo | None:
    name = _pick_healthy(site, rng, list(site.instances))
    if not name:
        return None
    site.faulty.add(name)
    process = site.instances[name]
    process.pause()

    def undo() -> None:
        process.resume()
        site.faulty.discard(name)

    return undo


def _impair_link(site: SoakSite, rng: random.Random, **impairment: object) -> Undo:
    proxy = site.proxies[rng.choice(sorted(site.proxies))]
    for name, value in impairment.items():
        setattr(proxy, name, value)
    return proxy.restore


@register_fault("delay a link")
def delay_link(site: SoakSite, rng: random.Random) -> Undo:
    return _impair_link(site, rng, delay_s=rng.uniform(0.05, 0.5))


@register_fault("silence a link")
def silence_link(site: SoakSite, rng: random.Random) -> Undo:
    return _impair_link(site, rng, dropped_direction="both")


@register_fault("lose the answers of a link")
def lose_answers(site: SoakSite, rng: random.Random) -> Undo:
    return _impair_link(site, rng, dropped_direction="down")


@register_fault("refuse connections of a link")
def refuse_link(site: SoakSite, rng: random.Random) -> Undo:
    return _impair_link(site, rng, refuses_connections=True)


@register_fault("reset a link")
def reset_link(site: SoakSite, rng: random.Random) -> Undo:
    proxy = site.proxies[rng.choice(sorted(site.proxies))]
    proxy.reset_all()
    return proxy.restore


@register_fault("shed at an upstream")
def shed(site: SoakSite, rng: random.Random) -> Undo:
    return _change_behaviour(site, rng, shed=True)


@register_fault("slow an upstream")
def slow(site: SoakSite, rng: random.Random) -> Undo:
    return _change_behaviour(site, rng, forced_factor=40.0)


@register_fault("fail at an upstream")
def fail(site: SoakSite, rng: random.Random) -> Undo:
    return _change_behaviour(site, rng, fail_status=500)


def _change_behaviour(site: SoakSite, rng: random.Random, **behaviour: object) -> Undo:
    process = site.upstreams[rng.choice(sorted(site.upstreams))]
    upstream_id = rng.choice(sorted(process.ports))
    process.set_behaviour(upstream_id, **behaviour)
    normal = {"shed": False, "forced_factor": 1.0, "fail_status": 0}
    return lambda: process.set_behaviour(upstream_id, **{n: normal[n] for n in behaviour})
