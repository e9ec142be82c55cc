"""Requests of organisations with a limit, through one instance and from several threads."""

from __future__ import annotations

import threading
import time
import urllib.request
import uuid

import pytest

from foxtaildrum.clock import read_clock
from foxtaildrum.kinds import ErrorKind
from foxtaildrum.organisations.recognition import Decision
from foxtaildrum.permits.bounds import QuotaBounds
from foxtaildrum.permits.holder import QuotaHolder, QuotaPlan
from foxtaildrum.permits.issuer import QuotaGrant
from foxtaildrum.permits.quota import LIMITED_S, MAX_RETRY_AFTER_S, ReturnedPermits
from foxtaildrum.records import Organisation
from foxtaildrum.requests.quotas import QuotaClient, Quotas
from foxtaildrum.requests.recognising import Recogniser

from .sites import Reply, Site, open_site
from .standins.processes import wait_until

FAST = 10_000.0
SLOW = 0.001
BURST = 3
TEST_HEADER = "HTTP_X_TEST_ORGANISATION"


class FakeIssuer(QuotaClient):
    """Keeps what is sent; replies only when told to."""

    def __init__(self) -> None:
        self.plans: list[QuotaPlan] = []
        self.returns: list[ReturnedPermits] = []

    def request_quotas(self, plan: QuotaPlan) -> None:
        self.plans.append(plan)

    def return_quotas(self, returns: list[ReturnedPermits]) -> None:
        self.returns += returns


def build_quotas(window_s: float = 5.0) -> tuple[Quotas, FakeIssuer]:
    client = FakeIssuer()
    bounds = QuotaBounds(window_s, 0.1, 20.0)
    holder = QuotaHolder(read_clock(), "e1", bounds, _FixedRandom())
    return Quotas(holder, client), client


class _FixedRandom:
    def uniform(self, low: float, high: float) -> float:
        return low


LIMITED = Organisation(name="a", rate_per_s=10, burst=10)


def test_a_request_thread_waits_a_tenth_of_a_second_at_most_for_the_issuer():
    quotas, client = build_quotas()
    now = read_clock()
    decision = quotas.admit(now, LIMITED, now + 5.0)
    assert decision.kind is ErrorKind.NOT_READY
    assert decision.wait_s > 0
    assert read_clock() - now < 0.25
    assert client.plans


def test_a_request_does_not_wait_beyond_its_deadline():
    quotas, _ = build_quotas()
    now = read_clock()
    assert quotas.admit(now, LIMITED, now + 0.01).kind is ErrorKind.NOT_READY
    assert read_clock() - now < 0.09


def test_a_reply_wakes_the_requests_that_wait_and_refuses_those_beyond_it():
    quotas, client = build_quotas()
    kinds = []

    def admit() -> None:
        now = read_clock()
        kinds.append(quotas.admit(now, LIMITED, now + 5.0).kind)

    threads = [threading.Thread(target=admit) for _ in range(3)]
    for thread in threads:
        thread.start()
    assert wait_until(lambda: client.plans)
    plan = client.plans[0]
    reply = [QuotaGrant("a", 2, 0.5, 2.0)]
    while any(t.is_alive() for t in threads):
        plan = client.plans[-1]
        quotas.handle_reply(read_clock(), plan.requested_at, "c1", 1.0, reply)
        time.sleep(0.002)
    assert kinds.count(None) >= 2
    assert set(kinds) <= {None, ErrorKind.ORGANISATION_RATE_LIMITED}


def test_a_refusal_is_kept_without_another_question_to_the_issuer():
    quotas, client = build_quotas()
    refuse_first(quotas, client)
    asked = len(client.plans)
    for _ in range(50):
        now = read_clock()
        decision = quotas.admit(now, LIMITED, now + 5.0)
        assert decision.kind is ErrorKind.ORGANISATION_RATE_LIMITED
    assert len(client.plans) == asked


def test_callers_that_are_refused_come_back_one_after_the_other():
    quotas, client = build_quotas()
    refuse_first(quotas, client, wait_s=2.0)
    waits = []
    now = read_clock()
    for _ in range(400):
        waits.append(quotas.admit(now, LIMITED, now + 5.0).wait_s)
    gaps = [later - first for first, later in zip(waits, waits[1:], strict=False)]
    # One wait of 2 s for one permit: this instance gets one in 2 s.
    assert min(gaps[:3]) >= 1.9
    # Beyond the longest time they are spread as well.
    assert max(waits) <= MAX_RETRY_AFTER_S
    assert len({round(w, 2) for w in waits}) >= 100


def test_an_organisation_without_a_limit_asks_nobody():
    quotas, client = build_quotas()
    unlimited = Organisation(name="b")
    assert quotas.admit(read_clock(), unlimited, read_clock() + 1.0).kind is None
    assert not client.plans
    assert quotas.describe() == []


def test_an_instance_that_does_not_know_the_others_uses_no_share():
    # Otherwise each instance whose first request finds no issuer uses the share of all.
    quotas, _ = build_quotas(window_s=0.05)
    time.sleep(0.2)
    now = read_clock()
    assert quotas.admit(now, LIMITED, now + 5.0).kind is ErrorKind.NOT_READY
    quotas.set_instances(["e1"])
    now = read_clock()
    assert quotas.admit(now, LIMITED, now + 5.0).kind is None


def test_a_permit_given_back_is_used_again_while_valid_and_returned_afterwards():
    quotas, client = build_quotas()
    now = 100.0
    holder = quotas._holder
    ticket = holder.admit(now, LIMITED)
    plan = holder.plan_request(now)
    holder.handle_reply(now, plan.requested_at, "c1", 7.0, [QuotaGrant("a", 1, 0.0, 1.0)])
    assert ticket.lot is not None
    assert holder.give_back(now + 0.1, "a", ticket.lot) is None
    again = holder.admit(now + 0.2, LIMITED)
    assert again.lot is ticket.lot
    returned = holder.give_back(now + 2.0, "a", again.lot)
    assert (returned.issued_at, returned.returned) == (7.0, 1)


def test_a_permit_is_not_used_after_a_pause_of_the_instance():
    quotas, _ = build_quotas()
    holder = quotas._holder
    first = holder.admit(100.0, LIMITED)
    plan = holder.plan_request(100.0)
    # The reply arrives after the suspension, which the clock counts.
    reply = [QuotaGrant("a", 5, 0.0, 1.0)]
    holder.handle_reply(103.0, plan.requested_at, "c1", 7.0, reply)
    assert not first.is_settled
    assert not holder.admit(103.0, LIMITED).is_settled


def test_permits_are_requested_in_advance_for_steady_demand_only():
    quotas, _ = build_quotas()
    holder = quotas._holder
    now = 100.0
    for step in range(100):
        now = 100.0 + step / 20
        holder.admit(now, LIMITED)
        plan = holder.plan_request(now)
        if plan is not None:
            grants = [QuotaGrant(i.name, i.wanted + i.ahead, 0.0, 2.0) for i in plan.items]
            last = plan.items[0]
            holder.handle_reply(now, plan.requested_at, "c1", now, grants)
    assert last.ahead > 1
    ticket = holder.admit(now + 600.0, LIMITED)
    assert not ticket.is_settled
    assert holder.plan_request(now + 600.0).items[0].ahead == 0


def test_the_begin_and_the_end_of_a_limit_are_reported_once():
    quotas, client = build_quotas()
    refuse_first(quotas, client)
    holder = quotas._holder
    now = read_clock()
    assert [c.is_limited for c in holder.tick(now)[1]] == [True]
    assert holder.tick(now + 1.0)[1] == []
    assert [c.is_limited for c in holder.tick(now + LIMITED_S + 1.0)[1]] == [False]


def refuse_first(quotas: Quotas, client: FakeIssuer, wait_s: float = 30.0) -> None:
    """Let the issuer refuse one request."""
    holder = quotas._holder
    now = read_clock()
    ticket = holder.admit(now, LIMITED)
    plan = holder.plan_request(now)
    grants = [QuotaGrant("a", 0, wait_s, 1.0)]
    holder.handle_reply(now, plan.requested_at, "c1", now, grants)
    assert ticket.is_settled
    assert ticket.lot is None


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    settings = {"quota_overshoot": 0.0, "quota_slack": 0.0}
    with open_site(tmp_path_factory.mktemp("quotas"), **settings) as site:
        site.apply("pools", [{"name": "p"}, {"name": "dead"}])
        rows = [
            {"name": n, "path_prefix": f"/{n}", "pool": n, "timeout_ms": 2000}
            for n in ("p", "dead")
        ]
        site.apply("routes", rows)
        site.add_upstreams("p", 1, service_ms=1, fixed=True)
        site.announce_unreachable("dead-1", "dead")
        yield site


@pytest.fixture
def organisation(site, monkeypatch):
    """Yield an organisation that may send three requests; callers name it in a header."""
    known: dict[str, Organisation] = {}

    def decide(recogniser, now, request, view):
        return Decision(known.get(request.environ.get(TEST_HEADER, "")), None)

    monkeypatch.setattr(Recogniser, "decide", decide)
    name = f"a{uuid.uuid4().hex[:8]}"
    # The bucket of a single instance fills at the higher rate first.
    known[name] = Organisation(name=name, rate_per_s=FAST, burst=BURST)
    put_in_force(site, list(known.values()))
    assert wait_until(lambda: send(site, name).status == 200)
    time.sleep(0.3)
    known[name] = Organisation(name=name, rate_per_s=SLOW, burst=BURST)
    put_in_force(site, list(known.values()))
    yield known[name]
    put_in_force(site, [])


def put_in_force(site: Site, organisations: list[Organisation]) -> None:
    publisher = site.instance.publisher

    def apply(node, now):
        publisher.apply_organisations(node, organisations)
        return []

    site.instance._node_proxy.apply(apply).get()


def send(site: Site, name: str, path: str = "/p/x", **options) -> Reply:
    headers = {"X-Test-Organisation": name, **options.pop("headers", {})}
    return site.send(options.pop("method", "GET"), path, headers, **options)


def read_metrics(site: Site) -> str:
    address = site.instance.admin_server.address
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as reply:
        return reply.read().decode()


def test_a_request_beyond_the_limit_is_refused_and_shown_to_operators(site, organisation):
    name = organisation.name
    replies = [send(site, name) for _ in range(BURST + 2)]
    assert [r.status for r in replies] == [200] * BURST + [429] * 2
    refused = replies[-1]
    assert b"organisation_rate_limited" in refused.body
    assert refused.outcome == "not-run"
    assert int(refused.headers["retry-after"]) >= 1
    assert send(site, "nobody").status == 200
    rows = site.client.get_status()["organisation_limits"]
    row = next(r for r in rows if r["organisation"] == name)
    assert (row["rate_per_s"], row["burst"], row["refused"]) == (SLOW, BURST, 2)
    metrics = read_metrics(site)
    assert f'foxtaildrum_organisation_limit_refused{{organisation="{name}"}} 2.0' in metrics


def test_a_request_that_was_not_run_returns_its_permit(site, organisation):
    # Otherwise an organisation pays for the requests that its pool could not serve.
    name = organisation.name
    for _ in range(2 * BURST):
        assert send(site, name, "/dead/x").outcome == "not-run"
        assert b"organisation_rate_limited" not in send(site, name, "/dead/x").body
    assert [send(site, name).status for _ in range(BURST + 1)] == [200] * BURST + [429]


def test_the_share_without_replies_is_divided_among_the_known_instances(site):
    holder = site.instance.proxy.quotas._holder
    assert wait_until(lambda: list(holder.instances) == [site.instance.settings.instance_id])


def test_a_refused_order_releases_its_key(site, organisation):
    name = organisation.name
    order = {"method": "POST", "headers": {"Idempotency-Key": uuid.uuid4().hex}}
    for _ in range(BURST):
        assert send(site, name).status == 200
    # The first refusal comes after the claim, the second before it.
    for _ in range(2):
        assert send(site, name, **dict(order, headers=dict(order["headers"]))).status == 429
    headers = dict(order["headers"])
    assert site.send("POST", "/p/x", headers).status == 200


def test_a_deployment_without_organisations_shows_no_limits(tmp_path):
    with open_site(tmp_path) as site:
        assert "organisation_limits" not in site.client.get_status()
        assert "foxtaildrum_organisation" not in read_metrics(site)
