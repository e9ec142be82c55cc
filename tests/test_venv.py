"""The virtual environment for development is made anew when what it was made from differs."""

from __future__ import annotations

import shutil
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

# A stand-in for an interpreter of any version: it makes an environment whose pip writes a line
# for each call, and fails while a file says so.
PYTHON = """#!/bin/sh
if [ "$1" = -c ]; then
  cat "{folder}/version"
  exit 0
fi
mkdir -p "$3/bin"
cat >"$3/bin/pip" <<'PIP'
#!/bin/sh
echo "$*" >>"{folder}/calls"
[ ! -e "{folder}/fails" ]
PIP
chmod +x "$3/bin/pip"
"""


class Environment:
    """A checkout with the script, and a stand-in for its interpreter."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.root = folder / "checkout"
        (self.root / "scripts").mkdir(parents=True)
        shutil.copy(ROOT / "scripts" / "build-venv.sh", self.root / "scripts")
        for name in ("requirements.lock", "pyproject.toml"):
            shutil.copy(ROOT / name, self.root)
        self.python = folder / "python"
        self.python.write_text(PYTHON.format(folder=folder))
        self.python.chmod(0o755)
        self.set_version("3.11")
        self.calls = folder / "calls"

    def set_version(self, version: str) -> None:
        (self.folder / "version").write_text(f"{version}\n")

    def build(self) -> int:
        """Run the script; return how often it called pip."""
        self.calls.write_text("")
        command = ["scripts/build-venv.sh", str(self.python), ".venv"]
        self.status = subprocess.run(command, cwd=self.root, check=False).returncode
        return len(self.calls.read_text().splitlines())


@pytest.fixture
def environment(tmp_path):
    return Environment(tmp_path)


def test_an_environment_that_fits_is_left_as_it_is(environment):
    assert environment.build() == 2
    assert environment.build() == 0
    assert environment.status == 0


# Guards against an environment of another interpreter that counts as ready by its time.
@pytest.mark.parametrize("change", ["interpreter", "requirements", "project", "folder"])
def test_an_environment_that_does_not_fit_is_made_anew(environment, change):
    environment.build()
    if change == "interpreter":
        environment.set_version("3.12")
    elif change == "folder":
        moved = environment.folder / "moved"
        environment.root = environment.root.rename(moved)
    else:
        name = "requirements.lock" if change == "requirements" else "pyproject.toml"
        path = environment.root / name
        path.write_text(path.read_text() + "# changed\n")
    assert environment.build() == 2
    assert environment.build() == 0


def test_an_installation_that_failed_is_not_ready(environment):
    (environment.folder / "fails").touch()
    environment.build()
    assert environment.status != 0
    (environment.folder / "fails").unlink()
    assert environment.build() == 2
    assert environment.status == 0
