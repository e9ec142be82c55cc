"""Matching of requests to routes."""

from __future__ import annotations

from collections.abc import Iterator

from ..kinds import ErrorKind
from ..records import Route

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
IDEMPOTENT_TYPES = frozenset({"safe", "download"})
ANY_HOST = ""
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
        self._hosts: dict[str, dict[str, list[Route]]] = {}
        for route in sorted(routes, key=_get_sort_key):
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes.setdefault(route.path_prefix.rstrip("/"), []).append(route)

    def find_route(self, host: str, path: str, method: str) -> Route | ErrorKind:
        """Return the route of a request, or the kind of error if it has none.

        Parameters
        ----------
        host : str
            Host of the request, with or without a port.
        path : str
            Path of the request.
        method : str
            HTTP method.
        """
        if method in REFUSED_METHODS:
            return ErrorKind.METHOD_NOT_ALLOWED
        refusal = ErrorKind.NO_ROUTE
        for name in (_strip_port(host).lower(), ANY_HOST):
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


def _iterate_matches(prefixes: dict[str, list[Route]], path: str) -> Iterator[Route]:
    end = len(path)
    while end >= 0:
        for route in prefixes.get(path[:end], ()):
            if path.startswith(route.path_prefix):
                yield route
        end = path.rfind("/", 0, end) if end else -1


def _strip_port(host: str) -> str:
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]
