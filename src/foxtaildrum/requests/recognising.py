"""Recognition of a request's organisation, and the headers that tell upstreams its name."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..kinds import ErrorKind, Outcome
from ..logs import log_event
from ..organisations.counts import OrganisationCounts, RefusedKeys, Result
from ..organisations.keys import KeyTable
from ..organisations.recognition import (
    AgeLimits,
    Decision,
    decide_by_key,
    decide_by_name,
    decide_without_organisations,
)
from ..records import Organisation, Settings
from .callers import CallerRequest
from .dialects import Dialect
from .transport import OutgoingRequest

# Retry-After while the tables are too old. An instance in contact gets a confirmation more than
# once a second.
RETRY_AFTER_TABLES_S = 0.4

# Upstreams may get all of a request that states no caller; without organisations it is served
# as on any other change of the tables.
_SERVED = Decision(None, None)


class KeyView(Protocol):
    """Part of the view in force that recognition reads.

    Attributes
    ----------
    key_table : KeyTable or None
        Organisations in force; None while there are none.
    had_organisations : bool
        Whether organisations are in force or have been.
    """

    key_table: KeyTable | None
    had_organisations: bool

    def compute_age(self, now: float) -> float | None:
        """Return the age of the tables of this view, in seconds; None if it is unknown."""


class Recognition:
    """Recognition of one request, checked again before each of its attempts.

    Parameters
    ----------
    request : CallerRequest
        Request that was recognised.
    recogniser : Recogniser
        Decides again.
    """

    __slots__ = ("_recogniser", "_request")

    def __init__(self, request: CallerRequest, recogniser: Recogniser) -> None:
        self._request = request
        self._recogniser = recogniser

    @property
    def organisation_name(self) -> str:
        """Name of the organisation; empty without one."""
        return _get_name(self._request.organisation)

    def holds(self, now: float) -> bool:
        """Return whether the request may still be sent by the tables that are in force now."""
        request = self._request
        view = self._recogniser.get_view()
        if view.had_organisations != request.hides_caller:
            # It was prepared with the headers of its caller.
            return False
        if view.key_table is request.key_table:
            return self._recogniser.allows_age(now, request, view)
        if view.key_table is None:
            # Organisations are not in force any more, and upstreams get none of its keys.
            return True
        decision = self._recogniser.decide(now, request, view)
        name = _get_name(decision.organisation)
        return decision.refusal is None and name == self.organisation_name


class Recogniser:
    """Recognises the organisations of requests, and hides their keys from upstreams.

    Parameters
    ----------
    dialect : Dialect
        Names of the headers.
    get_view : callable
        Returns the view that is in force.

    Attributes
    ----------
    limits : AgeLimits
        Ages of the tables up to which they are used for decisions.
    counts : OrganisationCounts
        Requests by organisation and result.
    """

    def __init__(self, dialect: Dialect, get_view: Callable[[], KeyView]) -> None:
        self.get_view = get_view
        self.limits = AgeLimits.from_settings(Settings())
        self.counts = OrganisationCounts()
        self._dialect = dialect
        self._refused_keys = RefusedKeys()
        self._environ_key = _get_environ_key(dialect.key_header)
        self._name_environ_key = _get_environ_key(dialect.organisation_header)
        self._replaced_headers = {
            dialect.key_header.lower(),
            dialect.organisation_header.lower(),
        }

    def recognise(self, now: float, request: CallerRequest, view: KeyView) -> Decision:
        """Decide on a request by a view, and set its organisation. A refused key is logged."""
        request.states_caller = self._states_caller(request)
        decision = self.decide(now, request, view)
        request.key_table = view.key_table
        request.organisation = decision.organisation
        request.hides_caller = view.had_organisations
        if decision.refusal in (ErrorKind.KEY_MISSING, ErrorKind.KEY_UNKNOWN_CALLER):
            self._report_refusal(now, request, decision.refusal)
        return decision

    def decide(self, now: float, request: CallerRequest, view: KeyView) -> Decision:
        """Decide on a request by the organisations of a view, or their absence."""
        key_table = view.key_table
        if key_table is None:
            return self._decide_without_organisations(now, request, view)
        age_s = view.compute_age(now)
        is_public = request.route.public
        if request.forward is not None:
            name = request.forward.organisation
            return decide_by_name(key_table, name, is_public, age_s, self.limits)
        key = request.environ.get(self._environ_key, "")
        return decide_by_key(key_table, key, is_public, age_s, self.limits)

    def allows_age(self, now: float, request: CallerRequest, view: KeyView) -> bool:
        """Return whether the tables may still be decided from that recognised a request."""
        if view.key_table is None:
            return self._decide_without_organisations(now, request, view).refusal is None
        return request.route.public or self.limits.allow_service(view.compute_age(now))

    def prepare(
        self, request: CallerRequest, replaced_headers: frozenset[str]
    ) -> tuple[OutgoingRequest, Recognition]:
        """Return a recognised request as upstreams get it, and what its attempts check.

        It has the name of the organisation instead of the key. Where organisations have never
        been in force, the headers of these names are the caller's own.
        """
        if request.hides_caller:
            replaced_headers |= self._replaced_headers
        outgoing = request.build_outgoing(replaced_headers)
        if request.organisation is not None:
            outgoing.headers[self._dialect.organisation_header] = request.organisation.name
        return outgoing, Recognition(request, self)

    def record_end(self, request: CallerRequest, kind: str, outcome: str) -> None:
        """Count a request of an organisation that has ended.

        Parameters
        ----------
        kind : str
            Kind of the error; empty if the response of an upstream was relayed.
        outcome : str
            Outcome of a request that failed.
        """
        if request.forward is not None:
            # The instance that forwarded the request counts it.
            return
        result = Result.SERVED
        if kind:
            result = Result.REFUSED if outcome == Outcome.NOT_RUN else Result.FAILED
        self.counts.record(request.organisation.name, result)

    def _decide_without_organisations(
        self, now: float, request: CallerRequest, view: KeyView
    ) -> Decision:
        if request.forward is not None and request.forward.organisation:
            # The instance that forwards it has other tables.
            return Decision(None, ErrorKind.NOT_READY)
        if not request.states_caller:
            return _SERVED
        return decide_without_organisations(view.compute_age(now), self.limits)

    def _states_caller(self, request: CallerRequest) -> bool:
        """Return whether a request has a key or the name of an organisation."""
        environ = request.environ
        return self._environ_key in environ or self._name_environ_key in environ

    def _report_refusal(self, now: float, request: CallerRequest, kind: ErrorKind) -> None:
        counts = self._refused_keys.record(now, kind)
        if counts is not None:
            log_event(
                "keys_refused",
                failed=True,
                missing=counts["missing"],
                unknown=counts["unknown"],
                route=request.route.name,
                origin=request.environ.get("REMOTE_ADDR", ""),
            )


def _get_name(organisation: Organisation | None) -> str:
    return "" if organisation is None else organisation.name


def _get_environ_key(header: str) -> str:
    return "HTTP_" + header.upper().replace("-", "_")
