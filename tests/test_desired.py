"""Desired states: both tables replaced as a whole, numbered by the operator."""

from __future__ import annotations

import random

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.control.desired import (
    DesiredPatch,
    DesiredState,
    apply_patch,
    build_patch,
    describe_desired,
)
from foxtaildrum.control.table_follower import DESIRED, TableState
from foxtaildrum.control.tables import Tables
from foxtaildrum.exceptions import InvalidTableError

from .fleet import form_fleet

GOOD = {
    "version": 3,
    "routes": [
        {"name": "a", "path_prefix": "/a/", "type": "unsafe", "pool": "p", "max_attempts": 2},
        {
            "name": "b",
            "path_prefix": "/b/",
            "split": [{"pool": "p", "weight": 90}, {"pool": "q", "weight": 10}],
        },
    ],
    "pools": [{"name": "p"}, {"name": "q", "health_path": "/healthz", "max_conns": 9}],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
}


def put(tables: Tables, document: dict) -> str:
    patch = build_patch(tables, DesiredState.from_document(document))
    return apply_patch(tables, DesiredPatch.from_wire(patch.to_wire())).verdict


def find_fields(document) -> list[str]:
    with pytest.raises(InvalidTableError) as caught:
        DesiredState.from_document(document)
    return [problem.field for problem in caught.value.exceptions]


def test_a_desired_state_is_read_back_unchanged():
    tables = Tables()
    assert put(tables, GOOD) == "accepted"
    assert describe_desired(tables) == GOOD
    again = Tables.from_wire(tables.to_wire(with_answers=True))
    assert describe_desired(again) == GOOD


def test_the_highest_number_wins_and_older_ones_change_nothing():
    tables = Tables()
    put(tables, GOOD)
    assert put(tables, {**GOOD, "version": 2, "routes": []}) == "superseded"
    assert put(tables, GOOD) == "accepted"
    assert put(tables, {**GOOD, "routes": []}) == "conflict"
    assert describe_desired(tables) == GOOD


def test_a_patch_made_on_another_state_is_not_applied():
    tables = Tables()
    patch = build_patch(tables, DesiredState.from_document(GOOD))
    put(tables, {**GOOD, "version": 1, "pools": [{"name": "p"}, {"name": "q"}]})
    assert apply_patch(tables, patch).verdict == "rebased"


def test_every_problem_is_listed_at_once():
    document = {
        "version": 0,
        "surplus": 1,
        "routes": [
            {"name": "a", "path_prefix": "a", "pool": "missing", "colour": "red"},
            {"name": "b", "split": [{"pool": "p", "weight": -1}]},
            {"name": "c", "split": [{"pool": "p", "weight": 0}]},
            {"name": "d", "pool": "p", "timeout_ms": 600001},
        ],
        "pools": [{"name": "p"}],
    }
    fields = find_fields(document)
    for field in (
        "surplus",
        "version",
        "routes[0].path_prefix",
        "routes[0].pool",
        "routes[1].split[0].weight",
        "routes[2].split",
        "routes[3].timeout_ms",
    ):
        assert field in fields
    assert any(f.startswith("routes[0]") for f in fields)


@pytest.mark.parametrize("document", [None, [], 7, "text", {}, {"version": 1}, {"routes": 3}])
def test_a_document_that_cannot_be_read_in_full_is_refused(document):
    assert find_fields(document)


_names = st.sampled_from(["a", "b", "c", "d", "e"])
_states = st.lists(_names, unique=True, max_size=5)


@given(st.lists(st.tuples(st.integers(1, 6), _states), max_size=8))
def test_any_order_of_numbers_ends_with_the_content_of_the_highest(changes):
    tables = Tables()
    highest: tuple[int, list[str]] = (0, [])
    for number, names in changes:
        document = {"version": number, "routes": [], "pools": [{"name": n} for n in names]}
        put(tables, document)
        if number > highest[0]:
            highest = (number, names)
    assert tables.desired_number == highest[0]
    assert [row["name"] for row in tables.tables["pools"].list_rows()] == highest[1]


def test_two_changes_with_the_same_number_are_not_both_accepted():
    fleet = form_fleet()
    tokens = [fleet.put_desired(name, 5, name) for name in ("e1", "e2")]
    fleet.run(2.0)
    verdicts = sorted(fleet.answers[t].verdict for t in tokens)
    assert verdicts == ["accepted", "conflict"]


def test_many_changes_at_once_are_all_answered_and_the_highest_is_in_force():
    fleet = form_fleet()
    tokens = {n: fleet.put_desired("e1", n, f"p{n}") for n in (3, 8, 5, 1, 9, 2, 7, 4)}
    fleet.run(3.0)
    verdicts = {n: fleet.answers[t].verdict for n, t in tokens.items()}
    assert set(verdicts.values()) <= {"accepted", "superseded"}
    for host in fleet.hosts.values():
        assert host.node.state.tables.desired_number == 9


def test_a_resent_change_is_acknowledged_again_by_another_leader():
    fleet = form_fleet()
    token = fleet.put_desired("e1", 4, "same")
    fleet.run(1.0)
    assert fleet.answers[token].verdict == "accepted"
    fleet.crash(fleet.find_leader())
    fleet.run(8.0)
    token = fleet.put_desired("e2", 4, "same")
    fleet.run(2.0)
    assert fleet.answers[token].verdict == "accepted"


def test_a_read_at_a_paused_instance_shows_every_change_accepted_meanwhile():
    fleet = form_fleet()
    fleet.put_desired("e1", 1, "old")
    fleet.run(1.0)
    leader = fleet.find_leader()
    fleet.pause(leader)
    fleet.run(5.0)
    fleet.put_desired_until_accepted(2, "new")
    fleet.resume(leader)
    assert fleet.read_desired(leader) in (None, 2)
    fleet.run(2.0)
    assert fleet.read_desired(leader) == 2


@pytest.mark.parametrize("seed", range(20))
def test_pieces_of_one_index_from_two_instances_are_not_alike(seed):
    """One that restored the tables captures the same bytes as one that applied each change."""
    rng = random.Random(seed)
    applied, restored = TableState(), TableState()
    for number in range(1, 20):
        names = [f"p{n}" for n in rng.sample(range(6), rng.randrange(1, 6))]
        rows = [
            {"name": f"r{n}", "pool": rng.choice(names), "path_prefix": f"/{n}/"}
            for n in rng.sample(range(12), rng.randrange(12))
        ]
        tables = {"routes": rows, "pools": [{"name": name} for name in names]}
        limits = rng.choice([{}, {"max_body_bytes": number}])
        patch = build_patch(applied.tables, DesiredState(number, tables, limits))
        for state in (applied, restored):
            state.apply(DESIRED, repack(patch.to_wire()))
        captured = applied.capture(with_answers=False)
        assert msgpack.packb(captured) == msgpack.packb(restored.capture(with_answers=False))
        if rng.random() < 0.3:
            restored.restore(repack(captured))


def repack(value):
    return msgpack.unpackb(msgpack.packb(value), strict_map_key=False)
