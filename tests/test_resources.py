"""Addresses and folders that are taken or unusable when an instance starts."""

from __future__ import annotations

import socket
import subprocess
import sys

import pytest

from foxtaildrum.cli import EXIT_FAILED
from foxtaildrum.control.journal import FolderDisk
from foxtaildrum.exceptions import UnavailableResourcesError
from foxtaildrum.records import Settings
from foxtaildrum.resources import check_resources, open_data_folder


@pytest.fixture
def taken():
    """Return an address that another process listens on."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def test_every_address_that_is_taken_is_named_with_its_setting(taken):
    settings = Settings(listen=taken, admin_listen=taken, peer_listen=taken)
    settings.metrics_listen = taken
    with pytest.raises(UnavailableResourcesError) as caught:
        check_resources(settings, has_listener=False)
    flags = {problem.field for problem in caught.value.exceptions}
    assert flags == {
        f"{flag} {taken}"
        for flag in ("--listen", "--admin-listen", "--peer-listen", "--metrics-listen")
    }
    assert {problem.reason for problem in caught.value.exceptions} == {"Address already in use"}


def test_an_address_of_another_machine_is_named():
    settings = Settings(listen="127.0.0.1:0", admin_listen="192.0.2.1:80")
    with pytest.raises(UnavailableResourcesError, match="instance cannot start") as caught:
        check_resources(settings, has_listener=False)
    assert caught.value.exceptions[0].field == "--admin-listen 192.0.2.1:80"


def test_a_socket_that_was_opened_before_is_not_taken(taken):
    check_resources(Settings(listen=taken, admin_listen="127.0.0.1:0"), has_listener=True)


def test_a_control_instance_needs_no_address_for_callers(taken):
    settings = Settings(role="control", listen=taken, admin_listen="127.0.0.1:0")
    check_resources(settings, has_listener=False)


def test_serve_prints_every_problem_and_exits_with_status_1(taken, tmp_path):
    flags = [f"--listen={taken}", f"--admin-listen={taken}", f"--data-dir={tmp_path}"]
    command = [sys.executable, "-m", "foxtaildrum", "serve", *flags]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == EXIT_FAILED
    lines = result.stderr.splitlines()
    assert f"foxtaildrum: --listen {taken}: Address already in use" in lines
    assert f"foxtaildrum: --admin-listen {taken}: Address already in use" in lines


def test_a_second_instance_on_one_data_folder_is_refused(tmp_path):
    settings = Settings(data_dir=str(tmp_path / "data"))
    first = open_data_folder(settings)
    with pytest.raises(UnavailableResourcesError) as caught:
        open_data_folder(settings)
    assert caught.value.exceptions[0].reason == "another instance uses this folder"
    first.close()
    open_data_folder(settings).close()


def test_a_data_folder_that_cannot_be_created_is_named(tmp_path):
    (tmp_path / "file").write_text("")
    path = str(tmp_path / "file" / "data")
    with pytest.raises(UnavailableResourcesError) as caught:
        open_data_folder(Settings(data_dir=path))
    assert caught.value.exceptions[0].field == f"--data-dir {path}"


def test_a_closed_folder_may_be_closed_again(tmp_path):
    disk = FolderDisk(str(tmp_path))
    disk.close()
    disk.close()
