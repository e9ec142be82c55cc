"""The dialect and the settings of the users' platform, in ``platform/``."""

from __future__ import annotations

import importlib.util
import sys
import tomllib
from pathlib import Path

import pytest

from foxtaildrum.balancing.sampling import STATUS_CHECK_BURST_S
from foxtaildrum.kinds import ERROR_RESPONSES, ErrorKind, Outcome
from foxtaildrum.requests.dialects import Dialect
from foxtaildrum.settings import load_settings

FOLDER = Path(__file__).parent.parent / "platform"


def load_module(name: str):
    spec = importlib.util.spec_from_file_location(name, FOLDER / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module


@pytest.fixture(scope="module")
def dialect():
    return load_module("dialect").PlatformDialect()


@pytest.fixture(scope="module")
def main(dialect):
    return load_module("main")


CONFIG = {
    "ip": "10.1.0.18",
    "availability_zone": "zone-a",
    "listen": {"front": "10.1.0.18:8381", "ready": "10.1.0.18:8388"},
    "internal_ports": [7200, 7215],
    "seeds": ["10.1.0.21:8382", "10.2.0.37:8382"],
    "bootstrap": True,
    "data_dir": None,
    "heartbeat_ms": 1500,
    "fault_tolerance": {"machines": 2},
    "bounds": {"grace_s": 6, "retry_slack": 62, "probes_per_s": 60},
}


def read_settings(main, role: str, config: dict):
    settings = main.translate_settings(role, config)
    return load_settings({name: str(value) for name, value in settings.items()}, {})


@pytest.mark.parametrize(("value", "leaving"), [("1", True), ("0", False), (None, False)])
def test_an_upstream_says_in_its_responses_that_it_leaves(dialect, value, leaving):
    headers = {} if value is None else {"Server-Leaving": value}
    assert dialect.states_draining(headers) is leaving


def test_the_configuration_of_an_entry_instance_gives_valid_settings(main):
    settings = read_settings(main, "entry", CONFIG)
    assert settings.instance_id == "10.1.0.18"
    assert settings.seeds == "10.1.0.21=10.1.0.21:7200,10.2.0.37=10.2.0.37:7200"
    assert settings.admin_listen == "10.1.0.18:8388"
    assert settings.shutdown_grace_s < 6


def test_the_configuration_of_a_control_instance_sets_the_data_directory(main):
    listen = {"control": "10.1.0.21:8382"}
    config = {**CONFIG, "listen": listen, "data_dir": "/data/x", "ip": "10.1.0.21"}
    settings = read_settings(main, "control", config)
    assert (settings.admin_listen, settings.data_dir) == ("10.1.0.21:8382", "/data/x")
    assert settings.tolerated_losses == 2


def test_the_zones_of_the_platform_and_the_time_of_an_evacuation_are_settings(main):
    bounds = {**CONFIG["bounds"], "evac_ms": 2500}
    zones = {"zone-a": ["10.1.0.18"], "zone-b": []}
    settings = read_settings(main, "entry", {**CONFIG, "bounds": bounds, "zones": zones})
    assert settings.availability_zones == "zone-a,zone-b"
    assert settings.evacuation_s == 2.5
    settings = read_settings(main, "entry", CONFIG)
    assert (settings.availability_zones, settings.evacuation_s) == ("", 5)


def test_the_memory_of_the_machine_is_a_setting(main):
    limits = {"memory_mb": 300, "max_fds": 4100}
    settings = read_settings(main, "entry", {**CONFIG, "limits": limits})
    assert settings.memory_bytes == 300_000_000
    for limits in ({}, {"memory_mb": 0}, {"memory_mb": None}):
        settings = read_settings(main, "entry", {**CONFIG, "limits": limits})
        assert settings.memory_bytes == 0
    assert read_settings(main, "entry", CONFIG).memory_bytes == 0


@pytest.mark.parametrize("kind", list(ErrorKind))
@pytest.mark.parametrize("outcome", list(Outcome))
def test_only_a_request_that_was_not_run_gets_a_not_run_status(dialect, kind, outcome):
    status = dialect.get_status(kind, outcome)
    if outcome is Outcome.UNKNOWN:
        assert status not in dialect.not_run_statuses
    if outcome is Outcome.NOT_RUN and ERROR_RESPONSES[kind].status >= 500 and status != 500:
        assert status == 503


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (421, {}, True),
        (503, {"X-Not-Executed": "1"}, True),
        (429, {"X-Not-Executed": "1"}, True),
        (503, {}, False),
        (500, {}, False),
    ],
)
def test_only_an_explicit_statement_of_the_upstream_counts_as_not_run(
    dialect, status, headers, expected
):
    assert dialect.states_not_run(status, headers) is expected


def test_retry_after_has_fractions_on_the_platform_and_whole_seconds_elsewhere(dialect):
    assert float(dialect.format_retry_after(0.25)) == 0.25
    assert Dialect().format_retry_after(0.25) == "1"


def test_bursts_of_status_checks_stay_within_the_bound_over_the_shortest_day():
    shortest_day_s = 20.0
    share = load_module("main").PROBE_SHARE_OF_BOUND
    assert share * (STATUS_CHECK_BURST_S + shortest_day_s) <= shortest_day_s


def test_the_deploy_file_has_the_metrics_address(main):
    deploy = tomllib.loads((FOLDER.parent / "deploy" / "system.toml").read_text())
    settings = read_settings(main, "entry", CONFIG)
    port = settings.metrics_listen.rpartition(":")[2]
    for role in deploy["roles"].values():
        assert role["metrics"] == f"{port}/metrics"


@pytest.mark.parametrize(
    ("bounds", "revocation_s"),
    [
        ({}, 0.0),
        ({"revoke_ms": 4000}, 0.0),
        ({"revoke_ms": 4000, "fail_closed": False}, 0.0),
        ({"revoke_ms": 4500, "fail_closed": True}, 4.5),
    ],
)
def test_keys_are_revoked_in_time_only_where_the_platform_fails_closed(
    main, bounds, revocation_s
):
    config = {**CONFIG, "bounds": {**CONFIG["bounds"], **bounds}}
    assert read_settings(main, "entry", config).revocation_s == revocation_s


def test_the_platform_names_the_headers_of_organisations(dialect):
    assert (dialect.key_header, dialect.organisation_header) == ("Api-Key", "X-Tenant")
    for kind in (ErrorKind.KEY_MISSING, ErrorKind.KEY_UNKNOWN_CALLER):
        assert dialect.get_status(kind, Outcome.NOT_RUN) == 401


@pytest.mark.parametrize(("value", "left_s"), [("2500", 2.5), ("0", 0.0), (None, None)])
def test_a_status_check_states_the_rest_of_the_cold_time(dialect, value, left_s):
    headers = {} if value is None else {"X-Warmup-Ms": value}
    assert dialect.read_warmup_left({"X-Upstream-Warmup-Ms": "9", **headers}) == left_s


def test_the_bounds_for_cold_upstreams_are_taken_over(main):
    # The product's defaults apply where the configuration names none.
    settings = read_settings(main, "entry", CONFIG)
    assert (settings.warmup_overshoot, settings.warmup_slack) == (1.0, 0)
    bounds = {**CONFIG["bounds"], "warmup_overshoot": 1.5, "warmup_slack": 8}
    settings = read_settings(main, "entry", {**CONFIG, "bounds": bounds})
    assert (settings.warmup_overshoot, settings.warmup_slack) == (1.5, 8)


def test_the_bounds_for_rate_limits_of_organisations_are_taken_over(main):
    # The product's defaults apply where the configuration names none.
    settings = read_settings(main, "entry", CONFIG)
    assert (settings.quota_window_s, settings.quota_overshoot, settings.quota_slack) == (
        5,
        0.1,
        20,
    )
    bounds = {"quota_window_s": 4, "quota_overshoot": 0.2, "quota_slack": 7}
    config = {**CONFIG, "bounds": {**CONFIG["bounds"], **bounds}}
    settings = read_settings(main, "entry", config)
    assert (settings.quota_window_s, settings.quota_overshoot, settings.quota_slack) == (
        4,
        0.2,
        7,
    )
