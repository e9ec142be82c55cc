"""The account of what callers hold: what it admits, refuses and reports."""

from __future__ import annotations

import socket

import pytest

from foxtaildrum.admin.metrics import Meter
from foxtaildrum.requests.account import (
    LOG_PERIOD_S,
    SMALL_REQUEST_BYTES,
    SPARE_RATIO,
    CallerAccount,
)

from .pipelining import PipeliningCaller, build_request
from .sites import open_site
from .standins.processes import wait_until

MAX_BYTES = 16 * SMALL_REQUEST_BYTES
SPARE_BYTES = int(SPARE_RATIO * MAX_BYTES)
BODY_BYTES = 3 * SMALL_REQUEST_BYTES
# More than the buffers of a connection take.
UNREAD_BYTES = 30 * 1024 * 1024


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


# Guards against a caller that is abandoned although it waits to be told to send its body.
def test_a_caller_that_waits_for_100_continue_is_not_abandoned(tmp_path):
    with open_site(tmp_path, body_stall_s=0.5) as site:
        site.apply("pools", [{"name": "p"}])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        site.add_upstreams("p", 1, service_ms=1, fixed=True)
        with PipeliningCaller(site.instance.caller_server.address) as caller:
            expecting = build_request("/x", "POST", Content_Length="4", Expect="100-continue")
            caller.send(build_request("/x", X_Fault="slow=4000"), expecting)
            assert caller.read_reply().status == 200
            assert caller.read_line() == "HTTP/1.1 100 Continue"
            assert caller.read_line() == ""
            caller.send(b"body")
            assert caller.read_reply().status == 200
