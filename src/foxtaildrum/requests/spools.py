"""Responses that are read completely before they are relayed."""

from __future__ import annotations

from collections.abc import Iterator

from ..clock import read_clock
from ..kinds import ErrorKind
from .account import MAX_HELD_BYTES_LIMIT, OPEN_FILES_LIMIT, CallerAccount
from .transport import CHUNK_BYTES, TransportError

# A longer response is kept in a file.
MEMORY_BYTES = CHUNK_BYTES

# Why a response is refused, for the log.
SPOOL_FULL = "spool_full"


class ResponseSpool:
    """Body of a response, kept until it is relayed or dropped.

    The upstream alone decides how long the body is, so that, unlike a request, a body may not
    exceed the bound of the account.

    Parameters
    ----------
    account : CallerAccount
        Bounds what is kept, together with what callers hold.

    Attributes
    ----------
    length : int
        Size of what is kept, in bytes.
    """

    __slots__ = ("_account", "_file", "_holds_file", "length")

    def __init__(self, account: CallerAccount) -> None:
        # Imported on use: the module is large and only HTTP/1.0 callers need it.
        import tempfile

        self._account = account
        self._file = tempfile.SpooledTemporaryFile(max_size=MEMORY_BYTES)  # noqa: SIM115
        self._holds_file = False
        self.length = 0

    def fill(self, chunks: Iterator[bytes]) -> None:
        """Keep a body.

        Raises
        ------
        TransportError
            If the body is incomplete, or longer than the account or the disk allows.
        """
        try:
            for chunk in chunks:
                self._hold(len(chunk))
                self._file.write(chunk)
        except OSError as error:
            self.close()
            raise TransportError(ErrorKind.ANSWER_INVALID, reason=SPOOL_FULL) from error
        except BaseException:
            self.close()
            raise
        self._file.seek(0)

    def __iter__(self) -> Iterator[bytes]:
        """Return the iterator itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next part of the body."""
        part = self._file.read(CHUNK_BYTES)
        if not part:
            self.close()
            raise StopIteration
        return part

    def close(self) -> None:
        """Delete the body and take it off the account."""
        if self._file.closed:
            return
        self._file.close()
        self._account.change(-self.length)
        if self._holds_file:
            self._account.release_file()

    def __del__(self) -> None:
        """Delete a body that nobody relays: another attempt is relayed, or the caller left."""
        self.close()

    def _hold(self, size: int) -> None:
        if not self._account.hold_within_bound(size):
            self._refuse(MAX_HELD_BYTES_LIMIT)
        self.length += size
        if self.length > MEMORY_BYTES and not self._holds_file:
            self._holds_file = self._account.hold_file()
            if not self._holds_file:
                self._refuse(OPEN_FILES_LIMIT)

    def _refuse(self, limit: str) -> None:
        self._account.report(read_clock(), limit)
        raise TransportError(ErrorKind.ANSWER_INVALID, reason=SPOOL_FULL)
