"""Admin handlers of availability zones: list, evacuate, restore."""

from __future__ import annotations

import http.client
import re
import time
from typing import Any

from ..control.evacuations import EvacuationOrder
from ..control.orders import OrderOutcome
from ..fleet.membership import MemberState
from ..fleet.node import Node
from ..requests.callers import CLOSE_KEY, CONNECTION_MARK_KEY
from .admin import STALE_QUERY, Admin, register_handler
from .inputs import AdminError, AdminResponse

_FAILURES = {
    OrderOutcome.UNKNOWN: "The order is not known to be committed; send it again",
    OrderOutcome.OVERTAKEN: (
        "The order may be older than another one on the zone; if it is not, send it again on a"
        " new connection"
    ),
}

_ZONE_NAME = re.compile(r"[A-Za-z0-9_.-]{1,63}")


@register_handler("GET", "/v1/zones")
def get_zones(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Return the zones, whether and since when each is evacuated, and its upstreams."""
    admin.check_token(environ)
    may_be_stale = environ.get("QUERY_STRING") == STALE_QUERY
    if not may_be_stale and not admin.node.confirm_tables():
        raise AdminError(
            http.client.SERVICE_UNAVAILABLE,
            f"The orders are not known to be current; add ?{STALE_QUERY} to read them all the"
            " same",
        )
    zones = admin.node.describe_zones(admin.availability_zones)
    return AdminResponse(http.client.OK, {"zones": zones})


@register_handler("PUT", "/v1/zones/{}/evacuation")
def put_evacuation(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Order that nothing more be sent to the upstreams in a zone."""
    return _order(admin, environ, segment, evacuated=True)


@register_handler("DELETE", "/v1/zones/{}/evacuation")
def delete_evacuation(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Withdraw the order to send nothing more to the upstreams in a zone."""
    return _order(admin, environ, segment, evacuated=False)


def _order(
    admin: Admin, environ: dict[str, Any], segment: str, evacuated: bool
) -> AdminResponse:
    admin.check_token(environ)
    zone = _read_zone(segment)
    _check_zone(admin, zone)
    # The next order needs a connection that is opened after this one is known.
    environ[CLOSE_KEY] = True
    order = EvacuationOrder(zone, evacuated, time.time())
    outcome = admin.node.order_evacuation(order, environ[CONNECTION_MARK_KEY])
    if outcome is not OrderOutcome.COMMITTED:
        raise AdminError(http.client.SERVICE_UNAVAILABLE, _FAILURES[outcome])
    return AdminResponse(http.client.OK, {"zone": zone, "evacuated": evacuated})


def _read_zone(segment: str) -> str:
    """Return the zone that a segment of the path names, which the server decoded as Latin-1."""
    try:
        return segment.encode("latin-1").decode()
    except UnicodeError:
        return segment


def _check_zone(admin: Admin, zone: str) -> None:
    """Refuse an unknown zone; the name of a known one is as announced and is not checked.

    An instance whose state may be old cannot tell that a zone is unknown.
    """
    if zone in admin.availability_zones or admin.node.knows_zone(zone):
        return
    if not _ZONE_NAME.fullmatch(zone):
        raise AdminError(
            http.client.UNPROCESSABLE_ENTITY,
            "The name of a zone has 1 to 63 letters, digits, or characters of _.-",
        )
    if not admin.node.confirm_tables() or admin.node.list_unready_reasons():
        raise AdminError(
            http.client.SERVICE_UNAVAILABLE,
            "The zone is not known here, but the state here is not known to be current",
        )
    if not admin.node.knows_zone(zone):
        raise AdminError(http.client.NOT_FOUND, f"No zone {zone!r} is known")


def list_known_zones(node: Node) -> set[str]:
    """Return the zones of members and upstreams, and those that are evacuated."""
    members = node.members.members.values()
    zones = {m.availability_zone for m in members if m.state is not MemberState.LEFT}
    zones |= {e.announcement.availability_zone for e in node.upstreams.entries.values()}
    zones |= node.state.tables.evacuations.zones.keys()
    return zones - {""}


def describe_zones(node: Node, configured: frozenset[str]) -> list[dict[str, Any]]:
    """Return a document for each zone that is configured or known."""
    upstreams: dict[str, list[str]] = {}
    for entry in node.upstreams.entries.values():
        if not entry.is_tombstone:
            zone = entry.announcement.availability_zone
            upstreams.setdefault(zone, []).append(entry.upstream_id)
    evacuated = node.state.tables.evacuations.zones
    return [
        {
            "zone": zone,
            "evacuated": zone in evacuated,
            "since": evacuated.get(zone),
            "upstreams": sorted(upstreams.get(zone, [])),
        }
        for zone in sorted(list_known_zones(node) | configured)
    ]
