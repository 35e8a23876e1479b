"""Malformed input from peers, daemons and operators is rejected with typed errors."""

import asyncio
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchshed.common.errors import DeclarationError, ProtocolError
from finchshed.common.outcomes import Answered
from finchshed.configuration.declarations import read_declarations
from finchshed.configuration.resources import Service
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.messages import Append, Envelope, LeaderHeartbeat
from finchshed.control.background import BackgroundTasks as Background
from finchshed.control.daemons.ledger_room import LedgerRoom
from finchshed.control.daemons.ledger_service import LedgerService
from finchshed.control.raft.node_messages import PeerHello, PeerMessage, RaftMessage
from finchshed.distribution.messages import (
    ControlToDaemon,
    DaemonToControl,
    Delta,
    InForce,
    LedgerAnswer,
    LedgerBegin,
    LedgerCancel,
    LedgerComplete,
    Subscribe,
)
from finchshed.distribution.status import InForceReport, StatusTable, SubscriberStatus
from finchshed.ledger.ledger import Ledger
from finchshed.link.lines import LineProtocol, encode_line
from finchshed.rpc.conversion import (
    resource_from_message,
    resource_to_message,
    resources_from_messages,
)
from finchshed.rpc.generated import finchshed_pb2 as pb
from finchshed.storage.records import Entry
from tests.control.test_ledger_service import OneNodeLog
from tests.link.transport import MemoryTransport

LONGEST_LINE = 4_096
HERE = NodeIdentity("c1", "1")

VALID_LINES = [
    encode_line(message)
    for message in (
        Subscribe("edge", "1", "sales", "a", 3),
        InForce(7),
        LedgerBegin(1, "key", "attempt", "edge"),
        LedgerCancel(1, "key", "attempt"),
        LedgerComplete(1, "key", "attempt", Answered(200, (("a", "b"),), b"\x00body")),
        Delta(0, 3, (Service(name="s"),)),
        PeerHello("c1", "127.0.0.1:1"),
        RaftMessage(Envelope(HERE, HERE, LeaderHeartbeat(1, 2, 3))),
        RaftMessage(Envelope(HERE, HERE, Append(1, 0, 0, (Entry(1, 1, data=b"x"),), 0))),
        InForceReport("c1", 3, (SubscriberStatus("n", "e", "s", "z", 3),), True),
    )
]


def mutated(line: bytes, position: int, replacement: bytes) -> bytes:
    at = position % len(line)
    return line[:at] + replacement + line[at + 1 :]


mutated_lines = st.builds(
    mutated, st.sampled_from(VALID_LINES), st.integers(0, 500), st.binary(max_size=3)
)
streams = st.lists(st.one_of(st.binary(max_size=60), mutated_lines, st.sampled_from(VALID_LINES)))


@pytest.mark.parametrize("union", [DaemonToControl, ControlToDaemon, PeerMessage])
@settings(max_examples=300, deadline=None, derandomize=True)
@given(parts=streams, cut=st.integers(1, 200))
def test_a_stream_gives_typed_messages_until_one_protocol_error(
    union: Any, parts: list[bytes], cut: int
) -> None:
    received: list[msgspec.Struct] = []
    errors: list[Exception | None] = []
    link: LineProtocol[Any] = LineProtocol(
        union,
        lambda _, message: received.append(message),
        on_close=lambda _, error: errors.append(error),
        max_line_bytes=LONGEST_LINE,
    )
    transport = MemoryTransport()
    link.connection_made(transport)
    data = b"".join(parts)
    for start in range(0, len(data), cut):
        if not transport.closed:
            link.data_received(data[start : start + cut])
    link.connection_lost(None)
    assert [type(error) for error in errors] == [ProtocolError if transport.closed else type(None)]
    decoder = msgspec.json.Decoder(union)
    for message in received:
        assert decoder.decode(msgspec.json.encode(message)) == message


def test_a_line_without_end_is_refused_at_the_limit() -> None:
    errors: list[Exception | None] = []
    link: LineProtocol[Any] = LineProtocol(
        DaemonToControl,
        lambda *_: pytest.fail("no message was sent"),
        on_close=lambda _, error: errors.append(error),
        max_line_bytes=LONGEST_LINE,
    )
    transport = MemoryTransport()
    link.connection_made(transport)
    link.data_received(b"x" * LONGEST_LINE)
    assert not transport.closed
    link.data_received(b"x")
    assert transport.closed
    link.connection_lost(None)
    assert isinstance(errors[0], ProtocolError)


@pytest.mark.parametrize(
    "line",
    [
        b'{"type":"in_force","revision":-1}',
        b'{"type":"in_force","revision":9223372036854775808}',
        b'{"type":"ledger_begin","request":1,"key":"","attempt":"a","node":"n"}',
        b'{"type":"ledger_begin","request":1,"key":"k","attempt":"","node":"n"}',
        b'{"type":"ledger_cancel","request":1,"key":"k","attempt":"' + b"a" * 65 + b'"}',
    ],
)
def test_values_that_would_harm_others_are_no_messages(line: bytes) -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(line, type=DaemonToControl)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, (1 << 63) - 1), st.text(max_size=200))
def test_what_a_daemon_may_report_an_operator_may_read(revision: int, name: str) -> None:
    line = msgspec.json.encode(Subscribe(name, name, name, name, revision, name))
    told = msgspec.json.decode(line, type=DaemonToControl)
    assert isinstance(told, Subscribe)
    table = StatusTable(0.0)
    status = SubscriberStatus(told.node, told.endpoint, told.service, told.zone, told.revision)
    table.merge(InForceReport("c1", (1 << 63) - 1, (status,)), 1.0)
    for daemon in table.summary(2.0).behind:
        answer = pb.DaemonStatus(
            node=daemon.node, endpoint=daemon.endpoint, revision=daemon.revision
        )
        assert pb.DaemonStatus.FromString(answer.SerializeToString()) == answer


words = st.one_of(st.text(max_size=70), st.sampled_from(["s", "10.0.0.1:80", "/", "a" * 64]))
numbers = st.integers(-(1 << 63), (1 << 63) - 1)
floats = st.floats()
small = st.integers(-2, 9)
pb_routes = st.builds(pb.Route, prefix=words, importance=small, repeatable=st.booleans())
pb_resources = st.one_of(
    st.builds(
        lambda **fields: pb.Resource(service=pb.Service(**fields)),
        name=words,
        routes=st.lists(pb_routes, max_size=2),
        deadline_seconds=floats,
        max_body_bytes=numbers,
        max_sessions=numbers,
        session_idle_seconds=floats,
    ),
    st.builds(
        lambda **fields: pb.Resource(endpoint=pb.Endpoint(**fields)),
        name=words,
        service=words,
        region=words,
        zone=words,
        address=words,
        slots=numbers,
        state=small,
    ),
    st.builds(
        lambda **fields: pb.Resource(policy=pb.Policy(**fields)),
        name=words,
        retry_budget=numbers,
        retry_ratio=floats,
        key_window_seconds=floats,
    ),
    st.builds(
        lambda **fields: pb.Resource(operator=pb.Operator(**fields)),
        name=words,
        token_sha256=words,
    ),
    st.just(pb.Resource()),
)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(pb_resources)
def test_a_resource_with_any_values_is_told_its_problems_or_is_kept_as_it_is(
    message: pb.Resource,
) -> None:
    problems: list[str] = []
    resource = resource_from_message(message, problems)
    assert (resource is None) == bool(problems)
    if resource is not None:
        again: list[str] = []
        assert resource_from_message(resource_to_message(resource), again) == resource
        line = msgspec.json.encode(resource)
        assert msgspec.json.decode(line, type=type(resource)) == resource
    assert len(resources_from_messages([message, message], [])) in (0, 2)


toml_values = st.one_of(
    st.booleans(),
    st.integers(-5, 5),
    st.sampled_from(['"a"', '"BAD NAME"', '"/"', '"critical"', "[]", "{}", "nan", "[1, {a = 2}]"]),
)
toml_keys = st.sampled_from(
    ["name", "routes", "prefix", "importance", "state", "slots", "service", "address", "other"]
)
toml_headers = st.sampled_from(
    ["", "[service]", "[[service]]", "[[service.routes]]", "[[endpoint]]", "[policy]", "[other]"]
)
toml_lines = st.one_of(
    toml_headers,
    st.tuples(toml_keys, toml_values).map(lambda pair: f"{pair[0]} = {str(pair[1]).lower()}"),
    st.text(max_size=20),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(lines=st.lists(toml_lines, max_size=12))
def test_any_declaration_file_is_read_or_refused_with_its_name(
    tmp_path_factory: pytest.TempPathFactory, lines: list[str]
) -> None:
    folder = tmp_path_factory.mktemp("declarations", numbered=True)
    (folder / "it.toml").write_bytes("\n".join(lines).encode("utf-8", "surrogatepass"))
    problems: list[str] = []
    try:
        read_declarations(folder)
    except DeclarationError as error:
        problems = error.problems or ["no problem is named"]
    assert all(problem.startswith("it.toml: ") for problem in problems)


ledger_texts = st.one_of(st.text(min_size=1, max_size=64), st.sampled_from(["a", "b"]))
ledger_keys = st.one_of(ledger_texts, st.uuids(version=4).map(str), st.sampled_from(["a", "b"]))
answers = st.builds(
    Answered,
    status=st.integers(),
    headers=st.lists(st.tuples(st.text(max_size=5), st.text(max_size=5)), max_size=2).map(tuple),
    body=st.binary(max_size=50),
)
requests = st.one_of(
    st.builds(LedgerBegin, st.just(1), ledger_keys, ledger_texts, st.just("edge")),
    st.builds(LedgerCancel, st.just(1), ledger_keys, ledger_texts),
    st.builds(LedgerComplete, st.just(1), ledger_keys, ledger_texts, answers),
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(requests, max_size=8))
def test_every_ledger_request_gets_one_typed_answer(
    asked: list[LedgerBegin | LedgerCancel | LedgerComplete],
) -> None:
    async def run() -> None:
        service = LedgerService(
            OneNodeLog(), Background(pytest.fail), LedgerRoom(Ledger(), 1 << 30)
        )
        for request in asked:
            answer = await service.answer(request)
            assert isinstance(answer, LedgerAnswer)
            assert answer.request == request.request

    asyncio.run(run())
