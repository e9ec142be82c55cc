"""Exceptions of foxtaildrum, all derived from :class:`FoxtaildrumError`."""

from __future__ import annotations

from collections.abc import Sequence

MAX_LISTED_PROBLEMS = 100
MAX_FIELD_CHARS = 200
MAX_REASON_CHARS = 400


class FoxtaildrumError(Exception):
    """Base class of every exception raised by foxtaildrum."""


class FieldError(FoxtaildrumError):
    """One invalid field of a setting, a table or a message.

    Parameters
    ----------
    field : str
        Path of the field, for example ``routes[2].timeout_ms``.
    reason : str
        Why the value is invalid.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class InvalidFieldsError(FoxtaildrumError, ExceptionGroup):
    """All invalid fields of one input."""

    def derive(self, excs: Sequence[Exception]) -> InvalidFieldsError:
        """Return a group of the same type that holds ``excs``."""
        return type(self)(self.message, excs)

    def list_problems(self, limit: int = MAX_LISTED_PROBLEMS) -> list[dict[str, str]]:
        """Return each problem as a mapping with ``field`` and ``reason``.

        Of more than ``limit`` problems the first are listed, and how many there are beyond.
        """
        listed = [
            {"field": e.field[:MAX_FIELD_CHARS], "reason": e.reason[:MAX_REASON_CHARS]}
            for e in self.exceptions[:limit]
        ]
        further = len(self.exceptions) - limit
        if further > 0:
            listed.append({"field": "-", "reason": f"{further} further problems"})
        return listed


class InvalidSettingsError(InvalidFieldsError):
    """The settings of an instance are invalid."""


class UnavailableResourcesError(InvalidFieldsError):
    """Addresses or folders of an instance's settings cannot be used."""


class InvalidTableError(InvalidFieldsError):
    """A table is invalid."""


class StaleVersionError(FoxtaildrumError):
    """A change was based on a version that is no longer the current one.

    Parameters
    ----------
    version : int
        Current version of the table.
    changed_by : str
        Identifier of the change that produced the current version.
    """

    def __init__(self, version: int, changed_by: str) -> None:
        super().__init__(f"the table is at version {version}, changed by {changed_by!r}")
        self.version = version
        self.changed_by = changed_by


class SchemaMismatchError(FoxtaildrumError):
    """A value does not match the schema."""


class NotConfirmedError(FoxtaildrumError):
    """Too few control instances confirmed the drain or the leave of an upstream."""


class StaleAnnouncementError(FoxtaildrumError):
    """An announcement is older than the known state of the upstream."""


class CorruptJournalError(FoxtaildrumError):
    """A journal is damaged before its last record."""


class FileNotReplacedError(FoxtaildrumError, OSError):
    """A file could not be replaced; it still has its content."""


class SnapshotError(FoxtaildrumError):
    """The bytes of a snapshot of the tables are not those that an instance packed."""


class FrameError(FoxtaildrumError):
    """A frame is malformed, too large, replayed or has a wrong signature."""


class MessageTooLargeError(FrameError):
    """A message is larger than a frame may be."""


class UnencodableError(FrameError):
    """A message holds a value that cannot be sent."""


class UnusableBuildError(FoxtaildrumError, ImportError):
    """The libraries of a build don't fit the code or the interpreter."""


class AdminRequestError(FoxtaildrumError):
    """A request to the admin interface failed.

    Parameters
    ----------
    status : int
        HTTP status code; 0 when no response arrived.
    detail : str
        Message for the operator.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
