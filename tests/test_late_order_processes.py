"""Real processes that are paused while orders of an operator wait in their sockets."""

from __future__ import annotations

import http.client
import socket
import time

import pytest

from .standins.processes import wait_until
from .test_fleet_processes import ProcessFleet

ZONE = "zone-1"
PATH = f"/v1/zones/{ZONE}/evacuation"
METHODS = {True: "PUT", False: "DELETE"}
# What an operator waits for one answer, and an order for its acknowledgement.
ANSWER_S = 1.0
ACKNOWLEDGEMENT_S = 4.0
PAUSE_S = 0.05
SETTLE_S = 1.0
# Connections on which an order waits, by what was done on them before the pause.
CONNECTIONS = ["new", "open", "used", "behind"]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = ProcessFleet(tmp_path_factory.mktemp("late-orders"))
    yield fleet
    fleet.close()


def call(address: str, method: str) -> int:
    """Return the status of an answer to an order; 0 without one in time."""
    connection = http.client.HTTPConnection(address, timeout=ANSWER_S)
    try:
        connection.request(method, PATH)
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


def give_order(fleet: ProcessFleet, evacuated: bool, names: list[str]) -> int:
    """Send an order to one instance after the other until it is acknowledged.

    Returns the number of answers that were none.
    """
    begun_at = time.monotonic()
    tries = 0
    while True:
        address = fleet.instances[names[tries % len(names)]].admin_listen
        if call(address, METHODS[evacuated]) == 200:
            break
        tries += 1
        time.sleep(PAUSE_S)
    assert time.monotonic() - begun_at < ACKNOWLEDGEMENT_S
    return tries


def is_evacuated(fleet: ProcessFleet, name: str) -> bool:
    zones = fleet.instances[name].client.get_zones()
    return next(z["evacuated"] for z in zones if z["zone"] == ZONE)


def find_instance(fleet: ProcessFleet, role: str) -> str:
    if role == "entry":
        return "e1"
    leader = fleet.instances["c1"].status()["control"]["leader"]
    return leader if role == "leader" else next(c for c in ("c1", "c2") if c != leader)


def connect(address: str) -> socket.socket:
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), ACKNOWLEDGEMENT_S)


def send(sock: socket.socket, method: str, path: str) -> None:
    sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())


def open_connections(address: str) -> dict[str, socket.socket]:
    """Open the connections that exist before the pause."""
    connections = {name: connect(address) for name in CONNECTIONS[1:]}
    for name in ("used", "behind"):
        send(connections[name], "GET", "/livez")
        read_statuses(connections[name], 1)
    return connections


def read_statuses(sock: socket.socket, count: int) -> list[int]:
    """Read answers until there are some of them, or the connection ends."""
    data = b""
    while (heads := data.split(b"HTTP/1.1 ")[1:]) is not None:
        ended = not heads or heads[-1].count(b"\r\n\r\n") == 0
        if len(heads) >= count and not ended and heads[-1].rstrip().endswith(b"}"):
            break
        received = sock.recv(65536)
        if not received:
            break
        data += received
    return [int(head[:3]) for head in heads]


# Guards against an order that lay in the socket of a paused process, and is carried out after
# the opposite order was acknowledged elsewhere.
@pytest.mark.parametrize("evacuated", [False, True])
@pytest.mark.parametrize("role", ["leader", "follower", "entry"])
def test_orders_that_waited_in_a_paused_process_undo_no_later_one(fleet, role, evacuated):
    name = find_instance(fleet, role)
    instance = fleet.instances[name]
    others = [n for n in fleet.instances if n != name]
    give_order(fleet, not evacuated, others)
    assert wait_until(lambda: is_evacuated(fleet, name) is not evacuated)
    connections = open_connections(instance.admin_listen)
    instance.pause()
    try:
        connections["new"] = connect(instance.admin_listen)
        send(connections["behind"], "GET", "/livez")
        for sock in connections.values():
            send(sock, METHODS[evacuated], PATH)
        give_order(fleet, evacuated, others)
        give_order(fleet, not evacuated, others)
    finally:
        instance.resume()
    for connection, sock in connections.items():
        expected = [200, 503] if connection == "behind" else [503]
        assert read_statuses(sock, len(expected)) == expected, connection
        sock.close()
    time.sleep(SETTLE_S)
    for other in fleet.instances:
        assert wait_until(lambda n=other: is_evacuated(fleet, n) is not evacuated)
    # A new order on a new connection is none of these.
    give_order(fleet, evacuated, [name])


# Guards against refusing an operator who changes its mind: each order goes to another instance.
def test_start_end_and_start_within_a_second_are_acknowledged(fleet):
    names = list(fleet.instances)
    give_order(fleet, False, names)
    time.sleep(SETTLE_S)
    begun_at = time.monotonic()
    for number, evacuated in enumerate((True, False, True)):
        give_order(fleet, evacuated, names[number:] + names[:number])
    assert time.monotonic() - begun_at < ANSWER_S
    assert all(is_evacuated(fleet, name) for name in names)


# Guards against an order that is refused behind others on a connection that is kept open.
def test_an_order_is_acknowledged_after_other_requests_on_its_connection(fleet):
    give_order(fleet, False, ["c1"])
    for method in ("PUT", "DELETE", "PUT"):
        sock = connect(fleet.instances["c1"].admin_listen)
        send(sock, "GET", "/livez")
        assert read_statuses(sock, 1) == [200]
        send(sock, method, PATH)
        assert read_statuses(sock, 1) == [200]
        assert sock.recv(1) == b""
        sock.close()
