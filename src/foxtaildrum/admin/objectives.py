"""Service levels: counts good and bad requests of each route over sliding windows."""

from __future__ import annotations

from array import array
from typing import Any

from ..records import Route

WINDOWS_S = {"5m": 300, "1h": 3600, "6h": 21600, "3d": 259200}
FAST_BURN_RATE = 14.4
SLOW_BURN_RATE = 1.0

_FINE_BUCKET_S = 10
_FINE_BUCKET_COUNT = 360
_COARSE_BUCKET_S = 300
_COARSE_BUCKET_COUNT = 864
_LONGEST_FINE_WINDOW_S = _FINE_BUCKET_S * _FINE_BUCKET_COUNT


class _RingBuffer:
    """Ring buffer of request counts, one bucket per time interval."""

    __slots__ = ("bad", "bucket_count", "bucket_s", "last_bucket", "total")

    def __init__(self, bucket_s: int, bucket_count: int) -> None:
        self.bucket_s = bucket_s
        self.bucket_count = bucket_count
        self.total = array("L", bytes(8 * bucket_count))
        self.bad = array("L", bytes(8 * bucket_count))
        self.last_bucket = -1

    def add(self, now: float, bad: bool) -> None:
        position = self._advance(now) % self.bucket_count
        self.total[position] += 1
        self.bad[position] += bad

    def sum(self, now: float, window_s: int) -> tuple[int, int]:
        last = self._advance(now)
        count = window_s // self.bucket_s
        positions = [
            (last - i) % self.bucket_count for i in range(min(count, self.bucket_count))
        ]
        return sum(self.total[p] for p in positions), sum(self.bad[p] for p in positions)

    def list_recent(self, now: float, count: int) -> list[tuple[int, int]]:
        last = self._advance(now)
        positions = [(last - i) % self.bucket_count for i in reversed(range(count))]
        return [(self.total[p], self.bad[p]) for p in positions]

    def _advance(self, now: float) -> int:
        bucket = int(now // self.bucket_s)
        if self.last_bucket < 0:
            self.last_bucket = bucket
        for new_bucket in range(
            max(self.last_bucket + 1, bucket - self.bucket_count + 1), bucket + 1
        ):
            self.total[new_bucket % self.bucket_count] = 0
            self.bad[new_bucket % self.bucket_count] = 0
        self.last_bucket = max(self.last_bucket, bucket)
        return self.last_bucket


class RouteServiceLevel:
    """Service level of one route, as counts over a fine and a coarse ring buffer."""

    __slots__ = ("_coarse", "_fine", "route")

    def __init__(self, route: Route) -> None:
        self.route = route
        self._fine = _RingBuffer(_FINE_BUCKET_S, _FINE_BUCKET_COUNT)
        self._coarse = _RingBuffer(_COARSE_BUCKET_S, _COARSE_BUCKET_COUNT)

    def add(self, now: float, failed: bool, latency_s: float) -> None:
        """Count a request; it is bad if it failed or exceeded the latency objective."""
        bad = failed or latency_s * 1000 > self.route.objective_latency_ms
        self._fine.add(now, bad)
        self._coarse.add(now, bad)

    def describe(self, now: float) -> dict[str, Any]:
        """Return the objective, the counts of each window and the recent counts."""
        windows = {}
        for name, window_s in WINDOWS_S.items():
            ring = self._fine if window_s <= _LONGEST_FINE_WINDOW_S else self._coarse
            total, bad = ring.sum(now, window_s)
            windows[name] = {"total": total, "bad": bad}
        return {
            "route": self.route.name,
            "objective_latency_ms": self.route.objective_latency_ms,
            "objective_ratio": self.route.objective_ratio,
            "windows": windows,
            "recent": self._fine.list_recent(now, _FINE_BUCKET_COUNT),
        }


def merge_service_levels(documents: list[dict[str, Any]]) -> dict[str, Any]:
    """Sum the service-level documents of several instances for one route."""
    merged = {**documents[0]}
    merged["windows"] = {
        name: {
            "total": sum(d["windows"][name]["total"] for d in documents),
            "bad": sum(d["windows"][name]["bad"] for d in documents),
        }
        for name in WINDOWS_S
    }
    merged["recent"] = [
        [sum(pair[0] for pair in pairs), sum(pair[1] for pair in pairs)]
        for pairs in zip(*(d["recent"] for d in documents), strict=True)
    ]
    return merged


def compute_burn_rates(level: dict[str, Any]) -> dict[str, Any]:
    """Return the burn rates, the remaining error budget and the alert of one route.

    At a burn rate of 1, the error budget is used up exactly at the end of the objective's
    period.
    """
    allowed_bad_ratio = 1.0 - level["objective_ratio"]
    rates = {
        name: (counts["bad"] / counts["total"] / allowed_bad_ratio if counts["total"] else 0.0)
        for name, counts in level["windows"].items()
    }
    longest_window = level["windows"]["3d"]
    budget = longest_window["total"] * allowed_bad_ratio
    budget_left = 1.0 - longest_window["bad"] / budget if budget else 1.0
    return {"rates": rates, "budget_left_ratio": budget_left, "alert": decide_alert(rates)}


def decide_alert(rates: dict[str, float]) -> str:
    """Return ``page``, ``ticket`` or ``none``.

    An alert requires that the burn rates of both of its windows reach its threshold.
    """
    if rates["5m"] >= FAST_BURN_RATE and rates["1h"] >= FAST_BURN_RATE:
        return "page"
    if rates["6h"] >= SLOW_BURN_RATE and rates["3d"] >= SLOW_BURN_RATE:
        return "ticket"
    return "none"
