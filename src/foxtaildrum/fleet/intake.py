"""Reads the records in messages and on disk; one that cannot be used costs only itself."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import msgspec

from .actions import ActionQueue, RecordSkipped

MAX_REASON_CHARS = 300
READ_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    OverflowError,
    RecursionError,
    msgspec.ValidationError,
)

Record = TypeVar("Record")


def read_records(
    subject: str,
    source: str,
    items: list[Any],
    build: Callable[[Any], Record],
    actions: ActionQueue,
) -> Iterator[Record]:
    """Return what ``build`` makes of each item; report the items that it refuses.

    Parameters
    ----------
    subject : str
        Kind of the records: upstream, member or crash.
    source : str
        Instance that sent them, or ``disk``.
    """
    for item in items:
        try:
            record = build(item)
        except READ_ERRORS as error:
            reason = f"{_describe(item)}: {error}"[:MAX_REASON_CHARS]
            actions.add(RecordSkipped(subject, source, reason))
            continue
        yield record


def _describe(item: Any) -> str:
    """Return the identifier with which a record begins, as far as it has one."""
    first = item[0] if isinstance(item, list) and item else None
    return repr(first[:MAX_REASON_CHARS]) if isinstance(first, str) else "-"
