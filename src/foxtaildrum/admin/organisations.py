"""Organisations as operators see them, without their keys."""

from __future__ import annotations

from typing import Any

from ..fleet.node import Node
from ..requests.proxy import Proxy


def describe_table(node: Node, now: float) -> dict[str, Any]:
    """Return the organisations that are in force at an instance."""
    age_s = node.follower.compute_age(now)
    document: dict[str, Any] = {
        "instance": node.instance_id,
        "in_force": False,
        "version": 0,
        "table_age_s": None if age_s is None else round(age_s, 3),
        "organisations": [],
    }
    table = node.state.tables.get_organisations()
    if table is not None:
        document["in_force"] = True
        document["version"] = table.version
        document["organisations"] = [_describe_row(row) for row in table.list_rows()]
    return document


def describe_recognition(now: float, proxy: Proxy) -> dict[str, Any]:
    """Return the part of the status document about organisations, while they are in force."""
    view = proxy.view
    age_s = view.compute_age(now)
    limits = proxy.recogniser.limits
    return {
        "in_force": view.key_table is not None,
        "serves_keys": limits.allow_service(age_s),
        "refuses_keys": limits.are_recent(age_s),
        "key_check_s": limits.key_check_s,
        "revocation_s": limits.revocation_s,
    }


def format_organisations(document: dict[str, Any]) -> list[str]:
    """Return the organisations of an instance as text lines."""
    if not document["in_force"]:
        return [f"{document['instance']}: organisations are not in force"]
    age_s = document["table_age_s"]
    age = "unknown" if age_s is None else f"{age_s:.1f} s"
    lines = [f"{document['instance']}: version {document['version']}, age of the tables {age}"]
    for row in document["organisations"]:
        counts = row["requests"]
        priority = "-" if row["priority"] is None else row["priority"]
        limit = f"{row['rate_per_s']:g}/s" if row["rate_per_s"] else "-"
        lines.append(
            f"  {row['name']}: {row['keys']} keys, priority {priority}, limit {limit}, "
            f"burst {row['burst']:g}, {counts.get('served', 0)} served, "
            f"{counts.get('refused', 0)} refused, {counts.get('failed', 0)} failed"
        )
    return lines


def _describe_row(row: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": row["name"],
        "keys": len(row.get("keys", [])),
        "priority": row.get("priority"),
        "rate_per_s": row.get("rate_per_s", 0),
        "burst": row.get("burst", 0),
    }
