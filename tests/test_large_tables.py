"""Tables and lists that grow past one message, one window or one snapshot."""

from __future__ import annotations

import pytest

from foxtaildrum.control.desired import DesiredState
from foxtaildrum.control.group import COMPACT_BYTES
from foxtaildrum.exceptions import AdminRequestError, FieldError, InvalidTableError
from foxtaildrum.fleet import upstreams
from foxtaildrum.fleet.frames import FrameWriter
from foxtaildrum.fleet.peers import MAX_QUEUED_MESSAGES, PeerNetwork
from foxtaildrum.records import Announcement, ClaimFinish, NewsReceipt, UpstreamNews
from foxtaildrum.sizes import (
    MAX_BATCH_BYTES,
    MAX_MESSAGE_BYTES,
    MAX_RECORD_BYTES,
    measure_record,
)

from .fleet import Fleet, form_fleet, form_joined_fleet
from .sites import open_site

ROUTES = 429
VERSIONS = 73
RECOVER_S = 15.0
UPSTREAMS = 27_000
MANY_ROUTES = 30_000


def build_desired(number: int, routes: int = ROUTES) -> DesiredState:
    """Return a desired state in which each version changes the timeout of every route."""
    rows = [
        {
            "name": f"r-{n:07x}",
            "host": "jepu9.example",
            "path_prefix": f"/lepu{n:03d}/",
            "type": "safe",
            "timeout_ms": 800 + 100 * (number % 2),
            "objective_latency_ms": 300,
            "priority": 2,
            "split": [{"pool": "one", "weight": 90}, {"pool": "two", "weight": 10}],
            "max_attempts": 2,
        }
        for n in range(routes)
    ]
    pools = [{"name": "one"}, {"name": "two"}]
    return DesiredState(number, {"routes": rows, "pools": pools}, {})


def put_versions(fleet: Fleet, count: int, routes: int = ROUTES) -> None:
    """Put versions through the leader, one at a time."""
    for number in range(1, count + 1):
        host = fleet.hosts[fleet.find_leader()]
        token = f"desired-{number}@{host.instance_id}"
        desired = build_desired(number, routes)
        fleet.perform(host, host.node.propose(host.read_clock(), token, desired))
        assert fleet.run_until(lambda t=token: t in fleet.answers, 5.0)
        assert fleet.answers[token].verdict == "accepted"


def is_in_force(fleet: Fleet, number: int, names: list[str] | None = None) -> bool:
    hosts = [fleet.hosts[n] for n in names or fleet.hosts]
    return all(
        h.node.state.tables.desired_number == number and h.node.is_open(h.read_clock())
        for h in hosts
    )


@pytest.fixture(scope="module")
def records():
    """Records of the disks of five control instances after many versions."""
    fleet = form_joined_fleet()
    put_versions(fleet, VERSIONS)
    assert fleet.run_until(lambda: is_in_force(fleet, VERSIONS), RECOVER_S)
    return {c: dict(fleet.hosts[c].disk.files) for c in fleet.control}


def start_from(records) -> Fleet:
    """Return a fleet whose control instances start with saved disks, all at once."""
    fleet = Fleet(5, 3, 2, seeds=3, tolerated_losses=2, start_delays={"c1": 1, "e1": 1})
    for name, files in records.items():
        fleet.hosts[name].disk.files = dict(files)
    for name in fleet.hosts:
        fleet.restart(name)
    return fleet


# Guards against review/2: entry instances that never serve again after a restart of all.
def test_all_processes_restart_after_many_versions_of_many_routes(records):
    fleet = start_from(records)
    assert fleet.run_until(lambda: is_in_force(fleet, VERSIONS), RECOVER_S), fleet.describe()


# Guards against review/2 for one process: a restarted entry instance that never serves again.
def test_one_entry_instance_restarts_after_many_versions_of_many_routes(records):
    fleet = start_from(records)
    assert fleet.run_until(lambda: is_in_force(fleet, VERSIONS), RECOVER_S), fleet.describe()
    fleet.restart("e2")
    assert fleet.run_until(lambda: is_in_force(fleet, VERSIONS, ["e2"]), 5.0), fleet.describe()


# Guards against a control instance without its disk that never becomes a voter again, so that
# two further lost disks, which are within the tolerance, end the group.
def test_lost_disks_are_repaired_after_many_versions_of_many_routes(records):
    fleet = start_from(records)
    assert fleet.run_until(lambda: is_in_force(fleet, VERSIONS), RECOVER_S), fleet.describe()
    fleet.restart("c1", lose_disk=True)
    voters = [fleet.hosts[c] for c in fleet.control]
    assert fleet.run_until(
        lambda: all(h.node.consensus.is_voter() for h in voters), RECOVER_S
    ), fleet.describe()
    for name in ("c2", "c3"):
        fleet.restart(name, lose_disk=True)
    assert fleet.run_until(lambda: is_in_force(fleet, VERSIONS), RECOVER_S), fleet.describe()
    assert fleet.read_desired("c1") == VERSIONS


# Guards against the same loss after fewer versions of more routes (the trial beside issue 39).
def test_an_entry_instance_restarts_after_40_versions_of_1500_routes():
    fleet = form_fleet(entry=1)
    put_versions(fleet, 40, 1500)
    fleet.restart("e1")
    assert fleet.run_until(lambda: is_in_force(fleet, 40, ["e1"]), 5.0), fleet.describe()


# Guards against the list of upstreams that exceeds a message, and so is never repaired.
@pytest.mark.parametrize("name", ["e1", "c1"])
def test_an_instance_that_starts_gets_a_list_of_27000_upstreams(name):
    fleet = form_fleet(entry=1)
    announce_upstreams(fleet, "c2")
    for host in fleet.hosts.values():
        if host.instance_id != name:
            host.node._upstreams.upstreams.pop_updates()
    fleet.restart(name, lose_disk=True)
    found = fleet.hosts[name].node.upstreams.entries
    assert fleet.run_until(lambda: len(found) == UPSTREAMS, RECOVER_S), len(found)


def announce_upstreams(fleet: Fleet, owner: str) -> None:
    """Let every running instance know the same list of upstreams."""
    for host in fleet.hosts.values():
        for n in range(UPSTREAMS):
            announcement = Announcement(
                pool=f"orders-of-organisation-{n % 1800:04d}",
                address=f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080",
                availability_zone="kz-central-a",
                slots=4,
                incarnation=1,
                lease_s=600.0,
            )
            entry = upstreams.Entry(
                f"instance-{n:080d}", announcement, "ready", owner, 1, False, fleet.now + 600.0
            )
            host.node._upstreams.upstreams.merge(fleet.now, entry)
        host.node._upstreams.upstreams.pop_updates()


# Guards against news of all changed upstreams in one message, as when an owner hands over.
def test_leases_of_27000_upstreams_are_handed_over_in_messages_that_can_be_sent():
    fleet = form_fleet(entry=1)
    announce_upstreams(fleet, "c2")
    host = fleet.hosts["c2"]
    fleet.perform(host, host.node.begin_stop(host.read_clock()))
    entries = fleet.hosts["e1"].node.upstreams.entries
    assert fleet.run_until(lambda: all(e.owner != "c2" for e in entries.values()), RECOVER_S)
    assert fleet.largest_message[0] <= 2 * MAX_BATCH_BYTES, fleet.largest_message


# Guards against claims with large answers that exceed a message, so that a holder without its
# disk never grants a claim again.
def test_a_claim_holder_without_its_disk_reads_claims_with_large_answers():
    fleet = form_fleet(entry=1)
    for n in range(80):
        fleet.claim("e1", f"claim-{n}", f"key-{n:03d}")
        assert fleet.run_until(lambda n=n: f"claim-{n}" in fleet.claims, 5.0)
        message = ClaimFinish(
            key=f"key-{n:03d}",
            claim_id=f"claim-{n}",
            digest="d",
            status=200,
            headers=[],
            body=b"x" * 65_536,
        )
        host = fleet.hosts["e1"]
        fleet.perform(host, host.node.finish_claim(host.read_clock(), f"f-{n}", message))
        assert fleet.run_until(lambda n=n: f"f-{n}" in fleet.claims, 5.0)
    fleet.restart("c1", lose_disk=True)
    holder = fleet.hosts["c1"].node.holder
    assert fleet.run_until(lambda: holder.recovered, RECOVER_S), fleet.largest_message
    assert len(holder.claims) == 80


# Guards against a log that grows by its entries' sizes until the next snapshot by count.
def test_the_log_is_replaced_by_a_snapshot_once_its_entries_are_large(records):
    for files in records.values():
        assert len(files["log"]) < 1.2 * COMPACT_BYTES


# Guards against a change that is accepted by one instance and can never be sent to another.
@pytest.mark.parametrize("name", ["e1", "leader"])
def test_a_change_that_no_message_can_carry_is_refused(name):
    fleet = form_fleet(entry=1)
    host = fleet.hosts[fleet.find_leader() if name == "leader" else name]
    desired = build_desired(1, MANY_ROUTES)
    assert measure_record(desired.to_wire()) > MAX_RECORD_BYTES
    fleet.perform(host, host.node.propose(host.read_clock(), "desired-1@x", desired))
    assert fleet.run_until(lambda: "desired-1@x" in fleet.answers, 5.0)
    answer = fleet.answers["desired-1@x"]
    assert answer.verdict == "too_large"
    assert str(MAX_RECORD_BYTES) in answer.detail
    put_versions(fleet, 1)


# Guards against a patch that exceeds a message although the change does not: it also names the
# rows in their new order and those that it removes.
def test_a_patch_that_no_message_can_carry_is_refused_and_the_next_change_accepted(monkeypatch):
    fleet = form_fleet(entry=1)
    put_versions(fleet, 1)
    host = fleet.hosts[fleet.find_leader()]
    desired = build_desired(2, ROUTES)
    desired.rows["routes"].reverse()
    for row in desired.rows["routes"]:
        row["name"] = f"renamed-{row['name']}"
    limit = measure_record(desired.to_wire())
    monkeypatch.setattr("foxtaildrum.control.proposals.MAX_RECORD_BYTES", limit)
    fleet.perform(host, host.node.propose(host.read_clock(), "desired-2@x", desired))
    assert fleet.run_until(lambda: "desired-2@x" in fleet.answers, 5.0)
    assert fleet.answers["desired-2@x"].verdict == "too_large"
    monkeypatch.undo()
    fleet.perform(host, host.node.propose(host.read_clock(), "desired-3@x", build_desired(3)))
    assert fleet.run_until(lambda: "desired-3@x" in fleet.answers, 5.0)
    assert fleet.answers["desired-3@x"].verdict == "accepted"


def test_an_operator_is_told_that_a_change_is_too_large(tmp_path, monkeypatch):
    monkeypatch.setattr("foxtaildrum.control.proposals.MAX_RECORD_BYTES", 1000)
    desired = build_desired(1, 20)
    document = {"version": 1, **desired.rows, "limits": {}}
    with open_site(tmp_path) as site, pytest.raises(AdminRequestError) as raised:
        site.client.put_tables(document)
    assert raised.value.status == 413


# Guards against an answer with a problem for each of many rows, which exceeds a message.
def test_the_problems_of_a_change_fit_into_a_message():
    errors = [FieldError(f"routes[{n}]", "x" * 5000) for n in range(20_000)]
    problems = InvalidTableError("invalid", errors).list_problems()
    assert measure_record(problems) < MAX_BATCH_BYTES
    assert problems[0]["field"] == "routes[0]"
    assert "19900 further problems" in problems[-1]["reason"]


class Counts:
    """Meter that remembers what was counted."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def count(self, name: str, amount: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + amount


# Guards against messages that are dropped without anyone noticing.
def test_what_cannot_be_sent_is_counted():
    counts = Counts()
    network = PeerNetwork("one", "127.0.0.1:0", b"", lambda *_: None, counts)
    connection = network._replace_outbound(None, "two", "127.0.0.1:1")
    try:
        connection.writer = FrameWriter(b"key")
        network._append_frame(
            connection, UpstreamNews(entries=["x" * MAX_MESSAGE_BYTES], token="")
        )
        assert counts.counts == {"peers.unsendable_messages": 1}
        for _ in range(MAX_QUEUED_MESSAGES + 1):
            network._enqueue(connection, NewsReceipt(token="t"))
        assert counts.counts == {"peers.unsendable_messages": 2}
        assert len(connection.queue) == MAX_QUEUED_MESSAGES
    finally:
        network._listener.close()
