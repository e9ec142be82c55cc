"""A build beside a checkout: whether its libraries fit, and whether it holds the code.

What runs is the code of the checkout, never older code: a copy of the package, which has its
bytecode, is used only if it has the content of the checkout's package. Otherwise the
checkout's own files are run, which takes longer to start. Libraries that don't fit can't be
replaced in this way, so the program ends with a line that says so.

The module is imported before the libraries are known to fit: it and the module ``versions``
use only the standard library.
"""

from __future__ import annotations

import hashlib
import importlib.machinery
import json
import os
import re
import sys

from .exits import EXIT_UNUSABLE_BUILD
from .versions import get_running_code

BUILD_COMMAND = "bash scripts/build-platform.sh"
LIBRARY_FOLDER = os.path.join("target", "deps")
CODE_FOLDER = os.path.join("target", "code")
REQUIREMENTS_FILE = "requirements.runtime.lock"
RECORD_FILE = "build.json"


class LibraryRecord:
    """What a folder of libraries was made from and for.

    Parameters
    ----------
    requirements : str
        Digest of the file that lists the libraries with their versions.
    interpreter : str
        Suffix of extension modules, which names the implementation and the version of Python,
        the kind of machine and its C library.
    """

    __slots__ = ("interpreter", "requirements")

    def __init__(self, requirements: str, interpreter: str) -> None:
        self.requirements = requirements
        self.interpreter = interpreter

    @classmethod
    def from_checkout(cls, root: str) -> LibraryRecord:
        """Build the record of libraries for a checkout and this interpreter."""
        content = _read_file(os.path.join(root, REQUIREMENTS_FILE))
        suffix = importlib.machinery.EXTENSION_SUFFIXES[0]
        return cls(hashlib.sha256(content).hexdigest(), suffix)

    @classmethod
    def from_folder(cls, folder: str) -> LibraryRecord | None:
        """Read the record of a folder of libraries; None if it has no readable one."""
        try:
            document = json.loads(_read_file(os.path.join(folder, RECORD_FILE)))
            return cls(document["requirements"], document["interpreter"])
        except (OSError, ValueError, TypeError, KeyError):
            return None

    def write_to(self, folder: str) -> None:
        """Write the record into a folder of libraries."""
        document = {"requirements": self.requirements, "interpreter": self.interpreter}
        with open(os.path.join(folder, RECORD_FILE), "w", encoding="utf-8") as file:
            json.dump(document, file)

    def equals(self, other: LibraryRecord | None) -> bool:
        """Return whether another record names the same libraries for the same interpreter."""
        return (
            other is not None
            and other.requirements == self.requirements
            and other.interpreter == self.interpreter
        )


def use_build(root: str) -> str:
    """Take the program's code from a build, if it is that of the checkout.

    Parameters
    ----------
    root : str
        Folder of the checkout whose package this process has begun to import.

    Returns
    -------
    str
        Why the checkout's own files are used instead; empty if the build is used.

    Raises
    ------
    UnusableBuildError
        When the libraries of the build don't fit the checkout or the interpreter.
    """
    check_libraries(root)
    digest = get_running_code().digest
    folder = os.path.join(root, CODE_FOLDER, digest, __package__)
    if not os.path.isdir(folder):
        return f"the build has no code {digest}, so that of the checkout is compiled"
    sys.modules[__package__].__path__ = [folder]
    return ""


def check_libraries(root: str) -> None:
    """Check that the libraries of a build fit the checkout and this interpreter.

    Raises
    ------
    UnusableBuildError
        With what doesn't fit.
    """
    problem = _find_problem(root)
    if problem:
        # Imported on failure only, as the modules of the checkout have no bytecode.
        from .exceptions import UnusableBuildError

        raise UnusableBuildError(problem)


def report_unusable(error: Exception) -> int:
    """Print why the program can't be run and how it is built; return the exit status."""
    text = " ".join(str(error).split())
    print(f"foxtaildrum: cannot run: {text}; build it: {BUILD_COMMAND}", file=sys.stderr)
    return EXIT_UNUSABLE_BUILD


def _find_problem(root: str) -> str:
    folder = os.path.join(root, LIBRARY_FOLDER)
    if os.path.realpath(folder) not in map(os.path.realpath, sys.path):
        # The libraries come from elsewhere, as in tests that run without a build.
        return ""
    if not os.path.isdir(folder):
        return f"{LIBRARY_FOLDER} is missing"
    wanted = LibraryRecord.from_checkout(root)
    found = LibraryRecord.from_folder(folder)
    if found is not None and found.interpreter != wanted.interpreter:
        return (
            f"{LIBRARY_FOLDER} was made for *{found.interpreter}, "
            f"and this interpreter needs *{wanted.interpreter}"
        )
    if wanted.equals(found):
        return ""
    missing = _list_missing(root, folder)
    return f"{LIBRARY_FOLDER} lacks {', '.join(missing)}" if missing else ""


def _list_missing(root: str, folder: str) -> list[str]:
    """Return the required libraries that a folder lacks in their version.

    Builds of earlier checkouts have no record, or one of other requirements; the names of the
    folders with the metadata of the libraries tell what is there.
    """
    installed = {
        _normalize(name.removesuffix(".dist-info"))
        for name in os.listdir(folder)
        if name.endswith(".dist-info")
    }
    lines = _read_file(os.path.join(root, REQUIREMENTS_FILE)).decode().splitlines()
    required = [line.partition(";")[0].strip() for line in lines if line and line[0] != "#"]
    return [r for r in required if _normalize(r.replace("==", "-")) not in installed]


def _normalize(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def _read_file(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()
