"""Reading and validating settings from flags and environment variables."""

from __future__ import annotations

import pytest

from foxtaildrum.cli import EXIT_CONFLICT, EXIT_USAGE, main
from foxtaildrum.exceptions import InvalidSettingsError
from foxtaildrum.settings import SETTING_GROUPS, load_settings
from foxtaildrum.validation import get_property_schemas


def test_a_flag_overrides_the_environment_variable():
    settings = load_settings(
        {"listen": "127.0.0.1:1"},
        {"FOXTAILDRUM_LISTEN": "127.0.0.1:2", "FOXTAILDRUM_THREADS": "7"},
    )
    assert settings.listen == "127.0.0.1:1"
    assert settings.threads == 7
    assert settings.admin_listen == "127.0.0.1:8081"


def test_all_invalid_settings_are_reported_together():
    flags = {
        "role": "king",
        "threads": "many",
        "listen": "nowhere",
        "shutdown_grace_s": "-1",
        "statsd": "127.0.0.1:99999",
        "fleet_key_file": "/does/not/exist",
    }
    with pytest.raises(InvalidSettingsError) as caught:
        load_settings(flags, {"FOXTAILDRUM_ACCESS_LOG": "perhaps"})
    named = {problem.field for problem in caught.value.exceptions}
    assert named == set(flags) | {"access_log"}


@pytest.mark.parametrize(
    ("flags", "named"),
    [
        ({"control": "a=127.0.0.1:1,b=127.0.0.1:2", "instance_id": "c"}, {"peer_listen"}),
        (
            {
                "control": "a=127.0.0.1:1",
                "instance_id": "c",
                "role": "control",
                "peer_listen": "127.0.0.1:3",
            },
            {"role"},
        ),
        (
            {"control": "a=127.0.0.1:1", "instance_id": "a", "peer_listen": "127.0.0.1:3"},
            {"control"},
        ),
    ],
)
def test_settings_that_contradict_each_other_are_refused(flags, named):
    with pytest.raises(InvalidSettingsError) as caught:
        load_settings(flags, {})
    assert {problem.field for problem in caught.value.exceptions} == named


def test_the_command_line_exits_2_and_names_each_flag(capsys):
    assert main(["serve", "--role=king", "--threads=0"]) == EXIT_USAGE
    text = capsys.readouterr().err
    assert "--role" in text
    assert "--threads" in text


def test_the_settings_command_shows_each_value_and_its_source(capsys, monkeypatch):
    monkeypatch.setenv("FOXTAILDRUM_THREADS", "9")
    assert main(["settings", "--listen=127.0.0.1:1", "--log-level=error"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert 'listen = "127.0.0.1:1"  # --listen' in lines
    assert "threads = 9  # FOXTAILDRUM_THREADS" in lines
    assert 'statsd = ""  # default' in lines
    assert len(lines) == len(get_property_schemas("Settings"))


def test_the_settings_command_lists_every_problem_at_once(capsys):
    assert main(["settings", "--threads=many", "--role=king"]) == 2
    errors = capsys.readouterr().err
    assert "--threads" in errors and "--role" in errors


def test_every_setting_is_in_one_group_of_the_help():
    grouped = [name for names in SETTING_GROUPS.values() for name in names]
    assert sorted(grouped) == sorted(get_property_schemas("Settings"))


@pytest.mark.parametrize(
    "command",
    [
        ["serve"],
        ["settings"],
        ["check"],
        ["explain"],
        ["status"],
        ["report"],
        ["routes", "get"],
        ["pools", "apply"],
        ["tables", "apply"],
    ],
)
def test_the_help_of_a_command_shows_an_example_and_its_exit_statuses(command, capsys):
    with pytest.raises(SystemExit) as caught:
        main([*command, "--help"])
    assert caught.value.code == 0
    text = capsys.readouterr().out
    assert f"example: foxtaildrum {' '.join(command)}" in text
    assert "exit status: 0 done, 1 failed, 2 invalid flags or settings" in text
    assert (f"{EXIT_CONFLICT} another change" in text) is (command == ["pools", "apply"])
