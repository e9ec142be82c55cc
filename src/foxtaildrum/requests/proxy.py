"""WSGI application for callers: routes requests to upstreams and relays responses."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from ..admin.metrics import Meter
from ..balancing.pools import UpstreamPool
from ..clock import read_clock
from ..control.claims import ClaimOutcome, Verdict
from ..fleet.crashes import CrashView
from ..fleet.currency import START_MAX_TABLE_AGE_S
from ..kinds import ERROR_RESPONSES, ErrorKind, Outcome
from ..logs import log_event
from ..organisations.recognition import Decision
from .account import CallerAccount
from .answers import Proof, find_proof
from .averages import RouteAverages
from .callers import QUEUED_TIME_KEY, CallerRequest, read_time_limit
from .confirmations import Confirmations
from .dialects import Dialect
from .dispatch import Dispatch
from .exchange import Exchange
from .forwards import (
    FORWARD_ENVIRON_KEY,
    RESULT_HEADER,
    Forwarder,
    ForwardResult,
)
from .guard import CrashGuard, CrashReporter
from .hedging import NO_HEDGE, HedgeTimes, plan_hedge
from .idempotency import ClaimService, GrantedClaim, compute_request_digest
from .problem import (
    Problem,
    Refusal,
    StartResponse,
    build_problem,
    format_status,
    send_problem,
)
from .quotas import Decision as QuotaDecision
from .quotas import Quotas
from .recognising import RETRY_AFTER_TABLES_S, Recogniser
from .relays import ErrorResponse, TruncatedResponseError, UpstreamResponse
from .routing import REFUSED_METHODS, Router, is_idempotent
from .spools import ResponseSpool
from .stops import StopPlan
from .transport import HOP_BY_HOP_HEADERS
from .view import View

MAX_IDEMPOTENCY_KEY_CHARS = 255
# A request that waited longer than this for a thread is refused as overloaded.
MAX_THREAD_WAIT_S = 0.25
# Longest wait for a slot, as a ratio of the route's latency objective.
MAX_QUEUE_WAIT_RATIO = 0.12
STARTUP_WAIT_S = 0.2
STARTUP_POLL_S = 0.01
MIN_SERVER_ERROR_STATUS = 500

_ERROR_KIND_BY_VERDICT = {
    Verdict.RUNNING: ErrorKind.KEY_RUNNING,
    Verdict.UNKNOWN: ErrorKind.KEY_UNKNOWN,
    Verdict.REUSED: ErrorKind.KEY_REUSED,
    Verdict.UNAVAILABLE: ErrorKind.CLAIM_UNAVAILABLE,
}

_SIZE_KINDS = frozenset({ErrorKind.HEADER_TOO_LARGE, ErrorKind.BODY_TOO_LARGE})

_REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {
    "content-length",
    "expect",
    "x-forwarded-for",
    "x-request-id",
    "foxtaildrum-attempt",
    "foxtaildrum-forward",
}


class Proxy:
    """WSGI application that serves callers.

    Parameters
    ----------
    meter : Meter
        Counts requests.
    access_log : bool
        Whether each request is logged.
    dialect : Dialect or None
        Names and formats on the wire; None uses the default dialect.
    """

    def __init__(self, meter: Meter, access_log: bool, dialect: Dialect | None = None) -> None:
        self.dialect = dialect or Dialect()
        self.sizes = RouteAverages()
        self.durations = RouteAverages()
        self._timeout_environ_key = _get_environ_key(self.dialect.timeout_header)
        idempotency_key_header = self.dialect.idempotency_key_header
        self._idempotency_environ_key = (
            _get_environ_key(idempotency_key_header) if idempotency_key_header else ""
        )
        self._replaced_headers = _REPLACED_HEADERS | {self.dialect.timeout_header.lower()}
        self.view = View(Router([]), {}, is_set=False)
        self.recogniser = Recogniser(self.dialect, self._get_view)
        self.is_open: Callable[[], bool] = _always
        self.is_starting: Callable[[], bool] = _never
        self.list_unready_reasons: Callable[[], list[str]] = list
        self.claims: ClaimService | None = None
        self.confirmations: Confirmations | None = None
        self.account: CallerAccount | None = None
        self.quotas = Quotas()
        self.forwarder: Forwarder | None = None
        self.crash_view = CrashView()
        self.crash_reporter: CrashReporter | None = None
        self.stop_plan: StopPlan | None = None
        self._meter = meter
        self._access_log = access_log

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request of a caller."""
        return self._serve(CallerRequest(environ), start_response)

    def serve_forwarded(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request that another instance forwards."""
        request = CallerRequest(environ)
        request.forward = self.forwarder.parse_header(
            environ.get(FORWARD_ENVIRON_KEY, ""),
            request.method,
            request.target,
            request.request_id,
        )
        if request.forward is None:
            return self._decline_unsigned(request, start_response)
        return self._serve(request, start_response)

    def is_repeatable(self, host: str, path: str, method: str) -> bool:
        """Return whether a request is known to be idempotent, by its route."""
        route = self.view.router.find_route(host, path, method)
        return not isinstance(route, ErrorKind) and is_idempotent(route, method)

    def refuse(self, refusal: Refusal) -> Problem:
        """Return the response to a request of a caller that can't be read or is too large."""
        kind = refusal.kind
        if kind in _SIZE_KINDS:
            # The limits that apply to the request are in the tables.
            kind = self._settle_refusal(read_clock(), self.view, kind)
        return self._build_refusal(refusal, kind)

    def _settle_refusal(self, now: float, view: View, kind: ErrorKind) -> ErrorKind:
        """Return the kind of a refusal by the tables, which is final for a caller.

        Tables that are not known yet, or may have changed since, refuse nothing for good.
        """
        age_s = view.compute_age(now)
        is_recent = age_s is not None and age_s <= START_MAX_TABLE_AGE_S
        return kind if is_recent and self._is_serving() else ErrorKind.NOT_READY

    def refuse_forwarded(self, refusal: Refusal) -> Problem:
        """Return the response to a request of another instance that can't be read here.

        The other instance has read it, by limits of other tables: it may go elsewhere.
        """
        if refusal.kind is ErrorKind.INTERNAL:
            # The application failed, and may have sent the request to an upstream.
            return self._build_refusal(refusal, refusal.kind)
        status, headers, body = self._build_refusal(refusal, ErrorKind.NOT_READY)
        result = ForwardResult("", ErrorKind.NOT_READY, Outcome.NOT_RUN)
        return status, [*headers, (RESULT_HEADER, result.format())], body

    def _build_refusal(self, refusal: Refusal, kind: ErrorKind) -> Problem:
        outcome = ERROR_RESPONSES[kind].outcome
        self._meter.count(f"kinds.{kind}")
        status = self.dialect.get_status(kind, outcome)
        if status < MIN_SERVER_ERROR_STATUS:
            self._meter.count("client_errors.instance")
        log_event(
            "refused_request",
            failed=True,
            request_id=refusal.request_id,
            kind=kind.value,
            status=status,
            reason=refusal.reason,
            origin=refusal.caller,
            **self._describe_state(),
        )
        return build_problem(kind, outcome, refusal.request_id, self.dialect)

    def _describe_state(self) -> dict[str, object]:
        """Return the state of this instance, for the log."""
        view = self.view
        age_s = view.compute_age(read_clock())
        reasons = self.list_unready_reasons()
        if not view.is_set:
            reasons = [*reasons, "no tables have been set"]
        return {
            "version": view.version,
            "index": view.index,
            "state": "; ".join(reasons) or "ready",
            "tables_age_s": _format_age(age_s),
        }

    def _count_refusal(
        self, request: CallerRequest, status: int, headers: list[tuple[str, str]] | None
    ) -> dict[str, object]:
        """Count a 3xx or 4xx response; return who made it, for the log.

        Parameters
        ----------
        headers : list of tuple or None
            Headers of the response of an upstream that is relayed; None if this instance made
            the response.
        """
        if not http.client.MULTIPLE_CHOICES <= status < MIN_SERVER_ERROR_STATUS:
            return {}
        maker: dict[str, object] = {"maker": "instance"}
        counter = "instance"
        if headers is not None:
            proof = find_proof(self.dialect, headers)
            maker = {"maker": "upstream", "proof": proof.value}
            counter = "unproved" if proof is Proof.MISSING else "upstream"
        if request.forward is None:
            # The instance that forwarded the request counts its response.
            self._meter.count(f"client_errors.{counter}")
        return {**maker, **self._describe_state()}

    def _decline_unsigned(
        self, request: CallerRequest, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Decline a request that is not signed with the fleet key, which may be changing."""
        log_event(
            "message_refused",
            peer=request.environ.get("REMOTE_ADDR", ""),
            reason="a forwarded request is not signed with the fleet key",
        )
        result = ForwardResult("", ErrorKind.NOT_READY, Outcome.NOT_RUN)
        return self._send_error(
            request, _add_result(start_response, result), ErrorKind.NOT_READY
        )

    def _serve(self, request: CallerRequest, start_response: StartResponse) -> Iterable[bytes]:
        queued_at = request.environ.get(QUEUED_TIME_KEY, request.arrived_at)
        if read_clock() - queued_at > MAX_THREAD_WAIT_S:
            return self._send_error(request, start_response, ErrorKind.OVERLOADED)
        if not self._wait_until_open():
            return self._send_error(request, start_response, ErrorKind.NOT_READY)
        view = self.view
        decision = self._recognise(request, view)
        if isinstance(decision, Decision) and not decision.is_certain:
            self._wait_for_recent_tables(request)
            view = self.view
            decision = self._recognise(request, view)
        request.version = view.version
        if isinstance(decision, ErrorKind):
            reason = f"host {request.host}"
            if request.method not in REFUSED_METHODS:
                decision = self._settle_refusal(read_clock(), view, decision)
            return self._send_error(request, start_response, decision, reason=reason)
        if decision.refusal is not None:
            return self._send_error(
                request, start_response, decision.refusal, retry_after_s=RETRY_AFTER_TABLES_S
            )
        return self._serve_recognised(request, start_response, view)

    def _recognise(self, request: CallerRequest, view: View) -> Decision | ErrorKind:
        """Set the route and the organisation of a request, and decide on it by a view.

        Returns
        -------
        Decision or ErrorKind
            The decision; the kind of the error if the request has no route.
        """
        forward = request.forward
        if forward is not None and forward.index > view.index:
            # This instance has other tables than those that the request is handled by.
            return Decision(None, ErrorKind.NOT_READY)
        found = view.router.find_route(request.host, request.path, request.method)
        if isinstance(found, ErrorKind):
            request.route = request.organisation = None
            return found
        request.route = found
        now = read_clock()
        decision = self.recogniser.recognise(now, request, view)
        needs_absence = request.states_caller and view.key_table is None
        if needs_absence and self.confirmations is not None:
            self.confirmations.keep_recent(now, view)
        return decision

    def _wait_for_recent_tables(self, request: CallerRequest) -> None:
        """Wait briefly for tables that a request can be decided by for certain."""
        if self.confirmations is None or request.forward is not None:
            # The instance that forwards a request may ask another one.
            return
        time_limit = request.environ.get(self._timeout_environ_key)
        timeout_s = read_time_limit(time_limit, request.route) or 0.0
        is_recent = self.confirmations.wait(
            self.recogniser.limits.key_check_s, request.arrived_at + timeout_s
        )
        self._meter.count("tables.confirmed" if is_recent else "tables.unconfirmed")

    def _serve_recognised(
        self, request: CallerRequest, start_response: StartResponse, view: View
    ) -> Iterable[bytes]:
        """Serve a request whose route and organisation are known."""
        environ = request.environ
        route = request.route
        timeout_text = environ.get(self._timeout_environ_key)
        timeout_s = read_time_limit(timeout_text, route)
        if timeout_s is None:
            reason = f"{self.dialect.timeout_header}: {timeout_text}"
            return self._send_error(
                request, start_response, ErrorKind.BAD_REQUEST, reason=reason
            )
        pool = view.pools.get(_choose_pool(view, request))
        if pool is None:
            return self._send_error(request, start_response, ErrorKind.NO_UPSTREAM)
        idempotent = is_idempotent(route, request.method)
        if not self._admits(read_clock(), request, timeout_s, idempotent):
            kind = ErrorKind.STOPPING if request.forward is None else ErrorKind.NOT_READY
            return self._send_error(request, start_response, kind)
        key = environ.get(self._idempotency_environ_key, "")
        if idempotent or not key or self.claims is None or request.forward is not None:
            return self._dispatch(request, start_response, pool, timeout_s, idempotent, None)
        if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
            reason = f"{self.dialect.idempotency_key_header} is too long"
            return self._send_error(
                request, start_response, ErrorKind.BAD_REQUEST, reason=reason
            )
        return self._claim(request, start_response, pool, timeout_s, key)

    def _admits(
        self, now: float, request: CallerRequest, timeout_s: float, idempotent: bool
    ) -> bool:
        """Return whether a request may be taken, if this instance is stopping."""
        plan = self.stop_plan
        return plan is None or plan.admits(now, request.arrived_at + timeout_s, idempotent)

    def _wait_until_open(self) -> bool:
        """Return whether requests are accepted; wait briefly while the instance starts."""
        deadline = read_clock() + STARTUP_WAIT_S
        while not self._is_serving():
            starting = self.is_starting() or not self.view.is_set
            if not starting or read_clock() >= deadline:
                return False
            time.sleep(STARTUP_POLL_S)
        return True

    def _is_serving(self) -> bool:
        """Return whether this instance knows the routes and may serve from them."""
        return self.is_open() and self.view.is_set

    def _claim(
        self,
        request: CallerRequest,
        start_response: StartResponse,
        pool: UpstreamPool,
        timeout_s: float,
        key: str,
    ) -> Iterable[bytes]:
        if request.organisation is not None:
            # A claim costs a write on a quorum's disks.
            refusal = self.quotas.refuse(read_clock(), request.organisation)
            if refusal is not None:
                return self._send_error(
                    request, start_response, refusal.kind, retry_after_s=refusal.wait_s
                )
        digest = compute_request_digest(
            request.method, request.target, request.environ["wsgi.input"]
        )
        remaining_s = request.arrived_at + timeout_s - read_clock()
        if remaining_s <= 0:
            return self._send_error(request, start_response, ErrorKind.DEADLINE_BEFORE_SEND)
        if request.organisation is not None:
            # Another organisation may use the same key and must not get the response.
            key = f"{request.organisation.name}\n{key}"
        granted_claim, outcome = self.claims.claim(key, digest, remaining_s)
        if outcome.verdict is Verdict.GRANTED:
            return self._dispatch(
                request, start_response, pool, timeout_s, False, granted_claim
            )
        if outcome.verdict is Verdict.DONE:
            return self._replay(request, start_response, outcome)
        kind = _ERROR_KIND_BY_VERDICT[outcome.verdict]
        return self._send_error(request, start_response, kind, ERROR_RESPONSES[kind].outcome)

    def _replay(
        self, request: CallerRequest, start_response: StartResponse, outcome: ClaimOutcome
    ) -> Iterable[bytes]:
        headers = [(name, value) for name, value in outcome.headers]
        headers.append(("Idempotent-Replayed", "true"))
        start_response(format_status(outcome.status), headers)
        latency_s = read_clock() - request.arrived_at
        refusal = self._count_refusal(request, outcome.status, headers)
        self._record(request, outcome.status, False, latency_s, attempts=0, kind="", **refusal)
        return [outcome.body]

    def _dispatch(
        self,
        request: CallerRequest,
        start_response: StartResponse,
        pool: UpstreamPool,
        timeout_s: float,
        idempotent: bool,
        granted_claim: GrantedClaim | None,
    ) -> Iterable[bytes]:
        """Serve a request; one of an organisation needs a permit.

        The instance that the caller is connected to takes the permit.
        """
        permit = None
        if request.organisation is not None and request.forward is None:
            deadline = request.arrived_at + timeout_s
            permit = self.quotas.admit(read_clock(), request.organisation, deadline)
            if permit.kind is not None:
                if granted_claim is not None:
                    granted_claim.complete(ErrorResponse(permit.kind, Outcome.NOT_RUN))
                return self._send_error(
                    request, start_response, permit.kind, retry_after_s=permit.wait_s
                )
        return self._dispatch_admitted(
            request, start_response, pool, timeout_s, idempotent, granted_claim, permit
        )

    def _dispatch_admitted(
        self,
        request: CallerRequest,
        start_response: StartResponse,
        pool: UpstreamPool,
        timeout_s: float,
        idempotent: bool,
        granted_claim: GrantedClaim | None,
        permit: QuotaDecision | None,
    ) -> Iterable[bytes]:
        environ = request.environ
        forward = request.forward
        max_attempts = request.route.max_attempts
        if forward is not None:
            max_attempts = min(max_attempts, forward.attempts_left)
        exchange = Exchange(
            idempotent,
            request.arrived_at + timeout_s,
            self._plan_hedge(request, pool) if idempotent else NO_HEDGE,
            pool,
            max_attempts,
            self.dialect.not_run_statuses,
        )
        outgoing, recognition = self.recogniser.prepare(request, self._replaced_headers)
        dispatch = Dispatch(
            exchange,
            pool,
            outgoing,
            environ.get("waitress.client_disconnected", _never),
            self.dialect,
            CrashGuard(outgoing, self._get_crash_view, self.crash_reporter),
            self._open_spool if environ.get("SERVER_PROTOCOL") == "HTTP/1.0" else None,
            request.priority,
            MAX_QUEUE_WAIT_RATIO * request.route.objective_latency_ms / 1000,
            self.sizes.get(request.route.name),
            self.forwarder,
            forward is not None,
            self.view.index,
            recognition,
        )
        try:
            result = dispatch.run()
        except Exception as error:
            log_event("internal_error", request_id=request.request_id, reason=repr(error))
            result = dispatch.abort()
        if dispatch.hedges:
            self._meter.count("hedges", dispatch.hedges)
        if granted_claim is not None:
            granted_claim.complete(result)
        if permit is not None and not exchange.may_have_run:
            self.quotas.give_back(read_clock(), permit)
        if isinstance(result, ErrorResponse):
            return self._send_error(
                request,
                start_response,
                result.kind,
                result.outcome,
                dispatch.attempts,
                result.retry_after_s,
                dispatch.no_retry_reason,
            )
        return self._send_response(request, start_response, dispatch, result)

    def _get_view(self) -> View:
        return self.view

    def _get_crash_view(self) -> CrashView:
        return self.crash_view

    def _plan_hedge(self, request: CallerRequest, pool: UpstreamPool) -> HedgeTimes:
        objective_s = request.route.objective_latency_ms / 1000
        return plan_hedge(
            pool.compute_hedge_delay(request.arrived_at, objective_s),
            self.durations.get(request.route.name),
            objective_s,
            bool(pool.health_path),
        )

    def _send_response(
        self,
        request: CallerRequest,
        start_response: StartResponse,
        dispatch: Dispatch,
        response: UpstreamResponse,
    ) -> Iterable[bytes]:
        head = response.head
        headers = head.headers
        if not any(name.lower() == "x-request-id" for name, _ in headers):
            headers.append(("X-Request-Id", request.request_id))
        if request.forward is not None:
            leaves = self.dialect.states_draining(head.all_headers)
            result = ForwardResult(dispatch.upstream_id, leaves=leaves)
            headers.append((RESULT_HEADER, result.format()))
        start_response(format_status(head.status, head.reason), headers)
        latency_s = read_clock() - request.arrived_at
        failed = head.status >= MIN_SERVER_ERROR_STATUS
        refusal = self._count_refusal(request, head.status, headers)
        if head.length is not None:
            self.sizes.record(request.route.name, head.length)

        def finish(kind: str) -> None:
            if dispatch.held_s:
                self.durations.record(request.route.name, dispatch.held_s)
            self._record(
                request,
                head.status,
                failed or bool(kind),
                latency_s,
                upstream=dispatch.upstream_id,
                attempts=dispatch.attempts,
                kind=kind,
                **refusal,
            )

        return _TrackedBody(response.body, finish)

    def _open_spool(self) -> ResponseSpool:
        return ResponseSpool(self.account)

    def _send_error(
        self,
        request: CallerRequest,
        start_response: StartResponse,
        kind: ErrorKind,
        outcome: Outcome = Outcome.NOT_RUN,
        attempts: int = 0,
        retry_after_s: float | None = None,
        no_retry_reason: str = "",
        reason: str = "",
    ) -> Iterable[bytes]:
        status = self.dialect.get_status(kind, outcome)
        if request.forward is not None:
            start_response = _add_result(start_response, ForwardResult("", kind, outcome))
        latency_s = read_clock() - request.arrived_at
        failed = status >= MIN_SERVER_ERROR_STATUS
        # Tells a wrong request from one that this instance doesn't know enough to serve.
        state: dict[str, object] = {}
        # Nobody gets the status of a caller who left.
        if kind is ErrorKind.NOT_READY:
            state = {"tables_age_s": _format_age(self.view.compute_age(read_clock()))}
        if not failed and kind is not ErrorKind.CALLER_LEFT:
            state = {"reason": reason or "-", **self._count_refusal(request, status, None)}
        self._record(
            request,
            status,
            failed,
            latency_s,
            attempts=attempts,
            kind=kind.value,
            outcome=outcome.value,
            no_retry=no_retry_reason or "-",
            **state,
        )
        if kind is ErrorKind.CALLER_LEFT:
            # Nothing is sent: the status is for the log alone.
            raise TruncatedResponseError
        return send_problem(
            start_response, kind, outcome, request.request_id, self.dialect, retry_after_s
        )

    def _record(
        self,
        request: CallerRequest,
        status: int,
        failed: bool,
        latency_s: float,
        **fields: Any,
    ) -> None:
        route = request.route.name if request.route else "-"
        if request.forward is None:
            self._meter.record_request(read_clock(), route, status, failed, latency_s)
        else:
            # The instance that forwarded the request counts it.
            self._meter.count("requests.forwarded")
        if request.organisation is not None:
            self.recogniser.record_end(request, fields["kind"], fields.get("outcome", ""))
            fields["organisation"] = request.organisation.name
        if fields["kind"]:
            self._meter.count(f"kinds.{fields['kind']}")
        if fields["attempts"] > 1:
            self._meter.count("attempts.extra", fields["attempts"] - 1)
        if self._access_log:
            version = self.view.version if request.version is None else request.version
            log_event(
                "request",
                failed=failed or bool(fields["kind"]),
                request_id=request.request_id,
                method=request.method,
                path=request.path,
                route=route,
                status=status,
                latency_ms=round(latency_s * 1000, 3),
                origin=request.forward.origin if request.forward else "-",
                **{"version": version, **fields},
            )


class _TrackedBody:
    """Body of a response that reports its end exactly once."""

    __slots__ = ("_chunks", "_finish", "_finished")

    def __init__(self, chunks: Iterator[bytes], finish: Callable[[str], None]) -> None:
        self._chunks = chunks
        self._finish = finish
        self._finished = False

    def __iter__(self) -> _TrackedBody:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._chunks)
        except StopIteration:
            self._report_end("")
            raise
        except TruncatedResponseError:
            self._report_end(ErrorKind.ANSWER_LOST.value)
            raise

    def close(self) -> None:
        close = getattr(self._chunks, "close", None)
        if close is not None:
            close()
        self._report_end(ErrorKind.CALLER_LEFT.value)

    def _report_end(self, kind: str) -> None:
        if not self._finished:
            self._finished = True
            self._finish(kind)


def _format_age(age_s: float | None) -> float:
    """Return an age of the tables for the log; -1 if it is unknown."""
    return -1 if age_s is None else round(age_s, 3)


def _never() -> bool:
    return False


def _always() -> bool:
    return True


def _add_result(start_response: StartResponse, result: ForwardResult) -> StartResponse:
    """Return a function that starts a response with the statement for another instance."""

    def start(status: str, headers: list[tuple[str, str]]) -> object:
        return start_response(status, [*headers, (RESULT_HEADER, result.format())])

    return start


def _choose_pool(view: View, request: CallerRequest) -> str:
    """Choose the pool of a request; keep the choice of the instance that forwards it."""
    route, forward = request.route, request.forward
    if forward is not None and forward.pool in (route.pool, *(s.pool for s in route.split)):
        return forward.pool
    return view.chooser.choose(route)


def _get_environ_key(header: str) -> str:
    return "HTTP_" + header.upper().replace("-", "_")
