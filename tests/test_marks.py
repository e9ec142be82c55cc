"""Marks of connections, which tell what was known before a caller could send on them."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from foxtaildrum.requests.marks import ConnectionMarks

from .standins.processes import wait_until


class Listener:
    """Listening socket whose connections are accepted through their marks."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.marks = ConnectionMarks(self.socket)
        self.connections: list[socket.socket] = []

    def connect(self) -> None:
        self.connections.append(socket.create_connection(self.socket.getsockname()))

    def accept(self) -> int:
        """Accept one connection and return its mark."""
        marks = []

        def accept() -> None:
            self.connections.append(self.socket.accept()[0])
            marks.append(self.marks.current)

        self.marks.accept(accept)
        return marks[0]

    def close(self) -> None:
        for sock in [self.socket, *self.connections]:
            sock.close()


@pytest.fixture
def listener() -> Iterator[Listener]:
    listener = Listener()
    yield listener
    listener.close()


def test_a_connection_has_the_number_known_before_it(listener):
    listener.marks.update(3)
    listener.connect()
    assert listener.accept() == 3
    listener.marks.update(4)
    listener.connect()
    assert listener.accept() == 4


# Guards against a connection that waited, as in a paused process, and counts as a new one.
def test_connections_that_wait_have_the_number_known_before_the_first_of_them(listener):
    listener.marks.update(3)
    listener.connect()
    listener.marks.update(4)
    listener.connect()
    listener.marks.update(5)
    assert [listener.accept(), listener.accept()] == [3, 3]
    listener.connect()
    assert listener.accept() == 5


# Guards against a number that stays too low for good: each order would be refused.
def test_the_latest_number_is_the_mark_once_nobody_waits(listener):
    listener.connect()
    listener.marks.update(7)
    assert listener.marks.current == 0
    listener.accept()
    assert wait_until(lambda: listener.marks.current == 7)


# Guards against an instance that can't stop accepting while orders go on.
def test_a_closed_listener_changes_no_mark(listener):
    listener.marks.update(1)
    listener.socket.close()
    listener.marks.update(2)
    assert (listener.marks.current, listener.marks.latest) == (1, 2)
