"""Downloads by a caller while a new edition is published."""

import asyncio
import pathlib
import socket

import aiohttp
import pytest
from aiohttp import web

from finchshed.fleet import editions
from finchshed.standins import answers, downloads
from finchshed.standins.caller import StandinCaller
from finchshed.standins.records import CallerOutcome, CallerRecord, read_records
from finchshed.standins.serving import start_site
from finchshed.standins.settings import CallerSettings, Phase, StandinLoad

SIZE = 400
RANGE = 100
PUBLISHED_AFTER = 2
"""Number of requests served from the first edition."""

PATH = "/edition/bay"


class Publisher:
    """Serves a download and switches to its second edition after some requests.

    With ``keeps_edition`` it adds If-Range to later ranges, as a daemon does.
    """

    def __init__(self, *, keeps_edition: bool) -> None:
        self._keeps_edition = keeps_edition
        self._served = 0
        self._last_tag = ""

    async def serve(self, request: web.Request) -> web.Response:
        edition = 1 if self._served < PUBLISHED_AFTER else 2
        self._served += 1
        requested = answers.parse_range(request.headers["Range"])
        assert requested is not None
        conditions = dict(request.headers)
        if self._keeps_edition and self._last_tag and "If-Match" not in conditions:
            conditions["If-Range"] = self._last_tag
        response = downloads.download_response(request.path, edition, SIZE, requested, conditions)
        if response.status in {downloads.PARTIAL_CONTENT_STATUS, downloads.FULL_CONTENT_STATUS}:
            self._last_tag = response.headers["ETag"]
        identity = request.headers[answers.HEADER_IDENTITY]
        headers = response.headers | {answers.HEADER_IDENTITY: identity}
        return web.Response(status=response.status, body=response.body, headers=headers)


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def run_download(
    folder: pathlib.Path, publisher: Publisher, *, conditional: bool, dead: tuple[str, ...] = ()
) -> CallerRecord:
    """Run one download; ``dead`` are unreachable edges that the caller tries first."""
    address = free_address()
    load = StandinLoad(
        name="edition",
        service="charts",
        path=PATH,
        rate_per_second=200.0,
        download_bytes=SIZE,
        range_bytes=RANGE,
        conditional=conditional,
    )
    settings = CallerSettings(
        name="ferries",
        zone="bay",
        edge_addresses=(*dead, address),
        record_path=str(folder / "ferries.jsonl"),
        loads=(load,),
        phases=(Phase(name="all", duration_seconds=0.1),),
    )
    app = web.Application()
    app.router.add_get(PATH, publisher.serve)
    runner = await start_site(app, address)
    try:
        async with aiohttp.ClientSession() as session:
            caller = StandinCaller(settings, session)
            first = caller._arrivals()[0]
            await asyncio.wait_for(caller._serve_arrival(first), 30.0)
    finally:
        await runner.cleanup()
    (record,) = read_records(folder / "ferries.jsonl", CallerRecord)
    return record


@pytest.mark.parametrize(
    ("conditional", "keeps_edition", "statuses"),
    [
        (True, False, [206, 206, 412, 206, 206, 206, 206]),
        (False, True, [206, 206, 200]),
        (True, True, [206, 206, 412, 200]),
    ],
)
async def test_download_restarts_when_the_edition_changes(
    tmp_path: pathlib.Path, conditional: bool, keeps_edition: bool, statuses: list[int]
) -> None:
    publisher = Publisher(keeps_edition=keeps_edition)
    record = await run_download(tmp_path, publisher, conditional=conditional)
    assert [attempt.status for attempt in record.attempts] == statuses
    assert (record.outcome, record.problem) == (CallerOutcome.ANSWERED, "")
    assert editions.saw_new_edition(record)
    assert editions.find_edition_problems([record], published=True) == []


async def test_mixed_editions_are_reported_if_ranges_are_unconditional(
    tmp_path: pathlib.Path,
) -> None:
    record = await run_download(tmp_path, Publisher(keeps_edition=False), conditional=False)
    assert "edition changed" in record.problem
    assert editions.find_edition_problems([record], published=False) != []


async def test_download_restarts_at_the_next_edge_when_its_edge_is_down(
    tmp_path: pathlib.Path,
) -> None:
    publisher = Publisher(keeps_edition=True)
    dead = free_address()
    record = await run_download(tmp_path, publisher, conditional=False, dead=(dead,))
    assert (record.outcome, record.problem) == (CallerOutcome.ANSWERED, "")
    assert record.attempts[0].edge == dead
    answered = [attempt for attempt in record.attempts if attempt.status]
    assert len({attempt.edge for attempt in answered}) == 1
    assert [attempt.offset for attempt in answered] == [0, RANGE, 2 * RANGE]
