"""Actor that writes the journals of an instance."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgpack
import pykka

from .journal import Journal
from .logs import log_event
from .node import Write


@dataclass(slots=True)
class Written:
    """A write was synced, or failed."""

    stream: str
    token: int
    failed: bool


class StorageActor(pykka.ThreadingActor):
    """Writes journals, so that a sync does not hold up the node.

    Parameters
    ----------
    journals : dict
        Journals by stream.
    report : callable
        Called with :class:`Written` after each write.
    """

    def __init__(self, journals: dict[str, Journal], report: Callable[[Written], None]) -> None:
        super().__init__()
        self._journals = journals
        self._report = report
        self._failed: set[str] = set()

    def on_receive(self, message: Write) -> None:
        """Perform one write."""
        failed = message.stream in self._failed
        if not failed:
            failed = not self._try_write(message)
        if failed:
            # After a failed sync the content of the file is unknown.
            self._failed.add(message.stream)
        self._report(Written(message.stream, message.token, failed))

    def _try_write(self, message: Write) -> bool:
        journal = self._journals[message.stream]
        packed = [msgpack.packb(record) for record in message.records]
        try:
            if message.replace:
                journal.replace(packed)
            else:
                for record in packed:
                    journal.append(record)
        except OSError as error:
            log_event("disk_failed", stream=message.stream, reason=str(error))
            return False
        return True
