"""Requests routed by host: route matching, headers, deadlines and refusals."""

import random
from collections.abc import Callable

import msgspec
import pytest

from finchshed.common.importance import Importance
from finchshed.common.outcomes import Answered, Outcome, RefusalReason, Refused
from finchshed.configuration.resources import (
    Destination,
    HostRoute,
    IngressLimits,
    Policy,
    Resource,
    Service,
    Tenant,
    host_route_name,
)
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.ingress.deferred_clients import DeferredClients
from finchshed.daemon.ingress.host_handler import HostRequestHandler
from finchshed.daemon.request import Request
from finchshed.daemon.serving.served_requests import ServedRequests
from finchshed.daemon.stopping import PlannedStop
from finchshed.http.message import InboundRequest, Response
from finchshed.runtime import clock
from finchshed.tenancy.keys import digest_of_key
from finchshed.tenancy.lease import KeyLease

NAMES = HeaderNames(call_separator=".")
HOST = "sales.example"


def route(prefix: str, service: str = "sales", **fields: object) -> HostRoute:
    return HostRoute(  # type: ignore[arg-type]
        host_route_name(HOST, prefix), HOST, prefix, (Destination(service),), **fields
    )


def confirmed_lease() -> KeyLease:
    """Return a lease that control has just renewed."""
    lease = KeyLease()
    lease.on_answer(lease.start_renewal(clock.now()), 0)
    return lease


class FakeCaller:
    """Records requests and answers each immediately."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.outcome: Outcome = Answered(200, (), b"whole")

    def call(
        self,
        request: Request,
        account: str,
        join_identity: str,
        on_outcome: Callable[[Outcome], None],
    ) -> Callable[[], None]:
        self.requests.append(request)
        on_outcome(self.outcome)
        return lambda: None


class FakeQuotas:
    """Admits requests, refuses them with ``refusal``, or queues them if ``is_slow``."""

    def __init__(self) -> None:
        self.refusal: Refused | None = None
        self.is_slow = False
        self.waiting: list[Callable[[Refused | None], None]] = []
        self.admitted: list[str] = []
        self.given_back: list[str] = []

    def admit(
        self, tenant: str, on_decided: Callable[[Refused | None], None]
    ) -> Callable[[], None]:
        self.admitted.append(tenant)
        if self.is_slow:
            self.waiting.append(on_decided)
            return lambda: self.waiting.remove(on_decided)
        on_decided(self.refusal)
        return lambda: None

    def refund(self, tenant: str) -> None:
        self.given_back.append(tenant)


class HostFixture:
    """A host request handler with a fake caller and fake quotas."""

    def __init__(self, *resources: Resource, lease: KeyLease | None = None) -> None:
        self.caller = FakeCaller()
        self.served = ServedRequests()
        self.quotas = FakeQuotas()
        self.lease = confirmed_lease() if lease is None else lease
        self.reason: RefusalReason | None = None
        self.completion = 1.0
        self.stop = PlannedStop()
        self.handler = HostRequestHandler(
            self.caller,  # type: ignore[arg-type]
            self.served,
            NAMES,
            random.Random(1),
            lease=self.lease,
            quotas=self.quotas,  # type: ignore[arg-type]
            deferred=DeferredClients(
                lambda _service, _route, _now: self.completion, lambda _: 0.1, random.Random(2)
            ),
            own_service=lambda: "ledger",
            not_ready_reason=lambda: self.reason,
            stop=self.stop,
            own_share=lambda _: 0.0,
        )
        self.configure(*resources)

    def configure(self, *resources: Resource) -> None:
        self.handler.configure(Catalogue((Service("sales"), Service("ledger"), *resources), 3))

    def ask(self, target: str, then: Callable[[], None] = lambda: None, **headers: str) -> Response:
        """Send a request; ``then`` is called after its head was admitted, before it is handled."""
        request = inbound(target, **headers)
        admitted = self.handler.admit(request)
        if isinstance(admitted, Refused):
            return self.handler.refusal_response(admitted)
        then()
        responses: list[Response] = []
        self.handler.handle(request, admitted, responses.append)
        return responses[0]


def inbound(target: str, **headers: str) -> InboundRequest:
    sent = {"host": HOST, "finchshed-request": "r1", "finchshed-deadline-ms": "900"}
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    raw = [(name.encode(), value.encode()) for name, value in sent.items() if value]
    return InboundRequest("127.0.0.1", "GET", target, raw, dict(raw))


def test_the_longest_prefix_of_the_host_counts() -> None:
    fixture = HostFixture(route("/a/"), route("/a/b/", "ledger"))
    assert fixture.ask("/a/b/c?x=/a/").status == 200
    assert fixture.ask("/a/c", host="SALES.example:80").status == 200
    assert [request.service for request in fixture.caller.requests] == ["ledger", "sales"]
    assert fixture.ask("/ab/").status == 404
    assert fixture.ask("/a/", host="other.example").status == 404


def test_a_route_that_goes_while_a_body_comes_in_still_answers_the_request() -> None:
    fixture = HostFixture(route("/a/"))
    response = fixture.ask("/a/1", then=lambda: fixture.configure(route("/b/")))
    assert response.status == 200
    assert fixture.caller.requests[0].service == "sales"
    assert fixture.ask("/a/1").status == 404


@pytest.mark.parametrize(
    ("deadline_ms", "max_remaining"), [("900", 0.5), ("200", 0.2), ("0", 0.0), ("x", 0.5)]
)
def test_the_time_left_is_the_smaller_of_the_callers_and_the_routes(
    deadline_ms: str, max_remaining: float
) -> None:
    fixture = HostFixture(route("/a/", timeout_seconds=0.5))
    fixture.ask("/a/1", finchshed_deadline_ms=deadline_ms)
    remaining = fixture.caller.requests[0].context.remaining_seconds
    assert max_remaining - 0.1 <= remaining <= max_remaining


def test_a_call_inherits_from_the_request_it_is_made_for() -> None:
    fixture = HostFixture(route("/a/", importance=Importance.CRITICAL), route("/c/"))
    fixture.ask("/a/1", finchshed_request="r1")
    parent = fixture.caller.requests[0].context
    fixture.served.open(parent, 1e12, "r1")
    fixture.ask("/c/1", finchshed_request="r1.x")
    fixture.ask("/c/1", finchshed_request="r9.x")
    call, unrelated = (request.context for request in fixture.caller.requests[1:])
    assert (call.root, call.importance, call.is_call) == ("r1", Importance.CRITICAL, True)
    assert (unrelated.root, unrelated.importance, unrelated.is_call) == (
        "r9.x",
        Importance.NORMAL,
        False,
    )


def test_a_call_inherits_what_remains_and_whether_its_execution_is_repeated() -> None:
    fixture = HostFixture(route("/a/"), route("/c/"))
    fixture.ask("/a/1", finchshed_request="r1")
    parent = msgspec.structs.replace(
        fixture.caller.requests[0].context, remaining_calls=2, repeated=True
    )
    fixture.served.open(parent, 1e12, "r1")
    fixture.ask("/c/1", finchshed_request="r1.x")
    fixture.ask("/c/1", finchshed_request="r9.x")
    call, unrelated = (request.context for request in fixture.caller.requests[1:])
    assert (call.remaining_calls, call.repeated) == (2, True)
    assert (unrelated.remaining_calls, unrelated.repeated) == (0, False)


@pytest.mark.parametrize(("fair_shares", "caller"), [(False, ""), (True, "officers")])
def test_requests_carry_their_tenant_as_caller_with_fair_shares(
    fair_shares: bool, caller: str
) -> None:
    tenant = Tenant("officers", (digest_of_key(b"k"),), importance=Importance.HIGH)
    policy = Policy(fair_shares=fair_shares)
    fixture = HostFixture(route("/a/"), route("/public/", public=True), tenant, policy)
    fixture.ask("/a/1", x_api_key="k")
    parent = fixture.caller.requests[0].context
    assert parent.caller == caller
    # Evenly spread with fair shares, as the excess of a caller is shed by position.
    assert (parent.position == -1) is fair_shares
    fixture.served.open(parent, 1e12, "r1")
    fixture.ask("/a/1", finchshed_request="r1.x")
    call = fixture.caller.requests[1].context
    assert (call.caller, call.is_call) == (caller, True)
    fixture.ask("/public/1", finchshed_request="r2")
    assert fixture.caller.requests[2].context.caller == ""


def test_headers_that_daemons_set_are_set_whatever_was_sent() -> None:
    fixture = HostFixture(route("/a/"))
    fixture.ask(
        "/a/1",
        finchshed_caller_service="forged",
        finchshed_expect_instance="i-9",
        x_other="kept",
        connection="x-hop, keep-alive",
        x_hop="dropped",
    )
    headers = fixture.caller.requests[0].headers
    assert headers == (
        ("host", HOST),
        ("x-other", "kept"),
        ("finchshed-caller-service", "ledger"),
    )


def test_refusals_say_when_to_come_back_and_failures_do_not() -> None:
    fixture = HostFixture(route("/a/"), IngressLimits(max_body_bytes=10))
    fixture.reason = RefusalReason.NO_CONFIGURATION
    refused = fixture.ask("/a/1")
    assert refused.status == 503
    assert float(dict(refused.headers)["retry-after"]) > 0.0
    fixture.reason = None
    assert fixture.ask("/a/1", finchshed_request="").status == 400
    too_large = fixture.handler.make_refusal(RefusalReason.REQUEST_TOO_LARGE, "limit: 10 bytes")
    assert fixture.handler.refusal_response(too_large).status == 413
    assert fixture.handler.malformed_response("limit of the head: 10 bytes", 431).status == 431
    fixture.caller.outcome = Answered(500, (("finchshed-downstream", "1"), ("x", "y")), b"")
    assert fixture.ask("/a/1").headers == (("x", "y"),)


def test_request_that_may_run_once_is_deferred_while_its_path_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that are lost because they run while their calls are refused."""
    now = 100.0
    monkeypatch.setattr(clock, "now", lambda: now)
    fixture = HostFixture(
        Policy(defers_unrepeatable=True),
        route("/buy/", repeatable=False, target_seconds=2.0),
        route("/look/"),
    )
    fixture.completion = 0.01
    response = fixture.ask("/buy/1", finchshed_deadline_ms="5000")
    assert response.status == 503
    headers = dict(response.headers)
    retry_after = float(headers["retry-after"])
    assert 0.5 < retry_after <= 5.0 / 3
    assert fixture.ask("/look/1").status == 200
    now += retry_after
    left_ms = round(1000 * (5.0 - retry_after))
    assert fixture.ask("/buy/1", finchshed_deadline_ms=str(left_ms)).status == 200
    fixture.completion = 1.0
    assert fixture.ask("/buy/2", finchshed_deadline_ms="9000").status == 200


def test_nothing_is_deferred_unless_the_policy_asks() -> None:
    fixture = HostFixture(route("/buy/", repeatable=False, target_seconds=2.0))
    fixture.completion = 0.0
    assert fixture.ask("/buy/1", finchshed_deadline_ms="5000").status == 200


def test_a_stopping_daemon_takes_only_what_it_has_time_for() -> None:
    fixture = HostFixture(route("/", timeout_seconds=0.8))
    fixture.ask("/a", finchshed_request="r1")
    fixture.served.open(fixture.caller.requests.pop().context, 1e12, "r1")
    fixture.stop.begin(clock.now() - 4.0, 2.0, 2.5)
    refused = fixture.ask("/a", finchshed_request="r2")
    assert refused.status == 503
    assert 0.0 < float(dict(refused.headers)["retry-after"]) <= 0.5
    assert fixture.caller.requests == []
    assert fixture.ask("/a", finchshed_request="r2", finchshed_deadline_ms="300").status == 200
    # A call of a request that was taken before goes on.
    assert fixture.ask("/a", finchshed_request="r1.x").status == 200
    assert fixture.ask("/a", finchshed_request="r9.x").status == 503


def test_a_request_whose_body_comes_too_late_is_not_sent() -> None:
    fixture = HostFixture(route("/", timeout_seconds=0.8))
    response = fixture.ask("/a", lambda: fixture.stop.begin(clock.now() - 2.1, 2.0, 0.5))
    assert response.status == 503
    assert fixture.caller.requests == []
