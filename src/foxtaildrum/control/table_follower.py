"""Replication of table changes between neighbours, and how old the local tables are.

Every instance applies entries of the log, relays them to neighbours that are behind, and
knows up to which time its tables include every accepted change.
"""

from __future__ import annotations

from typing import Any

from ..events import Send
from ..exceptions import SnapshotError
from ..records import FollowEntries, FollowPiece, FollowRequest
from ..sizes import measure_record, split_batches
from .desired import DesiredPatch, apply_patch
from .evacuations import EvacuationOrder
from .snapshots import pack_snapshot, unpack_snapshot
from .tables import Patch, Tables
from .windows import WINDOW_BYTES, EntryWindow

PIECE_BYTES = 65_536
REQUEST_TIMEOUT_S = 0.5
PIECE_TIMEOUT_S = 2.0

# Kinds of log entries.
CHANGE = "change"
DESIRED = "desired"
EVACUATION = "evacuation"


class TableState:
    """Replicated state: tables, evacuated zones and the identifier of the control group.

    Only control instances store the answers to past changes; a copy for other instances is
    captured with ``with_answers`` false.
    """

    __slots__ = ("group_id", "tables")

    def __init__(self) -> None:
        self.group_id = ""
        self.tables = Tables()

    def apply(self, kind: str, payload: Any) -> Any:
        """Apply one entry and return the result of a change or an order."""
        if kind == CHANGE:
            return self.tables.apply_patch(Patch.from_wire(payload))
        if kind == DESIRED:
            return apply_patch(self.tables, DesiredPatch.from_wire(payload))
        if kind == EVACUATION:
            return self.tables.evacuations.apply(EvacuationOrder.from_wire(payload))
        # A leader elected before the first entry was applied appends a second group_id;
        # only the first one counts.
        if payload and not self.group_id:
            self.group_id = payload.get("group_id", "")
        return None

    def capture(self, with_answers: bool = True) -> Any:
        """Return the state as a value that msgpack can encode."""
        return [self.group_id, self.tables.to_wire(with_answers)]

    def restore(self, captured: Any) -> None:
        """Replace the state by a captured one."""
        tables = Tables.from_wire(captured[1])
        self.group_id = captured[0]
        self.tables = tables


class TableFollower:
    """Keeps the tables at the latest index that any neighbour has.

    Parameters
    ----------
    state : TableState
        Tables in force; on a control instance its replicated log updates them.
    index : int
        Index of the last entry that the state includes.
    fetches_entries : bool
        Whether entries are fetched from neighbours; false on a control instance, which gets
        them through its replicated log.

    Attributes
    ----------
    generation : int
        Increased whenever the tables change.
    foreign_group : str
        Identifier of another control group that a neighbour belongs to; empty if none was
        seen. Its messages are ignored.
    """

    def __init__(self, state: TableState, index: int, fetches_entries: bool) -> None:
        self.state = state
        self.index = index
        self.fetches_entries = fetches_entries
        self.foreign_group = ""
        self.generation = 0
        self._recent_entries = EntryWindow()
        self._confirmed_index = -1
        self._confirmed_at = float("-inf")
        self._complete_up_to = float("-inf")
        self._requested_at = float("-inf")
        self._wanted_index = 0
        self._piece_index = 0
        self._pieces = bytearray()
        self._packed_state: tuple[int, bytes] = (-1, b"")

    def handle_applied(self, entries: list[tuple[int, str, Any]]) -> None:
        """Record entries that this instance's replicated log has applied."""
        for index, kind, payload in entries:
            self.index = index
            self._recent_entries.append([index, kind, payload])
        self.generation += 1
        self._update_current_at()

    def handle_replaced(self, index: int) -> None:
        """Record that a snapshot up to ``index`` has replaced the state."""
        self.index = index
        self._recent_entries.clear()
        self.generation += 1
        self._update_current_at()

    def record_beacon(self, group_id: str, index: int, confirmed_at: float) -> None:
        """Record that a quorum confirmed ``index`` as the latest at ``confirmed_at``."""
        if not self._accept_group(group_id):
            return
        if confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
            self._confirmed_index = index
            self._update_current_at()

    def record_read(self, begun_at: float) -> None:
        """Record that the tables include every change that was accepted before a read began.

        The reply to a read names no group. Where another group was seen, it may be from there.
        """
        if self.foreign_group:
            return
        self._complete_up_to = max(self._complete_up_to, begun_at)

    def compute_age(self, now: float) -> float | None:
        """Return the age of the tables on this instance, in seconds.

        The tables include every change that was accepted longer ago than this age. None
        means that the age is unknown.
        """
        if self._complete_up_to == float("-inf"):
            return None
        return now - self._complete_up_to

    @property
    def complete_up_to(self) -> float:
        """Time up to which the tables include every accepted change; -inf if unknown."""
        return self._complete_up_to

    def get_beacon(self) -> tuple[int, float]:
        """Return the index that a quorum last confirmed, and the time of the confirmation."""
        return self._confirmed_index, self._confirmed_at

    def request_if_behind(self, now: float, peer: str, peer_index: int) -> list[Send]:
        """Request entries from ``peer`` if it has later ones than this instance."""
        if not self.fetches_entries or peer_index <= self.index:
            return []
        self._wanted_index = max(self._wanted_index, peer_index)
        timeout_s = PIECE_TIMEOUT_S if self._pieces else REQUEST_TIMEOUT_S
        if now - self._requested_at < timeout_s:
            return []
        return [self._build_request(now, peer)]

    def request_rest(self, now: float, peer: str) -> list[Send]:
        """Request what is still missing from a peer that has just sent a part of it."""
        return self.request_if_behind(now, peer, self._wanted_index)

    def answer_request(self, peer: str, message: FollowRequest) -> list[Send]:
        """Send entries, or a piece of the tables, to a neighbour that is behind."""
        if message.after_index >= self.index:
            return []
        if not self._recent_entries.reaches_back_to(message.after_index):
            return [self._send_piece(peer, message)]
        entries = self._recent_entries.list_batch(message.after_index)
        return [Send(peer, FollowEntries(group_id=self.state.group_id, entries=entries))]

    def handle_entries(self, now: float, peer: str, message: FollowEntries) -> list[Any]:
        """Apply the entries that directly continue the state; return the applied ones."""
        if not self.fetches_entries or not self._accept_group(message.group_id):
            return []
        applied = []
        for index, kind, payload in message.entries:
            if index != self.index + 1:
                continue
            self.state.apply(kind, payload)
            self.index = index
            self._recent_entries.append([index, kind, payload])
            applied.append([index, kind, payload])
        if applied:
            self.generation += 1
            self._update_current_at()
            self._requested_at = float("-inf")
        return applied

    def has_gap(self, message: FollowEntries) -> bool:
        """Return whether entries are missing between the state and those in the message."""
        return bool(message.entries) and message.entries[0][0] > self.index + 1

    def handle_piece(self, now: float, peer: str, message: FollowPiece) -> list[Send]:
        """Store a piece of the tables; request the next one, or install the tables.

        Raises
        ------
        SnapshotError
            When the pieces, which may come from several neighbours, don't make up tables.
            They are discarded, and requested from the start next time.
        """
        if not self.fetches_entries or not self._accept_group(message.group_id):
            return []
        if message.index <= self.index:
            return []
        if message.index != self._piece_index and message.offset == 0:
            self._piece_index = message.index
            self._pieces.clear()
        if message.index != self._piece_index or message.offset != len(self._pieces):
            # A late piece: the one that was requested is on its way, or is requested again.
            return []
        self._pieces += message.piece
        if not message.final:
            return [self._build_request(now, peer)]
        data = bytes(self._pieces)
        self._pieces.clear()
        self._requested_at = float("-inf")
        try:
            self.state.restore(unpack_snapshot(data))
        except (LookupError, TypeError, ValueError) as error:
            raise SnapshotError(f"the tables cannot be restored: {error!r}") from error
        self.handle_replaced(message.index)
        return []

    def build_pushes(self, entries: list[Any]) -> list[FollowEntries]:
        """Return the messages that forward entries to neighbours.

        Of more entries than a window holds only the last are forwarded: a neighbour that lacks
        those before them asks for the tables, which are smaller.
        """
        batches = list(split_batches(entries))
        if len(entries) > 1 and sum(map(measure_record, entries)) > WINDOW_BYTES:
            batches = batches[-1:]
        return [FollowEntries(group_id=self.state.group_id, entries=b) for b in batches]

    def _update_current_at(self) -> None:
        if 0 <= self._confirmed_index <= self.index:
            self._complete_up_to = max(self._complete_up_to, self._confirmed_at)

    def _accept_group(self, group_id: str) -> bool:
        if not group_id:
            return False
        own_group_id = self.state.group_id
        if own_group_id and own_group_id != group_id:
            self.foreign_group = group_id
            return False
        return True

    def _build_request(self, now: float, peer: str) -> Send:
        self._requested_at = now
        request = FollowRequest(
            after_index=self.index,
            offset=len(self._pieces),
            snapshot_index=self._piece_index if self._pieces else 0,
        )
        return Send(peer, request)

    def _send_piece(self, peer: str, message: FollowRequest) -> Send:
        if not self._can_continue(message):
            self._pack_state()
        index, data = self._packed_state
        offset = message.offset if self._can_continue(message) else 0
        end = offset + PIECE_BYTES
        reply = FollowPiece(
            group_id=self.state.group_id,
            index=index,
            offset=offset,
            piece=data[offset:end],
            final=end >= len(data),
        )
        return Send(peer, reply)

    def _can_continue(self, message: FollowRequest) -> bool:
        """Return whether a piece of the packed tables is requested."""
        index, data = self._packed_state
        return 0 < message.snapshot_index == index and message.offset < len(data)

    def _pack_state(self) -> None:
        """Pack the tables, unless others can continue from those that are packed.

        All that start at about the same time get the same tables: one that still receives
        pieces of them would otherwise have to begin again with each change.
        """
        packed_index = self._packed_state[0]
        if packed_index == self.index:
            return
        if packed_index >= 0 and self._recent_entries.reaches_back_to(packed_index):
            return
        captured = self.state.capture(with_answers=False)
        self._packed_state = (self.index, pack_snapshot(captured))
