"""Frames between instances: length, message authentication code (MAC), message.

A connection carries messages in one direction. It starts with one signed greeting in each
direction. The connection's key is derived from the nonces of both greetings, and the MAC of
each frame covers its position in the connection, so a frame cannot be replayed, reordered or
moved to another connection.
"""

from __future__ import annotations

import hmac
import struct

import msgpack

from ..exceptions import FrameError, MessageTooLargeError
from ..sizes import MAX_MESSAGE_BYTES
from .messages import Message, decode_message, encode_message

VERSION = 1
NONCE_BYTES = 16
MAC_BYTES = 16
MAX_GREETING_BYTES = 256

_LENGTH = struct.Struct(">I")
_POSITION = struct.Struct(">Q")
_HEADER_BYTES = _LENGTH.size + MAC_BYTES


class Greeting:
    """First frame that each side of a connection sends."""

    __slots__ = ("instance_id", "nonce")

    def __init__(self, instance_id: str, nonce: bytes) -> None:
        self.instance_id = instance_id
        self.nonce = nonce


def pack_greeting(fleet_key: bytes, greeting: Greeting, answered_nonce: bytes) -> bytes:
    """Return a signed greeting.

    Parameters
    ----------
    answered_nonce : bytes
        Nonce of the greeting that this one answers; empty for the first greeting.
    """
    payload = msgpack.packb([VERSION, greeting.instance_id, greeting.nonce])
    return _pack(_sign(fleet_key, b"greeting" + answered_nonce, payload), payload)


def unpack_greeting(
    fleet_key: bytes, payload: bytes, mac: bytes, answered_nonce: bytes
) -> Greeting:
    """Verify and decode a greeting.

    Raises
    ------
    FrameError
        When the greeting is malformed, has another version or is not signed with
        ``fleet_key``.
    """
    _verify(fleet_key, b"greeting" + answered_nonce, payload, mac)
    try:
        version, instance_id, nonce = msgpack.unpackb(payload)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise FrameError("malformed greeting: not a list of three fields") from error
    if version != VERSION:
        raise FrameError(f"greeting has version {version!r}; expected {VERSION}")
    if not isinstance(instance_id, str) or not isinstance(nonce, bytes):
        raise FrameError("malformed greeting: wrong field types")
    if len(nonce) != NONCE_BYTES:
        raise FrameError("malformed greeting: wrong nonce length")
    return Greeting(instance_id, nonce)


def derive_key(fleet_key: bytes, first_nonce: bytes, second_nonce: bytes) -> bytes:
    """Derive the key of one connection from the nonces of its greetings."""
    return hmac.digest(fleet_key, b"connection" + first_nonce + second_nonce, "sha256")


class FrameWriter:
    """Signs and frames the messages that one connection sends."""

    __slots__ = ("_key", "_position")

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._position = 0

    def pack(self, message: Message) -> bytes:
        """Return the frame of a message.

        Raises
        ------
        MessageTooLargeError
            When the message exceeds the limit of a frame.
        """
        payload = encode_message(message)
        if len(payload) > MAX_MESSAGE_BYTES:
            kind = type(message).__name__
            raise MessageTooLargeError(
                f"{kind} of {len(payload)} bytes exceeds {MAX_MESSAGE_BYTES}"
            )
        mac = _sign(self._key, _POSITION.pack(self._position), payload)
        self._position += 1
        return _pack(mac, payload)


class FrameReader:
    """Splits the bytes that one connection received into frames and verifies them."""

    __slots__ = ("_buffer", "_key", "_position")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._key: bytes | None = None
        self._position = 0

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def set_key(self, key: bytes) -> None:
        """Set the key of the connection, derived from both greetings."""
        self._key = key

    def read_greeting(self, fleet_key: bytes, answered_nonce: bytes) -> Greeting | None:
        """Return the greeting, or None while it is incomplete.

        Raises
        ------
        FrameError
            When the greeting is malformed, too large or wrongly signed.
        """
        frame = self._read_frame(MAX_GREETING_BYTES)
        if frame is None:
            return None
        mac, payload = frame
        return unpack_greeting(fleet_key, payload, mac, answered_nonce)

    def read_message(self) -> Message | None:
        """Return the next message, or None while it is incomplete.

        Raises
        ------
        FrameError
            When a frame is malformed, too large, replayed or wrongly signed.
        """
        frame = self._read_frame(MAX_MESSAGE_BYTES)
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
            raise FrameError(f"frame of {length} bytes exceeds the limit of {limit}")
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
        raise FrameError(
            "frame signature is invalid: wrong fleet key, or frame replayed or altered"
        )
