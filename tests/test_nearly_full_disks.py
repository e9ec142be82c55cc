"""Disks with little room left: what still fits is written, and a log that can't shrink grows.

A journal is replaced by a shorter one next to it, which takes more room for a while than the
records that led to it.
"""

from __future__ import annotations

import os

import msgpack
import pytest

from foxtaildrum.control.group import COMPACT_BYTES, Role
from foxtaildrum.control.journal import TEMPORARY_SUFFIX, FolderDisk, Journal
from foxtaildrum.control.storage import JournalWriter, WriteCompleted
from foxtaildrum.exceptions import FileNotReplacedError
from foxtaildrum.fleet.actions import Write

from .fleet import FakeDisk, Fleet, form_joined_fleet
from .test_large_tables import build_desired

ROUTES = 3000
CHANGED_ROUTES = ROUTES // 4
# Room for the changes that make a compaction due, but not for the compaction of all routes.
ROOM_CHANGES = 2.5


class SmallDisk(FakeDisk):
    """A disk that takes no more bytes than it has room for."""

    def __init__(self, files: dict[str, bytes], room: float) -> None:
        super().__init__()
        self.files = files
        self.capacity = sum(map(len, files.values())) + room
        self.refused: list[str] = []

    def append(self, name: str, data: bytes) -> None:
        self._check(data, "append")
        super().append(name, data)

    def replace(self, name: str, data: bytes) -> None:
        self._check(data, "replace")
        super().replace(name, data)

    def _check(self, data: bytes, operation: str) -> None:
        if sum(map(len, self.files.values())) + len(data) > self.capacity:
            self.refused.append(operation)
            if operation == "append":
                raise OSError("no room")
            raise FileNotReplacedError("no room")


def put(fleet: Fleet, number: int) -> bool:
    """Put a version that changes some routes; return whether it is accepted within 5 s."""
    leader = fleet.hosts[fleet.find_leader()]
    token = f"desired-{number}@{leader.instance_id}"
    desired = build_desired(0, ROUTES)
    desired.number = number
    for row in desired.rows["routes"][:CHANGED_ROUTES]:
        row["timeout_ms"] = 1000 + number
    fleet.perform(leader, leader.node.propose(leader.read_clock(), token, desired))
    return (
        fleet.run_until(lambda: token in fleet.answers, 5.0)
        and fleet.answers[token].verdict == "accepted"
    )


def form_nearly_full_fleet() -> tuple[Fleet, int]:
    """Return a fleet whose logs are about to be compacted, with little room on every disk."""
    fleet = form_joined_fleet()
    number = size = change = 0
    while size + change < COMPACT_BYTES:
        number += 1
        assert put(fleet, number)
        new_size = len(fleet.hosts["c1"].disk.files["log"])
        size, change = new_size, new_size - size
    for name in fleet.control:
        host = fleet.hosts[name]
        host.disk = SmallDisk(host.disk.files, ROOM_CHANGES * change)
        for journal in host.writer._journals.values():
            journal._disk = host.disk
    return fleet, number


def list_roles(fleet: Fleet) -> set[Role]:
    return {fleet.hosts[c].node.consensus.role for c in fleet.control}


# Guards against logs that every control instance replaces after the same entry: where none of
# their disks had the room, all voters failed at once, though the next entries had room.
def test_logs_that_cannot_be_compacted_end_the_group():
    fleet, number = form_nearly_full_fleet()
    log = fleet.hosts["c1"].disk.files["log"]
    while "replace" not in fleet.hosts["c1"].disk.refused:
        number += 1
        assert put(fleet, number), fleet.describe()
    fleet.run(1.0)
    assert Role.FAILED not in list_roles(fleet)
    assert fleet.hosts["c1"].disk.files["log"].startswith(log)
    for name in fleet.hosts:
        fleet.crash(name)
    for name in fleet.hosts:
        fleet.restart(name)
    assert fleet.run_until(lambda: fleet.read_desired("c1") == number, 15.0), fleet.describe()


# Guards against the same for a group whose disks get room again after they were really full.
def test_a_group_whose_disks_fill_up_comes_back_once_they_have_room():
    fleet, number = form_nearly_full_fleet()
    while put(fleet, number + 1):
        number += 1
    fleet.run(2.0)
    for name in fleet.control:
        fleet.hosts[name].disk.capacity *= 4
    assert fleet.run_until(lambda: Role.FAILED not in list_roles(fleet), 5.0)
    assert fleet.run_until(lambda: (fleet.read_desired("c1") or 0) >= number, 15.0), (
        fleet.describe()
    )
    assert put(fleet, number + 2)


class Reports:
    """Journals with a writer, and what it reported."""

    def __init__(self, disk) -> None:
        self.journal = Journal(disk, "log")
        self.reports: list[WriteCompleted] = []
        self.writer = JournalWriter({"log": self.journal}, self.reports.append)

    def write(self, token: int, records: list, replace: bool, fallback=None) -> bool:
        self.writer.perform([Write("log", token, records, replace, fallback)])
        return not self.reports[-1].failed

    def load(self) -> list:
        return [msgpack.unpackb(record) for record in self.journal.load()]


@pytest.fixture
def folder_disk(tmp_path):
    disk = FolderDisk(str(tmp_path))
    yield disk
    disk.close()


def refuse_syncs(monkeypatch, disk, which: str) -> None:
    """Let the disk refuse the sync of a file that replaces another, or that of the folder."""
    sync = os.fsync

    def refuse(descriptor: int) -> None:
        target = os.readlink(f"/proc/self/fd/{descriptor}")
        is_folder = os.path.isdir(target)
        if is_folder if which == "folder" else target.endswith(TEMPORARY_SUFFIX):
            raise OSError("refused")
        sync(descriptor)

    monkeypatch.setattr(os, "fsync", refuse)


def test_a_refused_compaction_appends_what_is_new(folder_disk, monkeypatch):
    reports = Reports(folder_disk)
    assert reports.write(1, [["batch", ["item", 1]]], False)
    refuse_syncs(monkeypatch, folder_disk, "file")
    assert reports.write(2, [["item", "all"]], True, ["batch", ["item", 2]])
    assert reports.write(3, [["batch", ["item", 3]]], False)
    assert reports.load() == [["batch", ["item", n]] for n in (1, 2, 3)]


def test_a_refused_compaction_with_nothing_new_writes_nothing(folder_disk, monkeypatch):
    reports = Reports(folder_disk)
    assert reports.write(1, [["batch", ["item", 1]]], False)
    refuse_syncs(monkeypatch, folder_disk, "file")
    assert reports.write(2, [["item", "all"]], True, ["batch"])
    assert reports.load() == [["batch", ["item", 1]]]


# After the new file has the name, nobody knows which of the two a loss of power leaves.
def test_a_compaction_whose_name_may_be_lost_is_a_failure(folder_disk, monkeypatch):
    reports = Reports(folder_disk)
    assert reports.write(1, [["batch", ["item", 1]]], False)
    refuse_syncs(monkeypatch, folder_disk, "folder")
    assert not reports.write(2, [["item", "all"]], True, ["batch", ["item", 2]])
    assert not reports.write(3, [["batch", ["item", 3]]], False)


def test_a_stream_that_failed_needs_its_replacement(folder_disk, monkeypatch):
    reports = Reports(folder_disk)
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", lambda *_: 1 / 0)
        assert not reports.write(1, [["batch", ["item", 1]]], False)
    with monkeypatch.context() as patch:
        refuse_syncs(patch, folder_disk, "file")
        assert not reports.write(2, [["item", "all"]], True, ["batch", ["item", 2]])
    assert reports.write(3, [["item", "all"]], True)
    assert reports.load() == [["item", "all"]]


def test_a_replacement_that_is_no_compaction_has_no_substitute(folder_disk, monkeypatch):
    reports = Reports(folder_disk)
    refuse_syncs(monkeypatch, folder_disk, "file")
    assert not reports.write(1, [["item", "all"]], True)
