"""Fresh load reports, asked of a few upstreams just before one of them is chosen.

Load shifts faster than answers arrive at one instance, so what it remembers says little.
A status check costs an upstream much less than a request that lands on a slow one, and
is paid from a budget of its own.
"""

from __future__ import annotations

import select

from ..requests.dialects import Dialect
from ..requests.transport import Connection, OutgoingRequest, TransportError, read_clock
from .candidates import UpstreamLoad
from .pools import UpstreamPool

SAMPLE_TIMEOUT_S = 0.012
CONNECT_TIMEOUT_S = 0.05


class _Asked:
    """A status check without an answer yet."""

    __slots__ = ("connection", "upstream")

    def __init__(self, upstream: UpstreamLoad, connection: Connection) -> None:
        self.upstream = upstream
        self.connection = connection


class Sampler:
    """Asks upstreams of one pool for their load.

    Parameters
    ----------
    pool : UpstreamPool
        Pool to sample.
    dialect : Dialect
        Reads what an answer reports.
    """

    __slots__ = ("_dialect", "_pool")

    def __init__(self, pool: UpstreamPool, dialect: Dialect) -> None:
        self._pool = pool
        self._dialect = dialect

    def sample(self, excluded: frozenset[str], answer_bytes: float) -> None:
        """Refresh the reports of the upstreams that the pool wants to compare."""
        upstreams = self._pool.choose_samples(read_clock(), excluded, answer_bytes)
        asked = [a for a in map(self._ask, upstreams) if a is not None]
        if asked:
            self._collect(asked)

    def _ask(self, upstream: UpstreamLoad) -> _Asked | None:
        connections = self._pool.get_connections(upstream)
        request = OutgoingRequest(
            "GET", self._pool.health_path, {"Host": upstream.address}, None, 0, ""
        )
        try:
            connection = connections.acquire(read_clock(), CONNECT_TIMEOUT_S, idempotent=True)
        except TransportError:
            self._pool.note_silent(read_clock(), upstream)
            return None
        try:
            connection.send(request, SAMPLE_TIMEOUT_S)
        except TransportError:
            connection.close()
            return None
        return _Asked(upstream, connection)

    def _collect(self, asked: list[_Asked]) -> None:
        poll = select.poll()
        pending = {item.connection.fileno(): item for item in asked}
        for number in pending:
            poll.register(number, select.POLLIN)
        until = read_clock() + SAMPLE_TIMEOUT_S
        while pending:
            # Past the time limit one more look tells an upstream that is silent from an
            # instance that was too busy to read its answer.
            left_s = max(0.0, until - read_clock())
            ready = poll.poll(left_s * 1000)
            if not ready:
                break
            for number, _ in ready:
                poll.unregister(number)
                self._take_answer(pending.pop(number))
        for item in pending.values():
            item.connection.close()
            self._pool.note_silent(read_clock(), item.upstream)

    def _take_answer(self, item: _Asked) -> None:
        connection = item.connection
        until = read_clock() + SAMPLE_TIMEOUT_S
        try:
            head = connection.read_head(SAMPLE_TIMEOUT_S)
            for _ in connection.read_body(until):
                continue
        except TransportError:
            connection.close()
            return
        now = read_clock()
        self._pool.get_connections(item.upstream).release(now, connection)
        named = head.all_headers.get(self._dialect.upstream_id_header, "")
        if named and named != item.upstream.upstream_id:
            self._pool.note_moved(now, item.upstream)
            return
        report = self._dialect.read_load(head.all_headers)
        if report is not None:
            self._pool.note_probe(now, item.upstream, report)
