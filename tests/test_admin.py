"""The admin HTTP interface, and the commands that use it."""

from __future__ import annotations

import json

import pytest
import urllib3

from foxtaildrum.cli import EXIT_CONFLICT, EXIT_FAILED, EXIT_OK, main

from .sites import open_site
from .standins.processes import wait_until

TOKEN = "secret"


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    folder = tmp_path_factory.mktemp("admin")
    token_file = folder / "token"
    token_file.write_text(TOKEN)
    with open_site(folder, operator_token_file="") as site:
        yield site


@pytest.fixture
def admin(site):
    http = urllib3.PoolManager(retries=False, timeout=10)

    def call(method, path, document=None, **headers):
        body = None if document is None else json.dumps(document)
        names = {n.replace("_", "-"): v for n, v in headers.items()}
        return http.request(
            method,
            f"http://{site.instance.admin_server.address}{path}",
            body=body,
            headers=names,
        )

    return call


def get_version(admin, table: str) -> str:
    return admin("GET", f"/v1/{table}").headers["ETag"]


def test_a_change_requires_the_version_that_it_is_based_on(admin):
    assert admin("PUT", "/v1/pools", {"pools": []}).status == 428
    assert admin("PUT", "/v1/pools", {"pools": []}, If_Match="soon").status == 400
    response = admin("PUT", "/v1/pools", {"pools": []}, If_Match='"99"')
    assert response.status == 412
    assert response.headers["ETag"] == get_version(admin, "pools")


def test_a_resent_change_returns_the_first_response_and_is_applied_once(admin):
    version = get_version(admin, "pools")
    change = {"pools": [{"name": "resent"}]}
    first = admin("PUT", "/v1/pools", change, If_Match=version, Idempotency_Key="k1")
    second = admin("PUT", "/v1/pools", change, If_Match=version, Idempotency_Key="k1")
    assert first.status == second.status == 200
    assert first.headers["ETag"] == second.headers["ETag"] == get_version(admin, "pools")
    other = {"pools": [{"name": "other"}]}
    response = admin("PUT", "/v1/pools", other, If_Match=version, Idempotency_Key="k1")
    assert response.status == 422


def test_an_invalid_table_is_refused_as_a_whole(admin):
    version = get_version(admin, "routes")
    rows = [{"name": "r", "pool": "nowhere", "timeout_ms": 0}, {"nome": 1}]
    response = admin("PUT", "/v1/routes", {"routes": rows}, If_Match=version)
    assert response.status == 422
    fields = {p["field"] for p in json.loads(response.data)["problems"]}
    assert {"routes[0].timeout_ms", "routes[1]"} <= fields
    assert get_version(admin, "routes") == version


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"pools": 3}', b"\xff", b"", b"[" * 100_000])
def test_a_malformed_body_is_a_client_error_with_a_title(site, body):
    http = urllib3.PoolManager(retries=False, timeout=10)
    response = http.request(
        "PUT",
        f"http://{site.instance.admin_server.address}/v1/pools",
        body=body,
        headers={"If-Match": '"0"'},
    )
    assert response.status in (400, 422)
    assert json.loads(response.data)["title"]


def test_invalid_and_outdated_announcements_are_refused(admin):
    response = admin("PUT", "/v1/upstreams/u", {"pool": "p", "address": "host:1", "slots": -1})
    assert response.status == 422
    assert len(json.loads(response.data)["problems"]) == 2
    good = {"pool": "p", "address": "127.0.0.1:9", "incarnation": 5}
    assert admin("PUT", "/v1/upstreams/u", good).status == 200
    assert admin("PUT", "/v1/upstreams/u", {**good, "incarnation": 4}).status == 409
    assert admin("DELETE", "/v1/upstreams/u").status == 200
    assert admin("PUT", "/v1/upstreams/u", good).status == 409
    assert admin("DELETE", "/v1/upstreams/nobody").status == 404


def test_unknown_paths_and_methods_are_refused(admin):
    assert admin("GET", "/v1/nothing").status == 404
    assert admin("POST", "/v1/routes").status == 405


def test_liveness_and_readiness_endpoints_return_200(admin):
    assert admin("GET", "/livez").status == 200
    assert admin("GET", "/readyz").status == 200


def test_tables_require_the_operator_token_if_one_is_configured(tmp_path, capsys):
    token_file = tmp_path / "token"
    token_file.write_text(TOKEN)
    with open_site(tmp_path, operator_token_file=str(token_file)) as site:
        address = ["--admin", site.instance.admin_server.address]
        assert main(["pools", "get", *address]) == EXIT_FAILED
        assert "401" in capsys.readouterr().err
        assert main(["organisations", "list", *address]) == EXIT_FAILED
        assert "401" in capsys.readouterr().out
        assert (
            main(["pools", "get", *address, "--operator-token-file", str(token_file)])
            == EXIT_OK
        )
        assert main(["status", *address]) == EXIT_OK


def test_a_token_that_was_withdrawn_is_refused_after_a_reload(tmp_path, capsys):
    token_file, old_file = tmp_path / "token", tmp_path / "old"
    token_file.write_text(TOKEN)
    old_file.write_text(TOKEN)
    with open_site(tmp_path, operator_token_file=str(token_file)) as site:
        address = ["--admin", site.instance.admin_server.address]
        old = ["--operator-token-file", str(old_file)]
        assert main(["pools", "get", *address, *old]) == EXIT_OK
        token_file.write_text("another token")
        assert site.instance.apply_settings(site.instance.settings) == []
        assert main(["pools", "get", *address, *old]) == EXIT_FAILED
        new = ["--operator-token-file", str(token_file)]
        assert main(["pools", "get", *address, *new]) == EXIT_OK


def test_the_command_line_checks_applies_and_prints_tables(site, tmp_path, capsys):
    address = ["--admin", site.instance.admin_server.address]
    pools = tmp_path / "pools.toml"
    pools.write_text('[[pools]]\nname = "cli"\n')
    routes = tmp_path / "routes.toml"
    routes.write_text('[[routes]]\nname = "cli"\npool = "cli"\npath_prefix = "/cli"\n')
    assert main(["check", str(pools), str(routes)]) == EXIT_OK
    assert main(["pools", "apply", str(pools), *address]) == EXIT_OK
    assert main(["routes", "apply", str(routes), *address]) == EXIT_OK
    assert (
        main(["routes", "apply", str(routes), "--if-version", "0", *address]) == EXIT_CONFLICT
    )
    assert "changed by" in capsys.readouterr().err
    assert main(["routes", "get", *address]) == EXIT_OK
    assert 'path_prefix = "/cli"' in capsys.readouterr().out
    for command in (
        ["status"],
        ["status", "--format=json"],
        ["report"],
        ["report", "--format=html"],
        ["report", "--format=json"],
    ):
        assert main([*command, *address]) == EXIT_OK
    assert "<svg" in capsys.readouterr().out


@pytest.mark.parametrize(
    "text",
    ["not toml", "[[other]]\n", "", "[[pools]]\nname = 3\n", '[[pools]]\nname = "a"\nx = 1\n'],
)
def test_check_refuses_an_invalid_file(tmp_path, text, capsys):
    path = tmp_path / "file.toml"
    path.write_text(text)
    assert main(["check", str(path)]) == EXIT_FAILED
    assert str(path) in capsys.readouterr().err


def test_an_unreachable_instance_is_reported(capsys):
    assert main(["status", "--admin", "127.0.0.1:1"]) == EXIT_FAILED
    assert "no response" in capsys.readouterr().err


def test_the_report_counts_late_and_failed_requests(site, admin):
    version = get_version(admin, "pools")
    rows = json.loads(admin("GET", "/v1/pools").data)["pools"]
    if not any(r["name"] == "level" for r in rows):
        admin("PUT", "/v1/pools", {"pools": [*rows, {"name": "level"}]}, If_Match=version)
    version = get_version(admin, "routes")
    rows = json.loads(admin("GET", "/v1/routes").data)["routes"]
    row = {
        "name": "level",
        "pool": "level",
        "path_prefix": "/level",
        "objective_latency_ms": 50,
    }
    assert admin("PUT", "/v1/routes", {"routes": [*rows, row]}, If_Match=version).status == 200
    site.add_upstreams("level", 1, service_ms=1, fixed=True)
    site.send("GET", "/level")
    site.send("GET", "/level", {"X-Fault": "slow=100"})
    site.send("POST", "/level", {"X-Fault": "reset-after-run"})

    def read() -> dict:
        report_by_route = {entry["route"]: entry for entry in site.client.get_report()}
        return report_by_route["level"]["windows"]["5m"]

    assert wait_until(lambda: read() == {"total": 3, "bad": 2})
