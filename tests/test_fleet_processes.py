"""Real instances as processes on loopback: tables, upstreams and claims across them."""

from __future__ import annotations

import pytest
import urllib3

from foxtaildrum.admin.client import AdminClient
from foxtaildrum.exceptions import AdminRequestError

from .standins.processes import InstanceProcess, UpstreamProcess, pick_port, wait_until

HTTP = urllib3.PoolManager(retries=False, timeout=20)


class ProcessFleet:
    """Three control instances and two entry instances with a fleet key."""

    def __init__(self, folder) -> None:
        self.folder = folder
        self.key_file = folder / "fleet.key"
        self.key_file.write_text("a fleet key")
        self.peers = {n: f"127.0.0.1:{pick_port()}" for n in ("c1", "c2", "c3", "e1", "e2")}
        self.control = ",".join(f"{n}={self.peers[n]}" for n in ("c1", "c2", "c3"))
        self.instances = {n: self.start(n) for n in self.peers}
        for instance in self.instances.values():
            instance.wait_ready()

    def start(self, name: str, key_file=None) -> InstanceProcess:
        return InstanceProcess(
            self.folder,
            name,
            role="all" if name.startswith("c") else "entry",
            availability_zone=f"zone-{name[-1]}",
            peer_listen=self.peers.setdefault(name, f"127.0.0.1:{pick_port()}"),
            control=self.control,
            fleet_key_file=str(key_file or self.key_file),
            shutdown_grace_s="5",
        )

    def restart(self, name: str) -> None:
        self.instances[name] = self.start(name)
        self.instances[name].wait_ready()

    def read_version(self, name: str, table: str) -> int:
        tables = self.instances[name].status().get("tables", {})
        return tables.get(table, {}).get("version", -1)

    def order(self, name: str, key: str):
        return HTTP.request(
            "POST",
            f"http://{self.instances[name].listen}/order",
            body=b"cut",
            headers={"Idempotency-Key": key},
        )

    def close(self) -> None:
        for instance in self.instances.values():
            instance.kill()


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = ProcessFleet(tmp_path_factory.mktemp("fleet"))
    yield fleet
    fleet.close()


def put_table(client: AdminClient, table: str, rows: list[dict], change_id: str) -> bool:
    """Put the first version of a table; return False if the result is not known yet.

    A change whose leader was replaced is sent again with the same identifier.
    """
    try:
        client.put_table(table, rows, 0, change_id)
    except AdminRequestError as error:
        assert error.status == 503
        return False
    return True


@pytest.fixture(scope="module")
def upstreams(fleet):
    client = fleet.instances["e1"].client
    assert wait_until(lambda: put_table(client, "pools", [{"name": "p"}], "pools-1"))
    rows = [{"name": "r", "pool": "p"}]
    assert wait_until(lambda: put_table(client, "routes", rows, "routes-1"))
    process = UpstreamProcess(
        fleet.folder,
        "p",
        2,
        [fleet.instances["e1"].admin_listen],
        lease_s=9,
        behaviour={"service_ms": 1, "fixed": True},
    )
    yield process
    process.stop()


def test_a_change_and_an_announcement_reach_every_instance(fleet, upstreams):
    for name in fleet.instances:
        assert wait_until(lambda n=name: fleet.read_version(n, "routes") == 1)
        assert wait_until(lambda n=name: len(fleet.instances[n].status()["upstreams"]) == 2)
        response = HTTP.request("GET", f"http://{fleet.instances[name].listen}/x")
        assert response.status == 200


def test_an_order_is_executed_once_whichever_instances_receive_it(fleet, upstreams):
    first = fleet.order("e1", "order-1")
    again = [fleet.order(name, "order-1") for name in fleet.instances]
    assert first.status == 200
    assert {(a.status, a.data) for a in again} == {(200, first.data)}
    assert upstreams.count_runs()["order-1"] == 1


def test_an_instance_with_another_fleet_key_is_refused(fleet, upstreams, tmp_path):
    other_key = tmp_path / "other.key"
    other_key.write_text("another key")
    stranger = fleet.start("stranger", other_key)
    try:
        logs = [fleet.instances[n].log for n in ("c1", "c2", "c3")]
        assert wait_until(lambda: any("frame_refused" in log.read_text() for log in logs))
        assert not stranger.client.is_ready()
        members = {m["instance"] for m in fleet.instances["e1"].status()["members"]}
        assert "stranger" not in members
    finally:
        stranger.kill()


def test_a_killed_control_instance_stops_neither_changes_nor_orders(fleet, upstreams):
    fleet.instances["c1"].kill()
    assert wait_until(lambda: fleet.order("e2", "order-2").status == 200)
    client = fleet.instances["e2"].client

    def change() -> bool:
        try:
            rows, version = client.get_table("pools")
            client.put_table("pools", [*rows, {"name": f"extra-{version}"}], version, "pools-2")
        except Exception:
            return False
        return True

    assert wait_until(change)
    fleet.restart("c1")
    assert wait_until(lambda: fleet.read_version("c1", "pools") == 2)
    assert fleet.order("c1", "order-2").status == 200
    assert upstreams.count_runs()["order-2"] == 1


def test_without_a_quorum_orders_are_refused_and_safe_requests_served(fleet, upstreams):
    fleet.instances["c1"].kill()
    fleet.instances["c2"].kill()
    refused = fleet.order("e1", "order-3")
    assert refused.status == 503
    assert refused.headers["Foxtaildrum-Outcome"] == "not-run"
    assert HTTP.request("GET", f"http://{fleet.instances['e1'].listen}/x").status == 200
    fleet.restart("c1")
    fleet.restart("c2")
    assert wait_until(lambda: fleet.order("e1", "order-3").status == 200)
    assert upstreams.count_runs()["order-3"] == 1
