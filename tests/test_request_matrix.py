"""Runs the fault matrix of one request against a real instance and real sockets."""

from __future__ import annotations

import uuid

import pytest

from .sites import MAX_BODY_BYTES, Reply, Site, load_cases, open_site
from .standins.processes import wait_until

CASES = load_cases()
SLOW_FAULTS = {"slow=3000", "silent", "all-busy-past-deadline"}
# Faults that every upstream shows, named by the stand-in's header.
PLAIN = {"shed-everywhere": "shed"}


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
        yield site


class Trial:
    """One case of the matrix with one kind of request."""

    def __init__(self, site: Site, fault: str, repeat: bool) -> None:
        self.site = site
        self.fault = fault
        self.method = "GET" if repeat else "POST"
        self.key = uuid.uuid4().hex
        self.headers = {"X-Request-Id": self.key}
        self.body = None if repeat else b"{}"

    def run(self, pool: str = "pair", **headers: str):
        return self.site.send(self.method, f"/{pool}/x", {**self.headers, **headers}, self.body)

    def count_runs(self) -> int:
        processes = self.site.upstreams.values()
        return sum(process.count_runs().get(self.key, 0) for process in processes)


def run_once_faulty(trial: Trial, fault: str):
    """Let one of two upstreams show the fault, and the other answer well.

    The stand-in shows ``X-Fault`` on every attempt, so the fault is armed at the first
    upstream that is reached and disarmed by the instance's second attempt, which names
    itself.
    """
    return trial.run(**{"X-Fault": f"first:{fault}"})


def run_case(trial: Trial):
    fault = trial.fault
    special = SPECIAL.get(fault)
    if special is not None:
        return special(trial)
    if fault in PLAIN:
        return trial.run(**{"X-Fault": PLAIN[fault]})
    return run_once_faulty(trial, fault)


def run_wrong_method(trial: Trial):
    return trial.site.send("PATCH", "/pair/x", trial.headers)


def run_header_too_large(trial: Trial):
    return trial.run(**{"X-Large": "h" * 40_000})


def run_body_too_large(trial: Trial):
    trial.body = b"b" * (MAX_BODY_BYTES + 1)
    return trial.run()


def run_all_busy(trial: Trial):
    busy = trial.site.upstreams["busy"]
    blocker = {"X-Request-Id": uuid.uuid4().hex}
    trial.site.send_and_disconnect(
        "POST", "/busy/blocker", blocker, lambda: busy.describe("busy-1")["busy"] > 0
    )
    return trial.run("busy", **{"X-Request-Timeout-Ms": "5"})


def run_after_quiet_close(trial: Trial):
    site = trial.site
    site.send("GET", "/good/x", {"X-Fault": "close-quietly"})
    assert wait_until(lambda: site.upstreams["good"].describe("good-1")["closed_quietly"] > 0)
    return trial.run("good")


def run_and_leave(trial: Trial):
    trial.site.send_and_disconnect(
        trial.method,
        "/pair/x",
        {**trial.headers, "X-Fault": "slow=400"},
        lambda: trial.count_runs() == 1,
    )
    return Reply(0, {}, b"")


SPECIAL = {
    "no-route": lambda trial: trial.run("nowhere"),
    "wrong-method": run_wrong_method,
    "bad-timeout-header": lambda trial: trial.run(**{"X-Request-Timeout-Ms": "soon"}),
    "header-too-large": run_header_too_large,
    "body-too-large": run_body_too_large,
    "no-upstream": lambda trial: trial.run("empty"),
    "all-draining": lambda trial: trial.run("drained"),
    "all-busy-past-deadline": run_all_busy,
    "refused": lambda trial: trial.run("half-dead"),
    "refused-everywhere": lambda trial: trial.run("dead"),
    "idle-connection-closed-quietly": run_after_quiet_close,
    "caller-leaves": run_and_leave,
}


@pytest.mark.parametrize("repeat", [False, True], ids=["once", "repeatable"])
@pytest.mark.parametrize("case", CASES, ids=[f"{c['step']}-{c['fault']}" for c in CASES])
def test_case(site, case, repeat):
    trial = Trial(site, case["fault"], repeat)
    reply = run_case(trial)
    suffix = "_repeat" if repeat else ""
    seen = (reply.status, reply.outcome, trial.count_runs())
    expected = tuple(case[name + suffix] for name in ("status", "outcome", "runs"))
    assert seen == expected
