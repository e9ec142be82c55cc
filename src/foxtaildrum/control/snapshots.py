"""Encoded tables that end with a digest, so that a receiver of their pieces can verify them.

Instances of different builds may encode the same tables in different ways. Pieces from two of
them don't make up a snapshot, even if both belong to the same index of the log.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

import msgpack

from ..exceptions import SnapshotError

DIGEST_BYTES = 16
FIELDS = 2
DECODING_ERRORS = (ValueError, TypeError, RecursionError, msgpack.UnpackException)


def pack_snapshot(fields: list[Any]) -> bytes:
    """Encode the fields of a snapshot, and the digest of these bytes as one more field.

    Builds that know no digest read the first fields only.
    """
    content = msgpack.packb([*fields, bytes(DIGEST_BYTES)])[:-DIGEST_BYTES]
    return content + _compute_digest(content)


def unpack_snapshot(data: bytes) -> list[Any]:
    """Decode the fields of a snapshot, after verifying its digest.

    A snapshot of a build that knows no digest has none, and is only decoded.

    Raises
    ------
    SnapshotError
        When the bytes are not those of one snapshot.
    """
    try:
        fields = msgpack.unpackb(data, strict_map_key=False)
    except DECODING_ERRORS as error:
        raise SnapshotError(f"the snapshot cannot be decoded: {error!r}") from error
    if not isinstance(fields, list) or len(fields) < FIELDS:
        raise SnapshotError("the snapshot is not a list of its fields")
    content, digest = data[:-DIGEST_BYTES], data[-DIGEST_BYTES:]
    if len(fields) > FIELDS and not hmac.compare_digest(digest, _compute_digest(content)):
        raise SnapshotError("the digest of the snapshot is that of other bytes")
    return fields[:FIELDS]


def _compute_digest(content: bytes) -> bytes:
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
