"""Proxying over real sockets: streaming, deadlines, cancellation, hedges and claims."""

from __future__ import annotations

import http.client
import json
import random
import socket
import threading
import time
import uuid

import pytest

from foxtaildrum.admin.metrics import StatsdSender
from foxtaildrum.kinds import ErrorKind

from .sites import open_site
from .standins.processes import wait_until

DOCUMENT_BYTES = 20 * 1024 * 1024


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with open_site(tmp_path_factory.mktemp("proxy"), write_deadline_s=1.0) as site:
        site.apply("pools", [{"name": "p", "measuring_budget_ratio": 1.0}, {"name": "one"}])
        site.apply(
            "routes",
            [
                {"name": "p", "path_prefix": "/", "pool": "p", "timeout_ms": 2000},
                {"name": "one", "path_prefix": "/one", "pool": "one", "timeout_ms": 2000},
                {"name": "host", "host": "docs.example", "path_prefix": "/", "pool": "one"},
            ],
        )
        site.add_upstreams("p", 2, service_ms=1, fixed=True)
        site.add_upstreams("one", 1, service_ms=1, fixed=True)
        yield site


def read_echo(reply) -> dict:
    return json.loads(reply.body)


def test_a_request_is_forwarded_without_hop_by_hop_headers(site):
    reply = site.send(
        "POST",
        "/a%20b/c?x=1&y=%2F",
        {
            "X-Custom": "v",
            "Connection": "X-Drop",
            "X-Drop": "1",
            "traceparent": "00-1",
            "X-Request-Id": "mine",
        },
        b"12345",
    )
    echo = read_echo(reply)
    assert echo["target"] == "/a%20b/c?x=1&y=%2F"
    assert echo["body_bytes"] == 5
    assert echo["headers"]["x-custom"] == "v"
    assert echo["headers"]["traceparent"] == "00-1"
    assert echo["headers"]["x-request-id"] == "mine"
    assert "x-drop" not in echo["headers"]
    assert echo["headers"]["x-forwarded-for"] == "127.0.0.1"
    assert reply.headers["x-request-id"] == "mine"


def test_the_remaining_time_is_forwarded_to_the_upstream(site):
    echo = read_echo(site.send("GET", "/x", {"X-Request-Timeout-Ms": "500"}))
    assert 0 < int(echo["headers"]["x-request-timeout-ms"]) <= 500


def test_the_longest_prefix_and_the_host_choose_the_route(site):
    assert read_echo(site.send("GET", "/one/x"))["upstream"] == "one-1"
    assert read_echo(site.send("GET", "/onerous"))["upstream"].startswith("p-")
    echo = read_echo(site.send("GET", "/x", {"Host": "Docs.Example:8080"}))
    assert echo["upstream"] == "one-1"


@pytest.mark.parametrize("fault", ["", "chunked"])
def test_a_large_document_is_relayed_completely(site, fault):
    reply = site.send("GET", f"/document/{DOCUMENT_BYTES}", {"X-Fault": fault})
    assert reply.status == 200
    assert len(reply.body) == DOCUMENT_BYTES


@pytest.mark.parametrize("fault", ["truncate", "truncate-chunked", "overlong"])
def test_a_broken_document_is_never_relayed_as_complete(site, fault):
    assert site.send("GET", f"/document/{DOCUMENT_BYTES}", {"X-Fault": fault}).status == 0


def test_excess_that_arrives_late_belongs_to_no_response(site):
    """The declared body is complete; the connection with the excess is not used again."""
    for _ in range(3):
        headers = {"Host": "docs.example", "X-Fault": "overlong-late"}
        reply = site.send("GET", f"/document/{DOCUMENT_BYTES}", headers)
        assert (reply.status, len(reply.body)) == (200, DOCUMENT_BYTES)
        site.upstreams["one"].send_excess("one-1")
        assert read_echo(site.send("GET", "/one/x"))["target"] == "/one/x"


@pytest.mark.parametrize("variant", ["", "-without-id", "-half"])
def test_a_late_copy_of_a_response_never_reaches_the_next_caller(site, variant):
    for number in range(5):
        fault = f"first:copy-at-next{variant}"
        assert site.send("GET", f"/one/a-{number}", {"X-Fault": fault}).status == 200
        echo = read_echo(site.send("GET", f"/one/b-{number}"))
        assert echo["target"] == f"/one/b-{number}"
        assert site.send("GET", f"/one/c-{number}", {"X-Fault": fault}).status == 200
        reply = site.send("POST", f"/one/d-{number}", body=b"order")
        assert reply.status == 502, reply.body
        assert reply.headers["foxtaildrum-outcome"] == "unknown"


def test_a_body_that_fails_before_its_first_byte_is_tried_again_or_explained(site, caplog):
    fault = "endless-extension"
    reply = site.send("GET", "/x", {"X-Fault": f"first:{fault}"})
    assert (reply.status, read_echo(reply)["target"]) == (200, "/x")
    reply = site.send("POST", "/x", {"X-Fault": fault})
    assert reply.status == 502
    assert reply.headers["foxtaildrum-outcome"] == "unknown"
    assert json.loads(reply.body)["kind"] == ErrorKind.ANSWER_LOST.value
    site.send("GET", "/x", {"X-Fault": "truncate-chunked"})
    assert not [r for r in caplog.records if r.exc_info]


def exchange_raw(site, request: bytes) -> bytes:
    host, port = site.instance.caller_server.address.split(":")
    with socket.create_connection((host, int(port)), 10) as sock:
        sock.sendall(request)
        data = b""
        while part := sock.recv(65536):
            data += part
        return data


@pytest.mark.parametrize(("fault", "line"), [("chunked", b"200"), ("truncate-chunked", b"502")])
def test_an_http_1_0_caller_gets_a_content_length_or_an_error(site, fault, line):
    request = f"POST /x HTTP/1.0\r\nX-Fault: {fault}\r\nContent-Length: 0\r\n\r\n".encode()
    head, _, body = exchange_raw(site, request).partition(b"\r\n\r\n")
    assert line in head.split(b"\r\n")[0]
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    assert len(body) == length


def test_a_head_request_keeps_its_connection(site):
    host, port = site.instance.caller_server.address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    for method in ("HEAD", "GET", "HEAD", "GET"):
        connection.request(method, "/x")
        response = connection.getresponse()
        body = response.read()
        assert response.status == 200
        assert bool(body) == (method == "GET")
    connection.close()


def test_responses_never_go_to_another_request(site):
    """Each concurrent request gets its own response, also if others are slow or broken."""
    wrong = []

    def call(number: int) -> None:
        faults = ("", "", "slow=30", "overlong", "close-quietly", "early-hints", "chunked")
        fault = faults[number % len(faults)]
        reply = site.send(
            "GET", f"/item-{number}", {"X-Fault": f"first:{fault}" if fault else ""}
        )
        if fault == "chunked":
            return
        if reply.status == 200 and read_echo(reply)["target"] != f"/item-{number}":
            wrong.append(number)

    for start in range(0, 140, 20):
        threads = [threading.Thread(target=call, args=(start + n,)) for n in range(20)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert wrong == []


def test_a_caller_that_does_not_read_is_disconnected_and_its_request_cancelled(site):
    host, port = site.instance.caller_server.address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    upstreams = site.upstreams["p"]
    cancelled = sum(upstreams.describe(u)["cancelled"] for u in upstreams.ports)
    sock.sendall(f"GET /document/{DOCUMENT_BYTES} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    assert wait_until(
        lambda: sum(upstreams.describe(u)["cancelled"] for u in upstreams.ports) > cancelled
    )
    sock.close()


@pytest.mark.parametrize(("method", "cancels"), [("GET", True), ("POST", False)])
def test_a_caller_that_disconnects_cancels_only_idempotent_requests(site, method, cancels):
    upstream = site.upstreams["one"]
    before = upstream.describe("one-1")
    site.send_and_disconnect(
        method,
        "/one/x",
        {"X-Fault": "slow=500"},
        lambda: upstream.describe("one-1")["busy"] > 0,
    )
    field = "cancelled" if cancels else "served"
    assert wait_until(lambda: upstream.describe("one-1")[field] > before[field])
    other = "served" if cancels else "cancelled"
    assert upstream.describe("one-1")[other] == before[other]


def test_a_hedge_replaces_a_slow_attempt_which_is_cancelled(site):
    for _ in range(80):
        site.send("GET", "/warm")
    upstream = site.upstreams["p"]
    cancelled = sum(upstream.describe(u)["cancelled"] for u in upstream.ports)
    reply = site.send("GET", "/x", {"X-Fault": "first:slow=1500"})
    assert reply.status == 200
    assert read_echo(reply)["headers"]["foxtaildrum-attempt"].endswith("-1")
    assert wait_until(
        lambda: sum(upstream.describe(u)["cancelled"] for u in upstream.ports) > cancelled
    )


def test_a_draining_upstream_gets_no_new_request(site):
    upstream = site.upstreams["p"]
    upstream.set_behaviour("p-1", draining=True)
    try:
        assert wait_until(lambda: _is_draining(site, "p-1"))
        served = upstream.describe("p-1")["served"]
        for _ in range(20):
            site.send("GET", "/x")
        assert upstream.describe("p-1")["served"] == served
    finally:
        upstream.set_behaviour("p-1", draining=False)
        site.announce("p-1", "p", upstream.ports["p-1"], incarnation=2)


def _is_draining(site, upstream_id: str) -> bool:
    site.send("GET", "/x")
    entries = {u["upstream"]: u["state"] for u in site.client.get_status()["upstreams"]}
    return entries[upstream_id] == "draining"


def test_a_repeated_idempotency_key_replays_the_first_response(site):
    key = uuid.uuid4().hex
    headers = {"Idempotency-Key": key}
    first = site.send("POST", "/order", headers, b"cut")
    second = site.send("POST", "/order", headers, b"cut")
    assert first.status == second.status == 200
    assert first.body == second.body
    assert second.headers["idempotent-replayed"] == "true"
    assert site.upstreams["p"].count_runs()[key] == 1
    assert site.send("POST", "/order", headers, b"other").status == 422


def test_a_request_whose_idempotency_key_is_running_gets_409(site):
    key = uuid.uuid4().hex
    headers = {"Idempotency-Key": key, "X-Fault": "slow=400"}
    first_request = threading.Thread(target=site.send, args=("POST", "/order", headers, b"x"))
    first_request.start()
    assert wait_until(lambda: site.upstreams["p"].count_runs().get(key, 0) == 1)
    reply = site.send("POST", "/order", headers, b"x")
    first_request.join()
    assert (reply.status, reply.outcome) == (409, "not-run")
    assert site.upstreams["p"].count_runs()[key] == 1


def test_a_key_whose_response_was_lost_is_unknown_and_not_run_again(site):
    key = uuid.uuid4().hex
    headers = {"Idempotency-Key": key, "X-Fault": "reset-after-run"}
    assert site.send("POST", "/order", headers, b"x").outcome == "unknown"
    reply = site.send("POST", "/order", {"Idempotency-Key": key}, b"x")
    assert (reply.status, reply.outcome) == (409, "unknown")
    assert site.upstreams["p"].count_runs()[key] == 1


def test_the_idempotency_key_of_a_shed_request_can_be_used_again(site):
    key = uuid.uuid4().hex
    reply = site.send("POST", "/order", {"Idempotency-Key": key, "X-Fault": "shed"}, b"x")
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert wait_until(
        lambda: site.send("POST", "/order", {"Idempotency-Key": key}, b"x").status == 200
    )
    assert site.upstreams["p"].count_runs()[key] == 1


def test_metrics_are_sent_to_a_statsd_server(site):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        site.send("GET", "/x")
        sender = StatsdSender(f"127.0.0.1:{server.getsockname()[1]}")
        sender.send(time.monotonic(), site.instance.meter, {"ready": 1.0})
        text = ""
        while "foxtaildrum.ready:1" not in text:
            text += server.recv(65536).decode() + "\n"
    assert "foxtaildrum.requests:" in text


def test_an_upstream_that_does_not_report_is_probed(site):
    rows, _ = site.client.get_table("pools")
    site.apply(
        "pools",
        [*rows, {"name": "quiet", "load_path": "/_load", "measuring_budget_ratio": 1.0}],
    )
    routes, _ = site.client.get_table("routes")
    site.apply("routes", [*routes, {"name": "quiet", "path_prefix": "/quiet", "pool": "quiet"}])
    upstream = site.add_upstreams("quiet", 1, service_ms=20, fixed=True, report="none")

    def is_probed() -> bool:
        site.send("GET", "/quiet")
        return upstream.describe("quiet-1")["probes"] > 0

    assert wait_until(is_probed)
    load = site.instance.proxy.view.pools["quiet"].balancer.upstreams["quiet-1"]
    assert wait_until(lambda: load.reported_at > 0)


def test_the_instance_keeps_serving_after_malformed_requests(site):
    rng = random.Random(5)
    host, port = site.instance.caller_server.address.split(":")
    good = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nX-A: b\r\n\r\nabc"
    for _ in range(150):
        data = bytearray(good * rng.randrange(1, 3))
        for _ in range(rng.randrange(1, 6)):
            position = rng.randrange(len(data))
            data[position : position + rng.randrange(3)] = rng.randbytes(rng.randrange(3))
        with socket.create_connection((host, int(port)), 10) as sock:
            sock.sendall(bytes(data))
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65536):
                continue
    assert site.send("GET", "/x").status == 200


@pytest.mark.parametrize(
    ("method_name", "outcome"), [("get_connections", "not-run"), ("record_response", "unknown")]
)
def test_an_internal_error_releases_the_slot(site, monkeypatch, method_name, outcome):
    pool = site.instance.proxy.view.pools["one"]
    with monkeypatch.context() as patch:
        patch.setattr(pool, method_name, None)
        reply = site.send("POST", "/one/x")
    assert (reply.status, reply.outcome) == (500, outcome)
    assert wait_until(lambda: pool.balancer.in_flight == 0)
    assert site.send("GET", "/one/x").status == 200


def test_an_instance_serves_on_a_machine_that_was_suspended(monkeypatch, tmp_path):
    # CLOCK_BOOTTIME counts the time in suspension and is then ahead of CLOCK_MONOTONIC.
    # Requests would be refused as late if times of the two clocks were compared.
    real_clock_gettime = time.clock_gettime
    monkeypatch.setattr(time, "clock_gettime", lambda clock: real_clock_gettime(clock) + 1000.0)
    with open_site(tmp_path) as site:
        site.apply("pools", [{"name": "p"}])
        site.apply("routes", [{"name": "r", "pool": "p", "timeout_ms": 2000}])
        site.add_upstreams("p", 1, service_ms=1, fixed=True)
        assert site.send("GET", "/x").status == 200


def test_requests_beyond_the_rate_limit_of_every_upstream_are_refused_as_not_run(tmp_path):
    with open_site(tmp_path) as site:
        site.apply("pools", [{"name": "p"}])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        process = site.add_upstreams("p", 1, service_ms=1, fixed=True, rate_limit=0.1)
        assert site.send("GET", "/one").status == 200
        refused = [r for r in (site.send("GET", "/one") for _ in range(3)) if r.status == 503]
        assert len(refused) >= 2
        assert {json.loads(r.body)["kind"] for r in refused} == {"rate_limited"}
        assert {r.outcome for r in refused} == {"not-run"}
        assert all(int(r.headers["retry-after"]) >= 1 for r in refused)
        assert sum(process.count_runs().values()) <= 2
