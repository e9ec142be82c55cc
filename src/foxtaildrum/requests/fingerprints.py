"""Fingerprints by which a request is recognised when the same caller sends it again."""

from __future__ import annotations

import hashlib

from ..fleet.crashes import HEAD_DIGEST_CHARS
from .transport import CHUNK_BYTES, OutgoingRequest

DIGEST_BYTES = HEAD_DIGEST_CHARS // 2
# Headers that identify the caller: the same target may mean other work for another caller. The
# address is none of them, since one caller may use many.
_CALLER_HEADERS = ("Authorization", "Cookie")


def compute_head_digest(request: OutgoingRequest) -> str:
    """Return a digest of the method, host, target and caller of a request."""
    headers = request.headers
    parts = [request.method, headers.get("Host", ""), request.target, str(request.length)]
    parts += [headers.get(name, "") for name in _CALLER_HEADERS]
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(f"{len(part)}:{part}".encode())
    return digest.hexdigest()


def compute_fingerprint(request: OutgoingRequest, head_digest: str) -> str:
    """Return the digest of a whole request: that of its head, and that of its body."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    if request.body is not None:
        request.body.seek(0)
        while chunk := request.body.read(CHUNK_BYTES):
            digest.update(chunk)
        request.body.seek(0)
    return head_digest + digest.hexdigest()
