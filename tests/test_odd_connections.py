"""Odd addresses, and messages that cannot be sent: each costs only itself."""

from __future__ import annotations

import contextlib
import threading

import pytest

from foxtaildrum import records as r
from foxtaildrum.admin.metrics import Meter
from foxtaildrum.fleet.peers import PeerNetwork
from foxtaildrum.requests.opens import OpenAttempts
from foxtaildrum.requests.transport import TransportError, open_http, refuses_connections

from .standins.processes import pick_port, wait_until
from .standins.values import UNENCODABLE, describe

WAIT_S = 10.0


ODD_ADDRESSES = [
    "127.0.0.1:99999",
    "127.0.0.1:99999999999",
    "127.0.0.1:http",
    "127.0.0.1",
    "",
    "a\x00b:80",
    "a\ud83d:80",
    "x" * 70 + ".example:80",
    "[::zz]:80",
]


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=describe)
def test_an_odd_address_breaks_the_checks_of_other_addresses(address):
    with contextlib.closing(OpenAttempts([address, f"127.0.0.1:{pick_port()}"])) as attempts:
        assert [accepted for _, accepted in attempts.wait(1.0)] == [False]


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=describe)
def test_an_odd_address_ends_the_request_with_an_unknown_error(address):
    with pytest.raises(TransportError):
        open_http(address, 0.1)
    assert refuses_connections(address, 0.1) is False


class Inbox:
    """Messages that one instance received."""

    def __init__(self) -> None:
        self.messages: list = []
        self.arrived = threading.Event()

    def deliver(self, peer_id: str, message: object) -> None:
        self.messages.append(message)
        self.arrived.set()


@contextlib.contextmanager
def open_networks():
    inbox = Inbox()
    meter = Meter()
    addresses = {name: f"127.0.0.1:{pick_port()}" for name in ("a", "b")}
    sender = PeerNetwork("a", addresses["a"], b"key", inbox.deliver, meter)
    receiver = PeerNetwork("b", addresses["b"], b"key", inbox.deliver, Meter())
    for network in (sender, receiver):
        network.start()
    try:
        yield sender, addresses["b"], inbox, meter
    finally:
        sender.stop()
        receiver.stop()


def count_errors(meter: Meter) -> int:
    return meter.describe_counters().get("internal_errors", 0)


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=describe)
def test_a_member_with_an_odd_address_costs_the_messages_to_others(address):
    with open_networks() as (sender, good, inbox, meter):
        sender.send("odd", address, r.Handover(term=1))
        sender.send("b", good, r.Handover(term=2))
        sender.send("odd", address, r.Handover(term=3))
        assert inbox.arrived.wait(WAIT_S)
        assert inbox.messages == [r.Handover(term=2)]
        assert count_errors(meter) == 0


@pytest.mark.parametrize("odd", UNENCODABLE, ids=describe)
def test_a_message_that_cannot_be_encoded_costs_the_messages_beside_it(odd):
    with open_networks() as (sender, good, inbox, meter):
        for term in (1, odd, 2):
            sender.send("b", good, r.Handover(term=term))
        assert wait_until(lambda: len(inbox.messages) == 2, WAIT_S)
        assert inbox.messages == [r.Handover(term=1), r.Handover(term=2)]
        assert count_errors(meter) == 0
