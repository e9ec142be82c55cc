"""Encoding and decoding of the messages between instances."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgpack
import msgspec

from .. import records
from ..exceptions import FrameError, UnencodableError
from ..jsontext import is_encodable
from ..sizes import ENCODING_ERRORS
from ..validation import load_schema

Message = Any

_TYPES: dict[int, type] = {}
_IDS: dict[type, int] = {}
_FIELDS: dict[type, tuple[str, ...]] = {}


def _fill_registry() -> None:
    for name, schema in load_schema()["$defs"].items():
        number = schema.get("x-message-id")
        if number is None:
            continue
        message_type = getattr(records, name)
        _TYPES[number] = message_type
        _IDS[message_type] = number
        _FIELDS[message_type] = tuple(f.name for f in dataclasses.fields(message_type))


_fill_registry()

_RECORD_TYPES = (records.UpstreamNews, records.MemberNews, records.CrashNews)


def encode_message(message: Message) -> bytes:
    """Encode a message as a msgpack list of its type number and its fields in order.

    Raises
    ------
    UnencodableError
        When a field holds text or a number that cannot be encoded.
    """
    kind = type(message)
    values = [getattr(message, f) for f in _FIELDS[kind]]
    try:
        return msgpack.packb([_IDS[kind], *values])
    except ENCODING_ERRORS as error:
        raise UnencodableError(f"{kind.__name__} cannot be encoded: {error}") from error


def decode_message(data: bytes) -> Message:
    """Decode the message in ``data``.

    Raises
    ------
    FrameError
        When the bytes do not encode a message of a type in the schema.
    """
    try:
        number, *values = _unpack(data)
        message_type = _TYPES[number]
        fields = dict(zip(_FIELDS[message_type], values, strict=True))
        return msgspec.convert(fields, message_type)
    except (ValueError, TypeError, KeyError, RecursionError, msgpack.UnpackException) as error:
        raise FrameError(f"not a message: {error}") from error
    except msgspec.ValidationError as error:
        raise FrameError(f"invalid message: {error}") from error


def _unpack(data: bytes) -> list[Any]:
    try:
        return msgpack.unpackb(data, strict_map_key=False)
    except UnicodeDecodeError:
        number, *values = msgpack.unpackb(
            data, strict_map_key=False, unicode_errors="surrogateescape"
        )
        # The records of these messages are checked one by one; any other text is not.
        texts = [value for value in values if isinstance(value, str)]
        if _TYPES.get(number) not in _RECORD_TYPES or not all(map(is_encodable, texts)):
            raise
        return [number, *values]


def list_message_types() -> list[type]:
    """Return all message types in the order of their numbers."""
    return [_TYPES[number] for number in sorted(_TYPES)]
