"""An entry instance that loses its control instance stops serving keys, over real sockets."""

from __future__ import annotations

import json

import pytest

from .sites import Reply, Site
from .standins.processes import pick_port, wait_until

KEY = "acme-key"
REVOCATION_S = 2.0
TABLES = {
    "version": 1,
    "routes": [
        {"name": "r", "path_prefix": "/", "pool": "p"},
        {"name": "public", "path_prefix": "/public", "pool": "p", "public": True},
    ],
    "pools": [{"name": "p"}],
    "organisations": [{"name": "acme", "keys": [KEY]}],
}


@pytest.fixture
def sites(tmp_path):
    peers = {name: f"127.0.0.1:{pick_port()}" for name in ("c1", "e1")}
    sites = {}
    for name, address in peers.items():
        (tmp_path / name).mkdir()
        sites[name] = Site(
            tmp_path / name,
            instance_id=name,
            role="all" if name == "c1" else "entry",
            peer_listen=address,
            control=f"c1={peers['c1']}",
            revocation_s=REVOCATION_S,
        )
    sites["c1"].add_upstreams("p", 2, service_ms=1, fixed=True)
    sites["c1"].client.put_tables(TABLES)
    yield sites
    for site in sites.values():
        site.close()


def send(site: Site, path: str = "/x", key: str = KEY) -> Reply:
    return site.send("GET", path, {"X-Organisation-Key": key} if key else {})


def test_keys_are_served_only_while_the_tables_are_confirmed(sites):
    """Public routes go on; a refusal for good would be wrong, as the key may be new."""
    control, entry = sites["c1"], sites["e1"]
    assert wait_until(lambda: send(entry).status == 200)
    assert wait_until(lambda: send(entry, key="no").status == 401)
    assert entry.client.get_status()["organisations"]["revocation_s"] == REVOCATION_S
    control.instance.close()
    assert wait_until(lambda: send(entry).status == 503)
    for key in (KEY, "no", ""):
        reply = send(entry, key=key)
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert json.loads(reply.body)["kind"] == "not_ready"
        assert send(entry, "/public/x", key).status == 200
    assert entry.client.is_ready()
    assert not entry.client.get_status()["organisations"]["serves_keys"]
