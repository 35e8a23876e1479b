"""A control node process reads the platform's list and sends hints to daemons."""

import asyncio
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest
from aiohttp import web

from finchshed.configuration.resources import Endpoint, Service
from finchshed.distribution.messages import Hints
from tests.control.daemons import StubDaemon, running
from tests.control.group import Group, free_addresses

SECONDS = 30.0


class PlatformListServer:
    """HTTP server of a platform list set by the test."""

    def __init__(self) -> None:
        self.body = b"[]"
        self.status = 200
        self.reads = 0

    async def answer(self, _request: web.Request) -> web.Response:
        self.reads += 1
        return web.Response(body=self.body, status=self.status)

    def set_machines(self, *machines: tuple[int, str]) -> None:
        items = ",".join(
            f'{{"name":"m{number}","address":"10.0.0.{number}:80","incarnation":"1",'
            f'"state":"{state}"}}'
            for number, state in machines
        )
        self.body = f"[{items}]".encode()


@pytest.fixture
async def platform() -> AsyncIterator[tuple[PlatformListServer, str]]:
    served = PlatformListServer()
    app = web.Application()
    app.router.add_get("/instances", served.answer)
    runner = web.AppRunner(app)
    await runner.setup()
    (address,) = free_addresses(1)
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    yield served, f"http://{address}/instances"
    await runner.cleanup()


def endpoint(number: int) -> Endpoint:
    return Endpoint(
        name=f"e{number}",
        service="s",
        region="r",
        zone="z",
        address=f"10.0.0.{number}:80",
        slots=1,
    )


async def test_what_the_platform_lists_as_leaving_reaches_daemons_as_a_hint_and_nothing_else(
    tmp_path: Path, platform: tuple[PlatformListServer, str]
) -> None:
    served, url = platform
    group = Group(tmp_path, voters=1)
    group.extra_settings = f'platform_list_url = "{url}"\nplatform_poll_seconds = 0.1\n'
    hints: list[tuple[str, ...]] = []
    daemon = StubDaemon("edge", group.nodes)
    daemon.client.on_hints = lambda message: hints.append(leaving_of(message))
    try:
        group.start_all()
        await asyncio.to_thread(group.bootstrap, Service(name="s"), endpoint(1), endpoint(2))
        async with running(daemon):
            await daemon.wait_for(1)
            served.set_machines((1, "leaving"), (2, "live"), (9, "leaving"))
            await wait_until(lambda: hints[-1:] == [("e1",)])
            await wait_for_reads_of(served, b"{not json", 200)
            await wait_for_reads_of(served, b"[]", 500)
            assert hints[-1] == ("e1",)
            served.set_machines((2, "live"))
            served.status = 200
            await wait_until(lambda: hints[-1] == ())
            assert set(hints) <= {(), ("e1",)}
            assert daemon.revision == 1
    finally:
        group.close()


def leaving_of(message: Hints) -> tuple[str, ...]:
    return tuple(hint.endpoint for hint in message.leaving)


async def wait_for_reads_of(served: PlatformListServer, body: bytes, status: int) -> None:
    served.body, served.status = body, status
    enough = served.reads + 3
    await wait_until(lambda: served.reads >= enough)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(SECONDS):
        while not condition():  # noqa: ASYNC110 - the state changes in another process
            await asyncio.sleep(0.02)
