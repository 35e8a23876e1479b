"""Guards against back ends that get more requests than the rate they name in their answers."""

import asyncio
import time
from pathlib import Path

from tests.platform.fake_backend import working
from tests.platform.fake_platform import route, run_platform, wait_until_known
from tests.platform.open_loop import (
    allowed_in_window,
    arrivals_between,
    largest_window,
    send_open_loop,
)

ROUTES = (route("/look/", "sales"), route("/buy/", "sales", "unsafe"))
WORK_SECONDS = 0.1
LOAD_PER_SECOND = 60.0
LOAD_SECONDS = 9.0
NAMED_RATE = 3.4

MIN_SERVED_RATIO = 0.98
"""Fraction served while other back ends have room."""

MIN_USED_RATIO = 0.9
"""Fraction of the named rate that must be used while there is enough work."""


MEDIAN_REFUSAL_SECONDS = 0.05
MAX_REFUSAL_SECONDS = 1.0
"""Target latency of the route."""


SLOW_WORK_SECONDS = 0.4
RESTARTS = 3
RESTART_INTERVAL_SECONDS = 1.9
RESTART_LOAD_SECONDS = 11.0


# A back end that names a rate gets at most that rate, summed over all daemons.
async def test_back_end_gets_no_more_than_the_rate_it_names(tmp_path: Path) -> None:
    async with run_platform(
        tmp_path, *["sales"] * 3, handlers={"sales": working(WORK_SECONDS)}
    ) as running:
        await wait_until_known(running, *ROUTES)
        limited = running.backends[0]
        limited.answer_headers["Server-Limit"] = str(NAMED_RATE)
        named_at = time.monotonic()
        sent = await send_open_loop(running, LOAD_SECONDS, LOAD_PER_SECOND)
        most = largest_window(sent, limited, named_at, len(running.daemons))
        assert most <= allowed_in_window(NAMED_RATE), f"{most} requests in a window"
        served = sum(request.status == 200 for request in sent) / len(sent)
        assert served >= MIN_SERVED_RATIO
        begin, end = named_at + 3.0, named_at + LOAD_SECONDS
        used = arrivals_between(limited, begin, end) / (NAMED_RATE * (end - begin))
        assert used >= MIN_USED_RATIO, f"{used:.2f} of the rate used"


async def test_where_all_name_a_rate_the_rest_is_refused_quickly(tmp_path: Path) -> None:
    async with run_platform(
        tmp_path, *["sales"] * 3, handlers={"sales": working(WORK_SECONDS)}
    ) as running:
        await wait_until_known(running, *ROUTES)
        for backend in running.backends:
            backend.answer_headers["Server-Limit"] = str(NAMED_RATE)
        named_at = time.monotonic()
        sent = await send_open_loop(running, LOAD_SECONDS, LOAD_PER_SECOND)
        begin, end = named_at + 3.0, named_at + LOAD_SECONDS
        for backend in running.backends:
            most = largest_window(sent, backend, named_at, len(running.daemons))
            assert most <= allowed_in_window(NAMED_RATE), f"{most} requests in a window"
            used = arrivals_between(backend, begin, end) / (NAMED_RATE * (end - begin))
            assert used >= MIN_USED_RATIO, f"{used:.2f} of the rate used"
        others = [request for request in sent if request.status != 200]
        assert {request.status for request in others} == {503}
        assert all(float(request.headers["retry-after"]) > 0.0 for request in others)
        ran = {identity for backend in running.backends for identity in backend.executed}
        assert not ran & {request.identity for request in others}
        times = sorted(request.seconds for request in others)
        assert times[len(times) // 2] <= MEDIAN_REFUSAL_SECONDS
        assert times[-1] <= MAX_REFUSAL_SECONDS


async def test_limit_of_zero_lets_through_only_what_shows_its_end(tmp_path: Path) -> None:
    async with run_platform(
        tmp_path, *["sales"] * 2, handlers={"sales": working(WORK_SECONDS)}
    ) as running:
        await wait_until_known(running, *ROUTES)
        limited = running.backends[0]
        limited.answer_headers["Server-Limit"] = "0"
        named_at = time.monotonic()
        sent = await send_open_loop(running, LOAD_SECONDS, LOAD_PER_SECOND)
        most = largest_window(sent, limited, named_at, len(running.daemons))
        assert most <= allowed_in_window(0.0), f"{most} requests in a window"
        assert sum(request.status == 200 for request in sent) / len(sent) >= MIN_SERVED_RATIO
        del limited.answer_headers["Server-Limit"]
        ended_at = time.monotonic()
        await send_open_loop(running, LOAD_SECONDS, LOAD_PER_SECOND)
        late = arrivals_between(limited, ended_at + 6.0, ended_at + LOAD_SECONDS)
        assert late >= LOAD_PER_SECOND, "the back end is used again after its limit ended"


async def test_unreadable_rate_harms_no_request(tmp_path: Path) -> None:
    async with run_platform(
        tmp_path, "sales", "sales", handlers={"sales": working(WORK_SECONDS)}
    ) as running:
        await wait_until_known(running, *ROUTES)
        for value in ("", "few", "nan", "inf", "-3", "1e999", "9" * 400):
            running.backends[0].answer_headers["Server-Limit"] = value
            sent = await send_open_loop(running, 0.5, LOAD_PER_SECOND)
            assert {request.status for request in sent} == {200}
        lines = running.daemons[0].log().count("unreadable rate limit")
        assert 1 <= lines <= 10


# A daemon that starts again beside a limited back end learns the limit from those who call it.
async def test_limit_outlives_restarts_of_the_daemon_beside_the_back_end(tmp_path: Path) -> None:
    async with run_platform(
        tmp_path, *["sales"] * 3, handlers={"sales": working(SLOW_WORK_SECONDS)}
    ) as running:
        for backend in running.backends:
            backend.slots = 40
        await wait_until_known(running, *ROUTES)
        for backend in running.backends:
            backend.answer_headers["Server-Limit"] = str(NAMED_RATE)
        limited, beside = running.backends[0], running.daemons[0]
        named_at = time.monotonic()
        load = asyncio.create_task(
            send_open_loop(running, RESTART_LOAD_SECONDS, LOAD_PER_SECOND, daemons=(1, 2))
        )
        await asyncio.sleep(4.0)
        for _ in range(RESTARTS):
            beside.stop()
            beside.start()
            await asyncio.sleep(RESTART_INTERVAL_SECONDS)
        sent = await load
        most = largest_window(sent, limited, named_at, len(running.daemons))
        assert most <= allowed_in_window(NAMED_RATE), f"{most} requests in a window"
        late = arrivals_between(limited, named_at + 4.0, named_at + RESTART_LOAD_SECONDS)
        assert late > 0, "the back end is called again after the restarts"
