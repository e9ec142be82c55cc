"""Bounds on what comes from outside that no other test reaches (design/rules.md)."""

from __future__ import annotations

import socket
import time

from foxtaildrum.fleet import membership, upstreams
from foxtaildrum.fleet.membership import Member, MemberState
from foxtaildrum.fleet.upstreams import READY, Entry
from foxtaildrum.records import Announcement

from .fleet import form_fleet
from .sites import open_site

HEADER_TIMEOUT_S = 0.5
# A byte each time keeps the connection from being idle.
BYTE_PERIOD_S = 0.1
SLACK_S = 3.0
EXTRA = 5


def test_no_more_members_than_the_limit_are_taken_from_others(monkeypatch):
    fleet = form_fleet()
    members = fleet.hosts["e1"].node.members
    monkeypatch.setattr(membership, "MAX_MEMBERS", len(fleet.hosts) + EXTRA)
    members.merge(
        Member(f"x{n}", f"10.0.0.{n}:1", "zone", "entry", 1, MemberState.ALIVE, fleet.now)
        for n in range(3 * EXTRA)
    )
    assert len(members.members) == len(fleet.hosts) + EXTRA
    assert set(fleet.hosts) <= set(members.members)


def test_no_more_upstreams_than_the_limit_are_taken_from_others(monkeypatch):
    monkeypatch.setattr(upstreams, "MAX_ENTRIES", EXTRA)
    fleet = form_fleet()
    known = fleet.hosts["e1"].node.upstreams
    for n in range(3 * EXTRA):
        announcement = Announcement(pool="p", address=f"10.0.0.{n}:1", slots=1, incarnation=1)
        known.merge(
            fleet.now, Entry(f"u{n}", announcement, READY, "c1", 1, False, fleet.now + 10)
        )
    assert len(known.entries) == EXTRA


# Guards against callers that hold connections by sending a head without end: the limit of the
# desired state, `header_timeout_ms`, is read and has no effect.
def test_a_caller_that_does_not_end_its_head_in_time_is_disconnected(tmp_path):
    with open_site(tmp_path) as site:
        limits = {"header_timeout_ms": HEADER_TIMEOUT_S * 1000}
        site.client.put_tables({"version": 1, "routes": [], "pools": [], "limits": limits})
        host, port = site.instance.caller_server.address.split(":")
        with socket.create_connection((host, int(port)), timeout=5) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nX-Slow: ")
            deadline = time.monotonic() + HEADER_TIMEOUT_S + SLACK_S
            is_open = True
            while is_open and time.monotonic() < deadline:
                time.sleep(BYTE_PERIOD_S)
                is_open = is_served(caller)
            assert not is_open


def is_served(caller: socket.socket) -> bool:
    """Send one more byte; return whether the instance still waits for the rest."""
    try:
        caller.sendall(b"x")
        caller.setblocking(False)
        caller.recv(100)
        return False
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        caller.setblocking(True)
