"""Guards against requests to a back end that says in its answers that it leaves."""

import asyncio
import time
from contextlib import AbstractAsyncContextManager
from pathlib import Path

from tests.platform.fake_backend import FakeBackend, working
from tests.platform.fake_platform import ZONES, FakePlatform, route, run_platform, wait_until_known
from tests.platform.open_loop import SentRequest, send_open_loop, told_at

ROUTES = (route("/look/", "sales"), route("/buy/", "sales", "unsafe"))
WORK_SECONDS = 0.1
LOAD_PER_SECOND = 60.0
LOAD_SECONDS = 5.0
DRAIN_SECONDS = 2.0
"""Time after a daemon passed on such an answer from which it sends nothing there."""

MIN_SERVED_RATIO = 0.98


def run_sales(folder: Path) -> AbstractAsyncContextManager[FakePlatform]:
    """Run three back ends of one service in one zone, so that every daemon calls each of them."""
    return run_platform(
        folder, *["sales"] * 3, handlers={"sales": working(WORK_SECONDS)}, zones=ZONES[:1]
    )


def late_arrivals(
    sent: list[SentRequest], leaving: FakeBackend, daemon_count: int, excused: frozenset[int]
) -> list[str]:
    """Return the requests that reached ``leaving`` too late from a daemon that was told."""
    told = told_at(sent, leaving, "server-leaving", daemon_count)
    arrived = {identity for _, identity in leaving.arrivals}
    return [
        request.identity
        for request in sent
        if request.identity in arrived
        and request.daemon not in excused
        and request.sent_at > told[request.daemon] + DRAIN_SECONDS
    ]


async def check(running: FakePlatform, seconds: float, excused: frozenset[int]) -> None:
    leaving = running.backends[0]
    leaving.answer_headers["Server-Leaving"] = "1"
    sent = await send_open_loop(running, seconds, LOAD_PER_SECOND)
    assert late_arrivals(sent, leaving, len(running.daemons), excused) == []
    others = [request for request in sent if request.daemon not in excused]
    assert sum(request.status == 200 for request in others) / len(others) >= MIN_SERVED_RATIO


# A back end whose answers say that it leaves gets nothing new, whatever its heartbeats say.
async def test_back_end_that_leaves_by_its_answers_gets_nothing_new(tmp_path: Path) -> None:
    async with run_sales(tmp_path) as running:
        await wait_until_known(running, *ROUTES)
        await check(running, LOAD_SECONDS, frozenset())
        assert await running.backends[1].leave() == 200
        assert await running.backends[2].leave() == 200
        answer = await running.send_request("/look/last", daemon=1)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0


async def test_leaving_holds_without_control(tmp_path: Path) -> None:
    async with run_sales(tmp_path) as running:
        await wait_until_known(running, *ROUTES)
        for control in running.controls:
            control.stop()
        await check(running, LOAD_SECONDS, frozenset())


async def test_leaving_outlives_restarts_of_the_daemon_beside_the_back_end(tmp_path: Path) -> None:
    async with run_sales(tmp_path) as running:
        await wait_until_known(running, *ROUTES)

        async def restart() -> None:
            for _ in range(3):
                await asyncio.sleep(2.5)
                running.daemons[0].stop()
                running.daemons[0].start()

        restarts = asyncio.create_task(restart())
        await check(running, 2.0 * LOAD_SECONDS, frozenset({0}))
        await restarts


async def test_leaving_outlives_restarts_without_control(tmp_path: Path) -> None:
    async with run_sales(tmp_path) as running:
        await wait_until_known(running, *ROUTES)
        leaving = running.backends[0]
        leaving.answer_headers["Server-Leaving"] = "1"
        began = time.monotonic()
        first = await send_open_loop(running, 1.0, LOAD_PER_SECOND)
        for control in running.controls:
            control.stop()
        running.daemons[0].stop()
        running.daemons[0].start()
        sent = first + await send_open_loop(running, 6.0, LOAD_PER_SECOND, daemons=(1, 2))
        assert late_arrivals(sent, leaving, 3, frozenset({0})) == []
        assert time.monotonic() - began > DRAIN_SECONDS
