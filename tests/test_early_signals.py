"""Signals that come while the program is still being imported.

Issue 35: a process ended by a SIGHUP that came within half a second of its start.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys

import pytest

from .checkouts import Checkout
from .standins.processes import pick_port, wait_until

# Put in front of a module that is imported late: it waits for the test.
PAUSE = """
import pathlib, time
pathlib.Path({begun!r}).touch()
while not pathlib.Path({go_on!r}).exists():
    time.sleep(0.01)
"""


class Pause:
    """A pause in the imports of a program."""

    def __init__(self, folder) -> None:
        self.begun = folder / "begun"
        self.go_on = folder / "go on"

    def insert(self, module) -> None:
        text = PAUSE.format(begun=str(self.begun), go_on=str(self.go_on))
        module.write_text(
            module.read_text().replace("from __future__ import annotations", text)
        )

    def send(self, process, number: int) -> None:
        """Send a signal during the pause, and end the pause."""
        assert wait_until(self.begun.exists)
        process.send_signal(number)
        self.go_on.touch()


@pytest.fixture
def checkout(tmp_path):
    checkout = Checkout(tmp_path / "checkout")
    checkout.add_libraries()
    return checkout


@pytest.fixture
def pause(tmp_path, checkout):
    pause = Pause(tmp_path)
    pause.insert(checkout.package / "cli.py")
    return pause


def test_a_reload_during_the_imports_ends_the_process(checkout, tmp_path, pause):
    with checkout.run(tmp_path / "run") as run:
        pause.send(run.process, signal.SIGHUP)
        run.read_event("started")
        run.read_event("settings_reloaded")
        assert run.process.poll() is None


def test_a_stop_during_the_imports_is_clean(checkout, tmp_path, pause):
    with checkout.run(tmp_path / "run") as run:
        pause.send(run.process, signal.SIGTERM)
        status, lines = run.read_end()
    assert status == 0, lines
    assert not run.has_event("started")


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_the_installed_program_handles_signals_during_its_imports(
    checkout, tmp_path, pause, number
):
    listen = f"127.0.0.1:{pick_port()}"
    command = [sys.executable, "-m", "foxtaildrum", "serve", "--admin-listen", listen]
    command += ["--data-dir", str(tmp_path / "data"), "--listen", f"127.0.0.1:{pick_port()}"]
    environ = os.environ | {"PYTHONPATH": str(checkout.root / "src")}
    log = tmp_path / "log"
    with log.open("wb") as output:
        process = subprocess.Popen(command, env=environ, stdout=output, stderr=output)
    try:
        pause.send(process, number)
        if number == signal.SIGHUP:
            assert wait_until(lambda: "event=settings_reloaded" in log.read_text())
            assert process.poll() is None
        else:
            assert process.wait(20) == 0, log.read_text()
    finally:
        process.kill()
        process.wait()
