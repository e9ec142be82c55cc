"""Passes orders on evacuations to the leader until they are committed, without I/O.

An order is sent again while its reply is missing, to whichever instance leads by then. Each
copy names the number of orders that were known before the order was given. That number never
changes, and the leader refuses an order that would undo one with a higher number. So an order
that waited anywhere, for any time, undoes none that was acknowledged after it was given.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from dataclasses import dataclass

from ..events import ProposalCompleted, Send
from ..records import EvacuationReply, EvacuationRequest
from .consensus import Consensus
from .evacuations import EvacuationOrder
from .group import Role
from .table_follower import EVACUATION, TableState

ORDER_TIMEOUT_S = 3.0
RETRY_S = 0.3
MAX_HOPS = 3  # further instances that are asked before the next retry
MAX_PENDING_ENTRIES = 1024
MAX_WAITING = 1024
UNKNOWN_COUNT = -1
TOKEN_PREFIX = "order "  # of the tokens of entries in the log, which proposals share

# Instance that an order came from, empty for this one, and the token of the order there.
Origin = tuple[str, str]


class OrderOutcome(enum.Enum):
    """What is known of an order.

    Attributes
    ----------
    COMMITTED
        A quorum has stored it.
    OVERTAKEN
        It was refused, as a later order on its zone may have been acknowledged.
    UNKNOWN
        It was not committed in time, and may still be.
    """

    COMMITTED = "committed"
    OVERTAKEN = "overtaken"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class OrderCompleted:
    """An order given at this instance has come to its end here.

    Attributes
    ----------
    known_orders : int
        Number of orders that were known before the order was given.
    read_orders : int
        Number of orders that this instance knew when it read the order.
    waited_s : float
        Time from then to its end, in seconds.
    """

    token: str
    outcome: OrderOutcome
    order: EvacuationOrder
    known_orders: int
    read_orders: int
    waited_s: float

    @property
    def committed(self) -> bool:
        """Whether a quorum has stored the order."""
        return self.outcome is OrderOutcome.COMMITTED


class _PendingOrder:
    """An order given at this instance.

    Attributes
    ----------
    begun_at : float
        Time at which the order was read, in seconds.
    known_orders : int
        Number of orders that were known before the order was given.
    read_orders : int
        Number of orders that this instance knew when it read the order.
    leader : str
        Instance that leads according to another one; empty if none has named it.
    hops : int
        Instances asked since the last retry.
    committed_count : int
        Number of orders including this one, once it is committed; otherwise 0.
    """

    __slots__ = (
        "begun_at",
        "committed_count",
        "deadline",
        "hops",
        "known_orders",
        "leader",
        "order",
        "read_orders",
        "retry_at",
    )

    def __init__(
        self, now: float, order: EvacuationOrder, known_orders: int, read_orders: int
    ) -> None:
        self.order = order
        self.begun_at = now
        self.deadline = now + ORDER_TIMEOUT_S
        self.retry_at = now
        self.known_orders = known_orders
        self.read_orders = read_orders
        self.leader = ""
        self.hops = 0
        self.committed_count = 0


class _AppendedOrder:
    """The order that this instance, as the leader, has appended to the log.

    Attributes
    ----------
    log_token : str
        Token of the entry.
    origins : set
        Who gave this order, or the same one while it was being committed.
    """

    __slots__ = ("log_token", "order", "origins")

    def __init__(self, log_token: str, order: EvacuationOrder, origin: Origin) -> None:
        self.log_token = log_token
        self.order = order
        self.origins = {origin}

    def is_same(self, order: EvacuationOrder) -> bool:
        """Return whether another order says the same."""
        return (order.zone, order.evacuated) == (self.order.zone, self.order.evacuated)


class OrderProposer:
    """Gets orders on evacuations committed and reports the end of each.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    state : TableState
        Replicated state here.
    consensus : Consensus or None
        Replicated log; None on an instance outside the control group.
    pick_control_instance : callable
        Returns the control instance to send requests to; empty when none is known.
    submit : callable
        Appends an entry to the log; only called while this instance leads.
    """

    def __init__(
        self,
        instance_id: str,
        state: TableState,
        consensus: Consensus | None,
        pick_control_instance: Callable[[float], str],
        submit: Callable[[float, str, str, dict], None],
    ) -> None:
        self._instance_id = instance_id
        self._state = state
        self._consensus = consensus
        self._pick_control_instance = pick_control_instance
        self._submit = submit
        self._orders: dict[str, _PendingOrder] = {}
        self._appended: _AppendedOrder | None = None
        self._waiting: dict[Origin, tuple[EvacuationOrder, int]] = {}
        self._actions: list[Send | OrderCompleted] = []

    def propose(
        self, now: float, token: str, order: EvacuationOrder, known_orders: int
    ) -> None:
        """Propose an order; :class:`OrderCompleted` with this token reports its end.

        Parameters
        ----------
        known_orders : int
            Number of orders that were known before the order was given.
        """
        read_orders = self._state.tables.evacuations.order_count
        self._orders[token] = _PendingOrder(now, order, known_orders, read_orders)
        self._send(now, token)

    def tick(self, now: float) -> None:
        """Send the orders without a reply again, and give up those whose time is over."""
        for token, pending in list(self._orders.items()):
            if now >= pending.deadline:
                is_committed = pending.committed_count > 0
                outcome = OrderOutcome.COMMITTED if is_committed else OrderOutcome.UNKNOWN
                self._complete(now, token, outcome)
            elif now >= pending.retry_at and not pending.committed_count:
                pending.leader, pending.hops = "", 0
                self._send(now, token)

    def pop_actions(self, now: float) -> list[Send | OrderCompleted]:
        """Return and clear the messages and results that are due.

        An operator who lists the zones here after the result must see the order.
        """
        order_count = self._state.tables.evacuations.order_count
        for token, pending in list(self._orders.items()):
            if 0 < pending.committed_count <= order_count:
                self._complete(now, token, OrderOutcome.COMMITTED)
        actions, self._actions = self._actions, []
        return actions

    def handle_request(self, now: float, peer: str, message: EvacuationRequest) -> None:
        """Append the order of another instance, or name the leader."""
        if not math.isfinite(message.at) or message.order_count < 0:
            raise ValueError(f"invalid order: {message!r}")
        if not self._is_leader():
            leader = self._consensus.leader_id if self._consensus is not None else ""
            self._reply(peer, message.token, UNKNOWN_COUNT, leader)
            return
        order = EvacuationOrder(message.zone, message.evacuated, message.at)
        self._append(now, (peer, message.token), order, message.order_count)

    def handle_reply(self, now: float, peer: str, message: EvacuationReply) -> None:
        """Handle the reply to an order that was passed on."""
        if message.order_count < (1 if message.committed else UNKNOWN_COUNT):
            raise ValueError(f"invalid reply to an order: {message!r}")
        pending = self._orders.get(message.token)
        if pending is None or pending.committed_count:
            return
        if message.committed:
            pending.committed_count = message.order_count
            return
        if message.order_count > UNKNOWN_COUNT:
            # The leader has refused it. One of an earlier build does so after any other order.
            self._complete(now, message.token, OrderOutcome.OVERTAKEN)
        elif message.leader:
            self._follow_reply(now, message.token, message.leader)

    def handle_completed(self, now: float, action: ProposalCompleted) -> None:
        """Handle the result of an entry that this instance appended."""
        appended = self._appended
        if appended is None or action.token != appended.log_token:
            return
        self._appended = None
        waiting, self._waiting = self._waiting, {}
        if not isinstance(action.result, int):
            # This instance has ceased to lead; the orders are sent again at their next retry.
            return
        for peer, token in sorted(appended.origins):
            if peer:
                self._reply(peer, token, action.result, "", committed=True)
            elif token in self._orders:
                self._orders[token].committed_count = action.result
        for origin, (order, known_orders) in waiting.items():
            self._append(now, origin, order, known_orders)

    def _send(self, now: float, token: str) -> None:
        pending = self._orders[token]
        pending.retry_at = now + RETRY_S
        if self._is_leader():
            self._append(now, ("", token), pending.order, pending.known_orders)
            return
        target = pending.leader or self._pick_control_instance(now)
        if not target or target == self._instance_id:
            return
        order = pending.order
        message = EvacuationRequest(
            token=token,
            zone=order.zone,
            evacuated=order.evacuated,
            at=order.at,
            order_count=pending.known_orders,
        )
        self._actions.append(Send(target, message))

    def _append(
        self, now: float, origin: Origin, order: EvacuationOrder, known_orders: int
    ) -> None:
        """Append an order, unless it would undo a later one or another is being committed.

        The state that an order is compared with thus includes all orders in the log. An order
        that can't be appended now gets no reply, so its sender repeats it.
        """
        if self._appended is not None:
            if self._appended.is_same(order):
                self._appended.origins.add(origin)
            elif len(self._waiting) < MAX_WAITING:
                self._waiting[origin] = (order, known_orders)
            return
        consensus = self._consensus
        is_busy = consensus.count_pending() >= MAX_PENDING_ENTRIES
        if is_busy or not consensus.can_accept_changes():
            return
        if not self._state.tables.evacuations.may_follow(order, known_orders):
            self._refuse(now, origin)
            return
        log_token = f"{TOKEN_PREFIX}{consensus.term} {consensus.log.last_index + 1}"
        self._appended = _AppendedOrder(log_token, order, origin)
        self._submit(now, log_token, EVACUATION, order.to_wire())

    def _refuse(self, now: float, origin: Origin) -> None:
        """Tell the origin of an order that a later one has overtaken it."""
        peer, token = origin
        if peer:
            self._reply(peer, token, self._state.tables.evacuations.order_count, "")
        elif token in self._orders:
            self._complete(now, token, OrderOutcome.OVERTAKEN)

    def _follow_reply(self, now: float, token: str, leader: str) -> None:
        """Send an order again after a reply that names the leader.

        It is sent at once, up to ``MAX_HOPS`` times between two retries.
        """
        pending = self._orders[token]
        pending.leader = leader
        pending.hops += 1
        if pending.hops <= MAX_HOPS:
            self._send(now, token)

    def _reply(
        self, peer: str, token: str, order_count: int, leader: str, committed: bool = False
    ) -> None:
        message = EvacuationReply(
            token=token, committed=committed, order_count=order_count, leader=leader
        )
        self._actions.append(Send(peer, message))

    def _complete(self, now: float, token: str, outcome: OrderOutcome) -> None:
        pending = self._orders.pop(token)
        self._actions.append(
            OrderCompleted(
                token,
                outcome,
                pending.order,
                pending.known_orders,
                pending.read_orders,
                now - pending.begun_at,
            )
        )

    def _is_leader(self) -> bool:
        return self._consensus is not None and self._consensus.role is Role.LEADER
