"""The memory that a process may use, from which the bound on what callers hold is derived."""

from __future__ import annotations

import os
import resource
import subprocess
import sys
from pathlib import Path

import pytest

from foxtaildrum.admin.metrics import Meter
from foxtaildrum.records import Settings
from foxtaildrum.requests.account import MEMORY_RATIO, CallerAccount

MIB = 1024 * 1024
HOST_BYTES = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
LIMIT_BYTES = 4096 * MIB
READ_BOUND = """
import resource, sys
limit = int(sys.argv[1])
resource.setrlimit(resource.RLIMIT_AS, (limit, limit))
from foxtaildrum.admin.metrics import Meter
from foxtaildrum.records import Settings
from foxtaildrum.requests.account import CallerAccount
account = CallerAccount.from_settings(Settings(), Meter())
account.change(int(sys.argv[2]))
print(account.is_full)
"""


def is_full(settings: Settings, held_bytes: float) -> bool:
    account = CallerAccount.from_settings(settings, Meter())
    account.change(int(held_bytes))
    return account.is_full


# Guards against a bound above what the process may use at all: it is ended before the bound
# has an effect.
@pytest.mark.skipif(HOST_BYTES <= LIMIT_BYTES, reason="the host has less memory")
@pytest.mark.parametrize(("share", "full"), [(0.9, "False"), (1.1, "True")])
def test_the_bound_follows_the_limit_of_the_process(share, full):
    held_bytes = int(share * MEMORY_RATIO * LIMIT_BYTES)
    arguments = [sys.executable, "-c", READ_BOUND, str(LIMIT_BYTES), str(held_bytes)]
    result = subprocess.run(arguments, capture_output=True, text=True, check=True)
    assert result.stdout.strip() == full


def test_the_setting_goes_before_what_the_system_reports():
    assert is_full(Settings(memory_bytes=400 * MIB), MEMORY_RATIO * 400 * MIB)
    assert not is_full(Settings(memory_bytes=400 * MIB), 0.99 * MEMORY_RATIO * 400 * MIB)
    both = Settings(memory_bytes=400 * MIB, max_held_bytes=200 * MIB)
    assert not is_full(both, 199 * MIB)


def test_without_limits_the_memory_of_the_host_is_taken():
    from foxtaildrum.memory import read_memory_bytes

    assert 0 < read_memory_bytes() <= HOST_BYTES
    address_space_bytes, _ = resource.getrlimit(resource.RLIMIT_AS)
    if address_space_bytes != resource.RLIM_INFINITY:
        assert read_memory_bytes() <= address_space_bytes


@pytest.mark.parametrize(
    ("membership", "files", "expected"),
    [
        ("0::/a/b\n", {"a/b/memory.max": "300\n", "a/memory.max": "200\n"}, [300, 200]),
        ("0::/a/b\n", {"a/b/memory.max": "max\n", "a/memory.max": "200\n"}, [200]),
        # A container sees its own group as the root.
        ("0::/\n", {"memory.max": "100\n"}, [100]),
        ("0::/../x\n", {"memory.max": "100\n"}, [100]),
        ("4:memory:/a\n0::/\n", {"memory/a/memory.limit_in_bytes": "50\n"}, [50]),
        ("4:cpu,memory:/a:b\n", {"memory/a:b/memory.limit_in_bytes": "50\n"}, [50]),
        ("3:cpu:/a\n", {"memory/a/memory.limit_in_bytes": "50\n"}, []),
        ("0::/a\n", {"a/memory.max": "odd"}, []),
        ("0::/a\n", {"a/memory.max": "0\n"}, []),
        ("", {}, []),
        ("odd\n", {"memory.max": "100\n"}, []),
    ],
)
def test_the_limits_of_control_groups_are_read(tmp_path: Path, membership, files, expected):
    from foxtaildrum.memory import read_cgroup_limits

    for name, text in files.items():
        path = tmp_path / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    assert read_cgroup_limits(tmp_path, membership) == expected
