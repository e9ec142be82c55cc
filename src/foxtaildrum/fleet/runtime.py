"""Actor that runs the node of an instance and performs the actions that it returns."""

from __future__ import annotations

import functools
import logging
import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from operator import attrgetter
from typing import Any

import pykka

from ..admin.metrics import Meter
from ..clock import read_clock
from ..control.claimer import ClaimCompleted
from ..control.desired import DesiredState
from ..control.evacuations import EvacuationOrder
from ..control.orders import OrderCompleted
from ..control.reads import ReadCompleted
from ..control.state_log import StateChangeLogger
from ..control.storage import WriteCompleted
from ..control.tables import Change
from ..events import Received, Send
from ..exceptions import FrameError
from ..isolation import run_isolated
from ..logs import log_event
from ..records import Announcement, ClaimFinish
from .actions import (
    Action,
    ChangeCompleted,
    MemberChanged,
    PermitsAnswered,
    QuotasAnswered,
    Reconnect,
    RecordSkipped,
    UpstreamLeaving,
    UpstreamsLost,
    UpstreamsOrphaned,
    Write,
)
from .node import Node
from .peers import PeerNetwork
from .receipts import ReceiptsCompleted
from .upstreams import DRAINING
from .views import ViewPublisher


def isolated(method: Callable[..., None]) -> Callable[..., None]:
    """Let an actor go on after an unexpected error in a method whose caller does not wait.

    The library stops an actor that fails while it handles such a call.
    """

    @functools.wraps(method)
    def call(self: NodeActor, *arguments: Any) -> None:
        run_isolated("node", self.meter, method, self, *arguments)

    return call


@dataclass(slots=True)
class TimePassed:
    """Message of the ticker: the node's next tick is due."""


class NodeActor(pykka.ThreadingActor):
    """Runs the node in one thread, one event at a time.

    The methods that start a proposal, read or claim are given a future, which is set once
    the node reports completion.

    Parameters
    ----------
    node : Node
        State of the instance.
    storage : callable
        Queues a write for the storage actor.
    network : PeerNetwork or None
        Sends messages to peers; None on a site with a single instance.
    publisher : ViewPublisher
        Publishes the state to the request threads.
    meter : Meter
        Counts refused messages and unexpected errors.
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
        self.meter = meter
        self._futures: dict[str, pykka.Future] = {}
        self._changes = StateChangeLogger()

    @isolated
    def on_receive(self, message: Any) -> None:
        """Handle a message from the ticker, the network or the storage."""
        now = read_clock()
        if isinstance(message, Received):
            self._handle_received(now, message)
        elif isinstance(message, TimePassed):
            self._perform(now, self._node.tick(now))
            self._publisher.tick(now, self._node)
            self._changes.log_changes(now, self._node)
        elif isinstance(message, WriteCompleted):
            self._handle_written(now, message)

    @isolated
    def propose(self, change: Change | DesiredState, future: pykka.Future) -> None:
        """Propose a change; ``future`` is set to its :class:`ChangeAnswer`."""
        now = read_clock()
        self._perform(now, self._node.propose(now, self._register_future(future), change))

    @isolated
    def order_evacuation(
        self, order: EvacuationOrder, known_orders: int, future: pykka.Future
    ) -> None:
        """Propose an order on a zone; ``future`` is set to its outcome.

        Parameters
        ----------
        known_orders : int
            Number of orders that were known before this one was given.
        """
        now = read_clock()
        token = self._register_future(future)
        self._perform(now, self._node.order_evacuation(now, token, order, known_orders))

    @isolated
    def read_tables(self, future: pykka.Future) -> None:
        """Set ``future`` to whether the tables here include every accepted change."""
        now = read_clock()
        self._perform(now, self._node.read(now, self._register_future(future)))

    def announce(
        self, upstream_id: str, announcement: Announcement
    ) -> tuple[str, pykka.Future | None]:
        """Record an announcement.

        Returns
        -------
        str
            Reason of a refusal; empty if the announcement was accepted.
        Future or None
            For an accepted drain: set to whether a majority of the voters has stored it;
            otherwise None.
        """
        now = read_clock()
        stored = pykka.ThreadingFuture() if announcement.state == DRAINING else None
        token = self._register_future(stored) if stored is not None else ""
        refusal, actions = self._node.announce(now, upstream_id, announcement, token)
        self._perform(now, actions)
        if refusal:
            self._futures.pop(token, None)
            stored = None
        return refusal, stored

    def leave_upstream(self, upstream_id: str, incarnation: int) -> tuple[bool, pykka.Future]:
        """Record that an upstream left.

        Returns
        -------
        bool
            False if the upstream was unknown or had left already.
        Future
            Set to whether a majority of the voters has stored that it left.
        """
        now = read_clock()
        stored = pykka.ThreadingFuture()
        token = self._register_future(stored)
        known, actions = self._node.leave_upstream(now, upstream_id, incarnation, token)
        self._perform(now, actions)
        return known, stored

    def _register_future(self, future: pykka.Future) -> str:
        token = uuid.uuid4().hex
        self._futures[token] = future
        return token

    @isolated
    def mark_draining(self, upstream_id: str) -> None:
        """Record a drain that an upstream signalled in a response."""
        now = read_clock()
        self._perform(now, self._node.mark_draining(now, upstream_id))

    @isolated
    def apply(self, function: Callable[[Node, float], list[Action]]) -> None:
        """Call ``function`` with the node and the time, and perform the actions it returns."""
        now = read_clock()
        self._perform(now, function(self._node, now))

    @isolated
    def claim(
        self, claim_id: str, key: str, digest: str, remaining_s: float, future: Any
    ) -> None:
        """Claim an idempotency key; ``future`` is set to the outcome of the claim."""
        self._futures[claim_id] = future
        now = read_clock()
        self._perform(now, self._node.claim(now, claim_id, key, digest, remaining_s))

    @isolated
    def finish_claim(self, message: ClaimFinish, future: pykka.Future) -> None:
        """Store the answer of a claimed request; ``future`` is set once a quorum has it."""
        token = uuid.uuid4().hex
        self._futures[token] = future
        now = read_clock()
        self._perform(now, self._node.finish_claim(now, token, message))

    @isolated
    def release_claim(self, key: str, claim_id: str) -> None:
        """Release the claim of a request that was not executed."""
        now = read_clock()
        self._perform(now, self._node.release_claim(now, key, claim_id))

    @isolated
    def replace_seeds(self, seeds: dict[str, str]) -> None:
        """Replace the instances to join."""
        self._node.members.replace_seeds(seeds)

    def begin_stop(self) -> None:
        """Transfer leadership and owned leases to other instances."""
        now = read_clock()
        self._perform(now, self._node.begin_stop(now))

    def end_stop(self) -> None:
        """Announce to the other instances that this one leaves the fleet."""
        now = read_clock()
        self._perform(now, self._node.end_stop(now))

    def read(self, function: Callable[[Node, float], Any]) -> Any:
        """Call ``function`` with the node and the current time; return its result."""
        return function(self._node, read_clock())

    def _handle_received(self, now: float, message: Received) -> None:
        try:
            self._perform(now, self._node.receive(now, message.peer_id, message.message))
        except FrameError as error:
            self.meter.count("frames.refused")
            log_event("message_refused", peer=message.peer_id, reason=str(error))

    def _handle_written(self, now: float, message: WriteCompleted) -> None:
        if message.failed:
            actions = self._node.handle_write_failed(now, message.stream, message.token)
        else:
            actions = self._node.handle_written(now, message.stream, message.token)
        self._perform(now, actions)

    def _perform(self, now: float, actions: list[Any]) -> None:
        self._publisher.publish_orders(self._node)
        results = []
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Reconnect):
                self._reconnect(action)
            elif isinstance(action, Write):
                self._storage(action)
            elif isinstance(action, PermitsAnswered):
                self._publisher.deliver_permits(now, action)
            elif isinstance(action, QuotasAnswered):
                self._publisher.deliver_quotas(now, action)
            elif isinstance(action, RecordSkipped):
                self._record_skipped(action)
            elif isinstance(action, _LoggedAction):
                _log_change(action)
            else:
                results.append(action)
        try:
            # Whoever waits for a result finds the state that it is about.
            self._publisher.publish(now, self._node)
        finally:
            for action in results:
                log_result = _RESULT_LOGGERS.get(type(action), _ignore)
                log_result(action)
                self._complete_future(action.token, _RESULT_GETTERS[type(action)](action))

    def _record_skipped(self, action: RecordSkipped) -> None:
        self.meter.count("records.skipped")
        log_event(
            "record_skipped",
            level=logging.WARNING,
            subject=action.subject,
            source=action.source,
            reason=action.reason,
        )

    def _send(self, action: Send) -> None:
        if self._network is None:
            return
        address = self._node.find_address(action.peer_id)
        if address:
            self._network.send(action.peer_id, address, action.message)

    def _reconnect(self, action: Reconnect) -> None:
        if self._network is not None:
            self._network.reconnect(action.peer_id)

    def _complete_future(self, token: str, value: Any) -> None:
        future = self._futures.pop(token, None)
        if future is not None:
            future.set(value)


_RESULT_GETTERS: dict[type, Callable[[Any], Any]] = {
    ChangeCompleted: attrgetter("answer"),
    ClaimCompleted: attrgetter("outcome"),
    OrderCompleted: attrgetter("outcome"),
    ReadCompleted: attrgetter("succeeded"),
    ReceiptsCompleted: attrgetter("stored"),
}


def _log_confirmation(action: ReceiptsCompleted) -> None:
    if action.entry is None:
        return
    log_event(
        "leave_confirmed",
        upstream=action.entry.upstream_id,
        state=action.entry.state,
        incarnation=action.entry.announcement.incarnation,
        stored=action.stored,
        holders=",".join(action.holders) or "-",
    )


def _log_order(action: OrderCompleted) -> None:
    log_event(
        "evacuation_ordered",
        zone=action.order.zone,
        evacuated=action.order.evacuated,
        outcome=action.outcome.value,
        known_orders=action.known_orders,
        read_orders=action.read_orders,
        waited_ms=round(action.waited_s * 1000, 3),
    )


def _ignore(action: Action) -> None:
    return None


_RESULT_LOGGERS: dict[type, Callable[[Any], None]] = {
    OrderCompleted: _log_order,
    ReceiptsCompleted: _log_confirmation,
}


_LoggedAction = UpstreamsLost | UpstreamsOrphaned | MemberChanged | UpstreamLeaving


def _log_change(action: _LoggedAction) -> None:
    if isinstance(action, UpstreamLeaving):
        log_event(
            "drain_heard",
            upstream=action.upstream_id,
            pool=action.pool,
            state=action.state,
            incarnation=action.incarnation,
        )
        return
    if isinstance(action, MemberChanged):
        log_event("member_changed", member=action.instance_id, state=action.state)
        return
    if isinstance(action, UpstreamsOrphaned):
        for upstream_id, owner in action.owners.items():
            log_event("upstream_orphaned", upstream=upstream_id, owner=owner)
        return
    for upstream_id in action.upstream_ids:
        log_event("upstream_lost", upstream=upstream_id)


class Ticker:
    """Sends the node a :class:`TimePassed` message after each period.

    Parameters
    ----------
    send_tick : callable
        Called with each message.
    get_period : callable
        Returns the time until the next message in seconds.
    meter : Meter
        Counts unexpected errors.
    """

    def __init__(
        self,
        send_tick: Callable[[TimePassed], None],
        get_period: Callable[[], float],
        meter: Meter,
    ) -> None:
        self._send_tick = send_tick
        self._meter = meter
        self._get_period = get_period
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Start ticking in a separate thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop ticking; no message is sent after this returns."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(self._get_period()):
            run_isolated("ticker", self._meter, self._send_tick, TimePassed())
