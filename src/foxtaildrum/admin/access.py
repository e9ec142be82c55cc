"""Access to the node's actor from request threads and from the admin interface."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any

import pykka

from ..balancing.evacuation import EvacuationPlan
from ..clock import read_clock
from ..control.claims import ClaimOutcome, Verdict, compute_claim_key
from ..control.desired import DesiredState, describe_desired
from ..control.evacuations import EvacuationOrder
from ..control.orders import OrderOutcome
from ..control.tables import Change
from ..exceptions import NotConfirmedError
from ..fleet.node import Node
from ..fleet.node_api import ChangeAnswer
from ..logs import count_left_out_lines, log_event
from ..permits.holder import QuotaPlan
from ..permits.quota import ReturnedPermits
from ..permits.upstreams import PermitClient
from ..records import Announcement, ClaimFinish
from ..requests.account import CallerAccount
from ..requests.idempotency import StoredResponse
from ..requests.proxy import Proxy
from ..requests.quotas import QuotaClient
from ..requests.relays import ErrorResponse, UpstreamResponse
from ..versions import get_running_code
from . import organisations
from .exposition import MetricsSnapshot
from .gauges import (
    build_account_gauge,
    build_code_gauge,
    list_evacuation_gauges,
    list_node_gauges,
    list_pool_gauges,
    list_quota_gauges,
)
from .metrics import Meter
from .status import describe_evacuations, describe_node, describe_pool
from .zones import describe_zones, list_known_zones

NODE_REPLY_TIMEOUT_S = 10.0
CLAIM_REPLY_TIMEOUT_S = 3.0


class NodeClaims:
    """Claims idempotency keys for request threads through the node.

    Parameters
    ----------
    node : ActorProxy
        Proxy of the node's actor.
    """

    def __init__(self, node: pykka.ActorProxy) -> None:
        self._node = node

    def claim(
        self, key: str, digest: str, remaining_s: float
    ) -> tuple[NodeClaim, ClaimOutcome]:
        """Claim an idempotency key and wait for the outcome.

        Parameters
        ----------
        remaining_s : float
            Time until the deadline of the request, in seconds.
        """
        claim_id = uuid.uuid4().hex
        claim_key = compute_claim_key(key)
        future = pykka.ThreadingFuture()
        self._node.claim.defer(claim_id, claim_key, digest, remaining_s, future)
        node_claim = NodeClaim(self._node, claim_key, claim_id, digest)
        try:
            return node_claim, future.get(timeout=CLAIM_REPLY_TIMEOUT_S)
        except pykka.Timeout:
            self._node.release_claim.defer(claim_key, claim_id)
            return node_claim, ClaimOutcome(Verdict.UNAVAILABLE)


class NodeClaim:
    """Claim of an idempotency key, made by the node for one request."""

    __slots__ = ("_claim_id", "_digest", "_key", "_node")

    def __init__(self, node: pykka.ActorProxy, key: str, claim_id: str, digest: str) -> None:
        self._node = node
        self._key = key
        self._claim_id = claim_id
        self._digest = digest

    def complete(self, result: ErrorResponse | UpstreamResponse) -> None:
        """Store the response under the claim; release the claim if the request was not run."""
        stored_response = StoredResponse.from_result(result)
        if stored_response is None:
            self._node.release_claim.defer(self._key, self._claim_id)
            return
        message = ClaimFinish(
            key=self._key,
            claim_id=self._claim_id,
            digest=self._digest,
            status=stored_response.status,
            headers=[list(pair) for pair in stored_response.headers],
            body=stored_response.body,
        )
        stored_future = pykka.ThreadingFuture()
        self._node.finish_claim.defer(message, stored_future)
        try:
            stored_future.get(timeout=CLAIM_REPLY_TIMEOUT_S)
        except pykka.Timeout:
            log_event("claim_not_stored", claim=self._claim_id)


class NodeReports(PermitClient, QuotaClient):
    """Passes what request threads learn and request on to the node; no call waits.

    Implements ``CrashReporter`` as well.

    Parameters
    ----------
    node : ActorProxy
        Proxy of the node's actor.
    """

    __slots__ = ("_apply",)

    def __init__(self, node: pykka.ActorProxy) -> None:
        self._apply = node.apply.defer

    def report_rate_limit(
        self, upstream_id: str, incarnation: int, limit_per_s: float | None
    ) -> None:
        """Report the limit that an upstream names in its responses."""
        self._apply(
            lambda node, now: node.report_rate_limit(now, upstream_id, incarnation, limit_per_s)
        )

    def request_permits(
        self, upstream_id: str, limit_per_s: float, count: int, requested_at: float
    ) -> None:
        """Request permits for requests to an upstream that limits its rate."""
        self._apply(
            lambda node, now: node.request_permits(
                now, upstream_id, limit_per_s, count, requested_at
            )
        )

    def return_permits(self, upstream_id: str, count: int) -> None:
        """Return permits that were not used."""
        self._apply(lambda node, now: node.return_permits(now, upstream_id, count))

    def report_warmup(self, upstream_id: str, incarnation: int, left_s: float) -> None:
        """Report that an upstream is cold for some seconds."""
        self._apply(lambda node, now: node.report_warmup(now, upstream_id, incarnation, left_s))

    def request_quotas(self, plan: QuotaPlan) -> None:
        """Request permits for requests of organisations."""
        self._apply(lambda node, now: node.request_quotas(now, plan))

    def return_quotas(self, returns: list[ReturnedPermits]) -> None:
        """Return permits of organisations that were not used."""
        self._apply(lambda node, now: node.return_quotas(now, returns))

    def report_crash(self, fingerprint: str, upstream_id: str, incarnation: int) -> None:
        """Report that an upstream ended while it ran a request."""
        self._apply(
            lambda node, now: node.report_crash(now, fingerprint, upstream_id, incarnation)
        )

    def clear_crashes(self, fingerprint: str) -> None:
        """Report that an upstream answered a request that had been reported."""
        self._apply(lambda node, now: node.clear_crashes(now, fingerprint))


class NodeAccess:
    """Gives the admin interface access to the node, the counters and the pools.

    Parameters
    ----------
    node : ActorProxy
        Proxy of the node's actor.
    meter : Meter
        Counters of the instance.
    proxy : Proxy
        Proxy whose current view has the pools.
    evacuations : EvacuationPlan
        Evacuated zones as this instance applies them.
    account : CallerAccount
        What the callers hold.
    """

    def __init__(
        self,
        node: pykka.ActorProxy,
        meter: Meter,
        proxy: Proxy,
        evacuations: EvacuationPlan,
        account: CallerAccount,
    ) -> None:
        self._node = node
        self._evacuations = evacuations
        self._account = account
        self._meter = meter
        self._proxy = proxy

    def list_unready_reasons(self) -> list[str]:
        """Return why the instance should not receive traffic; empty when ready."""
        return self._read(Node.list_unready_reasons)

    def describe_status(self) -> dict[str, Any]:
        """Return the status document."""
        now = read_clock()
        document = self._read(describe_node)
        code = get_running_code()
        document["code"] = {"version": code.version, "digest": code.digest}
        document["counters"] = self._meter.describe_counters()
        document["latency_ms"] = self._meter.describe_latencies(now)
        document["evacuations"] = describe_evacuations(now, self._evacuations)
        document["pools"] = [
            describe_pool(now, pool) for pool in self._proxy.view.pools.values()
        ]
        if self._proxy.view.key_table is not None:
            document["organisations"] = organisations.describe_recognition(now, self._proxy)
        limits = self._proxy.quotas.describe()
        if limits:
            document["organisation_limits"] = limits
        return document

    def describe_service_levels(self) -> list[dict[str, Any]]:
        """Return the service level of each route."""
        return self._meter.describe_service_levels(read_clock())

    def describe_metrics(self) -> MetricsSnapshot:
        """Return the metrics of the instance."""
        snapshot = MetricsSnapshot.from_counters(self._meter.describe_counters())
        snapshot.left_out = count_left_out_lines()
        snapshot.route_latencies = self._meter.get_latency_histograms()
        pools = self._proxy.view.pools
        snapshot.pool_latencies = {name: pool.hold_times for name, pool in pools.items()}
        snapshot.gauges = self._read(list_node_gauges) + list_pool_gauges(pools)
        snapshot.gauges += list_evacuation_gauges(read_clock(), self._evacuations, pools)
        snapshot.gauges += list_quota_gauges(self._proxy.quotas.describe())
        snapshot.gauges.append(build_code_gauge(get_running_code()))
        snapshot.organisation_requests = self._proxy.recogniser.counts.list_by_result()
        snapshot.gauges.append(build_account_gauge(self._account))
        return snapshot

    def get_table(self, name: str) -> tuple[list[dict[str, Any]], int, bool]:
        """Return the rows, the version and whether the tables are known to be up to date."""
        return self._read(lambda node, now: _read_table(node, now, name))

    def read_desired_state(self) -> dict[str, Any] | None:
        """Return the desired state with every accepted change; None if it may be stale."""
        if not self.confirm_tables():
            return None
        return self._read(lambda node, now: describe_desired(node.state.tables))

    def confirm_tables(self) -> bool:
        """Return whether the state here is known to include every accepted change and order."""
        current_future = pykka.ThreadingFuture()
        self._node.read_tables.defer(current_future)
        try:
            return current_future.get(timeout=NODE_REPLY_TIMEOUT_S)
        except pykka.Timeout:
            return False

    def knows_zone(self, zone: str) -> bool:
        """Return whether a member or an upstream is in a zone, or the zone is evacuated."""
        return self._read(lambda node, now: zone in list_known_zones(node))

    def describe_zones(self, configured: frozenset[str]) -> list[dict[str, Any]]:
        """Return a document for each zone that is configured or known."""
        return self._read(lambda node, now: describe_zones(node, configured))

    def order_evacuation(self, order: EvacuationOrder, known_orders: int) -> OrderOutcome:
        """Propose an order on a zone that was given after ``known_orders`` other orders."""
        future = pykka.ThreadingFuture()
        self._node.order_evacuation.defer(order, known_orders, future)
        try:
            return future.get(timeout=NODE_REPLY_TIMEOUT_S)
        except pykka.Timeout:
            return OrderOutcome.UNKNOWN

    def describe_organisations(self) -> dict[str, Any]:
        """Return the organisations in force and their requests here, without any key."""
        document = self._read(organisations.describe_table)
        counts = self._proxy.recogniser.counts.list_counts()
        for row in document["organisations"]:
            row["requests"] = counts.get(row["name"], {})
        return document

    def change_table(self, change: Change | DesiredState) -> ChangeAnswer:
        """Propose a change and wait for its result."""
        change_future = pykka.ThreadingFuture()
        self._node.propose.defer(change, change_future)
        try:
            return change_future.get(timeout=NODE_REPLY_TIMEOUT_S)
        except pykka.Timeout:
            return ChangeAnswer("unknown", 0, detail="The change was not answered in time")

    def announce(self, upstream_id: str, announcement: Announcement) -> str:
        """Register an announcement; return why it was refused, or an empty string."""
        future = self._node.announce(upstream_id, announcement)
        refusal, confirmation = future.get(timeout=NODE_REPLY_TIMEOUT_S)
        if confirmation is not None and not confirmation.get(timeout=NODE_REPLY_TIMEOUT_S):
            raise NotConfirmedError("too few control instances heard of the drain")
        return refusal

    def leave(self, upstream_id: str, incarnation: int = 0) -> bool | None:
        """Remove an upstream.

        Returns
        -------
        bool or None
            Whether the upstream was known; None when too few control instances confirmed
            the leave.
        """
        future = self._node.leave_upstream(upstream_id, incarnation)
        known, confirmation = future.get(timeout=NODE_REPLY_TIMEOUT_S)
        return known if confirmation.get(timeout=NODE_REPLY_TIMEOUT_S) else None

    def _read(self, function: Callable[[Node, float], Any]) -> Any:
        return self._node.read(function).get(timeout=NODE_REPLY_TIMEOUT_S)


def _read_table(node: Node, now: float, name: str) -> tuple[list[dict[str, Any]], int, bool]:
    table = node.state.tables.tables[name]
    return table.list_rows(), table.version, node.is_current(now)
