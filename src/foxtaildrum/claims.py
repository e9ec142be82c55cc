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

from .events import Persist, Rewrite, Send
from .records import (
    ClaimBatch,
    ClaimFetch,
    ClaimFinish,
    ClaimFinished,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
)

RETENTION_S = 86_400.0
MAX_CLAIMS = 100_000
MAX_STORED_BODY_BYTES = 65_536
CLAIM_TIMEOUT_S = 1.0
FINISH_TIMEOUT_S = 0.2
RECOVERY_WAIT_S = 5.0
FETCH_PERIOD_S = 0.5
BATCH_CLAIMS = 64
RUN_MARGIN_S = 2.0
SWEEP_PERIOD_S = 10.0
COMPACT_RECORDS = 50_000


class Verdict(enum.StrEnum):
    """What a claim led to."""

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    REUSED = "reused"
    UNAVAILABLE = "unavailable"


_PRECEDENCE = (Verdict.DONE, Verdict.REUSED, Verdict.RUNNING, Verdict.UNKNOWN)


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
        "run_until",
        "status",
    )

    def __init__(
        self, key: str, claim_id: str, digest: str, run_until: float, expires_at: float
    ) -> None:
        self.key = key
        self.claim_id = claim_id
        self.digest = digest
        self.run_until = run_until
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

    def judge(self, now: float) -> Verdict:
        """Return what a repeat of the request is told."""
        if self.status is None:
            return Verdict.RUNNING if now < self.run_until else Verdict.UNKNOWN
        return Verdict.DONE if self.status else Verdict.UNKNOWN


class _Write:
    __slots__ = ("sends",)

    def __init__(self) -> None:
        self.sends: list[Send] = []


class ClaimHolder:
    """Holds claims on the disk of one control instance.

    Parameters
    ----------
    members : list of str
        Every control instance.
    records : list
        Decoded journal records.
    now : float
        Present time in seconds.
    """

    def __init__(
        self, instance_id: str, members: list[str], disk_id: str, records: list[Any], now: float
    ) -> None:
        self.others = [m for m in members if m != instance_id]
        self.needed_reads = len(members) - (len(members) // 2 + 1) + 1 if self.others else 0
        self.disk_id = disk_id
        self.recovered = False
        self.failed = False
        self.claims: dict[str, Claim] = {}
        self._record_count = 0
        self._token = 0
        self._writes: dict[int, _Write] = {}
        self._batch: list[list[Any]] = []
        self._gated: list[Send] = []
        self._started_at = now
        self._fetch_at = now + RECOVERY_WAIT_S
        self._sweep_at = now
        self._cursors: dict[str, str] = {}
        self._read: set[str] = set()
        self._now = now
        for record in records:
            self._load(record)

    def take_first_formation(self) -> list[Persist | Rewrite | Send]:
        """Begin with no claims in a group that has just formed on new disks."""
        if self.recovered:
            return []
        self._mark_recovered()
        return self._flush()

    def tick(self, now: float) -> list[Persist | Rewrite | Send]:
        """Forget old claims and go on reading after a lost disk."""
        if self.failed:
            return []
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_PERIOD_S
            self._sweep(now)
        out: list[Any] = []
        if not self.recovered and not self.others:
            self._mark_recovered()
        if not self.recovered and now >= self._fetch_at:
            self._fetch_at = now + FETCH_PERIOD_S
            out += [self._fetch(peer) for peer in self.others if peer not in self._read]
        return out + self._flush()

    def take_request(
        self, now: float, peer: str, message: ClaimRequest
    ) -> list[Persist | Rewrite | Send]:
        """Record a claim or tell who has it."""
        verdict = self._judge_request(now, message)
        known = self.claims.get(message.key)
        reply = ClaimReply(
            key=message.key,
            claim_id=message.claim_id,
            verdict=verdict.value,
            status=0,
            headers=[],
            body=b"",
        )
        if verdict is Verdict.DONE and known is not None:
            reply.status = known.status
            reply.headers = known.headers
            reply.body = known.body
        self._gated.append(Send(peer, reply))
        return self._flush()

    def take_finish(
        self, now: float, peer: str, message: ClaimFinish
    ) -> list[Persist | Rewrite | Send]:
        """Store the answer to a claimed request."""
        if self.failed or not self.recovered:
            return []
        known = self.claims.get(message.key)
        if known is None:
            if len(self.claims) >= MAX_CLAIMS:
                return []
            known = Claim(message.key, message.claim_id, message.digest, now, now + RETENTION_S)
            self.claims[message.key] = known
        if known.claim_id == message.claim_id and not known.status:
            known.status = message.status
            known.headers = message.headers
            known.body = message.body
            self._persist(["claim", known.to_wire()])
        done = ClaimFinished(key=message.key, claim_id=message.claim_id)
        self._gated.append(Send(peer, done))
        return self._flush()

    def take_release(
        self, now: float, peer: str, message: ClaimRelease
    ) -> list[Persist | Rewrite | Send]:
        """Forget a claim whose request was not run."""
        known = self.claims.get(message.key)
        if self.failed or known is None or known.claim_id != message.claim_id:
            return []
        if known.status is None:
            del self.claims[message.key]
            self._persist(["release", message.key])
        return self._flush()

    def take_fetch(self, peer: str, message: ClaimFetch) -> list[Send]:
        """Give claims to a holder that lost its disk."""
        if self.failed or not self.recovered:
            return []
        keys = sorted(key for key in self.claims if key > message.after)[:BATCH_CLAIMS]
        batch = ClaimBatch(
            claims=[self.claims[key].to_wire() for key in keys],
            final=len(keys) < BATCH_CLAIMS,
            disk_id=message.disk_id,
        )
        return [Send(peer, batch)]

    def take_batch(
        self, now: float, peer: str, message: ClaimBatch
    ) -> list[Persist | Rewrite | Send]:
        """Take claims that another holder gave."""
        if self.recovered or self.failed or message.disk_id != self.disk_id:
            return []
        for fields in message.claims:
            claim = Claim.from_wire(now, fields)
            known = self.claims.get(claim.key)
            if known is None or (known.status is None and claim.status is not None):
                self.claims[claim.key] = claim
                self._persist(["claim", claim.to_wire()])
            self._cursors[peer] = max(self._cursors.get(peer, ""), claim.key)
        out: list[Any] = []
        if message.final:
            self._read.add(peer)
        else:
            out.append(self._fetch(peer))
        if len(self._read) >= self.needed_reads:
            self._mark_recovered()
        return out + self._flush()

    def take_persisted(self, token: int) -> list[Send]:
        """Release what waited for a sync."""
        write = self._writes.pop(token, None)
        return write.sends if write is not None else []

    def take_persist_failed(self) -> None:
        """Stop holding claims; nothing unsynced was told to anyone."""
        self.failed = True
        self._writes.clear()
        self._gated.clear()

    def _judge_request(self, now: float, message: ClaimRequest) -> Verdict:
        if self.failed or not self.recovered:
            return Verdict.UNAVAILABLE
        known = self.claims.get(message.key)
        if known is None:
            return self._record(now, message)
        if known.claim_id == message.claim_id and known.status is None:
            return Verdict.GRANTED
        if known.digest != message.digest:
            return Verdict.REUSED
        return known.judge(now)

    def _record(self, now: float, message: ClaimRequest) -> Verdict:
        if len(self.claims) >= MAX_CLAIMS:
            return Verdict.UNAVAILABLE
        run_until = now + message.left_s + RUN_MARGIN_S
        claim = Claim(
            message.key, message.claim_id, message.digest, run_until, now + RETENTION_S
        )
        self.claims[message.key] = claim
        self._persist(["claim", claim.to_wire()])
        return Verdict.GRANTED

    def _fetch(self, peer: str) -> Send:
        after = self._cursors.get(peer, "")
        return Send(peer, ClaimFetch(after=after, disk_id=self.disk_id))

    def _mark_recovered(self) -> None:
        self.recovered = True
        self._persist(["recovered"])

    def _sweep(self, now: float) -> None:
        for key in [k for k, c in self.claims.items() if c.expires_at <= now]:
            del self.claims[key]
            self._persist(["release", key])

    def _load(self, record: list[Any]) -> None:
        kind, *fields = record
        self._record_count += 1
        if kind == "batch":
            for item in fields:
                self._load(item)
        elif kind == "claim":
            claim = Claim.from_wire(self._now, fields[0])
            self.claims[claim.key] = claim
        elif kind == "release":
            self.claims.pop(fields[0], None)
        elif kind == "recovered":
            self.recovered = True

    def _persist(self, record: list[Any]) -> None:
        self._batch.append(record)

    def _flush(self) -> list[Persist | Rewrite | Send]:
        out: list[Persist | Rewrite | Send] = []
        if self._batch:
            out.append(self._build_write())
        if self._gated:
            gated, self._gated = self._gated, []
            if self._writes:
                self._writes[max(self._writes)].sends.extend(gated)
            else:
                out.extend(gated)
        return out

    def _build_write(self) -> Persist | Rewrite:
        self._token += 1
        self._writes[self._token] = _Write()
        batch, self._batch = self._batch, []
        self._record_count += len(batch)
        if self._record_count <= COMPACT_RECORDS + 2 * len(self.claims):
            return Persist(self._token, ["batch", *batch])
        records: list[list[Any]] = [["claim", c.to_wire()] for c in self.claims.values()]
        if self.recovered:
            records.append(["recovered"])
        self._record_count = len(records)
        return Rewrite(self._token, records)


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


class _Asking:
    """A claim that this instance is making."""

    __slots__ = ("claim_id", "decided", "give_up_at", "key", "replies", "token")

    def __init__(self, token: str, key: str, claim_id: str, give_up_at: float) -> None:
        self.token = token
        self.key = key
        self.claim_id = claim_id
        self.give_up_at = give_up_at
        self.replies: dict[str, ClaimReply] = {}
        self.decided = False


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


def compute_claim_key(idempotency_key: str) -> str:
    """Return the digest under which an idempotency key is claimed."""
    return hashlib.sha256(idempotency_key.encode()).hexdigest()[:32]
