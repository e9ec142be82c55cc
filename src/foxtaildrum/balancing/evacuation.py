"""Gradual withdrawal of one instance from the upstreams in evacuated availability zones.

Each instance stops using each upstream of such a zone at a time of its own, so that the load
moves to the other zones over some seconds and not in one moment.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..fleet.upstreams import READY
from ..ranks import RANK_BYTES, compute_rank
from .candidates import UpstreamLoad

# The withdrawal is spread over this share of the time in which an evacuation takes effect. The
# rest is for the propagation of the order and for requests that wait for a connection.
WITHDRAWAL_SHARE = 0.4
NEVER = float("inf")
RANK_RANGE = 256**RANK_BYTES


class ZoneEvacuation:
    """Withdrawal of this instance from one zone.

    Parameters
    ----------
    zone : str
        Availability zone.
    since : float
        Unix time of the order, in seconds.
    starts_at : float
        Time at which the withdrawal starts, in seconds.
    ends_at : float
        Time from which no upstream of the zone is used, in seconds.

    Attributes
    ----------
    is_reported : bool
        Whether the end of the withdrawal was reported.
    """

    __slots__ = ("ends_at", "is_reported", "since", "starts_at", "zone")

    def __init__(self, zone: str, since: float, starts_at: float, ends_at: float) -> None:
        self.zone = zone
        self.since = since
        self.starts_at = starts_at
        self.ends_at = ends_at
        self.is_reported = False


class EvacuationPlan:
    """Evacuated zones as one instance applies them.

    The thread of the node updates it, and request threads read it.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    evacuation_s : float
        Time in which an evacuation takes effect at every instance, in seconds.

    Attributes
    ----------
    zones : dict
        Withdrawal by zone; empty if no zone is evacuated. Replaced by each change.
    """

    __slots__ = ("_instance_id", "_orders", "_spread_s", "zones")

    def __init__(self, instance_id: str = "", evacuation_s: float = 0.0) -> None:
        self._instance_id = instance_id
        self._spread_s = WITHDRAWAL_SHARE * evacuation_s
        self._orders: Mapping[str, float] = {}
        self.zones: dict[str, ZoneEvacuation] = {}

    def has_news(self, orders: Mapping[str, float]) -> bool:
        """Return whether the orders in force differ from those that are applied."""
        return orders != self._orders

    def update(
        self, now: float, orders: Mapping[str, float], at_once: bool
    ) -> tuple[list[ZoneEvacuation], list[ZoneEvacuation]]:
        """Apply the orders in force; return the evacuations that begin and those that end.

        Parameters
        ----------
        orders : Mapping
            Unix time of the order for each evacuated zone, in seconds.
        at_once : bool
            Whether the upstreams are left at once, as by an instance that has just started.
        """
        self._orders = orders
        ends_at = now if at_once else now + self._spread_s
        zones = {
            zone: self.zones.get(zone) or ZoneEvacuation(zone, since, now, ends_at)
            for zone, since in orders.items()
        }
        begun = [e for zone, e in zones.items() if zone not in self.zones]
        for evacuation in zones.values():
            evacuation.since = orders[evacuation.zone]
        ended = [e for zone, e in self.zones.items() if zone not in zones]
        self.zones = zones
        return begun, ended

    def pop_applied(self, now: float) -> list[ZoneEvacuation]:
        """Return the withdrawals that are complete and were not returned before."""
        applied = [e for e in self.zones.values() if e.ends_at <= now and not e.is_reported]
        for evacuation in applied:
            evacuation.is_reported = True
        return applied

    def mark(self, upstream: UpstreamLoad, zone: str) -> bool:
        """Set the time from which an upstream is left out.

        Returns
        -------
        bool
            Whether the upstream was left out for its zone and is used again from now on.
        """
        was_marked = upstream.evacuated_at != NEVER
        upstream.evacuated_at = self._find_withdrawal(zone, upstream.upstream_id)
        return was_marked and upstream.evacuated_at == NEVER

    def select_usable(
        self, now: float, upstreams: Iterable[UpstreamLoad]
    ) -> list[UpstreamLoad]:
        """Return the upstreams that are not left out."""
        return [u for u in upstreams if now < u.evacuated_at]

    def covers(self, now: float, upstreams: Iterable[UpstreamLoad]) -> bool:
        """Return whether there are upstreams in state ready and all of them are left out."""
        if not self.zones:
            return False
        ready = [u for u in upstreams if u.state == READY]
        return bool(ready) and not self.select_usable(now, ready)

    def _find_withdrawal(self, zone: str, upstream_id: str) -> float:
        evacuation = self.zones.get(zone)
        if evacuation is None:
            return NEVER
        spread_s = evacuation.ends_at - evacuation.starts_at
        number = int.from_bytes(compute_rank(self._instance_id, upstream_id))
        return evacuation.starts_at + spread_s * (number / RANK_RANGE)
