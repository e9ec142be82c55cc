"""Messages with invalid content, which must harm neither the node nor its actor."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.admin.metrics import Meter
from foxtaildrum.events import Received, Send
from foxtaildrum.exceptions import FrameError
from foxtaildrum.fleet.actions import RecordSkipped
from foxtaildrum.fleet.messages import decode_message, encode_message
from foxtaildrum.fleet.runtime import NodeActor
from foxtaildrum.records import CrashNews, FollowPiece, MemberNews, Ping, UpstreamNews

from .fleet import form_fleet

VALID_FIELDS = {
    "members": ["e9", "10.0.0.9:1", "zone-1", "entry", 5, 0],
    "upstreams": ["u", "p", "10.0.0.9:2", "zone-1", 6, 5, "ready", "c1", 1, False, 6.0, 2.5],
    "crashes": ["f" * 32, 0, ["u.1", "u.2"], 60.0],
}
BUILDERS = {
    "members": lambda fields: MemberNews(members=[fields]),
    "upstreams": lambda fields: UpstreamNews(entries=[fields], token=""),
    "crashes": lambda fields: CrashNews(records=[fields]),
}
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**63),
    st.floats(),
    st.text(max_size=4),
    st.binary(max_size=4),
)
VALUES = st.one_of(
    SCALARS,
    st.lists(SCALARS, max_size=3),
    st.dictionaries(st.text(max_size=2), SCALARS, max_size=2),
)


@pytest.fixture(scope="module")
def fleet():
    return form_fleet()


@given(st.sampled_from(sorted(BUILDERS)), st.integers(0, 12), VALUES)
def test_one_invalid_field_neither_raises_nor_stays(fleet, subject, position, value):
    fields = list(VALID_FIELDS[subject])
    fields[position % len(fields)] = value
    host = fleet.hosts["e1"]
    message = decode_message(encode_message(BUILDERS[subject](fields)))
    with contextlib.suppress(FrameError):
        host.node.receive(fleet.now, "c1", message)
    ping = fleet.hosts["c1"].node.members.me.to_wire()
    actions = host.node.tick(fleet.now)
    actions += host.node.receive(
        fleet.now,
        "c1",
        Ping(
            nonce=1,
            member=ping,
            members_root=0,
            upstreams_root=0,
            crashes_root=0,
            applied_index=0,
        ),
    )
    for action in actions:
        if isinstance(action, Send):
            decode_message(encode_message(action.message))
    host.node.crashes.build_view()


@pytest.mark.parametrize(
    ("message", "counter"),
    [
        (
            MemberNews(members=[["e1", "10.0.0.1:1", "zone-1", "entry", 2**64 - 1, 0, ""]]),
            "incarnation",
        ),
        (
            UpstreamNews(
                entries=[
                    ["full", "p", "10.0.0.1:1", "z", 1, 1, "ready", "c1", 2**64 - 1, False, 6.0]
                ],
                token="t",
            ),
            "sequence",
        ),
    ],
)
def test_a_counter_that_could_not_be_increased_is_refused(fleet, message, counter):
    node = fleet.hosts["e1"].node
    own_incarnation = node.members.me.incarnation
    actions = node.receive(fleet.now, "c1", message)
    (skipped,) = [a for a in actions if isinstance(a, RecordSkipped)]
    assert counter in skipped.reason
    assert not any(isinstance(a, Send) for a in actions)
    assert node.members.me.incarnation == own_incarnation
    assert "full" not in node.upstreams.entries


# Guards against an error in the node when the pieces of a snapshot don't make up tables.
def test_tables_that_cannot_be_restored_are_skipped_and_the_rest_goes_on(fleet):
    node = fleet.hosts["e1"].node
    index = node.follower.index
    piece = FollowPiece(
        group_id=node.state.group_id, index=index + 5, offset=0, piece=b"no tables", final=True
    )
    actions = node.receive(fleet.now, "c1", piece)
    (skipped,) = [a for a in actions if isinstance(a, RecordSkipped)]
    assert (skipped.subject, skipped.source) == ("tables", "c1")
    assert node.follower.index == index


class _Publisher:
    def publish(self, now, node):
        return None


def test_the_actor_goes_on_after_an_unexpected_error(fleet):
    meter = Meter()
    actor = NodeActor.start(
        fleet.hosts["e1"].node, lambda write: None, None, _Publisher(), meter
    )
    try:
        actor.tell(Received("c1", None))
        actor.tell(object())
        actor.proxy().apply.defer(_fail)
        actor.proxy().mark_draining.defer(None, "too many arguments")
        assert actor.proxy().read(lambda node, now: "alive").get(timeout=10.0) == "alive"
        assert meter.describe_counters()["internal_errors"] >= 1
    finally:
        actor.stop()


def _fail(node, now):
    raise ZeroDivisionError("an unexpected error")
