"""A stand-in caller sends back where its session runs, at whichever edge it comes in."""

import asyncio
import pathlib

import aiohttp
import pytest
from aiohttp import web

from finchshed.common.context import HEADER_SESSION_AT
from finchshed.standins.arrivals import Arrival
from finchshed.standins.caller import Caller
from finchshed.standins.serving import start_site
from finchshed.standins.settings import CallerSettings, Load, Phase
from tests.standins.test_caller import free_address


@pytest.mark.parametrize(("session", "expected"), [("s", ["", "b1", "b1", "b1"]), ("", [""] * 4)])
async def test_the_place_last_told_is_sent_back(
    tmp_path: pathlib.Path, session: str, expected: list[str]
) -> None:
    seen: list[str] = []

    async def serve(request: web.Request) -> web.Response:
        seen.append(request.headers.get(HEADER_SESSION_AT, ""))
        if len(seen) == 1:
            return web.Response(headers={HEADER_SESSION_AT: "b1"})
        # A refusal tells no place: the one told before still holds.
        refusal = {"finchshed-ran": "no", "finchshed-retry-after-ms": "1"}
        return web.Response(status=503, headers=refusal)

    addresses = (free_address(), free_address())
    load = Load(name="tags", service="tags", path="/tag", rate_per_second=1.0, max_attempts=3)
    settings = CallerSettings(
        name="ferries",
        zone="bay",
        edge_addresses=addresses,
        record_path=str(tmp_path / "ferries.jsonl"),
        loads=(load,),
        phases=(Phase(name="all", duration_seconds=0.1),),
    )
    app = web.Application()
    app.router.add_get("/tag", serve)
    runners = [await start_site(app, address) for address in addresses[:1]]
    other = web.Application()
    other.router.add_get("/tag", serve)
    runners.append(await start_site(other, addresses[1]))
    try:
        async with aiohttp.ClientSession() as client:
            caller = Caller(settings, client)
            for number in range(2):
                arrival = Arrival(at=0.0, load=0, phase="all", number=number, session=session)
                await asyncio.wait_for(caller._serve_arrival(arrival), 30.0)
    finally:
        for runner in runners:
            await runner.cleanup()
    assert seen == expected
