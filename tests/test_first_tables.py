"""Entry instances, as processes, from their start until the first tables are in force."""

from __future__ import annotations

import json
import threading
from collections import Counter

import pytest
import urllib3

from foxtaildrum.exceptions import AdminRequestError

from .standins.processes import InstanceProcess, pick_port, wait_until

HTTP = urllib3.PoolManager(retries=False, timeout=10)
ASK_PERIOD_S = 0.01
DESIRED = {
    "version": 1,
    "pools": [{"name": "p"}],
    "routes": [{"name": "r", "pool": "p"}],
}


class StartingFleet:
    """Three control and three entry instances, and a caller at each entry instance."""

    def __init__(self, folder) -> None:
        self.folder = folder
        names = ("c1", "c2", "c3", "e1", "e2", "e3")
        self.peers = {name: f"127.0.0.1:{pick_port()}" for name in names}
        self.instances = {name: self.start(name) for name in names}
        self.entries = [self.instances[n] for n in names if n[0] == "e"]
        self.kinds: list[str] = []
        self._stopped = threading.Event()
        self.callers = [threading.Thread(target=self.ask, args=(e,)) for e in self.entries]

    def start(self, name: str) -> InstanceProcess:
        return InstanceProcess(
            self.folder,
            name,
            role="control" if name[0] == "c" else "entry",
            peer_listen=self.peers[name],
            seeds=",".join(f"{n}={self.peers[n]}" for n in ("c1", "c2", "c3")),
            bootstrap="true",
            shutdown_grace_s="5",
        )

    def ask(self, entry: InstanceProcess) -> None:
        while not self._stopped.wait(ASK_PERIOD_S):
            try:
                response = HTTP.request("GET", f"http://{entry.listen}/x")
            except urllib3.exceptions.HTTPError:
                continue
            self.kinds.append(json.loads(response.data)["kind"])

    def put_tables(self) -> bool:
        try:
            self.instances["c1"].client.put_tables(DESIRED)
        except AdminRequestError as error:
            assert error.status == 503
            return False
        return True

    def know_tables(self) -> bool:
        return all(
            e.status().get("tables", {}).get("routes", {}).get("version") == 1
            for e in self.entries
        )

    def close(self) -> None:
        self._stopped.set()
        for caller in self.callers:
            if caller.is_alive():
                caller.join()
        for instance in self.instances.values():
            instance.kill()


@pytest.fixture
def fleet(tmp_path):
    fleet = StartingFleet(tmp_path)
    yield fleet
    fleet.close()


def test_entry_instances_refuse_a_route_before_they_know_the_first_tables(fleet):
    for instance in fleet.instances.values():
        instance.wait_ready()
    for caller in fleet.callers:
        caller.start()
    assert wait_until(lambda: len(fleet.kinds) > 20)
    assert wait_until(fleet.put_tables)
    assert wait_until(fleet.know_tables)
    assert wait_until(lambda: fleet.kinds[-3:] == ["no_upstream"] * 3)
    assert "no_route" not in fleet.kinds, Counter(fleet.kinds)
    assert "not_ready" in fleet.kinds, Counter(fleet.kinds)
