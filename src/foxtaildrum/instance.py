"""One running instance: composition, start and graceful stop."""

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

from .admin.access import NodeAccess, NodeClaims
from .admin.admin import Admin, MetricsPage
from .admin.metrics import Meter, StatsdSender
from .balancing.pools import read_clock
from .balancing.probes import Prober
from .control.entries import SavedState
from .control.journal import FolderDisk, Journal
from .control.storage import JournalWriter, PerformWrites, StorageActor
from .events import Received
from .exceptions import CorruptJournalError
from .fleet.membership import Member, MemberState
from .fleet.node import CLAIM_STREAM, LOG_STREAM, UPSTREAM_STREAM, Joining, Node, Write
from .fleet.peers import PeerNetwork
from .fleet.runtime import NodeActor, Ticker
from .fleet.views import ViewPublisher
from .logs import LOGGER_NAME, log_event
from .records import Limits, Settings
from .requests.dialects import get_dialect
from .requests.proxy import Proxy
from .requests.server import HttpServer
from .settings import parse_control, read_secret

ADMIN_THREADS = 8
ADMIN_MAX_BODY_BYTES = 4 * 1024 * 1024
ADMIN_MAX_CONNECTIONS = 1000
METRICS_THREADS = 1
METRICS_MAX_CONNECTIONS = 20
STATSD_PERIOD_S = 1.0
CONNECTION_TIMEOUT_S = 120
LEAVE_PAUSE_S = 0.2
RELOADABLE = frozenset({"seeds", "log_level"})


class Instance:
    """One instance with its servers and actors.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    listener : socket or None
        Socket that listens for callers already.
    """

    def __init__(self, settings: Settings, listener: socket.socket | None = None) -> None:
        self.settings = settings
        self._listener = listener
        self.meter = Meter()
        self._dialect = get_dialect(settings.dialect)
        self.proxy = Proxy(self.meter, settings.access_log, self._dialect)
        self._publisher = ViewPublisher(settings, self.proxy, self.meter)
        self._network = self._build_network()
        self._storage: pykka.ActorRef | None = None
        self._waiting: deque[Write] = deque()
        self._disk: FolderDisk | None = None
        node, journals = self._build_node()
        self._actor = NodeActor.start(
            node, self._write, self._network, self._publisher, self.meter
        )
        if journals:
            writer = JournalWriter(journals, self._actor.tell)
            self._storage = StorageActor.start(self._waiting, writer)
        self._node = self._actor.proxy()
        self._publisher.tell_draining = self._node.note_draining.defer
        self._publisher.apply_limits = self._apply_limits
        self.access = NodeAccess(self._node, self.meter, self.proxy)
        self.proxy.claims = NodeClaims(self._node)
        self._open = False
        self.proxy.is_open = self._is_open
        self.proxy.is_starting = node.is_starting
        self._ticker = Ticker(self._actor.tell, node.get_tick_period)
        self._prober = Prober(lambda: self.proxy.view.pools.values(), self.meter, self._dialect)
        self._statsd = StatsdSender(settings.statsd) if settings.statsd else None
        self._stopped = threading.Event()
        self._read_node = node
        self.callers = self._build_callers()
        self.admin = self._build_admin()
        self.metrics = self._build_metrics()

    @classmethod
    def from_settings(
        cls, settings: Settings, listener: socket.socket | None = None
    ) -> Instance:
        """Build an instance; nothing is served before :meth:`start`."""
        return cls(settings, listener)

    def start(self) -> None:
        """Serve."""
        if self._network is not None:
            self._network.start()
        self._ticker.start()
        self.admin.start()
        if self.metrics is not None:
            self.metrics.start()
        if self.callers is not None:
            self.callers.start()
            self._prober.start()
        if self._statsd is not None:
            threading.Thread(target=self._send_metrics, name="metrics", daemon=True).start()
        if self._network is not None and not self.settings.fleet_key_file:
            log_event("frames_unsigned", level=logging.WARNING, setting="fleet_key_file")
        log_event(
            "started",
            instance=self.settings.instance_id,
            role=self.settings.role,
            callers=self.callers.address if self.callers else "-",
            admin=self.admin.address,
        )

    def stop(self) -> bool:
        """Stop gracefully; return whether every request in flight ended."""
        deadline = time.monotonic() + self.settings.shutdown_grace_s
        log_event("stopping", grace_s=self.settings.shutdown_grace_s)
        self._node.begin_stop().get()
        idle = True
        if self.callers is not None:
            self.callers.announce_close()
            self._pause(min(self.settings.unready_s, self.settings.shutdown_grace_s / 2))
            self.callers.stop_accepting()
            idle = self.callers.wait_closed(deadline - LEAVE_PAUSE_S)
        self._node.end_stop().get()
        self._pause(LEAVE_PAUSE_S)
        self.close()
        log_event("stopped", all_requests_ended=idle)
        return idle

    def apply_settings(self, settings: Settings) -> list[str]:
        """Take over changed settings; return the names of those that need a restart."""
        changed = [
            f.name
            for f in dataclasses.fields(Settings)
            if getattr(settings, f.name) != getattr(self.settings, f.name)
        ]
        if "seeds" in changed:
            self._node.replace_seeds(parse_control(settings.seeds))
        if "log_level" in changed:
            logging.getLogger(LOGGER_NAME).setLevel(settings.log_level.upper())
        for name in RELOADABLE.intersection(changed):
            setattr(self.settings, name, getattr(settings, name))
        return sorted(set(changed) - RELOADABLE)

    def close(self) -> None:
        """Release threads, sockets and files without waiting for requests."""
        self._stopped.set()
        self._ticker.stop()
        self._prober.stop()
        if self._network is not None:
            self._network.stop()
        for actor in (self._actor, self._storage):
            if actor is not None:
                with contextlib.suppress(pykka.ActorDeadError, pykka.Timeout):
                    actor.stop(timeout=1.0)
        if self._disk is not None:
            self._disk.close()

    def _pause(self, duration_s: float) -> None:
        time.sleep(max(0.0, duration_s))

    def _apply_limits(self, limits: Limits) -> None:
        if self.callers is not None and self._read_node.state.tables.limits:
            self.callers.apply_limits(limits)

    def _is_open(self) -> bool:
        return self._read_node.is_open(read_clock())

    def _write(self, action: Write) -> None:
        self._waiting.append(action)
        self._storage.tell(PerformWrites())

    def _deliver(self, peer_id: str, message: Any) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(Received(peer_id, message))

    def _build_network(self) -> PeerNetwork | None:
        settings = self.settings
        if not settings.peer_listen:
            return None
        fleet_key = read_secret(settings.fleet_key_file)
        return PeerNetwork(
            settings.instance_id, settings.peer_listen, fleet_key, self._deliver, self.meter
        )

    def _build_node(self) -> tuple[Node, dict[str, Journal]]:
        settings = self.settings
        me = Member(
            settings.instance_id,
            settings.peer_listen,
            settings.availability_zone,
            settings.role,
            int(time.time() * 1000),
            MemberState.ALIVE,
            read_clock(),
        )
        joins = bool(settings.seeds)
        own = {settings.instance_id: settings.peer_listen}
        control = {} if joins else parse_control(settings.control) or own
        seeds = parse_control(settings.seeds) if joins else control
        bootstrap = settings.bootstrap or not joins
        joining = Joining(seeds, bootstrap, settings.tolerated_losses)
        has_log = settings.role != "entry" if joins else settings.instance_id in control
        saved = None
        claim_records: list[list[Any]] = []
        journals: dict[str, Journal] = {}
        if has_log:
            self._disk = FolderDisk(settings.data_dir)
            journals = {
                LOG_STREAM: Journal(self._disk, "log"),
                CLAIM_STREAM: Journal(self._disk, "claims"),
                UPSTREAM_STREAM: Journal(self._disk, "upstreams"),
            }
            saved = load_saved(journals[LOG_STREAM], may_rejoin=joins)
            joining.bootstrap = joining.bootstrap and not saved.replaces_damaged
            claim_records = _unpack(journals[CLAIM_STREAM].load())
        rng = random.Random()
        node = Node(me, control, saved, claim_records, rng, read_clock(), joining)
        if has_log:
            saved_upstreams = load_upstreams(journals[UPSTREAM_STREAM])
            node.restore_upstreams(read_clock(), saved_upstreams)
        return node, journals

    def _build_callers(self) -> HttpServer | None:
        settings = self.settings
        if settings.role == "control":
            return None
        return HttpServer(
            self.proxy,
            settings.listen,
            settings.threads,
            settings.write_deadline_s,
            self._listener,
            max_request_header_size=settings.max_header_bytes,
            max_request_body_size=settings.max_body_bytes,
            connection_limit=settings.max_connections,
            channel_timeout=CONNECTION_TIMEOUT_S,
        )

    def _build_admin(self) -> HttpServer:
        settings = self.settings
        admin = Admin(
            self.access,
            read_secret(settings.operator_token_file),
            settings.announcement_lease_s,
            self._dialect.announcement_fields,
        )
        return HttpServer(
            admin,
            settings.admin_listen,
            ADMIN_THREADS,
            settings.write_deadline_s,
            max_request_body_size=ADMIN_MAX_BODY_BYTES,
            connection_limit=ADMIN_MAX_CONNECTIONS,
            channel_timeout=CONNECTION_TIMEOUT_S,
        )

    def _build_metrics(self) -> HttpServer | None:
        settings = self.settings
        if not settings.metrics_listen:
            return None
        return HttpServer(
            MetricsPage(self.access),
            settings.metrics_listen,
            METRICS_THREADS,
            settings.write_deadline_s,
            connection_limit=METRICS_MAX_CONNECTIONS,
            channel_timeout=CONNECTION_TIMEOUT_S,
        )

    def _send_metrics(self) -> None:
        while not self._stopped.wait(STATSD_PERIOD_S):
            if self._statsd is None:
                continue
            now = read_clock()
            try:
                self._statsd.send(now, self.meter, self._list_gauges(now))
            except OSError as error:
                log_event("statsd_failed", reason=str(error))

    def _list_gauges(self, now: float) -> dict[str, float]:
        node = self._read_node
        gauges: dict[str, float] = {
            "table_index": node.follower.index,
            "members": len(node.members.members),
            "ready": float(not node.list_unready_reasons(now)),
        }
        for name, pool in self.proxy.view.pools.items():
            balancer = pool.balancer
            gauges[f"pool.{name}.waiting"] = len(balancer.queue)
            gauges[f"pool.{name}.in_flight"] = sum(
                u.in_flight for u in list(balancer.upstreams.values())
            )
        return gauges


def load_saved(journal: Journal, may_rejoin: bool = False) -> SavedState:
    """Return the content of the log's journal; a new disk gets an identifier.

    Parameters
    ----------
    may_rejoin : bool
        Whether a damaged journal is set aside: the instance then rejoins its group as
        one that lost its disk.

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
        journal.append(msgpack.packb(records[0]))
    saved = SavedState(records)
    saved.replaces_damaged = damaged
    return saved


def load_upstreams(journal: Journal) -> list[list[Any]]:
    """Return the saved upstream list; a damaged one is left out, as it is announced anew."""
    try:
        return _unpack(journal.load())
    except (CorruptJournalError, ValueError) as error:
        log_event("upstreams_not_restored", level=logging.WARNING, reason=str(error))
        return []


def _unpack(records: list[bytes]) -> list[list[Any]]:
    return [msgpack.unpackb(record, strict_map_key=False) for record in records]
