"""Bucketed digest of a map, by which two instances find the items in which they differ."""

from __future__ import annotations

import zlib

BUCKETS = 64
_MASK = 0xFFFFFFFF


class BucketDigest:
    """Order-independent hash of the items in each bucket, updated incrementally."""

    __slots__ = ("hashes",)

    def __init__(self) -> None:
        self.hashes = [0] * BUCKETS

    def add(self, key: str, text: str) -> None:
        """Add the item ``text`` of ``key``."""
        bucket = find_bucket(key)
        self.hashes[bucket] = (self.hashes[bucket] + _hash_item(key, text)) & _MASK

    def remove(self, key: str, text: str) -> None:
        """Remove an item that was added with the same arguments."""
        bucket = find_bucket(key)
        self.hashes[bucket] = (self.hashes[bucket] - _hash_item(key, text)) & _MASK

    def compute_root(self) -> int:
        """Return one hash over all buckets."""
        packed = b"".join(h.to_bytes(4, "big") for h in self.hashes)
        return zlib.crc32(packed)

    def find_differences(self, hashes: list[int]) -> set[int]:
        """Return the buckets in which ``hashes`` differs from this digest."""
        if len(hashes) != BUCKETS:
            return set(range(BUCKETS))
        return {i for i, h in enumerate(self.hashes) if h != hashes[i]}


def find_bucket(key: str) -> int:
    """Return the bucket of a key."""
    return zlib.crc32(key.encode()) % BUCKETS


def _hash_item(key: str, text: str) -> int:
    return zlib.crc32(f"{key}\x00{text}".encode())
