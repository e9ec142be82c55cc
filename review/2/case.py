"""After many changes of a large desired state, all processes are killed and start again."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.desired import LIMITS, build_pool  # noqa: E402
from common.endpoints import Endpoint  # noqa: E402
from common.requesters import Requester  # noqa: E402
from common.site import CaseError, Operator, Record, Site, run_case  # noqa: E402

HOST = "jepu9.example"
SERVICES = ("huvo11a", "kafi81c")
# 8 routes at first, and 421 more: the dose of ``big_config`` in the site file.
FIRST_ROUTES = 8
MORE_ROUTES = 421
CHANGES = 72
RECOVER_S = 15.0
BEFORE_S = 4.0
AFTER_S = 10.0
PERIOD_S = 0.05


def build_desired(version: int, routes: int, timeout_ms: int) -> dict:
    """Return a desired state; every route is split over two services."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{n:07x}",
                "host": HOST,
                "path_prefix": f"/lepu{n:03d}/",
                "type": "safe",
                "timeout_ms": timeout_ms,
                "objective_latency_ms": 300,
                "priority": 2,
                "split": [
                    {"pool": SERVICES[0], "weight": 90},
                    {"pool": SERVICES[1], "weight": 10},
                ],
                "max_attempts": 2,
            }
            for n in range(routes)
        ],
        "pools": [build_pool(name) for name in SERVICES],
        "limits": LIMITS,
    }


def count_served(site: Site, record: Record, label: str, duration_s: float) -> tuple[int, int]:
    """Send requests to the entry instances in turn; return how many were served, and sent."""
    requesters = [Requester(site.front(n), HOST) for n in range(len(site.entries))]
    statuses: dict[int, int] = {}
    served = sent = 0
    deadline = time.monotonic() + duration_s
    while time.monotonic() < deadline:
        requester = requesters[sent % len(requesters)]
        request_id, answer = requester.send("GET", f"/lepu{sent % FIRST_ROUTES:03d}/{sent}")
        sent += 1
        served += answer.ok
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        if not answer.ok:
            requester.close()
        if sent <= 3 or not sent % 50:
            text = answer.body[:160] or answer.detail
            record.write(f"{label}: request {request_id}: {answer.status} {text!r}")
        time.sleep(PERIOD_S)
    record.write(f"{label}: sent {sent}, served {served}, answers by status {statuses}")
    return served, sent


def main(site: Site, record: Record, trouble: bool) -> bool:
    site.start_all(bootstrap=True)
    if not site.wait_ready(site.instances):
        raise CaseError("the site did not become ready")
    operator = Operator(site)
    if not operator.put(build_desired(1, FIRST_ROUTES, 800)):
        raise CaseError("the first desired state was not acknowledged")
    endpoints = [
        Endpoint(site, service, f"127.61.{n + 1}.{k + 1}")
        for k, service in enumerate(SERVICES)
        for n in range(2)
    ]
    for endpoint in endpoints:
        endpoint.start_announcing()
    time.sleep(1.0)
    version = 1
    for change in range(CHANGES):
        version += 1
        desired = build_desired(version, FIRST_ROUTES + MORE_ROUTES, 800 + 100 * (change % 2))
        if not operator.put(desired):
            raise CaseError(f"version {version} was not acknowledged")
    record.write(f"the operator has {CHANGES + 1} acknowledged versions, the last is {version}")
    before = count_served(site, record, "before", BEFORE_S)
    if before[0] * 2 < before[1]:
        raise CaseError("the site did not serve before the fault")
    if trouble:
        site.kill(site.instances)
        record.write("all processes of the system were killed")
        time.sleep(0.8)
        site.start_all(bootstrap=False)
        record.write("all processes of the system are started again")
    time.sleep(RECOVER_S)
    ready = [site.is_ready(i) for i in site.instances]
    record.write(f"{RECOVER_S:.0f} s later, ready are (5 control, 3 entry): {ready}")
    in_force = operator.get()
    record.write(f"read back: version {in_force and in_force['version']}")
    after = count_served(site, record, "after", AFTER_S)
    if trouble:
        for instance in site.instances:
            lines = [
                line
                for line in site.read_log(instance).splitlines()
                if "message_too_large" in line
            ]
            if lines:
                record.write(f"log of {instance.role} {instance.ip}: {lines[-1]}")
    for endpoint in endpoints:
        endpoint.close()
    return after[0] * 4 < after[1]


if __name__ == "__main__":
    run_case(main, FOLDER, 41)
