"""What the callers of an instance hold: unfinished requests, bodies and unsent responses."""

from __future__ import annotations

import logging
import resource
import threading
from collections import Counter

from ..admin.metrics import Meter
from ..logs import log_event
from ..memory import read_memory_bytes
from ..records import Settings

# Share of the memory of the process that callers may hold if ``max_held_bytes`` is 0.
MEMORY_RATIO = 0.25
# Share of the bound that is left to requests of at most SMALL_REQUEST_BYTES, so that large ones
# never keep ordinary callers out. A caller may exceed the bound while all others hold less.
SPARE_RATIO = 0.125
SMALL_REQUEST_BYTES = 65_536
# Share of the descriptors of the process that may be files of large bodies; the rest is left to
# connections.
FILE_RATIO = 0.25
# Shortest time between two log lines about one limit.
LOG_PERIOD_S = 10.0

# Names of limits in metrics and log lines: the settings that set them.
MAX_HELD_BYTES_LIMIT = "max_held_bytes"
HEADER_TIMEOUT_LIMIT = "header_timeout_ms"
BODY_STALL_LIMIT = "body_stall_s"
WRITE_DEADLINE_LIMIT = "write_deadline_s"
CONNECTIONS_LIMIT = "max_connections"
# Limit of the operating system on open files.
OPEN_FILES_LIMIT = "open_files"


class CallerAccount:
    """Bounds what all callers of an instance hold together.

    Parameters
    ----------
    max_bytes : int
        Maximum size of what callers hold, in bytes.
    max_files : int
        Maximum number of files of bodies.
    meter : Meter
        Counts how often each limit was applied.
    """

    __slots__ = (
        "_files",
        "_held_bytes",
        "_lock",
        "_logged_at",
        "_max_bytes",
        "_max_files",
        "_meter",
        "_unlogged",
    )

    def __init__(self, max_bytes: int, max_files: int, meter: Meter) -> None:
        self._max_bytes = max_bytes
        self._max_files = max_files
        self._files = 0
        self._meter = meter
        self._lock = threading.Lock()
        self._held_bytes = 0
        self._unlogged: Counter[str] = Counter()
        self._logged_at: dict[str, float] = {}

    @classmethod
    def from_settings(cls, settings: Settings, meter: Meter) -> CallerAccount:
        """Return the account of an instance; a bound of 0 is derived from the memory."""
        memory_bytes = settings.memory_bytes or read_memory_bytes()
        max_bytes = settings.max_held_bytes or int(MEMORY_RATIO * memory_bytes)
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return cls(max_bytes, max(1, int(FILE_RATIO * max_descriptors)), meter)

    @property
    def held_bytes(self) -> int:
        """Size of what callers hold, in bytes."""
        return self._held_bytes

    @property
    def is_full(self) -> bool:
        """Whether nothing more may be held."""
        return self._held_bytes >= self._max_bytes

    def admits(self, size: int, own_bytes: int = 0) -> bool:
        """Return whether a caller may hold more.

        A caller may exceed the bound if the others hold at most ``SPARE_RATIO`` of it: a single
        request is limited by its own limits alone.

        Parameters
        ----------
        size : int
            Size of what is added, in bytes.
        own_bytes : int
            Size of what the request or response holds already, in bytes.
        """
        spare_bytes = SPARE_RATIO * self._max_bytes
        is_small = own_bytes + size <= SMALL_REQUEST_BYTES
        bound = self._max_bytes if is_small else self._max_bytes - spare_bytes
        held_bytes = self._held_bytes
        return held_bytes + size <= bound or held_bytes - own_bytes <= spare_bytes

    def hold(self, size: int, own_bytes: int = 0) -> bool:
        """Add to what is held if it is admitted; return whether it was."""
        with self._lock:
            admitted = self.admits(size, own_bytes)
            if admitted:
                self._held_bytes += size
            return admitted

    def hold_within_bound(self, size: int) -> bool:
        """Add to what is held if the bound admits it; return whether it was added.

        Unlike with :meth:`hold`, a single holder may not exceed the bound, and the share that
        is left to small requests stays free.
        """
        with self._lock:
            admitted = self._held_bytes + size <= (1 - SPARE_RATIO) * self._max_bytes
            if admitted:
                self._held_bytes += size
            return admitted

    def change(self, size: int) -> None:
        """Add to what is held without a check; a negative size releases."""
        with self._lock:
            self._held_bytes += size

    def hold_file(self) -> bool:
        """Add the file of a body; return whether it was admitted."""
        with self._lock:
            admitted = self._files < self._max_files
            self._files += admitted
            return admitted

    def release_file(self) -> None:
        """Take the file of a body off the account."""
        with self._lock:
            self._files -= 1

    def report(self, now: float, limit: str) -> None:
        """Count that a limit was applied to a caller; log it at a bounded rate."""
        self._meter.count(f"callers.limited.{limit}")
        with self._lock:
            self._unlogged[limit] += 1
            if now - self._logged_at.get(limit, float("-inf")) < LOG_PERIOD_S:
                return
            self._logged_at[limit] = now
            count = self._unlogged.pop(limit)
        log_event(
            "callers_limited",
            level=logging.WARNING,
            failed=True,
            limit=limit,
            callers=count,
            held_bytes=self._held_bytes,
            max_held_bytes=self._max_bytes,
        )
