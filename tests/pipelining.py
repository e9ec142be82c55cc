"""A caller that sends several requests on one connection before it reads the responses."""

from __future__ import annotations

import socket

from .sites import Reply

MAX_CHUNK_LINE = 32
READ_TIMEOUT_S = 20.0


def build_request(target: str, method: str = "GET", **headers: str) -> bytes:
    """Return a request; underscores in the names of headers stand for dashes."""
    lines = [f"{method} {target} HTTP/1.1", "Host: x"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


class PipeliningCaller:
    """One connection, with the responses read in order."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=READ_TIMEOUT_S)
        self._file = self.sock.makefile("rb")

    def send(self, *requests: bytes) -> None:
        self.sock.sendall(b"".join(requests))

    def read_reply(self) -> Reply:
        """Read a response; the status is 0 when it is not complete."""
        try:
            return self._read_reply()
        except (OSError, EOFError):
            return Reply(0, {}, b"")

    def read_replies(self, count: int) -> list[Reply]:
        return [self.read_reply() for _ in range(count)]

    def is_closed(self) -> bool:
        """Return whether the connection ends without a further byte."""
        try:
            return not self._file.read(1)
        except ConnectionError:
            return True

    def close(self) -> None:
        self._file.close()
        self.sock.close()

    def __enter__(self) -> PipeliningCaller:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def _read_reply(self) -> Reply:
        line = self.read_line()
        headers = {}
        while text := self.read_line():
            name, _, value = text.partition(":")
            assert name.lower() not in headers, "a header was sent twice"
            headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding") == "chunked":
            body = b"".join(iter(self._read_chunk, b""))
        else:
            body = self._read_bytes(int(headers["content-length"]))
        return Reply(int(line.split(" ")[1]), headers, body)

    def _read_chunk(self) -> bytes:
        data = self._read_bytes(int(self.read_line(), 16))
        self.read_line()
        return data

    def read_line(self) -> str:
        line = self._file.readline()
        if not line.endswith(b"\r\n"):
            raise EOFError
        return line[:-2].decode("latin-1")

    def _read_bytes(self, count: int) -> bytes:
        data = self._file.read(count)
        if len(data) < count:
            raise EOFError
        return data
