"""Tables: validation and changes based on a version."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.control.tables import Change, Tables, check_table
from foxtaildrum.exceptions import InvalidTableError

POOLS = [{"name": "lookup"}, {"name": "dispatch"}]


def list_fields(table, rows) -> list[str]:
    with pytest.raises(InvalidTableError) as caught:
        check_table(table, rows)
    return [problem.field for problem in caught.value.exceptions]


def apply(tables: Tables, table: str, rows, if_version: int, change_id: str):
    change = Change(table, rows, if_version, change_id, True)
    return tables.apply_patch(tables.build_patch(change))


def test_every_problem_is_listed_with_its_row_and_field():
    rows = [
        {"name": "lookup", "policy": "magic"},
        {"name": "lookup", "slots_per_upstream": 0},
        {"name": "ok", "unknown": 1},
        {"nome": "x"},
    ]
    fields = list_fields("pools", rows)
    assert "pools[0].policy" in fields
    assert "pools[1].name" in fields
    assert "pools[1].slots_per_upstream" in fields
    assert "pools[2]" in fields
    assert "pools[3]" in fields


@pytest.mark.parametrize("rows", [None, {}, "text", 3, [None], [[]], [{"name": 3}]])
def test_a_table_of_a_wrong_type_is_refused(rows):
    assert list_fields("routes", rows)


def test_two_routes_that_match_the_same_requests_are_refused():
    rows = [{"name": n, "pool": "p", "path_prefix": "/x"} for n in ("a", "b")]
    assert list_fields("routes", rows) == ["routes[1]"]


def test_a_route_to_a_missing_pool_is_refused():
    tables = Tables()
    result = apply(tables, "routes", [{"name": "r", "pool": "nowhere"}], 0, "c1")
    assert result.verdict == "invalid"
    assert result.problems[0]["field"] == "routes[0].pool"


def test_a_pool_that_a_route_names_cannot_be_removed():
    tables = Tables()
    apply(tables, "pools", POOLS, 0, "c1")
    apply(tables, "routes", [{"name": "r", "pool": "lookup"}], 0, "c2")
    assert apply(tables, "pools", POOLS[1:], 1, "c3").verdict == "invalid"
    assert tables.tables["pools"].version == 1


@given(
    st.lists(
        st.tuples(
            st.lists(st.sampled_from("abcde"), unique=True, max_size=5),
            st.integers(0, 4),
            st.integers(0, 6),
        ),
        max_size=12,
    )
)
def test_replicas_agree_and_each_change_is_applied_once(steps):
    one, two = Tables(), Tables()
    answers = {}
    for names, if_version, number in steps:
        rows = [{"name": n, "slots_per_upstream": number + 1} for n in names]
        change = Change("pools", rows, if_version, f"change-{number}", True)
        patch = one.build_patch(change)
        before = one.tables["pools"].version
        result = one.apply_patch(patch)
        two.apply_patch(patch)
        known = answers.setdefault((number, change.compute_digest()), result.to_wire())
        if result.verdict != "reused":
            assert result.to_wire() == known
        if result.verdict == "accepted" and one.tables["pools"].version > before:
            assert one.tables["pools"].list_rows() or not rows
            assert {r["name"] for r in one.tables["pools"].list_rows()} == set(names)
        assert one.tables["pools"].version in (before, before + 1)
    assert one.to_wire(True) == two.to_wire(True)
    assert Tables.from_wire(one.to_wire(True)).to_wire(True) == one.to_wire(True)
