"""Guards against one answer in tiny chunks that holds up everything else on the event loop."""

import asyncio
from unittest.mock import Mock

from finchshed.common.memory_budget import MemoryBudget
from finchshed.daemon.backend.answer_reader import AnswerReader
from finchshed.daemon.backend.client import BackendAnswer, BackendRequest, BackendResult
from finchshed.daemon.backend.connection import MAX_BYTES_AT_ONCE, BackendConnection
from finchshed.daemon.header_names import HeaderNames
from tests.daemon.deployment import eventually

CHUNKS = 40_000
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


def waiting_connection(results: list[BackendResult]) -> tuple[BackendConnection, Mock]:
    """Return a connection that waits for an answer, and its transport."""
    connection = BackendConnection(
        1,
        AnswerReader(HeaderNames()),
        lambda one: None,
        lambda one: None,
        memory=MemoryBudget(1 << 30),
        max_answer_bytes=1 << 20,
    )
    transport = Mock()
    connection.connection_made(transport)
    request = BackendRequest("GET", "/", (), b"", timeout_seconds=6.0, max_answer_bytes=1 << 20)
    connection.send(b"", request, results.append)
    return connection, transport


async def test_an_answer_in_tiny_chunks_leaves_others_their_turn() -> None:
    results: list[BackendResult] = []
    connection, transport = waiting_connection(results)
    received = HEAD + b"2\r\nxx\r\n" * CHUNKS + b"0\r\n\r\n"
    connection.data_received(received)
    assert transport.pause_reading.called
    turns = 0
    while not results:
        await asyncio.sleep(0)
        turns += 1
    assert turns >= len(received) // MAX_BYTES_AT_ONCE
    assert transport.resume_reading.called
    assert isinstance(results[0], BackendAnswer)
    assert results[0].body == b"xx" * CHUNKS


async def test_bytes_behind_such_an_answer_close_its_connection() -> None:
    results: list[BackendResult] = []
    connection, transport = waiting_connection(results)
    connection.data_received(HEAD + b"2\r\nxx\r\n" * CHUNKS + b"0\r\n\r\nHTTP/1.1 200 OK\r\n")
    await eventually(lambda: results)
    assert isinstance(results[0], BackendAnswer)
    assert transport.abort.called
