"""Builds the status document of an instance."""

from __future__ import annotations

from typing import Any

from ..balancing.evacuation import EvacuationPlan
from ..balancing.pools import UpstreamPool
from ..fleet.node import Node
from ..fleet.upstreams import Entry


def describe_node(node: Node, now: float) -> dict[str, Any]:
    """Return the part of the status document about the node and the fleet."""
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
                "rate_limit_per_s": e.rate_limit_per_s,
                **_describe_cold_period(e, now),
            }
            for e in sorted(node.upstreams.entries.values(), key=lambda e: e.upstream_id)
        ],
    }
    if node.consensus is not None:
        document["control"] = _describe_control(node)
    return document


def _describe_cold_period(entry: Entry, now: float) -> dict[str, float]:
    """Return the rest of the cold period, for an entry that has one."""
    if entry.cold_until is None:
        return {}
    return {"warmup_left_s": round(max(0.0, entry.cold_until - now), 3)}


def _describe_control(node: Node) -> dict[str, Any]:
    consensus = node.consensus
    return {
        "role": consensus.role.value,
        "term": consensus.term,
        "leader": consensus.leader_id,
        "members": sorted(consensus.voters),
        "commit_index": consensus.commit_index,
        "last_index": consensus.log.last_index,
        "disk_id": consensus.disk_id,
        "disk_admitted": consensus.is_voter(),
        "claims": len(node.holder.claims),
        "claims_recovered": node.holder.recovered,
        "claims_awaited": node.holder.list_awaited(),
    }


def describe_evacuations(now: float, evacuations: EvacuationPlan) -> list[dict[str, Any]]:
    """Return the part of the status document about the evacuated zones."""
    return [
        {"zone": e.zone, "since": e.since, "applied": e.ends_at <= now}
        for e in sorted(evacuations.zones.values(), key=lambda e: e.zone)
    ]


def describe_pool(now: float, pool: UpstreamPool) -> dict[str, Any]:
    """Return the part of the status document about one pool."""
    balancer = pool.balancer
    document = {
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
                "evacuated": u.evacuated_at <= now,
            }
            for u in list(balancer.upstreams.values())
        ],
    }
    if pool.warmups.is_limited:
        document["cold_upstreams"] = pool.warmups.describe(now)
    return document
