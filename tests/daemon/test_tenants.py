"""Tenant authentication, leases, quotas and importance of requests routed by host."""

import itertools
import time

import pytest

from finchshed.admission.rank import rank_of
from finchshed.common.importance import Importance
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.configuration.resources import Tenant
from finchshed.daemon.ingress.host_requests import AdmittedHostRequest
from finchshed.http.message import InboundRequest, Response
from finchshed.tenancy.keys import digest_of_key
from finchshed.tenancy.lease import KeyLease
from tests.daemon.test_host_requests import HostFixture, inbound, route

KEY = "k-" + "7" * 18
TENANT = Tenant("officers", (digest_of_key(KEY.encode()),), importance=Importance.CRITICAL)
CLASSES = ("SHEDDABLE", "NORMAL", "HIGH", "CRITICAL")


def fixture_with_tenants(**fields: object) -> HostFixture:
    return HostFixture(route("/a/", **fields), route("/open/", public=True), TENANT)


def forwarded_headers(fixture: HostFixture) -> dict[str, str]:
    return dict(fixture.caller.requests[-1].headers)


def ask_raw(fixture: HostFixture, *headers: tuple[bytes, bytes]) -> Response:
    """Send a request with additional raw headers, which may repeat names."""
    base = inbound("/a/1")
    raw = [*base.headers, *headers]
    first: dict[bytes, bytes] = {}
    for name, value in raw:
        first.setdefault(name, value)
    request = InboundRequest("127.0.0.1", "GET", "/a/1", raw, first)
    admitted = fixture.handler.admit(request)
    if not hasattr(admitted, "route"):
        return fixture.handler.refusal_response(admitted)  # type: ignore[arg-type]
    responses: list[Response] = []
    fixture.handler.handle(request, admitted, responses.append)  # type: ignore[arg-type]
    return responses[0]


def test_the_back_end_sees_the_tenant_and_not_the_key() -> None:
    fixture = fixture_with_tenants()
    assert fixture.ask("/a/1", x_api_key=KEY, finchshed_tenant="forged").status == 200
    assert forwarded_headers(fixture)["finchshed-tenant"] == "officers"
    assert all(KEY not in value for value in forwarded_headers(fixture).values())


def test_the_importance_of_a_tenant_goes_before_that_of_the_route() -> None:
    fixture = fixture_with_tenants(importance=Importance.SHEDDABLE)
    fixture.ask("/a/1", x_api_key=KEY)
    assert fixture.caller.requests[0].context.importance is Importance.CRITICAL
    fixture.configure(route("/a/"), Tenant("officers", TENANT.key_sha256))
    fixture.ask("/a/1", x_api_key=KEY)
    assert fixture.caller.requests[1].context.importance is Importance.NORMAL


@pytest.mark.parametrize("key", ["not-a-key", "x" * 8192, KEY + "7", KEY.upper(), "schlüssel"])
def test_an_unknown_key_is_refused_and_not_told_again(key: str) -> None:
    response = ask_raw(fixture_with_tenants(), (b"x-api-key", key.encode("latin-1")))
    assert response.status == 401
    assert key not in str(response)


def test_a_request_without_a_key_is_refused() -> None:
    fixture = fixture_with_tenants()
    assert fixture.ask("/a/1").status == 401
    assert ask_raw(fixture, (b"x-api-key", b"")).status == 401
    assert not fixture.caller.requests


def test_two_different_keys_are_none_and_the_same_twice_is_one() -> None:
    fixture = fixture_with_tenants()
    key = (b"x-api-key", KEY.encode())
    assert ask_raw(fixture, key, (b"x-api-key", b"other")).status == 401
    assert ask_raw(fixture, (b"x-api-key", b"other"), key).status == 401
    assert ask_raw(fixture, key, key).status == 200
    assert [name for name, _ in fixture.caller.requests[0].headers].count("finchshed-tenant") == 1


def test_a_public_route_needs_no_key() -> None:
    fixture = fixture_with_tenants()
    assert fixture.ask("/open/1", finchshed_tenant="forged").status == 200
    assert fixture.ask("/open/1", x_api_key="unknown", finchshed_tenant="forged").status == 200
    for request in fixture.caller.requests:
        names = {name for name, _ in request.headers}
        assert names.isdisjoint({"finchshed-tenant", "x-api-key"})


def test_a_call_of_the_own_back_end_needs_no_key_and_names_no_tenant() -> None:
    fixture = fixture_with_tenants()
    fixture.ask("/a/1", finchshed_request="r1", x_api_key=KEY)
    fixture.served.open(fixture.caller.requests[0].context, 1e12, "r1")
    assert fixture.ask("/a/2", finchshed_request="r1.x", finchshed_tenant="forged").status == 200
    assert "finchshed-tenant" not in forwarded_headers(fixture)
    assert fixture.caller.requests[-1].context.importance is Importance.CRITICAL


def test_a_call_for_a_request_that_is_over_is_to_come_back_and_is_not_denied() -> None:
    response = fixture_with_tenants().ask("/a/2", finchshed_request="r1.x")
    assert response.status == 503
    assert "retry-after" in dict(response.headers)


def test_without_tenants_the_headers_are_the_applications_own() -> None:
    fixture = HostFixture(route("/a/"))
    fixture.ask("/a/1", x_api_key=KEY)
    assert forwarded_headers(fixture)["x-api-key"] == KEY


def test_without_a_valid_lease_a_known_key_is_to_come_back() -> None:
    fixture = fixture_with_tenants()
    fixture.lease.seconds = 1e-9
    assert fixture.ask("/a/1", x_api_key=KEY).status == 503
    assert "retry-after" in dict(fixture.ask("/a/1", x_api_key=KEY).headers)
    assert fixture.ask("/a/1").status == 401
    assert fixture.ask("/open/1", x_api_key=KEY).status == 200
    assert "finchshed-tenant" not in forwarded_headers(fixture)


def test_what_was_taken_under_a_lease_goes_on_and_so_do_its_calls() -> None:
    fixture = fixture_with_tenants()

    def end_lease() -> None:
        fixture.lease.seconds = 1e-9

    assert fixture.ask("/a/1", then=end_lease, x_api_key=KEY).status == 200
    fixture.served.open(fixture.caller.requests[0].context, 1e12, "r1")
    assert fixture.ask("/a/2", finchshed_request="r1.x").status == 200


def test_an_unknown_key_is_denied_on_a_fresh_word_of_control_only() -> None:
    fixture = fixture_with_tenants()
    assert fixture.ask("/a/1", x_api_key="unknown").status == 401
    fixture = HostFixture(route("/a/"), TENANT, lease=KeyLease())
    assert fixture.ask("/a/1", x_api_key="unknown").status == 503
    assert fixture.ask("/a/1", x_api_key=KEY).status == 200


def test_a_request_above_its_tenants_limit_is_told_when_to_come_back() -> None:
    fixture = fixture_with_tenants()
    fixture.quotas.refusal = Refused(RefusalReason.QUOTA_EXCEEDED, 1.25)
    response = fixture.ask("/a/1", x_api_key=KEY)
    assert response.status == 429
    assert dict(response.headers)["retry-after"] == "1.250"
    assert not fixture.caller.requests


def test_a_request_that_did_not_run_gives_its_token_back() -> None:
    fixture = fixture_with_tenants()
    fixture.ask("/a/1", x_api_key=KEY)
    assert fixture.quotas.given_back == []
    fixture.caller.outcome = Refused(RefusalReason.OVERLOAD, 0.2)
    fixture.ask("/a/1", x_api_key=KEY)
    assert fixture.quotas.given_back == ["officers"]
    assert fixture.quotas.admitted == ["officers", "officers"]


def test_calls_and_requests_without_a_tenant_need_no_token() -> None:
    fixture = fixture_with_tenants()
    fixture.ask("/open/1")
    fixture.served.open(fixture.caller.requests[0].context, 1e12, "r1")
    fixture.ask("/a/2", finchshed_request="r1.x")
    fixture.ask("/a/2", finchshed_request="r1.x", x_api_key="unknown")
    assert [request.path for request in fixture.caller.requests] == ["/open/1", "/a/2", "/a/2"]
    assert not fixture.quotas.admitted


def test_a_request_that_waits_for_a_token_can_be_given_up() -> None:
    fixture = fixture_with_tenants()
    fixture.quotas.is_slow = True
    request = inbound("/a/1", x_api_key=KEY)
    admitted = fixture.handler.admit(request)
    assert isinstance(admitted, AdmittedHostRequest)
    responses: list[Response] = []
    give_up = fixture.handler.handle(request, admitted, responses.append)
    assert not responses
    give_up()
    assert not fixture.quotas.waiting


def test_time_spent_waiting_for_a_token_is_not_passed_on() -> None:
    fixture = fixture_with_tenants()
    fixture.quotas.is_slow = True
    request = inbound("/a/1", x_api_key=KEY, finchshed_deadline_ms="300")
    admitted = fixture.handler.admit(request)
    assert isinstance(admitted, AdmittedHostRequest)
    fixture.handler.handle(request, admitted, lambda _: None)
    time.sleep(0.05)
    fixture.quotas.waiting[0](None)
    assert fixture.caller.requests[0].context.remaining_seconds < 0.251


def test_within_a_tenants_class_requests_are_ordered_by_their_routes() -> None:
    routes = {name: route(f"/{name.lower()}/", importance=Importance[name]) for name in CLASSES}
    fixture = HostFixture(*routes.values(), TENANT)
    ranks = []
    for name in CLASSES:
        for number in range(20):
            fixture.ask(f"/{name.lower()}/1", finchshed_request=f"r{number}", x_api_key=KEY)
        ranks.append([rank_of(request.context) for request in fixture.caller.requests[-20:]])
    assert all(max(lower) < min(higher) for lower, higher in itertools.pairwise(ranks))
    assert all(len(set(found)) > 10 for found in ranks)


def test_a_call_has_the_rank_of_the_request_it_is_made_for() -> None:
    fixture = fixture_with_tenants()
    fixture.ask("/a/1", finchshed_request="r1", x_api_key=KEY)
    context = fixture.caller.requests[0].context
    fixture.served.open(context, 1e12, "r1")
    fixture.ask("/open/1", finchshed_request="r1.x")
    assert fixture.caller.requests[1].context.position == context.position >= 0
