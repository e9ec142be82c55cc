"""Which upstreams get a status check: subsets, rounds and the shared budget."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from foxtaildrum.balancing.candidates import UpstreamLoad
from foxtaildrum.balancing.sampling import (
    CALM_PACE,
    MIN_SUBSET_SIZE,
    SUBSET_ROUNDS,
    RequestRate,
    SampleBudget,
    Subset,
    is_calm,
    shows_progress,
)

NOW = 100.0


def build_upstreams(count: int, zones: int = 5) -> list[UpstreamLoad]:
    """Return upstreams of which every ``zones``-th is in the instance's own zone."""
    upstreams = []
    for number in range(count):
        upstream = UpstreamLoad(f"u{number}")
        upstream.slots = 4
        upstream.remote = number % zones != 0
        upstreams.append(upstream)
    return upstreams


def choose_subset(instance_id: str, upstreams: list[UpstreamLoad], size: int) -> set[str]:
    subset = Subset(instance_id)
    subset.resize(size)
    subset.update(upstreams)
    return {u.upstream_id for u in subset.select(upstreams)}


def test_a_small_pool_is_used_whole():
    upstreams = build_upstreams(MIN_SUBSET_SIZE)
    assert len(choose_subset("e1", upstreams, 1)) == MIN_SUBSET_SIZE


@pytest.mark.parametrize("size", [8, 20, 60, 500])
def test_a_subset_has_its_size_and_prefers_the_own_zone(size):
    upstreams = build_upstreams(195)
    members = choose_subset("e1", upstreams, size)
    assert len(members) == min(size, 195)
    local = {u.upstream_id for u in upstreams if not u.remote}
    assert len(members & local) >= min(len(local), int(size * 0.75))
    assert members - local


def test_every_upstream_is_in_the_subsets_of_enough_instances():
    upstreams = build_upstreams(60, zones=1)
    counts = Counter()
    for number in range(120):
        counts.update(choose_subset(f"e{number}", upstreams, 12))
    assert set(counts) == {u.upstream_id for u in upstreams}
    assert min(counts.values()) >= 10
    assert max(counts.values()) <= 45


def test_a_subset_changes_little_when_upstreams_come_and_go():
    upstreams = build_upstreams(100)
    before = choose_subset("e1", upstreams, 20)
    gone = upstreams[10].upstream_id
    remaining = [u for u in upstreams if u.upstream_id != gone]
    joined = UpstreamLoad("joined")
    after = choose_subset("e1", [*remaining, joined], 20)
    assert len(before - {gone} - after) <= 1


def test_a_larger_subset_includes_the_smaller_one():
    upstreams = build_upstreams(100, zones=1)
    assert choose_subset("e1", upstreams, 10) <= choose_subset("e1", upstreams, 30)


def choose(budget: SampleBudget, upstreams: list[UpstreamLoad], now: float, round_number: int):
    rng = random.Random(1)
    return budget.choose(now, upstreams, len(upstreams), 0.0, rng, round_number)


def test_the_first_rounds_stay_in_the_subset_and_the_last_one_leaves_it():
    upstreams = build_upstreams(100)
    budget = SampleBudget("e1")
    budget.configure(1000.0, 3)
    budget.subset.update(upstreams)
    members = {u.upstream_id for u in budget.subset.select(upstreams)}
    last = set()
    for number in range(50):
        now = NOW + number * 10.0
        for round_number in range(SUBSET_ROUNDS):
            chosen = choose(budget, upstreams, now, round_number)
            assert {u.upstream_id for u in chosen} <= members
        last |= {u.upstream_id for u in choose(budget, upstreams, now, SUBSET_ROUNDS)}
    assert last - members


def test_a_busy_instance_uses_the_whole_pool():
    upstreams = build_upstreams(13)
    budget = SampleBudget("e1")
    budget.configure(1000.0, 3)
    budget.subset.update(upstreams)
    for number in range(200):
        choose(budget, upstreams, NOW + number * 0.15, 0)
    assert len(budget.subset.select(upstreams)) == 13


def test_later_rounds_check_others_than_those_with_a_fresh_report():
    upstreams = build_upstreams(20)
    budget = SampleBudget("e1")
    budget.configure(1000.0, 3)
    budget.subset.update(upstreams)
    choose(budget, upstreams, NOW - 10, 0)
    first = choose(budget, upstreams, NOW, 0)
    for upstream in first:
        upstream.reported_at = NOW
    second = choose(budget, upstreams, NOW + 0.005, 1)
    assert len(second) == 3
    assert not {u.upstream_id for u in first} & {u.upstream_id for u in second}


def test_the_budget_limits_the_checks_of_all_rounds():
    upstreams = build_upstreams(20)
    budget = SampleBudget("e1")
    budget.configure(0.01, 3)
    budget.subset.update(upstreams)
    counts = [len(choose(budget, upstreams, NOW + n / 1000, n % 3)) for n in range(30)]
    assert sum(counts) <= 3


def build_reported(now: float, others: float, pace: float) -> UpstreamLoad:
    upstream = UpstreamLoad("u")
    upstream.slots = 4
    upstream.reported_at = now
    upstream.reported_others = others
    upstream.pace = pace
    return upstream


@pytest.mark.parametrize(
    ("others", "pace", "age_s", "calm"),
    [
        (0.0, 1.0, 0.0, True),
        (3.0, CALM_PACE, 0.0, True),
        (4.0, 1.0, 0.0, False),
        (0.0, 5.0, 0.0, False),
        (0.0, 1.0, 1.0, False),
    ],
)
def test_an_upstream_is_calm_by_a_fresh_report_of_a_free_slot(others, pace, age_s, calm):
    assert is_calm(NOW + age_s, build_reported(NOW, others, pace)) is calm


def test_an_upstream_that_just_failed_is_not_calm():
    upstream = build_reported(NOW, 0.0, 1.0)
    upstream.failure_level = 2.0
    upstream.failed_at = NOW
    assert not is_calm(NOW, upstream)


@pytest.mark.parametrize(
    ("others", "pace", "progress"), [(3.0, 1.0, True), (4.0, 1.0, False), (0.0, 5.0, False)]
)
def test_a_request_progresses_where_nothing_waits_at_the_normal_pace(others, pace, progress):
    upstream = build_reported(NOW, others, pace)
    upstream.in_flight = 1
    assert shows_progress(NOW, upstream) is progress


def test_the_rate_of_requests_decays_when_they_stop():
    rate = RequestRate()
    for number in range(1000):
        rate.record(NOW + number * 0.1)
    assert 9.0 < rate.compute(NOW + 100.0) < 11.0
    assert rate.compute(NOW + 200.0) < 0.01
