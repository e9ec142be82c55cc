"""Header lines of upstreams that are none, that are unusual, or that give an odd length."""

from __future__ import annotations

import pytest

from .sites import Site, open_site
from .standins.scripted import Arrival, Script, ScriptedUpstream
from .test_platform import load_module
from .test_status_lines import check_head, check_named_malformed, describe, send

BODY = b"answer"
CHUNKS = b"6\r\nanswer\r\n0\r\n\r\n"
LENGTH = b"Content-Length: 6"
OTHER_LENGTH = b"Content-Length: 5"
CHUNKED = b"Transfer-Encoding: chunked"

INVALID_LINES = [
    b"X-Odd: a\rSet-Cookie: forged=1",
    b"X-Odd: a\r\rforged",
    b"X-Odd: a\r",
    b"\rX-Odd: a",
    b"X-Odd: a\x00b",
    b"X-Odd: \x01",
    b"X-Odd: a\x0bb",
    b"X-Odd: a\x0cb",
    b"X-Odd: a\x1c\x1d\x1e\x1fb",
    b"X-Odd: \x1b[2J",
    b"X-Odd: a\x7f",
    b"X-Odd: a\r\n b\rSet-Cookie: forged=1",
    b"X-Odd: a\r\n b\x00",
    b"X-Odd\x00: a",
    b"X-Odd\xe9: a",
    b"X Odd: a",
    b"X-Odd : a",
    b": a",
    b"a line without a colon",
    b"From someone",
]

UNUSUAL_LINES = [
    (b"X-Odd:", b"X-Odd: "),
    (b"X-Odd:a", b"X-Odd: a"),
    (b"X-Odd: \t a \t ", b"X-Odd: a"),
    (b"X-Odd: a\tb", b"X-Odd: a\tb"),
    (b"X-Odd: Tr\xe8s \xff", b"X-Odd: Tr\xe8s \xff"),
    (b"X-Odd: a\r\n b", b"X-Odd: a b"),
    (b"X-Odd: a \r\n\t \tb\r\n  c\t", b"X-Odd: a b c"),
    (b"X-Odd:\r\n a", b"X-Odd: a"),
    (b"X-Odd: a\n b", b"X-Odd: a b"),
    (b"x_odd!~: a", b"x_odd!~: a"),
]

ODD_LENGTHS = [
    ([LENGTH, OTHER_LENGTH], BODY),
    ([OTHER_LENGTH, LENGTH], BODY),
    ([b"Content-Length: 6, 5"], BODY),
    ([b"Content-Length: +6"], BODY),
    ([b"Content-Length: 0_6"], BODY),
    ([b"Content-Length: -6"], BODY),
    ([b"Content-Length: 0x6"], BODY),
    ([b"Content-Length: 6.0"], BODY),
    ([b"Content-Length: \xb2"], BODY),
    ([b"Content-Length: 6\xa0"], BODY),
    ([b"Content-Length: \x856"], BODY),
    ([b"Content-Length: 6\x0b"], BODY),
    ([b"Content-Length: 6\r\n 0"], BODY),
    ([b"Content-Length:"], BODY),
    ([CHUNKED, LENGTH], CHUNKS),
    ([CHUNKED, CHUNKED], CHUNKS),
    ([CHUNKED, b"Transfer-Encoding:"], CHUNKS),
    ([CHUNKED + b", identity"], CHUNKS),
    ([b"Transfer-Encoding: xchunked"], CHUNKS),
    ([CHUNKED + b"\xa0"], CHUNKS),
    ([CHUNKED + b"\x0b"], CHUNKS),
    ([CHUNKED + b"\r\n "], CHUNKS),
    ([b"Transfer-Encoding:\r\n chunked"], CHUNKS),
    ([CHUNKED], b"+6\r\nanswer\r\n0\r\n\r\n"),
    ([CHUNKED], b"0x6\r\nanswer\r\n0\r\n\r\n"),
    ([CHUNKED], b"0_6\r\nanswer\r\n0\r\n\r\n"),
    ([CHUNKED], b" 6\r\nanswer\r\n0\r\n\r\n"),
    ([CHUNKED], b"-6\r\nanswer\r\n0\r\n\r\n"),
    ([CHUNKED], b"6\x0b\r\nanswer\r\n0\r\n\r\n"),
    ([CHUNKED], b"\xb2\r\nanswer\r\n0\r\n\r\n"),
    ([CHUNKED], b"\r\nanswer\r\n0\r\n\r\n"),
    ([CHUNKED], b"00000000000000006\r\nanswer\r\n0\r\n\r\n"),
]

UNUSUAL_LENGTHS = [
    ([b"Content-Length:  6 \t"], BODY),
    ([b"Content-Length: 0006"], BODY),
    ([b"Content-Length: 6\r\n "], BODY),
    ([b"transfer-encoding: Chunked"], CHUNKS),
    ([CHUNKED + b" "], CHUNKS),
    ([CHUNKED + b"\t "], CHUNKS),
    ([CHUNKED], b"0006;a=b\r\nanswer\r\n000\r\n\r\n"),
    ([CHUNKED], b"6 \r\nanswer\r\n0\r\nX-Odd: a\x00\r\n\r\n"),
]


def build_answer(lines: list[bytes], body: bytes, arrival: Arrival) -> bytes:
    """Return a response with the identifier, the proof and further header lines."""
    head = [
        b"HTTP/1.1 200 OK",
        b"X-Request-Id: " + arrival.request_id.encode(),
        b"X-Response-Signature: proof",
        *lines,
    ]
    return b"\r\n".join([*head, b"", body])


def describe_case(value: object) -> str:
    return describe(b"+".join(value) if isinstance(value, list) else value)


@pytest.fixture
def start(tmp_path):
    """Return a function that starts an instance and an upstream with one form of response."""
    load_module("dialect")
    upstreams = []
    with open_site(tmp_path, dialect="platform") as site:

        def start(lines: list[bytes], body: bytes = BODY) -> Site:
            site.apply("pools", [{"name": "p"}])
            route = {"name": "p", "path_prefix": "/", "pool": "p", "timeout_ms": 3000}
            site.apply("routes", [route])
            # An end of the connection would make a body without a length look complete.
            upstream = ScriptedUpstream(
                lambda arrival: Script(build_answer(lines, body, arrival), end="fin")
            )
            upstreams.append(upstream)
            fields = {"availability_zone": "", "state": "ready", "sequence": 1}
            site.announce("u-1", "p", upstream.port, **fields)
            return site

        yield start
        for upstream in upstreams:
            upstream.close()


# Guards against bytes that split a head: a carriage return ended a line, so that one header of
# the upstream became two; NUL, ESC and other control characters reached the caller.
@pytest.mark.parametrize("line", INVALID_LINES, ids=describe)
@pytest.mark.parametrize("position", ["first", "last"])
def test_a_header_line_that_is_none_makes_no_answer(start, line, position):
    lines = [line, LENGTH] if position == "first" else [LENGTH, line]
    answer = send(start(lines), "POST")
    assert answer.startswith(b"HTTP/1.1 502 "), answer
    assert b"X-Response-Signature" not in answer
    check_head(answer)


# Guards against a log that doesn't tell why an answer was refused.
@pytest.mark.parametrize("line", INVALID_LINES, ids=describe)
def test_a_header_line_that_is_none_is_named_in_the_log(line):
    answer = b"HTTP/1.1 200 OK\r\n" + line + b"\r\nContent-Length: 0\r\n\r\n"
    check_named_malformed(ScriptedUpstream(lambda arrival: Script(answer)))


# Guards against answers that are lost for lines that RFC 9112 allows, or lets a proxy repair: a
# header that is continued on the next line was answered with 500.
@pytest.mark.parametrize(("line", "relayed"), UNUSUAL_LINES, ids=describe)
@pytest.mark.parametrize("position", ["first", "last"])
def test_an_unusual_header_line_is_relayed(start, line, relayed, position):
    lines = [line, LENGTH] if position == "first" else [LENGTH, line]
    answer = send(start(lines), "POST")
    assert answer.startswith(b"HTTP/1.1 200 "), answer
    assert answer.endswith(b"\r\n\r\n" + BODY)
    head = answer.partition(b"\r\n\r\n")[0].lower().split(b"\r\n")
    assert relayed.lower() in head
    check_head(answer)


# Guards against a length that is read in another way than the caller would read it.
@pytest.mark.parametrize(("lines", "body"), ODD_LENGTHS, ids=describe_case)
def test_an_odd_length_makes_no_answer(start, lines, body):
    answer = send(start(lines, body), "POST")
    assert answer.startswith(b"HTTP/1.1 502 "), answer
    check_head(answer)


# Guards against framing that is relayed as content: with a space after "chunked", the caller
# got the sizes of the chunks in the body of a complete answer.
@pytest.mark.parametrize(("lines", "body"), UNUSUAL_LENGTHS, ids=describe_case)
def test_an_unusual_length_is_read(start, lines, body):
    answer = send(start(lines, body), "POST")
    assert answer.startswith(b"HTTP/1.1 200 "), answer
    head, _, content = answer.partition(b"\r\n\r\n")
    assert content == (CHUNKS if b"chunked" in head.lower() else BODY)
    check_head(answer)
