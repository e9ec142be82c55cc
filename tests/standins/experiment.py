"""Experiments with policies, loads and faults on real processes, printed as tables.

Service times are twelve times those of the deployments, so that eight cores can run sixteen
instances. Each instance gets as many requests per service time as in the deployments.
"""

from __future__ import annotations

import argparse
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from foxtaildrum.balancing.candidates import RAMP_S

from .processes import InstanceProcess, UpstreamProcess, pick_port, wait_until

SERVICE_MS = 120.0
SLOW_FACTOR = 8.0
SLOW_MS = 720.0
SLOW_EVERY_MS = 20_000.0
SLOW_PERIODS = {
    "service_ms": SERVICE_MS,
    "slow_factor": SLOW_FACTOR,
    "slow_ms": SLOW_MS,
    "slow_every_ms": SLOW_EVERY_MS,
}
ZONES = ("zone-a", "zone-b", "zone-c")
# Upstreams and slots per upstream of each deployment.
SITES = {"cascadia": (13, 6), "mysqan": (11, 4)}
CHANGES_PER_S = 10.0
STALL_AFTER_S = 3.0
STALL_S = 2.0
DOCUMENT_BYTES = 100_000_000
WARM_UP_S = 2.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Fault:
    """A named fault, injected into the site under load."""

    def __init__(self, name: str, inject: Callable[[Site], None]) -> None:
        self.name = name
        self.inject = inject


class Site:
    """Instances that balance over the upstreams of one pool."""

    def __init__(
        self, instances: int, upstreams: int, slots: int, pool: dict[str, Any]
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="foxtaildrum-experiment-"))
        self.upstream_count = upstreams
        self.slots = slots
        addresses = [f"127.0.0.1:{pick_port()}" for _ in range(instances)]
        control = ",".join(f"i{n + 1}={addresses[n]}" for n in range(min(3, instances)))
        self.instances = [
            InstanceProcess(
                self.folder,
                f"i{n + 1}",
                role="all",
                availability_zone=ZONES[n % 3],
                access_log="false",
                **({"peer_listen": addresses[n], "control": control} if instances > 1 else {}),
            )
            for n in range(instances)
        ]
        for instance in self.instances:
            instance.wait_ready()
        self.apply("pools", [{"name": "lookup", "slots_per_upstream": slots, **pool}])
        routes = [
            {"name": "lookup", "path_prefix": "/", "pool": "lookup", "timeout_ms": 10_000}
        ]
        self.apply("routes", routes)
        self.upstreams = UpstreamProcess(
            self.folder,
            "lookup",
            upstreams,
            [i.admin_listen for i in self.instances],
            zones=",".join(ZONES),
            lease_s=15,
            behaviour={**SLOW_PERIODS, "slots": slots},
        )
        self.wait_for_upstreams(upstreams)
        time.sleep(RAMP_S)

    def apply(self, name: str, rows: list[dict[str, Any]]) -> None:
        client = self.instances[0].client
        _, version = client.get_table(name)
        client.put_table(name, rows, version, f"{name}-{version}")

    def set_pool(self, **pool: Any) -> None:
        """Replace the row of the pool and wait until every running instance has applied it."""
        self.apply("pools", [{"name": "lookup", "slots_per_upstream": self.slots, **pool}])
        _, version = self.instances[0].client.get_table("pools")
        assert wait_until(
            lambda: all(
                i.status().get("tables", {}).get("pools", {}).get("version") == version
                for i in self.instances
                if i.popen.poll() is None
            )
        )

    def wait_for_upstreams(self, count: int) -> None:
        """Wait until every instance knows ``count`` upstreams."""
        assert wait_until(
            lambda: all(
                sum(len(p["upstreams"]) for p in i.status().get("pools", [])) == count
                for i in self.instances
            )
        )

    def compute_capacity(self) -> float:
        """Return the requests per second at which every slot is busy."""
        slow_share = SLOW_MS / (SLOW_MS + SLOW_EVERY_MS)
        speed = 1 - slow_share * (1 - 1 / SLOW_FACTOR)
        return self.upstream_count * self.slots * speed / (SERVICE_MS / 1000)

    def run_load(self, load: float, duration_s: float, seed: int = 1, **options: Any) -> dict:
        """Run open-loop load at a fraction of capacity and return its results."""
        targets = ",".join(i.listen for i in self.instances)
        return send_load(
            targets, load * self.compute_capacity(), duration_s, seed=seed, **options
        )

    def count(self, name: str) -> int:
        """Return the sum of a counter over all instances."""
        return sum(i.status().get("counters", {}).get(name, 0) for i in self.instances)

    def read_cpu_s(self) -> float:
        """Return the CPU seconds that the running instances have used, in total."""
        total = 0.0
        for instance in self.instances:
            try:
                fields = Path(f"/proc/{instance.popen.pid}/stat").read_text().split()
            except OSError:
                continue
            total += (int(fields[13]) + int(fields[14])) / TICKS_PER_S
        return total

    def close(self) -> None:
        for process in [*self.instances, self.upstreams]:
            process.kill()


FAULTS: dict[str, Callable[[Site], None]] = {}


def register_fault(name: str):
    def register(function):
        FAULTS[name] = function
        return function

    return register


@register_fault("none")
def inject_nothing(site: Site) -> None:
    return None


@register_fault("one 10x slower")
def slow_one(site: Site) -> None:
    site.upstreams.set_behaviour("lookup-1", forced_factor=10.0)


@register_fault("one fails fast (500)")
def fail_one(site: Site) -> None:
    site.upstreams.set_behaviour("lookup-1", fail_status=500)


@register_fault("one sheds (503)")
def shed_one(site: Site) -> None:
    site.upstreams.set_behaviour("lookup-1", shed=True)


@register_fault("one reports no load")
def report_idle_at_one(site: Site) -> None:
    site.upstreams.set_behaviour("lookup-1", forced_load=0)


@register_fault("no load reports")
def disable_load_reports(site: Site) -> None:
    for upstream_id in site.upstreams.ports:
        site.upstreams.set_behaviour(upstream_id, report="none")


def clear_faults(site: Site) -> None:
    """Restore the normal behaviour of every upstream."""
    for upstream_id in site.upstreams.ports:
        site.upstreams.set_behaviour(
            upstream_id,
            forced_factor=1.0,
            fail_status=0,
            shed=False,
            forced_load=-1,
            report="json",
        )


def measure(site: Site, load: float, duration_s: float, fault: str = "none") -> dict[str, Any]:
    """Run load with one fault and return the results for a row of the table."""
    extra = site.count("attempts.extra")
    requests = site.count("requests")
    hedges = site.count("hedges")
    FAULTS[fault](site)
    try:
        seen = site.run_load(load, duration_s)
    finally:
        clear_faults(site)
    total = max(1, site.count("requests") - requests)
    failed = sum(n for status, n in seen["statuses"].items() if not status.startswith("2"))
    return {
        "p50": seen["p50"],
        "p99": seen["p99"],
        "p99.9": seen["p99.9"],
        "good": seen["good"],
        "failed": failed,
        "extra": (site.count("attempts.extra") - extra) / total,
        "hedges": (site.count("hedges") - hedges) / total,
    }


def print_row(cells: list[Any]) -> None:
    print("| " + " | ".join(str(c) for c in cells) + " |", flush=True)


def print_header(names: list[str]) -> None:
    print_row(names)
    print_row(["---"] * len(names))


def describe_cell(cell: dict[str, Any]) -> list[Any]:
    return [
        f"{cell['p50']:.0f}",
        f"{cell['p99']:.0f}",
        f"{cell['p99.9']:.0f}",
        cell["good"],
        cell["failed"],
        f"{cell['extra']:.2%}",
    ]


def compare_policies(arguments: argparse.Namespace) -> None:
    """Print latency and failures by policy, load and fault."""
    upstreams, slots = SITES[arguments.site]
    columns = [
        "load",
        "fault",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "good",
        "failed",
        "extra",
    ]
    print_header(columns)
    runs = [("", arguments.instances, arguments.policies.split(","))]
    if not arguments.without_exact:
        runs.insert(0, ("exact (one instance)", 1, ["least_in_flight"]))
    for label, instances, policies in runs:
        site = Site(instances, upstreams, slots, {"measuring_budget_ratio": 0.0})
        try:
            for load in arguments.loads:
                for policy in policies:
                    site.set_pool(policy=policy, measuring_budget_ratio=arguments.budget)
                    for fault in arguments.faults.split(",") if load == 0.7 else ["none"]:
                        cell = measure(site, load, arguments.duration_s, fault)
                        print_row([f"{load:.0%}", fault, label or policy, *describe_cell(cell)])
        finally:
            site.close()


def compare_hedging(arguments: argparse.Namespace) -> None:
    """Print latency by measuring budget and load."""
    upstreams, slots = SITES[arguments.site]
    print_header(["budget", "load", "p50 ms", "p99 ms", "p99.9 ms", "good", "failed", "extra"])
    site = Site(arguments.instances, upstreams, slots, {})
    try:
        for load in arguments.loads:
            for budget in (0.0, 0.01, 0.02, 0.05):
                site.set_pool(measuring_budget_ratio=budget)
                cell = measure(site, load, arguments.duration_s)
                print_row([f"{budget:.0%}", f"{load:.0%}", *describe_cell(cell)])
    finally:
        site.close()


def run_overload(arguments: argparse.Namespace) -> None:
    """Print goodput and refusals below and above capacity, and after the overload."""
    upstreams, slots = SITES[arguments.site]
    print_header(["load", "goodput of capacity", "p99 ms of good", "statuses"])
    site = Site(arguments.instances, upstreams, slots, {})
    try:
        for load in (0.85, 1.2, 2.0, 0.85):
            seen = site.run_load(load, arguments.duration_s, timeout_ms=1000)
            goodput = seen["good"] / arguments.duration_s / site.compute_capacity()
            print_row([f"{load:.0%}", f"{goodput:.1%}", f"{seen['p99']:.0f}", seen["statuses"]])
    finally:
        site.close()


def run_stall(arguments: argparse.Namespace) -> None:
    """Print responses per second while half of the upstreams stall for STALL_S."""
    upstreams, slots = SITES[arguments.site]
    site = Site(arguments.instances, upstreams, slots, {})
    seen: dict[str, Any] = {}
    thread = threading.Thread(
        target=lambda: seen.update(site.run_load(0.7, arguments.duration_s, timeout_ms=1000))
    )
    half = list(site.upstreams.ports)[: upstreams // 2]
    try:
        thread.start()
        time.sleep(WARM_UP_S + STALL_AFTER_S)
        for upstream_id in half:
            site.upstreams.set_behaviour(upstream_id, stalled=True)
        time.sleep(STALL_S)
        for upstream_id in half:
            site.upstreams.set_behaviour(upstream_id, stalled=False)
        thread.join()
        print(
            f"{len(half)} of {upstreams} upstreams stalled for {STALL_S:g} s; p99 {seen['p99']}"
        )
        print_header(["second", "good", "other"])
        for second, (good, other) in enumerate(seen["timeline"]):
            print_row([second, good, other])
        print(seen["statuses"])
    finally:
        site.close()


def run_changes(arguments: argparse.Namespace) -> None:
    """Print how long table changes take under load while two instances are killed."""
    site = Site(arguments.instances, 8, 6, {})
    seen: dict[str, Any] = {}
    thread = threading.Thread(
        target=lambda: seen.update(site.run_load(0.3, arguments.duration_s * 2))
    )
    try:
        print_resource_use(site, "idle", lambda: time.sleep(arguments.duration_s))
        print_resource_use(
            site, "10 changes/s", lambda: change_often(site, arguments.duration_s)
        )
        thread.start()
        acceptance_times_s, in_force_times_s = [], []
        deadline = time.monotonic() + arguments.duration_s * 2
        number = 0
        first_number = CHANGES_PER_S * arguments.duration_s
        while time.monotonic() < deadline:
            number += 1
            if number == 10:
                site.instances[0].kill()
            if number == 20:
                site.instances[-1].kill()
            alive = [i for i in site.instances if i.popen.poll() is None]
            durations_s = change_once(alive, int(first_number) + number)
            acceptance_times_s.append(durations_s[0])
            in_force_times_s.append(durations_s[1])
        thread.join()
        acceptance_times_s.sort()
        in_force_times_s.sort()
        print(f"changes accepted: {len(acceptance_times_s)}, instances killed: 2")
        for name, values in (
            ("accepted", acceptance_times_s),
            ("in force everywhere", in_force_times_s),
        ):
            median = values[len(values) // 2]
            print(f"{name}: median {median * 1000:.0f} ms, worst {values[-1] * 1000:.0f} ms")
        print(f"load meanwhile: {seen['statuses']}")
    finally:
        site.close()


def change_once(alive: list[InstanceProcess], number: int) -> tuple[float, float]:
    """Change the pools table and wait until every live instance has applied it.

    Returns
    -------
    tuple of float
        Seconds until the change was accepted, and until it was in force on every instance.
    """
    began = time.monotonic()
    change_id = f"change-{number}"
    client = alive[number % len(alive)].client
    rows, version = client.get_table("pools")
    rows = [row for row in rows if row["name"] == "lookup"] + [{"name": change_id}]
    while True:
        try:
            version = client.put_table("pools", rows, version, change_id)
            break
        except Exception:
            time.sleep(0.05)
    accepted_s = time.monotonic() - began
    wait_until(lambda: all(read_version(i) >= version for i in alive), 30.0)
    return accepted_s, time.monotonic() - began


def read_version(instance: InstanceProcess) -> int:
    return instance.status().get("tables", {}).get("pools", {}).get("version", -1)


def change_often(site: Site, duration_s: float) -> None:
    """Change the tables at most CHANGES_PER_S times a second."""
    for number in range(1, int(CHANGES_PER_S * duration_s) + 1):
        due = time.monotonic() + 1 / CHANGES_PER_S
        change_once(site.instances, number)
        time.sleep(max(0.0, due - time.monotonic()))


def print_resource_use(site: Site, label: str, act: Callable[[], None]) -> None:
    """Print the mean messages, CPU time and memory per instance while ``act`` runs."""
    names = ("peers.sent_messages", "peers.sent_bytes")
    before = {name: site.count(name) for name in names}
    cpu_s = site.read_cpu_s()
    began = time.monotonic()
    act()
    instance_seconds = len(site.instances) * (time.monotonic() - began)
    rates = {name: (site.count(name) - before[name]) / instance_seconds for name in names}
    cpu = (site.read_cpu_s() - cpu_s) / instance_seconds
    rss = [read_rss(i) for i in site.instances]
    print(
        f"{label}, each of {len(site.instances)} instances: "
        f"{rates['peers.sent_messages']:.1f} messages/s, "
        f"{rates['peers.sent_bytes']:.0f} bytes/s sent, {cpu:.2%} of a core, "
        f"{sum(rss) / len(rss) / 1024:.0f} MB"
    )


def read_rss(instance: InstanceProcess) -> int:
    """Return the resident memory of an instance in KiB."""
    for line in Path(f"/proc/{instance.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def measure_overhead(arguments: argparse.Namespace) -> None:
    """Print the latency, CPU time and memory that one instance adds to a request."""
    site = Site(1, 1, 64, {"measuring_budget_ratio": 0.0})
    site.upstreams.set_behaviour(
        "lookup-1", service_ms=0, fixed=True, slow_every_ms=0, slots=64
    )
    direct = f"127.0.0.1:{site.upstreams.ports['lookup-1']}"
    try:
        print_header(["path", "requests/s", "p50 ms", "p99 ms", "p99.9 ms", "CPU us/request"])
        for rate in (100, 200, 400):
            seen = send_load(direct, rate, arguments.duration_s)
            print_row(["direct", rate, seen["p50"], seen["p99"], seen["p99.9"], "-"])
            print_proxied(site, "through", rate, arguments.duration_s)
        for rate in (600, 800, 1000, 1200):
            print_proxied(site, "through", rate, arguments.duration_s)
        measure_document(site)
    finally:
        site.close()


def print_proxied(
    site: Site, label: str, rate: float, duration_s: float, **options: Any
) -> None:
    cpu_s = site.read_cpu_s()
    seen = send_load(site.instances[0].listen, rate, duration_s, **options)
    cpu_us_per_request = (
        (site.read_cpu_s() - cpu_s) / max(1, rate * (duration_s + WARM_UP_S)) * 1e6
    )
    print_row(
        [label, rate, seen["p50"], seen["p99"], seen["p99.9"], f"{cpu_us_per_request:.0f}"]
    )


def send_load(targets: str, rate: float, duration_s: float, **options: Any) -> dict[str, Any]:
    """Run the load generator as a process and return its results."""
    flags = {
        "targets": targets,
        "rate": rate,
        "duration_s": duration_s,
        "warm_up_s": WARM_UP_S,
        **options,
    }
    arguments = [
        f"--{n.replace('_', '-')}" + ("" if v is True else f"={v}") for n, v in flags.items()
    ]
    process = subprocess.run(
        [sys.executable, "-m", "tests.standins.load", *arguments],
        capture_output=True,
        text=True,
        check=True,
        timeout=duration_s + 60,
    )
    return json.loads(process.stdout)


def measure_orders(arguments: argparse.Namespace) -> None:
    """Print the latency of orders with and without idempotency keys, on three instances."""
    site = Site(3, 3, 64, {"measuring_budget_ratio": 0.0})
    for upstream_id in site.upstreams.ports:
        site.upstreams.set_behaviour(upstream_id, service_ms=1, fixed=True, slow_every_ms=0)
    targets = ",".join(i.listen for i in site.instances)
    try:
        print_header(["variant", "orders/s", "p50 ms", "p99 ms", "statuses"])
        for rate in (50, 200, 400):
            for label, options in (("without key", {}), ("with key", {"keyed": True})):
                seen = send_load(targets, rate, arguments.duration_s, method="POST", **options)
                print_row([label, rate, seen["p50"], seen["p99"], seen["statuses"]])
    finally:
        site.close()


def measure_document(site: Site) -> None:
    """Print the memory of the instance while a caller slowly reads a large document."""
    host, port = site.instances[0].listen.split(":")
    before = read_rss(site.instances[0])
    peak = before
    with socket.create_connection((host, int(port)), 30) as sock:
        sock.sendall(f"GET /document/{DOCUMENT_BYTES} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        left = DOCUMENT_BYTES
        while left > 0 and (data := sock.recv(262_144)):
            left -= len(data)
            peak = max(peak, read_rss(site.instances[0]))
    print(
        f"\na document of {DOCUMENT_BYTES / 1e6:.0f} MB: {before / 1024:.1f} MB resident "
        f"before, {peak / 1024:.1f} MB at the peak"
    )


EXPERIMENTS = {
    "path": measure_overhead,
    "orders": measure_orders,
    "policies": compare_policies,
    "hedging": compare_hedging,
    "overload": run_overload,
    "changes": run_changes,
    "stall": run_stall,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiment", choices=sorted(EXPERIMENTS))
    parser.add_argument("--site", choices=sorted(SITES), default="cascadia")
    parser.add_argument("--instances", type=int, default=16)
    parser.add_argument("--duration-s", type=float, default=10.0)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.5, 0.7, 0.85])
    parser.add_argument(
        "--policies", default="random,round_robin,two_choices,reported_load,aged_load"
    )
    parser.add_argument("--faults", default="none")
    parser.add_argument("--without-exact", action="store_true")
    parser.add_argument("--budget", type=float, default=0.0)
    arguments = parser.parse_args()
    EXPERIMENTS[arguments.experiment](arguments)


if __name__ == "__main__":
    main()
