"""Token budgets for retries, hedges and probes."""

from __future__ import annotations


class Budget:
    """Spends at most a fixed share of what is earned.

    Parameters
    ----------
    ratio : float
        Tokens earned for each unit of useful work.
    capacity : float
        Most tokens held at once.
    tokens : float
        Tokens held at the start.
    """

    __slots__ = ("_tokens", "capacity", "ratio")

    def __init__(self, ratio: float, capacity: float, tokens: float = 0.0) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self._tokens = tokens

    def earn(self, amount: float) -> None:
        """Credit the share of ``amount`` units of useful work."""
        self._tokens = min(self.capacity, self._tokens + amount * self.ratio)

    def resize(self, capacity: float) -> None:
        """Change the most tokens held at once; what is held grows by the difference."""
        if capacity != self.capacity:
            self._tokens = max(0.0, min(capacity, self._tokens + capacity - self.capacity))
            self.capacity = capacity

    def spend(self, cost: float) -> bool:
        """Take ``cost`` tokens if they are there; return whether they were."""
        if self.ratio <= 0 or self._tokens < cost:
            return False
        self._tokens -= cost
        return True
