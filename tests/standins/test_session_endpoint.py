"""A caller sends the last session endpoint it received, to any edge."""

import asyncio
import pathlib

import aiohttp
import pytest
from aiohttp import web

from finchshed.common.context import HEADER_SESSION_AT
from finchshed.standins import answers, downloads
from finchshed.standins.arrivals import StandinArrival
from finchshed.standins.caller import StandinCaller
from finchshed.standins.serving import start_site
from finchshed.standins.settings import CallerSettings, Phase, StandinLoad
from tests.standins.test_caller import free_address

SIZE = 200
RANGE = 100


@pytest.mark.parametrize(("size", "expected"), [(SIZE, ["", "b1", "b1", "b1"]), (0, [""] * 4)])
async def test_last_session_endpoint_is_sent_back(
    tmp_path: pathlib.Path, size: int, expected: list[str]
) -> None:
    seen: list[str] = []
    edges: set[str] = set()

    async def serve(request: web.Request) -> web.Response:
        seen.append(request.headers.get(HEADER_SESSION_AT, ""))
        edges.add(request.headers["Host"])
        if len(seen) == 1:
            return session_response(request)
        # A refusal names no endpoint, so the caller keeps the previous one.
        refusal = {"finchshed-ran": "no", "finchshed-retry-after-ms": "1"}
        return web.Response(status=503, headers=refusal)

    addresses = (free_address(), free_address())
    load = StandinLoad(
        name="tags",
        service="tags",
        path="/tag",
        rate_per_second=1.0,
        max_attempts=3,
        download_bytes=size,
        range_bytes=RANGE,
    )
    settings = CallerSettings(
        name="ferries",
        zone="bay",
        edge_addresses=addresses,
        record_path=str(tmp_path / "ferries.jsonl"),
        loads=(load,),
        phases=(Phase(name="all", duration_seconds=0.1),),
    )
    runners = []
    for address in addresses:
        app = web.Application()
        app.router.add_get("/tag", serve)
        runners.append(await start_site(app, address))
    # The second range is refused three times, and so is the second request without a session.
    arrivals = 1 if size else 2
    try:
        async with aiohttp.ClientSession() as client:
            caller = StandinCaller(settings, client)
            for number in range(arrivals):
                arrival = StandinArrival(at=0.0, load=0, phase="all", number=number)
                await asyncio.wait_for(caller._serve_arrival(arrival), 30.0)
    finally:
        for runner in runners:
            await runner.cleanup()
    assert seen == expected
    assert edges == set(addresses)


def session_response(request: web.Request) -> web.Response:
    """Respond with the requested range, if any, and the endpoint of the session."""
    headers = {
        HEADER_SESSION_AT: "b1",
        answers.HEADER_IDENTITY: request.headers["standin-identity"],
    }
    requested = answers.parse_range(request.headers.get("Range", ""))
    if requested is None:
        return web.Response(headers=headers)
    response = downloads.download_response(request.path, 1, SIZE, requested, request.headers)
    return web.Response(
        status=response.status, body=response.body, headers=response.headers | headers
    )
