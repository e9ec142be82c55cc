"""Upstreams that send a response a second time, late, when the next one is due."""

from __future__ import annotations

import threading
import time
from collections import Counter

import pytest

from .sites import open_site
from .standins.scripted import Arrival, Script, ScriptedUpstream, build_response
from .test_platform import load_module

# Orders that each caller sends, and that are served to all callers together.
MIN_ORDERS = 40
MAX_ORDERS = 2000
MIN_SERVED = 60

ANSWER_DELAY_S = 0.02
HEALTH_PATH = "/healthz"
NOT_RUN_STATUSES = {408, 421, 429, 503}


def build_own(arrival: Arrival, body: bytes = b"") -> bytes:
    """Return the proper response to a request: its identifier, its proof, its target."""
    headers = {
        "X-Request-Id": arrival.request_id,
        "X-Response-Signature": "proof",
        "Foxtaildrum-Attempt": arrival.headers.get("foxtaildrum-attempt", ""),
    }
    return build_response(200, headers, body or arrival.target.encode())


def build_refusal(arrival: Arrival) -> bytes:
    headers = {"X-Not-Executed": "1"}
    if arrival.request_id:
        headers["X-Request-Id"] = arrival.request_id
    return build_response(503, headers)


@pytest.fixture
def dialect():
    return "platform"


@pytest.fixture
def start(tmp_path, dialect):
    """Return a function that starts an instance and one upstream with the given script."""
    load_module("dialect")
    upstreams = []
    with open_site(tmp_path, dialect=dialect, probes_per_s=1000, sample_size=1) as site:

        def start(write_script, checked: bool = False, **pool):
            if checked:
                pool["health_path"] = HEALTH_PATH
            site.apply("pools", [{"name": "p", "retry_budget_ratio": 1.0, **pool}])
            site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
            upstream = ScriptedUpstream(write_script)
            upstreams.append(upstream)
            fields = {"availability_zone": "", "state": "ready", "sequence": 1}
            site.announce("u-1", "p", upstream.port, **fields)
            return site, upstream

        yield start
        for upstream in upstreams:
            upstream.close()


# Guards against review/1, second service: a late "not executed" of a status check was taken for
# the answer of an order, which ran twice.
@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (503, {"X-Not-Executed": "1"}),
        (404, {}),
        (500, {}),
        (200, {"X-Response-Signature": "p"}),
    ],
)
def test_a_late_copy_of_an_answer_to_a_status_check_answers_no_order(start, status, headers):
    """The status check comes first on its connection, whose history tells nothing then."""

    def write_script(arrival: Arrival) -> Script:
        if arrival.target == HEALTH_PATH:
            answer = build_response(status, headers)
            return Script(answer, late=answer)
        return Script(build_own(arrival))

    site, upstream = start(write_script, checked=True)
    for number in range(10):
        reply = site.send("POST", f"/order/{number}", body=b"order")
        arrivals = upstream.count_arrivals(f"/order/{number}")
        # 503 without an arrival: the only upstream did not answer a status check in time.
        # 502 without one: a status check took the copy, and its own answer, which came
        # instead, ended the connection before the upstream had read the order.
        assert (reply.status, arrivals) in {(200, 1), (502, 1), (502, 0), (503, 0)}, reply.body
        assert reply.status != 502 or b'"outcome": "unknown"' in reply.body
        assert reply.status != 200 or reply.body == f"/order/{number}".encode()
    assert upstream.count_arrivals(HEALTH_PATH)


# Guards against review/1, first service: the late refusal of an attempt was taken for that of
# the next attempt on the same connection, so that an order was reported as not run and ran.
def test_a_late_copy_of_a_refusal_answers_no_second_attempt_of_the_order(start):
    def write_script(arrival: Arrival) -> Script:
        if len(upstream.arrivals) == 1:
            return Script(build_refusal(arrival), late=build_refusal(arrival))
        return Script(build_own(arrival))

    site, upstream = start(write_script)
    reply = site.send("POST", "/order", body=b"order")
    assert (reply.status, reply.body) == (200, b"/order")
    assert upstream.count_arrivals("/order") == 2


@pytest.mark.parametrize(
    ("dialect", "refused"), [("platform", True), ("platform", False), ("foxtaildrum", False)]
)
def test_a_late_copy_answers_no_later_request_with_the_same_identifier(start, refused):
    """A caller sends a request again under its identifier, after the answer or a refusal."""

    def write_script(arrival: Arrival) -> Script:
        # The copy has arrived some time before.
        time.sleep(ANSWER_DELAY_S)
        run = len(upstream.arrivals)
        answer = build_own(arrival, b"run %d" % run)
        if run == 1 and refused:
            headers = {"X-Request-Id": arrival.request_id, "X-Response-Signature": "proof"}
            answer = build_response(429, headers)
        return Script(answer, late=answer)

    site, upstream = start(write_script)
    headers = {"X-Request-Id": "same"}
    assert site.send("GET", "/item", headers).status == (429 if refused else 200)
    for run in (2, 3, 4):
        reply = site.send("GET", "/item", headers)
        assert (reply.status, reply.body) == (200, b"run %d" % run)


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("status", [200, 404, 503])
def test_an_answer_without_the_identifier_of_its_request_proves_nothing(start, method, status):
    def write_script(arrival: Arrival) -> Script:
        headers = {"X-Response-Signature": "proof"}
        if status == 503:
            headers = {"X-Not-Executed": "1"}
        return Script(build_response(status, headers, b"of another"))

    site, upstream = start(write_script)
    reply = site.send(method, "/x", body=b"order" if method == "POST" else None)
    assert reply.status == 502
    assert b"of another" not in reply.body
    assert method == "GET" or upstream.count_arrivals("/x") == 1


class Stutterer:
    """Refuses every third request, and repeats answers, also those to status checks, in part.

    Attributes
    ----------
    runs : Counter
        Requests that were run, by identifier.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0
        self.runs: Counter[str] = Counter()

    def write_script(self, arrival: Arrival) -> Script:
        with self._lock:
            self._count += 1
            count = self._count
        answer = self._build_answer(arrival, count)
        return Script(answer, late=(answer, answer[: len(answer) // 2], b"", b"")[count % 4])

    def _build_answer(self, arrival: Arrival, count: int) -> bytes:
        if arrival.target == HEALTH_PATH:
            return build_response(200 if count % 4 else 503, {"X-Not-Executed": "1"})
        if count % 3 == 0:
            return build_refusal(arrival)
        self.runs[arrival.request_id] += 1
        return build_own(arrival)


def send_orders(site, caller: int, answers: dict[str, tuple[int, bytes]]) -> None:
    """Send orders until enough were sent and served; a slow machine serves a smaller share."""
    for number in range(MAX_ORDERS):
        served_count = sum(status == 200 for status, _ in list(answers.values()))
        if number >= MIN_ORDERS and served_count > MIN_SERVED:
            return
        request_id = f"{caller}-{number}"
        reply = site.send("POST", f"/{request_id}", {"X-Request-Id": request_id}, b"order")
        answers[request_id] = (reply.status, reply.body)


def test_callers_get_only_their_own_answers_from_an_upstream_that_answers_twice(start):
    stutterer = Stutterer()
    site, _ = start(stutterer.write_script, checked=True)
    answers: dict[str, tuple[int, bytes]] = {}
    callers = [threading.Thread(target=send_orders, args=(site, n, answers)) for n in range(6)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    served = {i: body for i, (status, body) in answers.items() if status == 200}
    assert len(answers) >= 6 * MIN_ORDERS
    assert served == {i: f"/{i}".encode() for i in served}
    assert not [i for i, a in answers.items() if a[0] in NOT_RUN_STATUSES and stutterer.runs[i]]
    assert not [i for i, count in stutterer.runs.items() if count > 1]
    assert len(served) > MIN_SERVED
