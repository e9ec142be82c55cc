"""Requests that crash each upstream that runs them."""

from __future__ import annotations

import contextlib
import io
import json
import select
import socket
import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtaildrum.fleet.actions import RecordSkipped
from foxtaildrum.fleet.crashes import (
    MAX_RECORDS,
    RECORD_TTL_S,
    CrashList,
    CrashRecord,
    describe_start,
)
from foxtaildrum.records import CrashNews
from foxtaildrum.requests import transport
from foxtaildrum.requests.fingerprints import compute_fingerprint, compute_head_digest
from foxtaildrum.requests.guard import CrashGuard
from foxtaildrum.requests.transport import OutgoingRequest, refuses_connections

from .fleet import form_fleet
from .serving_fleet import ServingFleet
from .sites import open_site
from .standins.processes import UpstreamProcess, wait_until

MAX_CRASHES = 3
REACTION_S = 3.0
ALLOWED_SENDS = 3
POISON = "poison"
STREAMED_BYTES = 2_000_000


def form(entry: int = 16, upstreams: int = 12, rate: float = 36.0, **options) -> ServingFleet:
    fleet = ServingFleet(entry, upstreams, rate, seed=11, service_s=0.3, **options)
    fleet.form()
    return fleet


def repeat(fleet: ServingFleet, fingerprint: str, crashes: bool, per_s: float) -> None:
    fleet.schedule(0.0, "repeat", fingerprint, crashes, 1.0 / per_s)


def count_late_sends(
    fleet: ServingFleet, fingerprint: str = POISON, excused: tuple[str, ...] = ()
) -> int:
    """Return how often a request was sent, once the fleet had time to learn of its crashes."""
    crashed_at = [t for t, _, lost in fleet.crashes if fingerprint in lost]
    assert len(crashed_at) >= MAX_CRASHES
    since = crashed_at[MAX_CRASHES - 1] + REACTION_S
    return sum(
        f == fingerprint and t >= since and name not in excused for t, name, f in fleet.sent
    )


def list_refused_others(fleet: ServingFleet, *refused: str) -> set[str]:
    """Return the requests that were refused although they crash nothing."""
    return {f for _, f in fleet.refused_fingerprints} - set(refused)


@pytest.mark.parametrize(
    ("entry", "upstreams", "rate"), [(16, 12, 36.0), (313, 87, 84.0)], ids=["16", "313"]
)
def test_a_request_under_which_three_upstreams_crashed_is_sent_no_more(entry, upstreams, rate):
    # Each instance knew only the crashes under its own attempts, one or two each.
    fleet = form(entry, upstreams, rate)
    repeat(fleet, POISON, True, 4.0)
    fleet.run(14.0)
    assert count_late_sends(fleet) <= ALLOWED_SENDS
    assert not list_refused_others(fleet, POISON)
    assert POISON in {f for _, f in fleet.refused_fingerprints}


def test_two_crashing_requests_are_both_stopped_and_no_request_beside_them():
    fleet = form()
    for number in range(2):
        repeat(fleet, f"{POISON}-{number}", True, 2.0)
    for number in range(4):
        repeat(fleet, f"beside-{number}", False, 8.0)
    fleet.run(20.0)
    for number in range(2):
        assert count_late_sends(fleet, f"{POISON}-{number}") <= ALLOWED_SENDS
    assert not list_refused_others(fleet, f"{POISON}-0", f"{POISON}-1")


@pytest.mark.parametrize("fault", ["restart", "freeze", "cut", "control"])
def test_a_crashing_request_stays_refused_while_instances_fail(fault):
    fleet = form()
    repeat(fleet, POISON, True, 4.0)
    fleet.run(6.0)
    faulty = fleet.control if fault == "control" else fleet.entries[:8]
    for name in faulty:
        if fault == "freeze":
            fleet.pause(name)
            fleet.schedule(4.0, "resume", name)
        elif fault == "cut":
            fleet.cut([name])
        else:
            fleet.restart(name)
    fleet.schedule(4.0, "heal")
    fleet.run(4.0 + REACTION_S)
    assert count_late_sends(fleet, excused=tuple(faulty)) <= ALLOWED_SENDS
    # The instances that failed are not excused any more.
    start = fleet.now
    fleet.run(8.0)
    assert sum(f == POISON and t >= start for t, _, f in fleet.sent) <= ALLOWED_SENDS


def test_an_instance_that_joins_later_refuses_a_request_that_it_has_never_seen():
    late = {f"e{n}": 24.0 for n in range(1, 9)}
    fleet = form(start_delays=late)
    repeat(fleet, POISON, True, 4.0)
    fleet.run_until(lambda: fleet.get_pool("e1") is not None)
    fleet.run(8.0)
    assert count_late_sends(fleet) <= ALLOWED_SENDS
    assert any(name == "e1" for _, name, _ in fleet.sent)


@pytest.fixture
def crashing_site(tmp_path):
    """Return a site whose five upstreams run in processes of their own."""
    with open_site(tmp_path) as site:
        site.apply("pools", [{"name": "p", "retry_budget_ratio": 1.0}])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        for name in ("a", "b", "c", "d", "e"):
            process = UpstreamProcess(tmp_path, name, 1, [])
            site.upstreams[name] = process
            for upstream_id, port in process.ports.items():
                site.announce(upstream_id, "p", port)
        yield site


@pytest.mark.parametrize("target", ["/crash", f"/document/{STREAMED_BYTES}"])
def test_a_crashing_request_is_refused_as_not_run_and_others_are_served(crashing_site, target):
    site = crashing_site
    for _ in range(MAX_CRASHES):
        site.send("GET", target, {"X-Fault": "crash"})
    # The reports reach the request threads through the node, while the next request may arrive.
    assert wait_until(lambda: site.instance.proxy.crash_view.list_refused())
    replies = [site.send("GET", target, {"X-Fault": "crash"}) for _ in range(2)]
    assert {r.status for r in replies} == {503}
    assert {json.loads(r.body)["kind"] for r in replies} == {"crashes_upstreams"}
    assert {r.outcome for r in replies} == {"not-run"}
    assert site.send("GET", "/other").status == 200
    assert site.send("GET", f"{target}?other=1").status == 200


def build_request(target: str, body: bytes | None = None, **headers: str) -> OutgoingRequest:
    file = io.BytesIO(body) if body is not None else None
    return OutgoingRequest("POST", target, headers, file, len(body or b""), "id")


def compute(request: OutgoingRequest) -> str:
    return compute_fingerprint(request, compute_head_digest(request))


def test_a_fingerprint_is_that_of_the_target_the_body_and_the_caller():
    one = compute(build_request("/a", b"x", Host="h", Authorization="alice"))
    again = build_request("/a", b"x", Host="h", Authorization="alice")
    again.headers["X-Request-Id"] = "other"
    again.headers["X-Forwarded-For"] = "10.0.0.9"
    assert compute(again) == one
    assert again.body.tell() == 0
    others = [
        build_request("/b", b"x", Host="h", Authorization="alice"),
        build_request("/a", b"y", Host="h", Authorization="alice"),
        build_request("/a", b"x", Host="i", Authorization="alice"),
        build_request("/a", b"x", Host="h", Authorization="bob"),
        build_request("/a", None, Host="h", Authorization="alice"),
    ]
    assert one not in {compute(request) for request in others}


def test_a_request_that_ran_beside_the_crashing_one_is_not_blamed():
    crashes = CrashList()
    for number in range(4):
        crashes.report(0.0, "culprit", f"u{number}.1")
    for number in range(3):
        crashes.report(0.0, "beside", f"u{number}.1")
    view = crashes.build_view()
    assert view.list_refused() == ["culprit"]
    assert view.get_starts("beside") == frozenset()


def test_an_answer_voids_the_earlier_reports_at_every_instance():
    one, two = CrashList(), CrashList()
    for number in range(3):
        one.report(0.0, "f", f"u{number}.1")
    late = [r.to_wire(0.0) for r in one.pop_updates()]
    one.clear(1.0, "f")
    for fields in [r.to_wire(1.0) for r in one.pop_updates()] + late:
        two.merge(1.0, CrashRecord.from_wire(1.0, fields))
    assert not one.build_view().list_refused()
    assert not two.build_view().list_refused()
    assert one.digest.hashes == two.digest.hashes


def test_reports_end_and_cannot_be_kept_alive_by_passing_them_on():
    one, two = CrashList(), CrashList()
    one.report(0.0, "f", "u.1")
    now = 0.0
    for _ in range(10):
        now += RECORD_TTL_S / 8
        for source, target in ((one, two), (two, one)):
            records = [r.to_wire(now) for r in source.list_in_buckets(set(range(64)))]
            for fields in records:
                target.merge(now, CrashRecord.from_wire(now, fields))
            source.expire(now)
    assert len(one) == len(two) == 0


REPORTS = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from(["u1.1", "u2.1", "u3.1", ""])),
    max_size=12,
)


@given(REPORTS, REPORTS)
def test_lists_that_exchange_their_records_become_equal(first, second):
    lists = CrashList(), CrashList()
    for crashes, reports in zip(lists, (first, second), strict=True):
        for fingerprint, start in reports:
            if start:
                crashes.report(0.0, fingerprint, start)
            else:
                crashes.clear(0.0, fingerprint)
    for source, target in (lists, lists[::-1]):
        for record in source.list_in_buckets(set(range(64))):
            target.merge(0.0, CrashRecord.from_wire(0.0, record.to_wire(0.0)))
    assert lists[0].digest.hashes == lists[1].digest.hashes


def test_the_list_is_bounded_and_keeps_the_requests_with_the_most_crashes():
    crashes = CrashList()
    for number in range(3):
        crashes.report(0.0, "culprit", f"u{number}.1")
    for number in range(MAX_RECORDS + 100):
        crashes.report(0.0, f"beside-{number}", "u0.1")
    assert len(crashes) == MAX_RECORDS
    assert crashes.build_view().list_refused() == ["culprit"]


def test_a_request_is_not_sent_a_fourth_time_by_the_instance_that_saw_three_crashes():
    guard = CrashGuard(build_request("/a"), lambda: CrashList().build_view(), None)
    for number in range(3):
        assert not guard.is_refused()
        guard.record_crash(f"u{number}", 1)
    assert guard.is_refused()


@pytest.mark.parametrize(
    "fields",
    [
        ["", 0, [], 1.0],
        ["f" * 65, 0, [], 1.0],
        ["f", -1, [], 1.0],
        ["f", 0, ["u"] * 65, 1.0],
        ["f", 0, ["u" * 301], 1.0],
        ["f", 0, [], -1.0],
        ["f", 0, [], float("nan")],
        ["f", 0, [1], 1.0],
        ["f", 0, []],
    ],
)
def test_a_record_with_values_out_of_range_is_refused(fields):
    fleet = form_fleet()
    node = fleet.hosts["e1"].node
    actions = node.receive(fleet.now, "c1", CrashNews(records=[fields]))
    (skipped,) = [a for a in actions if isinstance(a, RecordSkipped)]
    assert (skipped.subject, skipped.source) == ("crash", "c1")
    assert len(node.crashes) == 0


def test_each_start_of_an_upstream_counts():
    assert describe_start("u", 1) != describe_start("u", 2)


def test_an_upstream_that_ends_just_after_it_accepted_a_connection_has_crashed(monkeypatch):
    # Its connections end before its listener does, so a first check was accepted.
    monkeypatch.setattr(transport, "LISTENER_CLOSE_TIMEOUT_S", 10.0)
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()

    def end_after_first_connection() -> None:
        poll = select.poll()
        poll.register(listener, select.POLLIN)
        poll.poll()
        listener.close()

    thread = threading.Thread(target=end_after_first_connection)
    thread.start()
    assert refuses_connections(f"{host}:{port}", 10.0)
    thread.join()


def test_an_upstream_that_closes_each_connection_at_once_has_not_crashed():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        stopped = threading.Event()

        def close_connections() -> None:
            listener.settimeout(0.05)
            while not stopped.is_set():
                with contextlib.suppress(TimeoutError):
                    listener.accept()[0].close()

        thread = threading.Thread(target=close_connections)
        thread.start()
        assert not refuses_connections(f"{host}:{port}", 0.1)
        stopped.set()
        thread.join()
