"""Interface between the admin server and the state of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from ..control.desired import DesiredState
from ..control.evacuations import EvacuationOrder
from ..control.orders import OrderOutcome
from ..control.tables import Change
from ..records import Announcement

if TYPE_CHECKING:
    from ..admin.exposition import MetricsSnapshot


class ChangeAnswer:
    """Answer to a proposed change of a table.

    Parameters
    ----------
    verdict : str
        A verdict of :class:`~foxtaildrum.control.tables.ChangeResult`; ``unavailable``
        when the change was not accepted; ``too_large`` when it never can be; ``unknown``
        when it may have been accepted.
    version : int
        Version of the table.
    changed_by : str
        Identifier of the change that produced this version.
    problems : list of dict
        Problems of single fields, for an invalid change.
    detail : str
        Text for the operator.
    """

    __slots__ = ("changed_by", "detail", "problems", "verdict", "version")

    def __init__(
        self,
        verdict: str,
        version: int,
        changed_by: str = "",
        problems: list[dict[str, str]] | None = None,
        detail: str = "",
    ) -> None:
        self.verdict = verdict
        self.version = version
        self.changed_by = changed_by
        self.problems = problems or []
        self.detail = detail


class NodeApi(Protocol):
    """Operations on an instance that the admin interface uses."""

    def list_unready_reasons(self) -> list[str]:
        """Return the reasons why this instance is not ready; empty when ready."""

    def describe_status(self) -> dict[str, Any]:
        """Return the status document."""

    def describe_metrics(self) -> MetricsSnapshot:
        """Return the values that the metrics page shows."""
        raise NotImplementedError

    def describe_service_levels(self) -> list[dict[str, Any]]:
        """Return the service level of each route."""

    def get_table(self, name: str) -> tuple[list[dict[str, Any]], int, bool]:
        """Return the rows, the version and whether the table is known to be up to date."""

    def read_desired_state(self) -> dict[str, Any] | None:
        """Return the desired state with every accepted change.

        None when this instance cannot confirm that its tables include all of them.
        """

    def describe_organisations(self) -> dict[str, Any]:
        """Return the organisations in force and their requests here, without any key."""

    def change_table(self, change: Change | DesiredState) -> ChangeAnswer:
        """Propose a change and wait for its answer."""

    def confirm_tables(self) -> bool:
        """Return whether the state here is known to include every accepted change and order."""

    def knows_zone(self, zone: str) -> bool:
        """Return whether a member or an upstream is in a zone, or the zone is evacuated."""

    def describe_zones(self, configured: frozenset[str]) -> list[dict[str, Any]]:
        """Return a document for each zone that is configured or known."""

    def order_evacuation(self, order: EvacuationOrder, known_orders: int) -> OrderOutcome:
        """Propose an order on a zone that was given after ``known_orders`` other orders."""

    def announce(self, upstream_id: str, announcement: Announcement) -> str:
        """Record an announcement; return the reason of a refusal, or an empty string.

        Raises
        ------
        NotConfirmedError
            When no majority of the control instances stored a drain in time.
        """

    def leave(self, upstream_id: str, incarnation: int = 0) -> bool | None:
        """Record that an upstream left; return False if it was unknown or had left already.

        None when no majority of the control instances stored the leave in time.
        """
