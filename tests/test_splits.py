"""Routes that are split over several pools by weight."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.balancing.splits import PoolChooser, SplitChooser
from foxtaildrum.records import Route, Share


def build_route(weights: dict[str, float]) -> Route:
    return Route(name="r", split=[Share(pool=p, weight=w) for p, w in weights.items()])


@given(
    st.dictionaries(st.sampled_from("abcd"), st.integers(0, 50), min_size=1).filter(
        lambda w: sum(w.values()) > 0
    ),
    st.integers(1, 300),
)
def test_any_sequence_of_requests_is_close_to_the_weights(weights, count):
    chooser = SplitChooser(build_route(weights))
    seen = Counter(chooser.choose() for _ in range(count))
    for pool, weight in weights.items():
        exact = count * weight / sum(weights.values())
        assert abs(seen[pool] - exact) <= len(weights)


def test_a_pool_with_weight_0_gets_no_requests():
    chooser = SplitChooser(build_route({"a": 1, "b": 0}))
    assert {chooser.choose() for _ in range(50)} == {"a"}


def test_an_unchanged_split_keeps_its_state_when_other_rows_change():
    route = build_route({"a": 1, "b": 1})
    first = PoolChooser([route])
    chosen = [first.choose(route)]
    second = PoolChooser([build_route({"a": 1, "b": 1}), Route(name="s", pool="a")], first)
    chosen.append(second.choose(route))
    assert sorted(chosen) == ["a", "b"]


@pytest.mark.parametrize("name", ["p", "q"])
def test_a_route_without_a_split_goes_to_its_pool(name):
    route = Route(name="r", pool=name)
    assert PoolChooser([route]).choose(route) == name
