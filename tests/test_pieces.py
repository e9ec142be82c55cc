"""Tables that an instance receives in pieces, while the neighbours that send them change.

Issue 42: an instance that can't put the pieces together must not be left without tables.
"""

from __future__ import annotations

import msgpack
import pytest

from foxtaildrum.control.table_follower import (
    PIECE_BYTES,
    PIECE_TIMEOUT_S,
    TableFollower,
    TableState,
)
from foxtaildrum.control.tables import Table, Tables
from foxtaildrum.exceptions import SnapshotError
from foxtaildrum.records import FollowPiece, FollowRequest

from .fleet import form_fleet
from .test_large_tables import is_in_force, put_versions

GROUP = "0123456789abcdef"
INDEX = 300
ROUTES = 5000
FLEET_ROUTES = 1500


def build_state(encoding: str = "plain") -> TableState:
    """Return tables of several pieces; another encoding gives other bytes of the same tables.

    Builds may encode the same tables in different ways, for example with more fields.
    """
    rows = {}
    for n in range(ROUTES):
        row = {"name": f"r-{n:07x}", "path_prefix": f"/lepu{n:03d}/", "timeout_ms": 800}
        if encoding == "reordered":
            row = dict(reversed(row.items()))
        elif encoding == "longer":
            row["host"] = "jepu9.example"
        elif encoding == "shorter":
            del row["timeout_ms"]
        rows[row["name"]] = row
    state = TableState()
    state.group_id = GROUP
    state.tables = Tables()
    state.tables.tables["routes"] = Table(rows, 7, "version-7")
    state.tables.desired_number = 7
    return state


class Neighbours:
    """An instance that is behind, and neighbours that have its tables."""

    def __init__(self, *encodings: str) -> None:
        self.now = 100.0
        self.receiver = TableFollower(TableState(), 0, True)
        self.senders = {
            f"n{k}": TableFollower(build_state(encoding), INDEX, False)
            for k, encoding in enumerate(encodings)
        }
        self.skipped: list[str] = []

    def answer(self, peer: str, request: FollowRequest) -> FollowPiece:
        (reply,) = self.senders[peer].answer_request("receiver", request)
        return reply.message

    def request(self, peer: str) -> FollowRequest | None:
        """Let the receiver hear of the index of a neighbour, after others stayed silent."""
        self.now += PIECE_TIMEOUT_S
        sends = self.receiver.request_if_behind(self.now, peer, INDEX)
        return sends[0].message if sends else None

    def deliver(self, peer: str, piece: FollowPiece) -> FollowRequest | None:
        """Deliver a piece; return what the receiver requests next from the same neighbour."""
        sends = []
        try:
            sends += self.receiver.handle_piece(self.now, peer, piece)
        except SnapshotError:
            self.skipped.append(peer)
        sends += self.receiver.request_rest(self.now, peer)
        return sends[0].message if sends else None

    def fetch(self, peer: str, request: FollowRequest | None, most: int = 100) -> int:
        """Answer the receiver's requests by one neighbour; return how many were answered."""
        count = 0
        while request is not None and count < most:
            request = self.deliver(peer, self.answer(peer, request))
            count += 1
        return count

    def has_tables_of(self, *peers: str) -> bool:
        wire = self.receiver.state.tables.to_wire(False)
        return any(wire == self.senders[p].state.tables.to_wire(False) for p in peers)


# Guards against an instance that mixes the pieces of two neighbours: it either uses tables that
# nobody has, or fails on them for ever and never serves (issue 42).
@pytest.mark.parametrize("encoding", ["reordered", "longer", "shorter"])
@pytest.mark.parametrize("received", [1, 2])
def test_pieces_of_neighbours_whose_bytes_differ_are_never_put_together(encoding, received):
    neighbours = Neighbours("plain", encoding)
    neighbours.fetch("n0", neighbours.request("n0"), most=received)
    neighbours.fetch("n1", neighbours.request("n1"))
    for peer in ("n1", "n0", "n1"):
        neighbours.fetch(peer, neighbours.request(peer))
        if neighbours.receiver.index == INDEX:
            break
    assert neighbours.receiver.index == INDEX
    assert neighbours.has_tables_of("n0", "n1")


@pytest.mark.parametrize("encoding", ["reordered", "longer", "shorter"])
def test_neighbours_that_take_turns_give_the_tables_of_one(encoding):
    neighbours = Neighbours("plain", encoding)
    for turn in range(40):
        peer = f"n{turn % 2}"
        neighbours.fetch(peer, neighbours.request(peer), most=1 + turn // 4)
        if neighbours.receiver.index == INDEX:
            break
    assert neighbours.receiver.index == INDEX
    assert neighbours.has_tables_of("n0", "n1")


# Guards against a neighbour that has fewer bytes than were received from another: it answered
# with an empty last piece, again and again.
def test_a_neighbour_with_fewer_bytes_sends_its_tables_from_the_start():
    neighbours = Neighbours("plain", "shorter")
    request = neighbours.request("n1")
    first = neighbours.answer("n1", request)
    beyond = FollowRequest(after_index=0, offset=10_000_000, snapshot_index=first.index)
    piece = neighbours.answer("n1", beyond)
    assert (piece.offset, piece.piece, piece.final) == (0, first.piece, False)


# Guards against tables that were altered on their way through a neighbour's memory.
@pytest.mark.parametrize("position", [100, PIECE_BYTES + 7])
def test_altered_pieces_are_discarded_and_requested_again(position):
    neighbours = Neighbours("plain")
    request = neighbours.request("n0")
    offset = 0
    while request is not None and neighbours.receiver.index == 0 and offset <= position:
        piece = neighbours.answer("n0", request)
        offset = piece.offset + len(piece.piece)
        if piece.offset <= position < offset:
            data = bytearray(piece.piece)
            data[position - piece.offset] ^= 1
            piece.piece = bytes(data)
        request = neighbours.deliver("n0", piece)
    neighbours.fetch("n0", request)
    neighbours.fetch("n0", neighbours.request("n0"))
    assert neighbours.receiver.index == INDEX
    assert neighbours.has_tables_of("n0")
    assert neighbours.skipped == ["n0"]


def test_a_neighbour_that_restarts_midway_sends_its_later_tables():
    neighbours = Neighbours("plain")
    neighbours.fetch("n0", neighbours.request("n0"), most=2)
    neighbours.senders["n0"] = TableFollower(build_state("longer"), INDEX + 1, False)
    neighbours.fetch("n0", neighbours.request("n0"))
    assert neighbours.receiver.index == INDEX + 1
    assert neighbours.has_tables_of("n0")


# Builds since 079e3e2 read the first two fields, and send only those.


def test_tables_of_earlier_builds_are_taken():
    neighbours = Neighbours("plain")
    state = neighbours.senders["n0"].state
    data = msgpack.packb([state.group_id, state.tables.to_wire(False)])
    for offset in range(0, len(data), PIECE_BYTES):
        end = offset + PIECE_BYTES
        piece = FollowPiece(
            group_id=GROUP,
            index=INDEX,
            offset=offset,
            piece=data[offset:end],
            final=end >= len(data),
        )
        neighbours.deliver("n0", piece)
    assert neighbours.receiver.index == INDEX
    assert neighbours.has_tables_of("n0")


def test_earlier_builds_can_read_the_tables():
    neighbours = Neighbours("plain")
    data = bytearray()
    request = FollowRequest(after_index=0, offset=0, snapshot_index=0)
    while True:
        piece = neighbours.answer("n0", request)
        data += piece.piece
        if piece.final:
            break
        request = FollowRequest(after_index=0, offset=len(data), snapshot_index=piece.index)
    group_id, tables, *_ = msgpack.unpackb(bytes(data), strict_map_key=False)
    assert group_id == GROUP
    assert tables == neighbours.senders["n0"].state.tables.to_wire(False)


# Guards against the same in a fleet: instances start while neighbours of two builds end, one
# after the other, in the middle of what they send.
@pytest.mark.parametrize("seed", range(6))
def test_instances_get_the_tables_while_neighbours_of_two_builds_are_killed(seed):
    fleet = form_fleet(entry=3, seed=seed)
    put_versions(fleet, 4, FLEET_ROUTES)
    for name in ("c1", "c2", "e1"):
        encode_otherwise(fleet.hosts[name])
    for name in ("e2", "e3"):
        fleet.restart(name)
    for turn in range(12):
        fleet.run_until(lambda: False, 0.003 + 0.002 * (turn % 5))
        name = ("c1", "c2", "c3", "e1")[(turn + seed) % 4]
        fleet.restart(name)
        if name != "c3":
            encode_otherwise(fleet.hosts[name])
    assert fleet.run_until(lambda: is_in_force(fleet, 4), 15.0), fleet.describe()
    rows = [h.node.state.tables.tables["routes"].list_rows() for h in fleet.hosts.values()]
    assert all(r == rows[0] for r in rows)


def encode_otherwise(host) -> None:
    """Let an instance encode its tables as another build does, with other bytes."""
    state = host.node.state
    capture = state.capture

    class OtherState(type(state)):
        __slots__ = ()

        def capture(self, with_answers=True):
            captured = capture(with_answers)
            tables = captured[1][0]
            for table in tables:
                table[1] = [dict(reversed(row.items())) for row in table[1]]
            return captured

    state.__class__ = OtherState
