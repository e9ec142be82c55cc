"""Responses of upstreams that break off, at any byte, and requests that do."""

from __future__ import annotations

import contextlib
import io
import socket
import threading

import pytest

from foxtaildrum.clock import read_clock
from foxtaildrum.requests.transport import OutgoingRequest, TransportError, open_http

from .sites import open_site
from .standins.scripted import (
    Arrival,
    Script,
    ScriptedUpstream,
    build_response,
    end_connection,
)
from .test_platform import load_module

TIMEOUT_S = 2.0
HEADERS = {"X-Request-Id": "id", "X-Response-Signature": "proof", "Server": "s"}
BODY = b"0123456789abcdef" * 40


@pytest.fixture
def start_upstream():
    upstreams = []

    def start(write_script) -> ScriptedUpstream:
        upstreams.append(ScriptedUpstream(write_script))
        return upstreams[-1]

    yield start
    for upstream in upstreams:
        upstream.close()


def exchange(upstream: ScriptedUpstream, method: str, body: bytes | None = None):
    """Return the connection, status and body of a response that was read completely."""
    connection = open_http(upstream.address, TIMEOUT_S)
    connection.accepts_close_delimited = connection.accepts_trailing_bytes = True
    file = None if body is None else io.BytesIO(body)
    headers = {"Host": "x"}
    try:
        request = OutgoingRequest(method, "/", headers, file, len(body or b""), "id")
        connection.send(request, TIMEOUT_S)
        head = connection.read_head(TIMEOUT_S)
        data = b"".join(connection.read_body(read_clock() + TIMEOUT_S))
    except TransportError:
        connection.close()
        raise
    return connection, head.status, data


def count_whole(upstream: ScriptedUpstream, method: str, cuts: int) -> list[int]:
    """Return the cuts whose responses were read as complete."""
    whole = []
    for cut in range(cuts):
        with contextlib.suppress(TransportError):
            connection, _, _ = exchange(upstream, method)
            connection.close()
            whole.append(cut)
    return whole


@pytest.mark.parametrize("end", ["fin", "rst"])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize("status", [200, 404, 503])
def test_a_head_that_breaks_off_is_no_answer(start_upstream, end, method, framing, status):
    head = build_response(status, HEADERS, BODY, framing).partition(b"\r\n\r\n")[0] + b"\r\n"
    cuts = iter(range(len(head) + 1))
    upstream = start_upstream(lambda arrival: Script(head[: next(cuts)], end=end))
    assert count_whole(upstream, method, len(head) + 1) == []


@pytest.mark.parametrize("end", ["fin", "rst"])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_body_that_breaks_off_is_not_complete(start_upstream, end, framing):
    response = build_response(200, HEADERS, BODY, framing)
    first = response.index(b"\r\n\r\n")
    cuts = iter(range(first, len(response)))
    upstream = start_upstream(lambda arrival: Script(response[: next(cuts)], end=end))
    assert count_whole(upstream, "GET", len(response) - first) == []


def test_a_trailer_that_breaks_off_is_not_complete(start_upstream):
    response = build_response(200, HEADERS, BODY, "chunked")[:-2] + b"X-Sum: 12\r\n\r\n"
    start = response.index(b"X-Sum")
    cuts = iter(range(start, len(response)))
    upstream = start_upstream(lambda arrival: Script(response[: next(cuts)], end="fin"))
    assert count_whole(upstream, "GET", len(response) - start) == []


@pytest.mark.parametrize("cut", [0, 1, 300])
def test_an_unframed_body_that_is_reset_is_not_complete(start_upstream, cut):
    response = build_response(200, HEADERS, BODY[:cut], "close")
    upstream = start_upstream(lambda arrival: Script(response, end="rst"))
    with pytest.raises(TransportError):
        exchange(upstream, "GET")


@pytest.mark.parametrize(
    "chunks",
    [
        b"+5\r\nwhole\r\n0\r\n\r\n",
        b"0x5\r\nwhole\r\n0\r\n\r\n",
        b"0_5\r\nwhole\r\n0\r\n\r\n",
        b"-5\r\nwhole\r\n0\r\n\r\n",
        b"5\r\nwhole..0\r\n\r\n",
        b"5\r\nwhole\n\n0\r\n\r\n",
        b"\r\n5\r\nwhole\r\n0\r\n\r\n",
        b"5 5\r\nwhole\r\n0\r\n\r\n",
    ],
)
def test_malformed_chunks_are_no_body(start_upstream, chunks):
    head = build_response(200, HEADERS, b"", "chunked").partition(b"\r\n\r\n")[0]
    upstream = start_upstream(lambda a: Script(head + b"\r\n\r\n" + chunks, end="fin"))
    with pytest.raises(TransportError):
        exchange(upstream, "GET")


@pytest.mark.parametrize("length", ["", "+5", "5x", "5, 5"])
def test_a_head_with_a_malformed_length_is_no_answer(start_upstream, length):
    head = build_response(200, {**HEADERS, "Content-Length": length}, b"", "close")
    upstream = start_upstream(lambda arrival: Script(head + b"whole", end="fin"))
    with pytest.raises(TransportError):
        exchange(upstream, "GET")


def test_chunk_extensions_and_trailers_are_skipped(start_upstream):
    chunks = b"5;a=b\r\nwhole\r\n00 ;c\r\nX-Sum: 1\r\n\r\n"
    head = build_response(200, HEADERS, b"", "chunked").partition(b"\r\n\r\n")[0]
    upstream = start_upstream(lambda arrival: Script(head + b"\r\n\r\n" + chunks))
    connection, status, data = exchange(upstream, "GET")
    assert (status, data, connection.reusable) == (200, b"whole", True)


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_a_connection_with_bytes_after_a_response_is_not_kept(start_upstream, framing, method):
    response = build_response(200, HEADERS, BODY, framing)
    if method == "HEAD":
        response = response.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
    upstream = start_upstream(lambda arrival: Script(response + response))
    connection, status, data = exchange(upstream, method)
    assert (status, data) == (200, BODY if method == "GET" else b"")
    assert not connection.reusable


@pytest.mark.parametrize("status", [200, 204, 304])
def test_a_connection_is_kept_after_a_chunked_response_without_a_body(start_upstream, status):
    def write_script(arrival: Arrival) -> Script:
        head = build_response(status, HEADERS, b"", "chunked")
        return Script(head.partition(b"\r\n\r\n")[0] + b"\r\n\r\n")

    upstream = start_upstream(write_script)
    connection, _, _ = exchange(upstream, "HEAD")
    assert connection.reusable
    connection.send(OutgoingRequest("HEAD", "/", {"Host": "x"}, None, 0, "id"), TIMEOUT_S)
    assert connection.read_head(TIMEOUT_S).status == status


class EarlyUpstream:
    """Answers before it has read the body of its one request, and reads on when it is told."""

    def __init__(self, data: bytes, end: str = "") -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.may_end = threading.Event()
        self._data = data
        self._end = end
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        sock, _ = self._listener.accept()
        with sock:
            sock.recv(65536)
            sock.sendall(self._data)
            if self._end:
                end_connection(sock, self._end)
                return
            self.may_end.wait(TIMEOUT_S)

    def close(self) -> None:
        self.may_end.set()
        self._listener.close()


@pytest.mark.parametrize("body", [b"", b"refused"])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_connection_that_owes_the_rest_of_a_body_is_not_kept(body, framing):
    """The upstream reads on later and would take the next request for the rest."""
    upstream = EarlyUpstream(build_response(503, {"X-Not-Executed": "1"}, body, framing))
    connection = open_http(upstream.address, TIMEOUT_S)
    long = io.BytesIO(b"x" * 16_000_000)
    request = OutgoingRequest("POST", "/", {"Host": "x"}, long, 16_000_000, "id")
    connection.send(request, 0.3)
    assert connection.read_head(TIMEOUT_S).status == 503
    assert b"".join(connection.read_body(read_clock() + TIMEOUT_S)) == body
    assert not connection.reusable
    connection.close()
    upstream.close()


def test_an_unframed_early_answer_that_is_reset_is_not_complete():
    """The failed send takes the reset from the socket, which then ends like a closed one."""
    upstream = EarlyUpstream(build_response(200, HEADERS, BODY, "close"), end="rst")
    with pytest.raises(TransportError):
        exchange(upstream, "POST", b"x" * 16_000_000)
    upstream.close()


@pytest.mark.parametrize("end", ["fin", "rst"])
@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
def test_callers_get_no_answer_whose_head_broke_off(tmp_path, end, framing, method):
    load_module("dialect")
    cuts: dict[str, int] = {}

    def write_script(arrival: Arrival) -> Script:
        headers = {**HEADERS, "X-Request-Id": arrival.request_id}
        head = build_response(200, headers, BODY, framing).partition(b"\r\n\r\n")[0] + b"\r\n"
        return Script(head[: len(head) - cuts[arrival.target]], end=end)

    upstream = ScriptedUpstream(write_script)
    with open_site(tmp_path, dialect="platform") as site:
        site.apply("pools", [{"name": "p", "retry_budget_ratio": 1.0}])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        fields = {"availability_zone": "", "state": "ready", "sequence": 1}
        site.announce("u-1", "p", upstream.port, **fields)
        for cut in range(0, 60, 3):
            cuts[f"/cut/{cut}"] = cut
            reply = site.send(method, f"/cut/{cut}", body=b"x" if method == "POST" else None)
            assert reply.status == 502
    upstream.close()


@pytest.mark.parametrize(
    ("response", "reason"),
    [
        (b"HTTP/1.1 103 Hints\r\n\r\n", "head_malformed"),
        (b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "head_malformed"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "length_unclear"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "body_cut"),
        (b"HTTP/1.1 200 OK\r\nContent-Le", "CutOffError"),
        (b"", "RemoteDisconnected"),
    ],
)
def test_the_log_can_tell_why_a_response_was_refused(start_upstream, response, reason):
    upstream = start_upstream(lambda arrival: Script(response, end="fin"))
    with pytest.raises(TransportError) as caught:
        exchange(upstream, "GET")
    assert reason in caught.value.reason
