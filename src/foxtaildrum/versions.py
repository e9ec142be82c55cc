"""The code that an instance runs: its digest, and where it was taken from.

The digest covers the content of the package's files. It is the same for the same code, be it
run from a checkout, a build of it or an installed package, and on every machine. The module
needs nothing but the standard library, so that it can be imported before the program's
libraries are known to fit.
"""

from __future__ import annotations

import functools
import hashlib
import os

from . import __version__

PACKAGE_FOLDER = os.path.dirname(os.path.abspath(__file__))
CODE_SUFFIXES = (".py", ".json")
SHOWN_DIGEST_CHARS = 12


class RunningCode:
    """The code that this process runs.

    Parameters
    ----------
    version : str
        Version of the package.
    digest : str
        First characters of the digest of the package's files.
    """

    __slots__ = ("digest", "version")

    def __init__(self, version: str, digest: str) -> None:
        self.version = version
        self.digest = digest

    def __str__(self) -> str:
        """Return the version and the digest, as shown to operators."""
        return f"{self.version} (code {self.digest})"


@functools.cache
def get_running_code() -> RunningCode:
    """Return the code of this process, as its files are at the first call."""
    return RunningCode(__version__, compute_digest(PACKAGE_FOLDER)[:SHOWN_DIGEST_CHARS])


def compute_digest(folder: str) -> str:
    """Return a digest of the names and the content of a package's files, as hexadecimal text.

    Parameters
    ----------
    folder : str
        Folder of the package; what the interpreter caches in it is left out.
    """
    digest = hashlib.sha256()
    for name in _list_code_files(folder):
        with open(os.path.join(folder, name), "rb", buffering=0) as file:
            content = file.read()
        digest.update(f"{name}\0{len(content)}\0".encode())
        digest.update(content)
    return digest.hexdigest()


def _list_code_files(folder: str) -> list[str]:
    """Return the paths of a package's files, relative to its folder, in order."""
    found = []
    for parent, _, names in os.walk(folder):
        relative = os.path.relpath(parent, folder)
        found += [
            os.path.normpath(os.path.join(relative, name))
            for name in names
            if name.endswith(CODE_SUFFIXES)
        ]
    return sorted(found)
