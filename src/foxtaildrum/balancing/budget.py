"""Token budgets for retries, hedges and probes."""

from __future__ import annotations


class Budget:
    """Token bucket that limits extra work to a fixed ratio of the useful work.

    Parameters
    ----------
    ratio : float
        Tokens earned for each unit of useful work.
    capacity : float
        Most tokens that the budget holds.
    tokens : float
        Initial tokens.
    """

    __slots__ = ("_tokens", "capacity", "ratio")

    def __init__(self, ratio: float, capacity: float, tokens: float = 0.0) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self._tokens = tokens

    @property
    def tokens(self) -> float:
        """Tokens available now."""
        return self._tokens

    def earn(self, amount: float) -> None:
        """Add the tokens for ``amount`` units of useful work."""
        self._tokens = min(self.capacity, self._tokens + amount * self.ratio)

    def resize(self, capacity: float) -> None:
        """Change the capacity, and the available tokens by the same difference."""
        if capacity != self.capacity:
            self._tokens = max(0.0, min(capacity, self._tokens + capacity - self.capacity))
            self.capacity = capacity

    def give_back(self, amount: float) -> None:
        """Return tokens that were spent on work that was not done."""
        self._tokens = min(self.capacity, self._tokens + amount)

    def spend(self, cost: float) -> bool:
        """Spend ``cost`` tokens if available; return whether they were."""
        if self.ratio <= 0 or self._tokens < cost:
            return False
        self._tokens -= cost
        return True
