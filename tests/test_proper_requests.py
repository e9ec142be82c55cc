"""Proper requests in random forms while the instance stops, fills up or changes its tables.

Each is answered by the upstream or with 503, or its connection ends before it has run.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import random
import re
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from foxtaildrum.records import Limits
from foxtaildrum.requests import server

from .pipelining import READ_TIMEOUT_S
from .sites import open_site
from .test_denied import build_proper_request

# A higher number is for runs by hand.
CASES = int(os.environ.get("PROPER_REQUEST_CASES", "160"))
CALLERS = 8
MAX_REQUESTS = 6
HEAD_END = b"\r\n\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3}) ")
REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: ([^\r]*)")
CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: ([0-9]+)")
# Identifier of a request that is refused before its own was read.
NEW_ID = re.compile("[0-9a-f]{32}")
MAX_HELD_BYTES = 4 * 1024 * 1024
IDLE_TIMEOUT_S = 1.0
# Longest time that a caller leaves a connection idle, as a ratio of the limit.
MAX_IDLE_RATIO = 0.8
# Time for which a caller waits to be told to send a body; then it sends it all the same.
CONTINUE_TIMEOUT_S = 1.0
# Pause between two changes of the instance, and length of each.
CHANGE_PERIOD_S = 0.02
LIMITS = (
    Limits(max_header_bytes=16_384, idle_timeout_ms=IDLE_TIMEOUT_S * 1000),
    Limits(max_header_bytes=32_768, idle_timeout_ms=IDLE_TIMEOUT_S * 1000),
)
ROUTE = {"name": "r", "host": "a.example", "path_prefix": "/r/", "pool": "p"}
TABLES = ([ROUTE], [ROUTE, {**ROUTE, "name": "other", "path_prefix": "/other/"}])


class Connection:
    """A caller that sends requests in parts and keeps all that it receives."""

    def __init__(self, address: str, seed: int) -> None:
        self.seed = seed
        self._rng = random.Random(seed)
        count = self._rng.randrange(1, MAX_REQUESTS + 1)
        # Numbers are not used twice.
        numbers = range(seed * MAX_REQUESTS, seed * MAX_REQUESTS + count)
        self.requests = [
            self._add_expect(build_proper_request(self._rng, number, number == numbers[-1]))
            for number in numbers
        ]
        self.request_ids = [f"proper-{number}" for number in numbers]
        self._received = b""
        host, port = address.split(":")
        self._sock = socket.create_connection((host, int(port)), READ_TIMEOUT_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = threading.Thread(target=self._read)

    def play(self) -> list[tuple[int, str]]:
        """Send all requests; return the status and identifier of each response."""
        self._reader.start()
        with contextlib.suppress(ConnectionError):
            for number, request in enumerate(self.requests):
                self._send(number, request)
        self._reader.join()
        self._sock.close()
        responses, rest = self._split_received()
        assert not rest, (self.seed, responses, rest[-300:])
        return responses

    def _add_expect(self, request: bytes) -> bytes:
        head, _, body = request.partition(HEAD_END)
        if not body or self._rng.random() < 0.6:
            return request
        return head + b"\r\nExpect: 100-continue" + HEAD_END + body

    def _send(self, number: int, request: bytes) -> None:
        if self._rng.random() < 0.03:
            time.sleep(self._rng.random() * MAX_IDLE_RATIO * IDLE_TIMEOUT_S)
        head_bytes = request.index(HEAD_END) + len(HEAD_END)
        cuts = {0, len(request)}
        cuts.update(self._rng.choices(range(len(request)), k=self._rng.choice([0, 0, 1, 9])))
        waits = b"Expect: 100-" in request and self._rng.random() < 0.7
        if waits:
            cuts.add(head_bytes)
        for begin, end in itertools.pairwise(sorted(cuts)):
            if waits and begin == head_bytes:
                self._wait_for_response(number)
            self._sock.sendall(request[begin:end])

    def _wait_for_response(self, number: int) -> None:
        deadline = time.monotonic() + CONTINUE_TIMEOUT_S
        known = self._received.count(b"HTTP/1.1 100 ")
        while (
            time.monotonic() < deadline
            and self._reader.is_alive()
            and self._received.count(b"HTTP/1.1 100 ") == known
            and len(self._split_received()[0]) <= number
        ):
            time.sleep(0.002)

    def _read(self) -> None:
        with contextlib.suppress(ConnectionError):
            while data := self._sock.recv(65_536):
                self._received += data

    def _split_received(self) -> tuple[list[tuple[int, str]], bytes]:
        """Return the status and identifier of each complete response, and the bytes behind."""
        responses = []
        rest = self._received.replace(b"HTTP/1.1 100 Continue\r\n\r\n", b"")
        while HEAD_END in rest and len(responses) < len(self.requests):
            head, _, rest = rest.partition(HEAD_END)
            status_line = STATUS_LINE.match(head)
            assert status_line, (self.seed, head[-300:])
            request_id = REQUEST_ID.search(head)[1].decode()
            length = int(CONTENT_LENGTH.search(head)[1])
            if self.requests[len(responses)].lstrip().startswith(b"HEAD "):
                length = 0
            if len(rest) < length:
                return responses, head + HEAD_END + rest
            rest = rest[length:]
            responses.append((int(status_line[1]), request_id))
        return responses, rest


@contextlib.contextmanager
def change_instance(site, seed: int):
    """Change the state of the instance again and again in the background."""
    ended = threading.Event()
    thread = threading.Thread(target=_change, args=(site, random.Random(seed), ended))
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


def _change(site, rng: random.Random, ended: threading.Event) -> None:
    caller_server, account = site.instance.caller_server, site.instance.caller_account
    while not ended.wait(CHANGE_PERIOD_S):
        kind = rng.choice(["tables", "limits", "full", "stop", "close-idle"])
        if kind == "tables":
            site.apply("routes", rng.choice(TABLES))
        elif kind == "limits":
            caller_server.apply_limits(rng.choice(LIMITS))
        elif kind == "full":
            account.change(MAX_HELD_BYTES)
            ended.wait(CHANGE_PERIOD_S)
            account.change(-MAX_HELD_BYTES)
        elif kind == "stop":
            caller_server.announce_close()
            ended.wait(CHANGE_PERIOD_S)
            caller_server._server.stopping = False
        else:
            caller_server.close_idle()


# Guards against an error of the caller's kind, a lost response and one for another request.
@pytest.mark.parametrize("pipelined", [8, 1])
def test_proper_requests_are_served_or_refused_as_not_run(tmp_path, monkeypatch, pipelined):
    monkeypatch.setattr(server, "IDLE_SWEEP_PERIOD_S", 0)
    with open_site(
        tmp_path, max_held_bytes=MAX_HELD_BYTES, pipeline_per_connection=pipelined
    ) as site:
        site.apply("pools", [{"name": "p"}])
        site.apply("routes", TABLES[0])
        upstreams = site.add_upstreams("p", 2, service_ms=1, fixed=True)
        site.instance.caller_server.apply_limits(LIMITS[0])
        address = site.instance.caller_server.address

        def play(seed: int) -> tuple[Connection, list[tuple[int, str]]]:
            connection = Connection(address, seed)
            return connection, connection.play()

        with change_instance(site, pipelined), ThreadPoolExecutor(CALLERS) as executor:
            played = list(executor.map(play, range(CASES)))
        runs = upstreams.count_runs()
    served = 0
    for connection, responses in played:
        statuses = {status for status, _ in responses}
        assert statuses <= {200, 503}, (connection.seed, responses)
        received = [request_id for _, request_id in responses]
        if responses and responses[-1][0] == 503 and NEW_ID.fullmatch(received[-1]):
            received.pop()
        assert received == connection.request_ids[: len(received)], connection.seed
        unanswered = connection.request_ids[len(received) :]
        refused = [request_id for status, request_id in responses if status == 503]
        assert not runs.keys() & {*unanswered, *refused}, (connection.seed, responses)
        served += [status for status, _ in responses].count(200)
    # Most are served, so that the checks above mean something.
    assert served > CASES
