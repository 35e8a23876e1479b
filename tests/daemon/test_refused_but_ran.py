"""Guards against a request that is answered as not run although the back end runs it.

A back end sends copies of earlier answers: the copy of a refusal counted as the answer to a later
sending of the same request.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendBroken,
    BackendRequest,
    BackendResult,
)
from finchshed.daemon.backend.health import check_health
from finchshed.daemon.backend.http_client import HttpBackend
from tests.daemon.scripted_backend import Received, ScriptedBackend, answer, healthy

TIMEOUT_SECONDS = 2.0
WORK_SECONDS = 0.02
MAX_CONNECTIONS = 4
IDENTITY = "finchshed-request"
PROMISING_STATUSES = (408, 421, 429, 503)


def refusal(identity: str, status: int = 503) -> bytes:
    return answer(b"", status, finchshed_request=identity, finchshed_not_run="1")


@dataclass
class DuplicatingServer:
    """Refuses the first sending of each request whose path begins with ``/busy``.

    ``copies`` are written when the next request has come in, before it is run.
    """

    status: int = 503
    copies: list[bytes] = field(default_factory=list)
    held_for: int = 1
    """A copy is sent once this many requests have followed on its connection."""

    started: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    requests: int = 0
    due: list[tuple[int, asyncio.StreamWriter, bytes]] = field(default_factory=list)

    async def __call__(self, received: Received, writer: asyncio.StreamWriter) -> None:
        identity = received.headers[IDENTITY]
        self.requests += 1
        for at, connection, data in list(self.due):
            if connection is writer and at <= self.requests:
                self.due.remove((at, connection, data))
                writer.write(data)
        if received.path.startswith("/busy") and identity not in self.refused:
            self.refused.add(identity)
            data = refusal(identity, self.status)
            self.due.append((self.requests + self.held_for, writer, data))
        else:
            self.started.append(identity)
            await asyncio.sleep(WORK_SECONDS)
            data = answer(identity.encode(), finchshed_request=identity)
        writer.write(data)


async def ask(client: HttpBackend, identity: str, path: str = "/", **changed: str) -> BackendResult:
    """Send a request that may run only once."""
    ended: asyncio.Future[BackendResult] = asyncio.get_running_loop().create_future()
    headers = ((IDENTITY, identity),) if identity else ()
    request = BackendRequest(
        "POST",
        path,
        headers,
        b"order",
        TIMEOUT_SECONDS,
        100_000,
        is_repeatable=False,
        request_id=identity,
        **changed,
    )
    client.send(request, ended.set_result)
    return await ended


@asynccontextmanager
async def client_of(
    handler: Callable[[Received, asyncio.StreamWriter], object], health: object = healthy
) -> AsyncIterator[HttpBackend]:
    async with ScriptedBackend(handler, health) as backend:  # type: ignore[arg-type]
        client = HttpBackend(backend.address, MAX_CONNECTIONS, 1.0)
        yield client
        await client.close()


def is_refused(result: BackendResult) -> bool:
    return isinstance(result, BackendAnswer) and not result.ran


@pytest.mark.parametrize("status", PROMISING_STATUSES)
@pytest.mark.parametrize("between", [0, 1, 5])
async def test_a_request_that_came_again_isnt_refused_by_a_copy_of_its_first_refusal(
    between: int, status: int
) -> None:
    server = DuplicatingServer(status, held_for=between + 1)
    async with client_of(server) as client:
        assert is_refused(await ask(client, "r1", "/busy"))
        for number in range(between):
            assert isinstance(await ask(client, f"other-{number}"), BackendAnswer)
        again = await ask(client, "r1", "/busy")
    assert "r1" in server.started
    assert not is_refused(again)


async def test_requests_that_come_again_at_the_same_time_arent_refused_by_copies() -> None:
    server = DuplicatingServer()
    names = [f"r{number}" for number in range(MAX_CONNECTIONS)]
    async with client_of(server) as client:
        first = await asyncio.gather(*(ask(client, name, "/busy") for name in names))
        assert all(is_refused(result) for result in first)
        again = await asyncio.gather(*(ask(client, name, "/busy") for name in names))
    for name, result in zip(names, again, strict=True):
        assert not (name in server.started and is_refused(result))


async def answered_with(data: bytes) -> BackendResult:
    """Return the result of a request that is answered with ``data``."""

    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(data)

    async with client_of(handler) as client:
        return await ask(client, "r1")


UNPROVEN = {
    "no identity": answer(b"", 503, finchshed_not_run="1"),
    "another identity": refusal("r2"),
    "two identities": (
        b"HTTP/1.1 503 Busy\r\nfinchshed-request: r2\r\nfinchshed-request: r1\r\n"
        b"finchshed-not-run: 1\r\ncontent-length: 0\r\n\r\n"
    ),
    "mark in a trailer": (
        b"HTTP/1.1 503 Busy\r\nfinchshed-request: r1\r\ntransfer-encoding: chunked\r\n\r\n"
        b"4\r\nbusy\r\n0\r\nfinchshed-not-run: 1\r\n\r\n"
    ),
    "identity in a trailer": (
        b"HTTP/1.1 503 Busy\r\nfinchshed-not-run: 1\r\ntransfer-encoding: chunked\r\n\r\n"
        b"4\r\nbusy\r\n0\r\nfinchshed-request: r1\r\n\r\n"
    ),
    "mark in an interim answer": (
        b"HTTP/1.1 102 Processing\r\nfinchshed-not-run: 1\r\n\r\n"
        + answer(b"", 503, finchshed_request="r1")
    ),
    "mark in the body": answer(b"finchshed-not-run: 1\r\n", 503, finchshed_request="r1"),
    "mark beside a success": answer(b"done", 200, finchshed_request="r1", finchshed_not_run="1"),
}


@pytest.mark.parametrize("data", UNPROVEN.values(), ids=UNPROVEN)
async def test_an_answer_without_proof_doesnt_count_as_a_refusal(data: bytes) -> None:
    assert not is_refused(await answered_with(data))


async def test_a_refusal_with_proof_counts_as_one() -> None:
    assert is_refused(await answered_with(refusal("r1")))


async def test_a_copy_of_a_health_checks_answer_isnt_taken_for_an_answer() -> None:
    copies: list[bytes] = []

    async def busy(_: Received, writer: asyncio.StreamWriter) -> None:
        copies.append(answer(b"", 503, finchshed_not_run="1"))
        writer.write(copies[0])

    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        if copies:
            writer.write(copies.pop())
        await asyncio.sleep(WORK_SECONDS)
        writer.write(answer(b"done", finchshed_request=received.headers[IDENTITY]))

    async with client_of(handler, busy) as client:
        await check_health(client)
        assert copies
        result = await ask(client, "r1")
    assert not is_refused(result)


async def test_a_copy_of_a_requests_answer_isnt_taken_for_a_health_checks() -> None:
    copies: list[bytes] = []

    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        copies.append(answer(b"", finchshed_request="r1", finchshed_draining="1"))
        writer.write(copies[0])

    async def health(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(copies.pop())

    async with client_of(handler, health) as client:
        await ask(client, "r1")
        checked = await check_health(client)
    assert isinstance(checked, BackendBroken)


async def test_a_refusal_that_names_no_account_isnt_taken_for_a_later_sendings() -> None:
    refused = answer(b"", 503, finchshed_ran="no")
    refused_on: list[asyncio.StreamWriter] = []

    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        if not refused_on:
            refused_on.append(writer)
            writer.write(refused)
            return
        if writer in refused_on:
            writer.write(refused)
        await asyncio.sleep(WORK_SECONDS)
        writer.write(answer(b"done"))

    async with client_of(handler) as client:
        assert is_refused(await ask(client, "", account="a1"))
        assert not is_refused(await ask(client, "", account="a2"))


async def test_a_health_checks_answer_may_give_back_an_empty_identity() -> None:
    async def health(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(b"well", finchshed_request="", finchshed_account=""))

    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(b"", finchshed_request=""))

    async with client_of(handler, health) as client:
        assert isinstance(await check_health(client), BackendAnswer)
        assert not isinstance(await ask(client, "r1"), BackendAnswer)
