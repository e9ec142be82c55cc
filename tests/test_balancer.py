"""Balancer: slots, queue, ejection, ramp, budgets and policies; parsing of load reports."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.balancing.balancer import PROBE_COST_S, Balancer
from foxtaildrum.balancing.budget import Budget
from foxtaildrum.balancing.candidates import RAMP_S
from foxtaildrum.balancing.ejections import EJECT_AFTER_FAILURES
from foxtaildrum.balancing.loads import (
    LoadReport,
    parse_load_figures,
    parse_load_metrics,
    parse_rate_limit,
)
from foxtaildrum.balancing.policies import list_policies
from foxtaildrum.balancing.sampling import STATUS_CHECK_BURST_S
from foxtaildrum.balancing.tickets import Ticket
from foxtaildrum.fleet.upstreams import Entry
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.records import Announcement, Pool
from foxtaildrum.requests.steps import AttemptResult

FAR_FUTURE_S = 1e9
NONE_EXCLUDED: frozenset[str] = frozenset()


def build_entry(name: str, incarnation: int = 1, state: str = "ready", zone: str = "") -> Entry:
    announcement = Announcement(
        pool="p",
        address="127.0.0.1:1",
        slots=2,
        incarnation=incarnation,
        availability_zone=zone,
    )
    return Entry(name, announcement, state, "e1", 1, False, FAR_FUTURE_S)


def build_balancer(
    names: str = "abc", policy: str = "aged_load", queue_limit: int = 4
) -> Balancer:
    balancer = Balancer(Pool(name="p", policy=policy), "here", queue_limit, random.Random(1))
    balancer.update_members(0.0, [build_entry(name) for name in names])
    return balancer


def add_request(
    balancer: Balancer, now: float = 0.0, deadline: float = FAR_FUTURE_S, excluded=NONE_EXCLUDED
) -> Ticket:
    ticket = Ticket(deadline, excluded)
    balancer.request_slot(now, ticket, may_wait=True)
    return ticket


def choose_repeatedly(balancer: Balancer, now: float, count: int = 200) -> list[str]:
    chosen = []
    for _ in range(count):
        ticket = add_request(balancer, now)
        chosen.append(ticket.granted.upstream_id)
        balancer.release(now, ticket.granted, AttemptResult.OK, 0.01)
    return chosen


@pytest.mark.parametrize("policy", list_policies())
def test_every_policy_spreads_over_equal_upstreams(policy):
    assert set(choose_repeatedly(build_balancer(policy=policy), 0.0)) == {"a", "b", "c"}


@given(
    st.lists(
        st.sampled_from(["request", "release", "fail", "shed", "leave", "return", "wait"]),
        max_size=60,
    ),
    st.sampled_from(list_policies()),
    st.integers(0, 9),
)
def test_slots_are_never_exceeded_nor_lost(steps, policy, seed):
    balancer = build_balancer(policy=policy)
    rng = random.Random(seed)
    held, waiting = [], []
    now = 0.0
    for step in steps:
        now += 0.1
        completed = []
        if step == "request":
            ticket = add_request(balancer, now, now + 1.0)
            (held if ticket.granted else waiting).append(ticket)
        elif step in ("release", "fail", "shed") and held:
            ticket = held.pop(rng.randrange(len(held)))
            result = {
                "release": AttemptResult.OK,
                "fail": AttemptResult.FAILED,
                "shed": AttemptResult.SHED,
            }[step]
            completed = balancer.release(now, ticket.granted, result, 0.01)
        elif step == "leave":
            completed = balancer.update_members(now, [build_entry("a")])
        elif step == "return":
            completed = balancer.update_members(now, [build_entry(n, 2) for n in "abc"])
        elif step == "wait":
            now += 2.0
            completed = balancer.serve_queue(now)
        held += [t for t in completed if t.granted]
        assert all(u.in_flight <= u.slots for u in balancer.upstreams.values())
        assert balancer.in_flight == len(held)
    for ticket in list(held):
        held += [
            t
            for t in balancer.release(now, ticket.granted, AttemptResult.OK, 0.01)
            if t.granted
        ]
        held.remove(ticket)
    for ticket in held:
        balancer.release(now, ticket.granted, AttemptResult.OK, 0.01)
    assert balancer.in_flight == 0


def test_a_request_is_refused_at_once_for_a_full_queue_or_a_near_deadline():
    balancer = build_balancer("a", queue_limit=1)
    for _ in range(2):
        assert add_request(balancer).granted
    assert add_request(balancer, deadline=0.001).refused is ErrorKind.DEADLINE_UNREACHABLE
    assert not add_request(balancer).completed
    assert add_request(balancer).refused is ErrorKind.OVERLOADED


def test_a_waiting_request_gets_the_next_slot():
    balancer = build_balancer("a")
    first = add_request(balancer)
    add_request(balancer)
    waiting = add_request(balancer)
    assert not waiting.completed
    balancer.release(1.0, first.granted, AttemptResult.OK, 1.0)
    assert waiting.granted is not None


def test_a_waiting_request_is_refused_when_its_deadline_comes_near():
    balancer = build_balancer("a")
    for _ in range(2):
        add_request(balancer)
    waiting = add_request(balancer, deadline=1.0)
    assert balancer.serve_queue(0.99) == [waiting]
    assert waiting.refused is ErrorKind.DEADLINE_UNREACHABLE


def test_a_pool_refuses_requests_above_its_busy_limit():
    balancer = build_balancer("abc")
    balancer.busy_limit = 3
    for _ in range(3):
        assert add_request(balancer).granted
    assert add_request(balancer).refused is ErrorKind.OVERLOADED


def test_an_upstream_that_fails_fast_does_not_look_idle():
    balancer = build_balancer("abc")
    now = 0.0
    failures = 0
    for _ in range(300):
        now += 0.01
        ticket = add_request(balancer, now)
        failed = ticket.granted.upstream_id == "a"
        failures += failed
        result = AttemptResult.FAILED if failed else AttemptResult.OK
        balancer.release(now, ticket.granted, result, 0.001 if failed else 0.05)
    assert failures < 300 / 3 / 4


def test_an_upstream_that_keeps_shedding_gets_few_requests():
    balancer = build_balancer("abc")
    now = 0.0
    sheds = 0
    for _ in range(1000):
        now += 0.01
        ticket = add_request(balancer, now)
        shed = ticket.granted.upstream_id == "a"
        sheds += shed
        balancer.release(
            now, ticket.granted, AttemptResult.SHED if shed else AttemptResult.OK, 0.005
        )
    assert sheds < 1000 * 0.02


def test_ejection_never_empties_the_pool():
    balancer = build_balancer("ab")
    for _ in range(4 * EJECT_AFTER_FAILURES):
        ticket = add_request(balancer, 0.0)
        balancer.release(0.0, ticket.granted, AttemptResult.FAILED, 0.001)
    assert add_request(balancer, 0.0).granted


def test_a_restarted_upstream_gets_fewer_requests_during_its_ramp():
    balancer = build_balancer("ab")
    balancer.update_members(1.0, [build_entry("a"), build_entry("b", incarnation=2)])
    during = choose_repeatedly(balancer, 1.1).count("b")
    after = choose_repeatedly(balancer, 1.0 + RAMP_S + 0.1).count("b")
    assert during < after / 2


def test_a_pool_with_only_draining_upstreams_refuses_with_no_upstream():
    balancer = build_balancer("a")
    balancer.update_members(1.0, [build_entry("a", state="draining")])
    assert add_request(balancer, 1.0).refused is ErrorKind.NO_UPSTREAM


def test_a_retry_reuses_a_tried_upstream_only_when_there_is_no_other():
    balancer = build_balancer("ab")
    for _ in range(20):
        ticket = add_request(balancer, excluded=frozenset("a"))
        assert ticket.granted.upstream_id == "b"
        balancer.release(0.0, ticket.granted, AttemptResult.OK, 0.01)
    assert add_request(balancer, excluded=frozenset("ab")).granted


def test_a_retry_prefers_an_ejected_upstream_to_the_one_that_was_tried():
    balancer = build_balancer("abc")
    balancer.upstreams["c"].ejected_until = FAR_FUTURE_S
    ticket = add_request(balancer, excluded=frozenset("ab"))
    assert ticket.granted.upstream_id == "c"


def test_the_own_zone_is_preferred_until_it_is_busier():
    balancer = Balancer(Pool(name="p"), "here", 4, random.Random(1))
    balancer.update_members(
        0.0, [build_entry("near", zone="here"), build_entry("far", zone="there")]
    )
    assert set(choose_repeatedly(balancer, 0.0, 20)) == {"near"}
    add_request(balancer)
    assert add_request(balancer).granted.upstream_id == "far"


def test_the_weight_of_a_load_report_decays_with_its_age():
    balancer = build_balancer("ab")
    for upstream in balancer.upstreams.values():
        balancer.record_load(0.0, upstream, LoadReport(0.0))
    busy = balancer.upstreams["a"]
    balancer.record_load(1.0, busy, LoadReport(3.0))
    assert set(choose_repeatedly(balancer, 1.0, 50)) == {"b"}
    assert "a" in choose_repeatedly(balancer, 2.0, 50)


def test_requests_wait_for_full_upstreams_until_the_reports_are_old():
    balancer = build_balancer("a")
    for _ in range(200):
        balancer.record_load(1.0, balancer.upstreams["a"], LoadReport(40.0))
    queued = add_request(balancer, 1.0)
    assert not queued.completed
    balancer.serve_queue(60.0)
    assert queued.granted is not None


@given(st.lists(st.tuples(st.booleans(), st.floats(0.01, 1.0)), max_size=100))
def test_a_budget_spends_at_most_its_share(steps):
    budget = Budget(0.1, 5.0)
    earned = spent = 0.0
    for earns, amount in steps:
        if earns:
            budget.earn(amount)
            earned += amount
        elif budget.spend(amount):
            spent += amount
    assert spent <= earned * 0.1 + 1e-9


def test_a_budget_with_ratio_0_allows_no_spending():
    budget = Budget(0.0, 5.0, 5.0)
    budget.earn(100.0)
    assert not budget.spend(0.001)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ('JSON {"named_metrics": {"slots_in_use": 3}}', 3.0),
        ("TEXT cpu_utilization=0.3, named_metrics.slots_in_use=2.5", 2.5),
        ("BIN abc", None),
        ("JSON {", None),
        ('JSON {"named_metrics": 3}', None),
        ("TEXT named_metrics.slots_in_use=many", None),
        ("TEXT named_metrics.slots_in_use=-1", None),
        ("TEXT named_metrics.slots_in_use=nan", None),
        ("", None),
    ],
)
def test_load_metrics_are_parsed_or_ignored(value, expected):
    report = parse_load_metrics(value)
    assert (None if report is None else report.slots_in_use) == expected


def test_probes_go_to_the_oldest_report_and_stay_within_the_budget():
    pool = Pool(name="p", load_path="/load", measuring_budget_ratio=0.1)
    balancer = Balancer(pool, "here", 4, random.Random(1))
    balancer.update_members(0.0, [build_entry(name) for name in "ab"])
    assert balancer.choose_probe(0.0) is None, "the budget is empty before any request finished"
    spent_s = held_s = 0.0
    now = 0.0
    for _ in range(200):
        now += 0.1
        balancer.record_request()
        balancer.earn_measuring_budget(0.02)
        held_s += 0.02
        balancer.record_load(now, balancer.upstreams["a"], LoadReport(1.0))
        while (target := balancer.choose_probe(now)) is not None:
            assert target.upstream_id == "b"
            spent_s += PROBE_COST_S
    assert 0 < spent_s <= held_s * 0.1


def test_no_probe_is_sent_without_a_budget():
    pool = Pool(name="p", load_path="/load", measuring_budget_ratio=0.0)
    balancer = Balancer(pool, "here", 4, random.Random(1))
    balancer.update_members(0.0, [build_entry("a")])
    balancer.earn_measuring_budget(100.0)
    assert balancer.choose_probe(1.0) is None


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("3,1,6", (4.0, 1.0)),
        ("3,0,6,250", (3.0, 2.5)),
        ("3,0", None),
        ("3,0,6,0", None),
        ("3,0,6,nan", None),
        ("-1,0,6,100", None),
        ("many,0,6", None),
        ("", None),
    ],
)
def test_load_figures_are_parsed_or_ignored(value, expected):
    report = parse_load_figures(value)
    assert (None if report is None else (report.slots_in_use, report.pace)) == expected


def test_a_slow_pace_outweighs_a_few_requests_and_decays():
    balancer = build_balancer("ab")
    balancer.record_load(1.0, balancer.upstreams["a"], LoadReport(0.0, 5.0))
    balancer.record_load(1.0, balancer.upstreams["b"], LoadReport(1.0, 1.0))
    assert set(choose_repeatedly(balancer, 1.001, 20)) == {"b"}
    assert set(choose_repeatedly(balancer, 60.0, 100)) == {"a", "b"}


def test_status_checks_stay_within_the_probe_rate():
    balancer = build_balancer("abc")
    assert balancer.choose_samples(1.0, NONE_EXCLUDED) == []
    balancer.set_status_check_rate(2.0, 3)
    assert len(balancer.choose_samples(10.0, NONE_EXCLUDED)) == 3
    check_count = 3 + sum(
        len(balancer.choose_samples(10.0 + n / 100, NONE_EXCLUDED)) for n in range(2000)
    )
    assert check_count <= 2 * 3 * (STATUS_CHECK_BURST_S + 20.0)


def test_the_budget_covers_status_checks_for_a_burst_after_an_idle_time():
    balancer = build_balancer("abc")
    balancer.set_status_check_rate(2.0, 3)
    balancer.choose_samples(0.0, NONE_EXCLUDED)
    check_counts = [
        len(balancer.choose_samples(60.0 + n / 1000, NONE_EXCLUDED)) for n in range(10)
    ]
    assert check_counts == [3] * 10


def test_urgent_requests_are_queued_first_and_displace_less_urgent_ones():
    balancer = build_balancer("a", queue_limit=2)
    for _ in range(balancer.upstreams["a"].slots):
        assert add_request(balancer).granted
    tickets = [Ticket(FAR_FUTURE_S, NONE_EXCLUDED, priority) for priority in (3, 2, 1)]
    for ticket in tickets:
        balancer.request_slot(0.0, ticket, may_wait=True)
    assert tickets[0].refused is ErrorKind.OVERLOADED
    assert balancer.pop_displaced() == [tickets[0]]
    completed = balancer.release(1.0, balancer.upstreams["a"], AttemptResult.OK, 0.01)
    assert completed == [tickets[2]]


def test_a_request_waits_no_longer_than_its_max_wait():
    balancer = build_balancer("a")
    for _ in range(balancer.upstreams["a"].slots):
        add_request(balancer)
    ticket = Ticket(FAR_FUTURE_S, NONE_EXCLUDED, 0, max_queue_wait_s=0.1)
    balancer.request_slot(0.0, ticket, may_wait=True)
    assert not ticket.completed
    balancer.serve_queue(0.2)
    assert ticket.refused is ErrorKind.DEADLINE_UNREACHABLE


def test_a_request_waits_while_fresh_reports_show_every_upstream_full():
    balancer = build_balancer("ab")
    for upstream in balancer.upstreams.values():
        balancer.record_load(1.0, upstream, LoadReport(upstream.slots * 1.5))
    ticket = Ticket(FAR_FUTURE_S, NONE_EXCLUDED, max_queue_wait_s=0.05)
    balancer.request_slot(1.001, ticket, may_wait=True)
    assert not ticket.completed
    balancer.record_load(1.01, balancer.upstreams["a"], LoadReport(0.0))
    assert balancer.serve_queue(1.011) == [ticket]
    assert ticket.granted is balancer.upstreams["a"]


def test_each_further_unanswered_status_check_ejects_an_upstream_for_longer():
    balancer = build_balancer("ab")
    upstream = balancer.upstreams["a"]
    ejection_durations_s = []
    for now in (1.0, 2.0, 3.0):
        balancer.record_unanswered_check(now, upstream)
        ejection_durations_s.append(upstream.ejected_until - now)
    assert ejection_durations_s == sorted(ejection_durations_s)
    assert ejection_durations_s[0] < ejection_durations_s[-1]
    balancer.record_load(4.0, upstream, LoadReport(0.0))
    assert upstream.unanswered_checks == 0


def test_an_unresponsive_upstream_gets_no_request_before_it_answers_a_status_check():
    balancer = build_balancer("abc")
    balancer.set_status_check_rate(1000.0, 3)
    balancer.record_unanswered_check(1.0, balancer.upstreams["a"])
    later = balancer.upstreams["a"].ejected_until + 3.0
    for name in "bc":
        balancer.record_load(later, balancer.upstreams[name], LoadReport(1.0))
    assert set(choose_repeatedly(balancer, later, 50)) == {"b", "c"}
    targets = balancer.choose_samples(later, NONE_EXCLUDED)
    assert [u.upstream_id for u in targets] == ["a"]
    balancer.record_load(later, balancer.upstreams["a"], LoadReport(0.0))
    assert "a" in choose_repeatedly(balancer, later, 50)


def test_an_upstream_that_refused_a_connection_must_answer_a_status_check_first():
    balancer = build_balancer("abc")
    balancer.set_status_check_rate(1000.0, 3)
    upstream = balancer.upstreams["a"]
    upstream.in_flight = 1
    balancer.in_flight = 1
    balancer.release(1.0, upstream, AttemptResult.UNREACHABLE, 0.1)
    assert set(choose_repeatedly(balancer, 60.0, 50)) == {"b", "c"}
    assert upstream in balancer.choose_samples(60.0, NONE_EXCLUDED)


def test_a_pool_with_mostly_unresponsive_upstreams_is_still_used():
    balancer = build_balancer("abc")
    for name in "ab":
        balancer.record_unanswered_check(1.0, balancer.upstreams[name])
    assert set(choose_repeatedly(balancer, 60.0, 100)) & {"a", "b"}


def test_a_repeatedly_slow_upstream_is_avoided_after_its_last_report_is_old():
    balancer = build_balancer("ab")
    for number in range(20):
        now = 1.0 + number * 0.2
        balancer.record_load(now, balancer.upstreams["a"], LoadReport(0.0, 10.0))
        balancer.record_load(now, balancer.upstreams["b"], LoadReport(0.0, 1.0))
    assert set(choose_repeatedly(balancer, now + 1.0, 50)) == {"b"}
    assert set(choose_repeatedly(balancer, now + 120.0, 200)) == {"a", "b"}


def test_a_request_waits_rather_than_going_to_an_idle_but_far_too_slow_upstream():
    balancer = build_balancer("ab")
    balancer.record_load(1.0, balancer.upstreams["a"], LoadReport(0.0, 12.0))
    full = LoadReport(balancer.upstreams["b"].slots * 1.5)
    balancer.record_load(1.0, balancer.upstreams["b"], full)
    ticket = Ticket(FAR_FUTURE_S, NONE_EXCLUDED, max_queue_wait_s=0.05)
    balancer.request_slot(1.001, ticket, may_wait=True)
    assert not ticket.completed


def test_a_pool_that_is_slow_as_a_whole_is_still_used():
    balancer = build_balancer("ab")
    for number in range(200):
        for upstream in balancer.upstreams.values():
            balancer.record_load(1.0 + number / 100, upstream, LoadReport(0.0, 8.0))
    assert add_request(balancer, 3.0).granted


@pytest.mark.parametrize("value", [None, "", "many", "-1", "nan", "inf", "1e9", "2,5"])
def test_an_invalid_rate_limit_is_ignored(value):
    assert parse_rate_limit(value) is None


def test_a_rate_limit_may_have_fractions():
    assert parse_rate_limit("2.5") == 2.5
