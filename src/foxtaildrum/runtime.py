"""Actors that host the machines of an instance and perform their actions."""

from __future__ import annotations

import random
import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgpack
import pykka

from .claimer import ClaimSettled
from .claims import ClaimOutcome, Verdict, compute_claim_key
from .dispatch import Refusal, UpstreamAnswer
from .events import Received, Send
from .exceptions import FrameError
from .idempotency import StoredAnswer
from .journal import Journal
from .logs import log_event
from .metrics import Meter
from .node import ChangeSettled, MemberChanged, Node, UpstreamsLost, Write
from .node_api import ChangeAnswer
from .peers import PeerNetwork
from .pools import UpstreamPool, read_clock
from .proxy import Proxy, View
from .records import Announcement, ClaimFinish, Settings
from .routing import Router
from .tables import Change
from .transport import get_adapter

TICK_S = 0.1
ANSWER_TIMEOUT_S = 10.0
CLAIM_ANSWER_TIMEOUT_S = 3.0


@dataclass(slots=True)
class TimePassed:
    """The ticker's message to the node."""


@dataclass(slots=True)
class Written:
    """A write was synced, or failed."""

    stream: str
    token: int
    failed: bool


class StorageActor(pykka.ThreadingActor):
    """Writes journals, so that a sync does not hold up the node.

    Parameters
    ----------
    journals : dict
        Journals by stream.
    report : callable
        Called with :class:`Written` after each write.
    """

    def __init__(self, journals: dict[str, Journal], report: Callable[[Written], None]) -> None:
        super().__init__()
        self._journals = journals
        self._report = report
        self._failed: set[str] = set()

    def on_receive(self, message: Write) -> None:
        """Perform one write."""
        failed = message.stream in self._failed
        if not failed:
            failed = not self._try_write(message)
        if failed:
            # After a failed sync the content of the file is unknown.
            self._failed.add(message.stream)
        self._report(Written(message.stream, message.token, failed))

    def _try_write(self, message: Write) -> bool:
        journal = self._journals[message.stream]
        packed = [msgpack.packb(record) for record in message.records]
        try:
            if message.replace:
                journal.replace(packed)
            else:
                for record in packed:
                    journal.append(record)
        except OSError as error:
            log_event("disk_failed", stream=message.stream, reason=str(error))
            return False
        return True


class ViewPublisher:
    """Builds the view that request threads read.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    proxy : Proxy
        Takes the view.
    meter : Meter
        Follows the routes.
    """

    def __init__(self, settings: Settings, proxy: Proxy, meter: Meter) -> None:
        self._settings = settings
        self._proxy = proxy
        self._meter = meter
        self._generation = -1
        self.tell_draining: Callable[[str], None] = _ignore

    def publish(self, now: float, node: Node) -> None:
        """Bring the view up to the node's state if that has changed."""
        changed = node.upstreams.take_changed_pools()
        if node.follower.generation != self._generation:
            self._generation = node.follower.generation
            changed |= self._publish_tables(node)
        pools = self._proxy.view.pools
        for name in changed & pools.keys():
            pools[name].update_members(now, node.upstreams.list_members(name))

    def _publish_tables(self, node: Node) -> set[str]:
        """Put the tables in force; return the pools that are new or changed."""
        tables = node.state.tables
        routes = tables.list_routes()
        known = self._proxy.view.pools
        pools = {}
        records = tables.list_pools()
        threads = self._settings.threads
        busy_limit = threads if len(records) == 1 else threads // 2
        changed = set()
        for record in records:
            pool = known.get(record.name)
            if pool is None or pool.balancer.pool != record:
                changed.add(record.name)
            if pool is None:
                pool = UpstreamPool(
                    record,
                    self._settings.availability_zone,
                    self._settings.queue_limit,
                    get_adapter("http"),
                    self._pass_draining,
                    random.Random(),
                )
            pool.configure(record, busy_limit)
            pools[record.name] = pool
        self._proxy.view = View(Router(routes), pools)
        self._meter.set_routes(routes)
        for name in set(known) - set(pools):
            known[name].close()
        versions = {f"{n}_version": t.version for n, t in tables.tables.items()}
        log_event("tables_in_force", index=node.follower.index, **versions)
        return changed

    def _pass_draining(self, upstream_id: str) -> None:
        self.tell_draining(upstream_id)


class NodeActor(pykka.ThreadingActor):
    """Hosts the node: one message at a time.

    Parameters
    ----------
    node : Node
        State of the instance.
    storage : ActorRef or None
        Performs writes; None on an instance without a disk.
    network : PeerNetwork or None
        Sends messages; None for a site of one instance.
    publisher : ViewPublisher
        Shows the state to request threads.
    meter : Meter
        Counts what happens.
    """

    def __init__(
        self,
        node: Node,
        storage: Callable[[Write], None],
        network: PeerNetwork | None,
        publisher: ViewPublisher,
        meter: Meter,
    ) -> None:
        super().__init__()
        self._node = node
        self._storage = storage
        self._network = network
        self._publisher = publisher
        self._meter = meter
        self._futures: dict[str, pykka.Future] = {}

    def on_receive(self, message: Any) -> None:
        """Take one message of the ticker, the network or the storage."""
        now = read_clock()
        if isinstance(message, Received):
            self._receive(now, message)
        elif isinstance(message, TimePassed):
            self._perform(now, self._node.tick(now))
        elif isinstance(message, Written):
            self._note_written(now, message)

    def propose(self, change: Change, answer: pykka.Future) -> None:
        """Propose a change; ``answer`` gets its answer."""
        token = uuid.uuid4().hex
        self._futures[token] = answer
        now = read_clock()
        self._perform(now, self._node.propose(now, token, change))

    def announce(self, upstream_id: str, announcement: Announcement) -> str:
        """Take an announcement; return the reason of a refusal."""
        now = read_clock()
        refusal, actions = self._node.announce(now, upstream_id, announcement)
        self._perform(now, actions)
        return refusal

    def leave_upstream(self, upstream_id: str) -> bool:
        """Take an upstream out; return whether it was known."""
        now = read_clock()
        known, actions = self._node.leave_upstream(now, upstream_id)
        self._perform(now, actions)
        return known

    def note_draining(self, upstream_id: str) -> None:
        """Take note of a drain that an answer told."""
        now = read_clock()
        self._perform(now, self._node.note_draining(now, upstream_id))

    def claim(self, claim_id: str, key: str, digest: str, left_s: float, outcome: Any) -> None:
        """Claim a key; ``outcome`` gets what it led to."""
        self._futures[claim_id] = outcome
        now = read_clock()
        self._perform(now, self._node.claim(now, claim_id, key, digest, left_s))

    def finish_claim(self, message: ClaimFinish, done: pykka.Future) -> None:
        """Store an answer; ``done`` is set once a quorum has it."""
        token = uuid.uuid4().hex
        self._futures[token] = done
        now = read_clock()
        self._perform(now, self._node.finish_claim(now, token, message))

    def release_claim(self, key: str, claim_id: str) -> None:
        """Give back the claim of a request that was not run."""
        now = read_clock()
        self._perform(now, self._node.release_claim(now, key, claim_id))

    def begin_stop(self) -> None:
        """Hand over what the instance holds."""
        now = read_clock()
        self._perform(now, self._node.begin_stop(now))

    def end_stop(self) -> None:
        """Leave the fleet."""
        now = read_clock()
        self._perform(now, self._node.end_stop(now))

    def read(self, function: Callable[[Node, float], Any]) -> Any:
        """Return what ``function`` reads of the node."""
        return function(self._node, read_clock())

    def _receive(self, now: float, message: Received) -> None:
        try:
            self._perform(now, self._node.receive(now, message.peer_id, message.message))
        except FrameError as error:
            self._meter.count("frames.refused")
            log_event("message_refused", peer=message.peer_id, reason=str(error))

    def _note_written(self, now: float, message: Written) -> None:
        if message.failed:
            actions = self._node.note_write_failed(now, message.stream, message.token)
        else:
            actions = self._node.note_written(now, message.stream, message.token)
        self._perform(now, actions)

    def _perform(self, now: float, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Write):
                self._storage(action)
            elif isinstance(action, ChangeSettled):
                self._settle(action.token, action.answer)
            elif isinstance(action, ClaimSettled):
                self._settle(action.token, action.outcome)
            elif isinstance(action, UpstreamsLost):
                for upstream_id in action.upstream_ids:
                    log_event("upstream_lost", upstream=upstream_id)
            elif isinstance(action, MemberChanged):
                log_event("member_changed", member=action.instance_id, state=action.state)
        self._publisher.publish(now, self._node)

    def _send(self, action: Send) -> None:
        if self._network is None:
            return
        address = self._node.members.find_address(action.peer_id)
        if address:
            self._network.send(action.peer_id, address, action.message)

    def _settle(self, token: str, value: Any) -> None:
        future = self._futures.pop(token, None)
        if future is not None:
            future.set(value)


class Ticker:
    """Tells the node that time passes."""

    def __init__(self, tell: Callable[[TimePassed], None]) -> None:
        self._tell = tell
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Tick in a thread of its own."""
        self._thread.start()

    def stop(self) -> None:
        """Stop ticking."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(TICK_S):
            self._tell(TimePassed())


class NodeClaims:
    """Claims for request threads, made by the node.

    Parameters
    ----------
    node : ActorProxy
        Proxy of the node's actor.
    """

    def __init__(self, node: pykka.ActorProxy) -> None:
        self._node = node

    def claim(self, key: str, digest: str, left_s: float) -> tuple[NodeClaim, ClaimOutcome]:
        """Claim an idempotency key and wait for the decision."""
        claim_id = uuid.uuid4().hex
        claim_key = compute_claim_key(key)
        future = pykka.ThreadingFuture()
        self._node.claim.defer(claim_id, claim_key, digest, left_s, future)
        claimed = NodeClaim(self._node, claim_key, claim_id, digest)
        try:
            return claimed, future.get(timeout=CLAIM_ANSWER_TIMEOUT_S)
        except pykka.Timeout:
            self._node.release_claim.defer(claim_key, claim_id)
            return claimed, ClaimOutcome(Verdict.UNAVAILABLE)


class NodeClaim:
    """A claim that the node made for one request."""

    __slots__ = ("_claim_id", "_digest", "_key", "_node")

    def __init__(self, node: pykka.ActorProxy, key: str, claim_id: str, digest: str) -> None:
        self._node = node
        self._key = key
        self._claim_id = claim_id
        self._digest = digest

    def settle(self, result: Refusal | UpstreamAnswer) -> None:
        """Give the claim back or store the answer."""
        stored = StoredAnswer.from_result(result)
        if stored is None:
            self._node.release_claim.defer(self._key, self._claim_id)
            return
        message = ClaimFinish(
            key=self._key,
            claim_id=self._claim_id,
            digest=self._digest,
            status=stored.status,
            headers=[list(pair) for pair in stored.headers],
            body=stored.body,
        )
        done = pykka.ThreadingFuture()
        self._node.finish_claim.defer(message, done)
        try:
            done.get(timeout=CLAIM_ANSWER_TIMEOUT_S)
        except pykka.Timeout:
            log_event("claim_not_stored", claim=self._claim_id)


class NodeAccess:
    """Node as the admin interface sees it.

    Parameters
    ----------
    node : ActorProxy
        Proxy of the node's actor.
    meter : Meter
        Counts of the instance.
    proxy : Proxy
        Holds the view in force.
    settings : Settings
        Settings of the instance.
    """

    def __init__(
        self, node: pykka.ActorProxy, meter: Meter, proxy: Proxy, settings: Settings
    ) -> None:
        self._node = node
        self._meter = meter
        self._proxy = proxy
        self._settings = settings
        self.listens_to_callers = settings.role != "control"

    def list_unready_reasons(self) -> list[str]:
        """Return why callers should not be sent here; empty when ready."""
        return self._read(Node.list_unready_reasons)

    def describe_status(self) -> dict[str, Any]:
        """Return the status document."""
        now = read_clock()
        document = self._read(describe_node)
        document["counters"] = self._meter.describe_counters()
        document["latency_ms"] = self._meter.describe_latencies(now)
        document["pools"] = [
            describe_pool(now, pool) for pool in self._proxy.view.pools.values()
        ]
        return document

    def describe_levels(self) -> list[dict[str, Any]]:
        """Return the service level of each route."""
        return self._meter.describe_levels(read_clock())

    def get_table(self, name: str) -> tuple[list[dict[str, Any]], int, bool]:
        """Return the rows, the version and whether they are known to be current."""
        return self._read(lambda node, now: _read_table(node, now, name))

    def change_table(self, change: Change) -> ChangeAnswer:
        """Propose a change and wait for its answer."""
        answer = pykka.ThreadingFuture()
        self._node.propose.defer(change, answer)
        try:
            return answer.get(timeout=ANSWER_TIMEOUT_S)
        except pykka.Timeout:
            return ChangeAnswer("unknown", 0, detail="The change was not answered in time")

    def announce(self, upstream_id: str, announcement: Announcement) -> str:
        """Take an announcement; return the reason of a refusal or an empty text."""
        return self._node.announce(upstream_id, announcement).get(timeout=ANSWER_TIMEOUT_S)

    def leave(self, upstream_id: str) -> bool:
        """Take an upstream out; return whether it was known."""
        return self._node.leave_upstream(upstream_id).get(timeout=ANSWER_TIMEOUT_S)

    def _read(self, function: Callable[[Node, float], Any]) -> Any:
        return self._node.read(function).get(timeout=ANSWER_TIMEOUT_S)


def describe_node(node: Node, now: float) -> dict[str, Any]:
    """Return the part of the status document that the node knows."""
    age_s = node.follower.compute_age(now)
    me = node.members.me
    document: dict[str, Any] = {
        "instance": me.instance_id,
        "availability_zone": me.availability_zone,
        "role": me.role,
        "ready": not node.list_unready_reasons(now),
        "unready_reasons": node.list_unready_reasons(now),
        "tables": {
            name: {"version": t.version, "changed_by": t.changed_by, "rows": len(t.rows)}
            for name, t in node.state.tables.tables.items()
        },
        "table_index": node.follower.index,
        "table_age_s": None if age_s is None else round(age_s, 3),
        "control_group": node.state.group_id,
        "foreign_control_group": node.follower.foreign_group,
        "members": [
            {
                "instance": m.instance_id,
                "state": m.state.name.lower(),
                "role": m.role,
                "availability_zone": m.availability_zone,
                "address": m.address,
                "incarnation": m.incarnation,
            }
            for m in sorted(node.members.members.values(), key=lambda m: m.instance_id)
        ],
        "upstreams": [
            {
                "upstream": e.upstream_id,
                "pool": e.announcement.pool,
                "address": e.announcement.address,
                "state": "lost" if e.lost else e.state,
                "owner": e.owner,
                "incarnation": e.announcement.incarnation,
            }
            for e in sorted(node.upstreams.entries.values(), key=lambda e: e.upstream_id)
        ],
    }
    if node.consensus is not None:
        document["control"] = _describe_control(node)
    return document


def _describe_control(node: Node) -> dict[str, Any]:
    consensus = node.consensus
    return {
        "role": consensus.role.value,
        "term": consensus.term,
        "leader": consensus.leader_id,
        "members": consensus.members,
        "commit_index": consensus.commit_index,
        "last_index": consensus.log.last_index,
        "disk_id": consensus.disk_id,
        "disk_admitted": consensus.is_voter(),
        "claims": len(node.holder.claims),
        "claims_recovered": node.holder.recovered,
    }


def describe_pool(now: float, pool: UpstreamPool) -> dict[str, Any]:
    """Return the part of the status document on one pool."""
    balancer = pool.balancer
    return {
        "pool": pool.name,
        "policy": balancer.pool.policy,
        "waiting": len(balancer.queue),
        "mean_service_ms": round(balancer.load.mean_service_s * 1000, 3),
        "upstreams": [
            {
                "upstream": u.upstream_id,
                "state": u.state,
                "in_flight": u.in_flight,
                "slots": u.slots,
                "ejected": u.ejected_until > now,
            }
            for u in list(balancer.upstreams.values())
        ],
    }


def _read_table(node: Node, now: float, name: str) -> tuple[list[dict[str, Any]], int, bool]:
    table = node.state.tables.tables[name]
    return table.list_rows(), table.version, node.is_current(now)


def _ignore(upstream_id: str) -> None:
    return None
