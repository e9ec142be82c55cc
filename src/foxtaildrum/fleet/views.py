"""Publishes the tables and upstreams of the node to the request threads."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ..admin.metrics import Meter
from ..balancing.evacuation import EvacuationPlan
from ..balancing.pools import UpstreamPool
from ..balancing.splits import PoolChooser
from ..logs import log_event
from ..organisations.keys import KeyTableBuilder
from ..organisations.recognition import AgeLimits
from ..permits.upstreams import PermitClient
from ..records import Organisation, Settings
from ..requests.marks import ConnectionMarks
from ..requests.proxy import Proxy
from ..requests.routing import Router
from ..requests.transport import Adapter, get_adapter
from ..requests.view import View
from .actions import PermitsAnswered, QuotasAnswered
from .currency import START_MAX_TABLE_AGE_S
from .node import Node
from .quotas import parse_grants


class ViewPublisher:
    """Builds the view of routes and pools that request threads read.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    proxy : Proxy
        Holds the published view.
    meter : Meter
        Keeps metrics for each route.
    rng : random.Random or None
        Source of random choices of the pools; None for one of its own in each pool.

    Attributes
    ----------
    notify_draining : callable
        Called with the identifier of an upstream that signalled a drain in a response.
    apply_limits : callable
        Called with the limits in the tables.
    permit_client : PermitClient
        Reports the rate limits of upstreams and requests permits for the pools.
    open_connection : Adapter
        Opens connections to upstreams.
    evacuations : EvacuationPlan
        Evacuated zones, whose upstreams the pools leave out.
    """

    def __init__(
        self,
        settings: Settings,
        proxy: Proxy,
        meter: Meter,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._proxy = proxy
        self._meter = meter
        self._generation = -1
        self._published_generation = -1
        self._key_tables = KeyTableBuilder()
        proxy.recogniser.limits = AgeLimits.from_settings(settings)
        self.notify_draining: Callable[[str], None] = _ignore
        self.connection_marks: ConnectionMarks | None = None
        self.apply_limits: Callable[[dict[str, Any]], None] = _ignore
        self.permit_client = PermitClient()
        self.open_connection: Adapter = get_adapter("http")
        self.evacuations = EvacuationPlan(settings.instance_id, settings.evacuation_s)
        self._opened_at: float | None = None
        self._entry_count = 0
        self._peers_change_count = -1
        self._zones_change_count = -1
        self._entry_zones: dict[str, str] = {}
        self._quotas_change_count = -1
        self._crashes_version = 0

    def publish(self, now: float, node: Node) -> None:
        """Update the view if the node's state has changed."""
        changed = node.upstreams.pop_changed_pools()
        is_regrouped = self._publish_evacuations(now, node)
        if node.follower.generation != self._generation:
            self._generation = node.follower.generation
            changed |= self._publish_tables(now, node)
            self._published_generation = self._generation
        if self._published_generation == node.follower.generation:
            # The age must be that of the tables in the view, not that of newer or older ones.
            self._proxy.view.complete_up_to = node.follower.complete_up_to
        self._publish_crashes(node)
        self._publish_peers(node)
        pools = self._proxy.view.pools
        self._share_budgets(node, pools)
        self._publish_zones(now, node, pools)
        for name in pools.keys() if is_regrouped else changed & pools.keys():
            pools[name].update_members(now, node.upstreams.list_members(name))
        for pool in pools.values():
            pool.warmups.expire(now)

    def publish_orders(self, node: Node) -> None:
        """Mark new connections of operators with the number of orders on zones.

        Done before an order is acknowledged, so that the next one may follow it.
        """
        marks = self.connection_marks
        order_count = node.state.tables.evacuations.order_count
        if marks is not None and marks.latest != order_count:
            marks.update(order_count)

    def _publish_evacuations(self, now: float, node: Node) -> bool:
        """Apply and log the orders to evacuate zones; return whether to update every pool.

        An instance that serves no callers, or has just begun to, leaves the upstreams at once:
        the others may have begun to withdraw long ago. It begins to serve with tables that may
        lack the orders of the last seconds.
        """
        orders = node.state.tables.evacuations.zones
        opened_at, self._opened_at = self._opened_at, self._find_opening(now, node)
        if not orders and not self.evacuations.zones:
            return False
        has_news = self.evacuations.has_news(orders)
        if has_news:
            at_once = opened_at is None or now - opened_at < START_MAX_TABLE_AGE_S
            begun, ended = self.evacuations.update(now, orders, at_once)
            for evacuation in begun:
                log_event(
                    "evacuation_heard",
                    zone=evacuation.zone,
                    since=evacuation.since,
                    applied_in_s=round(evacuation.ends_at - now, 3),
                )
            for evacuation in ended:
                log_event("evacuation_withdrawn", zone=evacuation.zone)
        applied = self.evacuations.pop_applied(now)
        for evacuation in applied:
            log_event("evacuation_applied", zone=evacuation.zone, since=evacuation.since)
        return has_news or bool(applied)

    def _find_opening(self, now: float, node: Node) -> float | None:
        """Return when this instance began to serve callers; None while it doesn't."""
        if not node.is_open(now):
            return None
        return now if self._opened_at is None else self._opened_at

    def _publish_crashes(self, node: Node) -> None:
        if node.crashes.version == self._crashes_version:
            return
        self._crashes_version = node.crashes.version
        known = set(self._proxy.crash_view.list_refused())
        self._proxy.crash_view = node.crashes.build_view()
        for fingerprint in self._proxy.crash_view.list_refused():
            if fingerprint not in known:
                log_event("crashing_request", fingerprint=fingerprint)

    def _publish_peers(self, node: Node) -> None:
        forwarder = self._proxy.forwarder
        if forwarder is None or node.members.change_count == self._peers_change_count:
            return
        self._peers_change_count = node.members.change_count
        forwarder.update_peers(node.list_forward_addresses())

    def _publish_zones(self, now: float, node: Node, pools: dict[str, UpstreamPool]) -> None:
        """Pass changed entry instances on to the pools."""
        if node.members.change_count == self._zones_change_count:
            return
        self._zones_change_count = node.members.change_count
        self._entry_zones = node.list_entry_zones()
        for pool in pools.values():
            pool.warmups.set_zones(now, self._entry_zones)

    def deliver_permits(self, now: float, answer: PermitsAnswered) -> None:
        """Pass the reply of an issuer on to the pool of the upstream."""
        pool = self._proxy.view.pools.get(answer.pool)
        if pool is not None:
            pool.handle_permits(now, answer.reply)

    def deliver_quotas(self, now: float, answer: QuotasAnswered) -> None:
        """Pass the reply to a request for permits of organisations on."""
        reply = answer.reply
        self._proxy.quotas.handle_reply(
            now, reply.requested_at, answer.peer_id, reply.issued_at, parse_grants(reply)
        )

    def apply_organisations(self, node: Node, organisations: list[Organisation]) -> None:
        """Apply the limits of the organisations in force."""
        node.set_organisations(organisations)
        self._proxy.quotas.retain(organisations)

    def tick(self, now: float, node: Node) -> None:
        """Apply changed entry instances to the quotas, and do what is due for the permits."""
        quotas = self._proxy.quotas
        if node.members.change_count != self._quotas_change_count:
            # The first request needs them already: its issuer may not reply.
            self._quotas_change_count = node.members.change_count
            quotas.set_instances(node.list_entry_instances())
        quotas.tick(now)

    def _share_budgets(self, node: Node, pools: dict[str, UpstreamPool]) -> None:
        """Divide the fleet-wide probe and retry budgets by the number of entry instances."""
        entry_count = node.count_entry_instances()
        if entry_count == self._entry_count:
            return
        self._entry_count = entry_count
        for pool in pools.values():
            self._set_budgets(pool)

    def _set_budgets(self, pool: UpstreamPool) -> None:
        settings = self._settings
        if not self._entry_count:
            return
        pool.set_entry_count(self._entry_count)
        if settings.retry_slack:
            pool.set_retry_slack(settings.retry_slack / self._entry_count)
        pool.set_status_check_rate(
            settings.probes_per_s / self._entry_count, settings.sample_size
        )

    def _publish_tables(self, now: float, node: Node) -> set[str]:
        """Publish the tables; return the names of the pools that are new or changed."""
        tables = node.state.tables
        versions = {f"{n}_version": t.version for n, t in tables.tables.items()}
        log_event(
            "tables_in_force",
            index=node.follower.index,
            version=tables.desired_number,
            **versions,
        )
        self.apply_organisations(node, tables.list_organisations())
        if self._settings.role == "control":
            return set()
        routes = tables.list_routes()
        known = self._proxy.view.pools
        pools = {}
        records = tables.list_pools()
        threads = self._settings.threads
        # With several pools, a slow one may occupy only half of the request threads.
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
                    self.open_connection,
                    self._notify_draining,
                    self._rng or random.Random(),
                    self._settings.instance_id,
                    self.permit_client,
                    self.evacuations,
                )
                pool.warmups.set_bounds(
                    self._settings.warmup_overshoot, self._settings.warmup_slack
                )
                pool.warmups.set_zones(now, self._entry_zones)
            pool.configure(record, busy_limit)
            pool.set_default_retry_ratio(self._settings.retry_budget_ratio)
            self._set_budgets(pool)
            pools[record.name] = pool
        organisations = tables.get_organisations()
        key_table = self._key_tables.build(organisations and organisations.rows)
        self._proxy.recogniser.counts.retain(key_table.list_names() if key_table else ())
        chooser = PoolChooser(routes, self._proxy.view.chooser)
        self.apply_limits(tables.limits)
        self._proxy.view = View(
            Router(routes),
            pools,
            chooser,
            tables.desired_number,
            node.follower.index,
            tables.is_set,
            key_table,
            tables.had_organisations,
        )
        self._meter.set_routes(routes)
        route_names = {route.name for route in routes}
        self._proxy.sizes.retain(route_names)
        self._proxy.durations.retain(route_names)
        for name in set(known) - set(pools):
            known[name].close()
        return changed

    def _notify_draining(self, upstream_id: str) -> None:
        self.notify_draining(upstream_id)


def _ignore(value: object) -> None:
    return None
