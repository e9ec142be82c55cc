"""Links between one instance and upstreams, which tests can cut."""

from __future__ import annotations

import asyncio
import contextlib
import threading
import time
from collections.abc import Iterable
from enum import Enum

from foxtaildrum.kinds import ErrorKind
from foxtaildrum.requests.opens import OpenAttempts
from foxtaildrum.requests.transport import Connection, TransportError, get_adapter

CHUNK_BYTES = 65536


class Cut(Enum):
    """What a cut does to connections."""

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


class _CutOpenAttempts(OpenAttempts):
    """Attempts to open connections, of which those over cut links fail."""

    __slots__ = ("_cut", "_cut_refused")

    def __init__(self, links: Links, addresses: list[str]) -> None:
        self._cut = links.cut
        cut_addresses = links.addresses if links.cut is not None else set()
        self._cut_refused = [(a, False) for a in addresses if a in cut_addresses]
        super().__init__(a for a in addresses if a not in cut_addresses)

    @property
    def has_pending(self) -> bool:
        return bool(self._cut_refused) or super().has_pending

    def wait(self, timeout_s: float) -> list[tuple[str, bool]]:
        if self._cut is Cut.REFUSE and self._cut_refused:
            refused, self._cut_refused = self._cut_refused, []
            return refused
        return super().wait(timeout_s)


class Links:
    """Links to upstreams; connections pass through a relay of bytes for each address."""

    def __init__(self) -> None:
        self.cut: Cut | None = None
        self.addresses: set[str] = set()
        self.opened = 0
        self._open_http = get_adapter("http")
        self._relays: dict[str, str] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._flowing = asyncio.Event()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._loop.call_soon_threadsafe(self._flowing.set)

    def open(self, address: str, timeout_s: float) -> Connection:
        """Open a connection, as an adapter does."""
        if address not in self.addresses:
            return self._open_http(address, timeout_s)
        if self.cut is Cut.REFUSE:
            raise TransportError(ErrorKind.CONNECT_FAILED)
        if self.cut is not None:
            time.sleep(timeout_s)
            raise TransportError(ErrorKind.CONNECT_FAILED, timed_out=True)
        self.opened += 1
        return self._open_http(self._get_relay(address), timeout_s)

    def open_all(self, addresses: Iterable[str]) -> OpenAttempts:
        """Open connections to several addresses, as a check of the links does."""
        return _CutOpenAttempts(self, list(addresses))

    def set_cut(self, cut: Cut | None) -> None:
        """Cut the links, or restore them with None."""
        self.cut = cut
        self._loop.call_soon_threadsafe(self._apply, cut)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _apply(self, cut: Cut | None) -> None:
        if cut is Cut.HANG:
            self._flowing.clear()
            return
        self._flowing.set()
        if cut is Cut.RESET:
            for writer in self._writers:
                writer.transport.abort()

    def _get_relay(self, address: str) -> str:
        if address not in self._relays:
            future = asyncio.run_coroutine_threadsafe(self._listen(address), self._loop)
            self._relays[address] = future.result()
        return self._relays[address]

    async def _listen(self, address: str) -> str:
        host, _, port = address.rpartition(":")

        async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                upstream_reader, upstream_writer = await asyncio.open_connection(
                    host, int(port)
                )
            except OSError:
                writer.close()
                return
            self._writers |= {writer, upstream_writer}
            await asyncio.gather(
                self._copy(reader, upstream_writer), self._copy(upstream_reader, writer)
            )
            self._writers -= {writer, upstream_writer}

        server = await asyncio.start_server(relay, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._flowing.wait()
                writer.write(chunk)
        writer.close()
