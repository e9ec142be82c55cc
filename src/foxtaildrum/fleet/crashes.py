"""Crashes of upstreams under requests, as a mergeable map of soft state.

An instance that loses an answer because the upstream ended reports the fingerprint of the
request and the start of the upstream. A request under which several upstreams ended is refused
by every instance. Many requests may run in an upstream that crashes, so a crash counts only
against those of its requests under which the most upstreams ended, and an answer removes what
was reported before it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

import msgspec

from ..validation import is_printable
from .digest import BucketDigest, find_bucket

MAX_CRASHES = 3
RECORD_TTL_S = 600.0
MAX_RECORDS = 1_000
MAX_STARTS = 64
# Characters of the digest of a request's head, with which its fingerprint begins.
HEAD_DIGEST_CHARS = 16
MAX_FINGERPRINT_CHARS = 64
MAX_START_CHARS = 300


def describe_start(upstream_id: str, incarnation: int) -> str:
    """Return the name of one start of an upstream."""
    return f"{upstream_id}.{incarnation}"


# Fingerprint, epoch, starts and remaining time in seconds.
_WireRecord = tuple[str, int, list[str], float]


class CrashRecord:
    """Upstreams that ended while they ran one request.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    epoch : int
        Number of times that the request was answered after reports. A higher one replaces
        the starts of a lower one.
    starts : frozenset of str
        Starts of upstreams that ended, as :func:`describe_start` names them.
    expires_at : float
        Local time after which the record is dropped, in seconds.
    """

    __slots__ = ("epoch", "expires_at", "fingerprint", "starts")

    def __init__(
        self, fingerprint: str, epoch: int, starts: frozenset[str], expires_at: float
    ) -> None:
        self.fingerprint = fingerprint
        self.epoch = epoch
        self.starts = starts
        self.expires_at = expires_at

    def describe(self) -> str:
        """Return the content that instances compare."""
        return f"{self.epoch} {' '.join(sorted(self.starts))}"

    def to_wire(self, now: float) -> list[Any]:
        """Return the record as a list that msgpack can encode."""
        remaining_s = round(max(0.0, self.expires_at - now), 3)
        return [self.fingerprint, self.epoch, sorted(self.starts), remaining_s]

    @classmethod
    def from_wire(cls, now: float, fields: list[Any]) -> CrashRecord:
        """Build a record from the list made by :meth:`to_wire`."""
        fingerprint, epoch, starts, remaining_s = msgspec.convert(fields, _WireRecord)
        if not 0 < len(fingerprint) <= MAX_FINGERPRINT_CHARS or not 0 <= epoch < 2**31:
            raise ValueError("a crash record is out of range")
        if not is_printable(fingerprint, MAX_FINGERPRINT_CHARS):
            raise ValueError("invalid fingerprint")
        if len(starts) > MAX_STARTS or not all(
            is_printable(s, MAX_START_CHARS) for s in starts
        ):
            raise ValueError("a crash record has too many upstreams")
        if not 0 <= remaining_s < math.inf:
            raise ValueError(f"invalid time {remaining_s!r}")
        expires_at = now + min(remaining_s, RECORD_TTL_S)
        return cls(fingerprint, epoch, frozenset(starts), expires_at)


class CrashView:
    """What request threads know about crashes; replaced as a whole when it changes.

    Parameters
    ----------
    records : iterable of CrashRecord
        Records with reported crashes.
    """

    __slots__ = ("_heads", "_starts_by_fingerprint")

    def __init__(self, records: Iterable[CrashRecord] = ()) -> None:
        blamed = _list_blamed(list(records))
        self._starts_by_fingerprint = blamed
        self._heads = frozenset(f[:HEAD_DIGEST_CHARS] for f in blamed)

    @property
    def is_empty(self) -> bool:
        """Whether no crash is known."""
        return not self._heads

    def may_know(self, head_digest: str) -> bool:
        """Return whether a request with this head may have been reported."""
        return head_digest in self._heads

    def get_starts(self, fingerprint: str) -> frozenset[str] | None:
        """Return the starts whose ends count against a request; None if none was reported."""
        return self._starts_by_fingerprint.get(fingerprint)

    def list_refused(self) -> list[str]:
        """Return the fingerprints of the requests that are refused."""
        return [f for f, s in self._starts_by_fingerprint.items() if len(s) >= MAX_CRASHES]


class CrashList:
    """Mergeable map of crash records by fingerprint.

    Attributes
    ----------
    version : int
        Number of changes so far.
    """

    __slots__ = ("_pending", "_records", "digest", "version")

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        self._pending: dict[str, CrashRecord] = {}
        self.digest = BucketDigest()
        self.version = 0

    def report(self, now: float, fingerprint: str, start: str) -> None:
        """Record that an upstream ended while it ran a request."""
        known = self._records.get(fingerprint)
        starts = known.starts if known else frozenset()
        if start in starts or len(starts) >= MAX_STARTS:
            return
        epoch = known.epoch if known else 0
        self._store(CrashRecord(fingerprint, epoch, starts | {start}, now + RECORD_TTL_S))

    def clear(self, now: float, fingerprint: str) -> None:
        """Record that an upstream answered a request, so that its earlier reports are void."""
        known = self._records.get(fingerprint)
        if known is not None and known.starts:
            expires_at = now + RECORD_TTL_S
            self._store(CrashRecord(fingerprint, known.epoch + 1, frozenset(), expires_at))

    def merge(self, now: float, record: CrashRecord) -> None:
        """Merge a record of another instance, unless its time is over."""
        if record.expires_at <= now:
            return
        known = self._records.get(record.fingerprint)
        if known is None:
            self._store(record)
            return
        if record.epoch < known.epoch:
            return
        if record.epoch == known.epoch:
            known.expires_at = max(known.expires_at, record.expires_at)
            missing = sorted(record.starts - known.starts)[: MAX_STARTS - len(known.starts)]
            if not missing:
                return
            starts = known.starts | frozenset(missing)
            record = CrashRecord(known.fingerprint, known.epoch, starts, known.expires_at)
        self._store(record)

    def expire(self, now: float) -> None:
        """Drop the records whose time is over."""
        for record in [r for r in self._records.values() if r.expires_at <= now]:
            self._drop(record)

    def pop_updates(self) -> list[CrashRecord]:
        """Return and clear the records that changed."""
        updates = list(self._pending.values())
        self._pending.clear()
        return updates

    def list_in_buckets(self, buckets: set[int]) -> list[CrashRecord]:
        """Return the records whose fingerprint falls in one of ``buckets``."""
        return [r for r in self._records.values() if find_bucket(r.fingerprint) in buckets]

    def build_view(self) -> CrashView:
        """Return what request threads need to know."""
        return CrashView(r for r in self._records.values() if r.starts)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def _store(self, record: CrashRecord) -> None:
        known = self._records.get(record.fingerprint)
        if known is None and len(self._records) >= MAX_RECORDS:
            # The same choice on every instance, so that their lists stay equal.
            least = min(self._records.values(), key=_get_eviction_key)
            if _get_eviction_key(record) <= _get_eviction_key(least):
                return
            self._drop(least)
        if known is not None:
            self.digest.remove(known.fingerprint, known.describe())
        self._records[record.fingerprint] = record
        self._pending[record.fingerprint] = record
        self.digest.add(record.fingerprint, record.describe())
        self.version += 1

    def _drop(self, record: CrashRecord) -> None:
        del self._records[record.fingerprint]
        self._pending.pop(record.fingerprint, None)
        self.digest.remove(record.fingerprint, record.describe())
        self.version += 1


def _list_blamed(records: list[CrashRecord]) -> dict[str, frozenset[str]]:
    """Return, for each request, the starts whose ends no other request explains better."""
    most_by_start: dict[str, int] = {}
    for record in records:
        for start in record.starts:
            most_by_start[start] = max(most_by_start.get(start, 0), len(record.starts))
    return {
        r.fingerprint: frozenset(s for s in r.starts if most_by_start[s] == len(r.starts))
        for r in records
    }


def _get_eviction_key(record: CrashRecord) -> tuple[int, str]:
    return (len(record.starts), record.fingerprint)
