"""Forwards table changes to the leader and returns their answers, without I/O."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .. import records as r
from ..events import ProposalCompleted, Send
from ..exceptions import InvalidTableError
from ..fleet.node_api import ChangeAnswer
from ..sizes import MAX_RECORD_BYTES, measure_record
from .consensus import Consensus
from .desired import ACCEPTED, REBASED, SUPERSEDED, DesiredState, build_patch, evaluate_number
from .group import ProposalFailure, Role
from .introduction import IntroductionDelay
from .table_follower import CHANGE, DESIRED, TableState
from .tables import ORGANISATIONS, Change, ChangeResult, Patch, check_table

PROPOSAL_TIMEOUT_S = 3.0
UNRESPONSIVE_S = 15.0  # an instance that let a proposal time out is avoided this long
MAX_REDIRECTS = 3
REMEMBERED_TOKENS = 4096
MAX_PENDING_ENTRIES = 1024
DESIRED_STATE_FIELD_COUNT = 3  # distinguishes a desired state from a change

TOO_LARGE = "too_large"
REDIRECT = "redirect"
UNAVAILABLE = "unavailable"
HOP_SEPARATOR = "/"  # between the token of a proposal and its number of redirects


@dataclass(slots=True)
class ChangeCompleted:
    """A change proposed at this instance has been answered."""

    token: str
    answer: ChangeAnswer


class _Proposal:
    """A change proposed at this instance or forwarded by another.

    Attributes
    ----------
    origin : str
        Instance that forwarded the change; empty for a change proposed at this instance.
    deadline : float
        Time at which the proposal is answered without a result, in seconds.
    redirects : int
        Number of instances that replied that they don't lead.
    sent : bool
        Whether the change was forwarded and may therefore have been accepted.
    target : str
        Instance that the change was last forwarded to.
    """

    __slots__ = ("change", "deadline", "origin", "redirects", "sent", "target")

    def __init__(self, change: Change | DesiredState, origin: str, deadline: float) -> None:
        self.change = change
        self.origin = origin
        self.deadline = deadline
        self.redirects = 0
        self.sent = False
        self.target = ""


class _DelayedAnswer:
    """An answer that is delayed until the tables of this instance include the change."""

    __slots__ = ("answer", "proposal", "token")

    def __init__(self, token: str, proposal: _Proposal, answer: ChangeAnswer) -> None:
        self.token = token
        self.proposal = proposal
        self.answer = answer


class Proposer:
    """Forwards proposed changes to the leader and answers them.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    list_control_instances : callable
        Returns the known control instances.
    state : TableState
        Tables in force here.
    consensus : Consensus or None
        Replicated log; None on an instance outside the control group.
    is_usable : callable
        Returns whether an instance is alive.
    submit : callable
        Appends an entry to the log; only called while this instance leads.
    rng : random.Random
        Random generator for the choice of a control instance.

    Attributes
    ----------
    introduction : IntroductionDelay
        Tells whether instances may still serve by tables from before the organisations.
    """

    def __init__(
        self,
        instance_id: str,
        list_control_instances: Callable[[], list[str]],
        state: TableState,
        consensus: Consensus | None,
        is_usable: Callable[[str], bool],
        submit: Callable[[float, str, str, list], None],
        rng: random.Random,
    ) -> None:
        self._instance_id = instance_id
        self._list_control_instances = list_control_instances
        self._state = state
        self._consensus = consensus
        self._is_usable = is_usable
        self._submit = submit
        self._rng = rng
        self.introduction = IntroductionDelay(r.Settings().key_check_s)
        self._proposals: dict[str, _Proposal] = {}
        self._delayed_answers: list[_DelayedAnswer] = []
        self._desired_queue: list[str] = []
        self._appended_token = ""
        self._seen_tokens: OrderedDict[str, None] = OrderedDict()
        self._unresponsive_until: dict[str, float] = {}
        self._actions: list[Send | ChangeCompleted] = []

    def propose(self, now: float, token: str, change: Change | DesiredState) -> None:
        """Propose a change made at this instance."""
        self._proposals[token] = _Proposal(change, "", now + PROPOSAL_TIMEOUT_S)
        if measure_record(change.to_wire()) > MAX_RECORD_BYTES:
            self._answer_proposal(token, _build_too_large())
            return
        if self._is_leader():
            self._propose_locally(now, token, change)
        else:
            self._forward(token, self.pick_control_instance(now))

    def pop_actions(self, now: float) -> list[Send | ChangeCompleted]:
        """Return and clear the messages and answers that are due."""
        self.introduction.observe(now, self._state.tables)
        self._send_visible_answers(now)
        actions, self._actions = self._actions, []
        return actions

    def pick_control_instance(self, now: float) -> str:
        """Return the control instance to send requests to: the leader if it is known."""
        if self._consensus is not None and self._consensus.leader_id:
            return self._consensus.leader_id
        others = [c for c in self._list_control_instances() if c != self._instance_id]
        usable = [c for c in others if self._is_usable(c)]
        responsive = [c for c in usable if self._unresponsive_until.get(c, now) <= now]
        choices = responsive or usable or others
        return self._rng.choice(choices) if choices else ""

    def _forward(self, token: str, target: str) -> None:
        proposal = self._proposals[token]
        if not target or target == self._instance_id:
            self._answer_proposal(token, _build_unavailable("there is no leader"))
            return
        proposal.sent = True
        proposal.target = target
        hop_token = f"{token}{HOP_SEPARATOR}{proposal.redirects}"
        message = r.ProposeRequest(token=hop_token, change=proposal.change.to_wire())
        self._actions.append(Send(target, message))

    def _propose_locally(self, now: float, token: str, change: Change | DesiredState) -> None:
        if isinstance(change, DesiredState):
            self._desired_queue.append(token)
            self._process_queue(now)
            return
        answer = self._check_before_append(change)
        if answer is not None:
            self._answer_proposal(token, answer)
            return
        patch = self._state.tables.build_patch(change)
        self._append(now, token, CHANGE, patch.to_wire())

    def _append(self, now: float, token: str, kind: str, payload: list[Any]) -> bool:
        """Append an entry to the log, unless no message can carry it; return whether."""
        if measure_record(payload) > MAX_RECORD_BYTES:
            self._answer_proposal(token, _build_too_large())
            return False
        self._submit(now, token, kind, payload)
        return True

    def _process_queue(self, now: float) -> None:
        """Append the next desired state once the previous one is applied.

        Each patch is built against the result of the previous one.
        """
        while self._desired_queue and not self._appended_token:
            token = self._desired_queue[0]
            proposal = self._proposals.get(token)
            if proposal is None:
                self._desired_queue.pop(0)
                continue
            if not self._is_leader():
                self._desired_queue.pop(0)
                self._answer_proposal(token, _build_unavailable("this instance does not lead"))
                continue
            earlier_result = evaluate_number(
                self._state.tables, proposal.change.number, proposal.change.compute_digest()
            )
            if earlier_result is not None and self._consensus.can_propose():
                self._desired_queue.pop(0)
                self._answer_proposal(token, _describe_result(earlier_result))
                continue
            if not self._consensus.can_accept_changes() or self._consensus.count_pending():
                # Pending entries may still change the tables that the patch is built against.
                return
            self._desired_queue.pop(0)
            self._appended_token = token
            patch = build_patch(self._state.tables, proposal.change)
            if not self._append(now, token, DESIRED, patch.to_wire()):
                self._appended_token = ""

    def _check_before_append(self, change: Change) -> ChangeAnswer | None:
        remembered = self._state.tables.find_answer(change)
        if remembered is not None:
            return _describe_result(remembered)
        table = self._state.tables.tables[change.table]
        try:
            check_table(change.table, change.rows)
        except InvalidTableError as error:
            return ChangeAnswer(
                "invalid", table.version, table.changed_by, error.list_problems()
            )
        if not self._consensus.can_accept_changes():
            return _build_unavailable("the leader is starting")
        if self._consensus.count_pending() >= MAX_PENDING_ENTRIES:
            return _build_unavailable("too many changes are under way")
        if change.change_id in self._list_pending_changes():
            return _build_unknown()
        if change.if_version != table.version and self._consensus.count_pending():
            # The change may be based on one that is not yet committed; its rows can be
            # compared only after the commit.
            return _build_unavailable("another change is under way")
        return None

    def _list_pending_changes(self) -> set[str]:
        first = self._consensus.applied_index + 1
        entries = self._consensus.log.list_from(first, MAX_PENDING_ENTRIES)
        return {Patch.from_wire(e.payload).change_id for e in entries if e.kind == CHANGE}

    def handle_completed(self, action: ProposalCompleted) -> None:
        """Handle the result of a proposal that this instance appended."""
        if action.token == self._appended_token:
            self._appended_token = ""
        is_result = isinstance(action.result, ChangeResult)
        if is_result and action.result.verdict == REBASED:
            self._desired_queue.insert(0, action.token)
            return
        if is_result:
            answer = _describe_result(action.result)
        elif action.result is ProposalFailure.NOT_LEADER:
            answer = _build_unavailable("this instance does not lead")
        else:
            answer = _build_unknown()
        self._answer_proposal(action.token, answer)

    def _answer_proposal(self, token: str, answer: ChangeAnswer) -> None:
        proposal = self._proposals.pop(token, None)
        if proposal is None:
            return
        resent = isinstance(proposal.change, Change) and not proposal.change.first
        if answer.verdict == UNAVAILABLE and resent:
            # An earlier copy of the change may still be in progress.
            answer = _build_unknown()
        if not proposal.origin:
            self._delayed_answers.append(_DelayedAnswer(token, proposal, answer))
            return
        message = r.ProposeReply(
            token=token,
            verdict=answer.verdict,
            version=answer.version,
            changed_by=answer.changed_by,
            problems=answer.problems,
            detail=answer.detail,
        )
        self._actions.append(Send(proposal.origin, message))

    def tick(self, now: float) -> None:
        """Process the queue and answer the proposals whose deadline has passed."""
        self._process_queue(now)
        expired = [t for t, p in self._proposals.items() if now >= p.deadline]
        for token in expired:
            target = self._proposals[token].target
            if target:
                self._unresponsive_until[target] = now + UNRESPONSIVE_S
            if self._proposals[token].sent or self._is_leader():
                self._answer_proposal(token, _build_unknown())
            else:
                self._answer_proposal(token, _build_unavailable("there is no leader"))

    def handle_request(self, now: float, peer: str, message: r.ProposeRequest) -> None:
        """Handle a change that another instance forwarded."""
        if message.token in self._seen_tokens:
            # A duplicated message must not get an answer that contradicts the first one.
            return
        self._seen_tokens[message.token] = None
        while len(self._seen_tokens) > REMEMBERED_TOKENS:
            self._seen_tokens.popitem(last=False)
        is_desired = len(message.change) == DESIRED_STATE_FIELD_COUNT
        kind = DesiredState if is_desired else Change
        change = kind.from_wire(message.change)
        self._proposals[message.token] = _Proposal(change, peer, now + PROPOSAL_TIMEOUT_S)
        if self._is_leader():
            self._propose_locally(now, message.token, change)
            return
        leader = self._consensus.leader_id if self._consensus is not None else ""
        self._answer_proposal(message.token, ChangeAnswer(REDIRECT, 0, detail=leader))

    def handle_reply(self, now: float, message: r.ProposeReply) -> None:
        """Handle the answer to a change that was forwarded."""
        token, _, hop = message.token.rpartition(HOP_SEPARATOR)
        proposal = self._proposals.get(token)
        if proposal is None or proposal.origin or hop != str(proposal.redirects):
            return
        if message.verdict != REDIRECT:
            answer = ChangeAnswer(
                message.verdict,
                message.version,
                message.changed_by,
                message.problems,
                message.detail,
            )
            self._answer_proposal(token, answer)
            return
        proposal.redirects += 1
        proposal.sent = False
        if proposal.redirects > MAX_REDIRECTS or not message.detail:
            self._answer_proposal(token, _build_unavailable("there is no leader"))
        elif message.detail == self._instance_id and self._is_leader():
            self._propose_locally(now, token, proposal.change)
        else:
            self._forward(token, message.detail)

    def _send_visible_answers(self, now: float) -> None:
        still_delayed = []
        for delayed in self._delayed_answers:
            proposal = delayed.proposal
            if self._may_answer(now, proposal.change, delayed.answer):
                self._actions.append(ChangeCompleted(delayed.token, delayed.answer))
            elif now < proposal.deadline:
                still_delayed.append(delayed)
            else:
                answer = self._give_up_delay(proposal.change, delayed.answer)
                self._actions.append(ChangeCompleted(delayed.token, answer))
        self._delayed_answers = still_delayed

    def _may_answer(
        self, now: float, change: Change | DesiredState, answer: ChangeAnswer
    ) -> bool:
        """Return whether an acknowledgement holds here and at all other instances."""
        if answer.verdict not in (ACCEPTED, SUPERSEDED):
            return True
        # An operator who reads the tables here after the answer must see the change.
        if self._get_version_in_force(change) < answer.version:
            return False
        return isinstance(change, Change) or self.introduction.is_over(now, self._state.tables)

    def _give_up_delay(
        self, change: Change | DesiredState, answer: ChangeAnswer
    ) -> ChangeAnswer:
        """Return the answer to a change whose acknowledgement was delayed for too long."""
        has_organisations = isinstance(change, DesiredState) and ORGANISATIONS in change.rows
        return _build_unknown() if has_organisations else answer

    def _get_version_in_force(self, change: Change | DesiredState) -> int:
        tables = self._state.tables
        if isinstance(change, DesiredState):
            return tables.desired_number
        return tables.tables[change.table].version

    def _is_leader(self) -> bool:
        return self._consensus is not None and self._consensus.role is Role.LEADER


def _describe_result(result: ChangeResult) -> ChangeAnswer:
    return ChangeAnswer(result.verdict, result.version, result.changed_by, result.problems)


def _build_unavailable(reason: str) -> ChangeAnswer:
    return ChangeAnswer(UNAVAILABLE, 0, detail=f"The change was not accepted: {reason}")


def _build_too_large() -> ChangeAnswer:
    detail = f"The change is larger than {MAX_RECORD_BYTES} bytes as it is stored"
    return ChangeAnswer(TOO_LARGE, 0, detail=detail)


def _build_unknown() -> ChangeAnswer:
    detail = (
        "It is not known whether the change was accepted; resend it with the same identifier"
    )
    return ChangeAnswer("unknown", 0, detail=detail)
