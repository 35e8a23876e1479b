import asyncio
import pathlib

import aiohttp

from finchshed.common.context import HEADER_DEADLINE, HEADER_RAN
from finchshed.proof.history import HEADER_CALL
from finchshed.standins import answers
from finchshed.standins.backend import StandinBackend
from finchshed.standins.records import BackendEvent, BackendRecord, read_records
from finchshed.standins.serving import start_site
from finchshed.standins.settings import BackendSettings, Distribution, LoadReporting
from tests.standins.test_caller import free_address


def backend_settings(folder: pathlib.Path, **changes: object) -> BackendSettings:
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


class RunningBackend:
    """Runs a simulated backend inside the test process."""

    def __init__(self, settings: BackendSettings) -> None:
        self.settings = settings

    async def __aenter__(self) -> "RunningBackend":
        self.session = aiohttp.ClientSession()
        self.backend = StandinBackend(self.settings, self.session)
        self.runner = await start_site(self.backend.application(), self.settings.address)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()
        await self.runner.cleanup()

    def url(self, path: str) -> str:
        return f"http://{self.settings.address}{path}"

    async def wait_for_event(self, call: str, event: BackendEvent) -> None:
        while event not in self.events(call):  # noqa: ASYNC110 - the record is a file
            await asyncio.sleep(0.01)

    def events(self, call: str) -> list[BackendEvent]:
        records = read_records(pathlib.Path(self.settings.record_path), BackendRecord)
        return [record.event for record in records if record.call == call]


async def test_answer_is_complete_and_recorded(tmp_path: pathlib.Path) -> None:
    async with RunningBackend(backend_settings(tmp_path)) as running:
        headers = {HEADER_CALL: "c.0"}
        async with running.session.get(running.url("/page"), headers=headers) as response:
            body = await response.read()
        received = {name.lower(): value for name, value in response.headers.items()}
        assert answers.find_answer_problem("c.0", body, received, b"") == ""
        assert running.events("c.0") == ["arrived", "started", "finished"]


async def test_full_backend_refuses_without_running(tmp_path: pathlib.Path) -> None:
    settings = backend_settings(tmp_path, service_time_seconds=0.2)
    async with RunningBackend(settings) as running:

        async def send(number: int) -> tuple[int, str]:
            headers = {HEADER_CALL: f"c{number}"}
            async with running.session.get(running.url("/page"), headers=headers) as response:
                return response.status, response.headers.get(HEADER_RAN, "")

        results = await asyncio.gather(*(send(number) for number in range(4)))
        assert sorted(results) == [(200, ""), (200, ""), (503, "no"), (503, "no")]
        for number, (status, _) in enumerate(results):
            ran = BackendEvent.STARTED in running.events(f"c{number}")
            assert ran == (status == 200)


async def test_closed_connection_cancels_the_request(tmp_path: pathlib.Path) -> None:
    settings = backend_settings(tmp_path, service_time_seconds=30.0)
    async with RunningBackend(settings) as running:
        task = asyncio.create_task(
            running.session.get(running.url("/page"), headers={HEADER_CALL: "c"}).__aenter__()
        )
        await running.wait_for_event("c", BackendEvent.STARTED)
        task.cancel()
        await running.wait_for_event("c", BackendEvent.ABORTED)


async def test_deadline_passed_in_the_queue_is_refused_as_not_run(tmp_path: pathlib.Path) -> None:
    settings = backend_settings(tmp_path, service_time_seconds=1.0)
    async with RunningBackend(settings) as running:
        first = asyncio.create_task(
            running.session.get(running.url("/page"), headers={HEADER_CALL: "first"}).__aenter__()
        )
        await running.wait_for_event("first", BackendEvent.STARTED)
        headers = {HEADER_CALL: "late", HEADER_DEADLINE: "50"}
        async with running.session.get(running.url("/page"), headers=headers) as response:
            assert (response.status, response.headers[HEADER_RAN]) == (503, "no")
        assert BackendEvent.STARTED not in running.events("late")
        await first


async def test_range_of_another_edition_fails_the_precondition(tmp_path: pathlib.Path) -> None:
    async with RunningBackend(backend_settings(tmp_path)) as running:
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


async def test_load_is_reported_as_zero_in_zero_mode(tmp_path: pathlib.Path) -> None:
    settings = backend_settings(
        tmp_path, service_time_seconds=0.5, load_reporting=LoadReporting.ZERO
    )
    async with RunningBackend(settings) as running:
        first = asyncio.create_task(
            running.session.get(running.url("/page"), headers={HEADER_CALL: "c"}).__aenter__()
        )
        await running.wait_for_event("c", BackendEvent.STARTED)
        async with running.session.get(running.url("/load")) as response:
            assert await response.json() == {"in_flight": 0, "slots": 1}
        await first


async def test_draining_backend_announces_it_and_refuses_after_the_grace_period(
    tmp_path: pathlib.Path,
) -> None:
    async with RunningBackend(backend_settings(tmp_path, leave_grace_seconds=0.0)) as running:
        running.backend.begin_drain()
        await asyncio.sleep(0.01)
        async with running.session.get(running.url("/page")) as response:
            assert response.status == 503
            assert response.headers["finchshed-draining"] == "1"
            assert response.headers[HEADER_RAN] == "no"
