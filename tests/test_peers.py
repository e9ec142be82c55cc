"""Connections between instances when the fleet key is replaced."""

from __future__ import annotations

import threading

import pytest

from foxtaildrum.admin.metrics import Meter
from foxtaildrum.fleet.peers import PeerNetwork
from foxtaildrum.records import NewsReceipt

from .standins.processes import pick_port, wait_until

OLD_KEY, NEW_KEY = b"old key", b"new key"


class Peer:
    """A network of one instance that collects what it receives."""

    def __init__(self, name: str, key: bytes) -> None:
        self.address = f"127.0.0.1:{pick_port()}"
        self.received: list[str] = []
        self.fails_on = ""
        self.meter = Meter()
        self._lock = threading.Lock()
        self.network = PeerNetwork(name, self.address, key, self._collect, self.meter)
        self.network.start()

    def _collect(self, sender: str, message: NewsReceipt) -> None:
        if message.token == self.fails_on:
            raise ZeroDivisionError("an unexpected error")
        with self._lock:
            self.received.append(f"{sender} {message.token}")

    def send(self, target: Peer, token: str) -> None:
        self.network.send("target", target.address, NewsReceipt(token=token))

    def reaches(self, target: Peer, token: str, timeout_s: float = 10.0) -> bool:
        def has_arrived() -> bool:
            self.send(target, token)
            return any(token in line for line in target.received)

        return wait_until(has_arrived, timeout_s)


@pytest.fixture
def start_peer():
    peers = []

    def start(name: str, key: bytes) -> Peer:
        peers.append(Peer(name, key))
        return peers[-1]

    yield start
    for peer in peers:
        peer.network.stop()


def test_after_a_key_was_replaced_peers_with_the_new_key_reach_each_other(start_peer):
    sender, target = start_peer("sender", OLD_KEY), start_peer("target", OLD_KEY)
    assert sender.reaches(target, "before")
    for peer in (sender, target):
        peer.network.replace_key(NEW_KEY)
    assert sender.reaches(target, "after")


def test_a_withdrawn_key_is_refused_also_on_a_connection_that_was_open(start_peer):
    sender, target = start_peer("sender", OLD_KEY), start_peer("target", OLD_KEY)
    assert sender.reaches(target, "before")
    target.network.replace_key(NEW_KEY)
    other = start_peer("other", NEW_KEY)
    assert other.reaches(target, "other")
    count = len(target.received)
    for number in range(20):
        sender.send(target, f"withdrawn-{number}")
    assert other.reaches(target, "later")
    assert not any("withdrawn" in line for line in target.received[count:])


def test_replacing_a_key_by_itself_keeps_the_connections(start_peer):
    sender, target = start_peer("sender", OLD_KEY), start_peer("target", OLD_KEY)
    assert sender.reaches(target, "before")
    target.network.replace_key(OLD_KEY)
    sender.send(target, "still")
    assert wait_until(lambda: any("still" in line for line in target.received))


def test_an_unexpected_error_in_one_message_costs_only_its_connection(start_peer):
    sender, target = start_peer("sender", OLD_KEY), start_peer("target", OLD_KEY)
    assert sender.reaches(target, "before")
    target.fails_on = "poison"
    sender.send(target, "poison")
    other = start_peer("other", OLD_KEY)
    assert other.reaches(target, "other")
    assert sender.reaches(target, "after")
    assert target.meter.describe_counters()["internal_errors"] == 1
