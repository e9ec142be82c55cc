"""Refusals that are final for callers, by tables that may have changed since."""

from __future__ import annotations

import json
import math
import types

import pytest

from foxtaildrum.admin.metrics import Meter
from foxtaildrum.clock import read_clock
from foxtaildrum.fleet.currency import START_MAX_TABLE_AGE_S
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.records import Route
from foxtaildrum.requests import proxy as proxy_module
from foxtaildrum.requests.problem import Refusal
from foxtaildrum.requests.proxy import Proxy
from foxtaildrum.requests.routing import Router
from foxtaildrum.requests.view import View

ROUTE = Route(name="r", host="a.example", path_prefix="/r/", pool="p", methods=["GET"])
# Requests that the tables here refuse; other tables could serve them.
REFUSED = {
    "another host": {"HTTP_HOST": "b.example"},
    "another path": {"PATH_INFO": "/s/x"},
    "another method": {"REQUEST_METHOD": "POST"},
}


@pytest.fixture
def proxy():
    proxy = Proxy(Meter(), access_log=False)
    proxy.view = View(Router([ROUTE]), {})
    return proxy


def ask(proxy: Proxy, age_s: float, **changes: str) -> tuple[int, str]:
    """Send a request while the tables have the given age; return the status and the kind."""
    proxy.view.complete_up_to = read_clock() - age_s
    environ = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/r/x",
        "HTTP_HOST": "a.example",
        "HTTP_X_REQUEST_ID": "i",
    }
    statuses = []
    body = proxy(environ | changes, lambda status, headers: statuses.append(status))
    return int(statuses[0].split(" ")[0]), json.loads(b"".join(body))["kind"]


# Guards against a 404 or 405 by an instance that is out of touch and lacks a new route.
@pytest.mark.parametrize("name", REFUSED)
@pytest.mark.parametrize("age_s", [START_MAX_TABLE_AGE_S + 0.5, 60.0, math.inf])
def test_a_request_is_refused_for_good_by_old_tables(proxy, name, age_s):
    assert ask(proxy, age_s, **REFUSED[name]) == (503, "not_ready")


@pytest.mark.parametrize("name", REFUSED)
def test_a_request_without_a_route_is_not_refused_by_recent_tables(proxy, name):
    status = 405 if name == "another method" else 404
    assert ask(proxy, START_MAX_TABLE_AGE_S - 0.5, **REFUSED[name])[0] == status


@pytest.mark.parametrize("method", ["TRACE", "CONNECT"])
def test_a_method_that_no_tables_allow_depends_on_their_age(proxy, method):
    assert ask(proxy, 60.0, REQUEST_METHOD=method) == (405, "method_not_allowed")


def test_a_request_with_a_route_is_refused_because_of_old_tables(proxy):
    # The pool has no upstreams, which is what is found next.
    assert ask(proxy, 60.0) == (503, "no_upstream")


# Guards against a 413 or 431 by limits that may have been raised since.
@pytest.mark.parametrize("kind", [ErrorKind.BODY_TOO_LARGE, ErrorKind.HEADER_TOO_LARGE])
def test_a_large_request_is_refused_for_good_by_old_limits(proxy, kind):
    refusal = Refusal(kind, "too large", "i", "127.0.0.1")
    told = {}
    for age_s in (0.0, 60.0):
        proxy.view.complete_up_to = read_clock() - age_s
        told[age_s] = json.loads(proxy.refuse(refusal)[2])["kind"]
    assert told == {0.0: kind.value, 60.0: "not_ready"}


# Guards against a log that names tables which came into force while the request was handled.
def test_a_request_is_logged_with_the_version_that_it_was_handled_by(monkeypatch):
    lines = []
    monkeypatch.setattr(proxy_module, "log_event", lambda event, **fields: lines.append(fields))
    proxy = Proxy(Meter(), access_log=True)
    proxy.view = View(Router([ROUTE]), {}, version=4)
    newer = View(Router([ROUTE]), {}, version=5)

    def choose_pool(route: Route) -> str:
        proxy.view = newer
        return "p"

    proxy.view.chooser = types.SimpleNamespace(choose=choose_pool)
    ask(proxy, 0.0)
    assert [fields["version"] for fields in lines if "latency_ms" in fields] == [4]
