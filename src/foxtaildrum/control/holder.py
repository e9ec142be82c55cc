"""Storage of claims on one control instance, without I/O."""

from __future__ import annotations

from typing import Any

from ..events import Persist, Rewrite, Send
from ..records import (
    ClaimBatch,
    ClaimFetch,
    ClaimFinish,
    ClaimFinished,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
)
from ..sizes import count_fitting, measure_record
from .claims import RETENTION_S, Claim, Verdict
from .gate import SyncGate

MAX_CLAIMS = 100_000
DISK_RETRY_PERIOD_S = 0.5
RECOVERY_WAIT_S = 5.0  # delay before a holder with a new disk reads the claims of others
FETCH_PERIOD_S = 0.5
BATCH_CLAIMS = 64
RUN_MARGIN_S = 2.0  # added to the time left of a request before its claim is unknown
SWEEP_PERIOD_S = 10.0
COMPACT_RECORDS = 50_000  # journal records beyond two per claim that cause a rewrite


class ClaimHolder:
    """Records claims and stores their answers on the disk of one control instance.

    A holder with a new disk grants nothing until it has read the claims of enough other
    holders; ``recovered`` is true after that.

    Parameters
    ----------
    members : list of str
        Identifiers of all control instances.
    disk_id : str
        Identifier of the disk of this instance.
    records : list
        Decoded journal records; empty for a new disk.
    now : float
        Current time in seconds.
    """

    def __init__(
        self, instance_id: str, members: list[str], disk_id: str, records: list[Any], now: float
    ) -> None:
        self.others = [m for m in members if m != instance_id]
        # Once this many other holders were read, every quorum includes at least one of them.
        self.needed_reads = len(members) - (len(members) // 2 + 1) + 1 if self.others else 0
        self.disk_id = disk_id
        self.recovered = False
        self.failed = False
        self._rewrite_at = now
        self.claims: dict[str, Claim] = {}
        self._record_count = 0
        self._gate = SyncGate()
        self._started_at = now
        self._fetch_at = now + RECOVERY_WAIT_S
        self._sweep_at = now
        self._cursors: dict[str, str] = {}
        self._read_peers: set[str] = set()
        self._now = now
        for record in records:
            self._load(record)

    def list_awaited(self) -> list[str]:
        """Return the holders whose claims this recovering holder has not read yet."""
        if self.recovered:
            return []
        return [peer for peer in self.others if peer not in self._read_peers]

    def handle_founding_disk(self) -> list[Persist | Rewrite | Send]:
        """Mark this holder as recovered: its disk formed the group, before any claim."""
        if self.recovered:
            return []
        self._mark_recovered()
        return self._flush()

    def tick(self, now: float) -> list[Persist | Rewrite | Send]:
        """Delete expired claims; while recovering, request claims from other holders."""
        if self.failed:
            return self._rewrite(now)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_PERIOD_S
            self._sweep(now)
        actions: list[Any] = []
        if not self.recovered and not self.others:
            self._mark_recovered()
        if not self.recovered and now >= self._fetch_at:
            self._fetch_at = now + FETCH_PERIOD_S
            actions += [self._build_fetch(peer) for peer in self.list_awaited()]
        return actions + self._flush()

    def handle_request(
        self, now: float, peer: str, message: ClaimRequest
    ) -> list[Persist | Rewrite | Send]:
        """Record a claim, or reply with the state of the claim that holds the key."""
        verdict = self._decide_request_verdict(now, message)
        existing = self.claims.get(message.key)
        reply = ClaimReply(
            key=message.key,
            claim_id=message.claim_id,
            verdict=verdict.value,
            status=0,
            headers=[],
            body=b"",
        )
        if verdict is Verdict.DONE and existing is not None:
            reply.status = existing.status
            reply.headers = existing.headers
            reply.body = existing.body
        self._gate.hold(Send(peer, reply))
        return self._flush()

    def handle_finish(
        self, now: float, peer: str, message: ClaimFinish
    ) -> list[Persist | Rewrite | Send]:
        """Store the answer to the request of a claim."""
        if self.failed or not self.recovered:
            return []
        existing = self.claims.get(message.key)
        if existing is None:
            if len(self.claims) >= MAX_CLAIMS:
                return []
            existing = Claim(
                message.key, message.claim_id, message.digest, now, now + RETENTION_S
            )
            self.claims[message.key] = existing
        if existing.claim_id == message.claim_id and not existing.status:
            existing.status = message.status
            existing.headers = message.headers
            existing.body = message.body
            self._persist(["claim", existing.to_wire()])
        done = ClaimFinished(key=message.key, claim_id=message.claim_id)
        self._gate.hold(Send(peer, done))
        return self._flush()

    def handle_release(
        self, now: float, peer: str, message: ClaimRelease
    ) -> list[Persist | Rewrite | Send]:
        """Delete a claim whose request was not run."""
        existing = self.claims.get(message.key)
        if self.failed or existing is None or existing.claim_id != message.claim_id:
            return []
        if existing.status is None:
            del self.claims[message.key]
            self._persist(["release", message.key])
        return self._flush()

    def handle_fetch(self, peer: str, message: ClaimFetch) -> list[Send]:
        """Send a batch of claims to a holder that lost its disk."""
        if self.failed or not self.recovered:
            return []
        later_keys = sorted(key for key in self.claims if key > message.after)
        claims = [self.claims[key].to_wire() for key in later_keys[:BATCH_CLAIMS]]
        count = count_fitting(map(measure_record, claims))
        batch = ClaimBatch(
            claims=claims[:count],
            final=count == len(later_keys),
            disk_id=message.disk_id,
        )
        return [Send(peer, batch)]

    def handle_batch(
        self, now: float, peer: str, message: ClaimBatch
    ) -> list[Persist | Rewrite | Send]:
        """Store the claims that another holder sent to this recovering one."""
        if self.recovered or self.failed or message.disk_id != self.disk_id:
            return []
        for fields in message.claims:
            claim = Claim.from_wire(now, fields)
            existing = self.claims.get(claim.key)
            if existing is None or (existing.status is None and claim.status is not None):
                self.claims[claim.key] = claim
                self._persist(["claim", claim.to_wire()])
            self._cursors[peer] = max(self._cursors.get(peer, ""), claim.key)
        actions: list[Any] = []
        if message.final:
            self._read_peers.add(peer)
        else:
            actions.append(self._build_fetch(peer))
        if len(self._read_peers) >= self.needed_reads:
            self._mark_recovered()
        return actions + self._flush()

    def handle_persisted(self, token: int) -> list[Send]:
        """Return the messages that waited for the sync of this write."""
        write = self._gate.pop_synced(token)
        if write is None:
            return []
        self.failed = False
        return write.sends

    def handle_persist_failed(self, now: float, token: int) -> None:
        """Refuse all claims until the disk takes what this holder has in memory.

        No reply was sent for a record that is not synced.
        """
        if self.failed and self._gate.pop_synced(token) is None:
            return
        self.failed = True
        self._rewrite_at = now + DISK_RETRY_PERIOD_S
        self._gate.clear()

    def _rewrite(self, now: float) -> list[Persist | Rewrite | Send]:
        """Write all records again, unless that is under way or was tried just before."""
        if now < self._rewrite_at or self._gate.writes:
            return []
        records = self._build_journal_records()
        self._record_count = len(records)
        return self._gate.flush(self._record_count, records)

    def _decide_request_verdict(self, now: float, message: ClaimRequest) -> Verdict:
        if self.failed or not self.recovered:
            return Verdict.UNAVAILABLE
        existing = self.claims.get(message.key)
        if existing is None:
            return self._record_claim(now, message)
        if existing.claim_id == message.claim_id and existing.status is None:
            return Verdict.GRANTED
        if existing.digest != message.digest:
            return Verdict.REUSED
        return existing.decide_verdict(now)

    def _record_claim(self, now: float, message: ClaimRequest) -> Verdict:
        if len(self.claims) >= MAX_CLAIMS:
            return Verdict.UNAVAILABLE
        run_deadline = now + message.left_s + RUN_MARGIN_S
        claim = Claim(
            message.key, message.claim_id, message.digest, run_deadline, now + RETENTION_S
        )
        self.claims[message.key] = claim
        self._persist(["claim", claim.to_wire()])
        return Verdict.GRANTED

    def _build_fetch(self, peer: str) -> Send:
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
        self._gate.add_record(record)

    def _flush(self) -> list[Persist | Rewrite | Send]:
        self._record_count += self._gate.count_records()
        rewritten = None
        if self._record_count > COMPACT_RECORDS + 2 * len(self.claims):
            rewritten = self._build_journal_records()
            self._record_count = len(rewritten)
        return self._gate.flush(self._record_count, rewritten, is_compaction=True)

    def _build_journal_records(self) -> list[list[Any]]:
        records: list[list[Any]] = [["claim", c.to_wire()] for c in self.claims.values()]
        if self.recovered:
            records.append(["recovered"])
        return records
