"""Evacuated availability zones: the orders of operators and the state that they lead to.

The orders are entries of the replicated log, so every instance applies them in one order.
"""

from __future__ import annotations

from typing import Any

NUMBERS_FIELD = 3  # of the state on the wire: the last order on each zone


class EvacuationOrder:
    """Order of an operator to evacuate an availability zone, or to use it again.

    Parameters
    ----------
    zone : str
        Availability zone.
    evacuated : bool
        Whether nothing more is to be sent to the upstreams in the zone.
    at : float
        Unix time of the order, in seconds.
    """

    __slots__ = ("at", "evacuated", "zone")

    def __init__(self, zone: str, evacuated: bool, at: float) -> None:
        self.zone = zone
        self.evacuated = evacuated
        self.at = at

    def to_wire(self) -> dict[str, Any]:
        """Return the order as the payload of an entry of the log.

        It is a mapping, as builds that don't know this kind of entry look for the field
        ``group_id`` in its payload.
        """
        return {"zone": self.zone, "evacuated": self.evacuated, "at": self.at}

    @classmethod
    def from_wire(cls, payload: dict[str, Any]) -> EvacuationOrder:
        """Build an order from the payload made by :meth:`to_wire`."""
        return cls(payload["zone"], payload["evacuated"], payload["at"])


class Evacuations:
    """Zones that are evacuated; a part of the replicated state.

    Deterministic: equal sequences of orders give equal states on every replica.

    Attributes
    ----------
    order_count : int
        Number of orders applied, including those that changed nothing. An order names the
        count that was known before it was given, so that it can't undo a later order.
    zones : dict
        Unix time since which each evacuated zone is evacuated, in seconds. Replaced by each
        order that changes it.
    """

    __slots__ = ("_last_numbers", "_unrecorded_count", "order_count", "zones")

    def __init__(self) -> None:
        self.order_count = 0
        self.zones: dict[str, float] = {}
        # Number of the last order on each zone, and of those from before these were recorded.
        self._last_numbers: dict[str, int] = {}
        self._unrecorded_count = 0

    def may_follow(self, order: EvacuationOrder, known_orders: int) -> bool:
        """Return whether an order may be applied now without undoing a later one.

        Parameters
        ----------
        known_orders : int
            Number of orders that were certainly given before this one.
        """
        if order.evacuated == (order.zone in self.zones):
            return True
        return self._last_numbers.get(order.zone, self._unrecorded_count) <= known_orders

    def apply(self, order: EvacuationOrder) -> int:
        """Apply an order; return the number of orders including it."""
        self.order_count += 1
        self._last_numbers[order.zone] = self.order_count
        if order.evacuated != (order.zone in self.zones):
            zones = {zone: at for zone, at in self.zones.items() if zone != order.zone}
            if order.evacuated:
                zones[order.zone] = order.at
            self.zones = zones
        return self.order_count

    def to_wire(self) -> list[Any]:
        """Return the state as a list that msgpack can encode.

        Builds that don't record the last order on each zone read the first two fields only.
        """
        numbers = sorted(map(list, self._last_numbers.items()))
        zones = sorted(map(list, self.zones.items()))
        return [self.order_count, zones, self._unrecorded_count, numbers]

    @classmethod
    def from_wire(cls, fields: list[Any]) -> Evacuations:
        """Build the state from the list made by :meth:`to_wire`.

        In that of an earlier build, the last order may have been on any zone.
        """
        evacuations = cls()
        evacuations.order_count = evacuations._unrecorded_count = fields[0]
        evacuations.zones = {zone: at for zone, at in fields[1]}
        if len(fields) > NUMBERS_FIELD:
            evacuations._unrecorded_count = fields[NUMBERS_FIELD - 1]
            evacuations._last_numbers = {zone: number for zone, number in fields[NUMBERS_FIELD]}
        return evacuations
