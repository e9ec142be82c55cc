"""Claims idempotency keys with the holders for the requests of one instance, without I/O."""

from __future__ import annotations

from dataclasses import dataclass

from ..events import Send
from ..records import (
    ClaimFinish,
    ClaimFinished,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
)
from .claims import ClaimOutcome, Verdict

CLAIM_TIMEOUT_S = 1.0
FINISH_TIMEOUT_S = 0.2

# Verdict of a claim that no quorum granted: the first of these that any holder replied.
_VERDICT_PRECEDENCE = (Verdict.DONE, Verdict.REUSED, Verdict.RUNNING, Verdict.UNKNOWN)


class _PendingClaim:
    """A claim that waits for the replies of the holders."""

    __slots__ = ("claim_id", "deadline", "key", "replies", "token")

    def __init__(self, token: str, key: str, claim_id: str, deadline: float) -> None:
        self.token = token
        self.key = key
        self.claim_id = claim_id
        self.deadline = deadline
        self.replies: dict[str, ClaimReply] = {}


class _PendingFinish:
    """An answer that waits until a quorum of holders has stored it."""

    __slots__ = ("deadline", "stored", "token")

    def __init__(self, token: str, deadline: float) -> None:
        self.token = token
        self.deadline = deadline
        self.stored: set[str] = set()


@dataclass(slots=True)
class ClaimCompleted:
    """A claim, or the storing of an answer, has completed, failed or timed out."""

    token: str
    outcome: ClaimOutcome


class Claimer:
    """Sends claims to the holders and counts their replies.

    Parameters
    ----------
    holders : list of str
        Identifiers of all control instances, which store the claims.
    """

    def __init__(self, holders: list[str]) -> None:
        self.holders = holders
        self.quorum = len(holders) // 2 + 1
        self._pending_claims: dict[str, _PendingClaim] = {}
        self._pending_finishes: dict[str, _PendingFinish] = {}

    def request_claim(
        self, now: float, token: str, key: str, digest: str, remaining_s: float
    ) -> list[Send]:
        """Request a claim from every holder; ``token`` becomes the identifier of the claim."""
        deadline = now + min(CLAIM_TIMEOUT_S, remaining_s)
        self._pending_claims[token] = _PendingClaim(token, key, token, deadline)
        request = ClaimRequest(key=key, claim_id=token, digest=digest, left_s=remaining_s)
        return [Send(holder, request) for holder in self.holders]

    def handle_reply(
        self, now: float, peer: str, message: ClaimReply
    ) -> list[Send | ClaimCompleted]:
        """Count the reply of a holder and complete the claim once the result is certain."""
        pending = self._pending_claims.get(message.claim_id)
        if pending is None or peer not in self.holders or message.key != pending.key:
            return []
        if now >= pending.deadline:
            return self._fail_claim(pending)
        pending.replies[peer] = message
        granted = self._count(pending, Verdict.GRANTED)
        if granted >= self.quorum:
            del self._pending_claims[pending.token]
            return [ClaimCompleted(pending.token, ClaimOutcome(Verdict.GRANTED))]
        outstanding_replies = len(self.holders) - len(pending.replies)
        if granted + outstanding_replies < self.quorum:
            return self._fail_claim(pending)
        return []

    def tick(self, now: float) -> list[Send | ClaimCompleted]:
        """Complete the pending claims and finishes whose deadline has passed."""
        actions: list[Send | ClaimCompleted] = []
        for pending in [a for a in self._pending_claims.values() if now >= a.deadline]:
            actions += self._fail_claim(pending)
        for claim_id, pending_finish in list(self._pending_finishes.items()):
            if now >= pending_finish.deadline:
                del self._pending_finishes[claim_id]
                actions.append(
                    ClaimCompleted(pending_finish.token, ClaimOutcome(Verdict.UNKNOWN))
                )
        return actions

    def finish(self, now: float, token: str, message: ClaimFinish) -> list[Send]:
        """Send the answer to every holder to be stored."""
        self._pending_finishes[message.claim_id] = _PendingFinish(token, now + FINISH_TIMEOUT_S)
        return [Send(holder, message) for holder in self.holders]

    def handle_finished(self, peer: str, message: ClaimFinished) -> list[ClaimCompleted]:
        """Count a holder that has stored the answer."""
        pending_finish = self._pending_finishes.get(message.claim_id)
        if pending_finish is None:
            return []
        pending_finish.stored.add(peer)
        if len(pending_finish.stored) < self.quorum:
            return []
        del self._pending_finishes[message.claim_id]
        return [ClaimCompleted(pending_finish.token, ClaimOutcome(Verdict.DONE))]

    def release(self, key: str, claim_id: str) -> list[Send]:
        """Release a claim whose request was not run."""
        message = ClaimRelease(key=key, claim_id=claim_id)
        return [Send(holder, message) for holder in self.holders]

    def _count(self, pending: _PendingClaim, verdict: Verdict) -> int:
        return sum(r.verdict == verdict for r in pending.replies.values())

    def _fail_claim(self, pending: _PendingClaim) -> list[Send | ClaimCompleted]:
        del self._pending_claims[pending.token]
        actions: list[Send | ClaimCompleted] = []
        actions += self.release(pending.key, pending.claim_id)
        actions.append(ClaimCompleted(pending.token, self._decide_outcome(pending)))
        return actions

    def _decide_outcome(self, pending: _PendingClaim) -> ClaimOutcome:
        for verdict in _VERDICT_PRECEDENCE:
            for reply in pending.replies.values():
                if reply.verdict == verdict:
                    return ClaimOutcome(verdict, reply.status, reply.headers, reply.body)
        return ClaimOutcome(Verdict.UNAVAILABLE)
