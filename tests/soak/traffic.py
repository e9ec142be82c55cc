"""Callers and an operator that use the site and record what they observe."""

from __future__ import annotations

import http.client
import json
import random
import threading
from collections import Counter

from foxtaildrum.exceptions import AdminRequestError, FoxtaildrumError

from .site import SoakSite

CALLER_TIMEOUT_S = 4.0
PAUSE_S = 0.01
CHANGE_PERIOD_S = 0.3
ORDER_SHARE = 0.3


class RequestRecord:
    """One request and the response that its caller received."""

    __slots__ = ("is_order", "mismatch", "outcome", "request_id", "status")

    def __init__(self, request_id: str, is_order: bool) -> None:
        self.request_id = request_id
        self.is_order = is_order
        self.status = 0
        self.outcome = ""
        self.mismatch = ""


class Callers:
    """Threads that send lookups and orders over keep-alive connections."""

    def __init__(self, site: SoakSite, seed: int, count: int = 4) -> None:
        self._site = site
        self._seed = seed
        self._stopped = threading.Event()
        self.records: list[RequestRecord] = []
        self._threads = [threading.Thread(target=self._run, args=(n,)) for n in range(count)]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def count_outcomes(self) -> dict[str, int]:
        return dict(Counter(f"{r.status} {r.outcome}".strip() for r in self.records))

    def _run(self, number: int) -> None:
        rng = random.Random(f"{self._seed}-caller-{number}")
        connections: dict[str, http.client.HTTPConnection] = {}
        sent = 0
        while not self._stopped.wait(PAUSE_S):
            sent += 1
            listen = self._site.instances[rng.choice(self._site.entry_names)].listen
            record = RequestRecord(f"{number}-{sent}", rng.random() < ORDER_SHARE)
            self.records.append(record)
            connection = connections.get(listen)
            if connection is None:
                host, port = listen.split(":")
                connection = http.client.HTTPConnection(host, int(port), CALLER_TIMEOUT_S)
                connections[listen] = connection
            if not self._send(connection, record):
                connection.close()
                del connections[listen]

    def _send(self, connection: http.client.HTTPConnection, record: RequestRecord) -> bool:
        method, pool = ("POST", "order") if record.is_order else ("GET", "lookup")
        target = f"/{pool}/{record.request_id}"
        body = b"cut" if record.is_order else None
        try:
            connection.request(method, target, body, {"X-Request-Id": record.request_id})
            response = connection.getresponse()
            text = response.read()
        except (OSError, http.client.HTTPException):
            return False
        record.status = response.status
        record.outcome = response.getheader("Foxtaildrum-Outcome") or ""
        if response.status == http.client.OK:
            record.mismatch = _find_mismatch(text, target, record.request_id)
        return not response.will_close


def _find_mismatch(text: bytes, target: str, request_id: str) -> str:
    """Return how a response differs from the expected one; empty when it matches."""
    try:
        document = json.loads(text)
    except ValueError:
        return f"incomplete document: {text[:60]!r}"
    if document["target"] != target or document["headers"]["x-request-id"] != request_id:
        return f"response to {document['target']}"
    return ""


class Operator:
    """Sends desired states and reads them back.

    Attributes
    ----------
    accepted_version : int
        Highest version that was acknowledged.
    violations : list of str
        Reads that returned an older version than one acknowledged before the read.
    """

    def __init__(self, site: SoakSite, seed: int) -> None:
        self._site = site
        self._rng = random.Random(f"{seed}-operator")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.sent_version = 0
        self.accepted_version = 0
        self.violations: list[str] = []

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join()

    def put_next(self) -> bool:
        """Send the next desired state to a control instance; return whether it replied."""
        self.sent_version += 1
        client = self._site.instances[self._rng.choice(self._site.control_names)].client
        try:
            verdict, _ = client.put_tables(build_desired_state(self.sent_version))
        except FoxtaildrumError:
            return False
        if verdict == "accepted":
            self.accepted_version = max(self.accepted_version, self.sent_version)
        return True

    def read(self, name: str) -> int | None:
        """Return the version that ``name`` reads; None when it refuses or does not answer."""
        accepted_before = self.accepted_version
        try:
            number = self._site.instances[name].client.get_tables()["version"]
        except (AdminRequestError, FoxtaildrumError):
            return None
        if number < accepted_before:
            self.violations.append(
                f"{name} returned version {number} after {accepted_before} was acknowledged"
            )
        return number

    def _run(self) -> None:
        while not self._stopped.wait(CHANGE_PERIOD_S):
            self.put_next()
            self.read(self._rng.choice(self._site.control_names))


def build_desired_state(number: int) -> dict:
    """Return the desired state with version ``number``; an unused route makes it unique."""
    routes = [
        {"name": "lookup", "path_prefix": "/lookup/", "type": "safe", "pool": "lookup"},
        {"name": "order", "path_prefix": "/order/", "type": "unsafe", "pool": "order"},
        {"name": f"n{number}", "path_prefix": f"/n{number}/", "type": "safe", "pool": "lookup"},
    ]
    for route in routes:
        route["timeout_ms"] = 2000
    return {
        "version": number,
        "routes": routes,
        "pools": [{"name": "lookup"}, {"name": "order"}],
    }
