"""Announcements, leaves and tables with odd values: refused, and nothing else suffers."""

from __future__ import annotations

import codecs
import http.client
import json
import math

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.fleet.upstreams import Entry

from .sites import open_site
from .standins.processes import wait_until
from .standins.values import describe

GOOD = {
    "pool": "p",
    "address": "127.0.0.1:9",
    "availability_zone": "zone-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 1,
    "born": 5,
    "lease_s": 30,
}

NESTED = ["[" * depth + "]" * depth for depth in (70, 500, 990, 3_000, 9_000, 100_000)]
NOT_JSON_NUMBERS = ["NaN", "Infinity", "-Infinity", "1e400", "-1e400", "9" * 5_000]
LARGE_INTEGERS = [str(2**62 + 1), str(2**63), str(2**64), str(2**70), "9" * 4_000, "1e30"]
UNREADABLE_TEXT = [
    '"\\ud83d"',
    '"a\\udc00b"',
    '"a\\u0000b"',
    '"a\\nb"',
    '"' + "x" * 1_000_000 + '"',
]
NO_NUMBER = ["true", "null", '"1"', "{}", "[]"]
NO_TEXT = ["true", "null", "1", "{}", "[]"]
ODD_ADDRESSES = [
    f'"{address}"'
    for address in (
        "",
        "127.0.0.1",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999",
        "127.0.0.1:99999999999",
        "127.0.0.1:http",
        "127.0.0.1:-1",
        "127.0.0.1:80\\n",
        "256.0.0.1:80",
        "999.1.1.1:80",
        "0.0.0.0:1",
        "224.0.0.1:80",
        "255.255.255.255:80",
        "host.example:80",
        "[::]:80",
        "[ff02::1]:80",
        "[:::::]:80",
        "[1.2.3.4]:80",
        "[12345::1]:80",
        "::1:80",
    )
]

ODD_VALUES = {
    "pool": [*NESTED, *NOT_JSON_NUMBERS, *UNREADABLE_TEXT, *NO_TEXT, '""', '"-"', '"a b"'],
    "address": [*NESTED, *NOT_JSON_NUMBERS, *UNREADABLE_TEXT, *NO_TEXT, *ODD_ADDRESSES],
    "availability_zone": [*NESTED, *NOT_JSON_NUMBERS, *UNREADABLE_TEXT, *NO_TEXT],
    "version": [*NESTED, *NOT_JSON_NUMBERS, *UNREADABLE_TEXT, *NO_TEXT],
    "state": [*NESTED, *NOT_JSON_NUMBERS, *UNREADABLE_TEXT, *NO_TEXT, '"left"', '""'],
    "slots": [*NESTED, *NOT_JSON_NUMBERS, *LARGE_INTEGERS, *NO_NUMBER, "-1", "1.5", "100001"],
    "warmup_left_ms": [*NESTED, *NOT_JSON_NUMBERS, *LARGE_INTEGERS, *NO_NUMBER, "-1"],
    "sequence": [*NESTED, *NOT_JSON_NUMBERS, *LARGE_INTEGERS, *NO_NUMBER, "-1", "1.5"],
    "born": [*NESTED, *NOT_JSON_NUMBERS, *LARGE_INTEGERS, *NO_NUMBER, "-1", "1.5"],
    "incarnation": [*NESTED, *NOT_JSON_NUMBERS, *LARGE_INTEGERS, *NO_NUMBER, "-1", "1.5"],
    "lease_s": [*NESTED, *NOT_JSON_NUMBERS, *LARGE_INTEGERS, *NO_NUMBER, "-1", "0", "3601"],
}
CASES = [
    (field, odd, f"odd-{field}-{number}")
    for field, values in ODD_VALUES.items()
    for number, odd in enumerate(values)
]


@pytest.fixture(scope="module")
def tables_site(tmp_path_factory):
    with open_site(tmp_path_factory.mktemp("tables")) as site:
        yield site


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with open_site(tmp_path_factory.mktemp("odd")) as site:
        yield site


def call(site, method: str, path: str, body: str | bytes = b"", headers=None):
    """Send one request on a connection of its own; return the status and the document."""
    host, port = site.instance.admin_server.address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    data = body if isinstance(body, bytes) else body.encode()
    try:
        connection.putrequest(method, path, skip_accept_encoding=True)
        for name, value in {"Content-Length": str(len(data)), **(headers or {})}.items():
            connection.putheader(name, value)
        connection.endheaders(data)
        response = connection.getresponse()
        text = response.read()
    finally:
        connection.close()
    return response.status, json.loads(text) if text.startswith(b"{") else {"title": text}


def build_body(field: str, odd: str, document=GOOD) -> str:
    """Return a document as JSON with the raw text ``odd`` in one field."""
    pairs = {name: json.dumps(value) for name, value in document.items()} | {field: odd}
    return "{" + ", ".join(f'"{name}": {text}' for name, text in pairs.items()) + "}"


def list_entries(site) -> list[Entry]:
    return list(site.instance._node.upstreams.entries.values())


def is_listed(site, upstream_id: str) -> bool:
    return upstream_id in site.instance._node.upstreams.entries


def check_works(site) -> None:
    """Check that an upstream is accepted and stored, and a desired state as well."""
    number = site.instance._node.state.tables.desired_number + 1
    tables = {"version": number, "pools": [{"name": "p"}], "routes": []}
    assert call(site, "PUT", "/v1/tables", json.dumps(tables))[0] == 200
    site.announce("good", "p", 9, incarnation=number)
    saved = site.folder / "state" / "upstreams"
    assert wait_until(lambda: msgpack.packb(number) in saved.read_bytes(), 5.0)
    assert site.client.get_status()["counters"].get("internal_errors", 0) == 0


@pytest.mark.parametrize(("field", "odd", "name"), CASES, ids=describe)
def test_an_announcement_with_an_odd_field_is_acknowledged(site, field, odd, name):
    status, document = call(site, "PUT", f"/v1/upstreams/{name}", build_body(field, odd))
    assert (400 <= status < 500, is_listed(site, name)) == (True, False), (status, document)
    deep = odd.startswith("[[")
    assert field in json.dumps(document) or (deep and "nested" in json.dumps(document))
    assert len(json.dumps(document)) < 4096


@pytest.mark.parametrize(
    "path",
    [
        "",
        "%00",
        "a%00b",
        "%0D%0AX-Odd:%201",
        "a%0A",
        "%FF",
        "%ED%A0%80",
        "%C3%A9",
        "a%20b",
        "x" * 129,
        "x" * 8_000,
    ],
    ids=describe,
)
@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_an_odd_identifier_is_accepted(site, method, path):
    before = len(list_entries(site))
    body = json.dumps(GOOD) if method == "PUT" else '{"born": 7}'
    status, document = call(site, method, f"/v1/upstreams/{path}", body)
    assert 400 <= status < 500, (status, document)
    assert "identifier" in document["title"]
    assert len(list_entries(site)) == before


@pytest.mark.parametrize("path", ["a%2Fb", "a/b", "/", "%2F"])
def test_a_slash_in_an_identifier_is_taken_as_part_of_it(site, path):
    before = len(list_entries(site))
    assert 400 <= call(site, "PUT", f"/v1/upstreams/{path}", json.dumps(GOOD))[0] < 500
    assert len(list_entries(site)) == before


@pytest.mark.parametrize("field", ["born", "incarnation"])
@pytest.mark.parametrize(
    "odd", [*NESTED, *NOT_JSON_NUMBERS, *LARGE_INTEGERS, *NO_NUMBER, "-1", "1.5"], ids=describe
)
def test_a_leave_with_an_odd_start_is_acknowledged(site, field, odd):
    body = f'{{"{field}": {odd}}}'
    name = f"leave-{field}-{describe(odd)}".replace("[", "").replace('"', "")
    status, document = call(site, "DELETE", f"/v1/upstreams/{name}", body)
    assert (400 <= status < 500, is_listed(site, name)) == (True, False), (status, document)
    assert field in json.dumps(document) or "nested" in json.dumps(document)


TABLES = {"version": 1, "routes": [], "pools": [{"name": "p"}]}
ROUTE = {"name": "r", "pool": "p"}
ODD_NUMBERS = ["NaN", "Infinity", "1e400", "9" * 5_000, str(2**70), "true", '"1"', "-1"]
ODD_TABLES = {
    **{f"timeout_ms {describe(n)}": ("routes", "timeout_ms", n) for n in ODD_NUMBERS},
    **{
        f"weight {describe(n)}": ("routes", "split", f'[{{"pool": "p", "weight": {n}}}]')
        for n in ODD_NUMBERS
    },
    **{f"objective {describe(n)}": ("routes", "objective_ratio", n) for n in ODD_NUMBERS},
    **{f"slots {describe(n)}": ("pools", "slots_per_upstream", n) for n in ODD_NUMBERS},
    **{f"ratio {describe(n)}": ("pools", "measuring_budget_ratio", n) for n in ODD_NUMBERS},
    **{f"host {describe(t)}": ("routes", "host", t) for t in UNREADABLE_TEXT[:2]},
    **{f"prefix {describe(t)}": ("routes", "path_prefix", t) for t in ['"/\\ud83d"']},
    **{
        f"health {describe(t)}": ("pools", "health_path", t)
        for t in [*UNREADABLE_TEXT, '"/\\u00e9"', '"/a b"']
    },
    **{
        f"load {describe(t)}": ("pools", "load_path", t)
        for t in [*UNREADABLE_TEXT, '"/\\u00e9"', '"/a b"']
    },
    **{f"nested {len(t)}": ("routes", "split", t) for t in NESTED},
    **{f"duplicate {n}": (n, 'name": "x", "name', '"y"') for n in ("routes", "pools")},
}


@pytest.mark.parametrize("case", ODD_TABLES)
def test_tables_with_an_odd_value_are_acknowledged(tables_site, case):
    table, field, odd = ODD_TABLES[case]
    version = tables_site.instance._node.state.tables.desired_number
    row = ROUTE if table == "routes" else {"name": "p"}
    if field == "split":
        row = {"name": "r"}
    text = build_body(field, odd, row)
    pairs = {"version": str(version + 1), "routes": "[]", "pools": '[{"name": "p"}]'}
    pairs[table] = f"[{text}]"
    body = "{" + ", ".join(f'"{name}": {value}' for name, value in pairs.items()) + "}"
    status, document = call(tables_site, "PUT", "/v1/tables", body)
    assert 400 <= status < 500, (status, document)
    assert tables_site.instance._node.state.tables.desired_number == version
    answer, tables = call(tables_site, "GET", "/v1/tables")
    assert answer in (200, 503)
    assert not any(math.isnan(r.get("timeout_ms", 0)) for r in tables.get("routes", []))


@pytest.mark.parametrize("odd", ["9" * 20, "9" * 5_000, "-1", "1.5", "x"], ids=describe)
def test_an_odd_version_in_if_match_is_not_a_client_error(tables_site, odd):
    headers = {"If-Match": f'"{odd}"'}
    status, _ = call(tables_site, "PUT", "/v1/pools", '{"pools": []}', headers)
    assert status in (400, 412)


def test_a_body_in_another_encoding_is_accepted(site):
    for body in (json.dumps(GOOD).encode("utf-16"), b'{"pool": "\xed\xa0\x80"}', b"\xff"):
        assert call(site, "PUT", "/v1/upstreams/odd", body)[0] == 400
    assert not is_listed(site, "odd")


def test_an_announcement_that_starts_with_a_byte_order_mark_is_refused(site):
    body = codecs.BOM_UTF8 + json.dumps(GOOD).encode()
    assert call(site, "PUT", "/v1/upstreams/marked", body)[0] == 200
    assert is_listed(site, "marked")


@pytest.mark.parametrize(
    "extra", ['"unknown": {"a": [1, 2.5, null]}', '"pool2": "x", "zones": []', '"seq": 1e300']
)
def test_an_announcement_with_fields_of_a_later_version_is_refused(site, extra):
    body = json.dumps(GOOD)[:-1] + f", {extra}}}"
    status, document = call(site, "PUT", "/v1/upstreams/later", body)
    assert (status, is_listed(site, "later")) == (200, True), document


def test_whole_numbers_in_another_notation_are_lost_on_the_way(site):
    body = json.dumps({**GOOD, "slots": 4.0, "born": 6.0, "sequence": 2.0})
    assert call(site, "PUT", "/v1/upstreams/whole", body)[0] == 200
    entry = site.instance._node.upstreams.entries["whole"]
    assert Entry.from_wire(0.0, msgpack.unpackb(msgpack.packb(entry.to_wire(0.0))))
    assert isinstance(entry.announcement.slots, int)


SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(2**61, 2**71)
    | st.floats()
    | st.text(max_size=70)
    | st.text(st.characters(categories=("Cs", "Cc", "Lo")), max_size=3)
    | st.sampled_from([json.loads(a) for a in ODD_ADDRESSES])
)
VALUES = st.recursive(SCALARS, lambda inner: st.lists(inner, max_size=2), max_leaves=4)
DOCUMENTS = st.dictionaries(st.sampled_from(sorted(ODD_VALUES)), VALUES, max_size=3)


@given(DOCUMENTS, st.booleans())
def test_an_accepted_announcement_cannot_be_read_by_other_instances(site, odd, leaves):
    node = site.instance._node
    body = json.dumps(GOOD | {"sequence": 0} | odd)
    status, document = call(site, "PUT", "/v1/upstreams/any", body)
    assert status == 200 or 400 <= status < 500, (status, document)
    if leaves and "born" in odd:
        status, document = call(site, "DELETE", "/v1/upstreams/any", json.dumps(odd))
        assert status == 200 or 400 <= status < 500, (status, document)
    for entry in list(node.upstreams.entries.values()):
        fields = msgpack.unpackb(msgpack.packb(entry.to_wire(0.0)))
        assert Entry.from_wire(0.0, fields).rank() == entry.rank()


def test_the_site_no_longer_works_after_odd_announcements(site):
    check_works(site)
