"""Which other instance a request is forwarded to, without I/O.

An instance forwards a request whose pool it cannot reach. Another instance declines it if it
cannot reach the pool either; it is then left out for a while. Once several decline in turn,
the pool itself is down, and requests are refused at once for a short time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from .backoff import compute_pause

DECLINE_BASE_S = 0.25
DECLINE_MAX_S = 8.0
# Instances that must decline in turn before a pool counts as down.
DECLINES_OF_DOWN_POOL = 8
DOWN_PERIOD_S = 0.5
CHOICES = 2


class Peer:
    """Another instance that takes forwarded requests.

    Attributes
    ----------
    address : str
        ``HOST:PORT`` that takes forwarded requests.
    in_flight : int
        Requests that this instance has forwarded to it and that have no response yet.
    """

    __slots__ = ("_declined_until", "_declines", "address", "in_flight", "instance_id")

    def __init__(self, instance_id: str, address: str) -> None:
        self.instance_id = instance_id
        self.address = address
        self.in_flight = 0
        self._declines: dict[str, int] = {}
        self._declined_until: dict[str, float] = {}

    def takes(self, now: float, pool: str) -> bool:
        """Return whether requests of a pool may be forwarded to the instance now."""
        return now >= self._declined_until.get(pool, -math.inf)

    def record_declined(self, now: float, pool: str) -> None:
        """Leave the instance out for a time that doubles with each decline in a row."""
        count = self._declines.get(pool, 0)
        self._declines[pool] = count + 1
        pause_s = compute_pause(count, DECLINE_BASE_S, DECLINE_MAX_S)
        self._declined_until[pool] = now + pause_s

    def record_served(self, pool: str) -> None:
        """Forget the declines."""
        self._declines.pop(pool, None)
        self._declined_until.pop(pool, None)


class PeerChoice:
    """Chooses the instances that requests are forwarded to.

    Not thread-safe: the code that calls it holds a lock.

    Parameters
    ----------
    rng : random.Random
        Source of random choices.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._declines_in_turn: dict[str, int] = {}
        self._down_until: dict[str, float] = {}

    def update(self, addresses: dict[str, str]) -> None:
        """Apply the addresses of the other instances, by identifier."""
        for gone in self._peers.keys() - addresses.keys():
            del self._peers[gone]
        for instance_id, address in addresses.items():
            known = self._peers.get(instance_id)
            if known is None or known.address != address:
                self._peers[instance_id] = Peer(instance_id, address)

    def list_peers(self) -> list[Peer]:
        """Return all other instances."""
        return list(self._peers.values())

    def choose(self, now: float, pool: str, excluded: Iterable[str]) -> Peer | None:
        """Return the less loaded of two random instances; None if none takes the request."""
        if now < self._down_until.get(pool, -math.inf):
            return None
        usable = [
            p
            for p in self._peers.values()
            if p.instance_id not in excluded and p.takes(now, pool)
        ]
        if not usable:
            return None
        drawn = self._rng.sample(usable, min(CHOICES, len(usable)))
        chosen = min(drawn, key=_get_in_flight)
        chosen.in_flight += 1
        return chosen

    def release(self, peer: Peer) -> None:
        """Record that a forwarded request has ended."""
        peer.in_flight -= 1

    def record_declined(self, now: float, peer: Peer, pool: str) -> None:
        """Record that an instance did not take a request, or could not be reached."""
        peer.record_declined(now, pool)
        count = self._declines_in_turn.get(pool, 0) + 1
        if count >= min(DECLINES_OF_DOWN_POOL, len(self._peers)):
            self._down_until[pool] = now + DOWN_PERIOD_S
            count = 0
        self._declines_in_turn[pool] = count

    def record_served(self, peer: Peer, pool: str) -> None:
        """Record that an instance took a request."""
        peer.record_served(pool)
        self._declines_in_turn.pop(pool, None)
        self._down_until.pop(pool, None)


def _get_in_flight(peer: Peer) -> int:
    return peer.in_flight
