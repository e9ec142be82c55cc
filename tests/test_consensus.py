"""Replicated log of tables under network, disk and process failures."""

from __future__ import annotations

import random

import pytest

from foxtaildrum.control.consensus import Consensus
from foxtaildrum.control.entries import SavedState
from foxtaildrum.control.group import COMPACT_ENTRIES, Role
from foxtaildrum.control.table_follower import TableState
from foxtaildrum.events import Persist, Persisted, PersistFailed, Received, Send
from foxtaildrum.records import AppendReply, AppendRequest, VoteReply, VoteRequest

from .fleet import form_fleet


@pytest.mark.parametrize("control", [1, 3, 5])
def test_a_new_group_forms_and_accepts_changes(control):
    fleet = form_fleet(control)
    assert fleet.change("e1", "first").verdict == "accepted"
    assert fleet.run_until(lambda: set(fleet.get_versions().values()) == {1}, 5.0)


def test_of_two_concurrent_changes_one_is_accepted_and_the_other_is_stale():
    fleet = form_fleet()
    one = fleet.propose("e1", "pools", [{"name": "one"}], 0, "one")
    two = fleet.propose("e2", "pools", [{"name": "two"}], 0, "two")
    fleet.run(2.0)
    answers = {a.verdict: a for a in (fleet.answers[one], fleet.answers[two])}
    assert set(answers) == {"accepted", "stale"}
    assert answers["stale"].changed_by == answers["accepted"].changed_by


def test_a_resent_change_gets_its_first_answer_after_a_leader_change_and_a_restart():
    fleet = form_fleet()
    first = fleet.change("e1", "same", 0)
    fleet.change("e1", "later")
    fleet.crash(fleet.find_leader())
    fleet.run(10.0)
    again = fleet.change("e2", "same", 0)
    assert (again.verdict, again.version) == (first.verdict, first.version) == ("accepted", 1)
    assert max(fleet.get_versions().values()) == 2
    fleet.heal()
    for name in list(fleet.hosts):
        fleet.restart(name)
    fleet.run(10.0)
    assert fleet.change("e1", "same", 0).version == 1


def test_a_reused_change_id_with_another_content_is_refused():
    fleet = form_fleet()
    fleet.change("e1", "same")
    token = fleet.propose("e1", "pools", [{"name": "other"}], 1, "same")
    fleet.run(1.0)
    assert fleet.answers[token].verdict == "reused"


def test_a_leader_that_is_cut_off_steps_down_and_accepts_nothing():
    fleet = form_fleet()
    old = fleet.find_leader()
    fleet.cut([old])
    answer = fleet.change(old, "lost", 0)
    assert answer.verdict in ("unknown", "unavailable")
    fleet.run(3600.0)
    node = fleet.hosts[old].node
    assert node.consensus.role is not Role.LEADER
    assert not node.is_current(fleet.now)
    assert not node.is_open(fleet.now)
    fleet.change_until_accepted("new")
    fleet.heal()
    assert fleet.run_until(fleet.is_converged)


def test_an_instance_that_restarts_beside_a_cut_off_control_instance_stays_unready():
    fleet = form_fleet()
    fleet.change_until_accepted("before")
    cut = next(c for c in fleet.control if c != fleet.find_leader())
    fleet.cut([cut, "e1"])
    fleet.run(5.0)
    fleet.change_until_accepted_by("e2", "after")
    fleet.restart("e1")
    fleet.run(60.0)
    assert not fleet.hosts["e1"].node.is_open(fleet.now)
    fleet.heal()
    assert fleet.run_until(fleet.is_converged)
    assert fleet.get_versions()["e1"] == 2


def test_an_instance_with_a_new_disk_does_not_vote_until_it_is_admitted():
    fleet = form_fleet()
    fleet.change_until_accepted("before")
    victim = next(c for c in fleet.control if c != fleet.find_leader())
    other = next(c for c in fleet.control if c not in (victim, fleet.find_leader()))
    fleet.cut([other])
    fleet.restart(victim, lose_disk=True)
    fleet.run(20.0)
    # The leader and the new disk form no quorum: the cut-off instance may have an entry that
    # the new disk lost.
    assert not fleet.hosts[victim].node.consensus.is_voter()
    assert fleet.change("e1", "must-wait").verdict in ("unknown", "unavailable")
    fleet.heal()
    assert fleet.run_until(fleet.hosts[victim].node.consensus.is_voter, 30.0)
    assert fleet.run_until(fleet.is_converged)


def test_a_second_disk_loss_right_after_the_first_repair_loses_no_accepted_change():
    fleet = form_fleet()
    fleet.change_until_accepted("precious")
    first, second, _ = fleet.control
    fleet.restart(first, lose_disk=True)
    assert fleet.run_until(lambda: fleet.hosts[first].node.consensus.is_voter(), 30.0)
    fleet.crash(second)
    fleet.change_until_accepted("after")
    fleet.restart(second, lose_disk=True)
    assert fleet.run_until(lambda: fleet.hosts[second].node.consensus.is_voter(), 30.0)
    assert fleet.run_until(fleet.is_converged)
    assert ("pools", 2) in fleet.accepted


def test_instances_that_restart_after_many_changes_catch_up():
    fleet = form_fleet()
    fleet.crash("c3")
    fleet.crash("e2")
    fleet.run(10.0)
    for number in range(COMPACT_ENTRIES + 100):
        assert fleet.change("e1", f"change-{number}").verdict == "accepted"
    leader = fleet.hosts[fleet.find_leader()].node.consensus
    assert len(leader.log) < COMPACT_ENTRIES
    fleet.heal()
    assert fleet.run_until(fleet.is_converged)
    assert set(fleet.get_versions().values()) == {COMPACT_ENTRIES + 100}


def test_a_failed_sync_takes_the_instance_out_of_the_group():
    fleet = form_fleet()
    leader = fleet.find_leader()
    fleet.hosts[leader].disk.failing = True
    answer = fleet.change("e1", "on-a-bad-disk")
    assert answer.verdict in ("unknown", "unavailable")
    assert fleet.hosts[leader].node.consensus.role is Role.FAILED
    assert "the disk failed" in fleet.hosts[leader].node.list_unready_reasons(fleet.now)
    fleet.change_until_accepted("elsewhere")


def test_leadership_is_transferred_before_an_instance_stops():
    fleet = form_fleet()
    old = fleet.find_leader()
    host = fleet.hosts[old]
    fleet.perform(host, host.node.begin_stop(fleet.now))
    began = fleet.now
    assert fleet.run_until(lambda: fleet.find_leader() not in ("", old), 5.0)
    assert fleet.now - began < 0.1, "the next leader was found by an election timeout"


def test_entry_instances_keep_serving_while_the_control_group_is_down():
    fleet = form_fleet(3, 5)
    fleet.change_until_accepted("before")
    fleet.run(5.0)
    for name in fleet.control:
        fleet.crash(name)
    fleet.run(120.0)
    entries = [n for n in fleet.hosts if n.startswith("e")]
    assert all(fleet.hosts[n].node.is_open(fleet.now) for n in entries)


def test_an_entry_instance_that_is_cut_off_stops_serving():
    fleet = form_fleet(3, 5)
    fleet.cut(["e1"])
    fleet.run(30.0)
    node = fleet.hosts["e1"].node
    assert not node.is_open(fleet.now)
    assert node.list_unready_reasons(fleet.now)
    fleet.run(7200.0)
    assert not node.is_open(fleet.now), "it serves callers while it is cut off"
    fleet.heal()
    assert fleet.run_until(fleet.is_converged)


def test_an_acknowledged_entry_survives_a_power_cut_of_the_whole_group():
    fleet = form_fleet()
    leader = fleet.find_leader()
    followers = [c for c in fleet.control if c != leader]
    for name in followers:
        fleet.hosts[name].sync_s = 0.05
    token = fleet.propose(leader, "pools", [{"name": "precious"}], 0, "precious")
    assert fleet.run_until(lambda: token in fleet.answers, 5.0)
    assert fleet.answers[token].verdict == "accepted"
    for name in fleet.control:
        fleet.crash(name)
    for name in followers:
        fleet.restart(name)
    assert fleet.run_until(lambda: fleet.find_leader() != "", 20.0)
    fleet.change_until_accepted("after")
    assert fleet.history["pools", 1] == "precious"


def build_voter(instance_id: str = "b") -> Consensus:
    saved = SavedState([["disk", instance_id], ["formed", {m: m for m in ("a", "b", "c")}]])
    rng = random.Random(1)
    return Consensus(instance_id, ["a", "b", "c"], TableState(), saved, rng, 0.0)


def build_vote_request(term: int) -> VoteRequest:
    return VoteRequest(term=term, last_index=0, last_term=0, pre=False)


def list_sent(actions, kind) -> list:
    return [a.message for a in actions if isinstance(a, Send) and isinstance(a.message, kind)]


def test_a_vote_is_sent_only_after_its_sync():
    voter = build_voter()
    actions = voter.handle(0.0, Received("a", build_vote_request(1)))
    [write] = [a for a in actions if isinstance(a, Persist)]
    assert not list_sent(actions, VoteReply)
    [reply] = list_sent(voter.handle(0.0, Persisted(write.token)), VoteReply)
    assert reply.granted


def test_a_voter_grants_one_vote_per_term_even_after_a_restart():
    voter = build_voter()
    actions = voter.handle(0.0, Received("a", build_vote_request(1)))
    [write] = [a for a in actions if isinstance(a, Persist)]
    voter.handle(0.0, Persisted(write.token))
    [refusal] = list_sent(voter.handle(0.0, Received("c", build_vote_request(1))), VoteReply)
    assert not refusal.granted
    saved = SavedState(
        [["disk", "b"], ["formed", {m: m for m in ("a", "b", "c")}], write.record]
    )
    again = Consensus("b", ["a", "b", "c"], TableState(), saved, random.Random(2), 0.0)
    [refusal] = list_sent(again.handle(0.0, Received("c", build_vote_request(1))), VoteReply)
    assert not refusal.granted


def test_an_acknowledgement_is_sent_only_after_its_sync():
    follower = build_voter()
    request = AppendRequest(
        term=1,
        previous_index=0,
        previous_term=0,
        entries=[[1, 1, "noop", None]],
        commit_index=0,
        sent_at=0.0,
    )
    actions = follower.handle(0.0, Received("a", request))
    assert not list_sent(actions, AppendReply)
    # A duplicated request must not be acknowledged before the first one is synced.
    assert not list_sent(follower.handle(0.0, Received("a", request)), AppendReply)
    writes = [a for a in actions if isinstance(a, Persist)]
    sent = list_sent(follower.handle(0.0, Persisted(writes[-1].token)), AppendReply)
    assert [m.match_index for m in sent] == [1, 1]


def test_nothing_is_acknowledged_after_a_failed_sync():
    follower = build_voter()
    [write] = [
        a
        for a in follower.handle(0.0, Received("a", build_vote_request(1)))
        if isinstance(a, Persist)
    ]
    assert follower.handle(0.0, PersistFailed(write.token)) == []
    assert follower.handle(0.0, Received("a", build_vote_request(2))) == []


@pytest.mark.parametrize("name", ["e1", "c3"])
def test_an_instance_that_was_paused_does_not_serve_old_tables(name):
    fleet = form_fleet(3, 5)
    fleet.change_until_accepted("before")
    fleet.run(5.0)
    fleet.pause(name)
    fleet.run(600.0)
    fleet.change_until_accepted_by("e2", "after")
    fleet.run(60.0)
    fleet.resume(name)
    node = fleet.hosts[name].node
    until = fleet.now + 30.0
    while fleet.now < until:
        old = node.state.tables.tables["pools"].version < 2
        assert not (old and node.is_open(fleet.now)), "it served old tables"
        fleet.step()
    assert node.is_open(fleet.now)
