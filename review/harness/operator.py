"""The operator, as the protocol page describes it."""

from __future__ import annotations

import json
import time

from .record import Record
from .web import call

NO_ANSWER_S = 1.0
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
FINAL_STATUSES = (400, 409, 412, 413, 422)


class Refused(Exception):
    """An order was refused for good."""


class Operator:
    """Sends each order to one node after the other, until it is acknowledged.

    Parameters
    ----------
    addresses : list of str
        Nodes that serve control, in the order in which they are picked.
    linger_s : float
        Time for which a connection without an answer stays open after the operator has moved on.
    """

    def __init__(self, record: Record, addresses: list[str], linger_s: float = 0.0) -> None:
        self._record = record
        self._addresses = addresses
        self._linger_s = linger_s

    def put_state(self, document: dict) -> float:
        """Send a desired state; return when it was acknowledged."""
        return self._order("PUT", "/v1/tables", document, f"desired state {document['version']}")

    def start_evacuation(self, zone: str) -> float:
        """Order the evacuation of a zone; return when it was acknowledged."""
        path = f"/v1/zones/{zone}/evacuation"
        return self._order("PUT", path, None, f"Evacuate.Start {zone}")

    def end_evacuation(self, zone: str) -> float:
        """Take an evacuation back; return when that was acknowledged."""
        path = f"/v1/zones/{zone}/evacuation"
        return self._order("DELETE", path, None, f"Evacuate.End {zone}")

    def get_state(self) -> dict | None:
        """Return the desired state that some node holds as the newest; None without one."""
        for address in self._addresses * 3:
            try:
                status, body = call(address, "GET", "/v1/tables", None, NO_ANSWER_S)
            except OSError:
                continue
            if status == 200:
                return json.loads(body)
        return None

    def _order(self, method: str, path: str, document: dict | None, label: str) -> float:
        pause_s = FIRST_PAUSE_S
        for address in self._addresses * 4:
            self._record.write(f"operator sends {label} to {address}")
            try:
                status, body = call(
                    address, method, path, document, NO_ANSWER_S, linger_s=self._linger_s
                )
                answer = str(status)
            except OSError as error:
                status, body, answer = 0, b"", repr(error)
            self._record.write(f"operator gets {answer} for {label} from {address}")
            if 200 <= status < 300:
                return time.monotonic()
            if status in FINAL_STATUSES:
                raise Refused(f"{label}: {status} {body[:300]!r}")
            time.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)
        raise Refused(f"{label}: no node acknowledged it")
