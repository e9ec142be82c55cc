"""Callers that close only their sending side count as having left: they get no error status.

The connection is closed without a status, as for a caller that has closed it completely.
"""

from __future__ import annotations

import socket
import time

import pytest

from foxtaildrum.records import Settings
from foxtaildrum.requests.server import _Channel

from .pipelining import READ_TIMEOUT_S, build_request
from .sites import open_site
from .standins.processes import wait_until

SLOW_MS = 1500
# Time that the thread of a busy server takes until it closes a connection.
BUSY_S = 0.1
# More than are read ahead of the first.
PIPELINED = 3 * Settings().pipeline_per_connection


@pytest.fixture(scope="module", params=[Settings().pipeline_per_connection, 1])
def site(tmp_path_factory, request):
    folder = tmp_path_factory.mktemp("half-closed")
    with open_site(folder, pipeline_per_connection=request.param) as site:
        site.apply("pools", [{"name": "p"}])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        site.add_upstreams("p", 1, service_ms=1, fixed=True)
        yield site


def connect(site) -> socket.socket:
    host, port = site.instance.caller_server.address.split(":")
    return socket.create_connection((host, int(port)), timeout=READ_TIMEOUT_S)


def read_to_end(caller: socket.socket) -> bytes:
    """Return all bytes up to the end of the connection; fail if it was reset."""
    data = b""
    while received := caller.recv(65536):
        data += received
    return data


# Guards against a 499 for callers that can still read: those whose connection isn't read at
# present, as many requests of theirs wait, were found to have left and then told so.
@pytest.mark.parametrize("count", [1, 2, PIPELINED])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_caller_that_closes_its_sending_side_gets_no_status(site, method, count, monkeypatch):
    handle_write = _Channel.handle_write

    def handle_write_late(channel):
        time.sleep(BUSY_S)
        handle_write(channel)

    monkeypatch.setattr(_Channel, "handle_write", handle_write_late)
    first = build_request("/x", method, X_Fault=f"slow={SLOW_MS}")
    with connect(site) as caller:
        caller.sendall(first + build_request("/x") * (count - 1))
        caller.shutdown(socket.SHUT_WR)
        assert read_to_end(caller) == b""
    assert wait_until(lambda: not site.instance.caller_server.list_channels())


# Guards against a 499 on a connection that is still open when its caller counts as having left.
@pytest.mark.parametrize("count", [1, 2])
def test_the_status_of_a_caller_who_left_is_never_sent(site, count, monkeypatch):
    requests = build_request("/x", X_Fault=f"slow={SLOW_MS}") * count
    monkeypatch.setattr(_Channel, "check_client_disconnected", lambda channel: True)
    with connect(site) as caller:
        caller.sendall(requests)
        assert read_to_end(caller) == b""


# Guards against an internal error of a thread that looks at a connection as it is closed.
def test_a_connection_that_was_closed_meanwhile_has_hung_up(site):
    with connect(site):
        assert wait_until(site.instance.caller_server.list_channels)
        channel = site.instance.caller_server.list_channels()[0]
    assert wait_until(lambda: channel.socket is None)
    assert channel._has_hung_up()
