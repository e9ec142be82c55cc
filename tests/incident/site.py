"""The instances of a site: processes on loopback addresses, in the platform's dialect."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import sysconfig
import time
import tomllib
from pathlib import Path

from .wire import call

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
ZONES = ["zone-a", "zone-b", "zone-c"]
HEARTBEAT_S = 1.5
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0
CONFIG_APPLY_S = 2.0
READY_TIMEOUT_S = 40.0
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


class Instance:
    """One process of the system, and what was done to it.

    Attributes
    ----------
    touched : list of float
        Moments at which something was done to the process.
    is_running : bool
        Whether it runs and isn't frozen.
    """

    def __init__(self, name: str, number: int, ip: str) -> None:
        self.name = name
        self.number = number
        self.ip = ip
        self.role = "control" if name[0] == "c" else "entry"
        self.process: subprocess.Popen | None = None
        self.touched: list[float] = []
        self.is_running = False
        self.bootstrap = False


class Site:
    """Control and entry instances; entry instances have no disk.

    Parameters
    ----------
    is_built : bool
        Whether to run ``target/deps`` with ``python3``, as the platform does, or the sources.
    """

    def __init__(
        self, folder: Path, control: int = 5, entries: int = 6, is_built: bool = False
    ) -> None:
        self.folder = folder
        self.is_built = is_built
        self.base = random.randrange(64, 250)
        self.instances = {
            f"c{n + 1}": Instance(f"c{n + 1}", n, self.ip(n + 1, 1)) for n in range(control)
        } | {f"e{n + 1}": Instance(f"e{n + 1}", n, self.ip(n + 1, 2)) for n in range(entries)}
        self.control = [i for i in self.instances.values() if i.role == "control"]
        self.entries = [i for i in self.instances.values() if i.role == "entry"]
        ips = [i.ip for i in self.instances.values()]
        self.front_port, self.ready_port, self.control_port, self.peer_port = find_ports(ips)
        # Sites that run side by side may have the same addresses.
        self.upstream_port = random.randrange(15_000, 21_000)
        self.events: list[tuple[float, str]] = []
        # The control instance that acknowledged the latest leave.
        self.acknowledger = ""
        self.tasks: list[asyncio.Task] = []
        # Control instances that the settings of all instances name as seeds.
        self.seeds = self.control[:3]

    def ip(self, third: int, fourth: int) -> str:
        return f"127.{self.base}.{third}.{fourth}"

    def note(self, text: str) -> None:
        self.events.append((time.time(), text))

    # Processes.

    def start(self, instance: Instance, bootstrap: bool = False) -> None:
        if instance.is_running:
            return
        folder = self.folder / instance.name
        folder.mkdir(exist_ok=True)
        instance.bootstrap = bootstrap
        settings = self._write_settings(instance)
        command = DEPLOY["roles"][instance.role]["run"].split()
        libraries = "target/deps"
        if not self.is_built:
            command[0] = sys.executable
            libraries = f"src{os.pathsep}{sysconfig.get_path('purelib')}"
        environ = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": libraries,
            "FOXTAILDRUM_CONFIG": str(settings),
        }
        with (folder / "log").open("ab") as log:
            instance.process = subprocess.Popen(
                command, cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self._touch(instance, "start", is_running=True)

    def kill(self, instances: list[Instance]) -> None:
        """Send SIGKILL to all of them at the same moment."""
        for instance in instances:
            instance.process.kill()
        for instance in instances:
            instance.process.wait()
            self._touch(instance, "killed", is_running=False)

    def wipe(self, instance: Instance) -> None:
        """Remove the data of an instance that doesn't run."""
        shutil.rmtree(self.folder / instance.name / "data", ignore_errors=True)
        self._touch(instance, "lost its disk", is_running=False)

    def replace_seeds(self, seeds: list[Instance], tells: bool) -> None:
        """Name other seeds in the settings of all instances; tell the running ones by SIGHUP.

        Parameters
        ----------
        tells : bool
            Whether the signal is sent.
        """
        self.seeds = seeds
        self.note(f"seeds {[i.name for i in seeds]}{' by SIGHUP' if tells else ''}")
        for instance in self.instances.values():
            self._write_settings(instance)
            if tells and instance.is_running:
                instance.process.send_signal(signal.SIGHUP)

    def terminate(self, instance: Instance) -> None:
        instance.process.terminate()
        self._touch(instance, "SIGTERM", is_running=True)

    def freeze(self, instance: Instance) -> None:
        instance.process.send_signal(signal.SIGSTOP)
        self._touch(instance, "frozen", is_running=False)

    def thaw(self, instance: Instance) -> None:
        instance.process.send_signal(signal.SIGCONT)
        self._touch(instance, "thawed", is_running=True)

    def _touch(self, instance: Instance, what: str, is_running: bool) -> None:
        instance.touched.append(time.time())
        instance.is_running = is_running
        self.note(f"{instance.name} {what}")

    def find_ended(self) -> list[str]:
        """Return the instances that should run, but ended by themselves."""
        return [
            i.name
            for i in self.instances.values()
            if i.is_running and i.process.poll() is not None
        ]

    # Being in touch.

    def is_in_touch(self, name: str, begin: float, end: float) -> bool:
        """Return whether nothing was done to the instance or to the core for so long."""
        instances = [*self.control, self.instances[name]]
        return not any(
            begin - STABLE_WINDOW_S <= moment <= end for i in instances for moment in i.touched
        )

    def calm_s(self, name: str, moment: float) -> float:
        """Return how long before ``moment`` the instance or the core was last touched."""
        instances = [*self.control, self.instances[name]]
        return moment - max(t for i in instances for t in i.touched if t <= moment)

    def list_core_touches(self, begin: float, end: float) -> list[float]:
        """Return when something was done to control instances, once for each tenth."""
        moments = {round(t, 1): t for i in self.control for t in i.touched if begin <= t <= end}
        return sorted(moments.values())

    # Addresses.

    def front(self, instance: Instance) -> tuple[str, int]:
        return instance.ip, self.front_port

    def admin(self, instance: Instance) -> tuple[str, int]:
        is_control = instance.role == "control"
        return instance.ip, self.control_port if is_control else self.ready_port

    async def is_ready(self, instance: Instance) -> bool:
        try:
            return (await call(self.admin(instance), "GET", "/readyz"))[0] == 200
        except OSError:
            return False

    def grep(self, word: str, limit: int = 12) -> list[str]:
        """Return the last lines of logs that hold ``word``; of an upstream, only its news."""
        lines = []
        for name in self.instances:
            path = self.folder / name / "log"
            text = path.read_text("utf-8", "replace") if path.exists() else ""
            found = [line for line in text.splitlines() if word in line]
            if word.startswith("i-"):
                found = [line for line in found if "request_id=" not in line]
            lines += [f"{name}: {line}" for line in found[-limit:]]
        return lines

    def close(self) -> None:
        for instance in self.instances.values():
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()

    def keep(self, folder: Path) -> None:
        """Copy the logs and the events to ``folder``."""
        for name in self.instances:
            with contextlib.suppress(OSError):
                target = folder / name
                target.mkdir(parents=True, exist_ok=True)
                shutil.copy(self.folder / name / "log", target / "log")
        lines = [f"{format_time(moment)} {text}" for moment, text in sorted(self.events)]
        (folder / "events.txt").write_text("\n".join(lines) + "\n")

    def _write_settings(self, instance: Instance) -> Path:
        path = self.folder / instance.name / "node.json"
        written = path.with_suffix(".new")
        written.write_text(json.dumps(self._build_settings(instance)))
        written.replace(path)
        return path

    def _build_settings(self, instance: Instance) -> dict:
        host, port = self.admin(instance)
        listen = {"control": f"{host}:{port}"}
        if instance.role == "entry":
            listen = {"front": f"{host}:{self.front_port}", "ready": f"{host}:{port}"}
        data_dir = self.folder / instance.name / "data"
        return {
            "node": instance.name,
            "role": instance.role,
            "machine_class": "core" if instance.role == "control" else "edge",
            "serves": ["control" if instance.role == "control" else "edge"],
            "ip": instance.ip,
            "availability_zone": ZONES[instance.number % len(ZONES)],
            "region": "region",
            "zones": dict.fromkeys(ZONES, "region"),
            "listen": listen,
            "internal_ports": [self.peer_port, self.peer_port + 15],
            "seeds": [f"{i.ip}:{self.control_port}" for i in self.seeds],
            "bootstrap": instance.bootstrap,
            "counts_as_loss": instance.role == "control",
            "limits": {"cpu_share": 0.86, "cpus": 1, "memory_mb": 300, "max_fds": 4100},
            "data_dir": str(data_dir) if instance.role == "control" else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": 1000 * HEARTBEAT_S,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
        }


def format_time(moment: float) -> str:
    """Return a moment as the logs of the instances give it."""
    text = time.strftime("%H:%M:%S", time.gmtime(moment))
    return f"{text}.{int(moment % 1 * 1000):03d}"


def find_ports(ips: list[str]) -> list[int]:
    """Return four ports, 16 apart, that are free on every address, as are the 3 after them."""
    found: list[int] = []
    port = 21_000 + random.randrange(400) * 16
    while len(found) < 4:
        if all(_is_free(ip, port + n) for ip in ips for n in range(4)):
            found.append(port)
        port += 16
    return found


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True
