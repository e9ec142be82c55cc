"""A core machine that wakes carries out an order that was acknowledged elsewhere long before."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.deployment import Deployment
from harness.endpoints import Endpoint
from harness.operator import Operator
from harness.record import NotRun, Record, run_case
from harness.requesters import Sent, send_request
from harness.states import build_route, build_state

BASE = 66
HOST = "jepu9.example"
PATH = "/lepu270/2f"
SERVICE = "huvo11a"
EVACUATED = "zone-a"
EVAC_S = 5.0
STABLE_WINDOW_S = 3.0
SKEW_MAX_S = 5.0
# ``node_freeze`` of the site file.
FREEZE_S = 3.5
# Beyond the bounds, for the time that requests and answers take.
MARGIN_S = 1.0
# The operator moves on after a second, and closes the connection without an answer this much
# later. It could use it again if a late answer came.
LINGER_S = 5.0
REQUESTS = 60


def start_endpoints(deployment: Deployment) -> list[Endpoint]:
    """Start two endpoints in each zone; they call the other machines first."""
    sleeper, *others = deployment.list_control()
    control = [*others, sleeper]
    endpoints = [
        Endpoint(control, SERVICE, zone, f"127.{BASE}.3.{n + 1}")
        for n, zone in enumerate(["zone-a", "zone-b", "zone-c"] * 2)
    ]
    for endpoint in endpoints:
        endpoint.start_heartbeats()
    return endpoints


def send_requests(
    deployment: Deployment, endpoints: list[Endpoint], record: Record, label: str
) -> list[Sent]:
    """Send requests through all entry machines; return those that run in the zone."""
    sent = []
    for n in range(REQUESTS):
        front = deployment.get_front(deployment.entries[n % len(deployment.entries)])
        sent.append(send_request(front, "GET", HOST, PATH))
        time.sleep(0.05)
    ids = {s.request_id for s in sent}
    arrivals = [a for e in endpoints for a in e.arrivals if a.request_id in ids]
    zones = {a.request_id: a.endpoint.zone for a in arrivals}
    for request in sent:
        zone = zones.get(request.request_id, "-")
        record.write(f"{label}: {request.request_id} status={request.status} ran in {zone}")
    counts = {z: sum(a.endpoint.zone == z for a in arrivals) for z in sorted(set(zones.values()))}
    served = sum(s.status == 200 for s in sent)
    record.write(f"{label}: {served} of {len(sent)} served; runs by zone: {counts}")
    return [s for s in sent if zones.get(s.request_id) == EVACUATED]


def order_again(
    deployment: Deployment, record: Record, operator: Operator, has_trouble: bool
) -> float:
    """Take the evacuation back and order it again; return when that was acknowledged.

    The first of these orders goes to a machine that stands still, and wakes after the second.
    """
    machine = deployment.cores[0]
    sleeper, *others = deployment.list_control()
    if has_trouble:
        record.write(f"{machine.name} freezes")
        deployment.send_signal(machine, signal.SIGSTOP)
    frozen_at = time.monotonic()
    time.sleep(0.2)
    # The operator picks this machine first, as its list does not tell that it stands still.
    Operator(record, [sleeper, *others], LINGER_S).end_evacuation(EVACUATED)
    # The operator sees that the zone is still unsound, and empties it again.
    time.sleep(1.5)
    acked_at = operator.start_evacuation(EVACUATED)
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if has_trouble:
        deployment.send_signal(machine, signal.SIGCONT)
        record.write(f"{machine.name} wakes")
    return acked_at


def main(deployment: Deployment, record: Record, has_trouble: bool) -> bool:
    """Return whether the rule EVAC was broken."""
    if not deployment.start_all():
        raise NotRun("the control machines did not become ready")
    sleeper, *others = deployment.list_control()
    operator = Operator(record, [*others, sleeper])
    operator.put_state(build_state(1, [build_route("r-1", HOST, "/lepu270/", SERVICE)]))
    endpoints = start_endpoints(deployment)
    if not deployment.wait_ready(deployment.entries):
        raise NotRun("the entry machines did not become ready")
    time.sleep(5.0)
    if not send_requests(deployment, endpoints, record, "before"):
        raise NotRun("no request reached the zone before its evacuation")
    operator.start_evacuation(EVACUATED)
    time.sleep(1.0)
    acked_at = order_again(deployment, record, operator, has_trouble)
    woken_at = time.monotonic()
    bound = max(acked_at + EVAC_S, woken_at + STABLE_WINDOW_S) + SKEW_MAX_S + MARGIN_S
    time.sleep(max(0.0, bound - time.monotonic()))
    reached = send_requests(deployment, endpoints, record, "after")
    record.write(
        f"{len(reached)} requests ran in {EVACUATED}, whose evacuation was acknowledged"
        f" {time.monotonic() - acked_at:.1f} s ago and was not taken back since"
    )
    return bool(reached)


if __name__ == "__main__":
    run_case(main, Path(__file__).parent, lambda: Deployment(BASE))
