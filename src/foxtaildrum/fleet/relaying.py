"""Tables at one instance: entries that it follows, and relays to other instances."""

from __future__ import annotations

from .. import records as r
from ..control.table_follower import TableFollower, TableState
from ..events import Committed, Send
from ..exceptions import SnapshotError
from .actions import ActionQueue, RecordSkipped
from .membership import LocalSummary, Membership
from .parts import Part, handles


class TablePart(Part):
    """Follows the log of the tables and relays its entries.

    Parameters
    ----------
    follower : TableFollower
        Tables of this instance.
    members : Membership
        Instances of the fleet.
    actions : ActionQueue
        Receives the actions.
    """

    def __init__(
        self, follower: TableFollower, members: Membership, actions: ActionQueue
    ) -> None:
        self._follower = follower
        self._members = members
        self._actions = actions

    @property
    def state(self) -> TableState:
        """Tables in force here."""
        return self._follower.state

    @property
    def confirmed_at(self) -> float:
        """Time of the last confirmation by a quorum, in seconds."""
        return self._follower.get_beacon()[1]

    def record_beacon(self, group_id: str, index: int, confirmed_at: float) -> None:
        """Record that a quorum confirmed an index at some time."""
        self._follower.record_beacon(group_id, index, confirmed_at)

    def fill_summary(self, now: float, summary: LocalSummary) -> None:
        """Set the fields of a summary that describe the tables."""
        summary.applied_index = self._follower.index
        summary.group_id = self.state.group_id
        index, confirmed_at = self._follower.get_beacon()
        summary.beacon_index = index
        summary.beacon_age_s = max(0.0, now - confirmed_at) if index >= 0 else 0.0

    def request_if_behind(self, now: float, peer: str, index: int) -> None:
        """Request entries from a peer that has applied more of them."""
        self._actions.extend(self._follower.request_if_behind(now, peer, index))

    def handle_committed(self, committed: Committed, is_leader: bool) -> None:
        """Apply entries that the control group committed; the leader also relays them."""
        self._follower.handle_applied(committed.entries)
        if is_leader:
            self._push([list(entry) for entry in committed.entries], "")

    @handles(r.FollowRequest)
    def handle_request(self, now: float, peer: str, message: r.FollowRequest) -> None:
        """Send entries to an instance that lacks them."""
        self._actions.extend(self._follower.answer_request(peer, message))

    @handles(r.FollowEntries)
    def handle_entries(self, now: float, peer: str, message: r.FollowEntries) -> None:
        """Apply entries from another instance and relay them."""
        applied = self._follower.handle_entries(now, peer, message)
        if applied:
            self._push(applied, peer)
            self._actions.extend(self._follower.request_rest(now, peer))
        elif self._follower.has_gap(message):
            self.request_if_behind(now, peer, message.entries[-1][0])

    @handles(r.FollowPiece)
    def handle_piece(self, now: float, peer: str, message: r.FollowPiece) -> None:
        """Handle a piece of a snapshot."""
        try:
            self._actions.extend(self._follower.handle_piece(now, peer, message))
        except SnapshotError as error:
            self._actions.add(RecordSkipped("tables", peer, str(error)))
        self._actions.extend(self._follower.request_rest(now, peer))

    def _push(self, entries: list[list], sender: str) -> None:
        targets = self._members.pick_push_targets()
        for push in self._follower.build_pushes(entries):
            self._actions.extend(Send(t, push) for t in targets if t != sender)
