"""Guards against a status that promises that nothing ran, by a back end that promised nothing."""

from pathlib import Path

from aiohttp import web

from tests.platform.fake_backend import FakeBackend
from tests.platform.fake_platform import (
    FakePlatform,
    route,
    run_platform,
    wait_until,
    wait_until_known,
)

STATUSES = (408, 421, 429, 503)
UNKNOWN_STATUS = 502
SERVED_STATUS = 200


async def run_and_turn_away(backend: FakeBackend, request: web.Request) -> web.Response:
    """Run the request, and answer with the status in its path and no word on whether it ran."""
    status = request.path.rpartition("/")[2]
    return web.Response(status=int(status) if status.isdigit() else 200)


async def serves(running: FakePlatform) -> bool:
    """Return whether the back end, which fails requests in between, is in use."""
    return (await running.send_request("/look/up")).status == SERVED_STATUS


async def test_a_request_that_may_run_once_gets_no_promise_the_back_end_didnt_make(
    tmp_path: Path,
) -> None:
    routes = (route("/look/", "sales"), route("/buy/", "sales", "unsafe"))
    async with run_platform(tmp_path, "sales", handlers={"sales": run_and_turn_away}) as running:
        await wait_until_known(running, *routes)
        for status in STATUSES:
            await wait_until(lambda: serves(running))
            identity = f"{status:016x}"
            bought = await running.send_request(
                f"/buy/{status}", method="POST", body=b"order", identity=identity
            )
            assert running.backends[0].executed.count(identity) == 1
            assert bought.status == UNKNOWN_STATUS
            assert "server-seal" not in bought.headers
            assert "retry-after" not in bought.headers


async def test_a_request_that_may_run_twice_gets_the_status_unchanged(tmp_path: Path) -> None:
    async with run_platform(tmp_path, "sales", handlers={"sales": run_and_turn_away}) as running:
        await wait_until_known(running, route("/look/", "sales"))
        for status in (408, 429, 503):
            seen = await running.send_request(f"/look/{status}")
            assert seen.status == status
            assert "server-seal" in seen.headers
