"""Balancer of one pool: slots, queue, ejection and the state policies read."""

from __future__ import annotations

import random
import sys
from collections import OrderedDict
from collections.abc import Iterable

from ..fleet.upstreams import READY, Entry
from ..kinds import ErrorKind
from ..records import Pool
from ..requests.steps import AttemptResult
from .budget import Budget, SampleBudget
from .candidates import RAMP_S, PoolLoad, UpstreamLoad
from .loads import LoadReport
from .policies import get_policy
from .tickets import Ticket

EJECT_AFTER_FAILURES = 5
EJECT_BASE_S = 1.0
EJECT_MAX_S = 30.0
MAX_EJECTED_RATIO = 0.5
MAX_FAILURE_LEVEL = 16.0
SHED_PAUSE_S = 0.05
SHED_PAUSE_MAX_S = 2.0
MEAN_WEIGHT = 0.05
LATENCY_WEIGHT = 0.2
USUAL_PACE_WEIGHT = 0.2
RUN_SERVICE_TIMES = 2.0
PROBE_COST_S = 0.006
PROBE_AGE_SERVICE_TIMES = 3.0
DEFAULT_RETRY_RATIO = 0.1
RETRY_TOKENS = 10.0
SILENT_PACE = 10.0
SILENT_PAUSE_S = 0.1
SILENT_PAUSE_MAX_S = 4.0
MOVED_PAUSE_S = 2.0
HEDGE_TOKENS_SERVICE_TIMES = 10.0


class Balancer:
    """Gives slots of a pool's upstreams to requests.

    The caller holds a lock; every method returns at once.

    Parameters
    ----------
    pool : Pool
        Row of the pools table.
    availability_zone : str
        Availability zone of this instance.
    queue_limit : int
        Requests that may wait for a slot.
    rng : random.Random
        Source of random choices.

    Attributes
    ----------
    busy_limit : int
        Requests that may hold or await a slot, so that a slow pool leaves threads to
        the others.
    """

    def __init__(
        self, pool: Pool, availability_zone: str, queue_limit: int, rng: random.Random
    ) -> None:
        self.availability_zone = availability_zone
        self.queue_limit = queue_limit
        self.rng = rng
        self.load = PoolLoad()
        self.turn = 0
        self.in_flight = 0
        self._released_at = float("-inf")
        self._release_interval_s = 0.0
        self.busy_limit = sys.maxsize
        self.upstreams: dict[str, UpstreamLoad] = {}
        self.queue: OrderedDict[int, Ticket] = OrderedDict()
        self.shares_retries = False
        self._samples = SampleBudget()
        self._displaced: list[Ticket] = []
        self.default_retry_ratio = DEFAULT_RETRY_RATIO
        self.retry_budget = Budget(DEFAULT_RETRY_RATIO, RETRY_TOKENS, RETRY_TOKENS)
        self.measuring_budget = Budget(pool.measuring_budget_ratio, 0.0)
        self.configure(pool)

    def configure(self, pool: Pool) -> None:
        """Take over a changed row of the pools table."""
        self.pool = pool
        self.choose = get_policy(pool.policy)
        own_ratio = pool.retry_budget_ratio
        self.retry_budget.ratio = self.default_retry_ratio if own_ratio is None else own_ratio
        self.measuring_budget.ratio = pool.measuring_budget_ratio

    def update_members(self, now: float, entries: Iterable[Entry]) -> list[Ticket]:
        """Take over the current members; return tickets that are now settled."""
        seen = set()
        first_view = not self.upstreams
        for entry in entries:
            seen.add(entry.upstream_id)
            self._update_member(now, entry, first_view)
        for upstream_id in set(self.upstreams) - seen:
            del self.upstreams[upstream_id]
        return self.serve_queue(now)

    def request_slot(self, now: float, ticket: Ticket, may_wait: bool) -> None:
        """Grant, queue or refuse ``ticket``."""
        if self.in_flight + len(self.queue) >= self.busy_limit:
            ticket.refused = ErrorKind.OVERLOADED
            return
        if not self._has_as_urgent(ticket):
            self._try_grant(now, ticket)
        if ticket.settled:
            return
        ticket.refused = self._find_refusal(now, ticket, may_wait)
        if ticket.refused is None:
            ticket.give_up_at = min(ticket.deadline, now + ticket.patience_s)
            self._enqueue(ticket)

    def _enqueue(self, ticket: Ticket) -> None:
        """Put a ticket behind those that are as urgent or more."""
        self.queue[id(ticket)] = ticket
        later = [k for k, t in self.queue.items() if t.priority > ticket.priority]
        for key in later:
            self.queue.move_to_end(key)

    def _has_as_urgent(self, ticket: Ticket) -> bool:
        if not self.queue:
            return False
        return next(iter(self.queue.values())).priority <= ticket.priority

    def _displace(self, ticket: Ticket) -> bool:
        """Refuse the last of the waiting tickets if it is less urgent than ``ticket``."""
        if not self.queue:
            return False
        key, last = next(reversed(self.queue.items()))
        if last.priority <= ticket.priority:
            return False
        del self.queue[key]
        last.refused = ErrorKind.OVERLOADED
        self._displaced.append(last)
        return True

    def take_displaced(self) -> list[Ticket]:
        """Return the tickets that gave way to more urgent ones."""
        displaced, self._displaced = self._displaced, []
        return displaced

    def cancel_ticket(self, ticket: Ticket, kind: ErrorKind) -> None:
        """Refuse a waiting ticket with ``kind``; no effect once settled."""
        if ticket.settled:
            return
        self.queue.pop(id(ticket), None)
        ticket.refused = kind

    def release(
        self, now: float, upstream: UpstreamLoad, result: AttemptResult, held_s: float
    ) -> list[Ticket]:
        """Give a slot back and return tickets that are now settled."""
        upstream.in_flight -= 1
        self.in_flight -= 1
        interval_s = min(now - self._released_at, self.load.mean_service_s)
        self._release_interval_s += (interval_s - self._release_interval_s) * MEAN_WEIGHT
        self._released_at = now
        self._learn(now, upstream, result, held_s)
        return self.serve_queue(now)

    def report_load(self, now: float, upstream: UpstreamLoad, report: LoadReport) -> None:
        """Take the load that an answer reported, its own request included."""
        others = max(0.0, report.slots_in_use - upstream.in_flight)
        upstream.pace = report.pace
        upstream.usual_pace += (report.pace - upstream.usual_pace) * USUAL_PACE_WEIGHT
        upstream.silences = 0
        self.load.mean_pace += (report.pace - self.load.mean_pace) * MEAN_WEIGHT
        upstream.reported_others = others
        upstream.reported_at = now
        load = self.load
        load.mean_others += (others - load.mean_others) * MEAN_WEIGHT
        load.reported_at = now

    def set_probe_rate(self, probes_per_s: float, sample_size: int) -> None:
        """Set how often each upstream may be asked, and how many are compared."""
        self._samples.configure(probes_per_s, sample_size)

    def choose_samples(
        self, now: float, excluded: frozenset[str], answer_bytes: float = 0.0
    ) -> list[UpstreamLoad]:
        """Return the upstreams to ask for their load before one is chosen."""
        if not self._samples.size:
            return []
        candidates = self._list_candidates(now, excluded, silent=True)
        return self._samples.choose(
            now, candidates, len(self.upstreams), answer_bytes, self.rng
        )

    def note_silent(self, now: float, upstream: UpstreamLoad) -> None:
        """Take note that an upstream did not answer a status check in time."""
        upstream.pace = SILENT_PACE
        upstream.reported_at = now
        pause_s = min(SILENT_PAUSE_MAX_S, SILENT_PAUSE_S * 2**upstream.silences)
        upstream.silences += 1
        upstream.ejected_until = max(upstream.ejected_until, now + pause_s)

    def note_moved(self, now: float, upstream: UpstreamLoad) -> None:
        """Take note that another upstream answers at the address."""
        upstream.ejected_until = max(upstream.ejected_until, now + MOVED_PAUSE_S)

    def choose_probe(self, now: float) -> UpstreamLoad | None:
        """Return the upstream that was silent longest if a probe can be paid for.

        None when every report is fresh or the measuring budget is spent.
        """
        ready = [u for u in self.upstreams.values() if u.state == READY]
        if not ready:
            return None
        silent = min(ready, key=_get_reported_at)
        if now - silent.reported_at < PROBE_AGE_SERVICE_TIMES * self.load.mean_service_s:
            return None
        return silent if self.measuring_budget.spend(PROBE_COST_S) else None

    def serve_queue(self, now: float) -> list[Ticket]:
        """Grant slots to waiting tickets in order; return the settled ones."""
        settled = []
        while self.queue:
            key, ticket = next(iter(self.queue.items()))
            if self._comes_too_late(now, ticket) or now >= ticket.give_up_at:
                ticket.refused = ErrorKind.DEADLINE_UNREACHABLE
            elif not self.upstreams:
                ticket.refused = ErrorKind.NO_UPSTREAM
            else:
                self._try_grant(now, ticket)
            if not ticket.settled:
                break
            del self.queue[key]
            settled.append(ticket)
        return settled

    def count_slots(self, now: float) -> int:
        """Return the slots of upstreams that take requests."""
        return sum(u.slots for u in self.upstreams.values() if u.state == READY)

    def spend_hedge(self) -> bool:
        """Take one hedge from its budget; return whether it was there.

        Where the fleet shares a budget of extra arrivals, a hedge is paid from it alone.
        """
        if self.shares_retries:
            return self.retry_budget.spend(1.0)
        return self.measuring_budget.spend(self.load.mean_service_s)

    def set_default_retry_ratio(self, ratio: float) -> None:
        """Set the retries allowed per request where the pool's row does not say."""
        self.default_retry_ratio = ratio
        self.configure(self.pool)

    def set_retry_slack(self, tokens: float) -> None:
        """Set the share of extra arrivals that the fleet may make beside the ratio."""
        self.shares_retries = True
        self.retry_budget.resize(tokens)

    def note_request(self) -> None:
        """Credit the retry budget for one request, whatever becomes of it."""
        self.retry_budget.earn(1.0)

    def earn_measuring(self, held_s: float) -> None:
        """Credit the measuring budget for one finished request."""
        capacity = HEDGE_TOKENS_SERVICE_TIMES * self.load.mean_service_s
        self.measuring_budget.capacity = max(capacity, 2 * PROBE_COST_S)
        self.measuring_budget.earn(held_s)

    def _update_member(self, now: float, entry: Entry, first_view: bool) -> None:
        announcement = entry.announcement
        upstream = self.upstreams.get(entry.upstream_id)
        if upstream is None:
            upstream = self.upstreams[entry.upstream_id] = UpstreamLoad(entry.upstream_id)
        if announcement.incarnation > upstream.incarnation and not first_view:
            upstream.ramp_until = now + RAMP_S
            upstream.failures = 0
            upstream.silences = 0
            upstream.failure_level = 0.0
            upstream.ejected_until = float("-inf")
        upstream.incarnation = announcement.incarnation
        upstream.address = announcement.address
        upstream.state = entry.state
        upstream.slots = announcement.slots or self.pool.slots_per_upstream
        zone = announcement.availability_zone
        upstream.remote = bool(zone) and zone != self.availability_zone

    def _try_grant(self, now: float, ticket: Ticket) -> None:
        candidates = self._list_candidates(now, ticket.excluded)
        if not candidates:
            return
        self.load.answer_bytes = ticket.answer_bytes
        chosen = self.choose(now, candidates, self.load, self.rng)
        if chosen is None:
            return
        chosen.in_flight += 1
        self.in_flight += 1
        self.turn += 1
        chosen.last_turn = self.turn
        ticket.granted = chosen

    def _list_candidates(
        self, now: float, excluded: frozenset[str], silent: bool = False
    ) -> list[UpstreamLoad]:
        """Return the upstreams that may take a request, or a status check if ``silent``.

        One that did not answer its last status check gets no request before it answers
        another: what is known of it fades, and it would soon look idle.
        """
        ready = [u for u in self.upstreams.values() if u.state == READY]
        healthy = [u for u in ready if u.ejected_until <= now and (silent or not u.silences)]
        if len(healthy) < len(ready) * (1 - MAX_EJECTED_RATIO):
            healthy = ready
        if excluded:
            # One that was not tried comes before one that was, even when it is ejected.
            healthy = (
                [u for u in healthy if u.upstream_id not in excluded]
                or [u for u in ready if u.upstream_id not in excluded]
                or healthy
            )
        return [u for u in healthy if u.has_free_slot(now)]

    def _find_refusal(self, now: float, ticket: Ticket, may_wait: bool) -> ErrorKind | None:
        slots = self.count_slots(now)
        if not slots:
            return ErrorKind.NO_UPSTREAM
        if not may_wait:
            return ErrorKind.OVERLOADED
        if len(self.queue) >= self.queue_limit and not self._displace(ticket):
            return ErrorKind.OVERLOADED
        wait_s = (len(self.queue) + 1) * self._release_interval_s
        if self._comes_too_late(now + wait_s, ticket):
            return ErrorKind.DEADLINE_UNREACHABLE
        return None

    def _comes_too_late(self, start: float, ticket: Ticket) -> bool:
        # A request that would most likely be cut off by its deadline is refused while
        # that can still be said to be not run.
        return start + RUN_SERVICE_TIMES * self.load.mean_service_s > ticket.deadline

    def _learn(
        self, now: float, upstream: UpstreamLoad, result: AttemptResult, held_s: float
    ) -> None:
        if result is AttemptResult.OK:
            upstream.failures = 0
            upstream.sheds = 0
            upstream.silences = 0
            upstream.ejections = 0
            upstream.failure_level *= 0.5
            upstream.service_s += (held_s - upstream.service_s) * LATENCY_WEIGHT
            load = self.load
            load.mean_service_s += (held_s - load.mean_service_s) * MEAN_WEIGHT
            return
        if result is AttemptResult.CANCELLED:
            return
        if result is AttemptResult.SHED:
            pause_s = min(SHED_PAUSE_MAX_S, SHED_PAUSE_S * 2**upstream.sheds)
            upstream.sheds += 1
            upstream.ejected_until = max(upstream.ejected_until, now + pause_s)
            return
        upstream.failures += 1
        upstream.failure_level = min(MAX_FAILURE_LEVEL, upstream.failure_level + 1.0)
        upstream.failed_at = now
        if result is AttemptResult.UNREACHABLE or upstream.failures >= EJECT_AFTER_FAILURES:
            upstream.ejections += 1
            if result is AttemptResult.UNREACHABLE and self._samples.size:
                upstream.silences += 1
            pause_s = min(EJECT_MAX_S, EJECT_BASE_S * 2 ** (upstream.ejections - 1))
            upstream.ejected_until = now + pause_s


def _get_reported_at(upstream: UpstreamLoad) -> float:
    return upstream.reported_at
