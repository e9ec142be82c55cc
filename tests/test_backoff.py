"""Pauses that double with each failure in a row."""

from __future__ import annotations

import pytest

from foxtaildrum.balancing.backoff import compute_pause
from foxtaildrum.balancing.candidates import PoolLoad, UpstreamLoad
from foxtaildrum.balancing.ejections import EJECT_MAX_S, SHED_EJECT_MAX_S, record_result
from foxtaildrum.balancing.forwarding import DECLINE_MAX_S, Peer
from foxtaildrum.requests.steps import AttemptResult

from .test_balancer import build_balancer

FAILURES = 3000


def test_a_pause_doubles_up_to_its_maximum():
    assert [compute_pause(n, 0.5, 3.0) for n in range(4)] == [0.5, 1.0, 2.0, 3.0]


# Guards against an overflow after a thousand failures in a row, which failed every request.
@pytest.mark.parametrize(
    ("result", "longest_s"),
    [(AttemptResult.SHED, SHED_EJECT_MAX_S), (AttemptResult.UNREACHABLE, EJECT_MAX_S)],
)
def test_an_upstream_that_fails_thousands_of_times_is_ejected_for_the_longest_pause(
    result, longest_s
):
    upstream = UpstreamLoad("u1")
    for _ in range(FAILURES):
        record_result(10.0, upstream, PoolLoad(), result, 0.01, sends_checks=True)
    assert upstream.ejected_until == 10.0 + longest_s


# Guards against the same overflow for status checks and forwarded requests.
def test_thousands_of_unanswered_checks_and_declines_are_counted():
    balancer = build_balancer("a")
    upstream = next(iter(balancer.upstreams.values()))
    peer = Peer("e2", "127.0.0.1:1")
    for _ in range(FAILURES):
        balancer.record_unanswered_check(10.0, upstream)
        peer.record_declined(10.0, "p")
    assert not peer.takes(10.0 + DECLINE_MAX_S - 0.001, "p")
    assert peer.takes(10.0 + DECLINE_MAX_S, "p")
