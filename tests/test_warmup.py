"""Limit on requests to cold upstreams: decisions of one instance."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.balancing.balancer import Balancer
from foxtaildrum.balancing.tickets import Ticket
from foxtaildrum.balancing.warmup import (
    BOUND_USED_RATIO,
    WINDOW_S,
    Warmup,
    WarmupLimit,
    choose_instances,
)
from foxtaildrum.fleet.upstreams import READY, Entry
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.ranks import compute_rank
from foxtaildrum.records import Announcement, Pool
from foxtaildrum.requests.dialects import Dialect
from foxtaildrum.requests.steps import AttemptResult

NOW = 100.0
# After this time an instance that started at ``NOW`` has its allowance.
LATER = NOW + 2 * WINDOW_S
COLD_S = 20.0
ZONES = {"i0": "a"}


def build_limit(per_s: float, overshoot: float = 1.5, slack: float = 8.0) -> WarmupLimit:
    return WarmupLimit.from_pool(Pool(name="p", warmup_per_s=per_s), overshoot, slack)


def build_entry(
    name: str, incarnation: int = 1, cold_until: float | None = None, zone: str = "a"
) -> Entry:
    announcement = Announcement(
        pool="p",
        address="10.0.0.1:1",
        slots=50,
        incarnation=incarnation,
        availability_zone=zone,
    )
    return Entry(name, announcement, READY, "owner", 1, False, NOW + 99, cold_until=cold_until)


def build_balancer(names: str = "u", zones=ZONES, **fields) -> Balancer:
    """Return the balancer of an instance that knows warm upstreams since its start."""
    pool = Pool(name="p", **({"warmup_per_s": 2.0, "warmup_s": COLD_S} | fields))
    balancer = Balancer(pool, "a", 100, random.Random(3), "i0")
    balancer.cold.set_bounds(1.5, 8.0)
    balancer.cold.set_zones(NOW, zones)
    balancer.update_members(NOW, [build_entry(name) for name in names])
    return balancer


def request(balancer: Balancer, now: float, wait_s: float = 0.0) -> Ticket:
    ticket = Ticket(now + 10.0, frozenset(), max_queue_wait_s=wait_s)
    balancer.request_slot(now, ticket, True)
    return ticket


def send_all(balancer: Balancer, now: float) -> int:
    """Send requests until one is refused; return how many were sent."""
    for count in range(1000):
        ticket = request(balancer, now)
        if ticket.granted is None:
            assert ticket.refused is ErrorKind.UPSTREAMS_WARMING_UP
            return count
        if ticket.warmup is not None:
            ticket.warmup.record_sent(now)
        balancer.release(now, ticket.granted, AttemptResult.OK, 0.01)
    return 1000


@pytest.mark.parametrize(
    ("per_s", "bound", "requests"), [(13.0, 27.5, 19), (5.8, 16.7, 11), (1.0, 9.5, 6)]
)
def test_all_instances_together_use_at_most_their_part_of_the_bound(per_s, bound, requests):
    limit = build_limit(per_s)
    assert limit.requests == requests
    for instance_count in range(1, 200):
        count, share = limit.compute_share(instance_count)
        assert 0 < count <= instance_count
        assert count * share <= BOUND_USED_RATIO * bound


def test_few_instances_all_use_a_cold_upstream_and_send_more_each():
    assert build_limit(13.0).compute_share(3) == (3, 6)
    assert build_limit(13.0).compute_share(16) == (16, 1)
    assert build_limit(13.0).compute_share(142) == (19, 1)


def test_a_bound_below_one_request_per_second_lengthens_the_window():
    limit = build_limit(0.2, overshoot=1.0, slack=0.0)
    assert limit.requests == 1
    assert limit.window_s == pytest.approx(WINDOW_S / (0.2 * BOUND_USED_RATIO))


def test_a_bound_of_zero_allows_nothing():
    assert build_limit(2.0, overshoot=0.0, slack=0.0).compute_share(5) == (0, 0)


def test_a_pool_without_a_rate_has_no_limit():
    assert WarmupLimit.from_pool(Pool(name="p", warmup_s=5.0), 1.5, 8.0) is None


@given(
    st.dictionaries(
        st.integers(0, 300).map(lambda n: f"i{n}"), st.sampled_from("abc"), max_size=40
    ),
    st.integers(0, 20),
)
def test_at_least_half_of_the_chosen_instances_are_in_the_zone_of_the_upstream(zones, wanted):
    ranks = {i: compute_rank(i, "u") for i in zones}
    count = min(wanted, len(zones))
    chosen = choose_instances(ranks, zones, "a", count)
    local = [i for i in zones if zones[i] == "a"]
    assert len(chosen) == count
    assert len([i for i in chosen if zones[i] == "a"]) >= min(len(local), (count + 1) // 2)


def test_a_member_more_or_less_replaces_few_of_the_chosen_instances():
    # The reserve of the bound covers instances whose lists differ by a few members.
    zones = {f"i{n}": "abc"[n % 3] for n in range(60)}
    ranks = {i: compute_rank(i, "u") for i in zones}
    chosen = choose_instances(ranks, zones, "a", 12)
    for missing in zones:
        others = {i: z for i, z in zones.items() if i != missing}
        changed = choose_instances({i: ranks[i] for i in others}, others, "a", 12)
        assert len(chosen - changed - {missing}) <= 1
        assert len(changed - chosen) <= 2


def build_warmup(share_limit: int = 2) -> Warmup:
    warmup = Warmup("u", "a", "i0", WarmupLimit(share_limit, 1.0))
    warmup.assign_share(WarmupLimit(share_limit, 1.0), ZONES)
    warmup.cold_until = NOW + COLD_S
    return warmup


def test_a_request_counts_from_its_grant_until_a_window_after_it_was_sent():
    # Counted from the grant, two requests could arrive together after a slow connection.
    warmup = build_warmup(1)
    warmup.reserve()
    assert not warmup.may_send(NOW + 5.0)
    warmup.record_sent(NOW + 5.0)
    assert not warmup.may_send(NOW + 5.99)
    assert warmup.may_send(NOW + 6.0)


def test_a_request_that_was_not_sent_gives_its_reservation_back():
    warmup = build_warmup(1)
    warmup.reserve()
    warmup.cancel()
    assert warmup.may_send(NOW)


def test_the_requests_that_may_be_sent_in_time_are_counted():
    warmup = build_warmup(2)
    for sent in (NOW, NOW + 0.4):
        warmup.reserve()
        warmup.record_sent(sent)
    assert not warmup.may_send(NOW + 0.5)
    assert warmup.count_due(NOW + 0.5, NOW + 0.9) == 0
    assert warmup.count_due(NOW + 0.5, NOW + 1.1) == 1
    assert warmup.count_due(NOW + 0.5, NOW + 1.45) == 2
    assert warmup.compute_wait(NOW + 0.5) == pytest.approx(0.5)
    assert warmup.count_due(NOW + 0.5, NOW + COLD_S) > 1000


def test_a_pool_without_a_rate_records_nothing():
    # A deployment that does not ask for the limit is served as before.
    balancer = build_balancer(warmup_per_s=0.0)
    balancer.update_members(NOW, [build_entry("u", 2, NOW + COLD_S)])
    balancer.cold.record_check(NOW, balancer.upstreams["u"], COLD_S)
    balancer.presume_cold(NOW, "a")
    assert balancer.upstreams["u"].warmup is None
    assert not balancer.cold.any_cold
    assert request(balancer, LATER).granted is not None


def test_a_new_start_gets_its_share_and_the_rest_is_refused_at_once():
    balancer = build_balancer()
    balancer.update_members(LATER, [build_entry("u", 2, LATER + COLD_S)])
    share = balancer.upstreams["u"].warmup.share
    assert share == 7
    assert send_all(balancer, LATER) == share
    ticket = request(balancer, LATER + 0.5)
    assert ticket.refused is ErrorKind.UPSTREAMS_WARMING_UP
    assert ticket.retry_after_s == pytest.approx(WINDOW_S - 0.5)
    assert send_all(balancer, LATER + WINDOW_S) == share


def test_a_new_start_without_a_listed_period_is_cold_for_the_time_of_its_pool():
    # The owner may be of a build that does not list cold periods.
    balancer = build_balancer()
    balancer.update_members(LATER, [build_entry("u", 2)])
    assert balancer.upstreams["u"].warmup.cold_until == LATER + COLD_S


def test_an_upstream_of_the_first_list_is_warm_unless_the_list_says_otherwise():
    balancer = build_balancer()
    assert not balancer.cold.any_cold
    balancer.update_members(NOW, [build_entry("u"), build_entry("v", 1, NOW + 5.0)])
    assert balancer.upstreams["u"].warmup is None
    assert balancer.upstreams["v"].warmup.cold_until == NOW + 5.0


def test_an_instance_that_has_just_started_begins_with_an_empty_allowance():
    # Its former process may have used the share up just before.
    balancer = build_balancer("")
    balancer.update_members(NOW, [build_entry("u", 1, NOW + COLD_S)])
    assert send_all(balancer, NOW) == 0
    assert send_all(balancer, NOW + WINDOW_S) > 0


def test_an_upstream_that_turns_cold_while_it_is_used_gets_nothing_for_a_window():
    # What was sent before the instance heard of it is not known.
    balancer = build_balancer()
    balancer.cold.record_check(LATER, balancer.upstreams["u"], COLD_S)
    assert send_all(balancer, LATER) == 0
    assert send_all(balancer, LATER + WINDOW_S) > 0


def test_an_instance_that_is_not_chosen_leaves_a_cold_upstream_out():
    zones = {f"i{n}": "b" for n in range(1, 60)} | ZONES
    balancer = build_balancer("uvwxyz", zones)
    entries = [build_entry(name, 2, LATER + COLD_S, zone="b") for name in "uvwxy"]
    balancer.update_members(LATER, [*entries, build_entry("z")])
    unused = {u.upstream_id for u in balancer.cold.list_cold() if not u.warmup.share}
    assert unused
    granted = {request(balancer, LATER).granted.upstream_id for _ in range(50)}
    assert not granted & unused
    assert "z" in granted


def test_a_request_waits_for_a_cold_upstream_only_if_it_gets_its_turn():
    balancer = build_balancer()
    balancer.update_members(LATER, [build_entry("u", 2, LATER + COLD_S)])
    share = send_all(balancer, LATER)
    waiting = [request(balancer, LATER + 0.5, wait_s=1.0) for _ in range(share + 2)]
    assert [t.refused for t in waiting[share:]] == [ErrorKind.UPSTREAMS_WARMING_UP] * 2
    assert not any(t.completed for t in waiting[:share])
    assert balancer.serve_queue(LATER + WINDOW_S) == waiting[:share]
    assert all(t.granted for t in waiting[:share])


def test_a_waiting_request_is_refused_once_the_last_warm_upstream_turns_cold():
    balancer = build_balancer()
    for _ in range(50):
        assert request(balancer, LATER).granted is not None
    waiting = request(balancer, LATER, wait_s=0.5)
    assert not waiting.completed
    balancer.cold.record_check(LATER, balancer.upstreams["u"], COLD_S)
    assert balancer.serve_queue(LATER) == [waiting]
    assert waiting.refused is ErrorKind.UPSTREAMS_WARMING_UP


def test_the_warm_upstreams_of_a_pool_are_used_while_another_is_cold():
    balancer = build_balancer("uv")
    balancer.update_members(LATER, [build_entry("u", 2, LATER + COLD_S), build_entry("v")])
    send = [request(balancer, LATER) for _ in range(60)]
    counts = [sum(t.granted.upstream_id == name for t in send if t.granted) for name in "uv"]
    assert counts[0] <= 7
    assert counts[1] == 50


def test_a_resting_upstream_and_a_cold_one_refuse_until_the_first_is_usable():
    balancer = build_balancer("uv")
    balancer.update_members(LATER, [build_entry("u", 2, LATER + COLD_S), build_entry("v")])
    balancer.record_rest(LATER, balancer.upstreams["v"], 0.4)
    send_all(balancer, LATER)
    ticket = request(balancer, LATER)
    assert ticket.refused is ErrorKind.UPSTREAMS_WARMING_UP
    assert ticket.retry_after_s == pytest.approx(0.4)
    assert not request(balancer, LATER, wait_s=0.5).completed


def test_a_status_check_that_states_nothing_shows_a_warm_upstream():
    balancer = build_balancer()
    entries = [build_entry("u", 2, LATER + COLD_S)]
    balancer.update_members(LATER, entries)
    balancer.cold.record_check(LATER, balancer.upstreams["u"], None)
    assert request(balancer, LATER).granted is not None
    # The list still has the period; repeating it is no news.
    balancer.update_members(LATER, entries)
    entries[0].cold_until += 0.4
    balancer.update_members(LATER, entries)
    assert not balancer.cold.any_cold
    entries[0].cold_until += 0.6
    balancer.update_members(LATER, entries)
    assert balancer.cold.any_cold


def test_a_cold_period_that_the_list_lacks_is_reported_again_after_a_while():
    balancer = build_balancer()
    upstream = balancer.upstreams["u"]
    assert balancer.cold.record_check(LATER, upstream, COLD_S)
    assert not balancer.cold.record_check(LATER + 0.1, upstream, COLD_S - 0.1)
    assert balancer.cold.record_check(LATER + 0.3, upstream, COLD_S - 0.3)
    balancer.update_members(LATER + 0.4, [build_entry("u", 1, LATER + COLD_S)])
    assert not balancer.cold.record_check(LATER + 0.9, upstream, COLD_S - 0.9)


def test_begins_and_ends_are_noted_once():
    balancer = build_balancer()
    balancer.update_members(LATER, [build_entry("u", 2, LATER + COLD_S)])
    balancer.cold.record_check(LATER + 1.0, balancer.upstreams["u"], COLD_S)
    balancer.cold.expire(LATER + COLD_S)
    balancer.cold.expire(LATER + COLD_S + 1.0)
    balancer.cold.expire(LATER + COLD_S + 1.0)
    changes = balancer.cold.pop_changes()
    assert [c.left_s for c in changes] == [pytest.approx(COLD_S), None]
    assert not balancer.cold.pop_changes()


def test_an_upstream_that_is_gone_is_not_cold_any_more():
    balancer = build_balancer("uv")
    balancer.update_members(LATER, [build_entry("u", 2, LATER + COLD_S), build_entry("v")])
    balancer.update_members(LATER, [build_entry("v")])
    assert balancer.cold.count == 0


def test_a_table_without_the_rate_ends_the_limit():
    balancer = build_balancer()
    balancer.update_members(LATER, [build_entry("u", 2, LATER + COLD_S)])
    balancer.configure(Pool(name="p"))
    assert request(balancer, LATER).granted.warmup is None
    balancer.configure(Pool(name="p", warmup_per_s=2.0, warmup_s=COLD_S))
    balancer.update_members(LATER, [build_entry("u", 2, LATER + COLD_S)])
    assert balancer.cold.any_cold


def test_a_larger_share_is_used_a_window_later():
    # The instance that left may have used its share up just before.
    balancer = build_balancer(zones={"i0": "a", "i1": "a"})
    balancer.update_members(LATER, [build_entry("u", 2, LATER + COLD_S)])
    assert balancer.upstreams["u"].warmup.share == 3
    balancer.cold.set_zones(LATER, ZONES)
    assert send_all(balancer, LATER + WINDOW_S - 0.01) == 0
    assert send_all(balancer, LATER + WINDOW_S) == 7


def test_upstreams_are_presumed_cold_after_the_evacuation_of_their_zone():
    balancer = build_balancer("uv", health_path="/health")
    balancer.set_status_check_rate(1000.0, 2)
    balancer.update_members(LATER, [build_entry("u"), build_entry("v", zone="b")])
    balancer.presume_cold(LATER, "a")
    assert balancer.upstreams["v"].warmup is None
    assert balancer.upstreams["u"].warmup.cold_until == LATER + COLD_S
    assert {request(balancer, LATER).granted.upstream_id for _ in range(20)} == {"v"}
    # A status check shows whether it is cold, also at instances that may not use it.
    assert "u" in {u.upstream_id for u in balancer.choose_samples(LATER, frozenset())}
    balancer.cold.record_check(LATER, balancer.upstreams["u"], None)
    assert balancer.upstreams["u"].warmup is None


def test_a_presumed_upstream_that_turns_out_cold_gets_no_further_status_checks():
    zones = {f"i{n}": "b" for n in range(1, 60)} | ZONES
    balancer = build_balancer("uvwxyz", zones, health_path="/health")
    balancer.set_status_check_rate(1000.0, 6)
    balancer.presume_cold(LATER, "a")
    for upstream in balancer.upstreams.values():
        balancer.cold.record_check(LATER, upstream, COLD_S)
    usable = {u.upstream_id for u in balancer.cold.list_cold() if u.warmup.share}
    later = LATER + WINDOW_S
    checked = {u.upstream_id for u in balancer.choose_samples(later, frozenset())}
    assert checked <= usable


@pytest.mark.parametrize(
    ("value", "left_s"),
    [("1500", 1.5), ("0", 0.0), (None, None), ("soon", None), ("-1", None), ("1e9", 3600.0)],
)
def test_a_status_check_states_the_rest_in_milliseconds(value, left_s):
    headers = {} if value is None else {"X-Upstream-Warmup-Ms": value}
    assert Dialect().read_warmup_left(headers) == left_s
