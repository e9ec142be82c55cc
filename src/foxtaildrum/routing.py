"""Choice of the route for a request."""

from __future__ import annotations

from .kinds import ErrorKind
from .records import Route

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})


class Router:
    """Matches requests to routes by host, longest path prefix and method.

    Parameters
    ----------
    routes : list of Route
        Rows of the routes table.
    """

    __slots__ = ("_ordered",)

    def __init__(self, routes: list[Route]) -> None:
        self._ordered = sorted(routes, key=_rank_route)

    def find_route(self, host: str, path: str, method: str) -> Route | ErrorKind:
        """Return the route of a request, or the kind of its refusal.

        Parameters
        ----------
        host : str
            Host of the request, with or without a port.
        path : str
            Path of the request.
        method : str
            HTTP method.
        """
        name = _strip_port(host).lower()
        method_mismatch = method in REFUSED_METHODS
        if method_mismatch:
            return ErrorKind.METHOD_NOT_ALLOWED
        for route in self._ordered:
            if route.host and route.host.lower() != name:
                continue
            if not _match_prefix(route.path_prefix, path):
                continue
            if not route.methods or method in route.methods:
                return route
            method_mismatch = True
        return ErrorKind.METHOD_NOT_ALLOWED if method_mismatch else ErrorKind.NO_ROUTE


def is_idempotent(route: Route, method: str) -> bool:
    """Return whether a request on ``route`` may be sent more than once."""
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS


def _rank_route(route: Route) -> tuple[bool, int, bool]:
    return (not route.host, -len(route.path_prefix), not route.methods)


def _match_prefix(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


def _strip_port(host: str) -> str:
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]
