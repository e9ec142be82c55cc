"""Actor that hosts the machines of an instance and performs their actions."""

from __future__ import annotations

import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from operator import attrgetter
from typing import Any

import pykka

from ..admin.metrics import Meter
from ..balancing.pools import read_clock
from ..control.changelog import StateChangeLogger
from ..control.claimer import ClaimCompleted
from ..control.desired import DesiredState
from ..control.reads import ReadCompleted
from ..control.storage import WriteCompleted
from ..control.tables import Change
from ..events import Received, Send
from ..exceptions import FrameError
from ..logs import log_event
from ..records import Announcement, ClaimFinish
from .node import (
    ChangeCompleted,
    MemberChanged,
    Node,
    UpstreamLeaving,
    UpstreamsLost,
    Write,
)
from .peers import PeerNetwork
from .receipts import ReceiptsDone
from .upstreams import DRAINING
from .views import ViewPublisher


@dataclass(slots=True)
class TimePassed:
    """The ticker's message to the node."""


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
        self._changes = StateChangeLogger()

    def on_receive(self, message: Any) -> None:
        """Take one message of the ticker, the network or the storage."""
        now = read_clock()
        if isinstance(message, Received):
            self._receive(now, message)
        elif isinstance(message, TimePassed):
            self._perform(now, self._node.tick(now))
            self._changes.log_changes(now, self._node)
        elif isinstance(message, WriteCompleted):
            self._note_written(now, message)

    def propose(self, change: Change | DesiredState, answer: pykka.Future) -> None:
        """Propose a change; ``answer`` gets its answer."""
        now = read_clock()
        self._perform(now, self._node.propose(now, self._keep(answer), change))

    def read_tables(self, done: pykka.Future) -> None:
        """Ask whether the tables here are current; ``done`` gets the answer."""
        now = read_clock()
        self._perform(now, self._node.read(now, self._keep(done)))

    def announce(
        self, upstream_id: str, announcement: Announcement
    ) -> tuple[str, pykka.Future | None]:
        """Take an announcement.

        Returns
        -------
        str
            Reason of a refusal; empty when it was taken.
        Future or None
            Tells whether most control instances know of a drain.
        """
        now = read_clock()
        spread = pykka.ThreadingFuture() if announcement.state == DRAINING else None
        token = self._keep(spread) if spread is not None else ""
        refusal, actions = self._node.announce(now, upstream_id, announcement, token)
        self._perform(now, actions)
        if refusal:
            self._futures.pop(token, None)
            spread = None
        return refusal, spread

    def leave_upstream(self, upstream_id: str, incarnation: int) -> tuple[bool, pykka.Future]:
        """Take an upstream out.

        Returns
        -------
        bool
            Whether it was known.
        Future
            Tells whether most control instances know that it left.
        """
        now = read_clock()
        spread = pykka.ThreadingFuture()
        token = self._keep(spread)
        known, actions = self._node.leave_upstream(now, upstream_id, incarnation, token)
        self._perform(now, actions)
        return known, spread

    def _keep(self, future: pykka.Future) -> str:
        token = uuid.uuid4().hex
        self._futures[token] = future
        return token

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

    def replace_seeds(self, seeds: dict[str, str]) -> None:
        """Take over other instances to join."""
        self._node.members.replace_seeds(seeds)

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

    def _note_written(self, now: float, message: WriteCompleted) -> None:
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
            elif isinstance(action, UpstreamsLost | MemberChanged | UpstreamLeaving):
                _log_change(action)
            else:
                self._settle(action.token, _RESULTS[type(action)](action))
        self._publisher.publish(now, self._node)

    def _send(self, action: Send) -> None:
        if self._network is None:
            return
        address = self._node.find_address(action.peer_id)
        if address:
            self._network.send(action.peer_id, address, action.message)

    def _settle(self, token: str, value: Any) -> None:
        future = self._futures.pop(token, None)
        if future is not None:
            future.set(value)


_RESULTS: dict[type, Callable[[Any], Any]] = {
    ChangeCompleted: attrgetter("answer"),
    ClaimCompleted: attrgetter("outcome"),
    ReadCompleted: attrgetter("current"),
    ReceiptsDone: attrgetter("known"),
}


def _log_change(action: UpstreamsLost | MemberChanged | UpstreamLeaving) -> None:
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
    for upstream_id in action.upstream_ids:
        log_event("upstream_lost", upstream=upstream_id)


class Ticker:
    """Tells the node that time passes.

    Parameters
    ----------
    tell : callable
        Takes the message.
    get_period : callable
        Returns the time until the next message, in seconds.
    """

    def __init__(
        self, tell: Callable[[TimePassed], None], get_period: Callable[[], float]
    ) -> None:
        self._tell = tell
        self._get_period = get_period
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Tick in a thread of its own."""
        self._thread.start()

    def stop(self) -> None:
        """Stop ticking."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(self._get_period()):
            self._tell(TimePassed())
