"""Registry of balancing policies, and the policies of the package."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from .candidates import PoolLoad, UpstreamLoad

Policy = Callable[[float, Sequence[UpstreamLoad], PoolLoad, random.Random], UpstreamLoad | None]

REPORT_DECAY_SERVICE_TIMES = 3.0
FAILURE_DECAY_S = 2.0
PACE_DECAY_S = 0.1
SMOOTHED_PACE_DECAY_S = 4.0
MIN_PACE_LIMIT = 3.0
PACE_LIMIT_RATIO = 1.5
REMOTE_ZONE_COST_SLOTS = 0.1
REMOTE_COST_SLOTS_PER_BYTE = 1e-4
MAX_LOAD_RATIO = 2.0
FRESH_LOAD_RATIO = 1.15
FRESH_REPORT_S = 0.02
TIE_MARGIN_SLOTS = 0.05
HOT_COLD_SAMPLE = 16
HOT_QUANTILE = 0.75

_POLICIES: dict[str, Policy] = {}


def register_policy(name: str) -> Callable[[Policy], Policy]:
    """Register the decorated function as the policy ``name``."""

    def register(function: Policy) -> Policy:
        _POLICIES[name] = function
        return function

    return register


def get_policy(name: str) -> Policy:
    """Return the policy registered as ``name``."""
    return _POLICIES[name]


def list_policies() -> list[str]:
    """Return the names of all registered policies in alphabetical order."""
    return sorted(_POLICIES)


@register_policy("random")
def choose_random(
    now: float, candidates: Sequence[UpstreamLoad], pool: PoolLoad, rng: random.Random
) -> UpstreamLoad:
    """Choose a candidate at random."""
    return candidates[int(rng.random() * len(candidates))]


@register_policy("round_robin")
def choose_round_robin(
    now: float, candidates: Sequence[UpstreamLoad], pool: PoolLoad, rng: random.Random
) -> UpstreamLoad:
    """Choose the candidate whose last grant is the longest ago."""
    return min(candidates, key=_get_last_grant)


@register_policy("two_choices")
def choose_two_choices(
    now: float, candidates: Sequence[UpstreamLoad], pool: PoolLoad, rng: random.Random
) -> UpstreamLoad:
    """Choose of two random candidates the one with fewer requests of this instance."""
    first = choose_random(now, candidates, pool, rng)
    second = choose_random(now, candidates, pool, rng)
    return second if second.in_flight < first.in_flight else first


@register_policy("least_in_flight")
def choose_least_in_flight(
    now: float, candidates: Sequence[UpstreamLoad], pool: PoolLoad, rng: random.Random
) -> UpstreamLoad:
    """Choose the candidate with the fewest requests of this instance in flight.

    With a single instance this count is the exact load.
    """
    return _choose_lowest(candidates, [float(c.in_flight) for c in candidates], rng)


@register_policy("reported_load")
def choose_reported_load(
    now: float, candidates: Sequence[UpstreamLoad], pool: PoolLoad, rng: random.Random
) -> UpstreamLoad:
    """Choose of two random candidates the one with the lower reported load.

    The age of the reports is ignored.
    """
    first = choose_random(now, candidates, pool, rng)
    second = choose_random(now, candidates, pool, rng)
    return second if _sum_reported_load(second) < _sum_reported_load(first) else first


@register_policy("aged_load")
def choose_aged_load(
    now: float, candidates: Sequence[UpstreamLoad], pool: PoolLoad, rng: random.Random
) -> UpstreamLoad | None:
    """Choose the candidate with the lowest estimated load; reports decay with their age.

    Returns None when every candidate has reached its load limit or is far slower than
    normal. The load limit allows at most as many requests to wait in an upstream as run in
    it. The request then waits in the instance, which can still send it to any upstream or
    refuse it.
    """
    decay_s = REPORT_DECAY_SERVICE_TIMES * pool.mean_service_s
    mean_others = pool.estimate_mean_others(now)
    limit = _choose_load_limit(now, candidates)
    pace_limit = max(MIN_PACE_LIMIT, PACE_LIMIT_RATIO * pool.mean_pace)
    acceptable = []
    scores = []
    for candidate in candidates:
        weight = math.exp((candidate.reported_at - now) / decay_s)
        others = mean_others + (candidate.reported_others - mean_others) * weight
        score = others + candidate.in_flight
        if score >= candidate.slots * limit:
            continue
        pace = _estimate_pace(now, candidate, pool)
        if pace > pace_limit:
            continue
        acceptable.append(candidate)
        score = (score + candidate.slots) * pace - candidate.slots
        score += estimate_failure_cost(now, candidate)
        if candidate.ramp_until > now:
            score = (score + 1.0) / candidate.compute_ramp(now)
        if candidate.remote:
            score += REMOTE_ZONE_COST_SLOTS + REMOTE_COST_SLOTS_PER_BYTE * pool.response_bytes
        scores.append(score)
    if not acceptable:
        return None
    return _choose_lowest(acceptable, scores, rng)


@register_policy("hot_cold")
def choose_hot_cold(
    now: float, candidates: Sequence[UpstreamLoad], pool: PoolLoad, rng: random.Random
) -> UpstreamLoad:
    """Choose the fastest candidate of a random sample that is not hot.

    A candidate is hot when its load is at or above ``HOT_QUANTILE`` of the sample's load.
    If all are hot, the least loaded one is chosen.
    """
    count = min(len(candidates), HOT_COLD_SAMPLE)
    sample = rng.sample(list(candidates), count)
    loads = [_sum_reported_load(c) for c in sample]
    limit = sorted(loads)[int(HOT_QUANTILE * (count - 1))]
    cold = [c for c, load in zip(sample, loads, strict=True) if load < limit]
    if not cold:
        return _choose_lowest(sample, loads, rng)
    return _choose_lowest(cold, [c.service_s for c in cold], rng)


def _sum_reported_load(candidate: UpstreamLoad) -> float:
    return candidate.reported_others + candidate.in_flight


def _get_last_grant(candidate: UpstreamLoad) -> int:
    return candidate.last_grant


def _choose_load_limit(now: float, candidates: Sequence[UpstreamLoad]) -> float:
    # Fresh reports show whether the whole pool is full or only some upstreams are busy.
    # In a full pool a request would only queue in an upstream, so a lower limit applies:
    # the request is refused early enough for its caller to retry in time.
    fresh = any(now - c.reported_at <= FRESH_REPORT_S for c in candidates)
    return FRESH_LOAD_RATIO if fresh else MAX_LOAD_RATIO


def _estimate_pace(now: float, candidate: UpstreamLoad, pool: PoolLoad) -> float:
    # The pace of an upstream changes many times a second, so the last report decays fast
    # towards the upstream's smoothed pace, which decays more slowly towards the pool's mean.
    # The baseline is at least the pool's mean, so that an upstream with a few fast but old
    # reports does not rank above one with a fresh report.
    age_s = now - candidate.reported_at
    baseline = max(candidate.smoothed_pace, pool.mean_pace)
    baseline = _decay(baseline, pool.mean_pace, age_s / SMOOTHED_PACE_DECAY_S)
    return _decay(candidate.pace, baseline, age_s / PACE_DECAY_S)


def _decay(value: float, target: float, time_constants: float) -> float:
    return target + (value - target) * math.exp(-time_constants)


def estimate_failure_cost(now: float, candidate: UpstreamLoad) -> float:
    """Return the cost of recent failures, in slots.

    A failed request frees its slot at once. Without this cost, an upstream that fails fast
    would look idle and attract every request.
    """
    if not candidate.failure_level:
        return 0.0
    return candidate.failure_level * math.exp((candidate.failed_at - now) / FAILURE_DECAY_S)


def _choose_lowest(
    candidates: Sequence[UpstreamLoad], scores: list[float], rng: random.Random
) -> UpstreamLoad:
    lowest = min(scores)
    # Differences within the margin are residue of decayed reports, so treat them as ties.
    limit = lowest + TIE_MARGIN_SLOTS
    ties = [c for c, score in zip(candidates, scores, strict=True) if score <= limit]
    if len(ties) == 1:
        return ties[0]
    return ties[int(rng.random() * len(ties))]
