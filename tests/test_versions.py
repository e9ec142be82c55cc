"""The code that an instance runs, as operators see it."""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import urllib.request
from pathlib import Path

import pytest

import foxtaildrum
from foxtaildrum.cli import main
from foxtaildrum.commands import EXIT_FAILED, EXIT_OK
from foxtaildrum.operations import format_code
from foxtaildrum.versions import compute_digest, get_running_code

from .sites import open_site

PACKAGE = Path(foxtaildrum.__file__).parent


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with open_site(tmp_path_factory.mktemp("versions")) as site:
        yield site


def copy_package(folder: Path) -> Path:
    ignore = shutil.ignore_patterns("__pycache__")
    return shutil.copytree(PACKAGE, folder / "foxtaildrum", ignore=ignore)


def test_the_digest_is_that_of_the_content_wherever_the_files_are(tmp_path):
    copy = copy_package(tmp_path)
    assert compute_digest(str(copy)) == compute_digest(str(PACKAGE))


def test_files_that_the_interpreter_caches_do_not_count(tmp_path):
    copy = copy_package(tmp_path)
    before = compute_digest(str(copy))
    (copy / "__pycache__").mkdir()
    (copy / "__pycache__" / "cli.cpython-311.pyc").write_bytes(b"x")
    assert compute_digest(str(copy)) == before


@pytest.mark.parametrize("change", ["content", "name", "moved", "added"])
def test_any_change_of_the_code_changes_the_digest(tmp_path, change):
    copy = copy_package(tmp_path)
    before = compute_digest(str(copy))
    module = copy / "sizes.py"
    if change == "content":
        module.write_bytes(module.read_bytes().replace(b"65_536", b"65_537"))
    elif change == "name":
        module.rename(copy / "lengths.py")
    elif change == "moved":
        module.rename(copy / "fleet" / "sizes.py")
    else:
        (copy / "empty.py").write_bytes(b"")
    assert compute_digest(str(copy)) != before


def test_the_version_command_names_the_code(capsys):
    with pytest.raises(SystemExit) as ended:
        main(["--version"])
    assert ended.value.code == EXIT_OK
    assert capsys.readouterr().out == f"{get_running_code()}\n"
    assert re.fullmatch(r"[0-9.]+ \(code [0-9a-f]{12}\)", str(get_running_code()))


def test_the_status_and_the_metrics_name_the_code(site, capsys):
    code = get_running_code()
    address = site.instance.admin_server.address
    assert main(["status", "--admin", address]) == EXIT_OK
    assert f"code: {code.version} {code.digest}" in capsys.readouterr().out.splitlines()
    with urllib.request.urlopen(f"http://{address}/metrics") as response:
        lines = response.read().decode().splitlines()
    assert f'foxtaildrum_code{{code="{code.version}-{code.digest}"}} 1.0' in lines


def test_one_command_shows_which_code_several_instances_run(site, capsys):
    code = get_running_code()
    address = site.instance.admin_server.address
    closed = "127.0.0.1:1"
    status = main(["versions", "--admin", f"{address},{closed},{address}"])
    lines = capsys.readouterr().out.splitlines()
    assert status == EXIT_FAILED
    assert [line.split()[0] for line in lines] == [address, closed, address]
    instance_id = site.instance.settings.instance_id
    assert lines[0] == f"{address} {instance_id} {code.version} {code.digest}"
    assert lines[1].startswith(f"{closed} - ")


def test_an_instance_of_an_earlier_build_has_unknown_code():
    assert format_code({"instance": "c1"}) == "unknown"
    code = {"version": "0.2.0", "digest": "0123456789ab"}
    assert format_code({"instance": "c1", "code": code}) == "0.2.0 0123456789ab"


def test_other_code_in_another_process_has_another_digest(tmp_path):
    copy = copy_package(tmp_path)
    (copy / "added.py").write_text('"""An added module."""\n')
    script = "from foxtaildrum.versions import get_running_code; print(get_running_code())"
    output = subprocess.run(
        [sys.executable, "-S", "-c", script],
        env={"PYTHONPATH": str(tmp_path), "PYTHONDONTWRITEBYTECODE": "1"},
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    assert output.startswith("0.2.0 (code ")
    assert output.strip() != str(get_running_code())
