"""Gauges of an instance and of its pools, for the metrics page."""

from __future__ import annotations

import math
from typing import Any

from ..balancing.evacuation import EvacuationPlan
from ..balancing.pools import UpstreamPool
from ..control.group import Role
from ..fleet.node import Node
from ..requests.account import CallerAccount
from ..versions import RunningCode
from .exposition import Gauge


def list_node_gauges(node: Node, now: float) -> list[Gauge]:
    """Return the gauges of the node: readiness, tables, members and control group."""
    age_s = node.follower.compute_age(now)
    members = node.members.members.values()
    states = {m.state.name.lower(): 0.0 for m in members}
    for member in members:
        states[member.state.name.lower()] += 1.0
    ready = float(not node.list_unready_reasons(now))
    gauges = [
        Gauge("ready", "Whether callers should be sent here.", {"": ready}),
        Gauge("table_index", "Index of the log that is in force.", {"": node.follower.index}),
        Gauge(
            "table_age_seconds",
            "Age of the last word of a quorum on the tables.",
            {"": math.inf if age_s is None else age_s},
        ),
        Gauge("members", "Known instances by state.", states, "state"),
        Gauge("upstreams", "Known upstreams.", {"": len(node.upstreams.entries)}),
    ]
    return gauges + _list_group_gauges(node)


def _list_group_gauges(node: Node) -> list[Gauge]:
    consensus = node.consensus
    if consensus is None:
        return []
    roles = {role.value: float(role is consensus.role) for role in Role}
    return [
        Gauge("control_role", "1 for the role of this control instance.", roles, "role"),
        Gauge("control_term", "Term of the control group.", {"": consensus.term}),
        Gauge("control_voters", "Voters of the control group.", {"": len(consensus.voters)}),
        Gauge(
            "control_entries_pending",
            "Entries of the log that wait for their commit.",
            {"": consensus.count_pending()},
        ),
        Gauge("claims", "Claims stored by this holder.", {"": len(node.holder.claims)}),
        Gauge(
            "claims_awaited",
            "Holders whose claims this one must read before it grants any.",
            {"": len(node.holder.list_awaited())},
        ),
    ]


def build_code_gauge(code: RunningCode) -> Gauge:
    """Return the gauge that names the code of the instance."""
    help_text = "1 for the version and the digest of the code that the instance runs."
    return Gauge("code", help_text, {f"{code.version}-{code.digest}": 1.0}, "code")


def list_quota_gauges(organisations: list[dict[str, Any]]) -> list[Gauge]:
    """Return the limit and the use of each limited organisation; none if there is none.

    Parameters
    ----------
    organisations : list of dict
        What ``Quotas.describe`` returns.
    """
    if not organisations:
        return []
    help_texts = {
        "rate_per_s": "Limit of the organisation over all instances, in requests per second.",
        "used": "Requests of the organisation that took a permit here since the start.",
        "refused": "Requests refused here because the organisation had reached its limit.",
        "unanswered": "Requests refused here because no issuer replied.",
        "limited": "Whether the organisation is limited here.",
    }
    return [
        Gauge(
            f"organisation_limit_{field}",
            help_text,
            {o["organisation"]: float(o[field]) for o in organisations},
            "organisation",
        )
        for field, help_text in help_texts.items()
    ]


def build_account_gauge(account: CallerAccount) -> Gauge:
    """Return the gauge of what the callers hold."""
    help_text = "Size of unfinished requests and unsent responses of callers."
    return Gauge("callers_held_bytes", help_text, {"": account.held_bytes})


def list_pool_gauges(pools: dict[str, UpstreamPool]) -> list[Gauge]:
    """Return the gauges of the load and the retry budget of each pool."""
    balancers = {name: pool.balancer for name, pool in pools.items()}
    pool_gauges = (
        ("pool_waiting", "Requests that wait for a slot.", lambda b: len(b.queue)),
        ("pool_in_flight", "Requests that hold a slot.", lambda b: b.in_flight),
        ("pool_upstreams", "Upstreams of the pool.", lambda b: len(b.upstreams)),
        (
            "pool_mean_service_seconds",
            "Mean time that an attempt holds a slot.",
            lambda b: b.load.mean_service_s,
        ),
        (
            "pool_retry_tokens",
            "Retries that this instance may make at once.",
            lambda b: b.retry_budget.tokens,
        ),
    )
    gauges = [
        Gauge(name, help_text, {n: float(read(b)) for n, b in balancers.items()}, "pool")
        for name, help_text, read in pool_gauges
    ]
    cold = {n: float(b.cold.count) for n, b in balancers.items() if b.cold.limit is not None}
    if cold:
        help_text = "Cold upstreams of a pool that limits requests to them."
        gauges.append(Gauge("pool_cold_upstreams", help_text, cold, "pool"))
    return gauges


def list_evacuation_gauges(
    now: float, evacuations: EvacuationPlan, pools: dict[str, UpstreamPool]
) -> list[Gauge]:
    """Return the gauges of evacuated zones and of the upstreams that are left out for them."""
    withheld = {name: float(pool.count_evacuated(now)) for name, pool in pools.items()}
    return [
        Gauge("evacuated_zones", "Evacuated zones.", {"": float(len(evacuations.zones))}),
        Gauge(
            "pool_evacuated_upstreams",
            "Upstreams that get nothing as their availability zone is evacuated.",
            withheld,
            "pool",
        ),
    ]
