"""Another writer's pings hold a name that can't be read; then the operator works on."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.desired import HOST, PATH, SERVICE, build_order_state  # noqa: E402
from common.endpoints import Endpoint  # noqa: E402
from common.requesters import Requester  # noqa: E402
from common.site import (  # noqa: E402
    HEARTBEAT_MS,
    CaseError,
    Operator,
    Record,
    Site,
    call,
    run_case,
)

# A name that was cut in the middle of a character: half of a surrogate pair.
UNREADABLE_SERVICE = "hu\ud83d"
STABLE_WINDOW_S = 3.0
CALM_S = 10.0


def ping_as_other_writer(site: Site, record: Record) -> None:
    """Send one ping each heartbeat, to one node after the other."""
    for number, address in enumerate(site.control_addresses()):
        document = {
            "pool": UNREADABLE_SERVICE,
            "address": "127.66.9.1:8080",
            "availability_zone": "zone-a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": number + 1,
            "born": int(time.time() * 1000),
        }
        try:
            status, _ = call(address, "PUT", "/v1/upstreams/i-other", document)
        except OSError as error:
            status = repr(error)
        record.write(f"other writer: ping of service 'hu\\ud83d' to {address}: {status}")
        time.sleep(HEARTBEAT_MS / 1000)


def record_failures(site: Site, record: Record) -> None:
    for instance in site.control:
        lines = site.read_log(instance).splitlines()
        failed = [line for line in lines if "part_failed" in line or "StorageActor" in line]
        for line in failed[:2]:
            record.write(f"log of {instance.ip}: {line.split(' exc_info=')[0][:220]}")


def main(site: Site, record: Record, trouble: bool) -> bool:
    site.start_all(bootstrap=True)
    if not site.wait_ready(site.instances):
        raise CaseError("the site did not become ready")
    operator = Operator(site)
    if not operator.put(build_order_state(1)):
        raise CaseError("the first desired state was not acknowledged")
    endpoints = [Endpoint(site, SERVICE, f"127.66.{n + 1}.1") for n in range(2)]
    for endpoint in endpoints:
        endpoint.start_announcing()
    time.sleep(2.0)
    if not operator.put(build_order_state(2)):
        raise CaseError("the second desired state was not acknowledged")
    record.write("operator: version 2 is acknowledged")
    if trouble:
        ping_as_other_writer(site, record)
    time.sleep(STABLE_WINDOW_S)
    acked = operator.put(build_order_state(3), give_up_s=CALM_S)
    record.write(f"operator: version 3, sent for {CALM_S:.0f} s: acknowledged: {acked}")
    time.sleep(CALM_S)
    in_force = operator.get(give_up_s=CALM_S)
    version = in_force["version"] if in_force else None
    record.write(f"operator: read back for {CALM_S:.0f} s: version {version}")
    _, answer = Requester(site.front(0), HOST).send("POST", f"{PATH}1", b"order")
    record.write(f"requester: an order got {answer.status}")
    record_failures(site, record)
    for endpoint in endpoints:
        endpoint.close()
    return version is None or version < (3 if acked else 2)


if __name__ == "__main__":
    run_case(main, FOLDER, 46)
