"""Conversion of resources and change results to and from RPC messages."""

import pytest
from google.protobuf.message import DecodeError
from hypothesis import given, settings
from hypothesis import strategies as st

from finchshed.common.importance import Importance
from finchshed.configuration.changes import Accepted, ChangeResult, Conflict, Invalid
from finchshed.configuration.resources import (
    Destination,
    Endpoint,
    EndpointState,
    HostRoute,
    IngressLimits,
    Operator,
    Policy,
    Resource,
    Route,
    Service,
    Tenant,
)
from finchshed.rpc.change_results import result_from_message, result_to_message
from finchshed.rpc.conversion import (
    resource_from_message,
    resource_to_message,
    resources_from_messages,
)
from finchshed.rpc.generated import finchshed_pb2 as pb

RESOURCES: list[Resource] = [
    Service(
        name="sales",
        routes=(Route("/buy", Importance.HIGH, repeatable=False), Route("/", session=True)),
        deadline_seconds=1.5,
        max_body_bytes=77,
        max_sessions=3,
        session_idle_seconds=9.0,
        health_path="/up",
        max_connections=12,
    ),
    HostRoute(
        name="sales.example/buy/",
        host="sales.example",
        prefix="/buy/",
        destinations=(Destination("sales", 9.0), Destination("sales-new", 0.0)),
        importance=Importance.CRITICAL,
        repeatable=False,
        timeout_seconds=0.8,
        target_seconds=0.3,
        max_attempts=3,
        public=True,
    ),
    Tenant("officers", ("ab" * 32, "cd" * 32), Importance.SHEDDABLE, 20.0, 40.0),
    Tenant("counters"),
    IngressLimits(max_head_bytes=4096, max_body_bytes=0, head_seconds=3.0, idle_seconds=15.0),
    Endpoint(
        name="sales-1",
        service="sales",
        region="texas",
        zone="a",
        address="10.0.0.1:7000",
        slots=8,
        state=EndpointState.LEAVING,
        warm_up_seconds=0.0,
    ),
    Policy(retry_budget=0, retry_ratio=0.0, key_window_seconds=5.0, key_trust_seconds=4.5),
    Operator(name="ana", token_sha256="a" * 64),
]


@pytest.mark.parametrize("resource", RESOURCES, ids=lambda item: type(item).__name__)
def test_resource_round_trip(resource: Resource) -> None:
    problems: list[str] = []
    wire = resource_to_message(resource).SerializeToString()
    assert resource_from_message(pb.Resource.FromString(wire), problems) == resource
    assert problems == []


@pytest.mark.parametrize("result", [Accepted(3), Conflict(4, "w", "ana"), Invalid(("a", "b"))])
def test_change_result_round_trip(result: ChangeResult) -> None:
    assert result_from_message(result_to_message(result)) == result


def test_every_problem_of_a_message_is_reported() -> None:
    problems: list[str] = []
    route = pb.Route(prefix="no-slash", importance=9)
    service = pb.Service(name="BAD", routes=[route], deadline_seconds=-1.0)
    messages = [pb.Resource(service=service), pb.Resource()]
    assert resources_from_messages(messages, problems) == ()
    text = "\n".join(problems)
    for part in ("prefix", "importance = 9", "name = 'BAD'", "deadline_seconds", "no kind given"):
        assert part in text


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.binary(max_size=300))
def test_any_bytes_are_either_refused_or_checked(data: bytes) -> None:
    try:
        request = pb.ApplyRequest.FromString(data)
    except DecodeError:
        return
    problems: list[str] = []
    resources = resources_from_messages(request.puts, problems)
    assert len(resources) == len(request.puts) or problems


@pytest.mark.parametrize(
    "message",
    [
        pb.Resource(
            service=pb.Service(
                name="licences",
                routes=[pb.Route(prefix="", importance=1, repeatable=True)],
                deadline_seconds=1.0,
                max_body_bytes=1,
                session_idle_seconds=1.0,
            )
        ),
        pb.Resource(
            host_route=pb.HostRoute(
                name="a.example/",
                host="a.example",
                prefix="/",
                destinations=[pb.Destination(service="licences"), pb.Destination(service="")],
                importance=1,
                timeout_seconds=1.0,
                target_seconds=1.0,
                max_attempts=1,
            )
        ),
    ],
    ids=["route", "destination"],
)
def test_an_invalid_part_invalidates_the_whole_resource(message: pb.Resource) -> None:
    problems: list[str] = []
    assert resource_from_message(message, problems) is None
    assert len(problems) == 1
