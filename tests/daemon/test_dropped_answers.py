"""An answer that gave its memory to another one is never taken for a whole one."""

import asyncio
from unittest import mock

import pytest

from finchshed.common.memory_budget import HoldingKind, MemoryBudget
from finchshed.daemon.backend.answer_reader import AnswerReader
from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendBroken,
    BackendRequest,
    BackendResult,
)
from finchshed.daemon.backend.connection import BackendConnection
from finchshed.daemon.header_names import HeaderNames

MEMORY_BYTES = 400_000
BODY_BYTES = 300_000
HEAD = b"HTTP/1.1 200 OK\r\nfinchshed-request: r1\r\n"


def connection_awaiting_answer(memory: MemoryBudget, results: list[BackendResult]) -> object:
    """Return a connection on which a request was sent, whose result is added to ``results``."""
    connection = BackendConnection(
        1,
        AnswerReader(HeaderNames()),
        lambda _: None,
        lambda _: None,
        memory=memory,
        max_answer_bytes=1 << 20,
    )
    connection.connection_made(mock.Mock())
    request = BackendRequest("GET", "/", (), b"", 5.0, 1 << 20, request_id="r1")
    connection.send(b"", request, results.append)
    return connection


@pytest.mark.parametrize(
    "head", [HEAD + b"\r\n", HEAD + b"content-length: %d\r\n\r\n" % BODY_BYTES]
)
async def test_a_dropped_answer_whose_connection_ends_at_once_isnt_whole(head: bytes) -> None:
    memory = MemoryBudget(MEMORY_BYTES)
    results: list[BackendResult] = []
    connection = connection_awaiting_answer(memory, results)
    assert isinstance(connection, BackendConnection)
    connection.data_received(head + bytes(BODY_BYTES - 10))
    assert memory.open(HoldingKind.ONE_REQUEST, lambda: None).resize(BODY_BYTES - 20)
    connection.connection_lost(None)
    await asyncio.sleep(0)
    assert len(results) == 1
    assert isinstance(results[0], BackendBroken)


async def test_a_dropped_answer_takes_nothing_more() -> None:
    memory = MemoryBudget(MEMORY_BYTES)
    results: list[BackendResult] = []
    connection = connection_awaiting_answer(memory, results)
    assert isinstance(connection, BackendConnection)
    connection.data_received(HEAD + b"content-length: %d\r\n\r\n" % BODY_BYTES)
    connection.data_received(bytes(BODY_BYTES - 10))
    assert memory.open(HoldingKind.ONE_REQUEST, lambda: None).resize(BODY_BYTES - 20)
    connection.data_received(bytes(10))
    await asyncio.sleep(0)
    assert len(results) == 1
    assert not isinstance(results[0], BackendAnswer)
    assert memory.held == BODY_BYTES - 20
