"""Claims of idempotency keys, so that a request runs at most once.

The control instances store the claims on disk as claim holders. A request may run only
after a quorum of holders has recorded its claim. Any two quorums have a holder in common,
so two requests with the same key can't both get a quorum. A holder that lost its disk
grants no claim until it has read the claims of enough other holders.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass
from typing import Any

RETENTION_S = 86_400.0


class Verdict(enum.StrEnum):
    """Result of a claim."""

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
        None while the request runs, 0 when its outcome is unknown, otherwise the HTTP
        status of the stored response.
    run_deadline : float
        Time by which the request has ended; a claim without a response is unknown after it.
    expires_at : float
        Time at which the claim is deleted.
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

        The retention period starts again at ``now``, because times of another process or
        another instance come from a different clock. A claim without an answer counts as
        unknown from ``now`` on.
        """
        key, claim_id, digest, status, headers, body = fields
        claim = cls(key, claim_id, digest, now, now + RETENTION_S)
        claim.status = status
        claim.headers = headers
        claim.body = body
        return claim

    def decide_verdict(self, now: float) -> Verdict:
        """Return the verdict for a repetition of the request."""
        if self.status is None:
            return Verdict.RUNNING if now < self.run_deadline else Verdict.UNKNOWN
        return Verdict.DONE if self.status else Verdict.UNKNOWN


@dataclass(slots=True)
class ClaimOutcome:
    """Result of a claim for the request thread that made it.

    Parameters
    ----------
    status, headers, body
        Stored response to the first request; only set when the verdict is ``done``.
    """

    verdict: Verdict
    status: int = 0
    headers: list[Any] | None = None
    body: bytes = b""


def compute_claim_key(idempotency_key: str) -> str:
    """Return the digest of an idempotency key, which is the key of its claim."""
    return hashlib.sha256(idempotency_key.encode()).hexdigest()[:32]
