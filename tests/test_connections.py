"""Idle connections: which are used again, and for which requests."""

from __future__ import annotations

import socket

from foxtaildrum.requests.connections import (
    MAX_IDLE_CONNECTIONS,
    MAX_IDLE_S,
    MAX_IDLE_UNREPEATABLE_S,
    ConnectionPool,
)


class FakeConnection:
    def __init__(self) -> None:
        self.near, self.far = socket.socketpair()
        self.closed = False
        self.whole = True

    def fileno(self) -> int:
        return self.near.fileno()

    def close(self) -> None:
        self.closed = True
        self.near.close()
        self.far.close()


def build_pool() -> tuple[ConnectionPool, list[FakeConnection]]:
    opened: list[FakeConnection] = []

    def open_connection(address: str, timeout_s: float) -> FakeConnection:
        opened.append(FakeConnection())
        return opened[-1]

    return ConnectionPool("127.0.0.1:1", open_connection), opened


def test_a_connection_is_used_again_while_it_is_fresh():
    pool, opened = build_pool()
    connection = pool.take(0.0, 1.0, True)
    pool.give(0.0, connection)
    assert pool.take(MAX_IDLE_S, 1.0, True) is connection
    pool.give(MAX_IDLE_S, connection)
    assert pool.take(2 * MAX_IDLE_S + 1, 1.0, True) is not connection
    assert connection.closed
    assert len(opened) == 2


def test_a_request_that_must_not_repeat_takes_no_old_connection():
    pool, _ = build_pool()
    connection = pool.take(0.0, 1.0, False)
    pool.give(0.0, connection)
    assert pool.take(MAX_IDLE_UNREPEATABLE_S + 0.1, 1.0, False) is not connection


def test_a_connection_with_input_or_closed_by_the_upstream_is_dropped():
    for disturb in (lambda c: c.far.send(b"excess"), lambda c: c.far.close()):
        pool, _ = build_pool()
        connection = pool.take(0.0, 1.0, True)
        pool.give(0.0, connection)
        disturb(connection)
        assert pool.take(0.1, 1.0, True) is not connection


def test_idle_connections_are_bounded_in_number_and_age():
    pool, opened = build_pool()
    taken = [pool.take(0.0, 1.0, True) for _ in range(MAX_IDLE_CONNECTIONS + 5)]
    for connection in taken:
        pool.give(0.0, connection)
    assert sum(c.closed for c in opened) == 5
    late = pool.take(0.0, 1.0, True)
    pool.give(MAX_IDLE_S + 1, late)
    assert sum(not c.closed for c in opened) == 1
