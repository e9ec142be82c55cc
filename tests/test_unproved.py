"""Responses without the proof that they are an upstream's, which must not pass for answers."""

from __future__ import annotations

import itertools
import json
import logging
from collections import Counter

import pytest

from foxtaildrum.kinds import ErrorKind, Outcome
from foxtaildrum.requests.answers import check_proof
from foxtaildrum.requests.attempts import ForwardedAttempt
from foxtaildrum.requests.dialects import Dialect
from foxtaildrum.requests.forwards import RESULT_HEADER, ForwardResult
from foxtaildrum.requests.problem import OUTCOME_HEADER
from foxtaildrum.requests.transport import Head

from .sites import open_site
from .standins.processes import wait_until
from .standins.scripted import Arrival, Script, ScriptedUpstream, build_response
from .test_platform import load_module

PROOF = "X-Response-Signature"
REFUSALS = [300, 301, 302, 304, 307, 308, 400, 401, 403, 404, 405, 408, 409, 410, 413, 415]
REFUSALS += [422, 429, 431, 451, 499]
NO_PROOFS = [{}, {"X_Response_Signature": ""}]
# An upstream's own failures: they promise nothing, and need no proof.
FAILURES = [500, 501, 502, 504, 599]
FRAMINGS = ["length", "chunked", "close"]


class Answer:
    """What the upstreams answer requests with; tests change it."""

    def __init__(self) -> None:
        self.status = 200
        self.headers: dict[str, str] = {}
        self.framing = "length"
        self.upstreams: dict[str, ScriptedUpstream] = {}

    def set(self, status: int, framing: str = "length", **headers: str) -> None:
        self.status = status
        self.framing = framing
        self.headers = {name.replace("_", "-"): value for name, value in headers.items()}

    def write_bad(self, arrival: Arrival) -> Script:
        headers = {"X-Request-Id": arrival.request_id, **self.headers}
        data = build_response(self.status, headers, b"bad", self.framing)
        return Script(data, end="fin" if self.framing == "close" else "")

    def write_good(self, arrival: Arrival) -> Script:
        headers = {"X-Request-Id": arrival.request_id, PROOF: "proof"}
        return Script(build_response(200, headers, b"good"))

    def count_runs(self, pool: str, target: str) -> int:
        return self.upstreams[pool].count_arrivals(target)


@pytest.fixture(scope="module")
def answer():
    return Answer()


@pytest.fixture(scope="module")
def site(tmp_path_factory, answer):
    """A site whose pool ``bad`` has one upstream, and ``mixed`` another one that is good."""
    load_module("dialect")
    folder = tmp_path_factory.mktemp("unproved")
    scripts = {"bad": answer.write_bad, "good": answer.write_good}
    with open_site(folder, dialect="platform", access_log=True) as site:
        answer.upstreams = {name: ScriptedUpstream(write) for name, write in scripts.items()}
        pools = {"bad": ["bad"], "mixed": ["bad", "good"]}
        site.apply("pools", [{"name": pool, "retry_budget_ratio": 1.0} for pool in pools])
        routes = [{"name": pool, "path_prefix": f"/{pool}/", "pool": pool} for pool in pools]
        site.apply("routes", routes)
        fields = {"availability_zone": "", "state": "ready", "sequence": 1}
        for pool, names in pools.items():
            for name in names:
                port = answer.upstreams[name].port
                site.announce(f"{pool}-{name}", pool, port, **fields)
        yield site
        for upstream in answer.upstreams.values():
            upstream.close()


def send(site, answer, request_id: str, method: str = "POST", pool: str = "bad"):
    target = f"/{pool}/{request_id}"
    headers = {"X-Request-Id": request_id}
    reply = site.send(method, target, headers, b"order" if method == "POST" else None)
    return reply, answer.count_runs("bad", target)


def read_kind(reply) -> str:
    """Return the kind of an error response of the instance; empty for another response."""
    if "foxtaildrum-outcome" not in reply.headers:
        return ""
    return json.loads(reply.body)["kind"]


# Guards against the incident: an order got the 4xx of something that did not prove to be its
# upstream, which told the caller that the order was wrong and not to be sent again.
def test_an_order_is_told_that_it_is_wrong_without_proof(site, answer):
    told = {}
    for status, framing, proof in itertools.product(REFUSALS, FRAMINGS, NO_PROOFS):
        answer.set(status, framing, **proof)
        request_id = f"{status}-{framing}-{len(proof)}"
        reply, runs = send(site, answer, request_id)
        told[request_id] = (reply.status, read_kind(reply), reply.outcome, runs)
    wrong = {i: t for i, t in told.items() if t != (502, "answer_invalid", "unknown", 1)}
    assert not wrong


def test_a_lookup_is_refused_without_proof_although_another_upstream_is_good(site, answer):
    replies, runs = set(), 0
    for number, status in enumerate([404] * 20 + REFUSALS * 3):
        answer.set(status)
        reply, refusals = send(site, answer, f"two-{number}", "GET", "mixed")
        replies.add((reply.status, reply.body))
        runs += refusals
    assert runs
    assert replies == {(200, b"good")}


def test_an_empty_proof_passes_for_a_success(site, answer):
    answer.set(200, X_Response_Signature=" ")
    statuses = [send(site, answer, f"empty-{m}", m)[0].status for m in ("GET", "POST")]
    assert statuses == [502, 502]


@pytest.mark.parametrize("status", sorted(set(REFUSALS) - {408, 429}))
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_proved_refusal_of_an_upstream_is_held_back(site, answer, status, method):
    answer.set(status, X_Response_Signature="proof")
    reply, runs = send(site, answer, f"proved-{status}-{method}", method)
    assert (reply.status, reply.headers[PROOF.lower()], runs) == (status, "proof", 1)
    assert reply.body == (b"" if status == 304 else b"bad")


@pytest.mark.parametrize("status", FAILURES)
def test_an_upstreams_own_failure_without_proof_is_held_back(site, answer, status):
    answer.set(status)
    reply, runs = send(site, answer, f"failure-{status}")
    assert (reply.status, reply.body, runs) == (status, b"bad", 1)


def test_a_refusal_of_a_long_body_is_relayed_without_proof(site, answer):
    answer.set(413)
    headers = {"X-Request-Id": "long"}
    reply = site.send("POST", "/bad/long", headers, b"x" * 1_000_000)
    assert reply.status == 502


@pytest.mark.parametrize("status", [200, 302, 404, 429])
def test_a_dialect_without_proofs_refuses_responses_without_one(status):
    check_proof(Dialect(), status, [])


# Guards against a proof that the check sees and the caller doesn't get.
def test_a_proof_that_connection_names_passes_although_it_is_not_relayed(site, answer):
    statuses = {}
    for status, method in itertools.product([200, 302, 404], ["GET", "POST"]):
        answer.set(status, X_Response_Signature="proof", Connection="X-Response-Signature")
        reply, _ = send(site, answer, f"named-{status}-{method}", method)
        statuses[status, method] = reply.status
    assert set(statuses.values()) == {502}


# Guards against a refusal that lacks a proof, as it may, and counts as no answer: the request
# was not run, and the caller may be told so.
@pytest.mark.parametrize("status", [400, 404, 421, 429, 503])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_refusal_that_states_not_run_needs_a_proof(site, answer, status, method):
    answer.set(status, X_Not_Executed="1")
    reply, _ = send(site, answer, f"not-run-{status}-{method}", method)
    assert (reply.status, read_kind(reply), reply.outcome) == (503, "shed", "not-run")


def build_forwarded(result: ForwardResult, status: int) -> tuple[ForwardedAttempt, Head]:
    head = Head(status, "", 0)
    head.all_headers = {
        RESULT_HEADER: result.format(),
        OUTCOME_HEADER: result.outcome.value,
    }
    return ForwardedAttempt(0, 0.0, None, None, None, ""), head


# Guards against an upstream's response without proof that passes by way of another instance.
@pytest.mark.parametrize("leaves", [True, False])
def test_a_response_of_an_upstream_needs_no_proof_if_another_instance_relays_it(leaves):
    attempt, head = build_forwarded(ForwardResult("u-1", leaves=leaves), 404)
    assert attempt.needs_proof(head, not_run=False)
    attempt, head = build_forwarded(ForwardResult("u-1"), 404)
    head.all_headers = {}
    assert attempt.needs_proof(head, not_run=False)


@pytest.mark.parametrize("kind", ErrorKind)
def test_an_error_of_another_instance_needs_a_proof(kind):
    attempt, head = build_forwarded(ForwardResult("", kind, Outcome.NOT_RUN), 429)
    assert not attempt.needs_proof(head, not_run=False)


def find_log_record(caplog, event: str, request_id: str):
    """Return the line of a request, which may be written after the caller has its response."""

    def find():
        return [r for r in caplog.records if r.msg == event and r.request_id == request_id]

    assert wait_until(find)
    assert len(find()) == 1
    return find()[0]


def test_a_relayed_refusal_is_logged_without_what_tells_who_made_it(site, answer, caplog):
    answer.set(404, X_Response_Signature="proof")
    before = Counter(site.instance.meter.describe_counters())
    with caplog.at_level(logging.INFO, "foxtaildrum"):
        send(site, answer, "logged")
    record = find_log_record(caplog, "request", "logged")
    assert (record.maker, record.proof, record.upstream) == ("upstream", "present", "bad-bad")
    view = site.instance.proxy.view
    assert (record.version, record.index, record.state) == (view.version, view.index, "ready")
    assert 0 <= record.tables_age_s < 60
    counted = Counter(site.instance.meter.describe_counters()) - before
    assert counted["client_errors.upstream"] == 1
    assert not counted["client_errors.instance"]


# Guards against refusals of the instance itself, by its tables or its parser, that no counter
# tells from those of upstreams.
@pytest.mark.parametrize(
    ("target", "headers", "status"),
    [("/none/x", {}, 404), ("/bad/x", {"Content-Length": "x"}, 400)],
)
def test_a_refusal_of_the_instance_is_not_counted(site, target, headers, status):
    before = Counter(site.instance.meter.describe_counters())
    assert site.send("GET", target, headers).status == status
    counted = Counter(site.instance.meter.describe_counters()) - before
    assert (counted["client_errors.instance"], counted["client_errors.upstream"]) == (1, 0)


def test_a_response_without_proof_is_refused_without_its_status_in_the_log(
    site, answer, caplog
):
    answer.set(302)
    with caplog.at_level(logging.INFO, "foxtaildrum"):
        send(site, answer, "refused")
    record = find_log_record(caplog, "attempt_failed", "refused")
    assert (record.reason, record.status) == ("no_proof", 302)
