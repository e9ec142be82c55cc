"""A small desired state: one route of orders, which may run once at most."""

from __future__ import annotations

HOST = "hulo84.example"
PATH = "/xapu221/ny95/"
SERVICE = "wuno96b"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def build_pool(name: str) -> dict:
    """Return a service as the desired state holds it."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 240,
        "protocol": "h1",
        "tls": False,
    }


def build_route(service: str, path: str, timeout_ms: int) -> dict:
    """Return an ``unsafe`` route."""
    return {
        "name": f"r-{service}",
        "host": HOST,
        "path_prefix": path,
        "type": "unsafe",
        "timeout_ms": timeout_ms,
        "objective_latency_ms": 400,
        "priority": 1,
        "pool": service,
        "max_attempts": 2,
    }


def build_order_state(version: int, timeout_ms: int = 1000) -> dict:
    """Return a desired state with one ``unsafe`` route."""
    return {
        "version": version,
        "routes": [build_route(SERVICE, PATH, timeout_ms)],
        "pools": [build_pool(SERVICE)],
        "limits": LIMITS,
    }
