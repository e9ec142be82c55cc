"""Claims of idempotency keys, as request threads use them."""

from __future__ import annotations

import hashlib
from typing import IO, Protocol

from ..control.claims import ClaimOutcome
from ..kinds import Outcome
from .relays import ErrorResponse, UpstreamResponse
from .transport import CHUNK_BYTES

MAX_STORED_BODY_BYTES = 65_536
UNKNOWN_OUTCOME_STATUS = 0


class GrantedClaim(Protocol):
    """A granted claim, completed once the request has its result."""

    def complete(self, result: ErrorResponse | UpstreamResponse) -> None:
        """Release the claim if the request was not run; otherwise store its response."""


class ClaimService(Protocol):
    """Claims idempotency keys for request threads; blocks until the claim is decided."""

    def claim(
        self, key: str, digest: str, remaining_s: float
    ) -> tuple[GrantedClaim, ClaimOutcome]:
        """Claim an idempotency key for a request that has ``remaining_s`` seconds left."""


class StoredResponse:
    """Response to a claimed request, as it is stored with the claim.

    Parameters
    ----------
    status : int
        Status of the response; 0 if the outcome of the request is unknown or the body was
        not buffered or is too large to store.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @classmethod
    def from_result(cls, result: ErrorResponse | UpstreamResponse) -> StoredResponse | None:
        """Return the response to store, or None if the request was not run."""
        if isinstance(result, ErrorResponse):
            if result.outcome is Outcome.NOT_RUN:
                return None
            return cls(UNKNOWN_OUTCOME_STATUS, [], b"")
        if result.buffered_body is None or len(result.buffered_body) > MAX_STORED_BODY_BYTES:
            return cls(UNKNOWN_OUTCOME_STATUS, [], b"")
        return cls(result.head.status, result.head.headers, result.buffered_body)


def compute_request_digest(method: str, target: str, body: IO[bytes]) -> str:
    """Return a digest that is equal for a repetition of the same request."""
    digest = hashlib.sha256(f"{method} {target}\n".encode())
    body.seek(0)
    while chunk := body.read(CHUNK_BYTES):
        digest.update(chunk)
    body.seek(0)
    return digest.hexdigest()[:32]
