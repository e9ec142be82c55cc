"""The memory that this process may use: its limits, those of its control groups, the host."""

from __future__ import annotations

import contextlib
import os
import resource
from collections.abc import Iterator
from pathlib import Path

CGROUP_ROOT = Path("/sys/fs/cgroup")
CGROUP_MEMBERSHIP = Path("/proc/self/cgroup")

# Folder of the memory controller and file of its limit, in versions 2 and 1 of control groups.
_LIMIT_FILES = {"": ("", "memory.max"), "memory": ("memory", "memory.limit_in_bytes")}


def read_memory_bytes() -> int:
    """Return the size of the memory that this process may use, in bytes."""
    sizes = [os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")]
    address_space_bytes, _ = resource.getrlimit(resource.RLIMIT_AS)
    if address_space_bytes != resource.RLIM_INFINITY:
        sizes.append(address_space_bytes)
    with contextlib.suppress(OSError):
        sizes += read_cgroup_limits(CGROUP_ROOT, CGROUP_MEMBERSHIP.read_text())
    return min(sizes)


def read_cgroup_limits(root: Path, membership: str) -> list[int]:
    """Return the memory limits of the control groups of a process and of those above them.

    Parameters
    ----------
    root : Path
        Folder in which the control groups are mounted.
    membership : str
        Control groups of the process, as in ``/proc/PID/cgroup``.
    """
    limits = []
    for line in membership.splitlines():
        _, separator, rest = line.partition(":")
        controllers, _, group = rest.partition(":")
        if not separator:
            continue
        for controller in set(controllers.split(",")) & _LIMIT_FILES.keys():
            folder, name = _LIMIT_FILES[controller]
            limits += _read_limits(root / folder, group, name)
    return limits


def _read_limits(root: Path, group: str, name: str) -> Iterator[int]:
    path = root / group.strip("/")
    for folder in (path, *path.parents):
        # The file is missing at the root, and above what a container shows of its groups.
        with contextlib.suppress(OSError, ValueError):
            size = int((folder / name).read_text())
            if size > 0:
                yield size
        if folder == root:
            return
