"""Odd announcements and records among good ones, at real instances on loopback."""

from __future__ import annotations

import http.client
import json
import math
import time

import msgpack
import pytest

from foxtaildrum import records as r
from foxtaildrum.admin.metrics import Meter
from foxtaildrum.control.journal import pack_record
from foxtaildrum.fleet.peers import PeerNetwork

from .standins.processes import InstanceProcess, pick_port, wait_until

CONTROL = ("c1", "c2", "c3")
ENTRY = ("e1", "e2")
KEY = b"a fleet key"
LEASE_S = 300
CALM_S = 2.0

NESTED = "[" * 100_000 + "]" * 100_000
ODD_FIELDS = {
    "nested": ("slots", NESTED),
    "number": ("born", str(2**63)),
    "larger-number": ("born", str(2**70)),
    "not-a-number": ("lease_s", "NaN"),
    "port": ("address", '"127.0.0.1:99999"'),
    "no-port": ("address", '"127.0.0.1:0"'),
    "text": ("pool", '"hu\\ud83d"'),
    "whole": ("sequence", "1e400"),
}


class OddFleet:
    """Three control instances and two entry instances."""

    def __init__(self, folder) -> None:
        self.folder = folder
        self.key_file = folder / "fleet.key"
        self.key_file.write_bytes(KEY)
        self.peers = {n: f"127.0.0.1:{pick_port()}" for n in (*CONTROL, *ENTRY)}
        self.instances: dict[str, InstanceProcess] = {}
        self.start()

    def start(self) -> None:
        control = ",".join(f"{n}={self.peers[n]}" for n in CONTROL)
        for name, address in self.peers.items():
            self.instances[name] = InstanceProcess(
                self.folder,
                name,
                role="control" if name in CONTROL else "entry",
                peer_listen=address,
                control=control,
                fleet_key_file=str(self.key_file),
                shutdown_grace_s="2",
            )
        for instance in self.instances.values():
            instance.wait_ready()

    def stop(self) -> None:
        for instance in self.instances.values():
            instance.popen.terminate()
        for instance in self.instances.values():
            instance.stop()

    def kill(self) -> None:
        for instance in self.instances.values():
            instance.kill()

    def call(self, name: str, method: str, path: str, body: str) -> int:
        host, port = self.instances[name].admin_listen.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=15)
        try:
            connection.request(method, path, body=body.encode())
            response = connection.getresponse()
            response.read()
            return response.status
        finally:
            connection.close()

    def announce(self, name: str, upstream_id: str, **raw: str) -> int:
        fields = {
            "pool": '"p"',
            "address": '"127.0.0.1:9"',
            "slots": "4",
            "born": "5",
            "sequence": "1",
            "lease_s": str(LEASE_S),
        }
        pairs = [f'"{field}": {text}' for field, text in {**fields, **raw}.items()]
        body = "{" + ", ".join(pairs) + "}"
        return self.call(name, "PUT", f"/v1/upstreams/{upstream_id}", body)

    def put_tables(self, name: str, number: int) -> int:
        tables = {"version": number, "pools": [{"name": "p"}], "routes": []}
        return self.call(name, "PUT", "/v1/tables", json.dumps(tables))

    def list_upstreams(self, name: str) -> set[str]:
        upstreams = self.instances[name].status().get("upstreams", [])
        return {u["upstream"] for u in upstreams if u["state"] == "ready"}

    def check_works(self, number: int) -> None:
        """Check that each instance lives, hears of a new upstream and accepts tables."""
        upstream_id = f"new-{number}"
        assert self.announce("c1", upstream_id) == 200
        for name, instance in self.instances.items():
            assert wait_until(lambda n=name: upstream_id in self.list_upstreams(n), 8.0), name
            assert instance.popen.poll() is None
        for offset, name in enumerate(CONTROL):
            put = [self.put_tables(name, number + offset) for _ in range(2)]
            assert put == [200, 200], name
        for name, instance in self.instances.items():
            log = instance.log.read_text()
            assert "part_failed" not in log, (name, log[-3000:])
            assert "Unhandled exception" not in log, (name, log[-3000:])


@pytest.fixture
def fleet(tmp_path):
    fleet = OddFleet(tmp_path)
    yield fleet
    fleet.kill()


def build_entry(upstream_id: str, **changes) -> list:
    fields = {
        "upstream_id": upstream_id,
        "pool": "p",
        "address": "127.0.0.1:9",
        "availability_zone": "zone-a",
        "slots": 4,
        "incarnation": 1,
        "state": "ready",
        "owner": "c1",
        "sequence": 1,
        "lost": False,
        "remaining_s": float(LEASE_S),
        "rate_limit_per_s": None,
    }
    return list({**fields, **changes}.values())


def list_odd_entries() -> list:
    nested: list = []
    for _ in range(900):
        nested = [nested]
    return [
        build_entry("odd-1", remaining_s=math.nan),
        build_entry("odd-2", incarnation=2**64 - 1),
        build_entry("odd-3", address="127.0.0.1:99999"),
        build_entry("odd-4", address="127.0.0.1:http"),
        build_entry("odd-5", pool=nested),
        build_entry("odd-6", slots=2**40),
        build_entry("odd-7", availability_zone=b"\xff"),
        None,
        [],
    ]


# Guards against review/3: after odd pings to the control instances no change was acknowledged.
def test_odd_announcements_stop_the_storage_and_the_list(fleet):
    assert fleet.put_tables("c1", 1) == 200
    accepted = [
        f"{kind} at {name}"
        for number, name in enumerate(fleet.instances)
        for kind, (field, text) in ODD_FIELDS.items()
        if not 400 <= fleet.announce(name, f"odd-{kind}-{number}", **{field: text}) < 500
    ]
    leaves = ['{"born": 1180591620717411303424}', f'{{"born": {NESTED}}}']
    accepted += [
        f"leave at {name}"
        for name in CONTROL
        for body in leaves
        if fleet.call(name, "DELETE", "/v1/upstreams/odd-leave", body) not in (400, 422)
    ]
    assert accepted == []
    fleet.check_works(10)
    fleet.stop()
    fleet.start()
    fleet.check_works(20)


@pytest.mark.parametrize("kind", ODD_FIELDS)
def test_instances_that_took_an_odd_announcement_do_not_start_again(fleet, kind):
    field, text = ODD_FIELDS[kind]
    for name in CONTROL:
        fleet.announce(name, f"odd-{name}", **{field: text})
        assert fleet.announce(name, f"good-{name}") == 200
    time.sleep(CALM_S)
    fleet.stop()
    fleet.start()
    fleet.check_works(10)


def test_odd_records_of_a_peer_stop_what_reads_the_list(fleet):
    assert fleet.put_tables("c1", 1) == 200
    odd = list_odd_entries()
    network = PeerNetwork("x1", f"127.0.0.1:{pick_port()}", KEY, lambda *_: None, Meter())
    network.start()
    try:
        for name, address in fleet.peers.items():
            entries = [build_entry(f"from-{name}-{n}") for n in range(len(odd) + 1)]
            for place, entry in enumerate(odd):
                entries.insert(2 * place + 1, entry)
            network.send(name, address, r.UpstreamNews(entries=entries, token=""))
            members = [None, ["m"], ["m\x00", "127.0.0.1:1", "z", "entry", 1, 0, ""]]
            members.append(["m", "127.0.0.1:99999", "z", "entry", 2**61, 0, "127.0.0.1:http"])
            network.send(name, address, r.MemberNews(members=members))
            network.send(name, address, r.CrashNews(records=[None, [], ["f", -1, [], 1.0]]))
            renewal = r.RenewRequest(upstream_id="from-c1-0", incarnation=1, lease_s=math.nan)
            network.send(name, address, renewal)
        good = {f"from-{name}-{n}" for name in fleet.peers for n in range(len(odd) + 1)}
        for name in fleet.peers:
            assert wait_until(lambda n=name: good <= fleet.list_upstreams(n), 8.0), name
    finally:
        network.stop()
    fleet.check_works(10)
    for name in fleet.peers:
        assert "event=record_skipped" in fleet.instances[name].log.read_text()


def test_an_odd_entry_on_disk_ends_the_start_and_costs_the_others(fleet):
    for name in CONTROL:
        assert fleet.announce(name, f"good-{name}") == 200
    saved = [fleet.instances[name].data_dir / "upstreams" for name in CONTROL]
    assert wait_until(lambda: all(b"good-c3" in path.read_bytes() for path in saved))
    fleet.stop()
    odd = [msgpack.packb(entry) for entry in list_odd_entries()] + [b"\xc1", b"\xa2\xff\xff"]
    for path in saved:
        path.write_bytes(b"".join(map(pack_record, odd)) + path.read_bytes())
    fleet.start()
    good = {f"good-{name}" for name in CONTROL}
    for name in fleet.peers:
        assert wait_until(lambda n=name: good <= fleet.list_upstreams(n), 8.0), name
    fleet.check_works(10)
    for name in CONTROL:
        assert "event=record_skipped" in fleet.instances[name].log.read_text()
