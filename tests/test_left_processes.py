"""Real instances on loopback: an acknowledged leave holds after a kill of all of them."""

from __future__ import annotations

import pytest
import urllib3

from .standins.processes import UpstreamProcess, wait_until
from .test_fleet_processes import ProcessFleet, put_table

HTTP = urllib3.PoolManager(retries=False, timeout=20)
REQUESTS = 60


@pytest.fixture
def fleet(tmp_path):
    fleet = ProcessFleet(tmp_path)
    yield fleet
    fleet.close()


@pytest.fixture
def upstreams(fleet):
    client = fleet.instances["c1"].client
    assert wait_until(lambda: put_table(client, "pools", [{"name": "p"}], "pools-1"))
    rows = [{"name": "r", "pool": "p"}]
    assert wait_until(lambda: put_table(client, "routes", rows, "routes-1"))
    process = UpstreamProcess(
        fleet.folder, "p", 2, [], behaviour={"service_ms": 1, "fixed": True}
    )
    for name, port in process.ports.items():
        announce(client, name, port, "ready")
    yield process
    process.stop()


def announce(client, name: str, port: int, state: str) -> None:
    # The lease outlasts the test, so nobody but the instances keeps the upstream in use.
    document = {
        "pool": "p",
        "address": f"127.0.0.1:{port}",
        "slots": 8,
        "incarnation": 5,
        "state": state,
        "lease_s": 120,
    }
    client.announce(name, document)


def send_requests(fleet: ProcessFleet) -> set[str]:
    """Send requests to each instance; return the responses other than 200, with their kinds."""
    failures = set()
    for name, instance in fleet.instances.items():
        for number in range(REQUESTS):
            response = HTTP.request("GET", f"http://{instance.listen}/x{number}")
            if response.status != 200:
                failures.add(f"{name} request {number}: {response.status} {response.data!r}")
    return failures


@pytest.mark.parametrize(
    ("name", "change"), [("c1", "leave"), ("c2", "drain"), ("e1", "leave")]
)
def test_an_acknowledged_leave_survives_a_kill_of_all_processes(fleet, upstreams, name, change):
    assert wait_until(
        lambda: all(len(i.status()["upstreams"]) == 2 for i in fleet.instances.values())
    )
    assert send_requests(fleet) == set()
    left, port = next(iter(upstreams.ports.items()))
    client = fleet.instances[name].client
    if change == "leave":
        client.leave(left)
    else:
        announce(client, left, port, "draining")
    for instance in fleet.instances.values():
        instance.popen.kill()
    for instance in fleet.instances.values():
        instance.kill()
    for instance_id in fleet.instances:
        fleet.instances[instance_id] = fleet.start(instance_id)
    for instance in fleet.instances.values():
        instance.wait_ready()
    served = upstreams.describe(left)["served"]
    assert send_requests(fleet) == set()
    assert upstreams.describe(left)["served"] == served
