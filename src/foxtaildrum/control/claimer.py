"""Maker of claims for the requests of one instance, without I/O."""

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

_PRECEDENCE = (Verdict.DONE, Verdict.REUSED, Verdict.RUNNING, Verdict.UNKNOWN)


class _Asking:
    """A claim that this instance is making."""

    __slots__ = ("claim_id", "give_up_at", "key", "replies", "token")

    def __init__(self, token: str, key: str, claim_id: str, give_up_at: float) -> None:
        self.token = token
        self.key = key
        self.claim_id = claim_id
        self.give_up_at = give_up_at
        self.replies: dict[str, ClaimReply] = {}


class _Finishing:
    """An answer that this instance is storing."""

    __slots__ = ("give_up_at", "stored", "token")

    def __init__(self, token: str, give_up_at: float) -> None:
        self.token = token
        self.give_up_at = give_up_at
        self.stored: set[str] = set()


@dataclass(slots=True)
class ClaimSettled:
    """A claim, or the storing of an answer, has come to its end."""

    token: str
    outcome: ClaimOutcome


class Claimer:
    """Makes claims for the requests of one instance.

    Parameters
    ----------
    holders : list of str
        Every control instance.
    """

    def __init__(self, holders: list[str]) -> None:
        self.holders = holders
        self.quorum = len(holders) // 2 + 1
        self._asking: dict[str, _Asking] = {}
        self._finishing: dict[str, _Finishing] = {}

    def ask(self, now: float, token: str, key: str, digest: str, left_s: float) -> list[Send]:
        """Ask every holder to record a claim; ``token`` names the claim."""
        give_up_at = now + min(CLAIM_TIMEOUT_S, left_s)
        self._asking[token] = _Asking(token, key, token, give_up_at)
        request = ClaimRequest(key=key, claim_id=token, digest=digest, left_s=left_s)
        return [Send(holder, request) for holder in self.holders]

    def take_reply(
        self, now: float, peer: str, message: ClaimReply
    ) -> list[Send | ClaimSettled]:
        """Count a holder's answer."""
        asking = self._asking.get(message.claim_id)
        if asking is None or peer not in self.holders or message.key != asking.key:
            return []
        if now >= asking.give_up_at:
            return self._give_up(asking)
        asking.replies[peer] = message
        granted = self._count(asking, Verdict.GRANTED)
        if granted >= self.quorum:
            del self._asking[asking.token]
            return [ClaimSettled(asking.token, ClaimOutcome(Verdict.GRANTED))]
        open_replies = len(self.holders) - len(asking.replies)
        if granted + open_replies < self.quorum:
            return self._give_up(asking)
        return []

    def tick(self, now: float) -> list[Send | ClaimSettled]:
        """Give up what waited too long."""
        out: list[Send | ClaimSettled] = []
        for asking in [a for a in self._asking.values() if now >= a.give_up_at]:
            out += self._give_up(asking)
        for claim_id, item in list(self._finishing.items()):
            if now >= item.give_up_at:
                del self._finishing[claim_id]
                out.append(ClaimSettled(item.token, ClaimOutcome(Verdict.UNKNOWN)))
        return out

    def finish(self, now: float, token: str, message: ClaimFinish) -> list[Send]:
        """Store an answer with every holder."""
        self._finishing[message.claim_id] = _Finishing(token, now + FINISH_TIMEOUT_S)
        return [Send(holder, message) for holder in self.holders]

    def take_finished(self, peer: str, message: ClaimFinished) -> list[ClaimSettled]:
        """Count a holder that stored an answer."""
        item = self._finishing.get(message.claim_id)
        if item is None:
            return []
        item.stored.add(peer)
        if len(item.stored) < self.quorum:
            return []
        del self._finishing[message.claim_id]
        return [ClaimSettled(item.token, ClaimOutcome(Verdict.DONE))]

    def release(self, key: str, claim_id: str) -> list[Send]:
        """Give back a claim whose request was not run."""
        message = ClaimRelease(key=key, claim_id=claim_id)
        return [Send(holder, message) for holder in self.holders]

    def _count(self, asking: _Asking, verdict: Verdict) -> int:
        return sum(r.verdict == verdict for r in asking.replies.values())

    def _give_up(self, asking: _Asking) -> list[Send | ClaimSettled]:
        del self._asking[asking.token]
        out: list[Send | ClaimSettled] = []
        out += self.release(asking.key, asking.claim_id)
        out.append(ClaimSettled(asking.token, self._judge(asking)))
        return out

    def _judge(self, asking: _Asking) -> ClaimOutcome:
        for verdict in _PRECEDENCE:
            for reply in asking.replies.values():
                if reply.verdict == verdict:
                    return ClaimOutcome(verdict, reply.status, reply.headers, reply.body)
        return ClaimOutcome(Verdict.UNAVAILABLE)
