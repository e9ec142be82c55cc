"""Opens connections to several addresses at the same time, only to see which accept them."""

from __future__ import annotations

import contextlib
import errno
import select
import socket
from collections.abc import Callable, Iterable

from ..settings import ADDRESS_ERRORS, parse_address

_ANSWERS = frozenset({0, errno.ECONNREFUSED, errno.ECONNRESET})


class OpenAttempts:
    """Connections that are being opened; each is closed as soon as its result is known.

    Parameters
    ----------
    addresses : iterable of str
        ``IP:PORT`` of each address.
    """

    __slots__ = ("_address_by_fileno", "_poll", "_refused", "_sockets")

    def __init__(self, addresses: Iterable[str]) -> None:
        self._sockets: dict[int, socket.socket] = {}
        self._address_by_fileno: dict[int, str] = {}
        self._refused: list[tuple[str, bool]] = []
        self._poll = select.poll()
        for address in addresses:
            self._open(address)

    @property
    def has_pending(self) -> bool:
        """Whether the result of an attempt is not known yet."""
        return bool(self._sockets or self._refused)

    def wait(self, timeout_s: float) -> list[tuple[str, bool]]:
        """Wait for answers.

        Returns
        -------
        list of tuple
            Address, and whether it accepted the connection; False if it refused it. An
            attempt that failed for another reason, such as a missing route, is no answer.
        """
        results, self._refused = self._refused, []
        if results:
            return results
        for fileno, _ in self._poll.poll(timeout_s * 1000):
            sock = self._sockets.pop(fileno)
            self._poll.unregister(fileno)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            sock.close()
            if code in _ANSWERS:
                results.append((self._address_by_fileno[fileno], code == 0))
        return results

    def close(self) -> None:
        """Give up the attempts without a result."""
        for sock in self._sockets.values():
            sock.close()
        self._sockets.clear()

    def _open(self, address: str) -> None:
        try:
            host, port = parse_address(address)
        except ADDRESS_ERRORS:
            return
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        code = errno.EADDRNOTAVAIL
        with contextlib.suppress(OSError, *ADDRESS_ERRORS):
            code = sock.connect_ex((host, port))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            if code in _ANSWERS:
                self._refused.append((address, False))
            return
        self._sockets[sock.fileno()] = sock
        self._address_by_fileno[sock.fileno()] = address
        self._poll.register(sock.fileno(), select.POLLOUT)


Opener = Callable[[Iterable[str]], OpenAttempts]
