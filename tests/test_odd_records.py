"""Odd records of other instances, on disk and in responses: each costs only itself."""

from __future__ import annotations

import contextlib
import math

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum import records as r
from foxtaildrum.admin.metrics import Meter
from foxtaildrum.control.journal import Journal, pack_record
from foxtaildrum.events import Send
from foxtaildrum.exceptions import FrameError
from foxtaildrum.fleet.actions import RecordSkipped
from foxtaildrum.fleet.messages import decode_message, encode_message
from foxtaildrum.instance import load_upstreams

from .fleet import FakeDisk, form_fleet
from .standins.values import describe, nest

WAIT_S = 10.0


def build_entry(upstream_id: str, /, **changes) -> list:
    """Return an upstream as instances send it, with some fields replaced."""
    fields = {
        "upstream_id": upstream_id,
        "pool": "p",
        "address": "127.0.0.1:9",
        "availability_zone": "zone-a",
        "slots": 4,
        "incarnation": 1,
        "state": "ready",
        "owner": "c1",
        "sequence": 1,
        "lost": False,
        "remaining_s": 6.0,
        "rate_limit_per_s": None,
    }
    return list({**fields, **changes}.values())


def build_member(instance_id: str, /, **changes) -> list:
    fields = {
        "instance_id": instance_id,
        "address": "127.0.0.1:9",
        "availability_zone": "zone-a",
        "role": "entry",
        "incarnation": 1,
        "state": 0,
        "forward_address": "",
    }
    return list({**fields, **changes}.values())


def build_crash(fingerprint: str, /, **changes) -> list:
    fields = {"fingerprint": fingerprint, "epoch": 0, "starts": ["u.1"], "remaining_s": 9.0}
    return list({**fields, **changes}.values())


LONG = "x" * 1_000_000
NO_RECORDS = [None, 1, "text", {}, [], [1], {"pool": "p"}, nest(300)]
TEXTS = [None, 1, b"\xff", [], {}, LONG, "a\x00b", "a\nb"]
NUMBERS = [None, "1", -1, 1.5, True, 2**63, 2**64 - 1, math.nan, math.inf, 1e300, []]

ODD_ENTRIES = [
    *NO_RECORDS,
    *(build_entry("odd", upstream_id=v) for v in [*TEXTS, "", "a b", "\u00e9"]),
    *(build_entry("odd", pool=v) for v in [*TEXTS, "", "a b"]),
    *(
        build_entry("odd", address=v)
        for v in [*TEXTS, "", "x", "127.0.0.1:99999", "1.2.3.4:http", "127.0.0.1:0"]
    ),
    *(
        build_entry("odd", address=v)
        for v in ["0.0.0.0:1", "224.0.0.1:1", "host:80", "[::]:80"]
    ),
    *(build_entry("odd", availability_zone=v) for v in TEXTS),
    *(build_entry("odd", slots=v) for v in [v for v in NUMBERS if v is not None]),
    *(build_entry("odd", incarnation=v) for v in NUMBERS),
    *(build_entry("odd", sequence=v) for v in NUMBERS),
    *(build_entry("odd", state=v) for v in [*TEXTS, "", "resting"]),
    *(build_entry("odd", owner=v) for v in TEXTS),
    *(build_entry("odd", lost=v) for v in [None, 1, "true", []]),
    *(build_entry("odd", remaining_s=v) for v in [*NUMBERS, 1e9] if v not in (1.5,)),
    *(build_entry("odd", rate_limit_per_s=v) for v in ["1", -1, math.nan, math.inf, 1e300, []]),
]
ODD_MEMBERS = [
    *NO_RECORDS,
    *(build_member("odd", instance_id=v) for v in [*TEXTS, ""]),
    *(build_member("odd", address=v) for v in TEXTS),
    *(build_member("odd", availability_zone=v) for v in TEXTS),
    *(build_member("odd", role=v) for v in TEXTS),
    *(build_member("odd", incarnation=v) for v in NUMBERS),
    *(build_member("odd", state=v) for v in [*NUMBERS, 4]),
    *(build_member("odd", forward_address=v) for v in TEXTS),
]
ODD_CRASHES = [
    *NO_RECORDS,
    *(build_crash("odd", fingerprint=v) for v in [*TEXTS, ""]),
    *(build_crash("odd", epoch=v) for v in NUMBERS),
    *(build_crash("odd", starts=v) for v in [None, 1, "a", [1], [LONG], ["a"] * 65, {}]),
    *(build_crash("odd", remaining_s=v) for v in [None, "1", -1, math.nan, math.inf, []]),
]


@pytest.fixture(scope="module")
def fleet():
    return form_fleet(control=3, entry=1)


def deliver(fleet, message) -> list:
    """Deliver a message as other instances send it; return the actions."""
    node = fleet.hosts["e1"].node
    return node.receive(fleet.now, "c1", decode_message(encode_message(message)))


def list_skipped(actions: list) -> list:
    return [a for a in actions if isinstance(a, RecordSkipped)]


@pytest.mark.parametrize("odd", ODD_ENTRIES, ids=describe)
def test_an_odd_upstream_costs_the_upstreams_beside_it(fleet, odd):
    known = fleet.hosts["e1"].node.upstreams.entries
    known_before = set(known)
    start = len(known_before) + 2
    entries = [
        build_entry("one", incarnation=start),
        odd,
        build_entry("two", incarnation=start),
    ]
    actions = deliver(fleet, r.UpstreamNews(entries=entries, token="t"))
    assert set(known) == {*known_before, "one", "two"}
    assert {known[i].announcement.incarnation for i in ("one", "two")} == {start}
    (skipped,) = list_skipped(actions)
    assert (skipped.subject, skipped.source, bool(skipped.reason)) == ("upstream", "c1", True)
    assert len(skipped.reason) <= 300


def list_receipts(actions: list) -> list:
    messages = [a.message for a in actions if isinstance(a, Send)]
    return [m.token for m in messages if isinstance(m, r.NewsReceipt)]


def test_a_receipt_is_sent_for_an_entry_that_was_skipped():
    fleet = form_fleet(control=3, entry=1)
    good, odd = build_entry("u", state="draining"), build_entry("u", state="draining", slots=-1)
    assert list_receipts(deliver(fleet, r.UpstreamNews(entries=[odd], token="t"))) == []
    assert list_receipts(deliver(fleet, r.UpstreamNews(entries=[good, odd], token="t"))) == []
    assert list_receipts(deliver(fleet, r.UpstreamNews(entries=[good], token="t"))) == ["t"]


@pytest.mark.parametrize("odd", ODD_MEMBERS, ids=describe)
def test_an_odd_member_costs_the_members_beside_it(fleet, odd):
    known = fleet.hosts["e1"].node.members.members
    before = set(known)
    start = 5 + max((m.incarnation for i, m in known.items() if i in ("m1", "m2")), default=0)
    members = [
        build_member("m1", incarnation=start),
        odd,
        build_member("m2", incarnation=start),
    ]
    actions = deliver(fleet, r.MemberNews(members=members))
    assert set(known) == {*before, "m1", "m2"}
    assert {known[i].incarnation for i in ("m1", "m2")} == {start}
    assert [(a.subject, a.source) for a in list_skipped(actions)] == [("member", "c1")]


@pytest.mark.parametrize("odd", ODD_CRASHES, ids=describe)
def test_an_odd_crash_record_costs_the_records_beside_it(odd):
    fleet = form_fleet(control=1, entry=1)
    actions = deliver(fleet, r.CrashNews(records=[build_crash("a"), odd, build_crash("b")]))
    assert len(fleet.hosts["e1"].node.crashes) == 2
    assert [(a.subject, a.source) for a in list_skipped(actions)] == [("crash", "c1")]


@pytest.mark.parametrize("place", range(3))
@pytest.mark.parametrize("kind", ["upstreams", "members", "crashes"])
def test_text_that_cannot_be_read_costs_the_whole_message(kind, place):
    build, message, field = {
        "upstreams": (build_entry, r.UpstreamNews(entries=[], token=""), "entries"),
        "members": (build_member, r.MemberNews(members=[]), "members"),
        "crashes": (build_crash, r.CrashNews(records=[]), "records"),
    }[kind]
    names = ["one", "two", "three"]
    getattr(message, field).extend(build(name) for name in names)
    odd = b"\xff" * len(names[place])
    data = encode_message(message).replace(names[place].encode(), odd, 1)
    fleet = form_fleet(control=1, entry=1)
    node = fleet.hosts["e1"].node
    actions = node.receive(fleet.now, "c1", decode_message(data))
    known = {"upstreams": node.upstreams.entries, "members": node.members.members}.get(kind)
    if known is None:
        assert len(node.crashes) == 2
    else:
        assert set(names) & set(known) == set(names) - {names[place]}
    assert len(list_skipped(actions)) == 1


def test_text_that_cannot_be_read_is_taken_over_into_a_message_of_the_log():
    data = encode_message(r.FollowEntries(group_id="group", entries=[[1, "change", ["x"]]]))
    with pytest.raises(FrameError):
        decode_message(data.replace(b"change", b"\xff" * 6))
    data = encode_message(r.UpstreamNews(entries=[], token="token"))
    with pytest.raises(FrameError):
        decode_message(data.replace(b"token", b"\xff" * 5))


JUNK = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=2), inner),
    max_leaves=8,
)


@given(st.integers(0, 11), JUNK, st.booleans())
def test_an_entry_is_taken_that_other_instances_cannot_read(position, value, is_whole):
    fleet = form_fleet(control=1, entry=1)
    odd = build_entry("odd")
    odd[position] = value
    deliver(fleet, r.UpstreamNews(entries=[value if is_whole else odd], token=""))
    node = fleet.hosts["e1"].node
    for entry in node.upstreams.entries.values():
        other = form_fleet(control=1, entry=1)
        deliver(other, r.UpstreamNews(entries=[entry.to_wire(fleet.now)], token=""))
        assert entry.upstream_id in other.hosts["e1"].node.upstreams.entries


@pytest.mark.parametrize("lease_s", [math.nan, math.inf, -math.inf, -1.0, 0.0, 1e300, 3601.0])
def test_an_odd_renewal_makes_an_entry_unreadable(lease_s):
    fleet = form_fleet(control=3, entry=1)
    fleet.announce("c1", "u", lease_s=6.0)
    fleet.run(1.0)
    node = fleet.hosts["c1"].node
    with contextlib.suppress(FrameError):
        message = r.RenewRequest(upstream_id="u", incarnation=1, lease_s=lease_s)
        node.receive(fleet.now, "c2", decode_message(encode_message(message)))
    assert node.upstreams.entries["u"].announcement.lease_s == 6.0


@pytest.mark.parametrize("odd", ODD_ENTRIES, ids=describe)
def test_an_odd_upstream_in_the_saved_list_ends_the_start(odd):
    node = form_fleet(control=1, entry=0).hosts["c1"].node
    node.restore_upstreams(0.0, [build_entry("one"), odd, build_entry("two")])
    assert set(node.upstreams.entries) == {"one", "two"}
    (skipped,) = list_skipped(node.tick(0.1))
    assert (skipped.subject, skipped.source) == ("upstream", "disk")


@pytest.mark.parametrize(
    "odd",
    [b"\xc1", b"\x92\x01", b"\xa2\xff\xff", b"\x91" * 3_000, b"\x81\x90\x01", b"\xd9"],
    ids=describe,
)
def test_a_saved_record_that_cannot_be_read_costs_the_whole_list(odd):
    disk = FakeDisk()
    good = [msgpack.packb(build_entry(name)) for name in ("one", "two")]
    disk.files["upstreams"] = b"".join(pack_record(p) for p in (good[0], odd, good[1]))
    meter = Meter()
    loaded = load_upstreams(Journal(disk, "upstreams"), meter)
    assert [fields[0] for fields in loaded] == ["one", "two"]
    assert meter.describe_counters()["records.skipped"] == 1
