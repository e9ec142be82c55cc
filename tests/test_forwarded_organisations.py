"""Organisations of requests that one instance forwards to another."""

from __future__ import annotations

import http.client
import json
import uuid

import pytest

from foxtaildrum.organisations.keys import KeyTable
from foxtaildrum.organisations.recognition import AgeLimits
from foxtaildrum.requests.forwards import FORWARD_HEADER, RESULT_HEADER, Forward

from .links import Cut
from .standins.processes import wait_until
from .test_lost_links import POOLS, ROUTES, LinkedFleet

KEY = "acme-key"
ORGANISATIONS = [{"name": "acme", "keys": [KEY]}, {"name": "other", "keys": ["other-key"]}]
PUBLIC_ROUTE = {"name": "public", "path_prefix": "/public", "pool": "lookup", "public": True}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = LinkedFleet(tmp_path_factory.mktemp("forwarded"))
    document = {
        "version": 1,
        "routes": [*ROUTES, PUBLIC_ROUTE],
        "pools": POOLS,
        "organisations": ORGANISATIONS,
    }
    fleet.control.client.put_tables(document)
    for site in fleet.sites.values():
        assert wait_until(lambda s=site: s.instance.proxy.view.key_table is not None)
    fleet.cut(Cut.HANG, "e1")

    def is_forwarded() -> bool:
        return fleet.send("e1", "/lookup/1", X_Organisation_Key=KEY).status == 200

    assert wait_until(is_forwarded, 10.0)
    yield fleet
    fleet.close()


def test_an_upstream_gets_the_name_of_a_forwarded_request_and_no_key(fleet):
    before = fleet.count_forwarded()
    for path in ("/lookup/1", "/order/1"):
        reply = fleet.send("e1", path, X_Organisation_Key=KEY, X_Organisation="forged")
        headers = json.loads(reply.body)["headers"]
        assert headers["x-organisation"] == "acme"
        assert "x-organisation-key" not in headers
    # The other instance counts a request after it has sent the end of the response.
    assert wait_until(lambda: fleet.count_forwarded() >= before + 2)


@pytest.mark.parametrize(("key", "name"), [(KEY, "acme"), ("unknown", None)])
def test_a_public_route_is_forwarded_with_the_name_only_if_the_key_is_known(fleet, key, name):
    reply = fleet.send("e1", "/public/1", X_Organisation_Key=key, X_Organisation="forged")
    headers = json.loads(reply.body)["headers"]
    assert headers.get("x-organisation") == name
    assert "x-organisation-key" not in headers


@pytest.mark.parametrize("change", ["organisation unknown", "not in force", "tables too old"])
def test_a_receiver_whose_tables_do_not_fit_takes_no_request(fleet, monkeypatch, change):
    """It may be ahead or behind: it must neither run the request nor refuse it for good."""
    for name in ("c1", "e2"):
        proxy = fleet.sites[name].instance.proxy
        if change == "tables too old":
            monkeypatch.setattr(proxy.recogniser, "limits", AgeLimits(1.5, 1e-9))
        else:
            table = None if change == "not in force" else KeyTable(ORGANISATIONS[1:], b"s")
            monkeypatch.setattr(proxy.view, "key_table", table)
    request_id = uuid.uuid4().hex
    reply = fleet.send("e1", "/order/1", X_Organisation_Key=KEY, X_Request_Id=request_id)
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert fleet.count_runs(request_id) == 0


def send_statement(fleet, path: str, forward: Forward, **headers: str):
    """Send a request as another instance would; the fleet has no key."""
    request_id = uuid.uuid4().hex
    address = fleet.sites["e2"].instance.forward_server.address
    connection = http.client.HTTPConnection(*address.split(":"), timeout=10)
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    fields["X-Request-Id"] = request_id
    fields[FORWARD_HEADER] = forward.format(b"", "GET", path, request_id)
    connection.request("GET", path, headers=fields)
    response = connection.getresponse()
    body = response.read()
    connection.close()
    return response, body, request_id


def test_a_request_that_an_older_build_forwards_is_not_run_without_an_organisation(fleet):
    """It states five fields and has recognised nobody; its headers are those of the caller."""
    statement = Forward("e1", "lookup", 2, 0)
    headers = {"X_Organisation": "acme", "X_Organisation_Key": KEY}
    response, _, request_id = send_statement(fleet, "/lookup/1", statement, **headers)
    assert response.headers[RESULT_HEADER] == "not_ready"
    assert fleet.count_runs(request_id) == 0
    response, body, _ = send_statement(fleet, "/public/1", statement, **headers)
    assert response.status == 200
    assert not {"x-organisation", "x-organisation-key"} & json.loads(body)["headers"].keys()


def test_the_stated_name_replaces_the_header_that_arrives(fleet):
    statement = Forward("e1", "lookup", 2, 0, "acme")
    _, body, _ = send_statement(fleet, "/lookup/1", statement, X_Organisation="other")
    assert json.loads(body)["headers"]["x-organisation"] == "acme"
