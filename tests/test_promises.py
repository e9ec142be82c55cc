"""Runs the scenarios of the feature files and defines their steps."""

from __future__ import annotations

import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from foxtaildrum.exceptions import InvalidTableError

from .sites import open_site

scenarios("features")


class ScenarioContext:
    """The site of one scenario and the results of its earlier steps."""

    def __init__(self, site) -> None:
        self.site = site
        self.reply = None
        self.table_error = None
        self.served_before = {}

    def book(self, key: str, fault: str = "") -> None:
        headers = {"Idempotency-Key": key, "X-Request-Id": key, "X-Fault": fault}
        self.reply = self.site.send("POST", "/dispatch", headers, b"{}")

    def look_up(self, item: str, fault: str = "") -> None:
        self.reply = self.site.send("GET", f"/lookup/{item}", {"X-Fault": fault})


@pytest.fixture
def context(tmp_path):
    with open_site(tmp_path) as site:
        site.apply("pools", [{"name": "stock"}])
        site.apply(
            "routes",
            [
                {
                    "name": "lookup",
                    "path_prefix": "/lookup",
                    "pool": "stock",
                    "timeout_ms": 2000,
                },
                {
                    "name": "dispatch",
                    "path_prefix": "/dispatch",
                    "pool": "stock",
                    "timeout_ms": 2000,
                },
            ],
        )
        yield ScenarioContext(site)


@given(parsers.parse("a site with {count:d} upstreams"))
def place_upstreams(context, count):
    if count:
        context.site.add_upstreams("stock", count, service_ms=1, fixed=True)


@when(parsers.parse('a caller looks up "{item}"'))
def look_up(context, item):
    context.look_up(item)


@when(parsers.parse('a caller looks up "{item}" and the first attempt is reset after it ran'))
def look_up_with_reset(context, item):
    context.look_up(item, "first:reset-after-run")


@when(parsers.parse('a caller books dispatch "{key}"'))
def book(context, key):
    context.book(key)


@when(parsers.parse('a caller books dispatch "{key}" and the attempt is reset after it ran'))
def book_with_reset(context, key):
    context.book(key, "reset-after-run")


@when(parsers.parse('a caller books dispatch "{key}" and every upstream sheds it'))
def book_with_shed(context, key):
    context.book(key, "shed")


@when(parsers.parse('upstream "{upstream}" leaves'))
def withdraw_upstream(context, upstream):
    context.site.client.leave(upstream)
    context.served_before[upstream] = context.site.upstreams["stock"].describe(upstream)[
        "served"
    ]


@when(parsers.parse("callers send {count:d} lookups"))
def look_up_many(context, count):
    for number in range(count):
        context.look_up(f"item-{number}")
        assert context.reply.status == 200


@when("an operator applies a routes table to a missing pool")
def apply_invalid(context):
    with pytest.raises(InvalidTableError) as caught:
        context.site.apply("routes", [{"name": "bad", "pool": "nowhere"}])
    context.table_error = caught.value


@then(parsers.parse('the answer is {status:d} and names "{text}"'))
def check_target(context, status, text):
    assert context.reply.status == status
    assert text in json.loads(context.reply.body)["target"]


@then(parsers.parse('the answer is {status:d} with outcome "{outcome}"'))
def check_outcome(context, status, outcome):
    assert (context.reply.status, context.reply.outcome) == (status, outcome)


@then(parsers.re(r'"(?P<key>[^"]+)" ran (?P<count>\d+) times?'))
def check_runs(context, key, count):
    assert context.site.upstreams["stock"].count_runs().get(key, 0) == int(count)


@then(parsers.parse('upstream "{upstream}" served no further requests'))
def check_served(context, upstream):
    served = context.site.upstreams["stock"].describe(upstream)["served"]
    assert served == context.served_before[upstream]


@then("the change is refused with an error that names the row")
def check_refusal(context):
    assert context.table_error.list_problems()[0]["field"] == "routes[0].pool"


@then("lookups are still answered")
def check_still_served(context):
    context.look_up("boiler-7")
    assert context.reply.status == 200
