"""Bound on the requests of an organisation over all instances, and how it is divided.

Beyond the rate and the burst, the bound allows an excess in each window. It is divided: part
of it covers permits that were issued and may still be used, part lets the bucket of the issuer
hold more than the burst, so that permits that wait unused at instances refuse nobody, part is
in the buckets of a new issuer, and the rest is used by instances that get no reply.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..records import Organisation, Settings

# Shares of the excess; together they are at most 1, so that the bound holds.
ISSUED_RATIO = 0.5
RESERVE_RATIO = 0.1
INITIAL_RATIO = 0.2
UNANSWERED_RATIO = 0.2
# Limits on the time for which a permit is valid.
MIN_VALID_S = 0.25
MAX_VALID_S = 2.0


class OrganisationLimit:
    """Rate limit of one organisation over all instances.

    Parameters
    ----------
    rate_per_s : float
        Requests per second.
    burst : float
        Requests beyond the rate that may be served at once.
    """

    __slots__ = ("burst", "rate_per_s")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst

    def __eq__(self, other: object) -> bool:
        """Return whether both limits are the same."""
        if not isinstance(other, OrganisationLimit):
            return NotImplemented
        return (self.rate_per_s, self.burst) == (other.rate_per_s, other.burst)

    __hash__ = None


class QuotaBounds:
    """Bound that holds in any window, for every organisation with a limit.

    Parameters
    ----------
    window_s : float
        Length of the window, in seconds.
    overshoot : float
        Ratio by which the limit may be exceeded in a window.
    slack : float
        Requests by which the limit may be exceeded in a window in addition.
    """

    __slots__ = ("overshoot", "slack", "window_s")

    def __init__(self, window_s: float, overshoot: float, slack: float) -> None:
        self.window_s = window_s
        self.overshoot = overshoot
        self.slack = slack

    @classmethod
    def from_settings(cls, settings: Settings) -> QuotaBounds:
        """Return the bound that the settings state."""
        return cls(settings.quota_window_s, settings.quota_overshoot, settings.quota_slack)

    def compute_excess(self, limit: OrganisationLimit) -> float:
        """Return the requests by which a limit may be exceeded in a window."""
        allowed = limit.rate_per_s * self.window_s + limit.burst
        return self.overshoot * allowed + self.slack

    def compute_valid_s(self, limit: OrganisationLimit) -> float:
        """Return how long a permit is valid, in seconds.

        At the full rate, the permits issued within that time are their share of the excess.
        They end within a window, so that a lowered limit is binding after one.
        """
        valid_s = ISSUED_RATIO * self.compute_excess(limit) / limit.rate_per_s
        return max(MIN_VALID_S, min(MAX_VALID_S, self.window_s, valid_s))

    def compute_capacity(self, limit: OrganisationLimit) -> float:
        """Return the permits that a full bucket holds, at least one."""
        return max(1.0, limit.burst + RESERVE_RATIO * self.compute_excess(limit))

    def compute_initial(self, limit: OrganisationLimit) -> float:
        """Return the permits in the bucket of a new issuer that follows a long term.

        With an empty bucket, an organisation within its limit would be refused until tokens
        for its burst have accrued.
        """
        return INITIAL_RATIO * self.compute_excess(limit)

    def compute_ceiling(self, limit: OrganisationLimit) -> float:
        """Return the most permits in the bucket and in valid permits together.

        A bound that is so narrow that it does not cover the shortest validity is exceeded by
        the permits of that time: otherwise the organisation could not use its rate.
        """
        ceiling = self.compute_capacity(limit) + ISSUED_RATIO * self.compute_excess(limit)
        return max(ceiling, 1.0 + limit.rate_per_s * MIN_VALID_S)

    def divide_unanswered(self, limit: OrganisationLimit, instances: int) -> tuple[int, int]:
        """Divide what instances without replies may use in a window.

        Each chosen instance gets a whole number of requests. With more instances than requests,
        only some are chosen.

        Parameters
        ----------
        instances : int
            Number of entry instances.

        Returns
        -------
        int
            Number of instances to choose.
        int
            Requests of each chosen instance in a window.
        """
        total = UNANSWERED_RATIO * self.compute_excess(limit)
        uses = max(1, int(total / max(1, instances)))
        return min(instances, int(total / uses)), uses


class OrganisationLimits:
    """Limits of organisations by name, as the issuer finds them.

    The table of organisations fills it; an organisation that is not in it has no limit.
    """

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: dict[str, OrganisationLimit] = {}

    def replace(self, organisations: Iterable[Organisation]) -> None:
        """Replace the limits by those of the rows of the table."""
        self._limits = {
            o.name: OrganisationLimit(o.rate_per_s, o.burst)
            for o in organisations
            if o.rate_per_s > 0
        }

    def find(self, name: str) -> OrganisationLimit | None:
        """Return the limit of an organisation; None if it has none."""
        return self._limits.get(name)

    def list_names(self) -> list[str]:
        """Return the names of the organisations that have a limit."""
        return list(self._limits)
