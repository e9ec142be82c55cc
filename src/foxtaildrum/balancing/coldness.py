"""Cold upstreams of one pool as one instance sees them, without I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..fleet.upstreams import READY
from ..records import Pool
from .candidates import UpstreamLoad
from .warmup import Warmup, WarmupLimit, extends_period

REPORT_INTERVAL_S = 0.25
DEFAULT_OVERSHOOT = 1.0


@dataclass(slots=True)
class ColdnessChange:
    """The begin or the end of a cold period.

    Parameters
    ----------
    left_s : float or None
        Rest of the period that begins, in seconds; None for an end.
    share : int
        Requests that this instance may send in each window.
    """

    upstream_id: str
    left_s: float | None = None
    share: int = 0


class ColdUpstreams:
    """Applies cold periods to the upstreams of a pool whose row limits requests to them.

    Where the row sets no limit, nothing is recorded.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.

    Attributes
    ----------
    limit : WarmupLimit or None
        Requests of all instances together; None if the row of the pool sets none.
    """

    __slots__ = (
        "_changes",
        "_cold",
        "_instance_id",
        "_is_stale",
        "_overshoot",
        "_pool",
        "_slack",
        "_starts_at",
        "_zones",
        "limit",
    )

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._cold: dict[str, UpstreamLoad] = {}
        self._changes: list[ColdnessChange] = []
        self._zones: Mapping[str, str] = {}
        self._overshoot = DEFAULT_OVERSHOOT
        self._slack = 0.0
        self._pool: Pool | None = None
        self._starts_at: float | None = None
        self._is_stale = False
        self.limit: WarmupLimit | None = None

    @property
    def count(self) -> int:
        """Number of cold upstreams."""
        return len(self._cold)

    @property
    def any_cold(self) -> bool:
        """Whether an upstream is cold."""
        return bool(self._cold)

    @property
    def has_changes(self) -> bool:
        """Whether a cold period has begun or ended since the last :meth:`pop_changes`."""
        return bool(self._changes)

    def list_cold(self) -> list[UpstreamLoad]:
        """Return the cold upstreams."""
        return list(self._cold.values())

    def configure(self, pool: Pool) -> None:
        """Apply the row of the pool; existing shares change with the next :meth:`refresh`."""
        self._pool = pool
        self.limit = WarmupLimit.from_pool(pool, self._overshoot, self._slack)
        self._is_stale = True
        if self.limit is None:
            for upstream in self.list_cold():
                self._end(upstream)
                upstream.listed_cold_until = None
            self._starts_at = None

    def set_bounds(self, overshoot: float, slack: float) -> None:
        """Set the bound; the parameters are those of :meth:`WarmupLimit.from_pool`."""
        self._overshoot = overshoot
        self._slack = slack
        if self._pool is not None:
            self.configure(self._pool)

    def set_zones(self, now: float, zones: Mapping[str, str]) -> None:
        """Set the entry instances that have not left, with their availability zones."""
        if zones == self._zones:
            return
        self._zones = dict(zones)
        self._is_stale = True
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Apply a changed limit or changed members to the upstreams that are cold."""
        if self.limit is None or not self._is_stale:
            return
        self._is_stale = False
        if self._starts_at is None:
            # Before its start, another process of this instance may have sent requests.
            self._starts_at = now + self.limit.window_s
        for upstream in self._cold.values():
            upstream.warmup.update_share(now, self.limit, self._zones)

    def apply_entry(
        self, now: float, upstream: UpstreamLoad, listed: float | None, is_new_start: bool
    ) -> None:
        """Apply what the upstream list states.

        Parameters
        ----------
        listed : float or None
            Time until which the upstream is cold, in seconds; None if the list has none.
        is_new_start : bool
            Whether the upstream has started since this instance had its first list.
        """
        if self.limit is None:
            return
        if is_new_start:
            upstream.listed_cold_until = listed
            until = now + self._pool.warmup_s if listed is None else listed
            if until > now:
                self._begin(now, upstream, until, has_sent=False)
            else:
                self._end(upstream)
        elif listed is not None and extends_period(upstream.listed_cold_until, listed):
            upstream.listed_cold_until = listed
            if listed > now:
                self._begin(now, upstream, listed, has_sent=True)

    def record_check(self, now: float, upstream: UpstreamLoad, left_s: float | None) -> bool:
        """Apply the response to a status check; return whether to report it to the fleet.

        Parameters
        ----------
        left_s : float or None
            Rest of the cold period, in seconds; None if the upstream states none.
        """
        if self.limit is None:
            return False
        if not left_s:
            self._end(upstream)
            return False
        until = now + left_s
        self._begin(now, upstream, until, has_sent=True)
        if not extends_period(upstream.listed_cold_until, until):
            return False
        if now - upstream.warmup_reported_at < REPORT_INTERVAL_S:
            return False
        upstream.warmup_reported_at = now
        return True

    def presume(self, now: float, upstreams: Iterable[UpstreamLoad]) -> None:
        """Count upstreams as cold for ``warmup_s`` of the pool.

        The list or a status check ends or replaces the presumed period.
        """
        if self.limit is None or not self._pool.warmup_s:
            return
        until = now + self._pool.warmup_s
        for upstream in upstreams:
            known = upstream.warmup
            if known is None or known.cold_until < until:
                self._begin(now, upstream, until, has_sent=True)
                upstream.warmup.is_presumed = True

    def expire(self, now: float) -> None:
        """End the cold periods that are over."""
        for upstream in self.list_cold():
            if upstream.warmup.cold_until <= now:
                self._end(upstream)

    def forget(self, upstream: UpstreamLoad) -> None:
        """Drop an upstream that is gone from the list."""
        self._end(upstream)

    def pop_changes(self) -> list[ColdnessChange]:
        """Return and clear the begins and ends of cold periods."""
        changes, self._changes = self._changes, []
        return changes

    def select_usable(
        self, now: float, upstreams: list[UpstreamLoad], for_status_check: bool
    ) -> list[UpstreamLoad]:
        """Return the upstreams that may get a request, or a status check.

        Those that only may be cold get status checks, which show whether they are.
        """
        return [
            u
            for u in upstreams
            if u.warmup is None
            or u.warmup.may_send(now)
            or (for_status_check and u.warmup.is_presumed)
        ]

    def select_due(
        self, now: float, until: float, upstreams: list[UpstreamLoad]
    ) -> list[UpstreamLoad]:
        """Return the upstreams that may get a request before ``until``."""
        return [u for u in upstreams if u.warmup is None or u.warmup.count_due(now, until)]

    def compute_refusal_wait(
        self, now: float, until: float, ahead: int, upstreams: Iterable[UpstreamLoad]
    ) -> float | None:
        """Return when a request that cannot be sent in time may come again.

        Parameters
        ----------
        until : float
            Time by which the request must be sent, in seconds.
        ahead : int
            Number of requests that wait before it.

        Returns
        -------
        float or None
            Time before an upstream takes a request, in seconds; None if the request may be
            sent in time, or if no upstream is in state ready.
        """
        due = 0
        wait_s = None
        for upstream in upstreams:
            if upstream.state != READY:
                continue
            usable_at = max(now, upstream.rests_until)
            if usable_at > until:
                upstream_wait_s = usable_at - now
            elif upstream.warmup is None:
                return None
            else:
                due += upstream.warmup.count_due(usable_at, until)
                upstream_wait_s = max(usable_at - now, upstream.warmup.compute_wait(now))
            wait_s = upstream_wait_s if wait_s is None else min(wait_s, upstream_wait_s)
        return None if due > ahead else wait_s

    def _begin(self, now: float, upstream: UpstreamLoad, until: float, has_sent: bool) -> None:
        """Begin or change a cold period.

        Parameters
        ----------
        has_sent : bool
            Whether this instance may have sent the upstream requests in the last window. If so,
            nothing is sent for one window.
        """
        if upstream.warmup is None:
            self.refresh(now)
            starts_at = self._starts_at
            if has_sent:
                starts_at = max(starts_at, now + self.limit.window_s)
            upstream.warmup = Warmup(
                upstream.upstream_id,
                upstream.availability_zone,
                self._instance_id,
                self.limit,
                starts_at,
            )
            upstream.warmup.assign_share(self.limit, self._zones)
            self._cold[upstream.upstream_id] = upstream
            self._changes.append(
                ColdnessChange(upstream.upstream_id, until - now, upstream.warmup.share)
            )
        upstream.warmup.cold_until = until
        upstream.warmup.is_presumed = False

    def _end(self, upstream: UpstreamLoad) -> None:
        if upstream.warmup is None:
            return
        upstream.warmup = None
        del self._cold[upstream.upstream_id]
        self._changes.append(ColdnessChange(upstream.upstream_id))
