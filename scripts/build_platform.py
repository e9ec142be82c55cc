"""Builds the program for the platform under target/.

``target/deps`` holds the libraries, with a record of what they were made from and for.
``target/code/DIGEST`` holds a copy of the package with that digest, and its bytecode. What
fits is left as it is. Each folder is made under another name and renamed when it is complete,
by one build at a time.
"""

from __future__ import annotations

import compileall
import fcntl
import os
import py_compile
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src"
sys.path.insert(0, str(SOURCE))
sys.dont_write_bytecode = True

from foxtaildrum.builds import (  # noqa: E402
    CODE_FOLDER,
    LIBRARY_FOLDER,
    REQUIREMENTS_FILE,
    LibraryRecord,
)
from foxtaildrum.versions import SHOWN_DIGEST_CHARS, compute_digest  # noqa: E402

PACKAGE = "foxtaildrum"
LOCK_FILE = "build.lock"
UNFINISHED_SUFFIX = ".new"
REPLACED_SUFFIX = ".old"
# Instances of the code before may still import from its folder.
KEPT_CODE_FOLDERS = 2


class BuildError(Exception):
    """The program could not be built."""


def main() -> int:
    """Build what does not fit; return the exit status."""
    target = ROOT / "target"
    target.mkdir(exist_ok=True)
    with (target / LOCK_FILE).open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        try:
            remove_leftovers(target)
            build_libraries(ROOT / LIBRARY_FOLDER)
            build_code(ROOT / CODE_FOLDER)
        except (BuildError, OSError, subprocess.CalledProcessError) as error:
            print(f"build failed: {error}", file=sys.stderr)
            return 1
    return 0


def remove_leftovers(target: Path) -> None:
    """Remove what builds that broke off have left."""
    for suffix in (UNFINISHED_SUFFIX, REPLACED_SUFFIX):
        for folder in [*target.glob(f"*{suffix}"), *target.glob(f"code/*{suffix}")]:
            shutil.rmtree(folder)


def build_libraries(folder: Path) -> None:
    """Install the libraries, unless those in the folder fit."""
    record = LibraryRecord.from_checkout(str(ROOT))
    if record.equals(LibraryRecord.from_folder(str(folder))):
        return
    unfinished = folder.with_name(folder.name + UNFINISHED_SUFFIX)
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-compile"]
    command += ["--target", str(unfinished), "--requirement", str(ROOT / REQUIREMENTS_FILE)]
    subprocess.run(command, check=True)
    compile_folder(unfinished)
    record.write_to(str(unfinished))
    replace_folder(unfinished, folder)


def build_code(folder: Path) -> None:
    """Copy and compile the package, unless the folder holds a copy of it."""
    digest = compute_digest(str(SOURCE / PACKAGE))
    copy = folder / digest[:SHOWN_DIGEST_CHARS]
    if not copy.is_dir():
        unfinished = copy.with_name(copy.name + UNFINISHED_SUFFIX)
        ignore = shutil.ignore_patterns("__pycache__")
        shutil.copytree(SOURCE / PACKAGE, unfinished / PACKAGE, ignore=ignore)
        if compute_digest(str(unfinished / PACKAGE)) != digest:
            raise BuildError("the code was changed while it was copied")
        compile_folder(unfinished)
        unfinished.rename(copy)
    os.utime(copy)
    by_age = sorted(folder.iterdir(), key=lambda path: path.stat().st_mtime, reverse=True)
    for old in by_age[KEPT_CODE_FOLDERS:]:
        shutil.rmtree(old)


def compile_folder(folder: Path) -> None:
    """Compile the modules in a folder.

    The bytecode isn't compared with the source when it is loaded, so that it stays valid in a
    copy of the folder whose files have other times.
    """
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    if not compileall.compile_dir(folder, quiet=1, invalidation_mode=mode):
        raise BuildError(f"{folder} could not be compiled")


def replace_folder(new: Path, folder: Path) -> None:
    """Put a finished folder in the place of another, and remove that."""
    replaced = folder.with_name(folder.name + REPLACED_SUFFIX)
    if folder.exists():
        folder.rename(replaced)
    new.rename(folder)
    shutil.rmtree(replaced, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
