"""Client of the admin interface; the command line uses it."""

from __future__ import annotations

import json
import urllib.parse
from functools import partial
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from ..clock import read_clock
from ..exceptions import AdminRequestError, FieldError, InvalidTableError, StaleVersionError
from ..requests.responses import BoundedResponse

REQUEST_TIMEOUT_S = 15.0
MAX_RESPONSE_BYTES = 67_108_864
READ_BYTES = 65_536


class _Connection(HTTPConnection):
    """Connection whose whole response must arrive in time."""

    def getresponse(self) -> urllib3.HTTPResponse:
        deadline = read_clock() + REQUEST_TIMEOUT_S
        self.response_class = partial(BoundedResponse, deadline=deadline)
        return super().getresponse()


class _ConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class _Response:
    """Response of an instance, read completely.

    Attributes
    ----------
    data : bytes
        Body of the response.
    """

    __slots__ = ("data", "headers", "reason", "status")

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self.status = response.status
        self.reason = response.reason
        self.headers = response.headers
        data = bytearray()
        while part := response.read(READ_BYTES):
            data += part
            if len(data) > MAX_RESPONSE_BYTES:
                response.close()
                detail = f"the response exceeds {MAX_RESPONSE_BYTES} bytes"
                raise AdminRequestError(response.status, detail)
        response.release_conn()
        self.data = bytes(data)


class AdminClient:
    """Reads and changes the state of an instance through its admin interface.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the admin interface.
    token : str
        Operator token; empty sends none.
    """

    def __init__(self, address: str, token: str = "") -> None:
        self._base = f"http://{address}"
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._http = urllib3.PoolManager(timeout=REQUEST_TIMEOUT_S, retries=False)
        self._http.pool_classes_by_scheme = {"http": _ConnectionPool}

    def get_table(self, name: str) -> tuple[list[dict[str, Any]], int]:
        """Return the rows of a table and its version."""
        response = self._request("GET", f"/v1/{name}")
        rows = _read_field(response, name, list)
        version = response.headers.get("ETag", "").strip('"')
        if not (version.isascii() and version.isdigit()):
            raise AdminRequestError(response.status, "the response states no version")
        return rows, int(version)

    def put_table(
        self,
        name: str,
        rows: list[dict[str, Any]],
        if_version: int,
        change_id: str,
        first_submission: bool = False,
    ) -> int:
        """Replace a table and return its new version.

        Parameters
        ----------
        first_submission : bool
            Whether ``change_id`` was never sent before. The server can then report a failed
            change as failed, where a resent change would have an unknown outcome.

        Raises
        ------
        StaleVersionError
            When the table was changed after ``if_version``.
        InvalidTableError
            When the table is invalid.
        """
        headers = {"If-Match": f'"{if_version}"', "Idempotency-Key": change_id}
        if first_submission:
            headers["Foxtaildrum-Submission"] = "first"
        response = self._request("PUT", f"/v1/{name}", {name: rows}, headers)
        if response.status == 412:
            document = json.loads(response.data)
            raise StaleVersionError(document["version"], document["changed_by"])
        if response.status == 422:
            _raise_invalid_table(json.loads(response.data))
        return _read_field(response, "version", int)

    def get_tables(self) -> dict[str, Any]:
        """Return the tables and the limits, including every change accepted so far."""
        return _read_document(self._request("GET", "/v1/tables"), "version")

    def put_tables(self, document: dict[str, Any]) -> tuple[str, int]:
        """Replace the tables and the limits with version ``document["version"]``.

        Returns
        -------
        str
            ``accepted``, or ``superseded`` when the instance has a higher version.
        int
            Version that is now in force.

        Raises
        ------
        StaleVersionError
            When this version exists already with different content.
        InvalidTableError
            When the document is invalid.
        """
        response = self._request("PUT", "/v1/tables", document)
        if response.status == 409:
            current_version = json.loads(response.data)["version"]
            raise StaleVersionError(current_version, "other content under the same version")
        if response.status == 422:
            _raise_invalid_table(json.loads(response.data))
        result = _read_document(response, "verdict", "version")
        return result["verdict"], result["version"]

    def get_organisations(self) -> dict[str, Any]:
        """Return the organisations and their requests at the instance, without any key."""
        return _read_document(self._request("GET", "/v1/organisations"), "in_force")

    def get_zones(self) -> list[dict[str, Any]]:
        """Return the availability zones, including every order accepted so far."""
        return _read_field(self._request("GET", "/v1/zones"), "zones", list)

    def evacuate_zone(self, zone: str) -> None:
        """Order that nothing more be sent to the upstreams in a zone."""
        _read_document(self._request("PUT", _format_evacuation_path(zone)))

    def restore_zone(self, zone: str) -> None:
        """Withdraw the order to evacuate a zone."""
        _read_document(self._request("DELETE", _format_evacuation_path(zone)))

    def announce(self, upstream_id: str, announcement: dict[str, Any]) -> None:
        """Announce an upstream, or renew its announcement."""
        _read_document(self._request("PUT", f"/v1/upstreams/{upstream_id}", announcement))

    def leave(self, upstream_id: str) -> None:
        """Remove an upstream from its pool."""
        _read_document(self._request("DELETE", f"/v1/upstreams/{upstream_id}"))

    def get_status(self) -> dict[str, Any]:
        """Return the status document."""
        return _read_document(self._request("GET", "/v1/status"), "instance", "ready")

    def get_report(self) -> list[dict[str, Any]]:
        """Return the service level of each route."""
        return _read_field(self._request("GET", "/v1/report"), "routes", list)

    def is_ready(self) -> bool:
        """Return whether the instance reports that it is ready."""
        try:
            return self._request("GET", "/readyz").status == 200
        except AdminRequestError:
            return False

    def _request(
        self,
        method: str,
        path: str,
        document: Any = None,
        headers: dict[str, str] | None = None,
    ) -> _Response:
        body = None if document is None else json.dumps(document).encode()
        try:
            response = self._http.request(
                method,
                self._base + path,
                body=body,
                headers={**self._headers, **(headers or {})},
                preload_content=False,
                decode_content=False,
            )
            return _Response(response)
        except urllib3.exceptions.HTTPError as error:
            raise AdminRequestError(0, f"no response from {self._base}: {error}") from error


def _format_evacuation_path(zone: str) -> str:
    return f"/v1/zones/{urllib.parse.quote(zone, safe='')}/evacuation"


def _read_document(response: _Response, *fields: str) -> dict[str, Any]:
    """Return the document in a response.

    Raises
    ------
    AdminRequestError
        If the response is an error, or its document doesn't have the fields that that of an
        instance has.
    """
    try:
        document = json.loads(response.data)
    except ValueError as error:
        raise AdminRequestError(response.status, "the response is not JSON") from error
    if response.status >= 400:
        title = document.get("title") if isinstance(document, dict) else None
        detail = title or response.reason
        raise AdminRequestError(response.status, f"{response.status}: {detail}")
    if not isinstance(document, dict) or not document.keys() >= set(fields):
        raise AdminRequestError(response.status, "the response is not that of an instance")
    return document


def _read_field(response: _Response, name: str, field_type: type) -> Any:
    value = _read_document(response, name)[name]
    if not isinstance(value, field_type):
        raise AdminRequestError(response.status, f"{name} in the response is invalid")
    return value


def _raise_invalid_table(document: dict[str, Any]) -> None:
    problems = document.get("problems") or [
        {"field": document.get("table", "table"), "reason": document.get("title", "invalid")}
    ]
    raise InvalidTableError(
        "invalid table", [FieldError(p["field"], p["reason"]) for p in problems]
    )
