"""Proper requests that must not be refused as wrong, and what the log says of refused ones."""

from __future__ import annotations

import itertools
import json
import logging
import random
import re
import socket

import pytest

from foxtaildrum.records import Limits

from .sites import MAX_BODY_BYTES, open_site
from .standins.processes import pick_port, wait_until

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


def send_raw(site, *parts: bytes, address: str = "") -> bytes:
    """Send the parts one after the other; return all bytes up to the end of the connection."""
    host, port = (address or site.instance.caller_server.address).split(":")
    with socket.create_connection((host, int(port)), 10) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for part in parts:
            sock.sendall(part)
        data = b""
        while received := sock.recv(65536):
            data += received
        return data


def list_statuses(data: bytes) -> list[int]:
    return [int(status) for status in re.findall(rb"HTTP/1\.[01] ([0-9]{3}) ", data)]


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
    assert record.maker == "instance"
    assert record.tables_age_s >= 0


@pytest.mark.parametrize(
    ("name", "lines", "kind"),
    [
        ("malformed", b"Content-Length: x\r\n", "bad_request"),
        ("large-body", b"Content-Length: %d\r\n" % (MAX_BODY_BYTES + 1), "body_too_large"),
        ("large-head", b"X-Large: " + b"h" * 60_000 + b"\r\n", "header_too_large"),
        ("bad-chunks", b"Transfer-Encoding: chunked\r\n", "bad_request"),
    ],
)
def test_a_request_refused_by_the_parser_is_logged_without_its_identifier(
    site, caplog, name, lines, kind
):
    head = b"GET /r/x HTTP/1.1\r\n" + HOST + b"X-Request-Id: " + name.encode() + b"\r\n"
    with caplog.at_level(logging.INFO, "foxtaildrum"):
        answer = send_raw(site, head + lines + CLOSE + b"not a size\r\n")
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


LIMITS = Limits(max_header_bytes=16_384, max_body_bytes=65_536)


@pytest.fixture
def limited_site(site):
    server = site.instance.caller_server
    server.apply_limits(LIMITS)
    yield site
    server.apply_limits(Limits(max_body_bytes=MAX_BODY_BYTES))


def build_head(section_bytes: int, end: bytes = CLOSE) -> bytes:
    """Return the head of a request whose header section has this size."""
    lines = HOST + b"X-Padding: %s\r\n" + end.removesuffix(b"\r\n")
    padding = b"p" * (section_bytes - len(lines) + 2)
    return b"GET /r/" + b"x" * 200 + b" HTTP/1.1\r\n" + lines % padding + b"\r\n"


def split_at(data: bytes, part_bytes: int) -> list[bytes]:
    return [data[n : n + part_bytes] for n in range(0, len(data), part_bytes)]


def build_chunks(content_bytes: int, chunk_bytes: int, extension: bytes = b"") -> bytes:
    parts = split_at(b"b" * content_bytes, chunk_bytes)
    chunks = [b"%x%s\r\n%s\r\n" % (len(part), extension, part) for part in parts]
    return b"".join(chunks) + b"0\r\n\r\n"


@pytest.mark.parametrize("part_bytes", [100_000, 1000])
@pytest.mark.parametrize(("over", "expected"), [(-1, 200), (0, 200), (1, 431)])
def test_a_header_section_as_large_as_the_limit_is_refused(
    limited_site, over, expected, part_bytes
):
    head = build_head(LIMITS.max_header_bytes + over)
    assert list_statuses(send_raw(limited_site, *split_at(head, part_bytes))) == [expected]


def test_a_header_section_as_large_as_the_limit_is_refused_on_a_kept_connection(limited_site):
    first = build_head(LIMITS.max_header_bytes, b"\r\n")
    last = build_head(LIMITS.max_header_bytes)
    assert list_statuses(send_raw(limited_site, first + first + last)) == [200] * 3


@pytest.mark.parametrize(("over", "expected"), [(-1, 200), (0, 200), (1, 413)])
def test_a_body_as_large_as_the_limit_is_refused(limited_site, over, expected):
    size = LIMITS.max_body_bytes + over
    head = b"POST /r/x HTTP/1.1\r\n" + HOST
    with_length = head + b"Content-Length: %d\r\n" % size + CLOSE + b"b" * size
    assert list_statuses(send_raw(limited_site, with_length)) == [expected]
    chunked = head + b"Transfer-Encoding: chunked\r\n" + CLOSE
    for chunk_bytes in (1, 1000, 100_000):
        answer = send_raw(limited_site, chunked, build_chunks(size, chunk_bytes))
        assert list_statuses(answer) == [expected]
        if expected == 200:
            assert b'"body_bytes": %d' % size in answer


def test_endless_framing_of_chunks_is_read_on(limited_site):
    head = b"POST /r/x HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n" + CLOSE
    endless = b"1;" + b"e" * 100_000
    many = build_chunks(1000, 1, b";e=" + b"x" * 100)
    for chunks in (endless, many, b"\r\n" * 50_000):
        assert list_statuses(send_raw(limited_site, head, chunks)) == [400]


OVERSIZE = {
    "body": b"Content-Length: %d\r\n" % (MAX_BODY_BYTES + 1),
    "head": b"X-Large: " + b"h" * 60_000 + b"\r\n",
}


@pytest.mark.parametrize("part", ["body", "head"])
def test_a_request_is_refused_by_size_before_the_limits_are_known(tmp_path, part):
    head = b"POST /r/x HTTP/1.1\r\n" + HOST + b"X-Request-Id: early\r\n"
    with open_site(tmp_path) as site:
        early = send_raw(site, head + OVERSIZE[part] + CLOSE)
        malformed = send_raw(site, head + b"Content-Length: x\r\n" + CLOSE)
        site.apply("routes", [])
        late = send_raw(site, head + OVERSIZE[part] + CLOSE)
    assert list_statuses(early) == [503]
    assert b"Retry-After: " in early
    assert b"Foxtaildrum-Outcome: not-run" in early
    assert list_statuses(malformed) == [400]
    assert list_statuses(late) == [413 if part == "body" else 431]


@pytest.mark.parametrize("part", ["body", "head"])
def test_a_forwarded_request_over_the_limits_here_is_answered_as_run(tmp_path, part):
    with open_site(tmp_path, forward_listen=f"127.0.0.1:{pick_port()}") as site:
        site.apply("routes", [])
        address = site.instance.forward_server.address
        head = b"POST /r/x HTTP/1.1\r\n" + HOST
        answer = send_raw(site, head + OVERSIZE[part] + CLOSE, address=address)
    assert list_statuses(answer) == [503]
    assert b"Foxtaildrum-Forward-Result: not_ready" in answer
    assert b"Foxtaildrum-Outcome: not-run" in answer


def test_a_forwarded_request_whose_application_failed_is_declined_as_not_run(
    tmp_path, monkeypatch
):
    with open_site(tmp_path, forward_listen=f"127.0.0.1:{pick_port()}") as site:
        site.apply("routes", [])
        monkeypatch.setattr(site.instance.proxy.forwarder, "parse_header", None)
        address = site.instance.forward_server.address
        answer = send_raw(site, b"POST /r/x HTTP/1.1\r\n" + HOST + CLOSE, address=address)
    assert list_statuses(answer) == [500]
    assert b"Foxtaildrum-Forward-Result" not in answer
    assert b"Foxtaildrum-Outcome: unknown" in answer


EXPECT = b"Expect: 100-continue\r\n"


@pytest.mark.parametrize("length", [b"", b"Content-Length: 0\r\n"])
def test_a_request_that_expects_to_continue_without_a_body_is_mixed_with_the_next(site, length):
    head = b" /r/x HTTP/1.1\r\n" + HOST
    first = b"GET" + head + length + EXPECT + b"\r\n"
    answer = send_raw(site, first + b"GET" + head + CLOSE)
    assert list_statuses(answer) == [200, 200]
    assert list_statuses(send_raw(site, b"POST" + head + length + EXPECT + CLOSE)) == [200]


def test_a_body_that_is_too_large_is_asked_for(limited_site):
    size = b"Content-Length: %d\r\n" % (LIMITS.max_body_bytes + 1)
    head = b"POST /r/x HTTP/1.1\r\n" + HOST + size + EXPECT + CLOSE
    assert list_statuses(send_raw(limited_site, head)) == [413]


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n"]
)
def test_a_request_that_expects_to_continue_is_never_told_to(site, framing):
    head = b"POST /r/x HTTP/1.1\r\n" + HOST + framing + EXPECT + CLOSE
    body = b"abc" if b"Length" in framing else b"3\r\nabc\r\n0\r\n\r\n"
    assert list_statuses(send_raw(site, head, body)) == [100, 200]


@pytest.mark.parametrize(
    ("line", "target"),
    [
        (b"GET http://a.example/r/a%2Fb?x=%20 HTTP/1.1", "/r/a%2Fb?x=%20"),
        (b"GET HTTP://A.EXAMPLE:80/r/x HTTP/1.1", "/r/x"),
        (b"GET http://user@a.example/r/?u=http://b/ HTTP/1.1", "/r/?u=http://b/"),
        (b"GET http://a.example./r/x#part HTTP/1.0", "/r/x"),
    ],
)
@pytest.mark.parametrize("host", [b"", HOST, b"Host: other\r\n"])
def test_a_target_in_absolute_form_has_no_route_or_is_changed(site, line, target, host):
    answer = send_raw(site, line + b"\r\n" + host + CLOSE)
    assert list_statuses(answer) == [200]
    echo = json.loads(answer.partition(b"\r\n\r\n")[2])
    assert echo["target"] == target
    assert echo["headers"]["host"].lower().startswith("a.example")


@pytest.mark.parametrize(
    "host", [b"A.Example", b"a.example:8080", b"a.example.", b"a.example.:1"]
)
def test_a_request_that_names_its_host_in_another_form_has_no_route(site, host):
    answer = send_raw(site, b"GET /r/x HTTP/1.1\r\nHost: " + host + b"\r\n" + CLOSE)
    assert list_statuses(answer) == [200]


def test_limits_that_later_tables_leave_out_stay_in_force(tmp_path):
    """A limit that the tables don't name is that of the settings."""
    head = b"POST /r/x HTTP/1.1\r\n" + HOST
    body = b"Content-Length: 5000\r\n" + CLOSE + b"b" * 5000
    tables = {
        "pools": [{"name": "p"}],
        "routes": [{"name": "r", "host": "a.example", "path_prefix": "/r/", "pool": "p"}],
    }
    statuses = []
    with open_site(tmp_path) as site:
        site.add_upstreams("p", 1, service_ms=1, fixed=True)
        for number, limits in enumerate(
            ({"max_body_bytes": 4999}, {}, {"max_header_bytes": 1024})
        ):
            site.client.put_tables({**tables, "version": number + 1, "limits": limits})
            assert wait_until(lambda n=number: site.instance.proxy.view.version == n + 1)
            statuses += list_statuses(send_raw(site, head + body))
            statuses += list_statuses(send_raw(site, build_head(2000)))
    assert statuses == [413, 200, 200, 200, 200, 431]


# Guards against a connection that stays open although its caller waits for the end.
@pytest.mark.parametrize(
    "options", [b"Connection: TE, close\r\n", b"Connection: Close,\r\nConnection: TE\r\n"]
)
@pytest.mark.parametrize("count", [1, 2])
def test_a_connection_stays_open_if_close_is_one_of_several_options(site, options, count):
    plain = b"GET /r/x HTTP/1.1\r\n" + HOST
    requests = (plain + b"\r\n") * (count - 1) + plain + b"TE: trailers\r\n" + options
    answer = send_raw(site, requests + b"\r\n")
    assert list_statuses(answer) == [200] * count
    assert answer.count(b"\r\nConnection: close\r\n") == 1


def build_proper_request(rng: random.Random, number: int, last: bool) -> bytes:
    """Return one request as the protocol allows it, in a random form."""
    method = rng.choice([b"GET", b"HEAD", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"])
    path = rng.choice([b"x", b"%41%2F", b"a//b", b";p=1", b"?", b"?q=%20&r", b"p" * 3000, b""])
    host = rng.choice([b"a.example", b"A.EXAMPLE", b"a.example:80", b"a.example."])
    lines = [
        rng.choice([b"Host: ", b"host:", b"HOST: \t"]) + host + rng.choice([b"", b" ", b"\t"]),
        rng.choice([b"X-Request-Id: ", b"x-request-id:"]) + b"proper-%d" % number,
    ]
    if rng.random() < 0.5:
        time_limit = rng.choice([b"5000", b"4999.5", b"5e3", b"99999999"])
        lines.append(b"X-Request-Timeout-Ms: " + time_limit)
    lines += [b"X-%d: %s" % (n, b"v" * rng.randrange(90)) for n in range(rng.randrange(90))]
    content = b"b" * rng.choice([0, 0, 1, 5000]) if method not in (b"GET", b"HEAD") else b""
    body = b""
    form = rng.choice(["length", "chunked", "none"]) if not content else rng.choice("lc")
    if form[0] == "l":
        lines.append(b"Content-Length: %d" % len(content))
        body = content
    elif form[0] == "c":
        lines.append(rng.choice([b"Transfer-Encoding: chunked", b"transfer-encoding:Chunked"]))
        extension = rng.choice([b"", b";e", b';e="q;r"', b";e=1;f"])
        body = build_chunks(len(content), rng.choice([1000, 9000]), extension)
        if rng.random() < 0.3:
            body = body.removesuffix(b"\r\n") + b"X-Trailer: t\r\n\r\n"
    if last:
        lines.append(rng.choice([b"Connection: close", b"connection:Close"]))
    rng.shuffle(lines)
    start = rng.choice([b"", b"http://" + host]) + b"/r/" + path
    head = b"\r\n".join([method + b" " + start + b" HTTP/1.1", *lines])
    return rng.choice([b"", b"", b"\r\n"]) + head + b"\r\n\r\n" + body


@pytest.mark.parametrize("seed", range(40))
def test_a_proper_request_in_some_form_is_refused(site, seed):
    """Several requests at once on one connection, split anywhere."""
    rng = random.Random(seed)
    count = rng.randrange(1, 6)
    data = b"".join(build_proper_request(rng, n, n == count - 1) for n in range(count))
    cuts = sorted(rng.sample(range(1, len(data)), rng.choice([0, 1, 5, 40])))
    parts = [data[a:b] for a, b in itertools.pairwise([0, *cuts, len(data)])]
    assert list_statuses(send_raw(site, *parts)) == [200] * count
