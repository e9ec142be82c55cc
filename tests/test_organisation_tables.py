"""The organisations table: validation, patches, snapshots and the document read back."""

from __future__ import annotations

import json

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
from foxtaildrum.control.snapshots import pack_snapshot, unpack_snapshot
from foxtaildrum.control.table_follower import CHANGE, DESIRED, TableState
from foxtaildrum.control.tables import ORGANISATIONS_FIELD, Change, Tables
from foxtaildrum.exceptions import InvalidTableError
from foxtaildrum.fleet.messages import decode_message, encode_message
from foxtaildrum.records import FollowEntries

from .fleet import form_joined_fleet

SECRET = "s3cret-value"
ROWS = [
    {"name": "acme", "keys": ["k-1", "k-2"], "priority": 2, "rate_per_s": 150, "burst": 150.5},
    {"name": "none", "keys": []},
    {"name": "Bare"},
]
ABSENT = object()


def build_document(version: int, organisations=ABSENT) -> dict:
    document = {
        "version": version,
        "routes": [{"name": "r", "pool": "p", "public": True}],
        "pools": [{"name": "p"}],
    }
    if organisations is not ABSENT:
        document["organisations"] = organisations
    return document


def build_entry(tables: Tables, document: dict) -> list:
    return build_patch(tables, DesiredState.from_document(document)).to_wire()


def put(tables: Tables, document: dict) -> str:
    return apply_patch(tables, DesiredPatch.from_wire(build_entry(tables, document))).verdict


def list_problems(rows) -> list[InvalidTableError]:
    with pytest.raises(InvalidTableError) as caught:
        DesiredState.from_document(build_document(1, rows))
    return list(caught.value.exceptions)


@pytest.mark.parametrize("rows", [ROWS, [], ABSENT], ids=["rows", "empty", "absent"])
def test_the_document_is_read_back_as_sent_after_each_way_of_storing_it(rows):
    """An empty table that is lost would serve every caller without a key."""
    document = build_document(1, rows)
    state = TableState()
    entry = build_entry(state.tables, document)
    message = FollowEntries(group_id="g", entries=[[1, DESIRED, entry]])
    received = decode_message(encode_message(message)).entries[0]
    assert state.apply(received[1], received[2]).verdict == "accepted"
    assert describe_desired(state.tables) == document
    for with_answers in (True, False):
        packed = pack_snapshot(state.capture(with_answers))
        restored = TableState()
        restored.restore(unpack_snapshot(packed))
        read = describe_desired(restored.tables)
        assert json.dumps(read, sort_keys=True) == json.dumps(document, sort_keys=True)
        assert (restored.tables.get_organisations() is None) == (rows is ABSENT)


def test_a_change_of_one_table_keeps_the_organisations():
    tables = Tables()
    put(tables, build_document(1, ROWS))
    change = Change("pools", [{"name": "p"}, {"name": "q"}], 1, "c", True)
    assert tables.apply_patch(tables.build_patch(change)).verdict == "accepted"
    assert describe_desired(tables)["organisations"] == ROWS


def test_without_organisations_the_log_and_the_snapshot_are_those_of_older_builds():
    tables = Tables()
    entry = build_entry(tables, build_document(1))
    assert list(entry[3]) == list(entry[4]) == ["routes", "pools"]
    put(tables, build_document(1))
    assert [name for name, *_ in tables.to_wire(True)[0]] == ["routes", "pools"]


def test_snapshots_and_entries_of_older_builds_are_read():
    older_snapshot = [
        "g",
        [
            [["routes", [{"name": "r", "pool": "p"}], 1, "version-1"], ["pools", [], 0, ""]],
            [],
            [1, "digest", {}],
        ],
    ]
    state = TableState()
    state.restore(older_snapshot)
    assert state.tables.get_organisations() is None
    rows = [[{"name": "p"}], [], None]
    older_patch = [
        2,
        "d",
        1,
        {"routes": 1, "pools": 0},
        {"routes": [[], [], None], "pools": rows},
    ]
    assert state.apply(DESIRED, [*older_patch, {}]).verdict == "accepted"
    assert (
        state.apply(CHANGE, ["pools", 1, "c", "d", [{"name": "q"}], []]).verdict == "accepted"
    )
    assert put(state.tables, build_document(3, [])) == "accepted"


_names = st.sampled_from(["a", "b", "c"])
_tables = st.none() | st.lists(_names, unique=True, max_size=3)


@given(st.lists(st.tuples(st.integers(1, 8), _tables), max_size=8), st.integers(0, 8))
def test_any_order_of_documents_gives_the_same_state_also_through_a_snapshot(changes, restart):
    """No history of rows, of the empty table and of its absence may change what is in force."""
    tables = Tables()
    contents: dict[int, list] = {}
    highest = (0, None)
    for position, (number, names) in enumerate(changes):
        if position == restart:
            tables = Tables.from_wire(tables.to_wire(with_answers=True))
        rows = (
            ABSENT if names is None else [{"name": n, "keys": [f"{n}-{number}"]} for n in names]
        )
        put(tables, build_document(number, rows))
        if number > highest[0]:
            highest = (number, rows)
            table = tables.get_organisations()
            if table is not None:
                assert contents.setdefault(table.version, rows) == rows
    read = describe_desired(tables).get("organisations", ABSENT)
    assert read == (highest[1] if highest[1] is not None else ABSENT)


def test_a_patch_made_before_the_organisations_came_into_force_is_built_again():
    tables = Tables()
    put(tables, build_document(1))
    patch = build_patch(tables, DesiredState.from_document(build_document(3)))
    put(tables, build_document(2, ROWS))
    assert apply_patch(tables, patch).verdict == "rebased"
    assert put(tables, build_document(3)) == "accepted"
    assert tables.get_organisations() is None


@pytest.mark.parametrize(
    ("row", "field"),
    [
        ({"name": "x", SECRET[:3]: 1}, "organisations[1].s3c"),
        ({"name": "x", "keys": ["ok", ""]}, "organisations[1].keys[1]"),
        ({"name": "x", "keys": [SECRET + " "]}, "organisations[1].keys[0]"),
        ({"name": "x", "keys": [SECRET + "\u00e9"]}, "organisations[1].keys[0]"),
        ({"name": "x", "keys": [SECRET * 30]}, "organisations[1].keys[0]"),
        ({"name": "x", "keys": [[SECRET]]}, "organisations[1].keys[0]"),
        ({"name": "x", "keys": {SECRET: 1}}, "organisations[1].keys"),
        ({"name": "x", "keys": SECRET}, "organisations[1].keys"),
        ({"name": "x", "keys": [SECRET]}, "organisations[1].keys[0]"),
        ({"name": "x", "keys": ["twice", "twice"]}, "organisations[1].keys[1]"),
        ({"name": "first"}, "organisations[1].name"),
        ({"name": [SECRET]}, "organisations[1].name"),
        ({"keys": [SECRET + "-2"]}, "organisations[1].name"),
        ({"name": "x", "rate_per_s": -1}, "organisations[1].rate_per_s"),
        ({"name": "x", "burst": -0.5}, "organisations[1].burst"),
        ({"name": "x", "burst": SECRET}, "organisations[1].burst"),
        ({"name": "x", "priority": -1}, "organisations[1].priority"),
        ({"name": "x", "priority": 1.5}, "organisations[1].priority"),
        (SECRET, "organisations[1]"),
        ([SECRET], "organisations[1]"),
    ],
)
def test_each_problem_names_its_row_and_field_and_shows_no_key(row, field):
    problems = list_problems([{"name": "first", "keys": [SECRET]}, row])
    assert field in [problem.field for problem in problems]
    assert not any(SECRET in str(problem) for problem in problems)


@pytest.mark.parametrize("rows", [None, {}, SECRET, 7])
def test_a_table_that_is_no_list_is_refused_without_showing_it(rows):
    problems = list_problems(rows)
    assert [p.field for p in problems] == ["organisations"]
    assert SECRET not in str(problems)


def test_a_document_survives_power_loss_and_the_loss_of_two_disks():
    """An acknowledged table that is lost would revive removed keys."""
    fleet = form_joined_fleet()
    for name in ("c1", "e1"):
        host = fleet.hosts[name]
        number = 1 if name == "c1" else 2
        rows = ROWS if name == "c1" else []
        token = f"desired-{number}"
        state = DesiredState.from_document(build_document(number, rows))
        fleet.perform(host, host.node.propose(host.read_clock(), token, state))
        assert fleet.run_until(lambda t=token: t in fleet.answers, 10.0)
        assert fleet.answers[token].verdict == "accepted"
    for name in fleet.hosts:
        fleet.crash(name)
    for name in fleet.hosts:
        fleet.restart(name, lose_disk=name in ("c2", "c4"))

    def is_known_everywhere() -> bool:
        tables = [h.node.state.tables for h in fleet.hosts.values()]
        return all(t.desired_number == 2 for t in tables)

    assert fleet.run_until(is_known_everywhere, 60.0), fleet.describe()
    for host in fleet.hosts.values():
        assert describe_desired(host.node.state.tables)["organisations"] == []


# Guards against an instance that gets the tables whole and passes keys on, or acknowledges the
# organisations too soon, since it can't tell that they were in force or came into force.
@pytest.mark.parametrize(
    ("documents", "had", "since"),
    [
        ([None], False, 0),
        ([[]], True, 0),
        ([None, []], True, 2),
        ([[], None], True, 0),
        ([None, [], None], True, 2),
        ([None, [], None, []], True, 4),
    ],
)
def test_tables_tell_whether_organisations_were_in_force(documents, had, since):
    tables = Tables()
    for number, rows in enumerate(documents, start=1):
        document = {"version": number, "routes": [], "pools": []}
        if rows is not None:
            document["organisations"] = rows
        apply_patch(tables, build_patch(tables, DesiredState.from_document(document)))
    for state in (tables, Tables.from_wire(tables.to_wire(with_answers=False))):
        assert (state.had_organisations, state.organisations_since) == (had, since)
    # Builds that don't know it get the same bytes as before where it makes no difference.
    has_field = len(tables.to_wire(with_answers=True)) > ORGANISATIONS_FIELD
    assert has_field == (bool(since) or (had and documents[-1] is None))
