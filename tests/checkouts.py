"""Checkouts with a build beside them, whose program the platform's command starts."""

from __future__ import annotations

import importlib.util
import json
import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

from foxtaildrum.builds import CODE_FOLDER, LIBRARY_FOLDER, LibraryRecord
from foxtaildrum.versions import SHOWN_DIGEST_CHARS, compute_digest

from .standins.processes import pick_port, wait_until

ROOT = Path(__file__).parent.parent
EARLIER_VERSION = "0.0.1-earlier"


def load_build_script(root: Path = ROOT):
    """Return the build script as a module that builds in ``root``."""
    path = ROOT / "scripts" / "build_platform.py"
    spec = importlib.util.spec_from_file_location("build_platform", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    module.ROOT = root
    module.SOURCE = root / "src"
    return module


class Checkout:
    """A copy of the files that the platform runs, without a build.

    Its libraries, once it has any, are links to those of this interpreter.
    """

    def __init__(self, root: Path) -> None:
        self.root = root
        ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
        for folder in ("src", "platform", "deploy", "scripts"):
            shutil.copytree(ROOT / folder, root / folder, ignore=ignore)
        shutil.copy(ROOT / "requirements.runtime.lock", root)
        self.libraries = root / LIBRARY_FOLDER
        self.package = root / "src" / "foxtaildrum"

    @property
    def digest(self) -> str:
        return compute_digest(str(self.package))[:SHOWN_DIGEST_CHARS]

    def add_libraries(self, has_record: bool = True) -> None:
        self.libraries.mkdir(parents=True)
        for path in Path(sysconfig.get_path("purelib")).iterdir():
            if "foxtaildrum" not in path.name:
                (self.libraries / path.name).symlink_to(path)
        if has_record:
            LibraryRecord.from_checkout(str(self.root)).write_to(str(self.libraries))

    def add_earlier_package(self) -> None:
        """Add a copy of the package as builds of earlier checkouts have it."""
        package = self.libraries / "foxtaildrum"
        shutil.copytree(self.package, package)
        replace_text(package / "__init__.py", '"0.2.0"', f'"{EARLIER_VERSION}"')

    def build_code(self) -> Path:
        load_build_script(self.root).build_code(self.root / CODE_FOLDER)
        return self.root / CODE_FOLDER / self.digest

    def list_files(self) -> dict[str, tuple[int, float]]:
        """Return the size and time of each file of the checkout."""
        found = {}
        for path in self.root.rglob("*"):
            if not path.is_symlink():
                status = path.stat()
                found[str(path.relative_to(self.root))] = (status.st_size, status.st_mtime)
        return found

    def run(self, folder: Path, libraries: str = LIBRARY_FOLDER) -> Run:
        return Run(self.root, folder, libraries)


class Run:
    """A control instance, started with the command of the deploy file."""

    def __init__(self, root: Path, folder: Path, libraries: str) -> None:
        folder.mkdir(parents=True)
        settings = folder / "node.json"
        document = build_platform_settings(folder)
        settings.write_text(json.dumps(document))
        self.admin = document["listen"]["control"]
        self.log = folder / "log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-S", "platform/main.py", "control"],
                cwd=root,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": libraries,
                    "FOXTAILDRUM_CONFIG": str(settings),
                },
                stdout=log,
                stderr=log,
            )

    def __enter__(self) -> Run:
        return self

    def __exit__(self, *_) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def read_event(self, event: str) -> dict[str, str]:
        """Wait for an event, or the end of the process; return the event's fields."""
        wait_until(lambda: self._find_line(event) or self.process.poll() is not None)
        line = self._find_line(event)
        assert line, self.log.read_text()
        return dict(field.split("=", 1) for field in line.split(" ") if "=" in field)

    def has_event(self, event: str) -> bool:
        return bool(self._find_line(event))

    def read_end(self) -> tuple[int, list[str]]:
        """Wait for the end of the process; return its exit status and its lines."""
        assert wait_until(lambda: self.process.poll() is not None), self.log.read_text()
        return self.process.returncode, self.log.read_text().splitlines()

    def _find_line(self, event: str) -> str:
        lines = self.log.read_text().splitlines()
        return next((line for line in lines if f" event={event} " in line), "")


def build_platform_settings(folder: Path) -> dict:
    """Return the platform's settings file of a control instance that is alone."""
    port = pick_port()
    return {
        "ip": "127.0.0.1",
        "availability_zone": "zone-a",
        "listen": {"control": f"127.0.0.2:{pick_port()}"},
        "internal_ports": [port, port + 15],
        "seeds": [f"127.0.0.1:{port}"],
        "bootstrap": True,
        "data_dir": str(folder / "data"),
        "heartbeat_ms": 1500,
        "fault_tolerance": {"machines": 0},
        "bounds": {"grace_s": 6},
    }


def replace_text(path: Path, old: str, new: str) -> None:
    """Replace text that a file has once, as an editor would, without a cached copy."""
    text = path.read_text()
    assert text.count(old) == 1, path
    path.write_text(text.replace(old, new))
