"""Upstreams that refuse a request and ask the instance to send nothing for some time."""

from __future__ import annotations

import json
import random
import threading
import time
from functools import partial

import pytest

from foxtaildrum.balancing.balancer import Balancer
from foxtaildrum.balancing.tickets import Ticket
from foxtaildrum.fleet.upstreams import READY, Entry
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.records import Announcement, Pool
from foxtaildrum.requests.dialects import Dialect

from .sites import open_site
from .standins.scripted import Arrival, Script, ScriptedUpstream, build_response

NOW = 100.0
REST_S = 5.0
LONG_REST_S = 600
REQUESTS = 30


def build_balancer(count: int, **fields) -> Balancer:
    balancer = Balancer(Pool(name="p", **fields), "zone", 100, random.Random(3))
    balancer.update_members(NOW, [build_entry(f"u{n}") for n in range(count)])
    return balancer


def build_entry(upstream_id: str, incarnation: int = 1) -> Entry:
    announcement = Announcement(
        pool="p", address="10.0.0.1:1", slots=4, incarnation=incarnation
    )
    return Entry(upstream_id, announcement, READY, "owner", 1, False, NOW + 10)


def request(balancer: Balancer, now: float, excluded=frozenset(), wait_s=0.0) -> Ticket:
    ticket = Ticket(now + 10.0, frozenset(excluded), max_queue_wait_s=wait_s)
    balancer.request_slot(now, ticket, True)
    return ticket


def test_an_upstream_gets_nothing_while_it_rests():
    balancer = build_balancer(3)
    balancer.record_rest(NOW, balancer.upstreams["u0"], REST_S)
    chosen = {request(balancer, NOW + 0.1 * n).granted.upstream_id for n in range(8)}
    assert chosen == {"u1", "u2"}
    assert not balancer.upstreams["u0"].in_flight


def test_an_upstream_that_rests_gets_no_retry_although_all_others_were_tried():
    balancer = build_balancer(2)
    balancer.record_rest(NOW, balancer.upstreams["u0"], REST_S)
    assert request(balancer, NOW, {"u1"}).granted.upstream_id == "u1"


def test_an_upstream_that_rests_gets_no_status_check():
    balancer = build_balancer(2, health_path="/health")
    balancer.set_status_check_rate(1000.0, 2)
    balancer.record_rest(NOW, balancer.upstreams["u0"], REST_S)
    for _ in range(10):
        chosen = balancer.choose_samples(NOW, frozenset())
        assert "u0" not in {u.upstream_id for u in chosen}


def test_an_upstream_that_rests_gets_no_probe():
    balancer = build_balancer(1, load_path="/load")
    balancer.measuring_budget.capacity = 10.0
    balancer.measuring_budget.earn(1000.0)
    balancer.record_rest(NOW, balancer.upstreams["u0"], REST_S)
    assert balancer.choose_probe(NOW) is None


def test_an_upstream_is_used_again_after_its_rest():
    balancer = build_balancer(1)
    balancer.record_rest(NOW, balancer.upstreams["u0"], REST_S)
    assert request(balancer, NOW + REST_S).granted.upstream_id == "u0"


def test_a_shorter_rest_does_not_end_a_longer_one():
    balancer = build_balancer(1)
    balancer.record_rest(NOW, balancer.upstreams["u0"], REST_S)
    balancer.record_rest(NOW, balancer.upstreams["u0"], 1.0)
    assert request(balancer, NOW + 2.0).refused is ErrorKind.UPSTREAMS_RESTING


def test_a_new_start_of_an_upstream_does_not_rest():
    balancer = build_balancer(1)
    balancer.record_rest(NOW, balancer.upstreams["u0"], REST_S)
    balancer.update_members(NOW, [build_entry("u0", incarnation=2)])
    assert request(balancer, NOW).granted is not None


def test_a_request_is_refused_at_once_while_every_upstream_rests():
    balancer = build_balancer(2)
    balancer.record_rest(NOW, balancer.upstreams["u0"], REST_S)
    balancer.record_rest(NOW, balancer.upstreams["u1"], 2 * REST_S)
    ticket = request(balancer, NOW + 1.0, wait_s=1.0)
    assert ticket.refused is ErrorKind.UPSTREAMS_RESTING
    assert REST_S - 1.0 <= ticket.retry_after_s <= REST_S


def test_a_waiting_request_is_refused_once_every_upstream_rests():
    balancer = build_balancer(1)
    for _ in range(4):
        assert request(balancer, NOW).granted is not None
    waiting = request(balancer, NOW, wait_s=1.0)
    assert not waiting.completed
    balancer.record_rest(NOW, balancer.upstreams["u0"], REST_S)
    assert balancer.serve_queue(NOW) == [waiting]
    assert waiting.refused is ErrorKind.UPSTREAMS_RESTING


def test_a_request_waits_for_the_end_of_a_short_rest():
    balancer = build_balancer(1)
    balancer.record_rest(NOW, balancer.upstreams["u0"], 0.1)
    waiting = request(balancer, NOW, wait_s=1.0)
    assert not waiting.completed
    assert balancer.serve_queue(NOW + 0.1) == [waiting]
    assert waiting.granted is not None


@pytest.mark.parametrize(
    ("status", "value", "rest_s"),
    [
        (503, "3", 3.0),
        (503, "0.25", 0.25),
        (503, None, None),
        (429, "3", None),
        (200, "3", None),
        (503, "-1", None),
        (503, "nan", None),
        (503, "1e9", 600.0),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", None),
    ],
)
def test_a_refusal_states_the_rest_in_seconds(status, value, rest_s):
    headers = {} if value is None else {"Retry-After": value}
    assert Dialect().read_rest(status, headers) == rest_s


@pytest.fixture
def site(tmp_path):
    with open_site(tmp_path) as site:
        site.apply("pools", [{"name": "p", "retry_budget_ratio": 1.0}])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        yield site


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_resting_upstream_gets_no_further_request(site, method):
    # Refused requests were sent to it again after a pause of milliseconds.
    upstreams = site.add_upstreams("p", 3)
    upstreams.set_behaviour("p-1", shed=True, rest_s=LONG_REST_S)
    replies = [site.send(method, f"/{n}") for n in range(REQUESTS)]
    assert {reply.status for reply in replies} == {200}
    assert upstreams.describe("p-1")["refused"] <= 1


def test_requests_are_refused_at_once_while_all_upstreams_rest(site):
    upstreams = site.add_upstreams("p", 2)
    for upstream_id in upstreams.ports:
        upstreams.set_behaviour(upstream_id, shed=True, rest_s=LONG_REST_S)
    site.send("GET", "/first")
    site.send("GET", "/second")
    for number in range(REQUESTS):
        reply = site.send("POST", f"/{number}")
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert json.loads(reply.body)["kind"] == "upstreams_resting"
        assert float(reply.headers["retry-after"]) > LONG_REST_S / 2
    assert sum(upstreams.describe(u)["refused"] for u in upstreams.ports) == 2


# Refusals that an instance receives but has no use for.

REST_HEADERS = {"X-Not-Executed": "1", "Retry-After": str(LONG_REST_S)}
HEALTH_PATH = "/healthz"
LATE_S = 0.3


@pytest.fixture
def scripted():
    """Return a function that starts upstreams with the given script."""
    upstreams = []

    def start(site, pool: str, write_script, count: int = 1) -> list[ScriptedUpstream]:
        started = [ScriptedUpstream(partial(write_script, n)) for n in range(count)]
        for number, upstream in enumerate(started):
            site.announce(f"u-{number}", pool, upstream.port)
        upstreams.extend(started)
        return started

    yield start
    for upstream in upstreams:
        upstream.close()


def build_own(arrival: Arrival, status: int = 200, headers=None, body: bytes = b"ok") -> bytes:
    own = {"Foxtaildrum-Attempt": arrival.headers.get("foxtaildrum-attempt", "")}
    return build_response(status, own | (headers or {}), body)


# Guards against a rest that is not kept because the body of the refusal broke off.
def test_a_refusal_whose_body_breaks_off_asks_for_rest_too(site, scripted):
    def write(number: int, arrival: Arrival) -> Script:
        if number:
            return Script(build_own(arrival))
        whole = build_own(arrival, 503, REST_HEADERS, b"x" * 100)
        return Script(whole[:-50], end="fin")

    cut, _ = scripted(site, "p", write, count=2)
    for number in range(REQUESTS):
        site.send("GET", f"/{number}")
    assert len(cut.arrivals) == 1


def send_hedged(site, scripted, refused_id: str | None) -> ScriptedUpstream:
    """Send a request whose first copy is refused just before its second copy is answered.

    Parameters
    ----------
    refused_id : str or None
        Identifier of the attempt in the refusal; None for the right one.

    Returns
    -------
    ScriptedUpstream
        Upstream that refused.
    """
    pool = {"name": "p", "retry_budget_ratio": 1.0, "measuring_budget_ratio": 1.0}
    site.apply("pools", [pool])
    has_refused, is_hedged = threading.Event(), threading.Event()
    first = []

    def write(number: int, arrival: Arrival) -> Script:
        if arrival.target != "/hedged":
            return Script(build_own(arrival))
        if not first:
            first.append(number)
            is_hedged.wait(5)
            has_refused.set()
            headers = dict(REST_HEADERS)
            if refused_id is not None:
                headers["Foxtaildrum-Attempt"] = refused_id
            return Script(build_own(arrival, 503, headers, b""))
        # The head of this response comes before the refusal, the body after it.
        whole = build_own(arrival)
        return Script(whole[:-1], rest=whole[-1:], rest_after=has_refused, begun=is_hedged)

    upstreams = scripted(site, "p", write, count=2)
    for number in range(80):
        site.send("GET", f"/warm/{number}")
    reply = site.send("GET", "/hedged")
    assert reply.status == 200, reply.body
    return upstreams[first[0]]


def count_later_arrivals(site, upstream: ScriptedUpstream) -> int:
    """Send requests, which must be served; return how many reach the upstream."""
    before = len(upstream.arrivals)
    for number in range(REQUESTS):
        assert site.send("GET", f"/after/{number}").status == 200
    return len(upstream.arrivals) - before


# Guards against a rest that is not kept because another copy of the request was answered.
def test_a_refusal_beside_the_answer_of_another_copy_asks_for_rest_too(site, scripted):
    refusing = send_hedged(site, scripted, None)
    assert count_later_arrivals(site, refusing) == 0


# Guards against what a response to something else states, where nobody needs the response.
@pytest.mark.parametrize("refused_id", ["of-another-request", ""])
def test_a_refusal_of_another_request_beside_an_answer_asks_for_no_rest(
    site, scripted, refused_id
):
    refusing = send_hedged(site, scripted, refused_id)
    assert count_later_arrivals(site, refusing) > 0


# Guards against a rest that is not kept because the status check was answered late.
def test_a_late_refusal_of_a_status_check_asks_for_rest_too(tmp_path, scripted):
    def write(number: int, arrival: Arrival) -> Script:
        if arrival.target != HEALTH_PATH or number:
            return Script(build_own(arrival))
        time.sleep(LATE_S)
        return Script(build_own(arrival, 503, REST_HEADERS, b""))

    with open_site(tmp_path, probes_per_s=1000, sample_size=2) as site:
        pool = {"name": "p", "retry_budget_ratio": 1.0, "health_path": HEALTH_PATH}
        site.apply("pools", [pool])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        resting, _ = scripted(site, "p", write, count=2)
        while not resting.count_arrivals(HEALTH_PATH):
            assert site.send("GET", "/before").status == 200
        time.sleep(2 * LATE_S)
        before = len(resting.arrivals)
        for number in range(REQUESTS):
            assert site.send("GET", f"/{number}").status == 200
        assert len(resting.arrivals) == before
