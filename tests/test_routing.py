"""Matching of requests to routes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.kinds import ErrorKind
from foxtaildrum.records import Route
from foxtaildrum.requests.routing import Router, is_idempotent

SEGMENTS = st.lists(st.sampled_from(["a", "b", "ab", ""]), max_size=4)
PATHS = SEGMENTS.map(lambda parts: "/" + "/".join(parts))
ROUTES = st.lists(
    st.tuples(PATHS, st.sampled_from(["", "h"]), st.sampled_from([(), ("GET",), ("POST",)])),
    max_size=8,
    unique=True,
)


def matches(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


def find_by_linear_search(routes: list[Route], host: str, path: str, method: str):
    """Find the route by trying all of them: the reference for the indexed lookup."""
    found = [r for r in routes if r.host in ("", host) and matches(r.path_prefix, path)]
    allowed = [r for r in found if not r.methods or method in r.methods]
    if not allowed:
        return ErrorKind.METHOD_NOT_ALLOWED if found else ErrorKind.NO_ROUTE
    return max(allowed, key=lambda r: (bool(r.host), len(r.path_prefix), bool(r.methods)))


@given(ROUTES, PATHS, st.sampled_from(["h", "other"]), st.sampled_from(["GET", "POST"]))
def test_the_router_finds_what_a_linear_search_finds(rows, path, host, method):
    routes = [
        Route(name=str(n), pool="p", path_prefix=prefix, host=h, methods=list(methods))
        for n, (prefix, h, methods) in enumerate(rows)
    ]
    found = Router(routes).find_route(host, path, method)
    expected = find_by_linear_search(routes, host, path, method)
    if isinstance(expected, ErrorKind):
        assert found is expected
    else:
        assert (found.path_prefix, found.host, found.methods) == (
            expected.path_prefix,
            expected.host,
            expected.methods,
        )


def test_idempotence_follows_the_route_and_then_the_method():
    assert is_idempotent(Route(name="r", pool="p"), "GET")
    assert not is_idempotent(Route(name="r", pool="p"), "POST")
    assert is_idempotent(Route(name="r", pool="p", idempotent=True), "POST")
    assert not is_idempotent(Route(name="r", pool="p", idempotent=False), "GET")


def test_methods_that_open_tunnels_are_refused():
    router = Router([Route(name="r", pool="p")])
    assert router.find_route("h", "/", "CONNECT") is ErrorKind.METHOD_NOT_ALLOWED


@pytest.mark.parametrize(
    "host", ["a.example", "A.Example", "a.example:8080", "a.example.", "A.EXAMPLE.:80"]
)
@pytest.mark.parametrize("route_host", ["a.example", "A.example."])
def test_a_host_in_another_form_has_no_route(route_host, host):
    router = Router([Route(name="r", pool="p", host=route_host)])
    assert router.find_route(host, "/", "GET").name == "r"
    assert router.find_route(f"b.{host}", "/", "GET") is ErrorKind.NO_ROUTE


@pytest.mark.parametrize(
    ("prefix", "path"),
    [
        ("/a%20b/", "/a b/x"),
        ("/%61/", "/a/x"),
        ("/\u00e9/", "/\u00c3\u00a9/x"),
        ("/%C3%A9", "/\u00c3\u00a9/x"),
    ],
)
def test_a_prefix_with_encoded_bytes_matches_no_path(prefix, path):
    router = Router([Route(name="r", pool="p", path_prefix=prefix)])
    assert router.find_route("h", path, "GET").name == "r"
    assert router.find_route("h", "/b/x", "GET") is ErrorKind.NO_ROUTE
