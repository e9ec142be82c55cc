"""Simulated fleet: real nodes on a fake network, clock and disk.

All events of all nodes run in one queue, so that a test can inject a fault at any step. After
each event the consistency of the tables is checked.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

import msgpack

from foxtaildrum.admin.metrics import Meter
from foxtaildrum.control.claimer import ClaimCompleted
from foxtaildrum.control.claims import ClaimOutcome, Verdict
from foxtaildrum.control.desired import DesiredState
from foxtaildrum.control.evacuations import EvacuationOrder
from foxtaildrum.control.group import Role
from foxtaildrum.control.journal import Journal
from foxtaildrum.control.orders import OrderCompleted, OrderOutcome
from foxtaildrum.control.proposals import ChangeCompleted
from foxtaildrum.control.reads import ReadCompleted
from foxtaildrum.control.storage import JournalWriter, WriteCompleted
from foxtaildrum.control.tables import Change
from foxtaildrum.events import Send
from foxtaildrum.exceptions import FileNotReplacedError, FrameError
from foxtaildrum.fleet.actions import CLAIM_STREAM, LOG_STREAM, UPSTREAM_STREAM, Write
from foxtaildrum.fleet.membership import Member, MemberState
from foxtaildrum.fleet.messages import decode_message, encode_message
from foxtaildrum.fleet.node import JoinOptions, Node
from foxtaildrum.fleet.node_api import ChangeAnswer
from foxtaildrum.fleet.receipts import ReceiptsCompleted
from foxtaildrum.instance import load_log_state, load_upstreams
from foxtaildrum.records import Announcement, ClaimFinish
from foxtaildrum.sizes import MAX_MESSAGE_BYTES

STREAMS = (LOG_STREAM, CLAIM_STREAM, UPSTREAM_STREAM)
SYNC_S = 0.001
MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.002


class FakeDisk:
    """Files in memory; while ``failing`` is set, every write is refused or cut short.

    The host simulates writes that a crash loses or tears.
    """

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.failing = False

    def read(self, name: str) -> bytes:
        return self.files.get(name, b"")

    def append(self, name: str, data: bytes) -> None:
        if self.failing:
            self.files[name] = self.files.get(name, b"") + data[: len(data) // 2]
            raise OSError("the disk failed")
        self.files[name] = self.files.get(name, b"") + data

    def replace(self, name: str, data: bytes) -> None:
        if self.failing:
            raise FileNotReplacedError("the disk failed")
        self.files[name] = data

    def set_aside(self, name: str) -> None:
        if self.failing:
            raise OSError("the disk failed")
        self.files[name + ".damaged"] = self.files.pop(name)

    def truncate(self, name: str, size: int) -> None:
        if self.failing:
            raise OSError("the disk failed")
        self.files[name] = self.files.get(name, b"")[:size]


class Host:
    """One instance of the fleet: its node, disk and clock."""

    def __init__(self, fleet: Fleet, instance_id: str, zone: str, has_disk: bool) -> None:
        self.fleet = fleet
        self.instance_id = instance_id
        self.zone = zone
        self.disk = FakeDisk() if has_disk else None
        self.writer: JournalWriter | None = None
        self.reports: list[WriteCompleted] = []
        self.node: Node | None = None
        self.generation = 0
        self.joins_late = False
        self.paused = False
        self.held_messages: list[tuple[str, Any]] = []
        self.clock_skew_s = 0.0
        self.sync_s = SYNC_S
        self.tear_next = False
        self.unsynced: list[tuple[int, Write]] = []
        self.versions = {"routes": 0, "pools": 0}

    def read_clock(self) -> float:
        return self.fleet.now + self.clock_skew_s

    def start(self) -> None:
        """Start or restart with the content of the disk."""
        self.generation += 1
        self.paused = False
        self.held_messages = []
        self.versions = {"routes": 0, "pools": 0}
        rng = random.Random(f"{self.fleet.seed}-{self.instance_id}-{self.generation}")
        now = self.read_clock()
        incarnation = int(self.fleet.now * 1000) + self.generation
        me = Member(
            self.instance_id,
            self.instance_id,
            self.zone,
            "all",
            incarnation,
            MemberState.ALIVE,
            now,
        )
        saved = None
        claims: list[Any] = []
        if self.disk is not None:
            journals = {name: Journal(self.disk, name) for name in STREAMS}
            saved = load_log_state(journals[LOG_STREAM], bool(self.fleet.seeds))
            claims = [
                msgpack.unpackb(record, strict_map_key=False)
                for record in journals[CLAIM_STREAM].load()
            ]
        if self.fleet.seeds:
            me.role = "control" if saved is not None else "entry"
            seeds = {i: i for i in self.fleet.seeds}
            bootstrap = self.generation == 1 and not self.joins_late
            join_options = JoinOptions(seeds, bootstrap, self.fleet.tolerated_losses)
            self.node = Node(me, {}, saved, claims, rng, now, join_options)
        else:
            control = {i: i for i in self.fleet.control}
            self.node = Node(me, control, saved, claims, rng, now)
        if saved is not None:
            records = load_upstreams(journals[UPSTREAM_STREAM], Meter())
            self.node.restore_upstreams(now, records)
            self.writer = JournalWriter(journals, self.reports.append)
            self.writer.report_torn()
            self.handle_reports()
        period_s = self.node.get_tick_period()
        self.fleet.schedule(period_s * rng.random(), "tick", self.instance_id, self.generation)

    def handle_reports(self) -> None:
        """Tell the node which writes were synced or have failed."""
        reports, self.reports[:] = list(self.reports), []
        for report in reports:
            now = self.read_clock()
            if report.failed:
                actions = self.node.handle_write_failed(now, report.stream, report.token)
            else:
                actions = self.node.handle_written(now, report.stream, report.token)
            self.fleet.perform(self, actions)

    def crash(self) -> None:
        """Stop immediately; writes that are not yet synced are lost or torn."""
        self.node = None
        self.held_messages = []
        for _, write in self.unsynced[:1]:
            if self.tear_next:
                self._tear(write)
        self.unsynced = []
        self.tear_next = False

    def _tear(self, write: Write) -> None:
        if write.replace:
            return
        scratch = FakeDisk()
        Journal(scratch, write.stream).append(msgpack.packb(write.records[0]))
        data = scratch.files[write.stream]
        self.disk.files[write.stream] = self.disk.read(write.stream) + data[: len(data) // 2]


class Fleet:
    """Hosts, their network and the checks of their behaviour.

    Parameters
    ----------
    control : int
        Number of control instances, named ``c1``, ``c2`` and so on.
    entry : int
        Number of entry instances, named ``e1``, ``e2`` and so on.
    seed : int
        Seed of all random choices.
    seeds : int
        Number of control instances that are given as seeds; with 0 each instance is given
        the addresses of all control instances.
    tolerated_losses : int
        Number of disks that may be lost at the same time.
    start_delays : dict or None
        Delay in seconds before the first start of each host; 0 for those not listed.
    """

    def __init__(
        self,
        control: int,
        entry: int,
        seed: int,
        seeds: int = 0,
        tolerated_losses: int = 0,
        start_delays: dict[str, float] | None = None,
    ) -> None:
        self.seed = seed
        self.seeds = [f"c{n + 1}" for n in range(seeds)]
        self.tolerated_losses = tolerated_losses
        self.reads: dict[str, bool] = {}
        self.orders: dict[str, bool] = {}
        self.outcomes: dict[str, OrderOutcome] = {}
        self.receipts: dict[str, bool] = {}
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.control = [f"c{n + 1}" for n in range(control)]
        names = self.control + [f"e{n + 1}" for n in range(entry)]
        self.hosts = {
            name: Host(self, name, f"zone-{n % 3}", name in self.control)
            for n, name in enumerate(names)
        }
        self.queue: list[tuple[float, int, str, tuple[Any, ...]]] = []
        self.event_count = 0
        self.blocked: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.extra_delay_s = 0.0
        self.watchers: list[Callable[[str, str, Any], None]] = []
        self.answers: dict[str, ChangeAnswer] = {}
        self.claims: dict[str, ClaimOutcome] = {}
        self.history: dict[tuple[str, int], str] = {}
        self.accepted: dict[tuple[str, int], str] = {}
        self.refused: set[str] = set()
        self.unavailable: set[str] = set()
        self.latest_token: dict[str, str] = {}
        self.leaders: dict[int, tuple[str, int]] = {}
        self.messages = 0
        self.largest_message = (0, "")
        self.message_bytes = 0
        self.sent_bytes: dict[str, int] = dict.fromkeys(names, 0)
        self.last_arrival: dict[tuple[str, str], float] = {}
        for name, host in self.hosts.items():
            delay_s = (start_delays or {}).get(name, 0.0)
            if delay_s:
                self.schedule(delay_s, "restart", name)
            else:
                host.start()

    # Simulated time and events.

    def schedule(self, delay_s: float, kind: str, *arguments: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (self.now + delay_s, self.event_count, kind, arguments))

    def run(self, duration_s: float) -> None:
        """Run the events of the next ``duration_s`` seconds."""
        until = self.now + duration_s
        while self.queue and self.queue[0][0] <= until:
            self.step()
        self.now = until

    def run_until(self, condition: Callable[[], bool], limit_s: float = 60.0) -> bool:
        """Run events until ``condition`` holds; return False after ``limit_s`` seconds."""
        until = self.now + limit_s
        while not condition():
            if not self.queue or self.queue[0][0] > until:
                return False
            self.step()
        return True

    def step(self) -> None:
        at, _, kind, arguments = heapq.heappop(self.queue)
        self.now = max(self.now, at)
        getattr(self, f"_do_{kind}")(*arguments)

    def _do_tick(self, name: str, generation: int) -> None:
        host = self.hosts[name]
        if host.node is None or host.generation != generation:
            return
        self.schedule(host.node.get_tick_period(), "tick", name, generation)
        if not host.paused:
            self.perform(host, host.node.tick(host.read_clock()))

    def _do_deliver(self, sender: str, target: str, generation: int, data: bytes) -> None:
        host = self.hosts[target]
        if host.node is None or host.generation != generation:
            return
        if host.paused:
            host.held_messages.append((sender, data))
            return
        try:
            message = decode_message(data)
            actions = host.node.receive(host.read_clock(), sender, message)
        except FrameError as error:
            raise AssertionError(f"{target} refused a message: {error}") from error
        self.perform(host, actions)

    def _do_sync(self, name: str, generation: int, number: int) -> None:
        host = self.hosts[name]
        if host.node is None or host.generation != generation:
            return
        write = next((w for n, w in host.unsynced if n == number), None)
        if write is None:
            return
        host.unsynced = [(n, w) for n, w in host.unsynced if n != number]
        host.writer.perform([write])
        host.handle_reports()

    def _do_heal(self) -> None:
        self.heal()

    def _do_restart(self, name: str) -> None:
        if self.hosts[name].node is None:
            self.hosts[name].start()

    def _do_replace(self, name: str) -> None:
        if self.hosts[name].node is None:
            self.restart(name, lose_disk=True)

    # Actions of nodes.

    def perform(self, host: Host, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.send(host.instance_id, action.peer_id, action.message)
            elif isinstance(action, Write):
                self.event_count += 1
                host.unsynced.append((self.event_count, action))
                self.schedule(
                    host.sync_s, "sync", host.instance_id, host.generation, self.event_count
                )
            elif isinstance(action, ChangeCompleted):
                self.answers[action.token] = action.answer
                self.record_answer(action.answer, action.token)
            elif isinstance(action, ClaimCompleted):
                self.claims[action.token] = action.outcome
            elif isinstance(action, ReadCompleted):
                self.reads[action.token] = action.succeeded
            elif isinstance(action, OrderCompleted):
                self.orders[action.token] = action.committed
                self.outcomes[action.token] = action.outcome
            elif isinstance(action, ReceiptsCompleted):
                self.receipts[action.token] = action.stored
        self.check(host)

    def send(self, sender: str, target: str, message: Any) -> None:
        for watcher in list(self.watchers):
            watcher(sender, target, message)
        if self.hosts[sender].node is None or target not in self.hosts:
            return
        data = encode_message(message)
        kind = type(message).__name__
        assert len(data) <= MAX_MESSAGE_BYTES, f"{kind} of {len(data)} bytes cannot be sent"
        self.largest_message = max(self.largest_message, (len(data), kind))
        self.messages += 1
        self.message_bytes += len(data)
        self.sent_bytes[sender] += len(data)
        if (sender, target) in self.blocked or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            delay_s = self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
            delay_s += self.rng.random() * self.extra_delay_s
            generation = self.hosts[target].generation
            self.schedule(delay_s, "deliver", sender, target, generation, data)

    # Faults.

    def crash(self, name: str) -> None:
        self.hosts[name].crash()

    def restart(self, name: str, lose_disk: bool = False) -> None:
        host = self.hosts[name]
        if host.node is not None:
            host.crash()
        if lose_disk and host.disk is not None:
            host.disk = FakeDisk()
        host.start()

    def may_lose_disk(self, name: str) -> bool:
        """Return whether the group tolerates the loss of the disk of ``name``.

        After one loss, the next disk may be lost only when the group has admitted the
        replacement and its claim holder has read the claims of the others. So all other
        control instances must be running voters with recovered claims and no unsynced writes.
        """
        others = [self.hosts[c] for c in self.control if c != name]
        return name in self.control and all(
            host.disk is not None
            and not host.disk.failing
            and host.node is not None
            and host.node.consensus.role is not Role.FAILED
            and not host.unsynced
            and host.node.consensus.is_voter()
            and host.node.holder.recovered
            for host in others
        )

    def pause(self, name: str) -> None:
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        host = self.hosts[name]
        if not host.paused:
            return
        host.paused = False
        held, host.held_messages = host.held_messages, []
        for sender, data in held:
            self._do_deliver(sender, name, host.generation, data)

    def cut(self, group: list[str], inwards: bool = True, outwards: bool = True) -> None:
        """Block the network between ``group`` and the other hosts, in one direction or both."""
        for name in self.hosts:
            if name in group:
                continue
            for member in group:
                if inwards:
                    self.blocked.add((name, member))
                if outwards:
                    self.blocked.add((member, name))

    def heal(self) -> None:
        """End all faults: start, resume and connect every host."""
        self.blocked.clear()
        self.loss = self.duplication = self.extra_delay_s = 0.0
        for name, host in self.hosts.items():
            if host.disk is not None:
                host.disk.failing = False
            if host.node is None:
                host.start()
            self.resume(name)

    # Actions of operators, upstreams and callers.

    def propose(
        self,
        name: str,
        table: str,
        rows: list[dict],
        version: int,
        change_id: str,
        first: bool = True,
    ) -> str:
        host = self.hosts[name]
        token = f"{change_id}@{name}-{self.event_count}"
        self.unavailable.discard(change_id)
        self.latest_token[change_id] = token
        change = Change(table, rows, version, change_id, first)
        self.perform(host, host.node.propose(host.read_clock(), token, change))
        return token

    def change(self, name: str, change_id: str, version: int | None = None) -> ChangeAnswer:
        """Add one pool to the pools table and wait for the answer."""
        table = self.hosts[name].node.state.tables.tables["pools"]
        if version is None:
            version = table.version
        rows = [{"name": f"pool-{n}"} for n in range(version)] + [{"name": change_id}]
        token = self.propose(name, "pools", rows, version, change_id)
        self.run_until(lambda: token in self.answers, 15.0)
        return self.answers.get(token) or ChangeAnswer("unknown", 0)

    def change_until_accepted(self, change_id: str) -> None:
        """Propose changes at the running entry instances in turn until one is accepted."""
        entries = [n for n, h in self.hosts.items() if n.startswith("e") and h.node]
        self._change_through(entries, change_id)

    def change_until_accepted_by(self, name: str, change_id: str) -> None:
        """Propose changes at one instance until one is accepted."""
        self._change_through([name], change_id)

    def _change_through(self, names: list[str], change_id: str) -> None:
        for attempt in range(60):
            name = names[attempt % len(names)]
            answer = self.change(name, f"{change_id}-{attempt}")
            if answer.verdict == "accepted":
                return
            self.run(0.5)
        raise AssertionError("no change was accepted")

    def put_desired(self, name: str, number: int, text: str) -> str:
        """Propose a desired state whose only pool is named ``text``; return the token."""
        host = self.hosts[name]
        self.event_count += 1
        token = f"desired-{number}-{text}@{name}-{self.event_count}"
        desired = DesiredState(number, {"routes": [], "pools": [{"name": text}]}, {})
        self.perform(host, host.node.propose(host.read_clock(), token, desired))
        return token

    def put_desired_until_accepted(self, number: int, text: str) -> None:
        """Send a desired state to the running control instances in turn until accepted."""
        for attempt in range(60):
            names = [c for c in self.control if self.hosts[c].node is not None]
            token = self.put_desired(names[attempt % len(names)], number, text)
            self.run_until(lambda t=token: t in self.answers, 1.0)
            answer = self.answers.get(token)
            if answer is not None and answer.verdict in ("accepted", "superseded"):
                return
            self.run(0.3)
        raise AssertionError("the desired state was not accepted\n" + self.describe())

    def read_desired(self, name: str) -> int | None:
        """Return the number of the desired state read at ``name``; None if the read fails."""
        host = self.hosts[name]
        self.event_count += 1
        token = f"read@{name}-{self.event_count}"
        self.perform(host, host.node.read(host.read_clock(), token))
        self.run_until(lambda: token in self.reads, 2.0)
        if not self.reads.get(token):
            return None
        return host.node.state.tables.desired_number

    def order(
        self, name: str, zone: str, evacuated: bool = True, known_orders: int | None = None
    ) -> str:
        """Order to evacuate or to restore a zone; return the token of the order.

        Without ``known_orders``, the order is given after all orders that the instance knows.
        """
        host = self.hosts[name]
        if known_orders is None:
            known_orders = host.node.state.tables.evacuations.order_count
        self.event_count += 1
        token = f"order-{zone}@{name}-{self.event_count}"
        order = EvacuationOrder(zone, evacuated, self.now)
        now = host.read_clock()
        self.perform(host, host.node.order_evacuation(now, token, order, known_orders))
        return token

    def order_until_committed(
        self, zone: str, evacuated: bool = True, names: list[str] | None = None
    ) -> None:
        """Send an order to the running control instances in turn until it is acknowledged.

        Only some of them are asked if ``names`` is given.
        """
        self._order_through(names or self.control, zone, evacuated)

    def order_until_committed_by(self, name: str, zone: str) -> None:
        """Send an order to one instance until it is acknowledged."""
        self._order_through([name], zone, True)

    def _order_through(self, names: list[str], zone: str, evacuated: bool) -> None:
        for attempt in range(60):
            running = [n for n in names if self.hosts[n].node is not None]
            token = self.order(running[attempt % len(running)], zone, evacuated)
            self.run_until(lambda t=token: t in self.orders, 5.0)
            if self.orders.get(token):
                return
            self.run(0.3)
        raise AssertionError("the order was not acknowledged\n" + self.describe())

    def list_evacuated(self) -> dict[str, set[str]]:
        """Return the zones that each running instance knows to be evacuated."""
        return {
            name: set(host.node.state.tables.evacuations.zones)
            for name, host in self.hosts.items()
            if host.node is not None
        }

    def announce(self, name: str, upstream_id: str, incarnation: int = 1, **fields: Any) -> str:
        host = self.hosts[name]
        values = {"pool": "p", "address": "127.0.0.1:1", "lease_s": 6.0, **fields}
        announcement = Announcement(incarnation=incarnation, **values)
        refusal, actions = host.node.announce(host.read_clock(), upstream_id, announcement)
        self.perform(host, actions)
        return refusal

    def leave(self, name: str, upstream_id: str) -> None:
        host = self.hosts[name]
        _, actions = host.node.leave_upstream(host.read_clock(), upstream_id)
        self.perform(host, actions)

    def claim(self, name: str, claim_id: str, key: str, digest: str = "d") -> None:
        host = self.hosts[name]
        actions = host.node.claim(host.read_clock(), claim_id, key, digest, 2.0)
        self.perform(host, actions)

    def finish_claim(self, name: str, claim_id: str, key: str, status: int = 200) -> None:
        host = self.hosts[name]
        message = ClaimFinish(
            key=key, claim_id=claim_id, digest="d", status=status, headers=[], body=b"ok"
        )
        actions = host.node.finish_claim(host.read_clock(), f"f-{claim_id}", message)
        self.perform(host, actions)

    # Checks.

    def record_answer(self, answer: ChangeAnswer, token: str) -> None:
        if token.startswith("desired-"):
            return
        if answer.verdict == "accepted":
            key = ("pools", answer.version)
            known = self.accepted.setdefault(key, answer.changed_by)
            assert known == answer.changed_by, f"two changes accepted as {key}"
        if answer.verdict in ("unavailable", "stale", "invalid"):
            change_id = token.split("@")[0]
            superseded = self.latest_token[change_id] != token
            if answer.verdict == "unavailable" and superseded:
                # The operator has resent the change and ignores this answer.
                return
            (self.unavailable if answer.verdict == "unavailable" else self.refused).add(
                change_id
            )
            assert change_id not in self.history.values(), (
                f"{change_id} was in force although it was answered as not accepted"
            )

    def check(self, host: Host) -> None:
        node = host.node
        if node is None:
            return
        for name, table in node.state.tables.tables.items():
            assert table.version >= host.versions.get(name, 0), (
                f"{host.instance_id} reverted to older tables"
            )
            host.versions[name] = table.version
            if table.version:
                assert table.changed_by not in self.refused | self.unavailable, (
                    f"{table.changed_by} is in force after it was reported as not accepted"
                )
                known = self.history.setdefault((name, table.version), table.changed_by)
                assert known == table.changed_by, (
                    f"{name} {table.version} differs between instances"
                )
        consensus = node.consensus
        if consensus is not None and consensus.role is Role.LEADER:
            leader = (host.instance_id, host.generation)
            known_leader = self.leaders.setdefault(consensus.term, leader)
            assert known_leader == leader, f"two leaders in term {consensus.term}"

    def get_versions(self) -> dict[str, int]:
        """Return the version of the pools table at each running instance."""
        return {
            name: host.node.state.tables.tables["pools"].version
            for name, host in self.hosts.items()
            if host.node is not None
        }

    def find_leader(self) -> str:
        """Return the leader with the highest term, or an empty string."""
        leading = [
            (host.node.consensus.term, name)
            for name, host in self.hosts.items()
            if host.node is not None
            and host.node.consensus is not None
            and host.node.consensus.role is Role.LEADER
        ]
        return max(leading)[1] if leading else ""

    def is_converged(self) -> bool:
        """Return whether all running instances serve callers and have the same state."""
        nodes = [h.node for h in self.hosts.values() if h.node is not None]
        versions = set(self.get_versions().values())
        accepted = max((v for _, v in self.accepted), default=0)
        return (
            len(versions) == 1
            and versions.pop() >= accepted
            and all(
                n.is_open(h.read_clock())
                for n, h in zip(nodes, self.hosts.values(), strict=True)
            )
            and len({n.upstreams.digest.compute_root() for n in nodes}) == 1
        )

    def describe(self) -> str:
        """Return the state of every instance, for the message of a failed assertion."""
        lines = []
        for name, host in self.hosts.items():
            node = host.node
            if node is None:
                lines.append(f"{name}: down")
                continue
            line = f"{name}: index {node.follower.index} open {node.is_open(host.read_clock())}"
            line += f" upstreams {node.upstreams.digest.compute_root()}"
            control = node.consensus
            if control is not None:
                line += f" {control.role} term {control.term} commit {control.commit_index}"
                line += f" last {control.log.last_index} voter {control.is_voter()}"
                line += f" voters {control.voters} claims {node.holder.recovered}"
            lines.append(line)
        return "\n".join(lines)

    def check_granted_once(self, claim_ids: list[str]) -> None:
        """Check that at most one of several claims of the same key was granted."""
        granted = [
            c
            for c in claim_ids
            if c in self.claims and self.claims[c].verdict is Verdict.GRANTED
        ]
        assert len(granted) <= 1, f"granted twice: {granted}"


def form_fleet(control: int = 3, entry: int = 2, seed: int = 1) -> Fleet:
    """Return a fleet in which all instances serve callers."""
    fleet = Fleet(control, entry, seed)
    assert fleet.run_until(fleet.is_converged, 60.0), "the fleet did not converge"
    return fleet


def form_joined_fleet(control: int = 5, entry: int = 3, seed: int = 1) -> Fleet:
    """Return a fleet that formed from three seeds and tolerates the loss of two disks."""
    fleet = Fleet(control, entry, seed, seeds=3, tolerated_losses=2)
    assert fleet.run_until(lambda: is_full(fleet), 60.0), fleet.describe()
    return fleet


def is_full(fleet: Fleet) -> bool:
    """Return whether there is a leader that accepts changes from operators."""
    leader = fleet.find_leader()
    return bool(leader) and fleet.hosts[leader].node.consensus.can_accept_changes()
