"""A session continues through an edge that has no pin for it, by the endpoint its client names."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import msgspec
import pytest

from finchshed.common.context import HEADER_SESSION_AT
from tests.daemon.deployment import SERVICE_DECLARATION, Answer, Deployment, deployment
from tests.daemon.processes import DaemonProcess
from tests.daemon.scripted_backend import Received, answer

SERVICE_SECONDS = 0.03
OVERLOAD_CALLERS = 240
SESSIONS = ("s1", "s2", "s3", "s4")
PARTS = 6
PATH = "/session/chart"
LONG_IDLE = msgspec.structs.replace(SERVICE_DECLARATION, session_idle_seconds=60.0)
"""Avoids expiry under load, when more than a second may pass between requests of a session."""


async def slow(_: Received, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(SERVICE_SECONDS)
    writer.write(answer(b"part"))


@asynccontextmanager
async def second_edge(system: Deployment) -> AsyncIterator[DaemonProcess]:
    edge = DaemonProcess(node="edge-2", control_address=system.control.address)
    async with edge:
        yield edge


@asynccontextmanager
async def overload(system: Deployment) -> AsyncIterator[list[Answer]]:
    """Send requests without a session from many concurrent callers, until some are refused."""
    responses: list[Answer] = []
    was_shed = asyncio.Event()

    async def caller(load: Deployment, number: int) -> None:
        while True:
            response = await load.ask(f"/look/{number}", finchshed_deadline_ms="1500")
            responses.append(response)
            if response.reason == "overload":
                was_shed.set()
                await asyncio.sleep(SERVICE_SECONDS)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        load = Deployment(system.control, system.backends, system.daemons, system.edge, session)
        callers = [
            asyncio.ensure_future(caller(load, number)) for number in range(OVERLOAD_CALLERS)
        ]
        try:
            await asyncio.wait_for(was_shed.wait(), 20.0)
            yield responses
        finally:
            for running in callers:
                running.cancel()
            await asyncio.gather(*callers, return_exceptions=True)


async def test_a_running_session_is_not_shed_at_another_edge() -> None:
    system_of_three = deployment(*[slow] * 3, retry_budget=0, service=LONG_IDLE)
    async with system_of_three as system, second_edge(system) as other:
        endpoints = {}
        for session in SESSIONS:
            opened = await system.ask(PATH, finchshed_session=session)
            assert opened.status == 200
            endpoints[session] = opened.headers.get(HEADER_SESSION_AT, "")
        async with overload(system) as load:
            responses = [
                await system.ask(
                    PATH, edge=other, finchshed_session=session, finchshed_session_at=endpoint
                )
                for _ in range(PARTS)
                for session, endpoint in endpoints.items()
            ]
    assert [(response.status, response.reason) for response in responses] == [
        (200, "")
    ] * PARTS * len(SESSIONS)
    assert [response.headers.get(HEADER_SESSION_AT) for response in responses] == [
        *endpoints.values()
    ] * PARTS
    assert any(response.reason == "overload" for response in load)


async def test_a_session_that_never_ran_gains_nothing_by_claiming_a_place() -> None:
    async with deployment(slow, retry_budget=0) as system, overload(system):
        responses = [
            await system.ask(
                PATH, finchshed_session=f"false-{number}", finchshed_session_at="licence-1"
            )
            for number in range(60)
        ]
    refused = [response for response in responses if response.status != 200]
    assert refused
    assert {response.ran for response in refused} == {"no"}


@pytest.mark.parametrize(
    "endpoint", ["", "none", "edge", " ", "licence-1,licence-2", "\xff", "x" * 4000]
)
async def test_a_place_that_means_nothing_is_ignored(endpoint: str) -> None:
    async with deployment(slow) as system:
        response = await system.ask(PATH, finchshed_session="s1", finchshed_session_at=endpoint)
        assert (response.status, response.headers[HEADER_SESSION_AT]) == (200, "licence-1")
        plain = await system.ask("/look/1", finchshed_session_at=endpoint)
    assert plain.status == 200
    assert HEADER_SESSION_AT not in plain.headers
