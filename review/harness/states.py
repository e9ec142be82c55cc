"""Desired states of the cases."""

from __future__ import annotations

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def build_pool(name: str) -> dict:
    """Return a service."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 1160,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 3.0,
        "warmup_per_s": 5.8,
    }


def build_route(
    name: str, host: str, path_prefix: str, pool: str, kind: str = "safe"
) -> dict:
    """Return a route."""
    return {
        "name": name,
        "host": host,
        "path_prefix": path_prefix,
        "type": kind,
        "timeout_ms": 1500,
        "objective_latency_ms": 400,
        "priority": 1,
        "pool": pool,
        "max_attempts": 2,
        "public": False,
    }


def build_state(version: int, routes: list[dict], organisations: list[dict] | None = None) -> dict:
    """Return a desired state with the services that its routes name."""
    state = {
        "version": version,
        "routes": routes,
        "pools": [build_pool(name) for name in dict.fromkeys(r["pool"] for r in routes)],
        "limits": LIMITS,
    }
    if organisations is not None:
        state["organisations"] = organisations
    return state
