"""Answers delimited by the end of their connection are forwarded the same way."""

import asyncio
import socket
import struct

from finchshed.common.outcomes import Answered
from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendBroken,
    BackendRequest,
    BackendResult,
)
from finchshed.daemon.backend.http_client import HttpBackend
from finchshed.daemon.backend.request import outcome_from_result
from finchshed.http.message import Response, encode_response
from tests.daemon.scripted_backend import Received, ScriptedBackend, healthy

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``struct linger`` with zero timeout: closing sends a reset (socket(7))."""

HEAD = b"HTTP/1.1 200 OK\r\nfinchshed-request: r1\r\nX-Part: one\r\n\r\n"


async def result_of(*, is_reset: bool) -> BackendResult:
    """Return the result of an answer without length whose connection is closed or reset."""

    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + b"half of the body")
        await writer.drain()
        if is_reset:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await asyncio.sleep(0.05)
        writer.transport.abort()

    async with ScriptedBackend(handler, healthy) as backend:
        client = HttpBackend(backend.address, 4, 1.0)
        ended: asyncio.Future[BackendResult] = asyncio.get_running_loop().create_future()
        request = BackendRequest("GET", "/", (), b"", 2.0, 1000, request_id="r1")
        client.send(request, ended.set_result)
        result = await ended
        await client.close()
        return result


async def test_an_answer_without_length_is_told_as_such_on_every_hop() -> None:
    result = await result_of(is_reset=False)
    assert isinstance(result, BackendAnswer)
    assert not result.has_length
    outcome = outcome_from_result(result, 0.0)
    assert isinstance(outcome, Answered)
    assert not outcome.has_length


async def test_reset_answer_without_length_is_broken() -> None:
    result = await result_of(is_reset=True)
    assert isinstance(result, BackendBroken)


def test_a_response_without_length_claims_none() -> None:
    framed = encode_response(Response(200, (), b"body"), is_head=False, closes=False)
    assert b"content-length: 4" in framed
    bare = Response(200, (), b"body", has_length=False)
    unframed = encode_response(bare, is_head=False, closes=True)
    assert b"content-length" not in unframed
    assert unframed.endswith(b"connection: close\r\n\r\nbody")
