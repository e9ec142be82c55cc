"""Decides whether a request may be served, and for which organisation.

An instance can't know that its tables are complete, only how old they are at most: they include
every change that was accepted longer ago than their age. A key that is unknown here may have
been added since, and a key that is known may have been removed since, or given to another
organisation. Tables without organisations are no exception: these may be in force since.
"""

from __future__ import annotations

from ..fleet.currency import CUT_OFF_AFTER_S
from ..kinds import ErrorKind
from ..records import Organisation, Settings
from .keys import KeyTable


class AgeLimits:
    """Ages of the tables up to which they may be decided from.

    Parameters
    ----------
    key_check_s : float
        Age up to which the tables say what is not in them, in seconds: that nobody has a key,
        or that organisations are not in force.
    revocation_s : float
        Age up to which requests with keys are served, in seconds; 0 sets no limit.
    """

    __slots__ = ("key_check_s", "revocation_s")

    def __init__(self, key_check_s: float, revocation_s: float) -> None:
        self.key_check_s = key_check_s
        self.revocation_s = revocation_s

    @classmethod
    def from_settings(cls, settings: Settings) -> AgeLimits:
        """Build the limits of an instance."""
        return cls(settings.key_check_s, settings.revocation_s)

    def are_recent(self, age_s: float | None) -> bool:
        """Return whether the tables are recent enough to tell what is not in them."""
        return age_s is not None and age_s <= self.key_check_s

    def allow_service(self, age_s: float | None) -> bool:
        """Return whether the tables are recent enough to serve a known key."""
        return not self.revocation_s or (age_s is not None and age_s <= self.revocation_s)

    def allow_absence(self, age_s: float | None) -> bool:
        """Return whether tables without organisations may be served from, however old.

        At this age an instance serves only if the control group is down, which accepts no
        organisations then; one that is cut off itself serves nobody.
        """
        return not self.revocation_s and age_s is not None and age_s > CUT_OFF_AFTER_S


class Decision:
    """Whether a request is served, and for which organisation.

    Parameters
    ----------
    organisation : Organisation or None
        Organisation of a request that is served; None if it has none.
    refusal : ErrorKind or None
        Why the request is refused; None if it is served.
    is_certain : bool
        Whether the tables were recent enough; newer ones may lead to another decision.
    """

    __slots__ = ("is_certain", "organisation", "refusal")

    def __init__(
        self,
        organisation: Organisation | None,
        refusal: ErrorKind | None,
        is_certain: bool = True,
    ) -> None:
        self.organisation = organisation
        self.refusal = refusal
        self.is_certain = is_certain


def decide_without_organisations(age_s: float | None, limits: AgeLimits) -> Decision:
    """Decide on a request with a key or a name while the tables have no organisations.

    Parameters
    ----------
    age_s : float or None
        Age of the tables, in seconds; None if it is unknown.
    """
    if limits.are_recent(age_s) or limits.allow_absence(age_s):
        return Decision(None, None)
    return Decision(None, ErrorKind.NOT_READY, is_certain=False)


def decide_by_key(
    key_table: KeyTable, key: str, is_public: bool, age_s: float | None, limits: AgeLimits
) -> Decision:
    """Decide on a request of a caller.

    Parameters
    ----------
    key : str
        Value of the key header; empty without one. Values of a repeated header, which are
        joined by a comma and a space, are no key.
    is_public : bool
        Whether the route serves requests without a key.
    age_s : float or None
        Age of the tables that ``key_table`` belongs to, in seconds; None if it is unknown.
    """
    organisation = key_table.find(key) if key else None
    is_recent = limits.are_recent(age_s)
    if is_public:
        # The route may not be public any more, and the key another organisation's.
        return Decision(organisation, None, is_recent or not key)
    if organisation is not None:
        refusal = None if limits.allow_service(age_s) else ErrorKind.NOT_READY
        return Decision(organisation, refusal, is_recent)
    if not is_recent:
        return Decision(None, ErrorKind.NOT_READY, is_certain=False)
    return Decision(None, ErrorKind.KEY_UNKNOWN_CALLER if key else ErrorKind.KEY_MISSING)


def decide_by_name(
    key_table: KeyTable, name: str, is_public: bool, age_s: float | None, limits: AgeLimits
) -> Decision:
    """Decide on a request that another instance forwards and has recognised.

    If the tables here don't know the organisation, the request is not refused for good: the
    other instance has recognised it, and may forward it elsewhere.

    Parameters
    ----------
    name : str
        Name that the other instance states; empty if the request has no organisation.
    """
    organisation = key_table.find_by_name(name) if name else None
    is_known = organisation is not None if name else is_public
    if is_known and (is_public or limits.allow_service(age_s)):
        return Decision(organisation, None)
    return Decision(None, ErrorKind.NOT_READY)
