"""Entry machines that wake pass requesters' keys on to endpoints."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.deployment import Deployment
from harness.endpoints import Endpoint
from harness.operator import Operator
from harness.record import NotRun, Record, run_case
from harness.requesters import KeptConnection, Sent
from harness.states import build_route, build_state

BASE = 68
HOST = "jepu9.example"
PATH = "/lepu270/2f"
SERVICE = "huvo11a"
TENANT = "yefi830"
KEY = "jy5rcpihhacruddedev3"
# ``node_freeze`` of the site file: for_s, and a share of .11, here two machines of 19.
FREEZE_S = 3.5
ENTRIES = 19
FROZEN = 2
ROUTES = 300
CONNECTIONS = 48
# Time before the machines wake at which the requests are sent; their time budget is longer.
BEFORE_S = 0.5


def send_keyed(connection: KeptConnection, results: list[Sent]) -> None:
    """Send one request with a key."""
    results.append(connection.send("GET", HOST, PATH, headers={"Api-Key": KEY}))


def main(deployment: Deployment, record: Record, has_trouble: bool) -> bool:
    """Return whether the rule UNASKED was broken."""
    if not deployment.start_all():
        raise NotRun("the control machines did not become ready")
    control = deployment.list_control()
    operator = Operator(record, control)
    routes = [build_route("r-1", HOST, "/lepu270/", SERVICE)]
    routes += [build_route(f"r-{n}", HOST, f"/xapu{n}/", SERVICE) for n in range(2, ROUTES + 1)]
    operator.put_state(build_state(1, routes))
    endpoints = [
        Endpoint(control, SERVICE, f"zone-{'abc'[n % 3]}", f"127.{BASE}.3.{n + 1}")
        for n in range(6)
    ]
    for endpoint in endpoints:
        endpoint.start_heartbeats()
    if not deployment.wait_ready(deployment.entries):
        raise NotRun("the entry machines did not become ready")
    time.sleep(4.0)
    machines = deployment.entries[:FROZEN]
    # Requesters keep their connections; before there are tenants, they have no key.
    connections = [
        KeptConnection(deployment.get_front(machines[n % FROZEN])) for n in range(CONNECTIONS)
    ]
    statuses = {c.send("GET", HOST, PATH).status for c in connections}
    if statuses != {200}:
        raise NotRun(f"requests without a key got {statuses} before there were tenants")

    names = " and ".join(m.name for m in machines)
    if has_trouble:
        record.write(f"{names} freeze")
        for machine in machines:
            deployment.send_signal(machine, signal.SIGSTOP)
    frozen_at = time.monotonic()
    time.sleep(0.3)
    tenants = [{"name": TENANT, "keys": [KEY], "priority": 0, "rate_per_s": 0, "burst": 0}]
    acked_at = operator.put_state(build_state(2, routes, tenants))
    time.sleep(max(0.0, frozen_at + FREEZE_S - BEFORE_S - time.monotonic()))
    results: list[Sent] = []
    threads = [
        threading.Thread(target=send_keyed, args=(connection, results))
        for connection in connections
    ]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if has_trouble:
        for machine in machines:
            deployment.send_signal(machine, signal.SIGCONT)
        record.write(f"{names} wake")
    for thread in threads:
        thread.join()

    ids = {s.request_id: s for s in results}
    arrivals = [a for e in endpoints for a in e.arrivals if a.request_id in ids]
    broken = [
        a for a in arrivals if "api-key" in a.headers or a.headers.get("x-tenant") != TENANT
    ]
    for sent in results:
        runs = [a for a in arrivals if a.request_id == sent.request_id]
        told = [(a.headers.get("x-tenant"), a.headers.get("api-key")) for a in runs]
        record.write(
            f"{sent.request_id} sent {sent.at - acked_at:.2f} s after the acknowledgement:"
            f" status={sent.status}, runs={len(runs)}, (X-Tenant, Api-Key) at endpoints: {told}"
        )
    record.write(f"{len(broken)} of {len(arrivals)} runs got the key or another X-Tenant")
    return bool(broken)


if __name__ == "__main__":
    run_case(main, Path(__file__).parent, lambda: Deployment(BASE, entries=ENTRIES))
