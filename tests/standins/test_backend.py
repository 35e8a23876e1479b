import asyncio
import pathlib
import socket

import aiohttp

from finchshed.common.context import HEADER_DEADLINE, HEADER_RAN
from finchshed.proof.history import HEADER_CALL
from finchshed.standins import answers
from finchshed.standins.backend import StandinBackend
from finchshed.standins.records import BackendEvent, BackendRecord, read_records
from finchshed.standins.serving import start_site
from finchshed.standins.settings import BackendSettings, Distribution, LoadReporting


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def settings_in(folder: pathlib.Path, **changes: object) -> BackendSettings:
    values: dict[str, object] = {
        "name": "one",
        "service": "booklets",
        "zone": "z",
        "address": free_address(),
        "daemon_address": "127.0.0.1:1",
        "record_path": str(folder / "one.jsonl"),
        "slots": 1,
        "service_time_seconds": 0.01,
        "distribution": Distribution.CONSTANT,
        "queue_limit": 1,
        **changes,
    }
    return BackendSettings(**values)  # type: ignore[arg-type]


class Running:
    """A back end listening in this process."""

    def __init__(self, settings: BackendSettings) -> None:
        self.settings = settings

    async def __aenter__(self) -> "Running":
        self.session = aiohttp.ClientSession()
        self.backend = StandinBackend(self.settings, self.session)
        self.runner = await start_site(self.backend.application(), self.settings.address)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()
        await self.runner.cleanup()

    def url(self, path: str) -> str:
        return f"http://{self.settings.address}{path}"

    async def until(self, call: str, event: BackendEvent) -> None:
        while event not in self.events(call):  # noqa: ASYNC110 - the record is a file
            await asyncio.sleep(0.01)

    def events(self, call: str) -> list[BackendEvent]:
        records = read_records(pathlib.Path(self.settings.record_path), BackendRecord)
        return [record.event for record in records if record.call == call]


async def test_answer_is_whole_and_recorded(tmp_path: pathlib.Path) -> None:
    async with Running(settings_in(tmp_path)) as running:
        headers = {HEADER_CALL: "c.0"}
        async with running.session.get(running.url("/page"), headers=headers) as response:
            body = await response.read()
        received = {name.lower(): value for name, value in response.headers.items()}
        assert answers.problem_of("c.0", body, received, b"") == ""
        assert running.events("c.0") == ["arrived", "started", "finished"]


async def test_full_back_end_refuses_before_running(tmp_path: pathlib.Path) -> None:
    settings = settings_in(tmp_path, service_time_seconds=0.2)
    async with Running(settings) as running:

        async def send(number: int) -> tuple[int, str]:
            headers = {HEADER_CALL: f"c{number}"}
            async with running.session.get(running.url("/page"), headers=headers) as response:
                return response.status, response.headers.get(HEADER_RAN, "")

        results = await asyncio.gather(*(send(number) for number in range(4)))
        assert sorted(results) == [(200, ""), (200, ""), (503, "no"), (503, "no")]
        for number, (status, _) in enumerate(results):
            ran = BackendEvent.STARTED in running.events(f"c{number}")
            assert ran == (status == 200)


async def test_closed_connection_cancels_the_work(tmp_path: pathlib.Path) -> None:
    settings = settings_in(tmp_path, service_time_seconds=30.0)
    async with Running(settings) as running:
        task = asyncio.create_task(
            running.session.get(running.url("/page"), headers={HEADER_CALL: "c"}).__aenter__()
        )
        await running.until("c", BackendEvent.STARTED)
        task.cancel()
        await running.until("c", BackendEvent.ABORTED)


async def test_deadline_passed_in_the_queue_is_refused_as_not_run(tmp_path: pathlib.Path) -> None:
    settings = settings_in(tmp_path, service_time_seconds=1.0)
    async with Running(settings) as running:
        first = asyncio.create_task(
            running.session.get(running.url("/page"), headers={HEADER_CALL: "first"}).__aenter__()
        )
        await running.until("first", BackendEvent.STARTED)
        headers = {HEADER_CALL: "late", HEADER_DEADLINE: "50"}
        async with running.session.get(running.url("/page"), headers=headers) as response:
            assert (response.status, response.headers[HEADER_RAN]) == (503, "no")
        assert BackendEvent.STARTED not in running.events("late")
        await first


async def test_range_of_another_edition_is_not_sent(tmp_path: pathlib.Path) -> None:
    async with Running(settings_in(tmp_path)) as running:
        headers = {HEADER_CALL: "c", "Range": "bytes=0-99"}
        url = running.url("/chart?size=250")
        async with running.session.get(url, headers=headers) as response:
            assert response.status == 206
            assert response.headers["Content-Range"] == "bytes 0-99/250"
            tag = response.headers["ETag"]
        async with running.session.post(running.url("/standin/edition?value=2")) as response:
            assert response.status == 204
        headers["If-Match"] = tag
        async with running.session.get(url, headers=headers) as response:
            assert response.status == 412


async def test_misleading_load_report(tmp_path: pathlib.Path) -> None:
    settings = settings_in(tmp_path, service_time_seconds=0.5, load_reporting=LoadReporting.ZERO)
    async with Running(settings) as running:
        first = asyncio.create_task(
            running.session.get(running.url("/page"), headers={HEADER_CALL: "c"}).__aenter__()
        )
        await running.until("c", BackendEvent.STARTED)
        async with running.session.get(running.url("/load")) as response:
            assert await response.json() == {"in_flight": 0, "slots": 1}
        await first


async def test_leaving_back_end_says_so_and_refuses_after_the_grace(
    tmp_path: pathlib.Path,
) -> None:
    async with Running(settings_in(tmp_path, leave_grace_seconds=0.0)) as running:
        running.backend.begin_drain()
        await asyncio.sleep(0.01)
        async with running.session.get(running.url("/page")) as response:
            assert response.status == 503
            assert response.headers["finchshed-draining"] == "1"
            assert response.headers[HEADER_RAN] == "no"
