"""Checks of the links to the pools, from a dedicated thread."""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable, Iterable

from ..admin.metrics import Meter
from ..clock import read_clock
from ..isolation import run_isolated
from ..logs import log_event
from ..requests.opens import OpenAttempts, Opener
from .links import LinkStates, Verdict, judge_pool

CHECK_TIMEOUT_S = 0.4
# An upstream that works accepts a connection about as fast as another instance does.
MIN_UPSTREAM_TIME_S = 0.1
MAX_PEER_TIMES = 4.0


PoolFilter = Callable[[Iterable[str]], list[str]]


class CheckTargets:
    """Addresses to check.

    Parameters
    ----------
    upstreams : dict
        Addresses of some upstreams, by pool; none for a pool without upstreams.
    peers : list of str
        Addresses of some other instances.
    """

    __slots__ = ("peers", "upstreams")

    def __init__(self, upstreams: dict[str, list[str]], peers: list[str]) -> None:
        self.upstreams = upstreams
        self.peers = peers

    def list_addresses(self) -> list[str]:
        """Return every address once."""
        addresses = dict.fromkeys(self.peers)
        for upstreams in self.upstreams.values():
            addresses |= dict.fromkeys(upstreams)
        return list(addresses)

    def list_pools(self, address: str) -> set[str]:
        """Return the pools that have an upstream at ``address``."""
        return {name for name, found in self.upstreams.items() if address in found}


class LinkMonitor:
    """Knows which pools this instance cannot reach; safe to share between threads.

    Parameters
    ----------
    choose_targets : callable
        Returns the addresses to check; is given a function that selects the pools.
    handle_restored : callable
        Called with the time and the names of the pools that can be reached again.
    meter : Meter
        Counts checks and unexpected errors.

    Attributes
    ----------
    open_all : Opener
        Opens connections to the addresses.
    """

    def __init__(
        self,
        choose_targets: Callable[[PoolFilter], CheckTargets],
        handle_restored: Callable[[float, frozenset[str]], None],
        meter: Meter,
    ) -> None:
        self._choose_targets = choose_targets
        self._handle_restored = handle_restored
        self._meter = meter
        self.open_all: Opener = OpenAttempts
        self._states = LinkStates(random.Random())
        self._checked = threading.Condition()
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="links", daemon=True)

    def start(self) -> None:
        """Start checking in a separate thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop checking; the thread ends after the check that it is making."""
        self._stopped = True
        self._wake.set()

    @property
    def unreachable(self) -> frozenset[str]:
        """Names of the pools that cannot be reached."""
        return self._states.unreachable

    def is_unreachable(self, pool: str) -> bool:
        """Return whether a pool cannot be reached."""
        return pool in self._states.unreachable

    def suspect(self, now: float, pool: str) -> bool:
        """Note a sign that the links of a pool are lost; return whether it is being checked."""
        with self._checked:
            is_due = self._states.suspect(now, pool)
        if is_due:
            self._wake.set()
        return is_due

    def confirm_unreachable(self, now: float, pool: str) -> bool:
        """Check the links after a sign that they are lost; return whether a pool is."""
        if self.suspect(now, pool):
            with self._checked:
                self._checked.wait_for(
                    lambda: not self._states.is_pending(pool), CHECK_TIMEOUT_S
                )
        return self.is_unreachable(pool)

    def _run(self) -> None:
        while not self._stopped:
            wait_s = self._states.compute_wait_s(read_clock())
            if wait_s is None or wait_s > 0:
                self._wake.wait(wait_s)
                self._wake.clear()
                continue
            run_isolated("links", self._meter, self._check)

    def _check(self) -> None:
        before = self.unreachable
        try:
            verdicts = self._open_connections(self._choose_targets(self._select_due))
        except Exception:
            with self._checked:
                self._states.abandon_check(read_clock())
                self._checked.notify_all()
            raise
        now = read_clock()
        with self._checked:
            restored = self._states.record_check(now, verdicts)
            self._checked.notify_all()
        self._meter.count("links.checks")
        lost = self.unreachable - before
        if lost:
            log_event("links_lost", level=logging.WARNING, pools=",".join(sorted(lost)))
        if restored:
            log_event("links_restored", pools=",".join(sorted(restored)))
            self._handle_restored(now, restored)

    def _select_due(self, pools: Iterable[str]) -> list[str]:
        with self._checked:
            return self._states.select_due(pools)

    def _open_connections(self, targets: CheckTargets) -> dict[str, Verdict]:
        attempts = self.open_all(targets.list_addresses())
        started = read_clock()
        opened = dict.fromkeys(targets.upstreams, 0)
        needed = {
            name: self._states.count_needed(name, len(addresses))
            for name, addresses in targets.upstreams.items()
            if addresses
        }
        peer_time_s: float | None = None
        try:
            while attempts.has_pending and any(opened[n] < needed[n] for n in needed):
                elapsed_s = read_clock() - started
                left_s = _compute_timeout_s(peer_time_s) - elapsed_s
                if left_s <= 0:
                    break
                for address, accepted in attempts.wait(left_s):
                    if address in targets.peers and peer_time_s is None:
                        peer_time_s = read_clock() - started
                    for name in targets.list_pools(address) if accepted else ():
                        opened[name] += 1
        finally:
            attempts.close()
        return {
            name: judge_pool(opened[name], needed[name], peer_time_s is not None)
            if name in needed
            else Verdict.UNKNOWN
            for name in targets.upstreams
        }


def _compute_timeout_s(peer_time_s: float | None) -> float:
    """Return how long to wait for upstreams, given the time that another instance took."""
    if peer_time_s is None:
        return CHECK_TIMEOUT_S
    return min(CHECK_TIMEOUT_S, max(MIN_UPSTREAM_TIME_S, MAX_PEER_TIMES * peer_time_s))
