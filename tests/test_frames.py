"""Frames between instances: malformed data, wrong keys and replayed frames are refused."""

from __future__ import annotations

import contextlib
import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum import records
from foxtaildrum.exceptions import FrameError
from foxtaildrum.fleet import frames
from foxtaildrum.fleet.frames import FrameReader, FrameWriter, Greeting, derive_key
from foxtaildrum.fleet.messages import decode_message, encode_message, list_message_types
from foxtaildrum.sizes import MAX_MESSAGE_BYTES

KEY = b"fleet key"
SESSION_KEY = derive_key(KEY, b"a" * 16, b"b" * 16)
MESSAGE = records.Handover(term=7)

VALUES = {
    "int": st.integers(-(2**60), 2**60),
    "str": st.text(max_size=20),
    "bool": st.booleans(),
    "float": st.floats(allow_nan=False),
    "float | None": st.none() | st.floats(allow_nan=False),
    "bytes": st.binary(max_size=40),
    "list[Any]": st.lists(st.integers(0, 9), max_size=4),
}


def build_reader(key: bytes = SESSION_KEY) -> FrameReader:
    reader = FrameReader()
    reader.set_key(key)
    return reader


def build_message(message_type, data):
    fields = {f.name: data.draw(VALUES[f.type]) for f in dataclasses.fields(message_type)}
    return message_type(**fields)


@given(st.data())
def test_messages_survive_encoding_and_decoding(data):
    message = build_message(data.draw(st.sampled_from(list_message_types())), data)
    assert decode_message(encode_message(message)) == message


@given(st.binary(max_size=200))
def test_random_bytes_yield_no_message(data):
    reader = build_reader()
    reader.feed(data)
    with contextlib.suppress(FrameError):
        assert reader.read_message() is None


@given(st.binary(max_size=200))
def test_decoding_random_bytes_raises_only_frame_errors(data):
    with contextlib.suppress(FrameError):
        decode_message(data)


@given(st.integers(0, 10_000), st.integers(1, 255))
def test_a_changed_byte_is_refused(position, change):
    frame = bytearray(FrameWriter(SESSION_KEY).pack(MESSAGE))
    frame[position % len(frame)] ^= change
    reader = build_reader()
    reader.feed(bytes(frame))
    with contextlib.suppress(FrameError):
        assert reader.read_message() is None


@given(st.lists(st.integers(1, 60), max_size=20))
def test_frames_split_at_any_position_are_reassembled(sizes):
    writer = FrameWriter(SESSION_KEY)
    data = b"".join(writer.pack(records.Handover(term=n)) for n in range(5))
    reader = build_reader()
    found = []
    position = 0
    for size in [*sizes, len(data)]:
        reader.feed(data[position : position + size])
        position += size
        while (message := reader.read_message()) is not None:
            found.append(message.term)
    assert found == list(range(5))


def test_a_replayed_frame_is_refused():
    frame = FrameWriter(SESSION_KEY).pack(MESSAGE)
    reader = build_reader()
    reader.feed(frame + frame)
    assert reader.read_message() == MESSAGE
    with pytest.raises(FrameError):
        reader.read_message()


def test_a_frame_of_another_connection_is_refused():
    frame = FrameWriter(SESSION_KEY).pack(MESSAGE)
    reader = build_reader(derive_key(KEY, b"a" * 16, b"c" * 16))
    reader.feed(frame)
    with pytest.raises(FrameError):
        reader.read_message()


def test_an_oversized_frame_is_refused_before_it_is_read():
    reader = build_reader()
    reader.feed((MAX_MESSAGE_BYTES + 1).to_bytes(4, "big") + b"x" * 16)
    with pytest.raises(FrameError):
        reader.read_message()


def test_a_greeting_under_another_key_is_refused():
    reader = FrameReader()
    reader.feed(frames.pack_greeting(b"other", Greeting("e1", b"n" * 16), b""))
    with pytest.raises(FrameError):
        reader.read_greeting(KEY, b"")


def test_a_greeting_that_answers_another_nonce_is_refused():
    answer = frames.pack_greeting(KEY, Greeting("e1", b"n" * 16), b"first" * 3)
    reader = FrameReader()
    reader.feed(answer)
    with pytest.raises(FrameError):
        reader.read_greeting(KEY, b"other" * 3)
