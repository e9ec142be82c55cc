"""Frames between instances: length, authentication code, message.

A connection carries messages one way. It opens with one signed greeting in each
direction; both nonces make the key of the connection, and the code of each frame covers
its position, so a frame cannot be replayed, reordered or moved to another connection.
"""

from __future__ import annotations

import hmac
import struct

import msgpack

from ..exceptions import FrameError
from .messages import Message, decode_message, encode_message

VERSION = 1
NONCE_BYTES = 16
MAC_BYTES = 16
MAX_GREETING_BYTES = 256
MAX_FRAME_BYTES = 4 * 1024 * 1024

_LENGTH = struct.Struct(">I")
_POSITION = struct.Struct(">Q")
_HEADER_BYTES = _LENGTH.size + MAC_BYTES


class Greeting:
    """First frame of a connection in each direction."""

    __slots__ = ("instance_id", "nonce")

    def __init__(self, instance_id: str, nonce: bytes) -> None:
        self.instance_id = instance_id
        self.nonce = nonce


def pack_greeting(fleet_key: bytes, greeting: Greeting, answered_nonce: bytes) -> bytes:
    """Return a signed greeting.

    Parameters
    ----------
    answered_nonce : bytes
        Nonce of the greeting that this one answers; empty for the first.
    """
    payload = msgpack.packb([VERSION, greeting.instance_id, greeting.nonce])
    return _pack(_sign(fleet_key, b"greeting" + answered_nonce, payload), payload)


def unpack_greeting(
    fleet_key: bytes, payload: bytes, mac: bytes, answered_nonce: bytes
) -> Greeting:
    """Check and decode a greeting.

    Raises
    ------
    FrameError
        When it is malformed, of another version or wrongly signed.
    """
    _verify(fleet_key, b"greeting" + answered_nonce, payload, mac)
    try:
        version, instance_id, nonce = msgpack.unpackb(payload)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise FrameError("malformed greeting") from error
    if version != VERSION:
        raise FrameError(f"version {version!r} is not {VERSION}")
    if not isinstance(instance_id, str) or not isinstance(nonce, bytes):
        raise FrameError("malformed greeting")
    if len(nonce) != NONCE_BYTES:
        raise FrameError("malformed greeting")
    return Greeting(instance_id, nonce)


def derive_key(fleet_key: bytes, first_nonce: bytes, second_nonce: bytes) -> bytes:
    """Return the key of one connection."""
    return hmac.digest(fleet_key, b"connection" + first_nonce + second_nonce, "sha256")


class FrameWriter:
    """Signs the messages of one connection."""

    __slots__ = ("_key", "_position")

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._position = 0

    def pack(self, message: Message) -> bytes:
        """Return the frame of a message.

        Raises
        ------
        FrameError
            When the message is too large.
        """
        payload = encode_message(message)
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError(f"{len(payload)} bytes are more than {MAX_FRAME_BYTES}")
        mac = _sign(self._key, _POSITION.pack(self._position), payload)
        self._position += 1
        return _pack(mac, payload)


class FrameReader:
    """Splits and checks the bytes of one connection."""

    __slots__ = ("_buffer", "_key", "_position")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._key: bytes | None = None
        self._position = 0

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def set_key(self, key: bytes) -> None:
        """Take the key of the connection once both greetings are known."""
        self._key = key

    def read_greeting(self, fleet_key: bytes, answered_nonce: bytes) -> Greeting | None:
        """Return the greeting, or None until it is whole."""
        frame = self._read_frame(MAX_GREETING_BYTES)
        if frame is None:
            return None
        mac, payload = frame
        return unpack_greeting(fleet_key, payload, mac, answered_nonce)

    def read_message(self) -> Message | None:
        """Return the next message, or None until it is whole.

        Raises
        ------
        FrameError
            When a frame is malformed, too large, replayed or wrongly signed.
        """
        frame = self._read_frame(MAX_FRAME_BYTES)
        if frame is None:
            return None
        mac, payload = frame
        _verify(self._key or b"", _POSITION.pack(self._position), payload, mac)
        self._position += 1
        return decode_message(payload)

    def _read_frame(self, limit: int) -> tuple[bytes, bytes] | None:
        if len(self._buffer) < _HEADER_BYTES:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length > limit:
            raise FrameError(f"a frame of {length} bytes is more than {limit}")
        end = _HEADER_BYTES + length
        if len(self._buffer) < end:
            return None
        mac = bytes(self._buffer[_LENGTH.size : _HEADER_BYTES])
        payload = bytes(self._buffer[_HEADER_BYTES:end])
        del self._buffer[:end]
        return mac, payload


def _pack(mac: bytes, payload: bytes) -> bytes:
    return _LENGTH.pack(len(payload)) + mac + payload


def _sign(key: bytes, context: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, context + payload, "sha256")[:MAC_BYTES]


def _verify(key: bytes, context: bytes, payload: bytes, mac: bytes) -> None:
    if not hmac.compare_digest(_sign(key, context, payload), mac):
        raise FrameError("the frame is not signed with the fleet key")
