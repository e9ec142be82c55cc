"""Requests that one instance forwards to another, because it cannot reach the pool itself."""

from __future__ import annotations

import contextlib
import hmac
import random
import threading
from collections.abc import Callable, Mapping

from ..balancing.forwarding import Peer, PeerChoice
from ..balancing.linkchecks import LinkMonitor
from ..kinds import ErrorKind, Outcome
from .connections import ConnectionPool
from .problem import OUTCOME_HEADER
from .transport import Adapter, OutgoingRequest, get_adapter

FORWARD_HEADER = "Foxtaildrum-Forward"
FORWARD_ENVIRON_KEY = "HTTP_FOXTAILDRUM_FORWARD"
RESULT_HEADER = "Foxtaildrum-Forward-Result"
# Kinds of error after which another instance may take the request.
DECLINING_KINDS = frozenset({ErrorKind.UPSTREAMS_UNREACHABLE, ErrorKind.NOT_READY})

# Builds that know no organisations send no name, and read no statement that has one.
_FIELD_COUNTS = (5, 6)
_UPSTREAM = "upstream"
_LEAVING = "leaving-upstream"


class Forward:
    """What an instance states about a request that it forwards.

    Parameters
    ----------
    origin : str
        Instance that received the request from its caller.
    pool : str
        Pool that it chose.
    attempts_left : int
        Upstreams to which the request may still be sent.
    index : int
        Index of the change that its tables include last.
    organisation : str
        Name of the organisation whose key the caller sent; empty without one.
    """

    __slots__ = ("attempts_left", "index", "organisation", "origin", "pool")

    def __init__(
        self,
        origin: str,
        pool: str,
        attempts_left: int,
        index: int,
        organisation: str = "",
    ) -> None:
        self.organisation = organisation
        self.origin = origin
        self.pool = pool
        self.attempts_left = attempts_left
        self.index = index

    def format(self, key: bytes, method: str, target: str, request_id: str) -> str:
        """Return the value of the header, signed together with the request."""
        fields = f"{self.origin} {self.pool} {self.attempts_left} {self.index}"
        if self.organisation:
            fields = f"{fields} {self.organisation}"
        return f"{fields} {_sign(key, fields, method, target, request_id)}"

    @classmethod
    def parse(
        cls, value: str, key: bytes, method: str, target: str, request_id: str
    ) -> Forward | None:
        """Return the statement in a header; None if it is malformed or not signed."""
        fields, _, signature = value.rpartition(" ")
        expected = _sign(key, fields, method, target, request_id)
        parts = value.split(" ")
        if len(parts) not in _FIELD_COUNTS or not hmac.compare_digest(
            signature.encode("latin-1"), expected.encode()
        ):
            return None
        with contextlib.suppress(ValueError):
            return cls(parts[0], parts[1], int(parts[2]), int(parts[3]), *parts[4:-1])
        return None


def _sign(key: bytes, fields: str, method: str, target: str, request_id: str) -> str:
    text = "\n".join((fields, method, target, request_id))
    return hmac.digest(key, b"forward" + text.encode("latin-1"), "sha256").hex()


class ForwardResult:
    """What the other instance states about its response.

    Parameters
    ----------
    upstream_id : str
        Upstream that made the response; empty if the instance itself did.
    error_kind : ErrorKind or None
        Why the instance itself made the response.
    outcome : Outcome
        Whether an upstream may have run the request.
    leaves : bool
        Whether the upstream says that it leaves.
    """

    __slots__ = ("error_kind", "leaves", "outcome", "upstream_id")

    def __init__(
        self,
        upstream_id: str = "",
        error_kind: ErrorKind | None = None,
        outcome: Outcome = Outcome.UNKNOWN,
        leaves: bool = False,
    ) -> None:
        self.leaves = leaves
        self.upstream_id = upstream_id
        self.error_kind = error_kind
        self.outcome = outcome

    def format(self) -> str:
        """Return the value of the header."""
        if self.error_kind is not None:
            return self.error_kind
        return f"{_LEAVING if self.leaves else _UPSTREAM} {self.upstream_id}"

    @classmethod
    def parse(cls, headers: Mapping[str, str]) -> ForwardResult | None:
        """Return the statement in the headers of a response; None if there is none."""
        value = headers.get(RESULT_HEADER, "")
        word, _, upstream_id = value.partition(" ")
        if word in (_UPSTREAM, _LEAVING):
            return cls(upstream_id, leaves=word == _LEAVING)
        with contextlib.suppress(ValueError):
            return cls("", ErrorKind(value), Outcome(headers.get(OUTCOME_HEADER, "")))
        return None


class Forwarder:
    """Forwards requests to other instances; safe to share between threads.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    links : LinkMonitor
        Knows which pools this instance cannot reach.
    get_key : callable
        Returns the key that the instances of the fleet share; empty without one.
    """

    def __init__(
        self, instance_id: str, links: LinkMonitor, get_key: Callable[[], bytes]
    ) -> None:
        self._instance_id = instance_id
        self.links = links
        self._get_key = get_key
        self._open_connection: Adapter = get_adapter("http")
        self._lock = threading.Lock()
        self._choice = PeerChoice(random.Random())
        self._connections: dict[str, ConnectionPool] = {}

    def update_peers(self, addresses: dict[str, str]) -> None:
        """Apply the addresses of the other instances, by identifier."""
        with self._lock:
            self._choice.update(addresses)
            gone = self._connections.keys() - set(addresses.values())
            closing = [self._connections.pop(address) for address in gone]
        for connections in closing:
            connections.close()

    def list_addresses(self) -> list[str]:
        """Return the addresses of the other instances."""
        with self._lock:
            return [p.address for p in self._choice.list_peers()]

    def choose(self, now: float, pool: str, excluded: frozenset[str]) -> Peer | None:
        """Choose an instance; None if none takes requests of the pool."""
        with self._lock:
            return self._choice.choose(now, pool, excluded)

    def release(self, peer: Peer) -> None:
        """Record that a forwarded request has ended."""
        with self._lock:
            self._choice.release(peer)

    def record_declined(self, now: float, peer: Peer, pool: str) -> None:
        """Record that an instance did not take a request, or could not be reached."""
        with self._lock:
            self._choice.record_declined(now, peer, pool)

    def record_served(self, peer: Peer, pool: str) -> None:
        """Record that an instance took a request."""
        with self._lock:
            self._choice.record_served(peer, pool)

    def get_connections(self, peer: Peer) -> ConnectionPool:
        """Return the connection pool of an instance."""
        with self._lock:
            pool = self._connections.get(peer.address)
            if pool is None:
                pool = ConnectionPool(peer.address, self._open_connection)
                self._connections[peer.address] = pool
            return pool

    def list_connections(self) -> list[ConnectionPool]:
        """Return the connection pools of all instances that were used."""
        with self._lock:
            return list(self._connections.values())

    def format_header(
        self,
        request: OutgoingRequest,
        pool: str,
        attempts_left: int,
        index: int,
        organisation: str = "",
    ) -> str:
        """Return the header that states what is forwarded."""
        forward = Forward(self._instance_id, pool, attempts_left, index, organisation)
        return forward.format(
            self._get_key(), request.method, request.target, request.request_id
        )

    def parse_header(
        self, value: str, method: str, target: str, request_id: str
    ) -> Forward | None:
        """Return what another instance states; None if it is malformed or not signed."""
        return Forward.parse(value, self._get_key(), method, target, request_id)
