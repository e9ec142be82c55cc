"""Status checks of a few upstreams for fresh load reports just before one is chosen.

Load changes faster than responses arrive at one instance, so its load reports are outdated.
A status check costs much less than a request that is sent to a slow upstream, and has a
separate budget.
"""

from __future__ import annotations

import http.client
import select
from functools import partial

from ..clock import read_clock
from ..logs import log_event
from ..requests.answers import check_identifier
from ..requests.dialects import Dialect
from ..requests.transport import (
    ANSWER_TOO_LARGE,
    Connection,
    Head,
    OutgoingRequest,
    TransportError,
    discard_body,
)
from .candidates import UpstreamLoad
from .pools import UpstreamPool
from .sampling import MAX_ROUNDS, shows_progress

SAMPLE_TIMEOUT_S = 0.012
CONNECT_TIMEOUT_S = 0.02
MAX_SILENT_ROUNDS = 2


class _PendingCheck:
    """A status check that was sent and has no response yet."""

    __slots__ = ("connection", "upstream")

    def __init__(self, upstream: UpstreamLoad, connection: Connection) -> None:
        self.upstream = upstream
        self.connection = connection


class _RoundResult:
    """Result of checking some upstreams at the same time.

    Attributes
    ----------
    answered : bool
        Whether anything was heard from any of them.
    silent : list of UpstreamLoad
        Those of which nothing was heard in time.
    """

    __slots__ = ("answered", "silent")

    def __init__(self) -> None:
        self.answered = False
        self.silent: list[UpstreamLoad] = []


class Sampler:
    """Sends status checks to upstreams of one pool and records the load they report.

    Parameters
    ----------
    pool : UpstreamPool
        Pool to sample.
    dialect : Dialect
        Parses the load reports in responses.

    Attributes
    ----------
    was_silent : bool
        Whether upstreams were checked last and none of them answered.
    """

    __slots__ = ("_dialect", "_pool", "was_silent")

    def __init__(self, pool: UpstreamPool, dialect: Dialect) -> None:
        self._pool = pool
        self._dialect = dialect
        self.was_silent = False

    def sample(self, excluded: frozenset[str], response_bytes: float) -> None:
        """Refresh the load reports of the upstreams that the pool chooses to compare.

        Further upstreams are checked, a few rounds at most, while none of them has a free
        slot and its normal pace. An upstream counts as unresponsive only if others answered:
        if none does, the link of this instance is probably busy.
        """
        if not self._pool.health_path:
            return
        silent: list[UpstreamLoad] = []
        silent_rounds = 0
        self.was_silent = answered = False
        for round_number in range(MAX_ROUNDS):
            upstreams = self._pool.choose_samples(
                read_clock(), excluded, response_bytes, round_number
            )
            result = self._check(upstreams)
            silent += result.silent
            if result.answered:
                self._record_silent(silent)
                silent = []
                answered = True
            else:
                silent_rounds += bool(result.silent)
            self.was_silent = bool(silent) and not answered
            if silent_rounds >= MAX_SILENT_ROUNDS or (round_number and not upstreams):
                return
            if self._pool.has_calm_upstream(read_clock(), excluded):
                return

    def check_slow(self, upstream: UpstreamLoad) -> bool:
        """Return whether an upstream is slow or full, or the only one that does not answer.

        Others are checked with it: they show whether this instance hears from any, and what
        they report helps to choose among them.
        """
        now = read_clock()
        self.was_silent = False
        if upstream.is_unwanted(now) or not self._pool.spend_status_check(now):
            return False
        others = self._pool.choose_samples(now, frozenset({upstream.upstream_id}), 0.0)
        result = self._check([upstream, *others])
        self.was_silent = not result.answered
        if self.was_silent:
            return False
        self._record_silent(result.silent)
        return not shows_progress(read_clock(), upstream)

    def _check(self, upstreams: list[UpstreamLoad]) -> _RoundResult:
        """Check upstreams at the same time."""
        result = _RoundResult()
        checks = []
        for upstream in upstreams:
            check = self._send_check(upstream, result)
            if check is not None:
                checks.append(check)
        if checks:
            self._collect_responses(checks, result)
        return result

    def _record_silent(self, upstreams: list[UpstreamLoad]) -> None:
        now = read_clock()
        for upstream in upstreams:
            self._pool.record_unanswered_check(now, upstream)

    def _send_check(self, upstream: UpstreamLoad, result: _RoundResult) -> _PendingCheck | None:
        connections = self._pool.get_connections(upstream)
        request = OutgoingRequest(
            "GET", self._pool.health_path, {"Host": upstream.address}, None, 0, ""
        )
        try:
            connection = connections.acquire(read_clock(), CONNECT_TIMEOUT_S, idempotent=True)
        except TransportError as error:
            if error.timed_out:
                result.silent.append(upstream)
            else:
                result.answered = True
                self._pool.record_unanswered_check(read_clock(), upstream)
            return None
        if upstream.is_unwanted(read_clock()):
            # A late response that was read first has asked for that, or its zone is evacuated.
            result.answered = True
            connections.release(read_clock(), connection)
            return None
        try:
            connection.send(request, SAMPLE_TIMEOUT_S)
        except TransportError:
            connection.close()
            return None
        return _PendingCheck(upstream, connection)

    def _collect_responses(self, checks: list[_PendingCheck], result: _RoundResult) -> None:
        poll = select.poll()
        pending = {check.connection.fileno(): check for check in checks}
        for descriptor in pending:
            poll.register(descriptor, select.POLLIN)
        deadline = read_clock() + SAMPLE_TIMEOUT_S
        while pending:
            # After the deadline, polls without waiting: a response that arrived in time but
            # was not read because this instance was busy must not count as missing.
            left_s = max(0.0, deadline - read_clock())
            ready = poll.poll(left_s * 1000)
            if not ready:
                break
            result.answered = True
            for descriptor, _ in ready:
                poll.unregister(descriptor)
                self._handle_response(pending.pop(descriptor))
        for check in pending.values():
            connections = self._pool.get_connections(check.upstream)
            handle_head = partial(self._handle_late_head, check.upstream)
            connections.hold_late(read_clock(), check.connection, handle_head)
            result.silent.append(check.upstream)

    def _handle_response(self, check: _PendingCheck) -> None:
        connection = check.connection
        deadline = read_clock() + SAMPLE_TIMEOUT_S
        try:
            head = connection.read_head(SAMPLE_TIMEOUT_S)
            self._check_head(connection, head)
            discard_body(connection, deadline)
        except TransportError as error:
            connection.close()
            if error.reason == ANSWER_TOO_LARGE:
                # Reading it takes time of the request, and of each that checks it again.
                self._pool.record_unanswered_check(read_clock(), check.upstream)
            log_event(
                "status_check_failed",
                failed=True,
                upstream=check.upstream.upstream_id,
                kind=error.kind.value,
                reason=error.reason,
            )
            return
        now = read_clock()
        self._pool.get_connections(check.upstream).release(now, connection)
        answering_id = head.all_headers.get(self._dialect.upstream_id_header, "")
        if answering_id and answering_id != check.upstream.upstream_id:
            self._pool.record_moved(now, check.upstream)
            return
        self._record_rest(now, check.upstream, head)
        self._record_warmup(now, check.upstream, head)
        limit_per_s = self._dialect.read_rate_limit(head.all_headers)
        if limit_per_s is not None:
            self._pool.record_rate_limit(now, check.upstream, limit_per_s, took_permit=False)
        report = self._dialect.read_load(head.all_headers)
        draining = self._dialect.states_draining(head.all_headers)
        self._pool.record_response(now, check.upstream, report, draining)

    def _record_rest(self, now: float, upstream: UpstreamLoad, head: Head) -> None:
        rest_s = self._dialect.read_rest(head.status, head.all_headers)
        if rest_s is not None:
            self._pool.record_rest(now, upstream, rest_s)

    def _record_warmup(self, now: float, upstream: UpstreamLoad, head: Head) -> None:
        """Record the rest of the cold period; a response without it shows a warm upstream."""
        warmups = self._pool.warmups
        if not warmups.is_limited:
            return
        left_s = self._dialect.read_warmup_left(head.all_headers)
        # An error response may come from something in front of the upstream.
        if left_s is not None or head.status < http.client.INTERNAL_SERVER_ERROR:
            warmups.record_check(now, upstream, left_s)

    def _handle_late_head(
        self, upstream: UpstreamLoad, connection: Connection, head: Head
    ) -> None:
        """Record the rest that a late refusal asks for; what else it states is out of date."""
        self._check_head(connection, head)
        self._record_rest(read_clock(), upstream, head)

    def _check_head(self, connection: Connection, head: Head) -> None:
        """Refuse a late copy of an answer to a request: status checks have no identifier."""
        check_identifier(self._dialect, connection, head.all_headers, "")
