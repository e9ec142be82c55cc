"""The proof that stand-in upstreams put on their answers, and that callers check."""

from __future__ import annotations

import hashlib


def digest(body: bytes) -> str:
    return hashlib.sha1(body, usedforsecurity=False).hexdigest()[:16]


class Proof:
    """What ``X-Response-Signature`` says of the answer that it was made for."""

    __slots__ = ("body_hash", "length", "request_id", "status", "upstream_id")

    def __init__(
        self, upstream_id: str, request_id: str, status: int, length: int, body_hash: str
    ) -> None:
        self.upstream_id = upstream_id
        self.request_id = request_id
        self.status = status
        self.length = length
        self.body_hash = body_hash

    @classmethod
    def build(cls, upstream_id: str, request_id: str, status: int, body: bytes) -> Proof:
        return cls(upstream_id, request_id, status, len(body), digest(body))

    @classmethod
    def parse(cls, value: str) -> Proof | None:
        """Return the proof that a header holds; None if it holds none."""
        parts = value.split(".")
        if len(parts) != 5 or not parts[2].isdigit() or not parts[3].isdigit():
            return None
        return cls(parts[0], parts[1], int(parts[2]), int(parts[3]), parts[4])

    def format(self) -> str:
        fields = (self.upstream_id, self.request_id, self.status, self.length, self.body_hash)
        return ".".join(str(f) for f in fields)
