"""Selection of a session's endpoint: an answered pin takes precedence over the client's claim."""

import random

import msgspec

from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Answered, RefusalReason, Refused
from finchshed.configuration.resources import Endpoint
from finchshed.daemon.calling.session_pins import SessionPins, with_session_endpoint
from finchshed.daemon.request import Request
from finchshed.routing.table import RoutingTable

SERVED = Answered(200, (), b"part")


def table() -> RoutingTable:
    routes = RoutingTable("z", "r", random.Random(1), owner="edge")
    routes.replace(
        Endpoint(name=name, service=service, region="r", zone="z", address="127.0.0.1:1", slots=1)
        for name, service in (("a", "chart"), ("b", "chart"), ("c", "other"))
    )
    return routes


def request(place: str = "", *, in_session: bool = True, session: str = "s") -> Request:
    return Request(
        service="chart",
        method="GET",
        path="/",
        headers=(),
        body=b"",
        context=CallContext("r", Importance.NORMAL, 1.0, session=session),
        in_session=in_session,
        session_at=place,
    )


def test_claimed_endpoint_is_used_without_a_pin() -> None:
    assert SessionPins().pinned_endpoint(request("b"), table(), 0.0) == "b"


def test_claims_are_ignored_unless_they_name_a_usable_endpoint_of_the_service() -> None:
    routes, pins = table(), SessionPins()
    for place in ("", "c", "unknown", "a,b", "A", "a ", "\x00", "x" * 10_000):
        assert pins.pinned_endpoint(request(place), routes, 0.0) == ""
    assert pins.pinned_endpoint(request("a", in_session=False), routes, 0.0) == ""
    assert pins.pinned_endpoint(request("a", session=""), routes, 0.0) == ""
    routes.on_link_down("a", 0.0)
    assert pins.pinned_endpoint(request("a"), routes, 0.0) == ""


def test_answered_pin_takes_precedence_over_a_claim() -> None:
    pins = SessionPins()
    pins.on_request_sent(request(), "a", 10.0, 0.0)
    pins.on_request_ended(request(), "a", SERVED, 1.0)
    assert pins.pinned_endpoint(request("b"), table(), 1.0) == "a"


def test_claim_takes_precedence_over_a_pin_whose_request_was_refused() -> None:
    pins = SessionPins()
    pins.on_request_sent(request(), "a", 10.0, 0.0)
    pins.on_request_ended(request(), "a", Refused(RefusalReason.OVERLOAD, 0.1), 1.0)
    assert pins.pinned_endpoint(request(), table(), 1.0) == "a"
    assert pins.pinned_endpoint(request("b"), table(), 1.0) == "b"
    pins.on_request_ended(request("b"), "b", SERVED, 2.0)
    assert pins.pinned_endpoint(request(), table(), 2.0) == "b"


def test_answer_names_the_endpoint_regardless_of_the_back_ends_header() -> None:
    forged = msgspec.structs.replace(SERVED, headers=(("finchshed-session-at", "z"), ("etag", "1")))
    response = with_session_endpoint(request(), "a", forged)
    assert isinstance(response, Answered)
    assert response.headers == (("etag", "1"), ("finchshed-session-at", "a"))
    assert with_session_endpoint(request(in_session=False), "a", SERVED) == SERVED
    refused = Refused(RefusalReason.OVERLOAD, 0.1)
    assert with_session_endpoint(request(), "a", refused) == refused
