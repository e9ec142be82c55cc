"""Matching of requests to routes."""

from __future__ import annotations

from collections.abc import Iterator
from urllib.parse import unquote_to_bytes

from ..kinds import ErrorKind
from ..records import Route

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
IDEMPOTENT_TYPES = frozenset({"safe", "download"})
ANY_HOST = ""
# Routes by their prefix, without its last slash; each with its whole prefix.
_Prefixes = dict[str, list[tuple[str, Route]]]
REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})


class Router:
    """Matches requests to routes by host, longest path prefix and method.

    Routes are indexed by host and path prefix, so a lookup takes one step per path
    segment, regardless of the number of routes.

    Parameters
    ----------
    routes : list of Route
        Rows of the routes table.
    """

    __slots__ = ("_hosts",)

    def __init__(self, routes: list[Route]) -> None:
        self._hosts: dict[str, _Prefixes] = {}
        for route in sorted(routes, key=_get_sort_key):
            prefixes = self._hosts.setdefault(_normalize_host(route.host), {})
            prefix = _decode_path(route.path_prefix)
            prefixes.setdefault(prefix.rstrip("/"), []).append((prefix, route))

    def find_route(self, host: str, path: str, method: str) -> Route | ErrorKind:
        """Return the route of a request, or the kind of error if it has none.

        Parameters
        ----------
        host : str
            Host of the request, with or without a port.
        path : str
            Path of the request, with its percent-encoded bytes decoded as Latin-1.
        method : str
            HTTP method.
        """
        if method in REFUSED_METHODS:
            return ErrorKind.METHOD_NOT_ALLOWED
        refusal = ErrorKind.NO_ROUTE
        for name in (_normalize_host(host), ANY_HOST):
            prefixes = self._hosts.get(name)
            if prefixes is None:
                continue
            for route in _iterate_matches(prefixes, path):
                if not route.methods or method in route.methods:
                    return route
                refusal = ErrorKind.METHOD_NOT_ALLOWED
        return refusal


def is_idempotent(route: Route, method: str) -> bool:
    """Return whether a request on ``route`` is idempotent and may be sent more than once."""
    if route.idempotent is not None:
        return route.idempotent
    if route.type:
        return route.type in IDEMPOTENT_TYPES
    return method in IDEMPOTENT_METHODS


def _get_sort_key(route: Route) -> tuple[int, bool]:
    return (-len(route.path_prefix), not route.methods)


def _iterate_matches(prefixes: _Prefixes, path: str) -> Iterator[Route]:
    end = len(path)
    while end >= 0:
        for prefix, route in prefixes.get(path[:end], ()):
            if path.startswith(prefix):
                yield route
        end = path.rfind("/", 0, end) if end else -1


def _decode_path(path: str) -> str:
    """Return a path as servers decode that of a request: bytes as Latin-1."""
    return unquote_to_bytes(path).decode("latin-1")


def _normalize_host(host: str) -> str:
    """Return a host in lower case, without its port and the dot of a full domain name."""
    name = host.partition("]")[0] + "]" if host.startswith("[") else host.partition(":")[0]
    return name.lower().removesuffix(".")
