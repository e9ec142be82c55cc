"""HTTP as the stand-ins speak it: byte by byte, so that nothing is mended on the way."""

from __future__ import annotations

import asyncio
import json

MAX_HEAD_BYTES = 65_536


class WireError(OSError):
    """Bytes that are no answer or no request, or an end before they are complete."""


class Answer:
    """An answer as it came; ``framing`` is ``sized``, ``chunked`` or ``closed``."""

    __slots__ = ("body", "framing", "headers", "status")

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers
        self.body = b""
        self.framing = ""


class Connection(asyncio.Protocol):
    """A connection of a caller.

    Attributes
    ----------
    stray : bytes
        Bytes that came while no request was waiting.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.stray = b""
        self.is_ended = False
        self.is_reset = False
        self._buffer = bytearray()
        self._awaited = 0
        self._arrived = asyncio.Event()

    @classmethod
    async def open(cls, address: tuple[str, int]) -> Connection:
        loop = asyncio.get_running_loop()
        _, connection = await asyncio.wait_for(loop.create_connection(cls, *address), 1.0)
        return connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self._awaited:
            self._buffer += data
            self._arrived.set()
        else:
            self.stray += data

    def eof_received(self) -> None:
        self.is_ended = True
        self._arrived.set()

    def connection_lost(self, error: Exception | None) -> None:
        self.is_ended = True
        self.is_reset = error is not None
        self._arrived.set()

    def expect(self, count: int = 1) -> None:
        """Say that requests are sent, so that what comes belongs to their answers."""
        self._awaited += count

    def close(self) -> None:
        self.transport.abort()

    async def read_answer(self) -> Answer:
        """Return the next answer; its bytes are complete as far as its framing says.

        Raises
        ------
        WireError
            When the bytes are no answer, or the connection ends before it is complete.
        """
        answer = await self._read_head()
        while answer.status < 200:
            answer = await self._read_head()
        await self._read_body(answer)
        self._awaited -= 1
        if not self._awaited:
            self.stray += bytes(self._buffer)
            self._buffer.clear()
        return answer

    async def await_continue(self) -> None:
        """Wait for a 1xx; return also when a final answer begins.

        Raises
        ------
        WireError
            When the connection ends before.
        """
        while b"\r\n\r\n" not in self._buffer:
            await self._wait()

    async def _read_body(self, answer: Answer) -> None:
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            answer.framing = "chunked"
            answer.body = await self._read_chunks()
        elif "content-length" in answer.headers:
            answer.framing = "sized"
            answer.body = await self._take(int(answer.headers["content-length"]))
        elif answer.status not in (204, 304):
            answer.framing = "closed"
            answer.body = await self._take_all()

    async def _read_head(self) -> Answer:
        lines = (await self._take_until(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        parts = lines[0].split(" ", 2)
        if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not parts[1].isdigit():
            raise WireError(f"no status line: {lines[0][:60]!r}")
        return Answer(int(parts[1]), parse_headers(lines[1:]))

    async def _read_chunks(self) -> bytes:
        body = bytearray()
        while size := int((await self._take_until(b"\r\n")).split(b";")[0], 16):
            body += await self._take(size)
            await self._take_until(b"\r\n")
        while await self._take_until(b"\r\n"):
            pass
        return bytes(body)

    async def _take(self, size: int) -> bytes:
        while len(self._buffer) < size:
            await self._wait()
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    async def _take_until(self, mark: bytes) -> bytes:
        while (end := self._buffer.find(mark)) < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise WireError("a head without end")
            await self._wait()
        data = bytes(self._buffer[:end])
        del self._buffer[: end + len(mark)]
        return data

    async def _take_all(self) -> bytes:
        while not self.is_ended:
            self._arrived.clear()
            await self._arrived.wait()
        if self.is_reset:
            raise WireError(f"reset after {len(self._buffer)} bytes of a body")
        return await self._take(len(self._buffer))

    async def _wait(self) -> None:
        if self.is_ended:
            raise WireError(f"ended after {bytes(self._buffer[:40])!r}")
        self._arrived.clear()
        await self._arrived.wait()


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Return headers by their names in lower case."""
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return headers


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    document: object = None,
    timeout_s: float = 1.0,
) -> tuple[int, bytes]:
    """Send one call to an instance, on a connection of its own; return status and body.

    Raises
    ------
    OSError
        When there is no complete response in time.
    """
    body = b"" if document is None else json.dumps(document).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address[0]}", "Connection: close"]
    if body:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    connection = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await Connection.open(address)
            connection.expect()
            connection.transport.write("\r\n".join([*lines, "", ""]).encode() + body)
            answer = await connection.read_answer()
            return answer.status, answer.body
    except TimeoutError as error:
        raise OSError("no response in time") from error
    finally:
        if connection is not None:
            connection.close()
