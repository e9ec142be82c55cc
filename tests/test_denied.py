"""Proper requests that must not be refused as wrong, and what the log says of refused ones."""

from __future__ import annotations

import json
import logging
import socket

import pytest

from .sites import MAX_BODY_BYTES, open_site

HOST = b"Host: a.example\r\n"
CLOSE = b"Connection: close\r\n\r\n"


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with open_site(tmp_path_factory.mktemp("denied"), access_log=True) as site:
        site.apply("pools", [{"name": "p"}])
        site.apply(
            "routes",
            [{"name": "r", "host": "a.example", "path_prefix": "/r/", "pool": "p"}],
        )
        site.add_upstreams("p", 2, service_ms=1, fixed=True)
        yield site


def send_raw(site, *parts: bytes) -> bytes:
    """Send the parts one after the other; return all bytes up to the end of the connection."""
    host, port = site.instance.caller_server.address.split(":")
    with socket.create_connection((host, int(port)), 10) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for part in parts:
            sock.sendall(part)
        data = b""
        while received := sock.recv(65536):
            data += received
        return data


def list_statuses(data: bytes) -> list[int]:
    return [int(line.split()[1]) for line in data.split(b"\r\n") if line.startswith(b"HTTP/1.")]


def find_log_record(caplog, request_id: str):
    found = [r for r in caplog.records if getattr(r, "request_id", "") == request_id]
    assert len(found) == 1, [r.msg for r in found]
    return found[0]


def test_a_request_without_a_route_is_logged_without_the_state_that_explains_it(site, caplog):
    with caplog.at_level(logging.INFO, "foxtaildrum"):
        site.send("GET", "/r/x", {"Host": "other", "X-Request-Id": "no-route"})
    record = find_log_record(caplog, "no-route")
    assert (record.status, record.kind, record.reason) == (404, "no_route", "host other")
    view = site.instance.proxy.view
    assert (record.version, record.index, record.state) == (view.version, view.index, "ready")


@pytest.mark.parametrize(
    ("name", "lines", "kind"),
    [
        ("malformed", b"Content-Length: x\r\n", "bad_request"),
        ("large-body", b"Content-Length: %d\r\n" % (MAX_BODY_BYTES + 1), "body_too_large"),
        ("large-head", b"X-Large: " + b"h" * 60_000 + b"\r\n", "header_too_large"),
    ],
)
def test_a_request_refused_by_the_parser_is_logged_without_its_identifier(
    site, caplog, name, lines, kind
):
    head = b"GET /r/x HTTP/1.1\r\n" + HOST + b"X-Request-Id: " + name.encode() + b"\r\n"
    with caplog.at_level(logging.INFO, "foxtaildrum"):
        answer = send_raw(site, head + lines + CLOSE)
    record = find_log_record(caplog, name)
    assert (record.msg, record.kind) == ("refused_request", kind)
    assert (record.status, record.state) == (list_statuses(answer)[0], "ready")
    assert record.reason
    assert b"X-Request-Id: " + name.encode() in answer


def test_an_instance_without_tables_refuses_every_route_as_unknown(tmp_path):
    with open_site(tmp_path) as site:
        statuses = {"before": site.send("GET", "/r/x").status}
        site.apply("pools", [{"name": "p"}])
        statuses["pools"] = site.send("GET", "/r/x").status
        site.apply("routes", [])
        # The operator has set that there are no routes.
        statuses["no routes"] = site.send("GET", "/r/x").status
    assert statuses == {"before": 503, "pools": 503, "no routes": 404}


@pytest.mark.parametrize(
    "value",
    [
        "1999.5",
        "1500.0",
        "1500.",
        "+1500",
        "1.5e3",
        "  1500 ",
        "3600001",
        "9" * 400,
        "9" * 5000,
    ],
)
def test_a_time_limit_in_another_form_of_a_number_is_refused_as_malformed(site, value):
    reply = site.send("GET", "/r/x", {"Host": "a.example", "X-Request-Timeout-Ms": value})
    assert reply.status == 200
    sent_on = json.loads(reply.body)["headers"]["x-request-timeout-ms"]
    assert 0 < int(sent_on) <= 10_000


@pytest.mark.parametrize("value", ["0", "-5", "0.0", "-0.5", "0.0001", "-9e9999"])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_whose_time_is_over_is_refused_as_malformed(site, method, value):
    headers = {"Host": "a.example", "X-Request-Timeout-Ms": value}
    runs = site.upstreams["p"].count_runs()
    reply = site.send(method, "/r/x", headers)
    assert (reply.status, reply.outcome) == (504, "not-run")
    assert json.loads(reply.body)["kind"] == "deadline_before_send"
    assert site.upstreams["p"].count_runs() == runs


@pytest.mark.parametrize(
    "value", ["soon", "", "nan", "inf", "1_0", "0x10", "1 0", "100, 200", "1e", ".", "\u0663"]
)
def test_a_time_limit_that_is_no_number_is_still_malformed(site, value):
    head = f"GET /r/x HTTP/1.1\r\nX-Request-Timeout-Ms: {value}\r\n".encode()
    assert list_statuses(send_raw(site, head + HOST + CLOSE)) == [400]
