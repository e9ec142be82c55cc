"""Decisions on keys without I/O: lookup, ages of the tables, counts and the forward header."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.fleet.currency import CUT_OFF_AFTER_S
from foxtaildrum.kinds import ERROR_RESPONSES, ErrorKind, Outcome
from foxtaildrum.organisations.counts import (
    REPORT_PERIOD_S,
    OrganisationCounts,
    RefusedKeys,
    Result,
)
from foxtaildrum.organisations.keys import KeyTable, KeyTableBuilder
from foxtaildrum.organisations.recognition import (
    AgeLimits,
    decide_by_key,
    decide_by_name,
    decide_without_organisations,
)
from foxtaildrum.requests.dialects import Dialect
from foxtaildrum.requests.forwards import Forward
from foxtaildrum.requests.problem import Refusal, build_problem

ROWS = [
    {"name": "acme", "keys": ["key-1", "key-2"], "priority": 1},
    {"name": "other", "keys": ["key-3"]},
    {"name": "nobody"},
]
SECRET = b"s" * 32
LIMITS = AgeLimits(1.5, 3.0)
NO_REVOCATION = AgeLimits(1.5, 0.0)


@pytest.fixture
def key_table():
    return KeyTable(ROWS, SECRET)


def decide(key_table, key, age_s, is_public=False, limits=LIMITS) -> tuple[str, str]:
    decision = decide_by_key(key_table, key, is_public, age_s, limits)
    name = decision.organisation.name if decision.organisation else ""
    return name, decision.refusal or "served"


@pytest.mark.parametrize(
    ("key", "age_s", "decided"),
    [
        ("key-1", 0.0, ("acme", "served")),
        ("key-2", 3.0, ("acme", "served")),
        ("key-3", 3.001, ("other", ErrorKind.NOT_READY)),
        ("key-3", None, ("other", ErrorKind.NOT_READY)),
        ("", 1.5, ("", ErrorKind.KEY_MISSING)),
        ("", 1.501, ("", ErrorKind.NOT_READY)),
        ("", None, ("", ErrorKind.NOT_READY)),
        ("key-4", 1.5, ("", ErrorKind.KEY_UNKNOWN_CALLER)),
        ("key-4", 1.501, ("", ErrorKind.NOT_READY)),
        ("key-1, key-1", 0.0, ("", ErrorKind.KEY_UNKNOWN_CALLER)),
        ("key-1, ", 0.0, ("", ErrorKind.KEY_UNKNOWN_CALLER)),
        (", key-1", 0.0, ("", ErrorKind.KEY_UNKNOWN_CALLER)),
        ("KEY-1", 0.0, ("", ErrorKind.KEY_UNKNOWN_CALLER)),
        ("nobody", 0.0, ("", ErrorKind.KEY_UNKNOWN_CALLER)),
    ],
)
def test_a_key_decides_within_the_age_of_the_tables(key_table, key, age_s, decided):
    assert decide(key_table, key, age_s) == decided


@pytest.mark.parametrize("age_s", [0.0, 99.0, None])
@pytest.mark.parametrize(("key", "name"), [("key-1", "acme"), ("no", ""), ("", "")])
def test_a_public_route_is_served_whatever_the_age_of_the_tables(key_table, key, name, age_s):
    assert decide(key_table, key, age_s, is_public=True) == (name, "served")


@pytest.mark.parametrize("age_s", [0.0, 99.0, None])
def test_without_a_revocation_time_known_keys_are_served_at_any_age(key_table, age_s):
    assert decide(key_table, "key-1", age_s, limits=NO_REVOCATION) == ("acme", "served")


# Guards against a decision that newer tables would change, and that is not checked again.
@pytest.mark.parametrize(
    ("key", "is_public", "age_s", "is_certain"),
    [
        ("key-1", False, 1.5, True),
        ("key-1", False, 1.501, False),
        ("key-4", False, 1.5, True),
        ("key-4", False, 1.501, False),
        ("", False, None, False),
        ("key-1", True, 1.5, True),
        ("key-1", True, 1.501, False),
        ("key-4", True, None, False),
        ("", True, None, True),
    ],
)
def test_a_decision_is_certain_by_recent_tables(key_table, key, is_public, age_s, is_certain):
    decision = decide_by_key(key_table, key, is_public, age_s, LIMITS)
    assert decision.is_certain is is_certain


# Guards against keys that are passed on by tables from before the organisations, and against a
# deployment without any that refuses requests while its control group is down.
@pytest.mark.parametrize(
    ("age_s", "limits", "served", "is_certain"),
    [
        (1.5, LIMITS, True, True),
        (1.501, LIMITS, False, False),
        (None, LIMITS, False, False),
        (CUT_OFF_AFTER_S + 1, LIMITS, False, False),
        (1.5, NO_REVOCATION, True, True),
        (1.501, NO_REVOCATION, False, False),
        (CUT_OFF_AFTER_S, NO_REVOCATION, False, False),
        (CUT_OFF_AFTER_S + 1, NO_REVOCATION, True, True),
        (None, NO_REVOCATION, False, False),
    ],
)
def test_tables_without_organisations_are_believed_while_they_are_recent(
    age_s, limits, served, is_certain
):
    decision = decide_without_organisations(age_s, limits)
    assert decision.refusal == (None if served else ErrorKind.NOT_READY)
    assert (decision.organisation, decision.is_certain) == (None, is_certain)


@pytest.mark.parametrize(
    ("name", "is_public", "age_s", "served"),
    [
        ("acme", False, 3.0, True),
        ("acme", False, 3.1, False),
        ("acme", False, None, False),
        ("acme", True, None, True),
        ("gone", False, 0.0, False),
        ("gone", True, 0.0, False),
        ("", False, 0.0, False),
        ("", True, None, True),
    ],
)
def test_a_forwarded_request_is_served_by_its_name_or_goes_elsewhere(
    key_table, name, is_public, age_s, served
):
    """A receiver with other tables must neither refuse it for good nor run it unnamed."""
    decision = decide_by_name(key_table, name, is_public, age_s, LIMITS)
    assert decision.refusal == (None if served else ErrorKind.NOT_READY)
    found = decision.organisation.name if decision.organisation else ""
    assert found == (name if served else "")


@given(st.text(alphabet=st.characters(max_codepoint=255), max_size=40))
def test_any_header_text_is_looked_up(text):
    known = KeyTable(ROWS, SECRET).find(text)
    assert (known is not None) == (text in ("key-1", "key-2", "key-3"))


def test_the_recognised_organisation_and_the_key_table_hold_no_key(key_table):
    """Whatever logs or describes them can't show a key."""
    assert key_table.find("key-1").keys == []
    held = [repr(getattr(key_table, name)) for name in KeyTable.__slots__]
    assert not any("key-1" in text for text in held)


def test_the_digests_of_two_processes_differ():
    tables = [KeyTableBuilder().build({"acme": ROWS[0]}) for _ in range(2)]
    assert tables[0]._by_digest.keys().isdisjoint(tables[1]._by_digest)


def test_a_key_table_is_kept_while_the_organisations_are_the_same():
    builder = KeyTableBuilder(SECRET)
    assert builder.build(None) is None
    empty = builder.build({})
    assert empty is not None
    assert builder.build({}) is empty
    table = builder.build({"acme": ROWS[0]})
    assert table.find("key-1").name == "acme"
    assert builder.build({"acme": dict(ROWS[0])}) is table
    assert builder.build(None) is None


def test_only_organisations_in_force_are_counted():
    """Otherwise each replaced table would leave counters behind."""
    counts = OrganisationCounts()
    counts.retain(["acme", "other"])
    counts.record("acme", Result.SERVED)
    counts.record("gone", Result.SERVED)
    counts.retain(["acme"])
    counts.record("other", Result.REFUSED)
    assert counts.list_counts() == {"acme": {"served": 1, "refused": 0, "failed": 0}}


def test_refused_keys_are_reported_once_in_a_period():
    refused = RefusedKeys()
    assert refused.record(1.0, ErrorKind.KEY_MISSING) == {"missing": 1, "unknown": 0}
    for number in range(500):
        assert refused.record(1.0 + number / 500, ErrorKind.KEY_UNKNOWN_CALLER) is None
    report = refused.record(1.0 + REPORT_PERIOD_S, ErrorKind.KEY_MISSING)
    assert report == {"missing": 1, "unknown": 500}


def test_the_name_is_signed_in_the_forward_header():
    key = b"fleet"
    value = Forward("e1", "p", 3, 17, "acme").format(key, "GET", "/a", "id")
    read = Forward.parse(value, key, "GET", "/a", "id")
    assert (read.index, read.organisation) == (17, "acme")
    for changed in (value.replace("acme", "other"), value.replace(" acme", "")):
        assert Forward.parse(changed, key, "GET", "/a", "id") is None


def test_a_request_without_an_organisation_is_stated_as_older_builds_do():
    """They read five fields only, and send five."""
    value = Forward("e1", "p", 3, 17).format(b"fleet", "GET", "/a", "id")
    assert len(value.split(" ")) == 5
    assert Forward.parse(value, b"fleet", "GET", "/a", "id").organisation == ""


@pytest.mark.parametrize("kind", [ErrorKind.KEY_MISSING, ErrorKind.KEY_UNKNOWN_CALLER])
def test_a_refused_key_is_told_with_the_header_that_is_missing(kind):
    status, headers, _ = build_problem(kind, Outcome.NOT_RUN, "id", Dialect())
    assert status == "401 Unauthorized"
    assert dict(headers)["WWW-Authenticate"] == 'Key header="X-Organisation-Key"'
    assert ERROR_RESPONSES[kind].outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    "text", ["Malformed header line", "Bare CR or LF found in header line"]
)
def test_the_reason_of_a_malformed_request_quotes_no_header(text):
    """The parser quotes the line, which may hold a key, and the reason is logged."""
    refusal = Refusal(ErrorKind.BAD_REQUEST, f'{text} " X-Organisation-Key: "k"\n"', "id", "")
    assert refusal.reason == text
