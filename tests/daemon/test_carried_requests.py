"""No connection carries a request twice, and what is remembered for it has a bound."""

import asyncio

import pytest

from finchshed.daemon.backend import carried_requests
from finchshed.daemon.backend.client import BackendAnswer
from finchshed.daemon.backend.http_client import HttpBackend
from tests.daemon.scripted_backend import Received, ScriptedBackend, answer, healthy
from tests.daemon.test_refused_but_ran import IDENTITY, ask, refusal


async def refuse(received: Received, writer: asyncio.StreamWriter) -> None:
    writer.write(refusal(received.headers[IDENTITY]))


async def serve(received: Received, writer: asyncio.StreamWriter) -> None:
    identity = received.headers[IDENTITY]
    writer.write(answer(b"done", finchshed_request=identity))


async def test_a_request_that_comes_again_uses_another_connection() -> None:
    async with ScriptedBackend(refuse, healthy) as backend:
        client = HttpBackend(backend.address, 4, 1.0)
        uses = []
        for identity in ("r1", "r2", "r1", "r2", "r3"):
            result = await ask(client, identity)
            assert isinstance(result, BackendAnswer)
            assert result.use is not None
            uses.append((identity, result.use.connection))
        await client.close()
        assert len(set(uses)) == len(uses)
        assert backend.connections == 2


async def test_a_request_that_all_connections_carried_gets_one_at_the_pools_bound() -> None:
    async with ScriptedBackend(refuse, healthy) as backend:
        client = HttpBackend(backend.address, 1, 1.0)
        results = [await ask(client, "r1") for _ in range(5)]
        assert all(isinstance(result, BackendAnswer) for result in results)
        assert client.connections <= 1
        await client.close()
        assert backend.connections == len(results)


async def test_a_connection_ends_after_a_bounded_number_of_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(carried_requests, "MAX_REQUESTS", 10)
    async with ScriptedBackend(serve, healthy) as backend:
        client = HttpBackend(backend.address, 4, 1.0)
        for number in range(30):
            assert isinstance(await ask(client, f"r{number}"), BackendAnswer)
        await client.close()
        assert backend.connections == 3
