"""A request that may run only once gets its own answer, though copies of others precede it."""

import asyncio

import pytest

from finchshed.daemon.backend.answer_parser import MAX_EXTRA_ANSWERS
from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendBroken,
    BackendRequest,
    BackendResult,
    BackendTimedOut,
)
from finchshed.daemon.backend.health import check_health
from finchshed.daemon.backend.http_client import HttpBackend
from tests.daemon.scripted_backend import Received, ScriptedBackend, answer

TIMEOUT_SECONDS = 5.0
SHORT_TIMEOUT_SECONDS = 0.3
MAX_ANSWER_BYTES = 1_000


def own(identity: str, body: bytes = b"own") -> bytes:
    return answer(body, finchshed_request=identity)


HEALTHY = answer(b"well")


async def healthy(_: Received, writer: asyncio.StreamWriter) -> None:
    writer.write(HEALTHY)


async def ask(
    client: HttpBackend,
    identity: str,
    *,
    is_repeatable: bool = False,
    timeout_seconds: float = TIMEOUT_SECONDS,
) -> BackendResult:
    ended: asyncio.Future[BackendResult] = asyncio.get_running_loop().create_future()
    headers = (("finchshed-request", identity),)
    request = BackendRequest(
        "POST",
        "/",
        headers,
        b"",
        timeout_seconds,
        MAX_ANSWER_BYTES,
        is_repeatable,
        request_id=identity,
    )
    client.send(request, ended.set_result)
    return await ended


async def second_result(
    data: bytes,
    *,
    is_repeatable: bool = False,
    pieces: int = 1,
    timeout_seconds: float = TIMEOUT_SECONDS,
) -> BackendResult:
    """Return the result of request r2, answered with ``data`` on a connection that carried r1.

    The connection has carried a health check as well. It is used again only if ``data`` is the
    answer to r2 and nothing else.
    """

    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        identity = received.headers["finchshed-request"]
        if identity != "r2":
            writer.write(own(identity))
            return
        size = -(-len(data) // pieces)
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await asyncio.sleep(0.001)

    async with ScriptedBackend(handler, healthy) as backend:
        client = HttpBackend(backend.address, 4, 1.0)
        await check_health(client)
        await ask(client, "r1")
        result = await ask(
            client, "r2", is_repeatable=is_repeatable, timeout_seconds=timeout_seconds
        )
        assert backend.connections == 1
        await ask(client, "r3")
        assert backend.connections == (1 if data == own("r2") else 2)
        await client.close()
    return result


@pytest.mark.parametrize("pieces", [1, 7, 500])
@pytest.mark.parametrize(
    "copies",
    [(), (own("r1"),), (own("r1"),) * MAX_EXTRA_ANSWERS, (HEALTHY,), (own("r1"), HEALTHY)],
    ids=["none", "one", "most", "health", "both"],
)
async def test_copies_before_the_own_answer_are_passed_over(
    copies: tuple[bytes, ...], pieces: int
) -> None:
    result = await second_result(b"".join(copies) + own("r2", b"own"), pieces=pieces)
    assert isinstance(result, BackendAnswer)
    assert (result.status, result.body) == (200, b"own")


async def test_a_copy_alone_is_never_the_answer() -> None:
    result = await second_result(own("r1"), timeout_seconds=SHORT_TIMEOUT_SECONDS)
    assert isinstance(result, BackendTimedOut)


NOT_PASSED_OVER = {
    "of an unknown request": own("r0"),
    "too many": own("r1") * (MAX_EXTRA_ANSWERS + 1),
    "without a length": b"HTTP/1.1 200 OK\r\nfinchshed-request: r1\r\n\r\n",
    "with two identities": (
        b"HTTP/1.1 200 OK\r\nfinchshed-request: r1\r\nfinchshed-request: r2\r\n"
        b"content-length: 0\r\n\r\n"
    ),
    "not an answer": b"\0\1\2\3",
}


@pytest.mark.parametrize("data", NOT_PASSED_OVER.values(), ids=NOT_PASSED_OVER)
async def test_anything_else_before_the_own_answer_ends_the_request(data: bytes) -> None:
    assert isinstance(await second_result(data + own("r2")), BackendBroken)


async def test_a_copy_above_the_limit_isnt_read_to_its_end() -> None:
    result = await second_result(own("r1", bytes(MAX_ANSWER_BYTES + 1)) + own("r2"))
    assert not isinstance(result, BackendAnswer)


async def test_a_repeatable_request_doesnt_wait_behind_a_copy() -> None:
    result = await second_result(own("r1") + own("r2"), is_repeatable=True)
    assert isinstance(result, BackendBroken)
