"""Sizes of encoded records, and how many of them one message may carry."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import Any, TypeVar

import msgpack

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Leaves room for the other fields of the message that carries the record.
MAX_RECORD_BYTES = MAX_MESSAGE_BYTES - 65_536
# A slow link carries a message of this size without keeping those behind it waiting for long.
MAX_BATCH_BYTES = 65_536

Record = TypeVar("Record")

ENCODING_ERRORS = (ValueError, TypeError, OverflowError, RecursionError)


def measure_record(record: Any) -> int:
    """Return the size of a record in bytes, as it is sent and written.

    A record that cannot be encoded has no size: it is refused where it is sent or written.
    """
    try:
        return len(msgpack.packb(record))
    except ENCODING_ERRORS:
        return 0


def count_fitting(sizes: Iterable[int]) -> int:
    """Return how many of the first records fit into ``MAX_BATCH_BYTES``.

    It is at least 1 if there is a record, so that a large one is sent alone.

    Parameters
    ----------
    sizes : iterable of int
        Sizes of the records in bytes, in order.
    """
    count = 0
    total = 0
    for size in sizes:
        total += size
        if count and total > MAX_BATCH_BYTES:
            break
        count += 1
    return count


def split_batches(
    records: list[Record], to_wire: Callable[[Record], Any] | None = None
) -> Iterator[list[Record]]:
    """Split records into batches of at most ``MAX_BATCH_BYTES``, in order.

    A batch of one record may be larger.

    Parameters
    ----------
    to_wire : callable or None
        Returns what is encoded of a record; None for the record itself.
    """
    sizes = [measure_record(to_wire(r) if to_wire else r) for r in records]
    start = 0
    while start < len(records):
        end = start + count_fitting(islice(sizes, start, None))
        yield records[start:end]
        start = end
