"""What a request is answered with: a response of an upstream, or an error of this instance."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ..kinds import ErrorKind, Outcome
from . import steps
from .spools import ResponseSpool
from .transport import CancelledError, Head, TransportError


class TruncatedResponseError(Exception):
    """Raised to the HTTP server so that it truncates the response to the caller."""


class ErrorResponse:
    """An error response that this instance generates itself.

    Parameters
    ----------
    retry_after_s : float or None
        Time after which the request may succeed, in seconds; None for the usual one of the
        error kind.
    """

    __slots__ = ("kind", "outcome", "retry_after_s")

    def __init__(
        self, kind: ErrorKind, outcome: Outcome, retry_after_s: float | None = None
    ) -> None:
        self.kind = kind
        self.outcome = outcome
        self.retry_after_s = retry_after_s


class UpstreamResponse:
    """An upstream's response that is relayed to the caller.

    Parameters
    ----------
    head : Head
        Status and headers.
    body : iterator of bytes
        Raises :class:`TruncatedResponseError` if the response is truncated.
    buffered_body : bytes or None
        The complete body if it was read before the relay starts.
    """

    __slots__ = ("body", "buffered_body", "head")

    def __init__(
        self, head: Head, body: Iterator[bytes], buffered_body: bytes | None = None
    ) -> None:
        self.head = head
        self.body = body
        self.buffered_body = buffered_body


class StreamedBody:
    """Body that is relayed while it is being received.

    Parameters
    ----------
    end_stream : callable
        Called exactly once with the event that says how the relay ended.
    number : int
        Number of the attempt.
    chunks : iterator of bytes
        Chunks of the body as the transport yields them.
    """

    __slots__ = ("_chunks", "_end_stream", "_ended", "_number")

    def __init__(
        self,
        end_stream: Callable[[steps.Event], None],
        number: int,
        chunks: Iterator[bytes],
    ) -> None:
        self._end_stream = end_stream
        self._number = number
        self._chunks = chunks
        self._ended = False

    def __iter__(self) -> StreamedBody:
        """Return the iterator itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk; raise :class:`TruncatedResponseError` if it is lost."""
        try:
            return next(self._chunks)
        except StopIteration:
            self._end(steps.BodyEnded(self._number))
            raise
        except TransportError as error:
            self._end(steps.BodyFailed(self._number))
            raise TruncatedResponseError from error
        except CancelledError as error:
            self._end(steps.CallerLeft())
            raise TruncatedResponseError from error

    def close(self) -> None:
        """Cancel the request to the upstream unless the body was read completely."""
        self._end(steps.CallerLeft())

    def _end(self, event: steps.Event) -> None:
        if self._ended:
            return
        self._ended = True
        self._end_stream(event)


def read_spooled(body: ResponseSpool | bytes) -> Iterator[bytes]:
    """Yield a body that was read before the relay starts."""
    if isinstance(body, bytes):
        return iter((body,)) if body else iter(())
    return body
