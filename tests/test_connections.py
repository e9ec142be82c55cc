"""Which idle connections are reused, and for which requests."""

from __future__ import annotations

import socket
from collections.abc import Iterator

from foxtaildrum.kinds import ErrorKind
from foxtaildrum.requests.connections import (
    MAX_IDLE_CONNECTIONS,
    MAX_IDLE_NON_IDEMPOTENT_S,
    MAX_IDLE_S,
    MAX_LATE_S,
    ConnectionPool,
)
from foxtaildrum.requests.transport import TransportError


class FakeConnection:
    def __init__(self) -> None:
        self.local, self.peer = socket.socketpair()
        self.closed = False
        self.reusable = True
        self.fails = False
        self.carried: set[str] = set()

    def has_carried(self, request_id: str) -> bool:
        return request_id in self.carried

    def read_head(self, timeout_s: float) -> None:
        if self.fails:
            raise TransportError(ErrorKind.ANSWER_INVALID)
        self.local.recv(1)

    def read_body(self, deadline: float) -> Iterator[bytes]:
        return iter(())

    def fileno(self) -> int:
        return self.local.fileno()

    def close(self) -> None:
        self.closed = True
        self.local.close()
        self.peer.close()


def build_pool() -> tuple[ConnectionPool, list[FakeConnection]]:
    opened: list[FakeConnection] = []

    def open_connection(address: str, timeout_s: float) -> FakeConnection:
        opened.append(FakeConnection())
        return opened[-1]

    return ConnectionPool("127.0.0.1:1", open_connection), opened


def test_an_idle_connection_is_reused_until_it_expires():
    pool, opened = build_pool()
    connection = pool.acquire(0.0, 1.0, True)
    pool.release(0.0, connection)
    assert pool.acquire(MAX_IDLE_S, 1.0, True) is connection
    pool.release(MAX_IDLE_S, connection)
    assert pool.acquire(2 * MAX_IDLE_S + 1, 1.0, True) is not connection
    assert connection.closed
    assert len(opened) == 2


def test_a_non_idempotent_request_reuses_no_old_connection():
    pool, _ = build_pool()
    connection = pool.acquire(0.0, 1.0, False)
    pool.release(0.0, connection)
    assert pool.acquire(MAX_IDLE_NON_IDEMPOTENT_S + 0.1, 1.0, False) is not connection


def test_a_connection_with_input_or_closed_by_the_upstream_is_not_reused():
    for make_unusable in (lambda c: c.peer.send(b"excess"), lambda c: c.peer.close()):
        pool, _ = build_pool()
        connection = pool.acquire(0.0, 1.0, True)
        pool.release(0.0, connection)
        make_unusable(connection)
        assert pool.acquire(0.1, 1.0, True) is not connection


def test_idle_connections_are_bounded_in_number_and_age():
    pool, opened = build_pool()
    acquired = [pool.acquire(0.0, 1.0, True) for _ in range(MAX_IDLE_CONNECTIONS + 5)]
    for connection in acquired:
        pool.release(0.0, connection)
    assert sum(c.closed for c in opened) == 5
    last_released = pool.acquire(0.0, 1.0, True)
    pool.release(MAX_IDLE_S + 1, last_released)
    assert sum(not c.closed for c in opened) == 1


# Guards against unread bytes that take memory for as long as an upstream gets no request.
def test_connections_that_cannot_be_used_are_closed_without_a_request():
    pool, opened = build_pool()
    acquired = [pool.acquire(0.0, 1.0, True) for _ in range(6)]
    sound, excess, gone, old, late, overdue = acquired
    pool.release(1.0 - MAX_IDLE_S, old)
    for connection in (sound, excess, gone):
        pool.release(2.0, connection)
    pool.hold_late(2.0 - MAX_LATE_S, overdue)
    pool.hold_late(2.0, late)
    excess.peer.send(b"excess")
    gone.peer.close()
    late.peer.send(b"x")
    pool.close_unusable(2.1)
    assert [c for c in opened if c.closed] == [excess, gone, old, overdue]
    assert pool.acquire(2.2, 1.0, True) in (sound, late)
    assert pool.acquire(2.2, 1.0, True) in (sound, late)


def test_a_connection_with_a_late_response_is_reused_once_it_was_read():
    pool, opened = build_pool()
    connection = pool.acquire(0.0, 1.0, True)
    pool.hold_late(0.0, connection)
    assert pool.acquire(0.1, 1.0, True) is not connection
    connection.peer.send(b"x")
    assert pool.acquire(0.2, 1.0, False) is connection
    assert len(opened) == 2


def test_a_connection_whose_late_response_is_invalid_is_closed():
    pool, _ = build_pool()
    connection = pool.acquire(0.0, 1.0, True)
    pool.hold_late(0.0, connection)
    connection.fails = True
    connection.peer.send(b"x")
    assert pool.acquire(0.1, 1.0, True) is not connection
    assert connection.closed


def test_a_connection_whose_late_response_belongs_to_another_request_is_closed():
    def refuse(connection: FakeConnection, head: None) -> None:
        raise TransportError(ErrorKind.ANSWER_INVALID)

    pool, _ = build_pool()
    connection = pool.acquire(0.0, 1.0, True)
    pool.hold_late(0.0, connection, refuse)
    connection.peer.send(b"x")
    assert pool.acquire(0.1, 1.0, True) is not connection
    assert connection.closed


def test_a_request_is_not_sent_twice_over_one_connection():
    pool, opened = build_pool()
    connection = pool.acquire(0.0, 1.0, True, "first")
    connection.carried.add("first")
    pool.release(0.0, connection)
    other = pool.acquire(0.1, 1.0, True, "first")
    assert other is not connection
    pool.release(0.1, other)
    assert pool.acquire(0.2, 1.0, True, "second") is other
    assert pool.acquire(0.2, 1.0, True, "third") is connection
    assert len(opened) == 2


def test_a_connection_whose_response_never_comes_is_closed():
    pool, _ = build_pool()
    connection = pool.acquire(0.0, 1.0, True)
    pool.hold_late(0.0, connection)
    pool.acquire(MAX_LATE_S + 0.1, 1.0, True)
    assert connection.closed


def test_closing_a_pool_closes_connections_with_late_responses():
    pool, _ = build_pool()
    connection = pool.acquire(0.0, 1.0, True)
    pool.hold_late(0.0, connection)
    pool.close()
    assert connection.closed
