"""Odd numbers in headers of callers and upstreams: none causes an internal error."""

from __future__ import annotations

import contextlib
import json
import socket
import threading

import pytest

from foxtaildrum.balancing.loads import (
    parse_load_figures,
    parse_load_metrics,
    parse_rate_limit,
    parse_rest,
    parse_warmup,
)
from foxtaildrum.control.desired import DesiredState

from .sites import open_site
from .standins.processes import wait_until
from .standins.values import describe

BODY = b"ok"
ODD = ["nan", "inf", "-1", "1e400", "9" * 5_000, "", "\u00ff", "0x1", "1_0"]


class RawUpstream:
    """Upstream that answers each request with the same raw head and a short body."""

    def __init__(self) -> None:
        self.status = 200
        self.length = str(len(BODY))
        self.headers: dict[str, str] = {}
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        # The instance may close a connection whose status check it has given up.
        with sock, contextlib.suppress(ConnectionError):
            data = b""
            while chunk := sock.recv(65_536):
                data += chunk
                if b"\r\n\r\n" not in data:
                    continue
                data = b""
                lines = [f"HTTP/1.1 {self.status} X", f"Content-Length: {self.length}"]
                lines += [f"{name}: {value}" for name, value in self.headers.items()]
                sock.sendall("\r\n".join([*lines, "", ""]).encode("latin-1") + BODY)


@pytest.fixture(scope="module")
def upstream():
    upstream = RawUpstream()
    yield upstream
    upstream.close()


@pytest.fixture(scope="module")
def site(tmp_path_factory, upstream):
    folder = tmp_path_factory.mktemp("responses")
    with open_site(folder, sample_size=2, probes_per_s=1000) as site:
        site.apply("pools", [{"name": "p", "health_path": "/health"}])
        site.apply("routes", [{"name": "r", "pool": "p", "timeout_ms": 2000}])
        site.announce("u", "p", upstream.port)
        assert wait_until(lambda: site.send("GET", "/").status == 200)
        yield site


@pytest.fixture
def answer(upstream):
    """Let the upstream answer with some changes during one test."""

    def change(status: int = 200, length: str = str(len(BODY)), **headers: str) -> None:
        upstream.status, upstream.length = status, length
        upstream.headers = {name.replace("_", "-"): v for name, v in headers.items()}

    yield change
    change()


def is_served(site) -> bool:
    """Return whether a request is served; beside load, the upstream may rest for a while."""
    return wait_until(lambda: site.send("GET", "/").status == 200, 10.0)


def check_works(site) -> None:
    assert is_served(site)
    assert site.client.get_status()["counters"].get("internal_errors", 0) == 0


@pytest.mark.parametrize("odd", ODD, ids=describe)
@pytest.mark.parametrize(
    "name",
    ["endpoint-load-metrics", "X-Upstream-Rate-Limit", "Foxtaildrum-Attempt", "X-Odd"],
)
def test_an_odd_header_of_an_upstream_ends_the_request(site, answer, name, odd):
    value = f"TEXT named_metrics.slots_in_use={odd}" if name.startswith("endpoint") else odd
    if name == "Foxtaildrum-Attempt" and odd:
        # The answer names another attempt than the one that it is due to.
        answer(**{name: odd})
        assert site.send("GET", "/").status in (200, 502, 503)
    else:
        answer(**{name: value})
        assert is_served(site)
    answer()
    check_works(site)


@pytest.mark.parametrize(
    "text", ["[" * 30_000, '{"named_metrics": {"slots_in_use": ' + "9" * 400]
)
def test_an_odd_load_report_ends_the_request(site, answer, text):
    answer(endpoint_load_metrics=f"JSON {text}}}}}")
    assert is_served(site)
    answer()
    check_works(site)


@pytest.mark.parametrize("odd", ODD, ids=describe)
def test_an_odd_retry_after_ends_the_request(site, answer, odd):
    answer(503, Retry_After=odd)
    assert site.send("GET", "/").status == 503
    answer()
    check_works(site)


@pytest.mark.parametrize(
    "odd", ["9" * 5_000, "9" * 19, "-1", "1.5", "\u00ff", "nan"], ids=describe
)
def test_an_odd_length_of_an_answer_ends_the_request_with_an_internal_error(site, answer, odd):
    answer(length=odd)
    assert site.send("GET", "/").status in (0, 502, 503, 504)
    answer()
    check_works(site)


@pytest.mark.parametrize("odd", [*ODD, "9" * 19, "1.5"], ids=describe)
def test_an_odd_timeout_of_a_caller_is_an_internal_error(site, odd):
    status = site.send("GET", "/", {"X-Request-Timeout-Ms": odd.encode("latin-1")}).status
    # A number that is zero, negative or very small is a time that is over.
    assert status in (200, 400, 503, 504)
    check_works(site)


@pytest.mark.parametrize("odd", ["9" * 5_000, "9" * 30, "-1", "nan"], ids=describe)
def test_an_odd_length_of_a_request_stops_the_server(site, odd):
    host, port = site.instance.caller_server.address.split(":")
    with socket.create_connection((host, int(port)), 10) as sock:
        sock.sendall(f"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {odd}\r\n\r\n".encode())
        status = sock.recv(65_536)[9:12]
    assert status in (b"400", b"413", b"")
    check_works(site)


@pytest.mark.parametrize("target", [b"/\xc3\xa9", b"/\xff", b"/%00", b"/%ff%0a", b"/a%ud83d"])
def test_an_odd_target_of_a_request_is_an_internal_error(site, target):
    host, port = site.instance.caller_server.address.split(":")
    with socket.create_connection((host, int(port)), 10) as sock:
        sock.sendall(b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n")
        assert sock.recv(65_536)[9:12] in (b"200", b"400", b"404")
    check_works(site)


@pytest.mark.parametrize("path", ["/\u00e9", "/a b", "/a\nb", "/a\x00", "no slash"])
def test_an_odd_status_check_in_the_tables_ends_each_request(site, path):
    number = site.instance._node.state.tables.desired_number + 1
    rows = {
        "routes": [{"name": "r", "pool": "p", "timeout_ms": 2000}],
        "pools": [{"name": "p", "health_path": path}],
    }
    # Tables of an earlier release, which the admin interface of this one refuses.
    assert site.instance.node_access.change_table(DesiredState(number, rows, {})).version
    assert all(is_served(site) for _ in range(5))
    check_works(site)


ODD_FIGURES = ["nan", "inf", "-1", "1e400", "9" * 5_000, "", "x", "0x1", "1" * 400]


@pytest.mark.parametrize("odd", ODD_FIGURES, ids=describe)
def test_an_odd_load_report_is_taken(odd):
    for value in (f"{odd},0,8", f"1,{odd},8", f"1,0,{odd}"):
        assert parse_load_figures(value) is None
    assert parse_load_figures(f"1,0,8,{odd}") is None
    assert parse_load_metrics(f"TEXT named_metrics.slots_in_use={odd}") is None
    assert parse_load_metrics(f'JSON {{"named_metrics": {{"slots_in_use": {odd}}}}}') is None
    assert parse_rest(odd) is None or odd == "1" * 400


@pytest.mark.parametrize(
    "text",
    [
        "[" * 60_000,
        "[" * 9_000 + "]" * 9_000,
        '{"named_metrics": []}',
        '{"named_metrics": {"slots_in_use": true}}',
        '{"named_metrics": {"slots_in_use": {}}}',
        '{"named_metrics": {"slots_in_use": NaN}}',
        '{"named_metrics": {"slots_in_use": "' + "9" * 5_000 + '"}}',
    ],
    ids=describe,
)
def test_an_odd_load_document_ends_the_request(text):
    assert parse_load_metrics(f"JSON {text}") is None


# Words and forms that float() reads and other languages don't write.
NO_NUMBERS = ["inf", "infinity", "-Infinity", "NaN", "1_0", "\u0661", "1\u00a0", "0x1p3", "1\n"]


# Guards against an upstream that counts as cold for an hour because it stated "infinity", and
# against load of 10 where "1_0" was written.
@pytest.mark.parametrize("text", NO_NUMBERS, ids=describe)
def test_a_word_or_a_form_of_python_is_a_number(text):
    assert parse_load_figures(f"{text},0,8") is None
    assert parse_load_figures(f"1,0,8,{text}") is None
    assert parse_load_metrics(f"TEXT named_metrics.slots_in_use={text}") is None
    document = json.dumps({"named_metrics": {"slots_in_use": text}})
    assert parse_load_metrics(f"JSON {document}") is None
    assert parse_rate_limit(text) is None
    assert parse_rest(text) is None
    assert parse_warmup(text) is None


# Guards against numbers that are refused though servers write them.
@pytest.mark.parametrize("text", ["5", "05", "5.0", "5.", "+5", "0.5e1", "50E-1", " 5", "5 "])
def test_a_number_in_an_unusual_form_is_read(text):
    assert parse_load_figures(f"{text},{text},{text},{text}").slots_in_use == 10.0
    assert parse_load_metrics(f"TEXT named_metrics.slots_in_use={text}").slots_in_use == 5.0
    document = json.dumps({"named_metrics": {"slots_in_use": text}})
    assert parse_load_metrics(f"JSON {document}").slots_in_use == 5.0
    assert parse_rate_limit(text) == 5.0
    assert parse_rest(text) == 5.0
    assert parse_warmup(text) == 0.005
