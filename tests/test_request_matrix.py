"""Runs the fault matrix of matrix_request.toml against an instance over real sockets."""

from __future__ import annotations

import uuid

import pytest

from .sites import MAX_BODY_BYTES, Reply, Site, load_cases, open_site
from .standins.processes import wait_until

CASES = load_cases()
SLOW_FAULTS = {"slow=3000", "silent", "all-busy-past-deadline"}
# Faults that every upstream shows; the value is sent as the stand-in's X-Fault header.
FAULTS_OF_EVERY_UPSTREAM = {"shed-everywhere": "shed"}

BUSY_SERVICE_MS = 300
# Shorter than twice the service time, so that the request is refused when it arrives.
BUSY_TIMEOUT_MS = 500


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with open_site(tmp_path_factory.mktemp("matrix")) as site:
        rows = [
            {"name": name, "retry_budget_ratio": 1.0, "measuring_budget_ratio": 0.0}
            for name in ("pair", "good", "dead", "half-dead", "empty", "drained", "busy")
        ]
        site.apply("pools", rows)
        routes = [
            {
                "name": row["name"],
                "path_prefix": f"/{row['name']}",
                "pool": row["name"],
                "timeout_ms": 700,
                "methods": ["GET", "POST"],
            }
            for row in rows
        ]
        site.apply("routes", routes)
        site.add_upstreams("pair", 2, service_ms=1, fixed=True)
        site.add_upstreams("good", 1, service_ms=1, fixed=True)
        site.add_upstreams("half-dead", 1, service_ms=1, fixed=True)
        site.announce_unreachable("half-dead-2", "half-dead")
        site.announce_unreachable("dead-1", "dead")
        site.add_upstreams("drained", 1)
        site.announce("drained-1", "drained", 1, state="draining", incarnation=2)
        site.add_upstreams("busy", 1, service_ms=2000, fixed=True)
        site.announce(
            "busy-1", "busy", site.upstreams["busy"].ports["busy-1"], slots=1, incarnation=2
        )
        # Teaches the instance how long the pool takes.
        busy = site.upstreams["busy"]
        busy.set_behaviour("busy-1", service_ms=BUSY_SERVICE_MS)
        site.send("POST", "/busy/first")
        busy.set_behaviour("busy-1", service_ms=2000)
        yield site


class CaseRun:
    """Runs one case of the matrix with an idempotent or a non-idempotent request."""

    def __init__(self, site: Site, fault: str, idempotent: bool) -> None:
        self.site = site
        self.fault = fault
        self.method = "GET" if idempotent else "POST"
        self.key = uuid.uuid4().hex
        self.headers = {"X-Request-Id": self.key}
        self.body = None if idempotent else b"{}"

    def run(self, pool: str = "pair", **headers: str):
        return self.site.send(self.method, f"/{pool}/x", {**self.headers, **headers}, self.body)

    def count_runs(self) -> int:
        processes = self.site.upstreams.values()
        return sum(process.count_runs().get(self.key, 0) for process in processes)


def run_with_one_faulty_upstream(case_run: CaseRun, fault: str):
    """Let the first upstream that is tried show the fault, and the other respond normally.

    A stand-in would show a plain ``X-Fault`` on every attempt. With the prefix ``first:``
    it shows the fault only on the first attempt, which it recognizes by the attempt header.
    """
    return case_run.run(**{"X-Fault": f"first:{fault}"})


def run_case(case_run: CaseRun):
    fault = case_run.fault
    runner = RUNNER_BY_FAULT.get(fault)
    if runner is not None:
        return runner(case_run)
    if fault in FAULTS_OF_EVERY_UPSTREAM:
        return case_run.run(**{"X-Fault": FAULTS_OF_EVERY_UPSTREAM[fault]})
    return run_with_one_faulty_upstream(case_run, fault)


def run_wrong_method(case_run: CaseRun):
    return case_run.site.send("PATCH", "/pair/x", case_run.headers)


def run_header_too_large(case_run: CaseRun):
    return case_run.run(**{"X-Large": "h" * 40_000})


def run_body_too_large(case_run: CaseRun):
    case_run.body = b"b" * (MAX_BODY_BYTES + 1)
    return case_run.run()


def run_all_busy(case_run: CaseRun):
    busy = case_run.site.upstreams["busy"]
    blocker = {"X-Request-Id": uuid.uuid4().hex}
    case_run.site.send_and_disconnect(
        "POST", "/busy/blocker", blocker, lambda: busy.describe("busy-1")["busy"] > 0
    )
    return case_run.run("busy", **{"X-Request-Timeout-Ms": str(BUSY_TIMEOUT_MS)})


def run_after_quiet_close(case_run: CaseRun):
    site = case_run.site
    site.send("GET", "/good/x", {"X-Fault": "close-quietly"})
    assert wait_until(lambda: site.upstreams["good"].describe("good-1")["closed_quietly"] > 0)
    return case_run.run("good")


def run_and_leave(case_run: CaseRun):
    case_run.site.send_and_disconnect(
        case_run.method,
        "/pair/x",
        {**case_run.headers, "X-Fault": "slow=400"},
        lambda: case_run.count_runs() == 1,
    )
    return Reply(0, {}, b"")


RUNNER_BY_FAULT = {
    "no-route": lambda case_run: case_run.run("nowhere"),
    "wrong-method": run_wrong_method,
    "bad-timeout-header": lambda case_run: case_run.run(**{"X-Request-Timeout-Ms": "soon"}),
    "header-too-large": run_header_too_large,
    "body-too-large": run_body_too_large,
    "no-upstream": lambda case_run: case_run.run("empty"),
    "all-draining": lambda case_run: case_run.run("drained"),
    "all-busy-past-deadline": run_all_busy,
    "refused": lambda case_run: case_run.run("half-dead"),
    "refused-everywhere": lambda case_run: case_run.run("dead"),
    "idle-connection-closed-quietly": run_after_quiet_close,
    "caller-leaves": run_and_leave,
}


@pytest.mark.parametrize("idempotent", [False, True], ids=["once", "repeatable"])
@pytest.mark.parametrize("case", CASES, ids=[f"{c['step']}-{c['fault']}" for c in CASES])
def test_fault_case(site, case, idempotent):
    case_run = CaseRun(site, case["fault"], idempotent)
    reply = run_case(case_run)
    suffix = "_repeat" if idempotent else ""
    actual = (reply.status, reply.outcome, case_run.count_runs())
    expected = tuple(case[name + suffix] for name in ("status", "outcome", "runs"))
    assert actual == expected
