"""What the admin interface needs of the state of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from ..control.desired import DesiredState
from ..control.tables import Change
from ..records import Announcement

if TYPE_CHECKING:
    from ..admin.exposition import MetricsSnapshot


class ChangeAnswer:
    """Answer to a proposed change of a table.

    Parameters
    ----------
    verdict : str
        A verdict of :class:`~foxtaildrum.tables.ChangeResult`, or ``unavailable`` when
        the change was not accepted, or ``unknown`` when that cannot be told.
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
    """State of the instance as the admin interface sees it."""

    def list_unready_reasons(self) -> list[str]:
        """Return why callers should not be sent here; empty when ready."""

    def describe_status(self) -> dict[str, Any]:
        """Return the status document."""

    def describe_metrics(self) -> MetricsSnapshot:
        """Return what the page of metrics shows."""
        raise NotImplementedError

    def describe_levels(self) -> list[dict[str, Any]]:
        """Return the service level of each route."""

    def get_table(self, name: str) -> tuple[list[dict[str, Any]], int, bool]:
        """Return the rows, the version and whether they are known to be current."""

    def read_desired(self) -> dict[str, Any] | None:
        """Return the desired state with every accepted change; None when not known."""

    def change_table(self, change: Change | DesiredState) -> ChangeAnswer:
        """Propose a change and wait for its answer."""

    def announce(self, upstream_id: str, announcement: Announcement) -> str:
        """Take an announcement; return the reason of a refusal or an empty text.

        Raises
        ------
        NotConfirmedError
            When too few control instances heard of a drain.
        """

    def leave(self, upstream_id: str, incarnation: int = 0) -> bool | None:
        """Take an upstream out; return whether it was known.

        None when too few control instances heard of it.
        """
