"""Connections between instances over links that pass bytes slowly."""

from __future__ import annotations

import time

import pytest

from foxtaildrum.admin.metrics import Meter
from foxtaildrum.fleet.peers import PeerNetwork
from foxtaildrum.records import NewsReceipt

from .relays import SlowRelay
from .standins.processes import pick_port, wait_until

KEY = b"key"
LINK_BYTES_PER_S = 1_000_000
# Takes four seconds to pass, and is more than the system buffers.
MESSAGE_BYTES = 4_000_000
# As often as a neighbour is pinged; the ping waits behind the message, so it is unanswered.
PING_PERIOD_S = 1.0
TIMEOUT_S = 40.0


@pytest.fixture
def link():
    received: list[str] = []
    address = f"127.0.0.1:{pick_port()}"
    target = PeerNetwork("target", address, KEY, lambda _, m: received.append(m.token), Meter())
    sender = PeerNetwork("sender", f"127.0.0.1:{pick_port()}", KEY, lambda *_: None, Meter())
    relay = SlowRelay(address, LINK_BYTES_PER_S)
    target.start()
    sender.start()
    yield sender, relay, received
    sender.stop()
    target.stop()
    relay.close()


def test_a_message_that_takes_seconds_to_pass_is_never_received(link):
    sender, relay, received = link
    sender.send("target", relay.address, NewsReceipt(token="first"))
    assert wait_until(lambda: "first" in received)
    token = "x" * MESSAGE_BYTES
    deadline = time.monotonic() + TIMEOUT_S
    while token not in received and time.monotonic() < deadline:
        # The sender of a message that is lost with its connection repeats it.
        sender.send("target", relay.address, NewsReceipt(token=token))
        wait_until(lambda: token in received, PING_PERIOD_S)
        sender.reconnect("target")
    assert token in received, f"{relay.opened} connections were opened"
