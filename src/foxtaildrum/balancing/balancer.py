"""Balancer of one pool: slots, queue, ejection of upstreams, and load data for policies."""

from __future__ import annotations

import random
import sys
from collections import OrderedDict
from collections.abc import Iterable

from ..fleet.upstreams import DRAINING, READY, Entry
from ..kinds import ErrorKind
from ..permits.ratelimits import ExpiredPermits, PlannedRequest, RateLimits
from ..records import Pool
from ..requests.steps import AttemptResult
from .backoff import compute_pause
from .budget import Budget
from .candidates import RAMP_S, PoolLoad, UpstreamLoad
from .coldness import ColdUpstreams
from .ejections import record_result
from .evacuation import EvacuationPlan
from .loads import LoadReport
from .policies import get_policy
from .sampling import SampleBudget, is_calm, is_slow
from .tickets import Ticket

MAX_EJECTED_RATIO = 0.5
# Weights of a new value in exponential moving averages.
POOL_MEAN_WEIGHT = 0.05
SMOOTHED_PACE_WEIGHT = 0.2
DEADLINE_MARGIN_SERVICE_TIMES = 2.0
# Cost of one probe in the measuring budget, which is counted in seconds of service time.
PROBE_COST_S = 0.006
PROBE_REPORT_AGE_SERVICE_TIMES = 3.0
DEFAULT_RETRY_RATIO = 0.1
RETRY_BUDGET_TOKENS = 10.0
# Pace assumed for an upstream that did not answer a status check in time.
UNANSWERED_PACE = 10.0
UNANSWERED_EJECT_BASE_S = 0.1
UNANSWERED_EJECT_MAX_S = 4.0
MOVED_EJECT_S = 2.0
MEASURING_CAPACITY_SERVICE_TIMES = 10.0
MIN_RETRY_AFTER_S = 0.1


class Balancer:
    """Grants slots of a pool's upstreams to requests.

    Not thread-safe: the code that calls it holds a lock. No method blocks.

    Parameters
    ----------
    pool : Pool
        Row of the pools table.
    availability_zone : str
        Availability zone of this instance.
    queue_limit : int
        Most requests that may wait for a slot.
    rng : random.Random
        Source of random choices.
    instance_id : str
        Identifier of this instance, which determines its subset of the upstreams.
    evacuations : EvacuationPlan or None
        Evacuated zones, whose upstreams are left out; None for no evacuations.

    Attributes
    ----------
    busy_limit : int
        Most requests that may hold or wait for a slot. It keeps a slow pool from occupying
        the threads that other pools need.
    """

    def __init__(
        self,
        pool: Pool,
        availability_zone: str,
        queue_limit: int,
        rng: random.Random,
        instance_id: str = "",
        evacuations: EvacuationPlan | None = None,
    ) -> None:
        self.availability_zone = availability_zone
        self.evacuations = evacuations or EvacuationPlan()
        self.queue_limit = queue_limit
        self.rng = rng
        self.load = PoolLoad()
        self.grant_count = 0
        self.in_flight = 0
        self._released_at = float("-inf")
        self._release_interval_s = 0.0
        self.busy_limit = sys.maxsize
        self.upstreams: dict[str, UpstreamLoad] = {}
        self.queue: OrderedDict[int, Ticket] = OrderedDict()
        self.shares_retry_budget = False
        self._samples = SampleBudget(instance_id)
        self.rate_limits = RateLimits(rng)
        self.cold = ColdUpstreams(instance_id)
        self._displaced: list[Ticket] = []
        self.default_retry_ratio = DEFAULT_RETRY_RATIO
        self.retry_budget = Budget(
            DEFAULT_RETRY_RATIO, RETRY_BUDGET_TOKENS, RETRY_BUDGET_TOKENS
        )
        self.measuring_budget = Budget(pool.measuring_budget_ratio, 0.0)
        self.configure(pool)

    def configure(self, pool: Pool) -> None:
        """Apply a changed row of the pools table."""
        self.pool = pool
        self.choose = get_policy(pool.policy)
        own_ratio = pool.retry_budget_ratio
        self.retry_budget.ratio = self.default_retry_ratio if own_ratio is None else own_ratio
        self.measuring_budget.ratio = pool.measuring_budget_ratio
        self.cold.configure(pool)

    def update_members(self, now: float, entries: Iterable[Entry]) -> list[Ticket]:
        """Apply the current upstreams of the pool; return the tickets that were completed."""
        seen = set()
        is_first_update = not self.upstreams
        self.cold.refresh(now)
        for entry in entries:
            seen.add(entry.upstream_id)
            self._update_member(now, entry, is_first_update)
        for upstream_id in set(self.upstreams) - seen:
            gone = self.upstreams.pop(upstream_id)
            self.rate_limits.forget(gone)
            self.cold.forget(gone)
        usable = self.evacuations.select_usable(now, self.upstreams.values())
        self._samples.subset.update(usable)
        return self.serve_queue(now)

    def request_slot(self, now: float, ticket: Ticket, may_wait: bool) -> None:
        """Grant, queue or refuse ``ticket``."""
        ticket.queue_deadline = min(ticket.deadline, now + ticket.max_queue_wait_s)
        if self.in_flight + len(self.queue) >= self.busy_limit:
            ticket.refused = ErrorKind.OVERLOADED
            return
        if not self._queue_has_precedence(ticket):
            self._try_grant(now, ticket)
        if ticket.completed:
            return
        ticket.refused = self._find_refusal(now, ticket, may_wait)
        if ticket.refused is None:
            self._enqueue(ticket)

    def plan_permits(self, now: float) -> list[PlannedRequest | ExpiredPermits]:
        """Return what to send to issuers of permits for a request that has just arrived."""
        usable = self._samples.select_subset(self.upstreams)
        if self.evacuations.zones:
            usable = self.evacuations.select_usable(now, usable)
        return self.rate_limits.plan_requests(now, usable)

    def _enqueue(self, ticket: Ticket) -> None:
        """Queue a ticket behind those of the same or a more urgent priority."""
        self.queue[id(ticket)] = ticket
        less_urgent = [k for k, t in self.queue.items() if t.priority > ticket.priority]
        for key in less_urgent:
            self.queue.move_to_end(key)

    def _queue_has_precedence(self, ticket: Ticket) -> bool:
        """Return whether a waiting ticket is at least as urgent as ``ticket``."""
        if not self.queue:
            return False
        return next(iter(self.queue.values())).priority <= ticket.priority

    def _displace(self, ticket: Ticket) -> bool:
        """Refuse the last queued ticket if it is less urgent; return whether it was refused."""
        if not self.queue:
            return False
        key, last = next(reversed(self.queue.items()))
        if last.priority <= ticket.priority:
            return False
        del self.queue[key]
        last.refused = ErrorKind.OVERLOADED
        self._displaced.append(last)
        return True

    def pop_displaced(self) -> list[Ticket]:
        """Return and clear the tickets that more urgent ones displaced from the queue."""
        displaced, self._displaced = self._displaced, []
        return displaced

    def cancel_ticket(self, ticket: Ticket, kind: ErrorKind) -> None:
        """Refuse a waiting ticket with ``kind``; no effect on a completed one."""
        if ticket.completed:
            return
        self.queue.pop(id(ticket), None)
        ticket.refused = kind

    def release(
        self, now: float, upstream: UpstreamLoad, result: AttemptResult, held_s: float
    ) -> list[Ticket]:
        """Release a slot; return the queued tickets that were completed."""
        upstream.in_flight -= 1
        self.in_flight -= 1
        interval_s = min(now - self._released_at, self.load.mean_service_s)
        self._release_interval_s += (interval_s - self._release_interval_s) * POOL_MEAN_WEIGHT
        self._released_at = now
        sends_checks = bool(self._samples.size)
        record_result(now, upstream, self.load, result, held_s, sends_checks)
        return self.serve_queue(now)

    def record_load(self, now: float, upstream: UpstreamLoad, report: LoadReport) -> None:
        """Record a load report of an upstream.

        The requests of this instance that are in flight are subtracted from the reported
        count. They include the request whose response carries the report.
        """
        others = max(0.0, report.slots_in_use - upstream.in_flight)
        upstream.pace = report.pace
        upstream.smoothed_pace += (report.pace - upstream.smoothed_pace) * SMOOTHED_PACE_WEIGHT
        upstream.unanswered_checks = 0
        self.load.mean_pace += (report.pace - self.load.mean_pace) * POOL_MEAN_WEIGHT
        upstream.reported_others = others
        upstream.reported_at = now
        load = self.load
        load.mean_others += (others - load.mean_others) * POOL_MEAN_WEIGHT
        load.reported_at = now

    def set_status_check_rate(self, probes_per_s: float, sample_size: int) -> None:
        """Set the status checks per second and upstream, and the sample size per choice."""
        self._samples.configure(probes_per_s, sample_size)

    def choose_samples(
        self,
        now: float,
        excluded: frozenset[str],
        response_bytes: float = 0.0,
        round_number: int = 0,
    ) -> list[UpstreamLoad]:
        """Return the upstreams that get a status check before one is chosen."""
        if not self._samples.size:
            return []
        candidates = self._list_candidates(now, excluded, for_status_check=True)
        count = self._count_checked(now)
        chosen = self._samples.choose(
            now, candidates, count, response_bytes, self.rng, round_number
        )
        # A permit is valid for a short time, so its upstream is compared first.
        permitted = [u for u in candidates if u.permits is not None]
        if chosen and permitted and not any(u.permits is not None for u in chosen):
            chosen[-1] = permitted[0]
        return chosen

    def spend_status_check(self, now: float) -> bool:
        """Spend the budget for one status check; return whether it sufficed."""
        return self._samples.spend_check(now, self._count_checked(now))

    def _count_checked(self, now: float) -> int:
        """Return how many upstreams share the budget for status checks."""
        if not self.evacuations.zones:
            return len(self.upstreams)
        return len(self.evacuations.select_usable(now, self.upstreams.values()))

    def has_calm_upstream(self, now: float, excluded: frozenset[str]) -> bool:
        """Return whether a candidate has a free slot and its normal pace, by a fresh report."""
        return any(is_calm(now, u) for u in self._list_candidates(now, excluded))

    def record_unanswered_check(self, now: float, upstream: UpstreamLoad) -> None:
        """Record that a status check got no response in time, and eject the upstream.

        The duration of the ejection doubles with each consecutive unanswered check.
        """
        upstream.pace = UNANSWERED_PACE
        upstream.reported_at = now
        pause_s = compute_pause(
            upstream.unanswered_checks, UNANSWERED_EJECT_BASE_S, UNANSWERED_EJECT_MAX_S
        )
        upstream.unanswered_checks += 1
        upstream.ejected_until = max(upstream.ejected_until, now + pause_s)

    def record_leaving(self, upstream_id: str) -> bool:
        """Record that an upstream says that it leaves; return whether this is news.

        It holds until the upstream starts again, even if the list of the fleet still has it
        as ready.
        """
        upstream = self.upstreams.get(upstream_id)
        if upstream is None or upstream.leaves:
            return False
        upstream.leaves = True
        is_news = upstream.state == READY
        upstream.state = DRAINING
        return is_news

    def record_rest(self, now: float, upstream: UpstreamLoad, rest_s: float) -> None:
        """Record that an upstream wants no request from this instance for some seconds."""
        upstream.rests_until = max(upstream.rests_until, now + rest_s)

    def presume_cold(self, now: float, zone: str) -> None:
        """Count the upstreams of a zone as cold until the list or a check says otherwise.

        They may have become cold while their zone was evacuated.
        """
        found = [u for u in self.upstreams.values() if u.availability_zone == zone]
        self.cold.presume(now, found)

    def record_moved(self, now: float, upstream: UpstreamLoad) -> None:
        """Eject an upstream because another upstream answered at its address."""
        upstream.ejected_until = max(upstream.ejected_until, now + MOVED_EJECT_S)

    def list_addresses(self, now: float) -> list[str]:
        """Return the addresses of the upstreams in state ready that may get anything."""
        return [u.address for u in self._list_ready(now)]

    def forget_failures(self) -> None:
        """Forget the failures of all upstreams: they were caused by links of this instance."""
        for upstream in self.upstreams.values():
            upstream.forget_failures()

    def choose_probe(self, now: float) -> UpstreamLoad | None:
        """Return the upstream with the oldest load report, to be probed.

        Returns None when every report is fresh or the measuring budget is exhausted.
        """
        ready = [u for u in self._list_awake(now) if u.permits is None]
        if not ready:
            return None
        oldest = min(ready, key=_get_reported_at)
        if now - oldest.reported_at < PROBE_REPORT_AGE_SERVICE_TIMES * self.load.mean_service_s:
            return None
        return oldest if self.measuring_budget.spend(PROBE_COST_S) else None

    def serve_queue(self, now: float) -> list[Ticket]:
        """Grant or refuse waiting tickets in queue order; return those completed."""
        completed = []
        while self.queue:
            key, ticket = next(iter(self.queue.items()))
            if self._misses_deadline(now, ticket) or now >= ticket.queue_deadline:
                ticket.refused = ErrorKind.DEADLINE_UNREACHABLE
            elif not self.upstreams:
                ticket.refused = ErrorKind.NO_UPSTREAM
            elif self.evacuations.covers(now, self.upstreams.values()):
                ticket.refused = ErrorKind.ZONES_EVACUATED
            else:
                self._try_grant(now, ticket)
            if not ticket.completed and self._rests_too_long(now, ticket):
                ticket.refused = ErrorKind.UPSTREAMS_RESTING
            if not ticket.completed and self._warms_up_too_long(now, ticket, 0):
                ticket.refused = ErrorKind.UPSTREAMS_WARMING_UP
            if not ticket.completed and self._exceeds_rate_limits(now, ticket, 0):
                ticket.refused = ErrorKind.RATE_LIMITED
            if not ticket.completed:
                break
            del self.queue[key]
            completed.append(ticket)
        return completed

    def count_slots(self, now: float) -> int:
        """Return the number of slots of all upstreams in state ready that are not left out."""
        return sum(u.slots for u in self._list_ready(now))

    def spend_hedge(self) -> bool:
        """Spend the budget for one hedge; return whether it sufficed.

        Where the fleet shares a retry budget, a hedge costs one token of that budget.
        Otherwise it costs the mean service time, from the measuring budget.
        """
        if self.shares_retry_budget:
            return self.retry_budget.spend(1.0)
        return self.measuring_budget.spend(self.load.mean_service_s)

    def return_hedge(self) -> None:
        """Return the budget of a hedge that was not sent."""
        if self.shares_retry_budget:
            self.retry_budget.give_back(1.0)
        else:
            self.measuring_budget.give_back(self.load.mean_service_s)

    def set_default_retry_ratio(self, ratio: float) -> None:
        """Set the retries allowed per request for a pool whose row sets no ratio."""
        self.default_retry_ratio = ratio
        self.configure(self.pool)

    def set_retry_slack(self, tokens: float) -> None:
        """Set how many retries and hedges may be made at once beyond the retry ratio.

        The number is this instance's share of the extra arrivals that the fleet may make.
        """
        self.shares_retry_budget = True
        self.retry_budget.resize(tokens)

    def record_request(self) -> None:
        """Credit the retry budget for one request, regardless of its outcome."""
        self.retry_budget.earn(1.0)

    def earn_measuring_budget(self, held_s: float) -> None:
        """Credit the measuring budget for one finished request."""
        capacity = MEASURING_CAPACITY_SERVICE_TIMES * self.load.mean_service_s
        self.measuring_budget.capacity = max(capacity, 2 * PROBE_COST_S)
        self.measuring_budget.earn(held_s)

    def _update_member(self, now: float, entry: Entry, is_first_update: bool) -> None:
        announcement = entry.announcement
        upstream = self.upstreams.get(entry.upstream_id)
        if upstream is None:
            upstream = self.upstreams[entry.upstream_id] = UpstreamLoad(entry.upstream_id)
        is_new_start = announcement.incarnation > upstream.incarnation and not is_first_update
        if is_new_start:
            upstream.ramp_until = now + RAMP_S
            upstream.failures = 0
            upstream.unanswered_checks = 0
            upstream.failure_level = 0.0
            upstream.ejected_until = float("-inf")
            upstream.rests_until = float("-inf")
            upstream.leaves = False
            self.rate_limits.forget(upstream)
        upstream.incarnation = announcement.incarnation
        upstream.address = announcement.address
        upstream.state = DRAINING if upstream.leaves and entry.state == READY else entry.state
        upstream.slots = announcement.slots or self.pool.slots_per_upstream
        upstream.availability_zone = zone = announcement.availability_zone
        upstream.remote = bool(zone) and zone != self.availability_zone
        is_restored = self.evacuations.mark(upstream, zone)
        self.rate_limits.set_fleet_limit(upstream, entry.rate_limit_per_s)
        self.cold.apply_entry(now, upstream, entry.cold_until, is_new_start)
        if is_restored:
            # What was known of the upstream is outdated, and it may have become cold.
            upstream.forget_failures()
            self.cold.presume(now, [upstream])

    def _try_grant(self, now: float, ticket: Ticket) -> None:
        candidates = self._list_candidates(now, ticket.excluded)
        if not candidates:
            return
        self.load.response_bytes = ticket.response_bytes
        chosen = self._choose(now, candidates)
        if chosen is None:
            return
        if chosen.permits is not None:
            chosen.permits.take()
            ticket.took_permit = True
        if chosen.warmup is not None:
            ticket.warmup = chosen.warmup
            ticket.warmup.reserve()
        chosen.in_flight += 1
        self.in_flight += 1
        self.grant_count += 1
        chosen.last_grant = self.grant_count
        ticket.granted = chosen

    def _choose(self, now: float, candidates: list[UpstreamLoad]) -> UpstreamLoad | None:
        """Choose an upstream; one that limits its rate goes first while a permit is held."""
        permitted = [u for u in candidates if u.permits is not None and not is_slow(now, u)]
        chosen = None
        if permitted:
            chosen = self.choose(now, permitted, self.load, self.rng)
        return chosen or self.choose(now, candidates, self.load, self.rng)

    def _list_candidates(
        self, now: float, excluded: frozenset[str], for_status_check: bool = False
    ) -> list[UpstreamLoad]:
        """Return the upstreams that may get a request, or a status check.

        An upstream that did not answer its last status check gets no request until it
        answers one: its load report decays, so it would soon look idle.
        """
        ready = self._list_awake(now, for_status_check)
        healthy = [
            u
            for u in ready
            if u.ejected_until <= now and (for_status_check or not u.unanswered_checks)
        ]
        if len(healthy) < len(ready) * (1 - MAX_EJECTED_RATIO):
            healthy = ready
        if excluded:
            # Prefer an upstream that was not tried yet, even an ejected one, to a tried one.
            healthy = (
                [u for u in healthy if u.upstream_id not in excluded]
                or [u for u in ready if u.upstream_id not in excluded]
                or healthy
            )
        return [u for u in healthy if u.has_free_slot(now)]

    def _list_awake(self, now: float, for_status_check: bool = False) -> list[UpstreamLoad]:
        """Return the upstreams in state ready that may get a request, or a status check.

        Those that rest, whose zone is evacuated, or that are cold and have used up the share of
        this instance, are left out.
        """
        upstreams = self.upstreams.values()
        awake = [u for u in upstreams if u.state == READY and u.rests_until <= now]
        if self.evacuations.zones:
            awake = self.evacuations.select_usable(now, awake)
        if not self.cold.any_cold:
            return awake
        return self.cold.select_usable(now, awake, for_status_check)

    def _list_ready(self, now: float) -> list[UpstreamLoad]:
        """Return the upstreams in state ready, except for those in evacuated zones."""
        ready = [u for u in self.upstreams.values() if u.state == READY]
        return self.evacuations.select_usable(now, ready) if self.evacuations.zones else ready

    def _rests_too_long(self, now: float, ticket: Ticket) -> bool:
        """Return whether every upstream rests for longer than the request may wait."""
        ends = [u.rests_until for u in self._list_ready(now)]
        if not ends or min(ends) <= max(now, ticket.queue_deadline):
            return False
        ticket.retry_after_s = max(MIN_RETRY_AFTER_S, min(ends) - now)
        return True

    def _find_refusal(self, now: float, ticket: Ticket, may_wait: bool) -> ErrorKind | None:
        slots = self.count_slots(now)
        if not slots:
            is_evacuated = self.evacuations.covers(now, self.upstreams.values())
            return ErrorKind.ZONES_EVACUATED if is_evacuated else ErrorKind.NO_UPSTREAM
        if self._rests_too_long(now, ticket):
            return ErrorKind.UPSTREAMS_RESTING
        if self._warms_up_too_long(now, ticket, len(self.queue)):
            return ErrorKind.UPSTREAMS_WARMING_UP
        if not may_wait:
            return ErrorKind.OVERLOADED
        if self._exceeds_rate_limits(now, ticket, len(self.queue)):
            return ErrorKind.RATE_LIMITED
        if len(self.queue) >= self.queue_limit and not self._displace(ticket):
            return ErrorKind.OVERLOADED
        wait_s = (len(self.queue) + 1) * self._release_interval_s
        if self._misses_deadline(now + wait_s, ticket):
            return ErrorKind.DEADLINE_UNREACHABLE
        return None

    def _exceeds_rate_limits(self, now: float, ticket: Ticket, ahead: int) -> bool:
        """Return whether no upstream may get the request in time because of its rate limit."""
        if not self.rate_limits.any_limited:
            return False
        ready = self._list_ready(now)
        if self.cold.any_cold:
            ready = self.cold.select_due(now, ticket.queue_deadline, ready)
        wait_s = self.rate_limits.compute_refusal_wait(now, ticket.queue_deadline, ahead, ready)
        if wait_s is None:
            return False
        ticket.retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        return True

    def _warms_up_too_long(self, now: float, ticket: Ticket, ahead: int) -> bool:
        """Return whether no upstream may get the request in time because they are cold."""
        if not self.cold.any_cold:
            return False
        ready = self._list_ready(now)
        wait_s = self.cold.compute_refusal_wait(now, ticket.queue_deadline, ahead, ready)
        if wait_s is None:
            return False
        ticket.retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        return True

    def _misses_deadline(self, start: float, ticket: Ticket) -> bool:
        # Refuse a request that would probably exceed its deadline before it is sent, while
        # the outcome is still known to be "not run".
        return (
            start + DEADLINE_MARGIN_SERVICE_TIMES * self.load.mean_service_s > ticket.deadline
        )


def _get_reported_at(upstream: UpstreamLoad) -> float:
    return upstream.reported_at
