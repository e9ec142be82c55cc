"""The rules, judged from what callers, upstreams and the operator saw."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from .callers import Callers, Record
from .proofs import Proof
from .site import DRAIN_S, Site, format_time
from .states import Operator, States
from .upstreams import Arrival, Upstream
from .wire import Answer

SIGNATURE = "x-response-signature"
PROBLEM_TYPE = "application/problem+json"
CALLER_LEFT_STATUS = 499
# The pages allow five and one in 500 of these.
OWN_4XX_ALLOWED = (408, 421, 429)


class Violation:
    """A broken rule: when, what, and the words that the logs are searched for.

    Attributes
    ----------
    kind : str
        What violations of one rule are counted by.
    """

    def __init__(
        self, rule: str, moment: float, text: str, words: list[str], kind: str = ""
    ) -> None:
        self.kind = kind
        self.rule = rule
        self.moment = moment
        self.text = text
        self.words = words

    def format(self, site: Site) -> str:
        lines = [f"{self.rule} {format_time(self.moment)} {self.text}"]
        for word in self.words:
            lines += [f"    log of {line}" for line in site.grep(word)]
        return "\n".join(lines)


class Evidence:
    """All that was seen in a run."""

    def __init__(
        self,
        site: Site,
        callers: Callers,
        operators: list[Operator],
        states: States,
        upstreams: list[Upstream],
    ) -> None:
        self.site = site
        self.records = callers.records
        self.operators = operators
        self.states = states
        self.upstreams = upstreams
        self.by_id = {r.request_id: r for r in self.records}
        self.arrivals: dict[str, list[tuple[Upstream, Arrival]]] = defaultdict(list)
        for upstream in upstreams:
            for arrival in upstream.arrivals:
                self.arrivals[arrival.request_id].append((upstream, arrival))

    def is_in_touch(self, record: Record) -> bool:
        return self.site.is_in_touch(record.entry, record.sent_at, record.ended_at)


Rule = Callable[[Evidence], Iterator[Violation]]
RULES: dict[str, Rule] = {}


def register_rule(name: str) -> Callable[[Rule], Rule]:
    def register(function: Rule) -> Rule:
        RULES[name] = function
        return function

    return register


def judge(evidence: Evidence) -> list[Violation]:
    return [v for rule in RULES.values() for v in rule(evidence)]


@register_rule("MIXED")
def judge_mixed(evidence: Evidence) -> Iterator[Violation]:
    for record in evidence.records:
        text = f"stray bytes: {record.stray[:60]!r}" if record.stray else ""
        if "no status line" in record.detail:
            text = "bytes that are no answer"
        text = text or find_mismatch(evidence, record)
        if text:
            words = [record.request_id]
            text = f"{text}: {record.describe()}"
            kind = " ".join(w for w in text.partition(":")[0].split() if w.isalpha())
            yield Violation("MIXED", record.ended_at, text, words, kind)


def find_mismatch(evidence: Evidence, record: Record) -> str:
    """Return how an answer isn't the one that an upstream made for the request."""
    answer = record.answer
    if answer is None:
        return ""
    echoed = answer.headers.get("x-request-id", record.request_id)
    if echoed != record.request_id:
        return f"answer of {echoed}" if echoed in evidence.by_id else f"unknown id {echoed}"
    is_success = 200 <= answer.status < 300
    proof = Proof.parse(answer.headers.get(SIGNATURE, ""))
    if proof is None:
        return "success without a proof" if is_success else ""
    if proof.request_id != record.request_id:
        return f"answer of {proof.request_id}"
    if proof.status != answer.status:
        return f"status {answer.status} where {proof.upstream_id} gave {proof.status}"
    if is_success and (proof.length, proof.body_hash) != (len(answer.body), record.answer_hash):
        return f"body of {len(answer.body)} bytes, {answer.framing}, of {proof.length}"
    return ""


def count_refusals(evidence: Evidence) -> Counter[str]:
    """Count the 3xx and 4xx by status, kind, proof and use of the route, also allowed ones."""
    counts: Counter[str] = Counter()
    for record in evidence.records:
        answer = record.answer
        if answer is None or not 300 <= answer.status < 500:
            continue
        proof = "proof" if SIGNATURE in answer.headers else "no proof"
        use = record.use.name or "no route"
        counts[f"{answer.status} {find_kind(answer) or '-'}, {proof}, {use}"] += 1
    return counts


def find_kind(answer: Answer) -> str:
    """Return the kind of error that a problem document states; empty if it is none."""
    if answer.headers.get("content-type") != PROBLEM_TYPE:
        return ""
    try:
        return str(json.loads(answer.body)["kind"])
    except (ValueError, LookupError, TypeError):
        return ""


@register_rule("LEFT")
def judge_left(evidence: Evidence) -> Iterator[Violation]:
    """A caller that reads its answer hasn't left, also if it has closed its sending side."""
    for record in evidence.records:
        if record.status == CALLER_LEFT_STATUS and SIGNATURE not in record.answer.headers:
            text = f"taken for one that left: {record.describe()}"
            yield Violation("LEFT", record.sent_at, text, [record.request_id])


@register_rule("DENIED")
def judge_denied(evidence: Evidence) -> Iterator[Violation]:
    for record in evidence.records:
        answer = record.answer
        if answer is None or not 300 <= answer.status < 500 or SIGNATURE in answer.headers:
            continue
        if answer.status in OWN_4XX_ALLOWED:
            continue
        is_in_touch = evidence.is_in_touch(record)
        states = evidence.states.find_sent(record.ended_at)
        if is_in_touch:
            states = evidence.states.find_possible(record.sent_at, record.ended_at)
        if all(record.use.name in s.services for s in states):
            touch = "in touch" if is_in_touch else "out of touch"
            text = f"{touch}, body {answer.body[:160]!r}: {record.describe()}"
            kind = f"{answer.status} {touch}"
            yield Violation("DENIED", record.sent_at, text, [record.request_id], kind)


@register_rule("DRAIN")
def judge_drain(evidence: Evidence) -> Iterator[Violation]:
    for upstream in evidence.upstreams:
        for arrival in upstream.arrivals:
            record = evidence.by_id.get(arrival.request_id)
            late_s = arrival.at - upstream.left_at
            if late_s <= DRAIN_S or record is None or arrival.answered == 421:
                continue
            if not evidence.site.is_in_touch(record.entry, record.sent_at, arrival.at):
                continue
            calm_s = evidence.site.calm_s(record.entry, arrival.at)
            touches = evidence.site.list_core_touches(upstream.left_at - 2.0, arrival.at)
            offsets = ", ".join(f"{t - upstream.left_at:+.2f}" for t in touches)
            text = (
                f"reached {upstream.upstream_id} {late_s:.3f} s after its leave was "
                f"acknowledged by {upstream.acknowledged_by}, calm for {calm_s:.1f} s, core "
                f"touched at {offsets or 'no time'}: {record.describe()}"
            )
            words = [record.request_id, upstream.upstream_id]
            kind = f"{upstream.upstream_id} at {record.entry}"
            yield Violation("DRAIN", arrival.at, text, words, kind)


@register_rule("TWICE")
def judge_twice(evidence: Evidence) -> Iterator[Violation]:
    for record in evidence.records:
        runs = [u.upstream_id for u, a in evidence.arrivals[record.request_id] if a.has_run]
        if record.use.kind == "unsafe" and len(runs) > 1:
            text = f"ran at {runs}: {record.describe()}"
            yield Violation("TWICE", record.sent_at, text, [record.request_id])


@register_rule("REFUSED")
def judge_refused(evidence: Evidence) -> Iterator[Violation]:
    for record in evidence.records:
        runs = [u.upstream_id for u, a in evidence.arrivals[record.request_id] if a.has_run]
        if record.use.kind == "unsafe" and record.status in (408, 421, 429, 503) and runs:
            text = f"refused, but ran at {runs}: {record.describe()}"
            yield Violation("REFUSED", record.sent_at, text, [record.request_id])


@register_rule("UNASKED")
def judge_unasked(evidence: Evidence) -> Iterator[Violation]:
    for upstream in evidence.upstreams:
        for moment, text in upstream.garbage:
            text = f"{upstream.upstream_id} got {text}"
            yield Violation("UNASKED", moment, text, [upstream.upstream_id])
    for request_id, places in evidence.arrivals.items():
        record = evidence.by_id.get(request_id)
        for upstream, arrival in places:
            if record is None:
                text = f"{upstream.upstream_id} got the unknown {request_id!r}"
                yield Violation("UNASKED", arrival.at, text, [])
                continue
            seen = (arrival.method, arrival.target, arrival.body_hash or record.body_hash)
            if seen != (record.method, record.target, record.body_hash):
                text = f"{upstream.upstream_id} got {seen}: {record.describe()}"
                yield Violation("UNASKED", arrival.at, text, [request_id])


@register_rule("CONFIG")
def judge_config(evidence: Evidence) -> Iterator[Violation]:
    for operator in evidence.operators:
        for moment, text in operator.violations:
            yield Violation("CONFIG", moment, text, [])
    for request_id, places in evidence.arrivals.items():
        record = evidence.by_id.get(request_id)
        for upstream, arrival in places:
            if record is None or not arrival.has_run:
                continue
            rule, states = "ROUTE", evidence.states.find_sent(arrival.at)
            if evidence.site.is_in_touch(record.entry, record.sent_at, arrival.at):
                rule, states = (
                    "CONFIG",
                    evidence.states.find_possible(record.sent_at, arrival.at),
                )
            allowed = {n for s in states for n in s.services.get(record.use.name, ())}
            if upstream.service.name not in allowed:
                text = f"ran at {upstream.service.name}, allowed {allowed}: {record.describe()}"
                yield Violation(rule, arrival.at, text, [request_id])
