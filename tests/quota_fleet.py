"""Simulated fleet whose entry instances admit requests of organisations by permits.

The nodes and the holders are real; callers, request threads and the network are not.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import defaultdict
from typing import Any

from foxtaildrum.fleet.actions import QuotasAnswered
from foxtaildrum.fleet.quotas import parse_grants
from foxtaildrum.permits.bounds import QuotaBounds
from foxtaildrum.permits.holder import MAX_ADMIT_S, QuotaHolder
from foxtaildrum.permits.quota import Ticket
from foxtaildrum.records import Organisation
from foxtaildrum.requests.quotas import POLL_S

from .fleet import Fleet, Host

# A request takes a permit and is sent; one in this many is then not run.
NOT_RUN_RATIO = 0.02


class Waiting:
    """A request that waits for a permit at one instance."""

    def __init__(self, name: str, ticket: Ticket, arrived_at: float) -> None:
        self.name = name
        self.ticket = ticket
        self.arrived_at = arrived_at


class QuotaFleet(Fleet):
    """Fleet with callers of organisations.

    Parameters
    ----------
    control, entry : int
        Number of control and entry instances.
    organisations : list of Organisation
        Organisations in force at first.
    bounds : QuotaBounds
        Bound on the requests of an organisation in a window.

    Attributes
    ----------
    used : dict
        Times of the requests of each organisation that were sent, in order.
    limited, unanswered : dict
        Times, instances and Retry-After of the requests refused with 429, and with 503.
    conforms : bool
        Whether callers leave out the requests that one bucket of the rate and the burst, at
        their side, does not hold.
    waits : list of float
        Time that each request waited for the decision, in seconds.
    quota_messages, quota_bytes : dict
        Messages and bytes about permits by the type of the message.
    """

    def __init__(
        self,
        control: int,
        entry: int,
        organisations: list[Organisation],
        bounds: QuotaBounds,
        seed: int = 1,
    ) -> None:
        self.bounds = bounds
        self.holders: dict[str, tuple[int, QuotaHolder]] = {}
        self.waiting: dict[str, list[Waiting]] = defaultdict(list)
        self.tables: dict[str, dict[str, Organisation]] = defaultdict(dict)
        self.used: dict[str, list[float]] = defaultdict(list)
        self.limited: dict[str, list[tuple[float, str, float]]] = defaultdict(list)
        self.unanswered: dict[str, list[tuple[float, str, float]]] = defaultdict(list)
        self.conforms = False
        self.levels: dict[str, tuple[float, float]] = {}
        self.waits: list[float] = []
        self.quota_messages: dict[str, int] = defaultdict(int)
        self.rates: dict[str, float] = {}
        super().__init__(control, entry, seed, seeds=control)
        self.entries = [n for n in self.hosts if n.startswith("e")]
        self.watchers.append(self._count_message)
        for name in self.hosts:
            self.set_table(name, organisations)

    def set_table(self, name: str, organisations: list[Organisation]) -> None:
        """Put organisations in force at one instance."""
        self.tables[name] = {o.name: o for o in organisations}
        host = self.hosts[name]
        if host.node is not None:
            host.node.set_organisations(organisations)

    def set_rate(self, organisation: str, rate_per_s: float) -> None:
        """Let callers send requests of an organisation at random instances."""
        if not self.rates.get(organisation):
            self.rates[organisation] = rate_per_s
            if rate_per_s:
                self._schedule_call(organisation)
        self.rates[organisation] = rate_per_s

    def get_holder(self, host: Host) -> QuotaHolder:
        """Return the holder of a running entry instance; a restart begins a new one."""
        generation, holder = self.holders.get(host.instance_id, (0, None))
        if generation != host.generation:
            rng = random.Random(f"{self.seed}-{host.instance_id}-{host.generation}-quota")
            holder = QuotaHolder(host.read_clock(), host.instance_id, self.bounds, rng)
            holder.instances = self.entries
            self.holders[host.instance_id] = (host.generation, holder)
            self.waiting[host.instance_id] = []
            host.node.set_quota_bounds(self.bounds)
            host.node.set_organisations(list(self.tables[host.instance_id].values()))
        return holder

    def find_issuer(self) -> str:
        """Return the instance that leads the control group, of several the latest."""
        leaders = [
            (h.node.consensus.term, n)
            for n, h in self.hosts.items()
            if h.node is not None
            and h.node.consensus is not None
            and h.node.consensus.leader_id == n
        ]
        return max(leaders, default=(0, ""))[1]

    def call(self, name: str, organisation: str) -> None:
        """Send one request of an organisation to an instance."""
        host = self.hosts[name]
        if host.node is None or host.paused or organisation not in self.tables[name]:
            return
        now = host.read_clock()
        holder = self.get_holder(host)
        ticket = holder.admit(now, self.tables[name][organisation])
        self.waiting[name].append(Waiting(organisation, ticket, now))
        self._send_due(host)
        self._settle(host)
        if not ticket.is_settled:
            self.schedule(POLL_S, "poll", name, host.generation)

    def count_fullest(self, organisation: str, window_s: float, since: float = 0.0) -> int:
        """Return the requests of an organisation in the fullest window that begins later."""
        times = [t for t in self.used[organisation] if t >= since]
        return max(
            (bisect_left(times, t + window_s) - n for n, t in enumerate(times)), default=0
        )

    def count_between(self, times: list[Any], start: float, end: float) -> int:
        """Return the number of events in a period."""
        at = [t[0] if isinstance(t, tuple) else t for t in times]
        return sum(start <= t < end for t in at)

    # Events of the simulation.

    def perform(self, host: Host, actions: list[Any]) -> None:
        answers = [a for a in actions if isinstance(a, QuotasAnswered)]
        super().perform(host, [a for a in actions if not isinstance(a, QuotasAnswered)])
        if host.node is None or not host.instance_id.startswith("e"):
            return
        for answer in answers:
            holder = self.get_holder(host)
            reply = answer.reply
            now = host.read_clock()
            if reply.grants:
                grants = parse_grants(reply)
                holder.handle_reply(
                    now, reply.requested_at, answer.peer_id, reply.issued_at, grants
                )
            else:
                holder.handle_no_issuer(now, reply.requested_at)
            self._send_due(host)
            self._settle(host)

    def _do_tick(self, name: str, generation: int) -> None:
        super()._do_tick(name, generation)
        host = self.hosts[name]
        if host.node is None or host.paused or host.generation != generation:
            return
        if name in self.control:
            host.node.set_quota_bounds(self.bounds)
            host.node.set_organisations(list(self.tables[name].values()))
            return
        returns, _ = self.get_holder(host).tick(host.read_clock())
        if returns:
            self.perform(host, host.node.return_quotas(host.read_clock(), returns))
        self._send_due(host)

    def _do_call(self, organisation: str) -> None:
        if self.rates[organisation]:
            if not self.conforms or self._conforms(organisation):
                self.call(self.rng.choice(self.entries), organisation)
            self._schedule_call(organisation)

    def _conforms(self, name: str) -> bool:
        limit = self.tables[self.entries[0]][name]
        updated_at, level = self.levels.get(name, (self.now, limit.burst))
        level = min(limit.burst, level + (self.now - updated_at) * limit.rate_per_s)
        conforms = level >= 1
        self.levels[name] = (self.now, level - conforms)
        return conforms

    def _do_poll(self, name: str, generation: int) -> None:
        host = self.hosts[name]
        if host.node is None or host.generation != generation:
            return
        if host.paused:
            self.schedule(POLL_S, "poll", name, generation)
            return
        now = host.read_clock()
        holder = self.get_holder(host)
        self._send_due(host)
        for item in list(self.waiting[name]):
            if item.ticket.is_settled:
                continue
            until = item.arrived_at + MAX_ADMIT_S
            if now >= until or not holder.may_be_answered(now, item.name, until):
                self.waiting[name].remove(item)
                if holder.withdraw(now, item.name, item.ticket):
                    self.used[item.name].append(self.now)
                else:
                    refusal = (self.now, name, item.ticket.wait_s)
                    self.unanswered[item.name].append(refusal)
        self._settle(host)
        if self.waiting[name]:
            self.schedule(POLL_S, "poll", name, generation)

    def _schedule_call(self, organisation: str) -> None:
        self.schedule(self.rng.expovariate(self.rates[organisation]), "call", organisation)

    def _send_due(self, host: Host) -> None:
        now = host.read_clock()
        plan = self.get_holder(host).plan_request(now)
        if plan is not None:
            self.perform(host, host.node.request_quotas(now, plan))

    def _settle(self, host: Host) -> None:
        name, now = host.instance_id, host.read_clock()
        for item in list(self.waiting[name]):
            ticket = item.ticket
            if not ticket.is_settled:
                continue
            self.waiting[name].remove(item)
            self.waits.append(now - item.arrived_at)
            if ticket.lot is None:
                self.limited[item.name].append((self.now, name, ticket.wait_s))
            elif self.rng.random() < NOT_RUN_RATIO:
                returned = self.get_holder(host).give_back(now, item.name, ticket.lot)
                if returned is not None:
                    self.perform(host, host.node.return_quotas(now, [returned]))
            else:
                self.used[item.name].append(self.now)

    def _count_message(self, sender: str, target: str, message: Any) -> None:
        kind = type(message).__name__
        if kind.startswith("Quota"):
            self.quota_messages[kind] += 1
