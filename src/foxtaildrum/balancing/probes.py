"""Probes of load endpoints, for pools whose responses do not report load.

A probe costs an upstream some milliseconds. It is therefore sent only in pools with a load
path, to the upstream with the oldest report, and within the measuring budget.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from ..admin.metrics import Meter
from ..clock import read_clock
from ..isolation import run_isolated
from ..requests.answers import check_identifier
from ..requests.dialects import Dialect
from ..requests.transport import OutgoingRequest, TransportError, discard_body
from .candidates import UpstreamLoad
from .loads import LoadReport
from .pools import UpstreamPool

PROBE_PERIOD_S = 0.05
IDLE_PERIOD_S = 2.0
PROBE_TIMEOUT_S = 0.5


class Prober:
    """Sends the probes of one instance from a dedicated thread.

    Parameters
    ----------
    list_pools : callable
        Returns the current pools.
    meter : Meter
        Counts probes.
    dialect : Dialect
        Parses the load reports in responses.
    """

    def __init__(
        self,
        list_pools: Callable[[], Iterable[UpstreamPool]],
        meter: Meter,
        dialect: Dialect,
    ) -> None:
        self._list_pools = list_pools
        self._dialect = dialect
        self._meter = meter
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="probes", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()

    def _run(self) -> None:
        period_s = IDLE_PERIOD_S
        while not self._stopped.wait(period_s):
            pools: list[UpstreamPool] = []
            run_isolated("probes", self._meter, self._probe_pools, pools)
            period_s = PROBE_PERIOD_S if pools else IDLE_PERIOD_S

    def _probe_pools(self, pools: list[UpstreamPool]) -> None:
        """Probe the pools that have a load path, and add them to ``pools``."""
        pools += [pool for pool in self._list_pools() if pool.load_path]
        for pool in pools:
            target = pool.choose_probe(read_clock())
            if target is not None:
                self._probe(pool, target)

    def _probe(self, pool: UpstreamPool, upstream: UpstreamLoad) -> None:
        self._meter.count("probes")
        try:
            report = _request_load(pool, upstream, self._dialect)
        except TransportError:
            self._meter.count("probes.failed")
            return
        if report is not None:
            # A probe holds no slot, unlike a request whose response reports load.
            pool.record_probe(read_clock(), upstream, report)


def _request_load(
    pool: UpstreamPool, upstream: UpstreamLoad, dialect: Dialect
) -> LoadReport | None:
    connections = pool.get_connections(upstream)
    connection = connections.acquire(read_clock(), PROBE_TIMEOUT_S, idempotent=True)
    if upstream.is_unwanted(read_clock()):
        connections.release(read_clock(), connection)
        return None
    request = OutgoingRequest("GET", pool.load_path, {"Host": upstream.address}, None, 0, "")
    try:
        connection.send(request, PROBE_TIMEOUT_S)
        head = connection.read_head(PROBE_TIMEOUT_S)
        check_identifier(dialect, connection, head.all_headers, "")
        discard_body(connection, read_clock() + PROBE_TIMEOUT_S)
    except TransportError:
        connection.close()
        raise
    connections.release(read_clock(), connection)
    return dialect.read_load(head.all_headers)
