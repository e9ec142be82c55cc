"""The platform's command runs the code of the checkout, or says why it can't.

Issue 42: in a tree whose build was older than its checkout the older code ran, unnoticed.
"""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import sysconfig
from pathlib import Path

import pytest

from foxtaildrum.builds import BUILD_COMMAND, EXIT_UNUSABLE_BUILD, LibraryRecord
from foxtaildrum.cli import main

from .checkouts import ROOT, Checkout, load_build_script, replace_text
from .standins.processes import wait_until

UNCHECKED_HASH_FLAGS = (1).to_bytes(4, "little")


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path / "checkout")


# Guards against a build that is older than the checkout and runs in its place (issue 42).
@pytest.mark.parametrize("has_record", [False, True])
def test_code_older_than_the_checkout_never_runs(checkout, tmp_path, has_record):
    checkout.add_libraries(has_record)
    checkout.add_earlier_package()
    with checkout.run(tmp_path / "run") as run:
        started = run.read_event("started")
        assert (started["version"], started["code"]) == ("0.2.0", checkout.digest)
        assert run.has_event("build_outdated")


def test_a_build_of_the_checkout_runs_without_a_warning(checkout, tmp_path):
    checkout.add_libraries()
    build = checkout.build_code()
    # Shows that it is the build that runs: its digest isn't computed again.
    replace_text(build / "foxtaildrum" / "instance.py", '"started"', '"stopping"')
    shutil.rmtree(build / "foxtaildrum" / "__pycache__")
    with checkout.run(tmp_path / "run") as run:
        assert run.read_event("stopping")["code"] == checkout.digest
        assert not run.has_event("build_outdated")


def test_code_changed_after_the_build_runs_as_it_is_now(checkout, tmp_path):
    checkout.add_libraries()
    checkout.build_code()
    times = (checkout.package / "__init__.py").stat()
    replace_text(checkout.package / "__init__.py", '"0.2.0"', '"0.2.9"')
    os.utime(checkout.package / "__init__.py", (times.st_atime, times.st_mtime))
    with checkout.run(tmp_path / "run") as run:
        started = run.read_event("started")
        assert (started["version"], started["code"]) == ("0.2.9", checkout.digest)
        assert run.has_event("build_outdated")


def test_an_operator_sees_which_instances_run_other_code(tmp_path, capsys):
    checkouts = [Checkout(tmp_path / name) for name in ("former", "present")]
    replace_text(checkouts[1].package / "__init__.py", '"0.2.0"', '"0.2.1"')
    for checkout in checkouts:
        checkout.add_libraries()
    with checkouts[0].run(tmp_path / "one") as one, checkouts[1].run(tmp_path / "two") as two:
        for run in (one, two):
            run.read_event("started")
        assert main(["versions", "--admin", f"{one.admin},{two.admin}"]) == 0
    codes = [line.split()[2:] for line in capsys.readouterr().out.splitlines()]
    assert codes == [["0.2.0", checkouts[0].digest], ["0.2.1", checkouts[1].digest]]
    assert checkouts[0].digest != checkouts[1].digest


# Guards against an import error in each process, where the build counted as complete.
def test_libraries_for_another_interpreter_end_with_a_line_that_names_the_build(
    checkout, tmp_path
):
    checkout.add_libraries()
    # A stand-in for a build by another Python: only its record differs.
    wanted = LibraryRecord.from_checkout(str(checkout.root))
    other = LibraryRecord(wanted.requirements, ".cpython-39-other-linux-gnu.so")
    other.write_to(str(checkout.libraries))
    _check_ends_with_a_line(checkout, tmp_path, ".cpython-39-other-linux-gnu.so")


def test_libraries_of_another_version_end_with_a_line_that_names_the_build(checkout, tmp_path):
    checkout.add_libraries()
    lock = checkout.root / "requirements.runtime.lock"
    lock.write_text(lock.read_text() + "Added.Library==1.0\n")
    _check_ends_with_a_line(checkout, tmp_path, "lacks Added.Library==1.0")


def test_a_tree_without_a_build_ends_with_a_line_that_names_the_build(checkout, tmp_path):
    _check_ends_with_a_line(checkout, tmp_path, "target/deps is missing")


def test_a_library_that_cannot_be_imported_ends_with_a_line(checkout, tmp_path):
    checkout.add_libraries(has_record=False)
    (checkout.libraries / "msgspec").unlink()
    (checkout.libraries / "msgspec").mkdir()
    (checkout.libraries / "msgspec" / "__init__.py").write_text("from . import _core\n")
    _check_ends_with_a_line(checkout, tmp_path, "cannot import name '_core'")


def _check_ends_with_a_line(checkout: Checkout, tmp_path: Path, problem: str) -> None:
    with checkout.run(tmp_path / "run") as run:
        status, lines = run.read_end()
    assert status == EXIT_UNUSABLE_BUILD
    assert len(lines) == 1, lines
    assert problem in lines[0]
    assert BUILD_COMMAND in lines[0]


def test_libraries_from_elsewhere_need_no_build(checkout, tmp_path):
    with checkout.run(tmp_path / "run", sysconfig.get_path("purelib")) as run:
        assert run.read_event("started")["code"] == checkout.digest


def test_other_requirements_that_are_installed_all_the_same_are_no_obstacle(checkout, tmp_path):
    checkout.add_libraries()
    lock = checkout.root / "requirements.runtime.lock"
    lock.write_text("# A comment that changes nothing.\n" + lock.read_text())
    with checkout.run(tmp_path / "run") as run:
        assert run.read_event("started")["code"] == checkout.digest


@pytest.mark.parametrize("is_built", [False, True])
def test_a_run_writes_nothing_into_the_checkout(checkout, tmp_path, is_built):
    checkout.add_libraries()
    if is_built:
        checkout.build_code()
    before = checkout.list_files()
    with checkout.run(tmp_path / "run") as run:
        run.read_event("started")
    assert checkout.list_files() == before


# The build.


@pytest.fixture
def script(checkout, monkeypatch):
    """The build script; the libraries that it installs are one module."""
    script = load_build_script(checkout.root)
    script.installs = []

    def install(command: list[str], check: bool) -> None:
        script.installs.append(command)
        folder = Path(command[command.index("--target") + 1])
        folder.mkdir()
        (folder / "library.py").write_text("VALUE = 1\n")

    monkeypatch.setattr(script.subprocess, "run", install)
    return script


def test_what_fits_is_not_built_again(checkout, script):
    assert script.main() == 0
    before = checkout.list_files()
    assert script.main() == 0
    assert len(script.installs) == 1
    ignored = {"target/build.lock", f"target/code/{checkout.digest}"}
    after = checkout.list_files()
    assert {n: v for n, v in after.items() if n not in ignored} == {
        n: v for n, v in before.items() if n not in ignored
    }


@pytest.mark.parametrize("change", ["requirements", "interpreter", "no record", "torn record"])
def test_libraries_that_do_not_fit_are_made_anew(checkout, script, change):
    assert script.main() == 0
    (checkout.libraries / "leftover.py").write_text("")
    record = LibraryRecord.from_checkout(str(checkout.root))
    if change == "requirements":
        lock = checkout.root / "requirements.runtime.lock"
        lock.write_text(lock.read_text() + "added==1.0\n")
    elif change == "interpreter":
        LibraryRecord(record.requirements, ".other.so").write_to(str(checkout.libraries))
    elif change == "no record":
        # Builds of earlier checkouts have this file in its place, whatever made them.
        (checkout.libraries / "build.json").unlink()
        (checkout.libraries / "complete").touch()
    else:
        (checkout.libraries / "build.json").write_text('{"requirements": "')
    assert script.main() == 0
    assert len(script.installs) == 2
    assert not (checkout.libraries / "leftover.py").exists()


def test_changed_code_is_built_again_and_the_copy_before_it_is_kept(checkout, script):
    digests = []
    for version in ("0.2.0", "0.2.1", "0.2.2"):
        digests.append(checkout.digest)
        assert script.main() == 0
        os.utime(checkout.root / "target" / "code" / checkout.digest, (len(digests),) * 2)
        last = version[-1]
        replace_text(checkout.package / "__init__.py", f'"{version}"', f'"0.2.{int(last) + 1}"')
    kept = {path.name for path in (checkout.root / "target" / "code").iterdir()}
    assert kept == set(digests[1:])
    assert len(script.installs) == 1


def test_bytecode_stays_valid_in_a_copy_with_other_times(checkout, script):
    assert script.main() == 0
    caches = [
        path for path in (checkout.root / "target").rglob("*.pyc") if path.stat().st_size > 8
    ]
    modules = list((checkout.root / "target").rglob("*.py"))
    assert len(caches) == len(modules) > 100
    assert {path.read_bytes()[4:8] for path in caches} == {UNCHECKED_HASH_FLAGS}


def test_a_failed_installation_leaves_the_build_as_it_was(checkout, script, capsys):
    assert script.main() == 0
    lock = checkout.root / "requirements.runtime.lock"
    lock.write_text(lock.read_text() + "added==1.0\n")
    before = checkout.list_files()

    def fail(command: list[str], check: bool) -> None:
        raise subprocess.CalledProcessError(1, command)

    script.subprocess.run = fail
    assert script.main() == 1
    assert "build failed" in capsys.readouterr().err
    changed = {n for n, v in checkout.list_files().items() if before.get(n) != v}
    assert changed <= {"target/build.lock"}


SLOW_BUILD = """
import sys, time
from pathlib import Path
sys.path.insert(0, sys.argv[1])
from tests.checkouts import load_build_script
root = Path(sys.argv[2])
script = load_build_script(root)
def install(command, check):
    folder = Path(command[command.index("--target") + 1])
    folder.mkdir()
    (folder / "library.py").write_text("VALUE = 1\\n")
    with (root / "installs").open("a") as file:
        file.write("begun\\n")
    while not (root / "go on").exists():
        time.sleep(0.01)
    (folder / "second.py").write_text("VALUE = 2\\n")
script.subprocess.run = install
sys.exit(script.main())
"""


def start_slow_build(checkout: Checkout) -> subprocess.Popen:
    arguments = [sys.executable, "-c", SLOW_BUILD, str(ROOT), str(checkout.root)]
    return subprocess.Popen(arguments)


def has_begun(checkout: Checkout) -> bool:
    installs = checkout.root / "installs"
    return installs.exists() and bool(installs.read_text())


def test_a_build_that_is_killed_halfway_leaves_nothing_that_counts_as_complete(
    checkout, tmp_path
):
    build = start_slow_build(checkout)
    assert wait_until(lambda: has_begun(checkout))
    build.send_signal(signal.SIGKILL)
    build.wait()
    assert not checkout.libraries.exists()
    _check_ends_with_a_line(checkout, tmp_path, "target/deps is missing")
    (checkout.root / "go on").touch()
    assert start_slow_build(checkout).wait() == 0
    assert (checkout.libraries / "second.py").exists()
    assert {p.name for p in (checkout.root / "target").iterdir()} == {
        "build.lock",
        "code",
        "deps",
    }


def test_of_two_builds_at_once_the_second_finds_what_the_first_has_made(checkout):
    builds = [start_slow_build(checkout) for _ in range(2)]
    assert wait_until(lambda: has_begun(checkout))
    (checkout.root / "go on").touch()
    assert [build.wait() for build in builds] == [0, 0]
    assert (checkout.root / "installs").read_text() == "begun\n"
    assert (checkout.libraries / "second.py").exists()
