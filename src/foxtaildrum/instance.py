"""A running instance: builds its parts, starts them and stops them gracefully."""

from __future__ import annotations

import contextlib
import dataclasses
import logging
import random
import socket
import threading
import time
import uuid
from collections import deque
from typing import Any

import msgpack
import pykka

from .admin.access import NodeAccess, NodeClaims, NodeReports
from .admin.admin import Admin, MetricsPage
from .admin.metrics import Meter, StatsdSender
from .balancing.linkchecks import CheckTargets, LinkMonitor, PoolFilter
from .balancing.probes import Prober
from .clock import read_clock
from .control.entries import SavedState
from .control.journal import FolderDisk, Journal
from .control.storage import JournalWriter, PerformWrites, StorageActor, WriteCompleted
from .events import Received
from .exceptions import CorruptJournalError
from .fleet.actions import CLAIM_STREAM, LOG_STREAM, UPSTREAM_STREAM, Write
from .fleet.currency import START_MAX_TABLE_AGE_S
from .fleet.membership import Member, MemberState
from .fleet.node import JoinOptions, Node
from .fleet.peers import PeerNetwork
from .fleet.runtime import NodeActor, Ticker
from .fleet.upstreams import READY
from .fleet.views import ViewPublisher
from .isolation import run_isolated
from .logs import LOGGER_NAME, log_event
from .permits.bounds import QuotaBounds
from .permits.holder import QuotaHolder
from .records import Limits, Settings
from .requests.account import CallerAccount
from .requests.confirmations import Confirmations
from .requests.connections import ConnectionPool
from .requests.dialects import get_dialect
from .requests.forwards import Forwarder
from .requests.pipelines import Pipelining
from .requests.proxy import Proxy
from .requests.quotas import Quotas
from .requests.server import HttpServer
from .requests.stops import StopPlan
from .requests.sweeps import ConnectionSweeper
from .resources import check_resources, open_data_folder
from .settings import parse_instances, read_secret
from .versions import get_running_code

ADMIN_THREADS = 8
ADMIN_MAX_BODY_BYTES = 4 * 1024 * 1024
ADMIN_MAX_CONNECTIONS = 1000
# What unfinished requests and unsent responses hold at the admin and the metrics address:
# the largest bodies that the threads can serve at once.
ADMIN_MAX_HELD_BYTES = ADMIN_THREADS * ADMIN_MAX_BODY_BYTES
# Number of files of large bodies of the admin interface.
ADMIN_MAX_FILES = 64
METRICS_THREADS = 1
METRICS_MAX_CONNECTIONS = 20
METRICS_MAX_BODY_BYTES = 65_536
STATSD_PERIOD_S = 1.0
CHECKED_UPSTREAMS = 4
# Room for the headers that a forwarded request has in addition.
FORWARD_HEADER_BYTES = 1024
CHECKED_PEERS = 3
CONNECTION_TIMEOUT_S = 120
LEAVE_GOSSIP_PAUSE_S = 0.2
RELOADABLE_SETTINGS = frozenset({"seeds", "log_level", "operator_token_file", "fleet_key_file"})


class Instance:
    """One instance with its HTTP servers, actors and background threads.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    listener : socket or None
        Socket already listening on the callers' address; None opens one.
    """

    def __init__(self, settings: Settings, listener: socket.socket | None = None) -> None:
        check_resources(settings, listener is not None)
        self.settings = settings
        self._listener = listener
        self.meter = Meter()
        self._dialect = get_dialect(settings.dialect)
        self.proxy = Proxy(self.meter, settings.access_log, self._dialect)
        self._rng = random.Random()
        self.links = LinkMonitor(
            self._choose_check_targets, self._handle_links_restored, self.meter
        )
        self._forward_key = read_secret(settings.fleet_key_file)
        if settings.forward_listen:
            self.proxy.forwarder = Forwarder(
                settings.instance_id, self.links, self._get_forward_key
            )
        self.publisher = ViewPublisher(settings, self.proxy, self.meter)
        self._network = self._build_network()
        self._storage: pykka.ActorRef | None = None
        self._pending_writes: deque[Write] = deque()
        self._disk: FolderDisk | None = None
        node, journals = self._build_node()
        self._actor = NodeActor.start(
            node, self._queue_write, self._network, self.publisher, self.meter
        )
        if journals:
            writer = JournalWriter(journals, self._report_write)
            self._storage = StorageActor.start(self._pending_writes, writer)
            writer.report_torn()
        self._node_proxy = self._actor.proxy()
        self.publisher.notify_draining = self._node_proxy.mark_draining.defer
        reports = NodeReports(self._node_proxy)
        self.publisher.permit_client = reports
        self.publisher.apply_limits = self._apply_limits
        self.caller_account = CallerAccount.from_settings(settings, self.meter)
        self.proxy.account = self.caller_account
        self.node_access = NodeAccess(
            self._node_proxy,
            self.meter,
            self.proxy,
            self.publisher.evacuations,
            self.caller_account,
        )
        self._connect_proxy(node, reports)
        self._open = False
        self._ticker = Ticker(self._actor.tell, node.get_tick_period, self.meter)
        self._prober = Prober(lambda: self.proxy.view.pools.values(), self.meter, self._dialect)
        self._sweeper = ConnectionSweeper(self._list_connections, self.meter)
        self._statsd = StatsdSender(settings.statsd) if settings.statsd else None
        self._stopped = threading.Event()
        self._node = node
        self.caller_server = self._build_caller_server()
        self.forward_server = self._build_forward_server()
        self.admin_server = self._build_admin_server()
        self.metrics_server = self._build_metrics_server()

    def _connect_proxy(self, node: Node, reports: NodeReports) -> None:
        """Give the proxy what it asks the node for, and reports to it."""
        self.proxy.claims = NodeClaims(self._node_proxy)
        self.proxy.confirmations = Confirmations(self._begin_read, lambda: self.proxy.view)
        self.proxy.crash_reporter = reports
        if self.settings.role != "control":
            bounds = QuotaBounds.from_settings(self.settings)
            holder = QuotaHolder(
                read_clock(), self.settings.instance_id, bounds, random.Random()
            )
            self.proxy.quotas = Quotas(holder, reports)
        self.proxy.is_open = self._is_open
        self.proxy.is_starting = node.is_starting
        self.proxy.list_unready_reasons = self._list_unready_reasons

    @classmethod
    def from_settings(
        cls, settings: Settings, listener: socket.socket | None = None
    ) -> Instance:
        """Build an instance; it serves nothing before :meth:`start`."""
        return cls(settings, listener)

    def start(self) -> None:
        """Start the servers, the ticker and the background threads."""
        if self._network is not None:
            self._network.start()
        self._ticker.start()
        self.admin_server.start()
        if self.metrics_server is not None:
            self.metrics_server.start()
        if self.caller_server is not None:
            self.caller_server.start()
            self._prober.start()
            self._sweeper.start()
        if self.forward_server is not None:
            self.forward_server.start()
            self.links.start()
        if self._statsd is not None:
            threading.Thread(target=self._send_metrics, name="metrics", daemon=True).start()
        if self._network is not None and not self.settings.fleet_key_file:
            log_event("frames_unsigned", level=logging.WARNING, setting="fleet_key_file")
        code = get_running_code()
        log_event(
            "started",
            instance=self.settings.instance_id,
            role=self.settings.role,
            callers=self.caller_server.address if self.caller_server else "-",
            admin=self.admin_server.address,
            version=code.version,
            code=code.digest,
        )

    def stop(self) -> bool:
        """Stop gracefully; return whether every request in flight finished in time."""
        deadline = time.monotonic() + self.settings.shutdown_grace_s
        now = read_clock()
        length_s = self.settings.shutdown_grace_s - LEAVE_GOSSIP_PAUSE_S
        self.proxy.stop_plan = StopPlan(now, now + length_s)
        log_event("stopping", grace_s=self.settings.shutdown_grace_s)
        self._node_proxy.begin_stop().get()
        all_ended = True
        if self.caller_server is not None:
            servers = [s for s in (self.caller_server, self.forward_server) if s is not None]
            for server in servers:
                server.announce_close()
            self._sleep(min(self.settings.unready_s, self.settings.shutdown_grace_s / 2))
            for server in servers:
                server.stop_accepting()
            ended = [s.wait_closed(deadline - LEAVE_GOSSIP_PAUSE_S) for s in servers]
            all_ended = all(ended)
        self._node_proxy.end_stop().get()
        self._sleep(LEAVE_GOSSIP_PAUSE_S)
        self.close()
        log_event("stopped", all_requests_ended=all_ended)
        return all_ended

    def apply_settings(self, settings: Settings) -> list[str]:
        """Apply changed settings; return the names of those that need a restart."""
        changed = [
            field.name
            for field in dataclasses.fields(Settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        if "seeds" in changed:
            self._node_proxy.replace_seeds(parse_instances(settings.seeds))
        # The files are read again although their paths may be the same: a key that was
        # withdrawn must not stay in use.
        self._admin.replace_token(read_secret(settings.operator_token_file))
        self._forward_key = read_secret(settings.fleet_key_file)
        if self._network is not None:
            self._network.replace_key(self._forward_key)
        if "log_level" in changed:
            logging.getLogger(LOGGER_NAME).setLevel(settings.log_level.upper())
        for name in RELOADABLE_SETTINGS.intersection(changed):
            setattr(self.settings, name, getattr(settings, name))
        return sorted(set(changed) - RELOADABLE_SETTINGS)

    def close(self) -> None:
        """Release threads, sockets and files without waiting for requests in flight."""
        self._stopped.set()
        self._ticker.stop()
        self._prober.stop()
        self._sweeper.stop()
        self.links.stop()
        if self._network is not None:
            self._network.stop()
        for actor in (self._actor, self._storage):
            if actor is not None:
                with contextlib.suppress(pykka.ActorDeadError, pykka.Timeout):
                    actor.stop(timeout=1.0)
        if self._disk is not None:
            self._disk.close()

    def _sleep(self, duration_s: float) -> None:
        time.sleep(max(0.0, duration_s))

    def _apply_limits(self, limits: dict[str, Any]) -> None:
        """Apply the limits in the tables; those that they don't name are the settings'."""
        if self.caller_server is None:
            return
        settings = self.settings
        limits_in_force = dataclasses.replace(
            Limits(
                max_header_bytes=settings.max_header_bytes,
                max_body_bytes=settings.max_body_bytes,
                idle_timeout_ms=CONNECTION_TIMEOUT_S * 1000,
            ),
            **limits,
        )
        self.caller_server.apply_limits(limits_in_force)
        if self.forward_server is not None:
            header_bytes = limits_in_force.max_header_bytes + FORWARD_HEADER_BYTES
            self.forward_server.apply_limits(
                dataclasses.replace(limits_in_force, max_header_bytes=header_bytes)
            )

    def _is_open(self) -> bool:
        return self._node.is_open(read_clock())

    def _begin_read(self, confirmations: Confirmations) -> None:
        # While the instance stops, requests may end after the node.
        with contextlib.suppress(pykka.ActorDeadError):
            self._node_proxy.read_tables.defer(confirmations)

    def _list_unready_reasons(self) -> list[str]:
        return self._node.list_unready_reasons(read_clock())

    def _queue_write(self, action: Write) -> None:
        self._pending_writes.append(action)
        self._storage.tell(PerformWrites())

    def _report_write(self, completed: WriteCompleted) -> None:
        # While the instance stops, a write may end after the node.
        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(completed)

    def _deliver_message(self, peer_id: str, message: Any) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(Received(peer_id, message))

    def _build_network(self) -> PeerNetwork | None:
        settings = self.settings
        if not settings.peer_listen:
            return None
        fleet_key = read_secret(settings.fleet_key_file)
        return PeerNetwork(
            settings.instance_id,
            settings.peer_listen,
            fleet_key,
            self._deliver_message,
            self.meter,
        )

    def _build_node(self) -> tuple[Node, dict[str, Journal]]:
        settings = self.settings
        own_member = Member(
            settings.instance_id,
            settings.peer_listen,
            settings.availability_zone,
            settings.role,
            int(time.time() * 1000),
            MemberState.ALIVE,
            read_clock(),
            settings.forward_listen,
        )
        joins_seeds = bool(settings.seeds)
        own_instance = {settings.instance_id: settings.peer_listen}
        control_instances = (
            {} if joins_seeds else parse_instances(settings.control) or own_instance
        )
        seeds = parse_instances(settings.seeds) if joins_seeds else control_instances
        bootstrap = settings.bootstrap or not joins_seeds
        join_options = JoinOptions(seeds, bootstrap, settings.tolerated_losses)
        has_log = (
            settings.role != "entry"
            if joins_seeds
            else settings.instance_id in control_instances
        )
        saved = None
        claim_records: list[list[Any]] = []
        journals: dict[str, Journal] = {}
        if has_log:
            self._disk = open_data_folder(settings)
            journals = {
                LOG_STREAM: Journal(self._disk, "log"),
                CLAIM_STREAM: Journal(self._disk, "claims"),
                UPSTREAM_STREAM: Journal(self._disk, "upstreams"),
            }
            saved = load_log_state(journals[LOG_STREAM], may_rejoin=joins_seeds)
            join_options.bootstrap = join_options.bootstrap and not saved.replaces_damaged
            claim_records = _unpack(journals[CLAIM_STREAM].load())
        rng = random.Random()
        # An instance that begins to serve may lack recent orders to evacuate zones, but none
        # that must be in force already.
        start_max_age_s = min(START_MAX_TABLE_AGE_S, settings.evacuation_s)
        node = Node(
            own_member,
            control_instances,
            saved,
            claim_records,
            rng,
            read_clock(),
            join_options,
            start_max_age_s,
        )
        node.set_key_check(settings.key_check_s)
        node.set_quota_bounds(QuotaBounds.from_settings(settings))
        if has_log:
            saved_upstreams = load_upstreams(journals[UPSTREAM_STREAM], self.meter)
            node.restore_upstreams(read_clock(), saved_upstreams)
            _log_restored(node)
        return node, journals

    def _build_caller_server(self) -> HttpServer | None:
        settings = self.settings
        if settings.role == "control":
            return None
        return HttpServer(
            self.proxy,
            settings.listen,
            settings.threads,
            settings.write_deadline_s,
            self._listener,
            self.proxy.refuse,
            max_header_bytes=settings.max_header_bytes,
            max_body_bytes=settings.max_body_bytes,
            pipelining=Pipelining.from_settings(settings, self.proxy.is_repeatable),
            account=self.caller_account,
            body_stall_s=settings.body_stall_s,
            connection_limit=settings.max_connections,
            channel_timeout=CONNECTION_TIMEOUT_S,
        )

    def _build_forward_server(self) -> HttpServer | None:
        settings = self.settings
        if self.caller_server is None or not settings.forward_listen:
            return None
        return HttpServer(
            self.proxy.serve_forwarded,
            settings.forward_listen,
            settings.threads,
            settings.write_deadline_s,
            refuse=self.proxy.refuse_forwarded,
            max_header_bytes=settings.max_header_bytes + FORWARD_HEADER_BYTES,
            max_body_bytes=settings.max_body_bytes,
            account=self.caller_account,
            body_stall_s=settings.body_stall_s,
            connection_limit=settings.max_connections,
            channel_timeout=CONNECTION_TIMEOUT_S,
        )

    def _choose_check_targets(self, select_pools: PoolFilter) -> CheckTargets:
        upstreams = {}
        pools = self.proxy.view.pools
        now = read_clock()
        for name in select_pools(pools):
            addresses = pools[name].list_addresses(now)
            count = min(CHECKED_UPSTREAMS, len(addresses))
            upstreams[name] = self._rng.sample(addresses, count)
        peers = self.proxy.forwarder.list_addresses()
        return CheckTargets(upstreams, self._rng.sample(peers, min(CHECKED_PEERS, len(peers))))

    def _list_connections(self) -> list[ConnectionPool]:
        pools = [p for pool in self.proxy.view.pools.values() for p in pool.list_connections()]
        forwarder = self.proxy.forwarder
        return pools if forwarder is None else pools + forwarder.list_connections()

    def _handle_links_restored(self, now: float, pools: frozenset[str]) -> None:
        for name, pool in self.proxy.view.pools.items():
            if name in pools:
                pool.forget_failures()

    def _get_forward_key(self) -> bytes:
        return self._forward_key

    def _build_admin_server(self) -> HttpServer:
        settings = self.settings
        self._admin = Admin(
            self.node_access,
            read_secret(settings.operator_token_file),
            settings.announcement_lease_s,
            self._dialect.announcement_fields,
            frozenset(filter(None, settings.availability_zones.split(","))),
        )
        # Callers that hold all they may must not keep announcements and operators out.
        self._admin_account = CallerAccount(ADMIN_MAX_HELD_BYTES, ADMIN_MAX_FILES, self.meter)
        server = HttpServer(
            self._admin,
            settings.admin_listen,
            ADMIN_THREADS,
            settings.write_deadline_s,
            max_body_bytes=ADMIN_MAX_BODY_BYTES,
            account=self._admin_account,
            body_stall_s=settings.body_stall_s,
            marks_connections=True,
            connection_limit=ADMIN_MAX_CONNECTIONS,
            channel_timeout=CONNECTION_TIMEOUT_S,
        )
        self.publisher.connection_marks = server.marks
        return server

    def _build_metrics_server(self) -> HttpServer | None:
        settings = self.settings
        if not settings.metrics_listen:
            return None
        return HttpServer(
            MetricsPage(self.node_access),
            settings.metrics_listen,
            METRICS_THREADS,
            settings.write_deadline_s,
            max_body_bytes=METRICS_MAX_BODY_BYTES,
            account=self._admin_account,
            body_stall_s=settings.body_stall_s,
            connection_limit=METRICS_MAX_CONNECTIONS,
            channel_timeout=CONNECTION_TIMEOUT_S,
        )

    def _send_metrics(self) -> None:
        while not self._stopped.wait(STATSD_PERIOD_S):
            if self._statsd is None:
                continue
            run_isolated("metrics", self.meter, self._send_metrics_once, read_clock())

    def _send_metrics_once(self, now: float) -> None:
        try:
            self._statsd.send(now, self.meter, self._collect_gauges(now))
        except OSError as error:
            log_event("statsd_failed", reason=str(error))

    def _collect_gauges(self, now: float) -> dict[str, float]:
        node = self._node
        gauges: dict[str, float] = {
            "table_index": node.follower.index,
            "members": len(node.members.members),
            "ready": float(not node.list_unready_reasons(now)),
            "callers.held_bytes": self.caller_account.held_bytes,
        }
        evacuated_zones = self.publisher.evacuations.zones
        if evacuated_zones:
            gauges["zones_evacuated"] = len(evacuated_zones)
        for name, pool in self.proxy.view.pools.items():
            balancer = pool.balancer
            gauges[f"pool.{name}.waiting"] = len(balancer.queue)
            if evacuated_zones:
                gauges[f"pool.{name}.evacuated"] = pool.count_evacuated(now)
            gauges[f"pool.{name}.in_flight"] = sum(
                u.in_flight for u in list(balancer.upstreams.values())
            )
        return gauges


def load_log_state(journal: Journal, may_rejoin: bool = False) -> SavedState:
    """Load the journal of the replicated log; a new disk is given an identifier.

    Parameters
    ----------
    may_rejoin : bool
        Whether a damaged journal is set aside, so that the instance rejoins its control
        group as if its disk had been lost.

    Raises
    ------
    CorruptJournalError
        When the journal is damaged and the instance may not rejoin.
    """
    damaged = False
    try:
        records = _unpack(journal.load())
    except CorruptJournalError as error:
        if not may_rejoin:
            raise
        log_event("journal_set_aside", level=logging.ERROR, reason=str(error))
        journal.set_aside()
        records, damaged = [], True
    if not records:
        records = [["disk", uuid.uuid4().hex]]
        journal.begin(msgpack.packb(records[0]))
    saved = SavedState(records)
    saved.replaces_damaged = damaged
    return saved


def load_upstreams(journal: Journal, meter: Meter) -> list[list[Any]]:
    """Return the saved upstreams; those that are damaged announce themselves again.

    Parameters
    ----------
    meter : Meter
        Counts the records that cannot be read.
    """
    try:
        records = journal.load()
    except CorruptJournalError as error:
        log_event("upstreams_not_restored", level=logging.WARNING, reason=str(error))
        records = journal.salvage()
    upstreams = []
    for record in records:
        try:
            upstreams += _unpack([record])
        except (ValueError, TypeError, RecursionError) as error:
            meter.count("records.skipped")
            log_event(
                "record_skipped",
                level=logging.WARNING,
                subject="upstream",
                source="disk",
                reason=str(error),
            )
    return upstreams


def _log_restored(node: Node) -> None:
    entries = node.upstreams.entries.values()
    ready = sum(e.state == READY and not e.lost for e in entries)
    if entries:
        log_event("upstreams_restored", ready=ready, left=len(entries) - ready)


def _unpack(records: list[bytes]) -> list[list[Any]]:
    return [msgpack.unpackb(record, strict_map_key=False) for record in records]
