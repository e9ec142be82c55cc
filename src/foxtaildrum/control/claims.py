"""Claims of idempotency keys, so that a request runs at most once.

The control instances hold the claims on disk. A request may run only after a quorum of
them has recorded its claim; any two quorums share a holder, so two requests with one
key cannot both get there. A holder that lost its disk grants nothing until it has read
the claims of enough others.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass
from typing import Any

RETENTION_S = 86_400.0


class Verdict(enum.StrEnum):
    """What a claim led to."""

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    REUSED = "reused"
    UNAVAILABLE = "unavailable"


class Claim:
    """One recorded claim.

    Attributes
    ----------
    status : int or None
        None while the request runs, 0 when its outcome is unknown, else the status
        of the stored answer.
    """

    __slots__ = (
        "body",
        "claim_id",
        "digest",
        "expires_at",
        "headers",
        "key",
        "run_deadline",
        "status",
    )

    def __init__(
        self, key: str, claim_id: str, digest: str, run_deadline: float, expires_at: float
    ) -> None:
        self.key = key
        self.claim_id = claim_id
        self.digest = digest
        self.run_deadline = run_deadline
        self.expires_at = expires_at
        self.status: int | None = None
        self.headers: list[Any] = []
        self.body = b""

    def to_wire(self) -> list[Any]:
        """Return the claim as a list that msgpack can encode."""
        return [self.key, self.claim_id, self.digest, self.status, self.headers, self.body]

    @classmethod
    def from_wire(cls, now: float, fields: list[Any]) -> Claim:
        """Build a claim from the list made by :meth:`to_wire`.

        Its time of retention starts anew: the clock of another life or instance says
        nothing about its age.
        """
        key, claim_id, digest, status, headers, body = fields
        claim = cls(key, claim_id, digest, now, now + RETENTION_S)
        claim.status = status
        claim.headers = headers
        claim.body = body
        return claim

    def decide_verdict(self, now: float) -> Verdict:
        """Return what a repeat of the request is told."""
        if self.status is None:
            return Verdict.RUNNING if now < self.run_deadline else Verdict.UNKNOWN
        return Verdict.DONE if self.status else Verdict.UNKNOWN


@dataclass(slots=True)
class ClaimOutcome:
    """What a claim led to, for the request thread.

    Parameters
    ----------
    status, headers, body
        Stored answer of the first request when the verdict is ``done``.
    """

    verdict: Verdict
    status: int = 0
    headers: list[Any] | None = None
    body: bytes = b""


def compute_claim_key(idempotency_key: str) -> str:
    """Return the digest under which an idempotency key is claimed."""
    return hashlib.sha256(idempotency_key.encode()).hexdigest()[:32]
