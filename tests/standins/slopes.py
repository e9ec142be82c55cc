"""Measures how the cost of decisions, state and messages grows, for docs/CAPACITY.md."""

from __future__ import annotations

import functools
import gc
import itertools
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import pykka

from foxtaildrum import records as r
from foxtaildrum.balancing.balancer import Balancer
from foxtaildrum.balancing.loads import LoadReport
from foxtaildrum.balancing.policies import list_policies
from foxtaildrum.balancing.tickets import Ticket
from foxtaildrum.control.table_follower import TableFollower, TableState
from foxtaildrum.control.tables import Change
from foxtaildrum.fleet.crashes import MAX_RECORDS, CrashList
from foxtaildrum.fleet.digest import BUCKETS
from foxtaildrum.fleet.frames import FrameWriter, derive_key
from foxtaildrum.fleet.membership import LocalSummary, Member, Membership, MemberState
from foxtaildrum.fleet.upstreams import Entry, UpstreamList
from foxtaildrum.permits.bounds import OrganisationLimits, QuotaBounds
from foxtaildrum.permits.holder import QuotaHolder
from foxtaildrum.permits.issuer import QuotaIssuer
from foxtaildrum.requests.quotas import Quotas
from foxtaildrum.requests.routing import Router
from foxtaildrum.requests.steps import AttemptResult

REPEATS = 5
CRASHES_PER_RECORD = 3
ALL_BUCKETS = set(range(BUCKETS))


def time_call(function: Callable[[], Any], calls: int) -> float:
    """Return the mean seconds per call of the fastest of several rounds."""
    best = float("inf")
    for _ in range(REPEATS):
        began = time.perf_counter()
        for _ in range(calls):
            function()
        best = min(best, (time.perf_counter() - began) / calls)
    return best


def measure_memory(build: Callable[[], Any]) -> int:
    """Return the bytes that the object built by ``build`` holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def build_entry(number: int, pool: str) -> Entry:
    announcement = r.Announcement(
        pool=pool,
        address=f"10.{number // 65536 % 256}.{number // 256 % 256}.{number % 256}:8080",
        availability_zone=f"zone-{number % 24}",
        slots=6,
        incarnation=1_700_000_000,
        lease_s=15.0,
    )
    return Entry(f"{pool}-{number}", announcement, "ready", "e1", 1, False, 1e9)


def build_balancer(upstreams: int, policy: str) -> Balancer:
    pool = r.Pool(name="p", policy=policy)
    balancer = Balancer(pool, "zone-1", 64, random.Random(1))
    balancer.update_members(0.0, [build_entry(n, "p") for n in range(upstreams)])
    for upstream in balancer.upstreams.values():
        balancer.record_load(1.0, upstream, LoadReport(balancer.rng.random() * 6))
    return balancer


def request_and_release(balancer: Balancer) -> None:
    ticket = Ticket(1e9, frozenset())
    balancer.request_slot(1.0, ticket, True)
    balancer.release(1.0, ticket.granted, AttemptResult.OK, 0.01)


def print_decisions() -> None:
    print("decision: microseconds to request and release one slot")
    sizes = (10, 100, 1000)
    print(f"{'policy':<16}" + "".join(f"{n:>8}" for n in sizes))
    for policy in list_policies():
        costs = [
            time_call(functools.partial(request_and_release, build_balancer(n, policy)), 300)
            for n in sizes
        ]
        print(f"{policy:<16}" + "".join(f"{c * 1e6:>8.1f}" for c in costs))


class BalancerActor(pykka.ThreadingActor):
    """A balancer inside an actor, to compare with direct calls."""

    def __init__(self) -> None:
        super().__init__()
        self.balancer = build_balancer(13, "aged_load")

    def on_receive(self, message: Any) -> None:
        request_and_release(self.balancer)


def print_actor_overhead() -> None:
    balancer = build_balancer(13, "aged_load")
    direct = time_call(lambda: request_and_release(balancer), 500)
    actor = BalancerActor.start()
    mailbox = time_call(lambda: actor.ask(None), 500)
    actor.stop()
    print(
        f"\nhot path, 13 upstreams: {direct * 1e6:.1f} us called directly, "
        f"{mailbox * 1e6:.1f} us through a mailbox"
    )


def build_list(count: int) -> UpstreamList:
    upstreams = UpstreamList("e1")
    for number in range(count):
        upstreams.merge(0.0, build_entry(number, f"pool-{number % max(1, count // 15)}"))
    return upstreams


def print_upstreams() -> None:
    print("\nupstream list: entries, KiB, ms to check every lease, us to merge one change")
    for count in (1000, 9000, 27_000):
        size = measure_memory(lambda n=count: build_list(n))
        upstreams = build_list(count)
        expiry_s = time_call(lambda u=upstreams: u.expire(1.0, lambda owner: True), 3)
        entry = build_entry(1, "pool-1")
        sequence = [1]

        def merge(u=upstreams, e=entry, s=sequence) -> None:
            s[0] += 1
            u.merge(0.0, Entry(e.upstream_id, e.announcement, "ready", "e1", s[0], False, 1e9))

        merging = time_call(merge, 200)
        print(f"{count:>7}{size / 1024:>9.0f}{expiry_s * 1e3:>9.2f}{merging * 1e6:>9.1f}")


def build_members(count: int) -> Membership:
    members = [
        Member(f"i{n}", f"10.0.0.1:{n}", f"zone-{n % 24}", "entry", 1, MemberState.ALIVE, 0.0)
        for n in range(count)
    ]
    membership = Membership(members[0], {}, random.Random(1), 0.0)
    membership.merge(members[1:])
    membership.tick(0.0, LocalSummary())
    return membership


def print_members() -> None:
    print("\nmembers: count, KiB, ms per tick, neighbours, pings a second")
    for count in (17, 100, 1000, 4000):
        size = measure_memory(lambda n=count: build_members(n))
        membership = build_members(count)
        now = [1.0]

        def tick(m=membership, t=now) -> None:
            t[0] += 0.0001
            m.tick(t[0], LocalSummary())

        cost = time_call(tick, 20)
        pings = len(membership._pick_ping_targets())
        neighbours = len(membership.list_neighbours())
        print(f"{count:>7}{size / 1024:>9.0f}{cost * 1e3:>9.3f}{neighbours:>6}{pings:>6}")


def build_tables(count: int) -> TableState:
    state = TableState()
    pools = [{"name": f"service-{n}", "slots_per_upstream": 6} for n in range(count)]
    routes = [
        {"name": f"service-{n}", "path_prefix": f"/service-{n}", "pool": f"service-{n}"}
        for n in range(count)
    ]
    for name, rows in (("pools", pools), ("routes", routes)):
        change = Change(name, rows, 0, f"first-{name}", True)
        state.tables.apply_patch(state.tables.build_patch(change))
    return state


def print_tables() -> None:
    print("\ntables: services, KiB, bytes of one change, ms to apply it, us to route")
    for count in (30, 300, 1800):
        size = measure_memory(lambda n=count: build_tables(n))
        state = build_tables(count)
        number = [0]
        sizes = []

        def change(s=state, n=number, found=sizes) -> None:
            n[0] += 1
            table = s.tables.tables["pools"]
            rows = table.list_rows()
            rows[0] = {**rows[0], "slots_per_upstream": n[0] % 90 + 1}
            proposed = Change("pools", rows, table.version, f"change-{n[0]}", True)
            patch = s.tables.build_patch(proposed)
            log_entry = [n[0], "change", patch.to_wire()]
            found.append(len(pack(r.FollowEntries(group_id="g" * 16, entries=[log_entry]))))
            s.tables.apply_patch(patch)

        cost = time_call(change, 5)
        router = Router(state.tables.list_routes())
        route = time_call(
            lambda x=router, c=count: x.find_route("h", f"/service-{c // 2}", "GET"), 50
        )
        print(
            f"{count:>7}{size / 1024:>9.0f}{max(sizes):>9}{cost * 1e3:>9.2f}{route * 1e6:>9.1f}"
        )


def pack(message: Any) -> bytes:
    return FrameWriter(derive_key(b"k", b"a" * 16, b"b" * 16)).pack(message)


def build_crashes(count: int) -> CrashList:
    crashes = CrashList()
    for number in range(count):
        for start in range(CRASHES_PER_RECORD):
            crashes.report(0.0, f"{number:032x}", f"service-1-{number + start}.1700000000")
    return crashes


def print_crashes() -> None:
    print("\ncrash records: count, KiB, view in ms")
    for count in (100, MAX_RECORDS):
        size = measure_memory(lambda c=count: build_crashes(c))
        cost = time_call(build_crashes(count).build_view, 3)
        print(f"{count:>7}{size / 1024:>9.0f}{cost * 1e3:>9.2f}")


def print_messages() -> None:
    print("\nmessages: bytes per frame")
    member = build_members(17).me.to_wire()
    ping = r.Ping(
        nonce=1 << 31,
        member=member,
        members_root=1 << 31,
        upstreams_root=1 << 31,
        crashes_root=1 << 31,
        applied_index=1 << 20,
    )
    ack = r.Ack(
        nonce=1 << 31,
        members_root=1 << 31,
        upstreams_root=1 << 31,
        crashes_root=1 << 31,
        applied_index=1 << 20,
        group_id="g" * 16,
        beacon_index=1 << 20,
        beacon_age_s=1.5,
    )
    news = r.UpstreamNews(entries=[build_entry(1, "service-1").to_wire(0.0)], token="")
    renew = r.RenewRequest(upstream_id="service-1-17", incarnation=1_700_000_000, lease_s=15.0)
    claim = r.ClaimRequest(key="k" * 32, claim_id="c" * 32, digest="d" * 32, left_s=2.0)
    append = r.AppendRequest(
        term=9,
        previous_index=1 << 20,
        previous_term=9,
        entries=[],
        commit_index=1 << 20,
        sent_at=1.0,
    )
    buckets = r.SyncBuckets(subject="upstreams", hashes=[1 << 31] * 64, reply=False)
    for message in (
        ping,
        ack,
        news,
        renew,
        claim,
        append,
        buckets,
        r.MemberNews(members=[member]),
        r.PermitRequest(
            upstream_id="service-1-17", limit_per_s=2.5, count=1, requested_at=1000.0
        ),
        r.PermitReply(upstream_id="service-1-17", count=1, wait_s=0.25, requested_at=1000.0),
        r.CrashNews(records=[build_crashes(1).list_in_buckets(ALL_BUCKETS)[0].to_wire(0.0)]),
    ):
        cost = time_call(lambda m=message: pack(m), 500)
        print(
            f"{type(message).__name__:<16}{len(pack(message)):>6}{cost * 1e6:>9.1f} us to pack"
        )


def print_quotas() -> None:
    """Print what a request of an organisation costs with and without a limit."""
    print("\npermits of organisations: bytes per frame")
    for items in (1, 3, 20):
        request = r.QuotaRequest(
            requested_at=1000.1, items=[[f"organisation-{n}", 1, 0] for n in range(items)]
        )
        reply = r.QuotaReply(
            requested_at=1000.1,
            issued_at=2000.2,
            leader="control-1",
            grants=[[f"organisation-{n}", 1, 0.0, 0.37] for n in range(items)],
        )
        back = r.QuotaReturn(items=[[f"organisation-{n}", 1000.1, 1] for n in range(items)])
        sizes = "".join(f"{len(pack(m)):>6}" for m in (request, reply, back))
        cost = sum(time_call(lambda m=m: pack(m), 500) for m in (request, reply))
        print(f"{items:>7}{sizes}{cost * 1e6:>9.1f} us to pack the request and the reply")
    bounds = QuotaBounds(5.0, 0.1, 20.0)
    limited = r.Organisation(name="organisation-1", rate_per_s=1e6, burst=1e6)
    limits = OrganisationLimits()
    limits.replace([limited])
    issuer = QuotaIssuer(limits, bounds)
    issuer.begin_term(1, 0.0)
    holder = QuotaHolder(0.0, "e1", bounds, random.Random(1))
    clock = itertools.count(1000)

    def admit_once() -> None:
        now = next(clock) / 1000
        holder.admit(now, limited)
        plan = holder.plan_request(now)
        grants = [issuer.issue(now, "e1", i.name, i.wanted, i.ahead) for i in plan.items]
        holder.handle_reply(now, plan.requested_at, "c1", now, grants)
        holder.tick(now + 1.0)

    unlimited = r.Organisation(name="organisation-2")
    quotas = Quotas(holder, None)
    cost = time_call(admit_once, 2000)
    print(f"a request that asks for its permit: {cost * 1e6:.1f} us without the messages")
    cost = time_call(lambda: quotas.admit(0.0, unlimited, 1.0), 2000)
    print(f"a request of an organisation without a limit: {cost * 1e6:.2f} us")


def print_follower_memory() -> None:
    follower = measure_memory(lambda: TableFollower(TableState(), 0, True))
    print(f"\nan empty follower holds {follower} bytes")


def main() -> None:
    print_decisions()
    print_actor_overhead()
    print_upstreams()
    print_members()
    print_tables()
    print_crashes()
    print_messages()
    print_quotas()
    print_follower_memory()


if __name__ == "__main__":
    main()
