"""Disks that are full for a while: their instances come back, with all that they held."""

from __future__ import annotations

import random
import resource
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.control.claims import Verdict
from foxtaildrum.control.group import Role
from foxtaildrum.control.journal import TEMPORARY_SUFFIX, FolderDisk, Journal, pack_record
from foxtaildrum.exceptions import AdminRequestError, CorruptJournalError

from .fleet import FakeDisk, form_fleet, form_joined_fleet
from .standins.processes import InstanceProcess, pick_port, wait_until

FULL_S = 4.5
PAUSE_S = 7.5
BACK_S = 3.0
CONTROL = ("c1", "c2", "c3")
LIMIT_BYTES = 1
MAX_LOAD_S = 1.0


def is_back(fleet, name: str) -> bool:
    """Return whether a control instance is a voter again, and ready."""
    host = fleet.hosts[name]
    consensus = host.node.consensus
    return (
        consensus.role in (Role.FOLLOWER, Role.LEADER)
        and consensus.is_voter()
        and not host.node.list_unready_reasons(host.read_clock())
    )


# Guards against review/4: each full disk cost a voter for good, so three in turn ended a group.
@pytest.mark.parametrize("form", [form_fleet, form_joined_fleet])
@pytest.mark.parametrize("rounds", [1, 2])
def test_disks_that_are_full_in_turn_end_the_group(form, rounds):
    fleet = form()
    number = 0
    for _ in range(rounds):
        for name in fleet.control:
            fleet.hosts[name].disk.failing = True
            number += 1
            fleet.put_desired_until_accepted(number, f"v{number}")
            fleet.run(FULL_S)
            fleet.hosts[name].disk.failing = False
            assert fleet.run_until(lambda n=name: is_back(fleet, n), BACK_S), fleet.describe()
            fleet.run(PAUSE_S - BACK_S)
    assert all(fleet.read_desired(c) == number for c in fleet.control)


# Guards against a repaired voter that lacks what it held: the others lose their disks next.
def test_a_voter_that_came_back_has_lost_what_it_held():
    fleet = form_joined_fleet()
    for number, name in enumerate(("c1", "c2", "c3"), 1):
        fleet.hosts[name].disk.failing = True
        fleet.put_desired_until_accepted(number, f"v{number}")
        fleet.run(FULL_S)
        fleet.hosts[name].disk.failing = False
        assert fleet.run_until(lambda n=name: is_back(fleet, n), BACK_S)
    fleet.put_desired_until_accepted(4, "newest")
    fleet.restart("c4", lose_disk=True)
    fleet.restart("c5", lose_disk=True)
    for name in ("c1", "c2", "c3"):
        fleet.restart(name)
    assert fleet.run_until(lambda: fleet.read_desired("c1") == 4, 15.0), fleet.describe()


# Guards against a disk that takes bytes again while its process was restarted meanwhile.
@pytest.mark.parametrize("stays_full_s", [0.0, 2.0])
def test_a_process_that_starts_with_a_full_disk_never_votes_again(stays_full_s):
    fleet = form_fleet()
    fleet.change_until_accepted("before")
    host = fleet.hosts["c1"]
    disk_id = host.node.consensus.disk_id
    host.disk.failing = True
    fleet.change_until_accepted("meanwhile")
    fleet.run(1.0)
    fleet.restart("c1")
    fleet.run(stays_full_s)
    host.disk.failing = False
    assert fleet.run_until(lambda: is_back(fleet, "c1"), BACK_S), fleet.describe()
    assert host.node.consensus.disk_id == disk_id
    fleet.change_until_accepted("after")


def test_an_instance_whose_new_disk_is_full_never_joins():
    fleet = form_joined_fleet()
    fleet.crash("c2")
    host = fleet.hosts["c2"]
    host.disk = FakeDisk()
    host.disk.failing = True
    host.start()
    fleet.run(FULL_S)
    assert not host.node.consensus.is_voter()
    host.disk.failing = False
    assert fleet.run_until(lambda: is_back(fleet, "c2"), 15.0), fleet.describe()
    fleet.crash("c2")
    host.start()
    assert host.node.consensus.is_voter()


# Guards against claims that are never granted again by a holder whose disk was full.
def test_claims_are_granted_again_after_every_disk_was_full():
    fleet = form_fleet()
    fleet.claim("e1", "first", "key")
    assert fleet.run_until(lambda: "first" in fleet.claims, 5.0)
    for name in fleet.control:
        fleet.hosts[name].disk.failing = True
        fleet.claim("e1", f"while-{name}", f"key-{name}")
        fleet.run(FULL_S)
        fleet.hosts[name].disk.failing = False
        fleet.run(BACK_S)
    fleet.claim("e1", "after", "another")
    fleet.claim("e2", "again", "key", "other digest")
    assert fleet.run_until(lambda: {"after", "again"} <= fleet.claims.keys(), 5.0)
    assert fleet.claims["after"].verdict is Verdict.GRANTED
    assert fleet.claims["again"].verdict is Verdict.REUSED
    for name in fleet.control:
        fleet.restart(name)
    fleet.run(2.0)
    fleet.claim("e2", "restarted", "key", "other digest")
    assert fleet.run_until(lambda: "restarted" in fleet.claims, 5.0)
    assert fleet.claims["restarted"].verdict is Verdict.REUSED


# Guards against states that only a mixture of full disks, kills and changes leads to.
@pytest.mark.parametrize("seed", range(1, 13))
def test_full_disks_and_kills_in_any_order_lose_an_accepted_change(seed):
    fleet = form_joined_fleet(seed=seed)
    rng = random.Random(seed)
    number = 0
    for _ in range(25):
        host = fleet.hosts[rng.choice(fleet.control)]
        step = rng.choice(("full", "free", "kill", "put", "put", "run"))
        if step in ("full", "free"):
            host.disk.failing = step == "full"
        elif step == "kill":
            host.tear_next = rng.random() < 0.5
            fleet.restart(host.instance_id)
        elif step == "put":
            number += 1
            fleet.put_desired(host.instance_id, number, f"v{number}")
        fleet.run(rng.choice((0.0, 0.002, 0.1, 1.0)))
    fleet.heal()
    fleet.put_desired_until_accepted(number + 1, "last")
    assert fleet.run_until(lambda: all(is_back(fleet, c) for c in fleet.control), 15.0), (
        fleet.describe()
    )
    assert all(fleet.read_desired(c) == number + 1 for c in fleet.control)


# Files.


# Guards against a write cut short whose rest a later start takes for damage.
@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=4), st.binary(min_size=1), st.data()
)
def test_a_write_that_was_cut_short_is_damage_for_a_later_start(records, record, data):
    disk = FakeDisk()
    disk.files["log"] = b"".join(pack_record(r) for r in records)
    packed = pack_record(record)
    disk.files["log"] += packed[: data.draw(st.integers(0, len(packed) - 1))]
    disk.failing = True
    journal = Journal(disk, "log")
    assert journal.load() == records
    assert journal.is_torn == (len(disk.files["log"]) > sum(8 + len(r) for r in records))
    disk.failing = False
    journal.replace([*records, record])
    assert not journal.is_torn
    journal.append(b"next")
    assert Journal(disk, "log").load() == [*records, record, b"next"]


@pytest.mark.parametrize("size", [100, 1_000_000])
def test_a_file_is_cut_back_after_a_write_that_was_cut_short(tmp_path, size):
    disk = FolderDisk(str(tmp_path))
    journal = Journal(disk, "log")
    journal.append(b"whole")
    used = (tmp_path / "log").stat().st_size
    _, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (used + size // 2, hard))
    try:
        with pytest.raises(OSError, match="File too large"):
            journal.append(b"x" * size)
        with pytest.raises(OSError, match="File too large"):
            journal.replace([b"x" * size * 2])
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (hard, hard))
    assert (tmp_path / "log").stat().st_size == used
    assert not (tmp_path / f"log{TEMPORARY_SUFFIX}").exists()
    journal.append(b"next")
    assert journal.load() == [b"whole", b"next"]


# Guards against a start that looks at each byte of a torn record, which may have megabytes.
@pytest.mark.parametrize(
    "content", [bytes(8_000_000), b"x\0y" * 3_000_000], ids=["zeros", "mix"]
)
def test_a_large_torn_record_holds_up_the_start(tmp_path, content):
    data = pack_record(b"whole") + pack_record(b"v" + content)[:-1]
    (tmp_path / "log").write_bytes(data)
    began_at = time.thread_time()
    assert Journal(FolderDisk(str(tmp_path)), "log").load() == [b"whole"]
    assert time.thread_time() - began_at < MAX_LOAD_S


@given(st.binary(max_size=700), st.binary(min_size=1, max_size=700))
def test_a_valid_record_at_any_distance_after_damage_is_overlooked(between, record):
    damaged = bytearray(pack_record(b"damaged") + between + pack_record(record))
    damaged[0:2] = b"\x01\x00"
    disk = FakeDisk()
    disk.files["log"] = bytes(damaged)
    with pytest.raises(CorruptJournalError):
        Journal(disk, "log").load()


# Real processes; a limit on the size of files makes further writes fail, as a full disk does.


class Site:
    """Three control instances in processes of their own."""

    def __init__(self, folder) -> None:
        peers = {name: f"127.0.0.1:{pick_port()}" for name in CONTROL}
        control = ",".join(f"{n}={a}" for n, a in peers.items())
        self.instances = {
            name: InstanceProcess(
                folder, name, role="control", peer_listen=address, control=control
            )
            for name, address in peers.items()
        }
        for instance in self.instances.values():
            instance.wait_ready()

    def limit_files(self, name: str, limit: int) -> None:
        pid = self.instances[name].popen.pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit if limit else hard, hard))

    def put(self, number: int) -> bool:
        document = {"version": number, "routes": [], "pools": [{"name": f"v{number}"}]}
        for instance in self.instances.values():
            try:
                instance.client.put_tables(document)
            except AdminRequestError:
                continue
            return True
        return False

    def kill(self) -> None:
        for instance in self.instances.values():
            instance.kill()


# Guards against review/4 with real processes and files.
def test_three_processes_whose_disks_are_full_in_turn_stop_for_good(tmp_path):
    site = Site(tmp_path)
    try:
        for number, name in enumerate(CONTROL, 1):
            site.limit_files(name, LIMIT_BYTES)
            assert wait_until(lambda n=number: site.put(n), 10.0), name
            client = site.instances[name].client
            assert wait_until(lambda c=client: not c.is_ready(), 10.0), name
            site.limit_files(name, 0)
            assert wait_until(client.is_ready, 10.0), name
        assert wait_until(lambda: site.put(10), 10.0)
        for instance in site.instances.values():
            assert instance.client.get_tables()["version"] == 10
    finally:
        site.kill()
