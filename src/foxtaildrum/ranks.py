"""Ranks for rendezvous hashing, equal on every instance."""

from __future__ import annotations

import hashlib

RANK_BYTES = 8


def compute_rank(first: str, second: str) -> bytes:
    """Return the rank of a pair of identifiers; ranks of different pairs are independent."""
    return hashlib.blake2b(f"{first} {second}".encode(), digest_size=RANK_BYTES).digest()
