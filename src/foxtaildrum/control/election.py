"""Leader elections in the control group."""

from __future__ import annotations

from ..events import ProposalCompleted, ReadIndexResolved, Send
from ..records import (
    Handover,
    VoteReply,
    VoteRequest,
)
from .group import GroupState, ProposalFailure, Role

# Also the time after which a leader that no quorum confirms steps down, and for which a voter
# that heard from a leader refuses pre-votes.
ELECTION_MIN_S = 0.8
ELECTION_MAX_S = 1.6
RETRY_ELECTION_MIN_S = 0.2
RETRY_ELECTION_MAX_S = 0.6


class Election(GroupState):
    """Leader elections with pre-vote; each vote is synced to disk before it is sent."""

    def _reset_election(
        self, now: float, shortest_s: float = ELECTION_MIN_S, longest_s: float = ELECTION_MAX_S
    ) -> None:
        span_s = longest_s - shortest_s
        self._election_at = now + shortest_s + self._rng.random() * span_s
        if len(self.voters) == 1:
            self._election_at = now

    def _start_election(self, now: float, pre: bool) -> None:
        # Without a leader, retry soon after a split vote or a vote that was requested before
        # the other instances had started.
        self._reset_election(now, RETRY_ELECTION_MIN_S, RETRY_ELECTION_MAX_S)
        self.role = Role.CANDIDATE
        self.leader_id = ""
        self._is_pre_vote = pre
        self._votes = {self.instance_id}
        if not pre:
            self.term += 1
            self.voted_for = self.instance_id
            self._persist(["vote", self.term, self.voted_for])
        request = VoteRequest(
            term=self.term + 1 if pre else self.term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre=pre,
        )
        for peer in self.voters:
            if peer != self.instance_id:
                self._gate.hold(Send(peer, request))
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if len(self._votes) < self.quorum:
            return
        if self._is_pre_vote:
            self._start_election(now, pre=False)
        else:
            self._become_leader(now)

    def _handle_vote_request(self, now: float, peer: str, message: VoteRequest) -> None:
        if not self.is_voter():
            return
        if message.pre:
            self._answer_pre_vote(now, peer, message)
            return
        if message.term > self.term:
            self._adopt_term(now, message.term)
        granted = (
            message.term == self.term
            and self.voted_for in ("", peer)
            and self._is_up_to_date(message)
        )
        if granted and not self.voted_for:
            self.voted_for = peer
            self._persist(["vote", self.term, peer])
        if granted:
            self._reset_election(now)
        self._reply_vote(peer, self.term, granted, pre=False)

    def _answer_pre_vote(self, now: float, peer: str, message: VoteRequest) -> None:
        leader_alive = now - self._leader_heard_at < ELECTION_MIN_S or self.role is Role.LEADER
        granted = message.term > self.term and not leader_alive and self._is_up_to_date(message)
        term = message.term if granted else self.term
        self._reply_vote(peer, term, granted, pre=True)

    def _reply_vote(self, peer: str, term: int, granted: bool, pre: bool) -> None:
        reply = VoteReply(term=term, granted=granted, pre=pre, disk_id=self.disk_id)
        self._gate.hold(Send(peer, reply))

    def _is_up_to_date(self, message: VoteRequest) -> bool:
        own = (self.log.last_term, self.log.last_index)
        return (message.last_term, message.last_index) >= own

    def _handle_vote_reply(self, now: float, peer: str, message: VoteReply) -> None:
        if not message.granted and message.term > self.term:
            self._adopt_term(now, message.term)
            return
        if self.role is not Role.CANDIDATE or message.pre != self._is_pre_vote:
            return
        expected = self.term + 1 if self._is_pre_vote else self.term
        if not message.granted or message.term != expected:
            return
        if self._find_voter_disk(peer) != message.disk_id:
            return
        self._votes.add(peer)
        self._count_votes(now)

    def _handle_handover(self, now: float, peer: str, message: Handover) -> None:
        if message.term == self.term and self.is_voter() and self.role is Role.FOLLOWER:
            self._start_election(now, pre=False)

    def _adopt_term(self, now: float, term: int) -> None:
        self._clear_leader_state()
        self.term = term
        self.voted_for = ""
        self._persist(["vote", term, ""])
        self.leader_id = ""
        self.role = Role.FOLLOWER if self.is_voter() else Role.LEARNER
        self._reset_election(now)

    def _step_down(self, now: float) -> None:
        self._clear_leader_state()
        self.leader_id = ""
        self.role = Role.FOLLOWER
        self._reset_election(now)

    def _clear_leader_state(self) -> None:
        for token in self._pending_proposals.values():
            self._actions.append(ProposalCompleted(token, ProposalFailure.UNKNOWN))
        self._pending_proposals.clear()
        self._actions.extend(ReadIndexResolved(token, -1) for token in self._pending_reads)
        self._pending_reads.clear()
        self._peers.clear()

    def _become_leader(self, now: float) -> None:
        """Start leading the group; implemented by :class:`Leadership`."""
        raise NotImplementedError
