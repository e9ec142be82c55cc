"""The account of what callers hold: what it admits, refuses and reports."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from foxtaildrum.admin.metrics import Meter
from foxtaildrum.requests.account import (
    LOG_PERIOD_S,
    SMALL_REQUEST_BYTES,
    SPARE_RATIO,
    CallerAccount,
)
from foxtaildrum.requests.server import OUTPUT_BUFFER_BYTES, _Channel, _ErrorTask

from .pipelining import PipeliningCaller, build_request
from .sites import open_site
from .standins.processes import wait_until

MAX_BYTES = 16 * SMALL_REQUEST_BYTES
SPARE_BYTES = int(SPARE_RATIO * MAX_BYTES)
BODY_BYTES = 3 * SMALL_REQUEST_BYTES
# More than the buffers of a connection take.
UNREAD_BYTES = 30 * 1024 * 1024
# More than is read at once.
UNREAD_INPUT_BYTES = 200_000
# Time for which a send waits for a second thread that sends the same bytes.
SEND_OVERLAP_S = 0.5
# Longer than any limit of these tests; only a fault takes so long.
GONE_TIMEOUT_S = 10.0


def test_large_requests_leave_room_for_small_ones():
    account = CallerAccount(MAX_BYTES, 1, Meter())
    account.change(MAX_BYTES - SPARE_BYTES)
    assert not account.admits(SMALL_REQUEST_BYTES + 1)
    assert account.admits(SMALL_REQUEST_BYTES)
    account.change(SPARE_BYTES)
    assert account.is_full
    assert not account.admits(1)


# Guards against a bound that refuses a request which the other limits allow.
def test_a_single_request_may_exceed_the_bound_but_no_second_one():
    account = CallerAccount(MAX_BYTES, 1, Meter())
    assert account.hold(2 * MAX_BYTES)
    assert account.hold(MAX_BYTES, own_bytes=2 * MAX_BYTES)
    assert not account.hold(1)
    account.change(-3 * MAX_BYTES)
    assert account.held_bytes == 0


# Guards against a response that has no limit of its own and takes the bound's exception.
def test_what_has_no_limit_of_its_own_never_exceeds_the_bound():
    account = CallerAccount(MAX_BYTES, 1, Meter())
    assert not account.hold_within_bound(MAX_BYTES)
    assert account.hold_within_bound(MAX_BYTES - SPARE_BYTES)
    assert not account.hold_within_bound(1)
    assert account.admits(SMALL_REQUEST_BYTES)


def test_files_of_bodies_are_bounded():
    account = CallerAccount(MAX_BYTES, 2, Meter())
    assert [account.hold_file() for _ in range(3)] == [True, True, False]
    account.release_file()
    assert account.hold_file()


# Guards against a flood of lines, one for each caller that is refused.
def test_each_limit_is_logged_once_a_period_and_counted_always(caplog):
    meter = Meter()
    account = CallerAccount(MAX_BYTES, 1, meter)
    for now in (0.0, 1.0, 2.0, LOG_PERIOD_S + 1):
        account.report(now, "body_stall_s")
    account.report(1.0, "max_held_bytes")
    records = [r for r in caplog.records if r.msg == "callers_limited"]
    assert [(r.limit, r.callers) for r in records] == [
        ("body_stall_s", 1),
        ("body_stall_s", 3),
        ("max_held_bytes", 1),
    ]
    assert meter.describe_counters()["callers.limited.body_stall_s"] == 4


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with open_site(tmp_path_factory.mktemp("account"), max_held_bytes=MAX_BYTES) as site:
        site.apply("pools", [{"name": "p"}])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        site.add_upstreams("p", 1, service_ms=1, fixed=True)
        yield site


@pytest.fixture
def account(site):
    account = site.instance.caller_account
    yield account
    assert wait_until(lambda: account.held_bytes == 0)


@pytest.mark.parametrize("framing", ["announced", "chunked"])
def test_a_body_over_the_bound_is_refused_as_not_run(site, account, framing):
    account.change(MAX_BYTES)
    try:
        if framing == "announced":
            # Refused before any of the body was sent.
            request = build_request("/x", "POST", Content_Length=str(BODY_BYTES))
        else:
            request = build_request("/x", "POST", Transfer_Encoding="chunked")
            request += b"%x\r\n%s" % (BODY_BYTES, b"b" * BODY_BYTES)
        with PipeliningCaller(site.instance.caller_server.address) as caller:
            caller.send(request)
            reply = caller.read_reply()
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert site.send("GET", "/ordinary").status == 200
    finally:
        account.change(-MAX_BYTES)
    assert site.send("POST", "/x", body=b"b" * BODY_BYTES).status == 200


ODD_INPUT = {
    "blank-lines": [b"\r\n"] * 20,
    "part-of-a-head": [b"GET / HTTP/1.1\r\n", b"Host: x\r\nX-Long: " + b"h" * 9000],
    "no-http": [b"odd\r\n", b"\r\n\r\n"],
    "part-of-a-body": [b"POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n", b"b" * 70_000],
    "wrong-chunk": [
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"5\r\nbbbb",
        b"bbb",
    ],
    "large-head": [b"GET / HTTP/1.1\r\nX-Large: ", b"h" * 45_000],
    "pipelined": [build_request("/x") * 300, build_request("/x", "POST", Content_Length="9")],
}


# Guards against an account that doesn't get back all that it gave, and so refuses in the end.
@pytest.mark.parametrize("kind", ODD_INPUT)
def test_what_a_caller_held_is_given_back(site, account, kind):
    host, port = site.instance.caller_server.address.split(":")
    with socket.create_connection((host, int(port)), timeout=5) as caller:
        for data in ODD_INPUT[kind]:
            caller.sendall(data)
            # Each part is read on its own.
            site.send("GET", "/ordinary")


# Guards against a response that is read before it is relayed and stays on the account.
@pytest.mark.parametrize("length", [100, 2 * SMALL_REQUEST_BYTES, 2 * MAX_BYTES])
def test_a_response_for_a_caller_without_chunks_is_given_back(site, account, length):
    request = f"GET /document/{length} HTTP/1.0\r\nX-Fault: chunked\r\n\r\n".encode()
    with PipeliningCaller(site.instance.caller_server.address) as caller:
        caller.send(request)
        reply = caller.read_reply()
    assert reply.status == (502 if length > MAX_BYTES else 200)


# Guards against responses that wait for slow readers outside the account.
def test_unsent_responses_are_held_until_the_caller_has_gone(site, account):
    host, port = site.instance.caller_server.address.split(":")
    with socket.create_connection((host, int(port)), timeout=5) as caller:
        caller.sendall(build_request(f"/document/{UNREAD_BYTES}"))
        assert wait_until(lambda: account.held_bytes > 0)


def send_behind_slow_request(caller: PipeliningCaller, slow_ms: int) -> None:
    """Send a request that waits for ``100 Continue`` behind a slow one; check all responses."""
    expecting = build_request("/x", "POST", Content_Length="4", Expect="100-continue")
    caller.send(build_request("/x", X_Fault=f"slow={slow_ms}"), expecting)
    assert caller.read_reply().status == 200
    assert caller.read_line() == "HTTP/1.1 100 Continue"
    assert caller.read_line() == ""
    caller.send(b"body")
    assert caller.read_reply().status == 200


# Guards against a caller that is abandoned although it waits to be told to send its body.
def test_a_caller_that_waits_for_100_continue_is_not_abandoned(tmp_path):
    with open_site(tmp_path, body_stall_s=0.5) as site:
        site.apply("pools", [{"name": "p"}])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        site.add_upstreams("p", 1, service_ms=1, fixed=True)
        with PipeliningCaller(site.instance.caller_server.address) as caller:
            send_behind_slow_request(caller, 4000)


# Guards against two threads that send the same bytes: the caller read "100 Continue" twice, and
# its connection was closed.
def test_100_continue_is_sent_once_while_a_send_takes_time(site, monkeypatch):
    send = _Channel.send
    is_sending = threading.Event()
    sent_again = threading.Event()

    def send_slowly(channel, data, do_close=True):
        if data.startswith(b"HTTP/1.1 100 "):
            if is_sending.is_set():
                sent_again.set()
            is_sending.set()
            channel.server.pull_trigger()
            sent_again.wait(SEND_OVERLAP_S)
        return send(channel, data, do_close)

    monkeypatch.setattr(_Channel, "send", send_slowly)
    with PipeliningCaller(site.instance.caller_server.address) as caller:
        send_behind_slow_request(caller, 300)
    assert not sent_again.is_set()


@contextlib.contextmanager
def open_unread(folder, size: int, count: int):
    """Yield a server with a caller that reads nothing of the responses to its requests."""
    with open_site(folder, write_deadline_s=0.5) as site, socket.socket() as caller:
        site.apply("pools", [{"name": "p"}])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        site.add_upstreams("p", 1, service_ms=1, fixed=True)
        server = site.instance.caller_server
        host, port = server.address.split(":")
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect((host, int(port)))
        caller.sendall(build_request(f"/document/{size}") * count)
        assert wait_until(lambda: any(c.total_outbufs_len for c in server.list_channels()))
        yield server


# Guards against a caller that reads nothing and stays connected: its connection was closed only
# once more of the response could be sent.
@pytest.mark.parametrize(("size", "count"), [(UNREAD_BYTES, 1), (OUTPUT_BUFFER_BYTES, 40)])
def test_a_caller_that_reads_nothing_is_disconnected(tmp_path, size, count):
    with open_unread(tmp_path, size, count) as server:
        assert wait_until(lambda: not server.list_channels(), GONE_TIMEOUT_S)


# Guards against a stop that waits for such a caller.
def test_a_caller_that_reads_nothing_is_disconnected_in_a_stop(tmp_path):
    with open_unread(tmp_path, UNREAD_BYTES, 1) as server:
        server.stop_accepting()
        assert server.wait_closed(time.monotonic() + GONE_TIMEOUT_S)


# Guards against a connection that a service thread closes while that of the server uses it.
def test_only_the_thread_of_the_server_closes_connections(site, monkeypatch):
    send, handle_close = _Channel.send, _Channel.handle_close
    closed_by = []

    def send_on_closed(channel, data, do_close=True):
        if data.startswith(b"HTTP/1.1 100 "):
            channel.socket.shutdown(socket.SHUT_WR)
        return send(channel, data, do_close)

    def record_close(channel):
        closed_by.append(threading.current_thread().name)
        handle_close(channel)

    monkeypatch.setattr(_Channel, "send", send_on_closed)
    monkeypatch.setattr(_Channel, "handle_close", record_close)
    with PipeliningCaller(site.instance.caller_server.address) as caller:
        expecting = build_request("/x", "POST", Content_Length="4", Expect="100-continue")
        caller.send(build_request("/x", X_Fault="slow=300"), expecting)
        assert caller.read_reply().status == 200
        assert caller.is_closed()
        assert wait_until(lambda: closed_by)
    assert all(name.startswith("http-") for name in closed_by), closed_by


# Guards against a reset, by which a caller may lose the error response: the response was marked
# as the last one while the thread of the server was still sending it.
def test_an_error_response_is_not_reset_while_it_is_sent(site, monkeypatch):
    execute, flush = _ErrorTask.execute, _Channel._flush_exception
    is_sending = threading.Event()

    def execute_slowly(task):
        execute(task)
        is_sending.wait(SEND_OVERLAP_S)

    def flush_slowly(channel, function, do_close=True):
        if not threading.current_thread().name.startswith("http-"):
            return False, False
        is_sending.set()
        result = flush(channel, function, do_close)
        wait_until(lambda: channel.close_when_flushed, SEND_OVERLAP_S)
        return result

    monkeypatch.setattr(_ErrorTask, "execute", execute_slowly)
    monkeypatch.setattr(_Channel, "_flush_exception", flush_slowly)
    with PipeliningCaller(site.instance.caller_server.address) as caller:
        caller.send(build_request("/x", Content_Length="odd"), b"b" * UNREAD_INPUT_BYTES)
        assert caller.read_reply().status == 400
        assert caller.sock.recv(1) == b""
