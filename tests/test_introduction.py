"""Acknowledgements of organisations in a simulated fleet: none comes before it holds."""

from __future__ import annotations

import pytest

from foxtaildrum.control.desired import DesiredState
from foxtaildrum.control.introduction import IntroductionDelay
from foxtaildrum.records import Settings

from .fleet import Fleet

KEY_CHECK_S = Settings().key_check_s
AT_ONCE_S = 0.5
SOON_S = 0.5
TIMEOUT_S = 3.0  # within which every proposal is answered
ACME = [{"name": "acme", "keys": ["k"]}]
OTHER = [{"name": "other", "keys": ["k"]}]


class OrganisationFleet(Fleet):
    """Fleet of three control instances and one entry instance, and its operator."""

    def __init__(self, seed: int) -> None:
        super().__init__(3, 1, seed)
        assert self.run_until(self.is_converged, 60.0), self.describe()
        self.calls = 0

    def send_tables(self, name: str, number: int, organisations: list | None) -> str:
        """Send a desired state through an instance; return the token of the call."""
        rows: dict[str, list] = {"routes": [], "pools": []}
        if organisations is not None:
            rows["organisations"] = organisations
        self.calls += 1
        token = f"desired-{number}@{name}-{self.calls}"
        host = self.hosts[name]
        desired = DesiredState(number, rows, {})
        self.perform(host, host.node.propose(host.read_clock(), token, desired))
        return token

    def measure(self, name: str, number: int, organisations: list | None) -> float:
        """Return the time until a desired state is acknowledged through an instance."""
        begun_at = self.now
        token = self.send_tables(name, number, organisations)
        assert self.run_until(lambda: token in self.answers, 10.0)
        assert self.answers[token].verdict in ("accepted", "superseded")
        return self.now - begun_at

    def has_organisations(self, name: str) -> bool:
        return self.hosts[name].node.state.tables.get_organisations() is not None


@pytest.fixture(params=range(2))
def fleet(request):
    return OrganisationFleet(request.param)


# Guards against an acknowledgement while an instance may still serve without the organisations.
@pytest.mark.parametrize("name", ["c1", "c2", "c3", "e1"])
def test_the_first_organisations_are_acknowledged_once_no_tables_without_them_are_recent(
    fleet, name
):
    fleet.measure("c1", 1, None)
    assert KEY_CHECK_S < fleet.measure(name, 2, ACME) < KEY_CHECK_S + SOON_S


# Guards against a delay where no instance can have served without organisations, or has heard.
def test_other_desired_states_are_acknowledged_at_once(fleet):
    assert fleet.measure("c1", 1, ACME) < AT_ONCE_S
    assert fleet.measure("c2", 2, OTHER) < AT_ONCE_S
    assert fleet.measure("c3", 3, None) < AT_ONCE_S
    assert fleet.measure("c1", 4, ACME) > KEY_CHECK_S
    assert fleet.measure("c2", 5, OTHER) < AT_ONCE_S
    assert fleet.measure("c2", 4, ACME) < AT_ONCE_S


# Guards against the acknowledgement of a call that is sent again, or of a later state.
@pytest.mark.parametrize(("number", "organisations"), [(2, ACME), (3, OTHER)])
def test_no_other_call_is_acknowledged_sooner(fleet, number, organisations):
    fleet.measure("c1", 1, None)
    begun_at = fleet.now
    fleet.send_tables("c1", 2, ACME)
    fleet.run(0.4)
    fleet.measure("c2", number, organisations)
    assert fleet.now - begun_at > KEY_CHECK_S


# Guards against an instance that takes its start for the time before which all have heard.
def test_an_instance_that_restarts_delays_the_acknowledgement_as_well(fleet):
    fleet.measure("c1", 1, None)
    begun_at = fleet.now
    fleet.send_tables("c1", 2, ACME)
    assert fleet.run_until(lambda: fleet.has_organisations("c2"), 5.0)
    fleet.crash("c2")
    fleet.restart("c2")
    assert fleet.run_until(lambda: fleet.has_organisations("c2"), 10.0)
    fleet.measure("c2", 2, ACME)
    assert fleet.now - begun_at > KEY_CHECK_S


# Guards against an acknowledgement at the deadline of a call, before the end of the delay.
def test_a_call_that_ends_before_the_delay_is_not_acknowledged(fleet):
    fleet.measure("c1", 1, None)
    for host in fleet.hosts.values():
        host.node.proposer.introduction = IntroductionDelay(2 * TIMEOUT_S)
    token = fleet.send_tables("c1", 2, ACME)
    assert fleet.run_until(lambda: token in fleet.answers, 10.0)
    assert fleet.answers[token].verdict == "unknown"
    fleet.run(TIMEOUT_S)
    assert fleet.measure("c1", 2, ACME) < TIMEOUT_S
