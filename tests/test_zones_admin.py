"""Evacuation of availability zones over HTTP and with the command line, and its effect."""

from __future__ import annotations

import json

import pytest
import urllib3

from foxtaildrum.cli import EXIT_FAILED, EXIT_OK, main

from .sites import open_site
from .standins.processes import wait_until

REQUESTS = 20
TRIES = 10
EVACUATION_S = 0.5
TOKEN = "secret"


class Caller:
    """Sends admin requests to a site."""

    def __init__(self, site) -> None:
        self.site = site
        self.http = urllib3.PoolManager(retries=False, timeout=10)

    def call(self, method: str, path: str, body: bytes | None = None, **headers: str):
        address = self.site.instance.admin_server.address
        return self.http.request(method, f"http://{address}{path}", body=body, headers=headers)

    def order(self, method: str, zone: str, **extra):
        return self.call(method, f"/v1/zones/{zone}/evacuation", **extra)

    def list_zones(self) -> dict[str, dict]:
        zones = json.loads(self.call("GET", "/v1/zones").data)["zones"]
        return {zone["zone"]: zone for zone in zones}


@pytest.fixture
def site(tmp_path):
    settings = {"availability_zones": "a,b,empty", "evacuation_s": EVACUATION_S}
    with open_site(tmp_path, **settings) as site:
        pool = {"name": "p", "retry_budget_ratio": 1.0, "health_path": "/healthz"}
        site.apply("pools", [pool])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        yield site


@pytest.fixture
def admin(site):
    return Caller(site)


def announce_zones(site, process, zones: dict[str, str]) -> None:
    for upstream_id, zone in zones.items():
        port = process.ports[upstream_id]
        site.announce(upstream_id, "p", port, availability_zone=zone, incarnation=2)


def is_applied(site, *zones: str) -> bool:
    """Return whether exactly these zones are evacuated, and no longer used here."""
    evacuations = site.client.get_status()["evacuations"]
    return [e["zone"] for e in evacuations if e["applied"]] == list(zones)


def test_an_order_is_acknowledged_listed_repeated_and_withdrawn(admin):
    assert admin.order("PUT", "a").status == 200
    since = admin.list_zones()["a"]["since"]
    assert admin.order("PUT", "a", body=b"{not json").status == 200
    zones = admin.list_zones()
    assert {name for name, zone in zones.items() if zone["evacuated"]} == {"a"}
    assert zones.keys() >= {"a", "b", "empty", "local"}
    assert zones["a"]["since"] == since
    assert admin.order("DELETE", "a").status == 200
    assert admin.order("DELETE", "a").status == 200
    assert not admin.list_zones()["a"]["evacuated"]
    assert admin.list_zones()["a"]["since"] is None


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("PUT", "/v1/zones/unknown/evacuation", 404),
        ("DELETE", "/v1/zones/unknown/evacuation", 404),
        ("PUT", "/v1/zones//evacuation", 422),
        ("PUT", "/v1/zones/a%20b/evacuation", 422),
        ("PUT", "/v1/zones/a%2Fb/evacuation", 422),
        ("PUT", "/v1/zones/%7B%7D/evacuation", 422),
        ("PUT", "/v1/zones/%FF/evacuation", 422),
        ("PUT", "/v1/zones/" + "x" * 64 + "/evacuation", 422),
        ("POST", "/v1/zones/a/evacuation", 405),
        ("PUT", "/v1/zones/a/evacuations", 404),
        ("PUT", "/v1/zones/a", 404),
        ("PUT", "/v1/zones", 405),
    ],
)
def test_other_requests_are_refused_and_change_nothing(admin, method, path, status):
    assert admin.call(method, path).status == status
    assert not any(zone["evacuated"] for zone in admin.list_zones().values())


# Guards against a proper order that is refused because of the name that upstreams announce.
@pytest.mark.parametrize("zone", ["zone one", "zône/2"])
def test_a_zone_known_from_an_upstream_is_taken_whatever_its_name(site, zone):
    site.announce("u", "p", 1, availability_zone=zone)
    site.client.evacuate_zone(zone)
    zones = {z["zone"]: z for z in site.client.get_zones()}
    assert zones[zone]["evacuated"]
    assert zones[zone]["upstreams"] == ["u"]
    site.client.restore_zone(zone)


def test_an_order_needs_the_operator_token(tmp_path):
    path = tmp_path / "token"
    path.write_text(TOKEN)
    folder = tmp_path / "site"
    folder.mkdir()
    settings = {"operator_token_file": str(path), "availability_zones": "a"}
    with open_site(folder, **settings) as site:
        admin = Caller(site)
        assert admin.order("PUT", "a").status == 401
        assert admin.order("DELETE", "a").status == 401
        assert admin.call("GET", "/v1/zones").status == 401
        header = {"Authorization": f"Bearer {TOKEN}"}
        assert admin.order("PUT", "a", **header).status == 200


# Guards against an order that is refused for good while an instance does not know enough yet.
def test_an_unknown_zone_is_not_denied_by_an_instance_that_is_not_current(site, monkeypatch):
    monkeypatch.setattr(site.instance.node_access, "confirm_tables", lambda: False)
    admin = Caller(site)
    assert admin.order("PUT", "unknown").status == 503
    assert admin.order("PUT", "a").status == 200
    assert admin.call("GET", "/v1/zones").status == 503
    assert admin.call("GET", "/v1/zones?stale=allow").status == 200


# Guards against requests and status checks that reach an upstream after its zone is evacuated.
def test_no_request_and_no_status_check_reaches_an_evacuated_zone(tmp_path):
    settings = {
        "evacuation_s": EVACUATION_S,
        "probes_per_s": 1000,
        "sample_size": 2,
        "availability_zone": "a",
    }
    with open_site(tmp_path, **settings) as site:
        site.apply("pools", [{"name": "p", "health_path": "/healthz"}])
        site.apply("routes", [{"name": "p", "path_prefix": "/", "pool": "p"}])
        upstreams = site.add_upstreams("p", 3)
        announce_zones(site, upstreams, {"p-1": "a", "p-2": "a", "p-3": "b"})
        send_all(site)
        site.client.evacuate_zone("a")
        assert wait_until(lambda: is_applied(site, "a"))
        # What was sent before goes on.
        assert wait_until(
            lambda: not any(upstreams.describe(u)["busy"] for u in upstreams.ports)
        )
        before = {u: upstreams.describe(u) for u in upstreams.ports}
        assert send_all(site) == {"served"}
        after = {u: upstreams.describe(u) for u in upstreams.ports}
        assert after["p-1"] == before["p-1"]
        assert after["p-2"] == before["p-2"]
        assert after["p-3"] != before["p-3"]
        site.client.evacuate_zone("b")
        assert wait_until(lambda: is_applied(site, "a", "b"))
        reply = site.send("POST", "/refused")
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert json.loads(reply.body)["kind"] == "zones_evacuated"
        assert "retry-after" in reply.headers
        pool = site.client.get_status()["pools"][0]
        assert {u["evacuated"] for u in pool["upstreams"]} == {True}
        page = Caller(site).call("GET", "/metrics").data.decode()
        assert "foxtaildrum_evacuated_zones 2.0" in page
        assert 'foxtaildrum_pool_evacuated_upstreams{pool="p"} 3.0' in page
        site.client.restore_zone("a")
        assert wait_until(lambda: is_applied(site, "b"))
        assert send_all(site) == {"served"}
        assert upstreams.describe("p-1") != after["p-1"]


def send_all(site) -> set[str]:
    """Send requests, as callers do again after a refusal; return what became of them.

    On a loaded machine a status check may be late, and the request is refused as overloaded.
    """
    results = set()
    for number in range(REQUESTS):
        for _ in range(TRIES):
            reply = site.send("GET", f"/{number}")
            result = "served" if reply.status == 200 else json.loads(reply.body)["kind"]
            if result != "overloaded":
                break
        results.add(result)
    return results


def test_the_command_line_lists_evacuates_and_restores(site, capsys):
    address = ["--admin", site.instance.admin_server.address]
    assert main(["zones", "evacuate", "a", *address]) == EXIT_OK
    assert main(["zones", "list", *address]) == EXIT_OK
    lines = capsys.readouterr().out.splitlines()
    assert [line for line in lines if "evacuated since" in line][0].startswith("a: ")
    assert "b: in use; upstreams: -" in lines
    assert wait_until(lambda: is_applied(site, "a"))
    assert main(["status", *address]) == EXIT_OK
    assert "zone a: evacuated, applied here" in capsys.readouterr().out
    assert main(["zones", "restore", "a", *address]) == EXIT_OK
    assert main(["zones", "evacuate", "unknown", *address]) == EXIT_FAILED
    assert "404" in capsys.readouterr().err


# Guards against an order that a restart of the only instance forgets, or applies late.
def test_an_order_survives_a_restart(tmp_path):
    with open_site(tmp_path, availability_zones="a") as site:
        site.client.evacuate_zone("a")
    with open_site(tmp_path, availability_zones="a") as site:
        assert Caller(site).list_zones()["a"]["evacuated"]
        assert is_applied(site, "a")
