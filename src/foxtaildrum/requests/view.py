"""What an instance serves callers from: its tables and pools at one moment."""

from __future__ import annotations

from ..balancing.pools import UpstreamPool
from ..balancing.splits import PoolChooser
from ..organisations.keys import KeyTable
from .routing import Router


class View:
    """Router and pools that are in use, replaced atomically when the tables change.

    Parameters
    ----------
    router : Router
        Matches requests to routes.
    pools : dict
        Upstream pools by name.
    chooser : PoolChooser or None
        Chooses the pool of each request.
    version : int
        Version of the desired state that is in use.
    index : int
        Index of the change that the tables include last.
    is_set : bool
        Whether the tables have been set. Before that, nothing is known of any route.
    key_table : KeyTable or None
        Organisations in force; None while there are none.
    had_organisations : bool
        Whether organisations have been in force before.

    Attributes
    ----------
    complete_up_to : float
        Time up to which the tables of this view include every accepted change, in seconds.
    """

    __slots__ = (
        "chooser",
        "complete_up_to",
        "had_organisations",
        "index",
        "is_set",
        "key_table",
        "pools",
        "router",
        "version",
    )

    def __init__(
        self,
        router: Router,
        pools: dict[str, UpstreamPool],
        chooser: PoolChooser | None = None,
        version: int = 0,
        index: int = 0,
        is_set: bool = True,
        key_table: KeyTable | None = None,
        had_organisations: bool = False,
    ) -> None:
        self.had_organisations = had_organisations or key_table is not None
        self.complete_up_to = float("-inf")
        self.key_table = key_table
        self.is_set = is_set
        self.router = router
        self.index = index
        self.version = version
        self.chooser = chooser or PoolChooser([])
        self.pools = pools

    def compute_age(self, now: float) -> float | None:
        """Return the age of the tables of this view, in seconds; None if it is unknown."""
        complete_up_to = self.complete_up_to
        return None if complete_up_to == float("-inf") else now - complete_up_to
