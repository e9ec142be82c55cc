"""A small site of real processes: five control and three entry instances on loopback addresses.

The processes are started with the commands of ``deploy/system.toml``, from the root of the
repository, with the settings file that the platform's pages describe.
"""

from __future__ import annotations

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
ZONES = ["zone-a", "zone-b", "zone-c"]
CONTROL_COUNT = 5
ENTRY_COUNT = 3
HEARTBEAT_MS = 1500
READY_TIMEOUT_S = 20.0
# Exit statuses of a case; Python itself exits with 1 after an error.
HELD = 0
NOT_RUN = 2
BROKEN = 10

# As ``fleetbench wire`` prints them for the small site.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_s": 3000,
    "ack_s": 4000,
    "catch_up_s": 4,
    "drain_s": 2000,
    "grace_s": 6,
    "loss_slack_s": 200,
    "config_apply_s": 2000,
    "downgrade_s": 250,
    "skew_max_s": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 60,
    "recover_s": 15,
    "probes_per_s": 60,
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self._start:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


class Instance:
    """One process of the system."""

    def __init__(self, role: str, number: int, ip: str) -> None:
        self.role = role
        self.number = number
        self.ip = ip
        self.process: subprocess.Popen | None = None


class Site:
    """The processes of the system.

    Parameters
    ----------
    record : Record
        Receives the starts and ends of processes.
    base : int
        Second number of the loopback addresses of the instances.
    """

    def __init__(self, record: Record, base: int = 41) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="foxtaildrum-review-"))
        self.control = [
            Instance("control", n, f"127.{base}.{n + 1}.1") for n in range(CONTROL_COUNT)
        ]
        self.entries = [
            Instance("entry", n, f"127.{base}.{n + 1}.2") for n in range(ENTRY_COUNT)
        ]
        self.instances = [*self.control, *self.entries]
        ports = _find_free_ports([i.ip for i in self.instances], 6)
        self.front_port, self.ready_port, self.control_port, self.peer_port = ports[:4]

    def start_all(self, bootstrap: bool) -> None:
        for instance in self.instances:
            self.start(instance, bootstrap)

    def start(self, instance: Instance, bootstrap: bool = False) -> None:
        name = f"{instance.role}-{instance.number + 1}"
        data_dir = self.folder / name / "data"
        is_control = instance.role == "control"
        zone = ZONES[instance.number % len(ZONES)]
        config = {
            "node": name,
            "role": instance.role,
            "machine_class": "core" if is_control else "edge",
            "serves": ["control"] if is_control else ["edge"],
            "ip": instance.ip,
            "availability_zone": zone,
            "region": "region",
            "zones": dict.fromkeys(ZONES, "region"),
            "listen": (
                {"control": f"{instance.ip}:{self.control_port}"}
                if is_control
                else {
                    "front": f"{instance.ip}:{self.front_port}",
                    "ready": f"{instance.ip}:{self.ready_port}",
                }
            ),
            "internal_ports": [self.peer_port, self.peer_port + 15],
            "seeds": [f"{i.ip}:{self.control_port}" for i in self.control[:3]],
            "bootstrap": bootstrap,
            "counts_as_loss": is_control,
            "limits": {"cpu_share": 0.86, "cpus": 1, "memory_mb": 300, "max_fds": 4100},
            "data_dir": str(data_dir) if is_control else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
        }
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        settings = folder / "node.json"
        settings.write_text(json.dumps(config))
        command = DEPLOY["roles"][instance.role]["run"].split()
        environ = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "FOXTAILDRUM_CONFIG": str(settings),
        }
        log = (folder / "log").open("ab")
        instance.process = subprocess.Popen(
            command, cwd=ROOT, env=environ, stdout=log, stderr=log
        )
        log.close()

    def read_log(self, instance: Instance) -> str:
        path = self.folder / f"{instance.role}-{instance.number + 1}" / "log"
        return path.read_text("utf-8", "replace")

    def kill(self, instances: list[Instance]) -> None:
        """Send SIGKILL to all of them at the same moment, and wait for their ends."""
        for instance in instances:
            instance.process.send_signal(signal.SIGKILL)
        for instance in instances:
            instance.process.wait()

    def is_ready(self, instance: Instance) -> bool:
        port = self.control_port if instance.role == "control" else self.ready_port
        try:
            return call(f"{instance.ip}:{port}", "GET", "/readyz", timeout_s=1.0)[0] == 200
        except OSError:
            return False

    def wait_ready(self, instances: list[Instance], timeout_s: float = READY_TIMEOUT_S) -> bool:
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(self.is_ready(i) for i in instances):
                return True
            time.sleep(0.1)
        return False

    def control_addresses(self) -> list[str]:
        return [f"{i.ip}:{self.control_port}" for i in self.control]

    def front(self, number: int) -> str:
        return f"{self.entries[number].ip}:{self.front_port}"

    def close(self) -> None:
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def call(
    address: str,
    method: str,
    path: str,
    document: object = None,
    timeout_s: float = 1.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send one request on a connection of its own; return status and body.

    Raises
    ------
    OSError
        When there is no complete response in time.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    body = None if document is None else json.dumps(document).encode()
    sent_headers = {"Content-Type": "application/json"} if body else {}
    try:
        connection.request(method, path, body, sent_headers | (headers or {}))
        response = connection.getresponse()
        return response.status, response.read()
    except http.client.HTTPException as error:
        raise OSError(repr(error)) from error
    finally:
        connection.close()


class Operator:
    """Sends desired states as the pages say: to one node after the other, until it is acked."""

    def __init__(self, site: Site, timeout_s: float = 1.0) -> None:
        self._site = site
        self._timeout_s = timeout_s
        self._next = 0

    def put(self, document: dict, give_up_s: float = 10.0) -> bool:
        """Return whether the desired state was acknowledged."""
        deadline = time.monotonic() + give_up_s
        pause_s = 0.05
        while time.monotonic() < deadline:
            status = 0
            try:
                status, body = call(
                    self._pick(), "PUT", "/v1/tables", document, self._timeout_s
                )
            except OSError as error:
                body = repr(error).encode()
            if status == 200:
                return True
            if status in (400, 409, 412, 413, 422):
                raise CaseError(f"a desired state was refused: {status} {body[:300]!r}")
            self._next += 1
            time.sleep(pause_s)
            pause_s = min(1.0, 2 * pause_s)
        return False

    def get(self, give_up_s: float = 10.0) -> dict | None:
        """Return the desired state in force; None if no node told it in time."""
        deadline = time.monotonic() + give_up_s
        while time.monotonic() < deadline:
            try:
                status, body = call(self._pick(), "GET", "/v1/tables", None, self._timeout_s)
                if status == 200:
                    return json.loads(body)
            except OSError:
                pass
            self._next += 1
            time.sleep(0.2)
        return None

    def _pick(self) -> str:
        addresses = self._site.control_addresses()
        return addresses[self._next % len(addresses)]


def _find_free_ports(addresses: list[str], count: int) -> list[int]:
    """Return ports, 16 apart, that are free on every address, as are the 3 after them."""
    found: list[int] = []
    port = 21000 + (os.getpid() * 37) % 8000
    while len(found) < count:
        if all(_is_free(a, port + n) for a in addresses for n in range(4)):
            found.append(port)
        port += 16
        if port > 32000:
            port = 21000
    return found


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((address, port))
        except OSError:
            return False
    return True


def run_case(main, folder: Path, base: int) -> None:
    """Run ``main(site, record, trouble)``, which returns whether the rule was broken, and exit.

    ``run.sh`` translates the exit status, so that an error of the script is no broken rule.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.write(f"trouble={int(trouble)}")
    site = Site(record, base)
    status = NOT_RUN
    try:
        status = BROKEN if main(site, record, trouble) else HELD
    except (CaseError, OSError) as error:
        record.write(f"the case could not run: {error!r}")
    finally:
        site.close()
    record.write({HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[status])
    sys.exit(status)
