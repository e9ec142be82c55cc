"""Exceptions of foxtaildrum, all derived from one base class."""

from __future__ import annotations

from collections.abc import Sequence


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
    """Every invalid field of one input, reported together."""

    def derive(self, excs: Sequence[Exception]) -> InvalidFieldsError:
        """Return a group of the same type that holds ``excs``."""
        return type(self)(self.message, excs)

    def list_problems(self) -> list[dict[str, str]]:
        """Return each problem as a mapping with ``field`` and ``reason``."""
        return [{"field": e.field, "reason": e.reason} for e in self.exceptions]


class InvalidSettingsError(InvalidFieldsError):
    """Settings that cannot be used."""


class InvalidTableError(InvalidFieldsError):
    """A table that cannot be accepted."""


class StaleVersionError(FoxtaildrumError):
    """A change made under a version that is no longer current.

    Parameters
    ----------
    version : int
        Current version of the table.
    changed_by : str
        Change identifier that produced the current version.
    """

    def __init__(self, version: int, changed_by: str) -> None:
        super().__init__(f"the table is at version {version}, changed by {changed_by!r}")
        self.version = version
        self.changed_by = changed_by


class SchemaMismatchError(FoxtaildrumError):
    """A value does not match the schema."""


class NotSpreadError(FoxtaildrumError):
    """Too few control instances heard of a drain or a leave."""


class StaleAnnouncementError(FoxtaildrumError):
    """An announcement that is older than what is known of the upstream."""


class CorruptJournalError(FoxtaildrumError):
    """A journal that is damaged before its last record."""


class FrameError(FoxtaildrumError):
    """A frame that is malformed, too large, replayed or wrongly signed."""


class AdminRequestError(FoxtaildrumError):
    """An answer of the admin interface that reports a failure.

    Parameters
    ----------
    status : int
        HTTP status code; 0 when no answer arrived.
    detail : str
        Text for the operator.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
