"""Admin HTTP interface for operators, upstreams and the platform's load balancer."""

from __future__ import annotations

import hmac
import http.client
import json
import uuid
from collections.abc import Callable, Iterable
from typing import Any

from ..control.desired import DesiredState
from ..control.tables import TABLE_NAMES, Change
from ..exceptions import InvalidTableError, NotConfirmedError
from ..fleet.node_api import ChangeAnswer, NodeApi
from ..requests.problem import StartResponse, format_status
from .exposition import CONTENT_TYPE, format_exposition
from .inputs import (
    AdminError,
    AdminResponse,
    check_upstream_id,
    read_announcement,
    read_if_match,
    read_incarnation,
    read_json,
    read_rows,
)
from .objectives import compute_burn_rates

MAX_CHANGE_ID_LENGTH = 128
DEFAULT_LEASE_S = 15.0
STALE_QUERY = "stale=allow"
JSON_TYPE = "application/json"
METRICS_PATH = "/metrics"

Handler = Callable[["Admin", dict[str, Any], str], AdminResponse]

_HANDLERS: dict[tuple[str, str], Handler] = {}
# Stands for a part in the middle of a path.
_ANY = "{}"


def register_handler(method: str, path: str) -> Callable[[Handler], Handler]:
    """Register the decorated function as the handler of a method and a path.

    A path that ends with ``/`` matches any one further segment. One with ``{}`` matches
    anything in its place, also nothing, so that the handler can tell what is wrong with it.
    """

    def register(function: Handler) -> Handler:
        _HANDLERS[method, path] = function
        return function

    return register


class Admin:
    """Serves the admin interface.

    Parameters
    ----------
    node : NodeApi
        State of the instance.
    operator_token : bytes
        Token that requests on the tables must carry; empty requires none.
    lease_s : float
        Lease of an announcement that names none, in seconds.
    required_fields : tuple of str
        Fields that an announcement must have in addition to those the schema requires.
    availability_zones : frozenset of str
        Availability zones of the deployment; empty when they are not known.
    """

    def __init__(
        self,
        node: NodeApi,
        operator_token: bytes,
        lease_s: float = DEFAULT_LEASE_S,
        required_fields: tuple[str, ...] = (),
        availability_zones: frozenset[str] = frozenset(),
    ) -> None:
        self.node = node
        self.availability_zones = availability_zones
        self.lease_s = lease_s
        self.required_fields = required_fields
        self._token = operator_token

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        try:
            response = self._handle(environ)
        except AdminError as error:
            response = error.response
        return _send_response(start_response, response)

    def replace_token(self, operator_token: bytes) -> None:
        """Require another token from now on."""
        self._token = operator_token

    def check_token(self, environ: dict[str, Any]) -> None:
        """Raise AdminError if the request does not carry the operator token."""
        if not self._token:
            return
        token = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ").strip()
        if not hmac.compare_digest(token.encode("latin-1"), self._token):
            raise AdminError(http.client.UNAUTHORIZED, "The operator token is missing or wrong")

    def _handle(self, environ: dict[str, Any]) -> AdminResponse:
        method = environ["REQUEST_METHOD"]
        path = environ.get("PATH_INFO") or "/"
        matches = _list_matches(path)
        for registered_path, segment in matches:
            handler = _HANDLERS.get((method, registered_path))
            if handler is not None:
                return handler(self, environ, segment)
        registered_paths = [registered_path for registered_path, _ in matches]
        allowed_methods = [m for m, p in _HANDLERS if p in registered_paths]
        if allowed_methods:
            raise AdminError(
                http.client.METHOD_NOT_ALLOWED, f"Use one of {sorted(allowed_methods)}"
            )
        raise AdminError(http.client.NOT_FOUND, "No such page")


def _list_matches(path: str) -> list[tuple[str, str]]:
    """Return the registered paths that match a path, each with the segment in its place."""
    prefix, _, segment = path.rpartition("/")
    matches = [] if _ANY in path else [(path, segment)]
    if segment:
        matches.append((prefix + "/", segment))
    for registered_path in dict.fromkeys(p for _, p in _HANDLERS if _ANY in p):
        start, _, end = registered_path.partition(_ANY)
        is_long_enough = len(path) >= len(start) + len(end)
        if is_long_enough and path.startswith(start) and path.endswith(end):
            matches.append((registered_path, path[len(start) : len(path) - len(end)]))
    return matches


class MetricsPage:
    """Serves only the metrics, on the separate metrics address.

    Parameters
    ----------
    node : NodeApi
        State of the instance.
    """

    def __init__(self, node: NodeApi) -> None:
        self._node = node

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        if environ.get("PATH_INFO") != METRICS_PATH:
            error = AdminError(http.client.NOT_FOUND, f"Only {METRICS_PATH} is served here")
            return _send_response(start_response, error.response)
        return _send_response(start_response, _build_metrics_response(self._node))


@register_handler("GET", "/livez")
def get_liveness(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Report that the process is alive."""
    return AdminResponse(http.client.OK, {"live": True})


@register_handler("GET", "/readyz")
def get_readiness(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Report whether the instance should receive traffic, and if not, why."""
    reasons = admin.node.list_unready_reasons()
    status = http.client.SERVICE_UNAVAILABLE if reasons else http.client.OK
    return AdminResponse(status, {"ready": not reasons, "reasons": reasons})


@register_handler("GET", "/v1/status")
def get_status(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Return the status document of the instance."""
    return AdminResponse(http.client.OK, admin.node.describe_status())


@register_handler("GET", "/v1/report")
def get_report(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Return the service level and the burn rates of each route."""
    levels = [
        {**level, **compute_burn_rates(level)} for level in admin.node.describe_service_levels()
    ]
    return AdminResponse(http.client.OK, {"routes": levels})


@register_handler("GET", METRICS_PATH)
def get_metrics(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Return counters, latencies and gauges in the Prometheus text format."""
    return _build_metrics_response(admin.node)


def get_table(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Return a table, with its version as the ETag."""
    admin.check_token(environ)
    rows, version, current = admin.node.get_table(segment)
    if not current and environ.get("QUERY_STRING") != STALE_QUERY:
        raise AdminError(
            http.client.SERVICE_UNAVAILABLE,
            f"The table is not known to be current; add ?{STALE_QUERY} to read it all the same",
        )
    return AdminResponse(http.client.OK, {segment: rows}, [("ETag", f'"{version}"')])


def put_table(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Replace a table if its version is still the one in ``If-Match``."""
    admin.check_token(environ)
    if_version = read_if_match(environ)
    requested_id = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    change_id = requested_id or uuid.uuid4().hex
    first_submission = not requested_id or environ.get("HTTP_FOXTAILDRUM_SUBMISSION") == "first"
    if len(change_id) > MAX_CHANGE_ID_LENGTH:
        raise AdminError(http.client.BAD_REQUEST, "Idempotency-Key is too long")
    rows = read_rows(environ, segment)
    answer = admin.node.change_table(
        Change(segment, rows, if_version, change_id, first_submission)
    )
    return _build_change_response(segment, answer)


for _name in TABLE_NAMES:
    register_handler("GET", f"/v1/{_name}")(get_table)
    register_handler("PUT", f"/v1/{_name}")(put_table)


@register_handler("GET", "/v1/tables")
def get_tables(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Return the tables and the limits, including every change accepted so far."""
    admin.check_token(environ)
    document = admin.node.read_desired_state()
    if document is None:
        raise AdminError(
            http.client.SERVICE_UNAVAILABLE, "The tables are not known to be current"
        )
    return AdminResponse(http.client.OK, document)


@register_handler("PUT", "/v1/tables")
def put_tables(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Replace the tables and the limits; the operator numbers the version."""
    admin.check_token(environ)
    try:
        desired = DesiredState.from_document(read_json(environ))
    except InvalidTableError as error:
        raise AdminError(
            http.client.UNPROCESSABLE_ENTITY, "Invalid tables", problems=error.list_problems()
        ) from error
    answer = admin.node.change_table(desired)
    document = {"verdict": answer.verdict, "version": answer.version}
    if answer.verdict in ("accepted", "superseded"):
        return AdminResponse(http.client.OK, document)
    if answer.verdict == "conflict":
        document["title"] = f"Version {answer.version} is held with another content"
        return AdminResponse(http.client.CONFLICT, document)
    document["title"] = answer.detail
    return AdminResponse(_find_failure_status(answer), document)


@register_handler("GET", "/v1/organisations")
def get_organisations(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Return the organisations and their requests at this instance, without any key."""
    admin.check_token(environ)
    return AdminResponse(http.client.OK, admin.node.describe_organisations())


@register_handler("PUT", "/v1/upstreams/")
def put_upstream(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Register an upstream or renew its announcement."""
    check_upstream_id(segment)
    announcement = read_announcement(environ, admin.lease_s, admin.required_fields)
    try:
        refusal = admin.node.announce(segment, announcement)
    except NotConfirmedError as error:
        raise AdminError(http.client.SERVICE_UNAVAILABLE, str(error)) from error
    if refusal:
        raise AdminError(http.client.CONFLICT, refusal)
    return AdminResponse(http.client.OK, {"upstream": segment})


@register_handler("DELETE", "/v1/upstreams/")
def delete_upstream(admin: Admin, environ: dict[str, Any], segment: str) -> AdminResponse:
    """Remove an upstream permanently from its pool."""
    check_upstream_id(segment)
    incarnation = read_incarnation(environ)
    known = admin.node.leave(segment, incarnation) if incarnation else admin.node.leave(segment)
    if known is None:
        raise AdminError(
            http.client.SERVICE_UNAVAILABLE, "Too few control instances heard of the leave"
        )
    if not known:
        raise AdminError(http.client.NOT_FOUND, f"No upstream {segment!r} is known")
    return AdminResponse(http.client.OK, {"upstream": segment})


def _build_metrics_response(node: NodeApi) -> AdminResponse:
    page = format_exposition(node.describe_metrics())
    return AdminResponse(http.client.OK, page, text_type=CONTENT_TYPE)


def _build_change_response(table: str, answer: ChangeAnswer) -> AdminResponse:
    etag = [("ETag", f'"{answer.version}"')]
    document = {
        "table": table,
        "verdict": answer.verdict,
        "version": answer.version,
        "changed_by": answer.changed_by,
    }
    if answer.verdict == "accepted":
        return AdminResponse(http.client.OK, document, etag)
    if answer.verdict == "stale":
        document["title"] = (
            f"The table is at version {answer.version}, changed by {answer.changed_by!r}"
        )
        return AdminResponse(http.client.PRECONDITION_FAILED, document, etag)
    if answer.verdict == "invalid":
        document["title"] = "Invalid table"
        document["problems"] = answer.problems
        return AdminResponse(http.client.UNPROCESSABLE_ENTITY, document, etag)
    if answer.verdict == "reused":
        document["title"] = "The change identifier belongs to another change"
        return AdminResponse(http.client.UNPROCESSABLE_ENTITY, document, etag)
    document["title"] = answer.detail
    return AdminResponse(_find_failure_status(answer), document)


def _find_failure_status(answer: ChangeAnswer) -> int:
    if answer.verdict == "too_large":
        return http.client.REQUEST_ENTITY_TOO_LARGE
    return http.client.SERVICE_UNAVAILABLE


def _send_response(start_response: StartResponse, response: AdminResponse) -> Iterable[bytes]:
    if response.text_type:
        body, content_type = response.document, response.text_type
    else:
        body = json.dumps(response.document, indent=2).encode() + b"\n"
        is_problem = response.status >= http.client.BAD_REQUEST
        content_type = "application/problem+json" if is_problem else JSON_TYPE
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(format_status(response.status), headers + response.headers)
    return [body]
