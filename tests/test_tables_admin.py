"""Replacing both tables in one change, over HTTP and with the command line."""

from __future__ import annotations

import json
import tomllib

import pytest
import urllib3

from foxtaildrum.cli import EXIT_CONFLICT, EXIT_FAILED, EXIT_OK, main

from .sites import open_site


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with open_site(tmp_path_factory.mktemp("tables")) as site:
        yield site


@pytest.fixture
def call(site):
    http = urllib3.PoolManager(retries=False, timeout=10)

    def call(method, path, body=None):
        if not isinstance(body, bytes | None):
            body = json.dumps(body).encode()
        return http.request(
            method, f"http://{site.instance.admin_server.address}{path}", body=body
        )

    return call


def build_document(version: int, pool: str = "p", **extra):
    route = {"name": "r", "path_prefix": "/r/", "pool": pool, "type": "safe"}
    return {"version": version, "routes": [route], "pools": [{"name": pool}], **extra}


def get_version(call) -> int:
    return json.loads(call("GET", "/v1/tables").data)["version"]


def test_a_desired_state_is_applied_read_resent_superseded_and_refused(call):
    document = build_document(10, limits={"idle_timeout_ms": 15000})
    assert call("PUT", "/v1/tables", document).status == 200
    assert json.loads(call("GET", "/v1/tables").data) == document
    assert call("PUT", "/v1/tables", document).status == 200
    assert call("PUT", "/v1/tables", build_document(9, "old")).status == 200
    assert call("PUT", "/v1/tables", build_document(10, "other")).status == 409
    assert json.loads(call("GET", "/v1/tables").data) == document


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"", 422),
        (b"{", 400),
        (b"\xff\xfe", 400),
        (b"[]", 422),
        (json.dumps(build_document(99)).encode()[:-9], 400),
        (json.dumps({**build_document(99), "extra": 1}).encode(), 422),
        (json.dumps({**build_document(99), "pools": []}).encode(), 422),
        (json.dumps(build_document(True)).encode(), 422),
    ],
)
def test_an_invalid_document_is_refused_and_changes_nothing(call, body, status):
    before = get_version(call)
    assert call("PUT", "/v1/tables", body).status == status
    assert get_version(call) == before


def test_all_problems_are_listed_in_one_response(call):
    document = build_document(99, "missing", extra=1)
    document["pools"] = [{"name": "a", "colour": 1}]
    problems = json.loads(call("PUT", "/v1/tables", document).data)["problems"]
    assert {p["field"] for p in problems} >= {"extra", "routes[0].pool", "pools[0]"}


@pytest.mark.parametrize(
    "body",
    [b"{", b"null", b"{}", b'{"pool": "p"}', b'{"pool": 3, "address": "127.0.0.1:1"}'],
)
def test_an_invalid_announcement_registers_no_upstream(call, site, body):
    assert 400 <= call("PUT", "/v1/upstreams/forged", body).status < 500
    upstreams = [u["upstream"] for u in site.client.get_status()["upstreams"]]
    assert "forged" not in upstreams


def test_an_upstream_may_leave_before_its_first_announcement_arrives(call):
    assert call("DELETE", "/v1/upstreams/early", {"born": "soon"}).status == 422
    assert call("DELETE", "/v1/upstreams/early", {"born": 5}).status == 200
    late = {"pool": "p", "address": "127.0.0.1:1", "born": 5}
    assert call("PUT", "/v1/upstreams/early", late).status == 409
    assert call("PUT", "/v1/upstreams/early", {**late, "born": 6}).status == 200


def test_the_command_line_applies_and_prints_both_tables(call, site, tmp_path, capsys):
    address = ["--admin", site.instance.admin_server.address]
    text = """
[limits]
idle_timeout_ms = 9000

[[routes]]
name = "split"
path_prefix = "/split/"
split = [{pool = "a", weight = 9}, {pool = "b", weight = 1}]

[[pools]]
name = "a"

[[pools]]
name = "b"
"""
    path = tmp_path / "tables.toml"
    path.write_text(text)
    version = get_version(call) + 5
    apply = ["tables", "apply", str(path), *address]
    assert main([*apply, "--version", str(version)]) == EXIT_OK
    assert capsys.readouterr().out == f"{version}\n"
    assert main(["tables", "get", *address]) == EXIT_OK
    printed = tomllib.loads(capsys.readouterr().out)
    assert printed == {"version": version, **tomllib.loads(text)}
    assert main([*apply, "--version", "1"]) == EXIT_OK
    assert "changes nothing" in capsys.readouterr().err
    path.write_text(text.replace("9000", "8000"))
    assert main([*apply, "--version", str(version)]) == EXIT_CONFLICT
    assert main(apply) == EXIT_FAILED
    assert "version" in capsys.readouterr().err


@pytest.mark.parametrize(
    "organisations",
    ["organisations = []\n", '[[organisations]]\nname = "acme"\nkeys = ["k1", "k2"]\n'],
)
def test_the_command_line_applies_and_prints_organisations(
    call, site, tmp_path, capsys, organisations
):
    """An empty table that is not printed would be lost by the next apply."""
    address = ["--admin", site.instance.admin_server.address]
    routes = '[[routes]]\nname = "r"\npool = "p"\npublic = true\n[[pools]]\nname = "p"\n'
    path = tmp_path / "tables.toml"
    path.write_text(organisations + routes)
    version = get_version(call) + 1
    assert main(["tables", "apply", str(path), *address, "--version", str(version)]) == EXIT_OK
    capsys.readouterr()
    assert main(["tables", "get", *address]) == EXIT_OK
    printed = tomllib.loads(capsys.readouterr().out)
    assert printed == {"version": version, **tomllib.loads(organisations + routes)}
    document = json.loads(call("GET", "/v1/tables").data)
    assert document["organisations"] == printed["organisations"]
    assert call("PUT", "/v1/organisations", {"organisations": []}).status == 405
    path.write_text(organisations + routes)
    assert main(["check", str(path)]) == EXIT_OK
    without = build_document(version + 1)
    assert call("PUT", "/v1/tables", without).status == 200
    assert json.loads(call("GET", "/v1/tables").data) == without
    assert json.loads(call("GET", "/v1/organisations").data)["in_force"] is False


def test_a_file_with_an_invalid_key_is_refused_without_showing_it(tmp_path, capsys):
    path = tmp_path / "organisations.toml"
    path.write_text('[[organisations]]\nname = "a"\nkeys = ["my secret"]\n')
    assert main(["check", str(path)]) == EXIT_FAILED
    error = capsys.readouterr().err
    assert "organisations[0].keys[0]" in error
    assert "my secret" not in error
