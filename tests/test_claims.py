"""Claims of idempotency keys across instances and under failure."""

from __future__ import annotations

import itertools

import pytest

from foxtaildrum.control import holder
from foxtaildrum.control.claims import Verdict, compute_claim_key

from .fleet import Fleet, form_fleet


def claim(fleet: Fleet, name: str, claim_id: str, key: str = "k", digest: str = "d") -> Verdict:
    fleet.claim(name, claim_id, key, digest)
    fleet.run(2.0)
    return fleet.claims[claim_id].verdict


def test_the_first_claim_is_granted_and_a_repeat_elsewhere_gets_the_first_answer():
    fleet = form_fleet()
    assert claim(fleet, "e1", "one") is Verdict.GRANTED
    assert claim(fleet, "e2", "two") is Verdict.RUNNING
    fleet.finish_claim("e1", "one", "k", 201)
    fleet.run(1.0)
    assert claim(fleet, "e2", "three") is Verdict.DONE
    outcome = fleet.claims["three"]
    assert (outcome.status, outcome.body) == (201, b"ok")


def test_two_claims_at_once_grant_at_most_one():
    for seed in range(20):
        fleet = form_fleet(seed=seed)
        fleet.claim("e1", "one", "k")
        fleet.claim("e2", "two", "k")
        fleet.run(2.0)
        fleet.check_granted_once(["one", "two"])


def test_a_key_with_another_request_is_refused():
    fleet = form_fleet()
    claim(fleet, "e1", "one")
    assert claim(fleet, "e2", "two", digest="other") is Verdict.REUSED


def test_the_claim_of_a_request_that_was_not_run_is_released():
    fleet = form_fleet()
    claim(fleet, "e1", "one")
    host = fleet.hosts["e1"]
    fleet.perform(host, host.node.release_claim(fleet.now, "k", "one"))
    fleet.run(1.0)
    assert claim(fleet, "e2", "two") is Verdict.GRANTED


def test_a_claim_whose_instance_crashed_becomes_unknown():
    fleet = form_fleet()
    claim(fleet, "e1", "one")
    fleet.crash("e1")
    fleet.run(10.0)
    assert claim(fleet, "e2", "two") is Verdict.UNKNOWN


def test_without_a_quorum_of_holders_nothing_is_granted():
    fleet = form_fleet()
    fleet.crash("c1")
    fleet.crash("c2")
    assert claim(fleet, "e1", "one") is Verdict.UNAVAILABLE


def test_a_claim_survives_a_restart_of_every_holder():
    fleet = form_fleet()
    claim(fleet, "e1", "one")
    for name in fleet.control:
        fleet.restart(name)
    fleet.run(10.0)
    assert claim(fleet, "e2", "two") is Verdict.UNKNOWN


def test_a_holder_that_lost_its_disk_grants_nothing_before_it_has_read_the_others():
    fleet = form_fleet()
    fleet.blocked.add(("e1", "c3"))
    assert claim(fleet, "e1", "one") is Verdict.GRANTED
    fleet.restart("c1", lose_disk=True)
    fleet.crash("c2")
    fleet.run(1.0)
    # c1 lost the claim with its disk and c3 never received it.
    assert claim(fleet, "e2", "two") is Verdict.UNAVAILABLE
    fleet.run(30.0)
    assert claim(fleet, "e2", "three") is Verdict.UNAVAILABLE
    fleet.restart("c2")
    fleet.run(30.0)
    assert claim(fleet, "e2", "four") is Verdict.UNKNOWN


def test_a_recovered_holder_has_the_claims_of_the_others():
    fleet = form_fleet()
    fleet.blocked.add(("e1", "c3"))
    claim(fleet, "e1", "one")
    fleet.finish_claim("e1", "one", "k", 200)
    fleet.run(1.0)
    fleet.restart("c1", lose_disk=True)
    assert fleet.run_until(lambda: fleet.hosts["c1"].node.holder.recovered, 60.0)
    fleet.crash("c2")
    assert claim(fleet, "e2", "two") is Verdict.DONE


def test_claims_are_deleted_after_the_retention_period(monkeypatch):
    monkeypatch.setattr(holder, "RETENTION_S", 60.0)
    fleet = form_fleet()
    claim(fleet, "e1", "one")
    fleet.run(120.0)
    assert all(not fleet.hosts[c].node.holder.claims for c in fleet.control)


def test_a_full_holder_refuses_new_claims_and_deletes_none(monkeypatch):
    monkeypatch.setattr(holder, "MAX_CLAIMS", 2)
    fleet = form_fleet()
    assert claim(fleet, "e1", "one", "k1") is Verdict.GRANTED
    assert claim(fleet, "e1", "two", "k2") is Verdict.GRANTED
    assert claim(fleet, "e1", "three", "k3") is Verdict.UNAVAILABLE


def test_the_journal_of_claims_stays_bounded(monkeypatch):
    monkeypatch.setattr(holder, "COMPACT_RECORDS", 10)
    fleet = form_fleet()
    for number in range(30):
        claim(fleet, "e1", f"c{number}", f"k{number}")
        host = fleet.hosts["e1"]
        fleet.perform(host, host.node.release_claim(fleet.now, f"k{number}", f"c{number}"))
    fleet.run(1.0)
    size = len(fleet.hosts["c1"].disk.read("claims"))
    assert size < 10_000
    fleet.restart("c1")
    assert fleet.hosts["c1"].node.holder.recovered


@pytest.mark.parametrize("text", ["a", "a" * 255, "schlüssel"])
def test_claim_keys_have_a_fixed_length(text):
    assert len(compute_claim_key(text)) == 32


START_STEP_S = 0.4
# Time after its start during which nothing reaches the last instance, in seconds: the others
# tried to connect to it before it was listening, and wait before they try again.
UNREACHABLE_S = 0.9
# Times after the last start at which one control instance is killed, in seconds.
KILL_DELAYS_S = (1.2, 2.0, 4.0)


def list_start_orders(control: int) -> list[tuple[str, ...]]:
    """Return every order of starts; for groups above 3, every choice of the last one."""
    names = [f"c{n + 1}" for n in range(control)]
    if control == 3:
        return list(itertools.permutations(names))
    return [(*(n for n in names if n != last), last) for last in names]


def form_fleet_in_order(order: tuple[str, ...], seed: int) -> Fleet:
    """Start control instances one after the other; the last one is heard before it hears."""
    starts = {name: n * START_STEP_S for n, name in enumerate(order)}
    fleet = Fleet(len(order), 2, seed, start_delays=starts)
    last = order[-1]
    inward = {(peer, last) for peer in fleet.hosts if peer != last}
    fleet.blocked |= inward
    fleet.run(starts[last] + UNREACHABLE_S)
    fleet.blocked -= inward
    return fleet


@pytest.mark.parametrize("kill_delay_s", KILL_DELAYS_S)
@pytest.mark.parametrize("order", list_start_orders(3) + list_start_orders(5))
def test_orders_go_on_when_a_control_instance_of_a_new_group_is_killed(order, kill_delay_s):
    for victim in order:
        fleet = form_fleet_in_order(order, len(order))
        fleet.run(kill_delay_s - UNREACHABLE_S)
        fleet.crash(victim)
        fleet.run(1.0)
        verdicts = [claim(fleet, "e1", f"{victim}-{n}", key=f"k{n}") for n in range(2)]
        assert verdicts[-1] is Verdict.GRANTED, f"without {victim}: {verdicts}"
        fleet.claim("e2", "again", "k1")
        fleet.run(2.0)
        fleet.check_granted_once([f"{victim}-1", "again"])


def test_a_holder_whose_disk_is_not_of_the_first_group_reads_the_others():
    fleet = Fleet(3, 1, 1, start_delays={"c3": 0.4})
    assert fleet.run_until(fleet.is_converged, 60.0)
    fleet.restart("c3", lose_disk=True)
    fleet.run(3.0)
    assert not fleet.hosts["c3"].node.holder.recovered
    assert fleet.hosts["c3"].node.holder.list_awaited() == ["c1", "c2"]
    fleet.run(10.0)
    assert fleet.hosts["c3"].node.holder.recovered
    assert fleet.hosts["c3"].node.holder.list_awaited() == []
