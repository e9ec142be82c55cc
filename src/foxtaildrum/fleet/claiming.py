"""Claims of idempotency keys at one instance: those it requests and those it stores."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import records as r
from ..control.claimer import Claimer
from ..control.holder import ClaimHolder
from ..events import Persist, Rewrite, Send
from .actions import CLAIM_STREAM, ActionQueue, Write, build_rewrite
from .parts import Part, handles


class ClaimPart(Part):
    """Connects the claimer of an instance with its holder and with those of other instances.

    Parameters
    ----------
    instance_id : str
        Identifier of this instance.
    control : list of str
        Identifiers of the control instances, which store the claims.
    holder : ClaimHolder or None
        Stores claims on the disk of this instance; None outside the control group.
    actions : ActionQueue
        Receives the actions.
    """

    def __init__(
        self,
        instance_id: str,
        control: list[str],
        holder: ClaimHolder | None,
        actions: ActionQueue,
    ) -> None:
        self._instance_id = instance_id
        self._actions = actions
        self.claimer = Claimer(control)
        self.holder = holder

    def tick(self, now: float) -> None:
        """Perform the work of the holder and of the claimer that is due."""
        if self.holder is not None:
            self._process(now, self.holder.tick(now))
        self._process(now, self.claimer.tick(now))

    def request(
        self, now: float, token: str, key: str, digest: str, remaining_s: float
    ) -> None:
        """Claim a key."""
        self._process(now, self.claimer.request_claim(now, token, key, digest, remaining_s))

    def finish(self, now: float, token: str, message: r.ClaimFinish) -> None:
        """Store the answer of a claimed request."""
        self._process(now, self.claimer.finish(now, token, message))

    def release(self, now: float, key: str, claim_id: str) -> None:
        """Release the claim of a request that was not run."""
        self._process(now, self.claimer.release(key, claim_id))

    def handle_founding_disk(self, now: float) -> None:
        """Let the holder grant claims: its disk formed the group and has lost none."""
        if not self.holder.recovered:
            self._process(now, self.holder.handle_founding_disk())

    def handle_written(self, now: float, token: int) -> None:
        """Handle the completion of a write that was synced."""
        self._process(now, self.holder.handle_persisted(token))

    def handle_write_failed(self, now: float, token: int) -> None:
        """Handle a write that failed; the holder grants no claim until it is repeated."""
        self.holder.handle_persist_failed(now, token)

    @handles(
        r.ClaimRequest,
        r.ClaimReply,
        r.ClaimFinish,
        r.ClaimFinished,
        r.ClaimRelease,
        r.ClaimFetch,
        r.ClaimBatch,
    )
    def handle_message(self, now: float, peer: str, message: Any) -> None:
        """Handle a message about claims."""
        self._process(now, self._dispatch(now, peer, message))

    def _process(self, now: float, actions: list[Any]) -> None:
        """Queue the actions; messages to this instance are handled at once."""
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, Send) and action.peer_id == self._instance_id:
                pending += self._dispatch(now, self._instance_id, action.message)
            elif isinstance(action, Persist):
                self._actions.add(Write(CLAIM_STREAM, action.token, [action.record], False))
            elif isinstance(action, Rewrite):
                self._actions.add(build_rewrite(CLAIM_STREAM, action))
            else:
                self._actions.add(action)

    def _dispatch(self, now: float, peer: str, message: Any) -> list[Any]:
        if isinstance(message, r.ClaimReply):
            return self.claimer.handle_reply(now, peer, message)
        if isinstance(message, r.ClaimFinished):
            return self.claimer.handle_finished(peer, message)
        if self.holder is None:
            return []
        if isinstance(message, r.ClaimFetch):
            return self.holder.handle_fetch(peer, message)
        return _HOLDER_HANDLERS[type(message)](self.holder, now, peer, message)


_HOLDER_HANDLERS: dict[type, Callable[..., list[Any]]] = {
    r.ClaimRequest: ClaimHolder.handle_request,
    r.ClaimFinish: ClaimHolder.handle_finish,
    r.ClaimRelease: ClaimHolder.handle_release,
    r.ClaimBatch: ClaimHolder.handle_batch,
}
