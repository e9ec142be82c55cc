"""Connections between instances that go silent without a reset, while new ones work."""

from __future__ import annotations

import threading
import time

import pytest

from foxtaildrum.admin.client import AdminClient
from foxtaildrum.admin.metrics import Meter
from foxtaildrum.fleet import peers
from foxtaildrum.fleet.peers import MAX_BUFFERED_BYTES, MAX_QUEUED_MESSAGES, PeerNetwork
from foxtaildrum.instance import Instance
from foxtaildrum.records import NewsReceipt, Settings

from .relays import Fault, Relay
from .standins.processes import pick_port, wait_until

KEY = b"key"
# A leave that was acknowledged must be in force so soon everywhere.
DRAIN_S = 2.0
FRAME_BYTES = 4096


class Pair:
    """Two networks; what the first sends to the second passes a relay."""

    def __init__(self) -> None:
        self.received: list[str] = []
        self._lock = threading.Lock()
        address = f"127.0.0.1:{pick_port()}"
        self.target = PeerNetwork("target", address, KEY, self._collect, Meter())
        self.sender_address = f"127.0.0.1:{pick_port()}"
        self.sender = PeerNetwork("sender", self.sender_address, KEY, self._collect, Meter())
        self.relay = Relay(address)
        self.target.start()
        self.sender.start()

    def _collect(self, sender: str, message: NewsReceipt) -> None:
        with self._lock:
            self.received.append(message.token)

    def send(self, token: str) -> None:
        self.sender.send("target", self.relay.address, NewsReceipt(token=token))

    def has_received(self, token: str) -> bool:
        return token in self.received

    def close(self) -> None:
        self.sender.stop()
        self.target.stop()
        self.relay.close()


@pytest.fixture
def pair():
    pair = Pair()
    pair.send("first")
    assert wait_until(lambda: pair.has_received("first"))
    yield pair
    pair.close()


def test_a_stalled_connection_is_replaced_and_its_buffer_stays_small(pair):
    pair.relay.begin(Fault.STALL)
    deadline = time.monotonic() + 20.0
    while pair.relay.opened < 2 and time.monotonic() < deadline:
        for _ in range(MAX_QUEUED_MESSAGES // 4):
            pair.send("x" * FRAME_BYTES)
        time.sleep(0.02)
        connection = pair.sender._outbound["target"]
        assert len(connection.buffer) <= MAX_BUFFERED_BYTES + 2 * FRAME_BYTES
    assert pair.relay.opened >= 2
    assert wait_until(lambda: pair.send("last") or pair.has_received("last"))


def test_a_connection_that_discards_what_it_gets_is_replaced_on_demand(pair):
    time.sleep(1.1)
    pair.relay.begin(Fault.DISCARD)
    pair.send("lost")
    time.sleep(0.2)
    assert not pair.has_received("lost")
    pair.sender.reconnect("target")
    pair.send("second")
    assert wait_until(lambda: pair.has_received("second"), DRAIN_S)


def test_a_connection_is_not_replaced_over_and_over(pair):
    time.sleep(1.1)
    for _ in range(50):
        pair.sender.reconnect("target")
        time.sleep(0.01)
    assert pair.relay.opened == 2


def test_a_peer_replaces_its_connection_to_one_that_replaced_its_own(pair, monkeypatch):
    monkeypatch.setattr(peers, "REOPEN_MIN_AGE_S", 0.5)
    back = Relay(pair.sender_address)
    pair.target.send("sender", back.address, NewsReceipt(token="back"))
    assert wait_until(lambda: pair.has_received("back"))
    time.sleep(1.1)
    for relay in (pair.relay, back):
        relay.begin(Fault.DISCARD)
    pair.sender.reconnect("target")
    assert wait_until(lambda: back.opened == 2)
    pair.target.send("sender", back.address, NewsReceipt(token="again"))
    assert wait_until(lambda: pair.has_received("again"), DRAIN_S)
    time.sleep(1.0)
    assert (pair.relay.opened, back.opened) == (2, 2)
    back.close()


class RelayedFleet:
    """Three control instances and an entry instance in one process, relays between them."""

    def __init__(self, folder) -> None:
        listens = {name: f"127.0.0.1:{pick_port()}" for name in ("c1", "c2", "c3", "e1")}
        control = ",".join(f"{name}={listens[name]}" for name in ("c1", "c2", "c3"))
        self.instances: dict[str, Instance] = {}
        self.relays: list[Relay] = []
        for name, address in listens.items():
            settings = Settings(
                instance_id=name,
                role="entry" if name == "e1" else "all",
                listen="127.0.0.1:0",
                admin_listen="127.0.0.1:0",
                peer_listen=address,
                control=control,
                data_dir=str(folder / name),
                threads=8,
            )
            self.instances[name] = Instance.from_settings(settings)
            self._relay_messages(name, listens)
        for instance in self.instances.values():
            instance.start()
        self.clients = {
            name: AdminClient(instance.admin_server.address)
            for name, instance in self.instances.items()
        }
        for client in self.clients.values():
            assert wait_until(client.is_ready)

    def _relay_messages(self, name: str, listens: dict[str, str]) -> None:
        relays = {other: Relay(a) for other, a in listens.items() if other != name}
        self.relays += relays.values()
        addresses = listens | {other: relay.address for other, relay in relays.items()}
        self.instances[name]._node.find_address = addresses.__getitem__

    def begin(self, fault: Fault) -> None:
        for relay in self.relays:
            relay.begin(fault)

    def find_state(self, name: str, upstream_id: str) -> str:
        entry = self.instances[name]._node.upstreams.entries.get(upstream_id)
        return entry.state if entry is not None else ""

    def close(self) -> None:
        for instance in self.instances.values():
            instance.close()
        for relay in self.relays:
            relay.close()


@pytest.fixture
def fleet(tmp_path):
    fleet = RelayedFleet(tmp_path)
    yield fleet
    fleet.close()


@pytest.mark.parametrize("fault", [Fault.DISCARD, Fault.HOLD])
def test_an_entry_instance_hears_of_a_leave_although_connections_went_silent(fleet, fault):
    client = fleet.clients["c1"]
    client.announce(
        "u",
        {"pool": "p", "address": "127.0.0.1:9", "slots": 1, "incarnation": 1, "lease_s": 60},
    )
    assert wait_until(lambda: all(fleet.find_state(name, "u") for name in fleet.instances))
    time.sleep(2.0)
    fleet.begin(fault)
    began = time.monotonic()
    acknowledged = wait_until(lambda: leave(client, "u"), 20.0)
    assert acknowledged
    acknowledged_at = time.monotonic()
    assert wait_until(lambda: fleet.find_state("e1", "u") == "left", 20.0)
    heard_s = time.monotonic() - acknowledged_at
    assert heard_s < DRAIN_S, (heard_s, acknowledged_at - began)


def leave(client, upstream_id: str) -> bool:
    response = client._request("DELETE", f"/v1/upstreams/{upstream_id}", {"incarnation": 1})
    return response.status in (200, 404)
