"""Responses to HEAD have no content, whoever makes them."""

from __future__ import annotations

import pytest

from .sites import open_site
from .standins.scripted import Script, ScriptedUpstream
from .test_denied import CLOSE, HOST, list_statuses, send_raw

GET = b"GET /r/x HTTP/1.1\r\n" + HOST + CLOSE
HEAD_LINE = b"HEAD /r/x HTTP/1.1\r\n" + HOST
REFUSED = {
    "by-the-proxy": (HEAD_LINE + b"X-Request-Timeout-Ms: 0\r\n\r\n", 504),
    "without-a-route": (b"HEAD / HTTP/1.1\r\nHost: other\r\n\r\n", 404),
    "by-the-parser": (HEAD_LINE + b"Content-Length: x\r\n\r\n", 400),
    "by-size": (HEAD_LINE + b"X-Large: " + b"h" * 60_000 + b"\r\n\r\n", 431),
    "before-the-end-of-the-head": (HEAD_LINE + b"X-Large: " + b"h" * 90_000, 431),
}


@pytest.fixture(scope="module", params=[8, 1])
def site(tmp_path_factory, request):
    folder = tmp_path_factory.mktemp("head")
    with open_site(folder, pipeline_per_connection=request.param) as site:
        site.apply("pools", [{"name": "p"}, {"name": "chunked"}])
        route = {"name": "r", "host": "a.example", "path_prefix": "/", "pool": "p"}
        chunked = {**route, "name": "c", "path_prefix": "/chunked/", "pool": "chunked"}
        site.apply("routes", [route, chunked])
        site.add_upstreams("p", 1, service_ms=1, fixed=True)
        yield site


def check_response(site, request: bytes, status: int) -> bytes:
    """Check that nothing follows the head but the next response; return the head."""
    head, _, rest = send_raw(site, request + GET).partition(b"\r\n\r\n")
    assert list_statuses(head) == [status]
    if b"Connection: close" in head:
        assert rest == b""
    else:
        assert rest.startswith(b"HTTP/1.1 200 ")
    return head


# Guards against content that a caller reads as the response to its next request.
@pytest.mark.parametrize("name", REFUSED)
def test_a_refused_head_request_gets_no_content(site, name):
    assert b"\r\nContent-Length: " in check_response(site, *REFUSED[name])


# Guards against the last chunk of content that was never begun.
def test_a_response_to_head_in_chunks_has_no_last_chunk(site):
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    upstream = ScriptedUpstream(lambda arrival: Script(chunked))
    try:
        site.announce("chunked", "chunked", upstream.port)
        request = b"HEAD /chunked/x HTTP/1.1\r\n" + HOST + b"\r\n"
        check_response(site, request, 200)
    finally:
        upstream.close()
