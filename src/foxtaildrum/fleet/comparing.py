"""Whether the upstream list of an instance that started is complete, without I/O.

What was acknowledged is on the disks of a majority of the voters. An instance that starts holds
an older list, or none, so it compares its list with others before it serves callers: a voter
with a majority of the voters, any other instance with a majority of the control instances that
have done so.
"""

from __future__ import annotations

from collections.abc import Callable

START_TIMEOUT_S = 3.0
# Root hashes are below it.
ROOT_LIMIT = 2**32


class ListComparison:
    """Instances whose list held nothing that the list here lacks, since the start.

    The root hash that an instance sends is the complement of its real one, and so below zero,
    until its comparison is complete. A voter that started without its former disk has lost
    what it had confirmed: until its comparison is complete, neither itself nor another
    instance counts its list, and the root hash that it sends equals none.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    list_voters : callable or None
        Returns the voters; None outside the control group.
    list_control_instances : callable
        Returns the known control instances.
    has_former_disk : callable
        Returns whether this instance started with all that it had ever confirmed.
    now : float
        Current time in seconds.

    Attributes
    ----------
    complete : bool
        Whether the list includes every update that was acknowledged before the start.
    may_serve : bool
        Whether upstreams may be used: the list is complete, or it took too long.
    """

    __slots__ = (
        "_agreed",
        "_has_former_disk",
        "_instance_id",
        "_list_control_instances",
        "_list_voters",
        "_started_at",
        "complete",
        "may_serve",
    )

    def __init__(
        self,
        instance_id: str,
        list_voters: Callable[[], list[str]] | None,
        list_control_instances: Callable[[], list[str]],
        has_former_disk: Callable[[], bool],
        now: float,
    ) -> None:
        self._instance_id = instance_id
        self._list_voters = list_voters
        self._list_control_instances = list_control_instances
        self._has_former_disk = has_former_disk
        self._started_at = now
        self._agreed: set[str] = set()
        self.complete = False
        self.may_serve = False

    def list_awaited(self) -> list[str]:
        """Return the instances whose list is to be compared with the one here."""
        known = {*self._agreed, self._instance_id}
        return [i for i in self._list_peers() if i not in known]

    def prefers_others(self, peer: str) -> bool:
        """Return whether others than a peer are to supply what the list here lacks.

        While a whole fleet starts, most peers lack it as well.
        """
        awaited = self.list_awaited()
        return not self.may_serve and bool(awaited) and peer not in awaited

    def encode_root(self, root: int) -> int:
        """Return the root hash to send for the list here."""
        if self.complete:
            return root
        return ~root if self._has_former_disk() else ~(root + ROOT_LIMIT)

    def record_root(self, now: float, peer: str, sent_root: int, root: int) -> bool:
        """Record the root hash that a peer sent; return whether its list equals the one here.

        Parameters
        ----------
        root : int
            Root hash of the list here.
        """
        peer_is_complete = sent_root >= 0
        same = root == (sent_root if peer_is_complete else ~sent_root)
        if same and (peer_is_complete or self._list_voters is not None):
            self._agreed.add(peer)
            self.update(now)
        return same

    def update(self, now: float) -> None:
        """Set ``complete`` if a majority has been compared with, and ``may_serve``."""
        if self.complete:
            return
        peers = self._list_peers()
        agreed = self._agreed.intersection(peers)
        if self._has_former_disk():
            agreed |= {self._instance_id}.intersection(peers)
        self.complete = len(agreed) > len(peers) // 2
        if self.complete or now - self._started_at >= START_TIMEOUT_S:
            self.may_serve = True

    def _list_peers(self) -> list[str]:
        if self._list_voters is not None:
            return self._list_voters()
        return self._list_control_instances()
