"""Reports of cold upstreams to the owner of the lease, and cold periods of new starts."""

from __future__ import annotations

from collections.abc import Callable

from .. import records as r
from ..balancing.loads import MAX_WARMUP_S
from ..control.table_follower import TableFollower
from ..events import Send
from .actions import ActionQueue
from .parts import Part, handles
from .upstreams import UpstreamList


class WarmupTimes:
    """Times for which new starts are cold, by pool, in seconds.

    Only pools that limit requests to cold upstreams are known, so that the entries of others
    stay as they are.

    Parameters
    ----------
    follower : TableFollower
        Tables of this instance.
    is_starting : callable
        Returns whether this instance still waits for its first upstream list.
    """

    __slots__ = ("_follower", "_generation", "_is_starting", "_times")

    def __init__(self, follower: TableFollower, is_starting: Callable[[], bool]) -> None:
        self._follower = follower
        self._is_starting = is_starting
        self._generation = -1
        self._times: dict[str, float] = {}

    def find(self, pool: str) -> float | None:
        """Return the time for a pool in seconds; None if it has no limit.

        While this instance starts, it can't tell which upstreams are new: the time is 0 then.
        """
        if self._generation != self._follower.generation:
            self._generation = self._follower.generation
            rows = self._follower.state.tables.list_pools()
            self._times = {p.name: p.warmup_s for p in rows if p.warmup_per_s > 0}
        warmup_s = self._times.get(pool)
        return warmup_s if warmup_s is None or not self._is_starting() else 0.0


class WarmupPart(Part):
    """Reports cold upstreams, and applies reports about those that this instance owns.

    Parameters
    ----------
    upstreams : UpstreamList
        Upstreams that this instance knows.
    actions : ActionQueue
        Receives the actions.
    """

    def __init__(self, upstreams: UpstreamList, actions: ActionQueue) -> None:
        self._upstreams = upstreams
        self._actions = actions

    def report(self, now: float, upstream_id: str, incarnation: int, left_s: float) -> None:
        """Tell the owner of an upstream how long the upstream stays cold."""
        entry = self._upstreams.entries.get(upstream_id)
        if entry is None:
            return
        message = r.WarmupReport(
            upstream_id=upstream_id, incarnation=incarnation, left_s=left_s
        )
        if entry.owner == self._upstreams.instance_id:
            self.handle_report(now, entry.owner, message)
        else:
            self._actions.add(Send(entry.owner, message))

    @handles(r.WarmupReport)
    def handle_report(self, now: float, peer: str, message: r.WarmupReport) -> None:
        """Apply a reported cold period to an upstream that this instance owns."""
        if not 0 <= message.left_s <= MAX_WARMUP_S:
            raise ValueError(f"invalid cold period {message.left_s!r}")
        self._upstreams.set_cold_end(
            message.upstream_id, message.incarnation, now + message.left_s
        )
