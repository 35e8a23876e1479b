"""Guards against bytes without end, and many large bodies, that fill the memory of a daemon."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from aiohttp import web

from tests.platform.endless_backend import (
    ENDLESS_PREFIX,
    Shape,
    endless,
    peak_memory_bytes,
    send_without_end,
)
from tests.platform.fake_backend import HEALTH_PATH, OUTBOUND_PORT, FakeBackend, Handler, echo
from tests.platform.fake_platform import (
    ZONES,
    FakePlatform,
    document,
    route,
    run_platform,
    wait_until,
)

MEMORY_MEGABYTES = 200
MEGABYTE = 1_000_000
MAX_BODY_BYTES = 64 << 20
TIMEOUT_SECONDS = 6.0
AT_A_TIME = 3
CLOSED_WITHIN_SECONDS = 2.0
"""Time within which an endless answer at full speed is given up."""

MIN_SERVED_RATIO = 0.99
BIG_PATH = "/look/big"
BIG_BYTES = 5_000_000
BIG_REQUESTS = 30
SO_RCVBUF_BYTES = 4_096


@asynccontextmanager
async def run_limited(folder: Path, handler: Handler) -> AsyncIterator[FakePlatform]:
    """Run daemons on machines with little memory, beside back ends with ``handler``."""
    async with run_platform(
        folder,
        *["sales"] * 3,
        handlers={"sales": handler},
        zones=ZONES[:1],
        fields={"limits": {"memory_mb": MEMORY_MEGABYTES}},
    ) as running:
        made = document(
            3,
            0,
            route("/look/", "sales", max_attempts=1, timeout_s=TIMEOUT_SECONDS),
            route("/buy/", "sales", "unsafe", max_attempts=1, timeout_s=TIMEOUT_SECONDS),
        )
        made["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        await running.put_until_accepted(made)
        await wait_until(lambda: all_serve(running))
        yield running


async def all_serve(running: FakePlatform) -> bool:
    for daemon in range(len(running.daemons)):
        if (await running.send_request("/look/up", daemon=daemon)).status != 200:
            return False
    return True


def check_memory(running: FakePlatform) -> None:
    """Check that no daemon ended, or had more memory than its machine."""
    for machine in running.daemons:
        assert machine.process is not None
        assert machine.process.poll() is None
        assert peak_memory_bytes(machine.process.pid) <= MEMORY_MEGABYTES * MEGABYTE


async def served_beside(running: FakePlatform, act: Awaitable[object]) -> float:
    """Return the fraction of small requests that were served while ``act`` ran."""
    statuses: list[int] = []
    acting = asyncio.ensure_future(act)
    while not acting.done() or len(statuses) < len(running.daemons):
        daemon = len(statuses) % len(running.daemons)
        statuses.append((await running.send_request("/look/small", daemon=daemon)).status)
    await acting
    return statuses.count(200) / len(statuses)


async def end_of(running: FakePlatform, shape: Shape, daemon: int) -> tuple[int, float]:
    """Return the status of a request answered without end, and after how many seconds it came."""
    began = time.monotonic()
    response = await running.send_request(
        f"{ENDLESS_PREFIX}{shape}", daemon=daemon, deadline_ms=int(TIMEOUT_SECONDS * 1000)
    )
    return response.status, time.monotonic() - began


@pytest.mark.parametrize("drips", [False, True], ids=["at once", "in drips"])
async def test_endless_answers_are_given_up_and_others_are_served(
    tmp_path: Path, drips: bool
) -> None:
    # What drips where a body may go on looks like a slow answer, and ends at its deadline.
    shapes = [Shape.CHUNK_EXTENSION, Shape.TRAILER, Shape.TRAILERS] if drips else list(Shape)
    async with run_limited(tmp_path, endless(drips=drips)) as running:
        ends: list[tuple[Shape, int, float]] = []

        async def send_all() -> None:
            for shape in shapes:
                sent = (end_of(running, shape, daemon) for daemon in range(AT_A_TIME))
                ends.extend((shape, *end) for end in await asyncio.gather(*sent))

        served = await served_beside(running, send_all())
        check_memory(running)
    longest = TIMEOUT_SECONDS if drips else CLOSED_WITHIN_SECONDS
    for shape, status, seconds in ends:
        assert status in ({200} if shape is Shape.AFTER_ANSWER else {502, 503}), shape
        assert seconds < longest, shape
    assert served >= MIN_SERVED_RATIO


async def test_an_endless_answer_to_a_health_check_is_given_up(tmp_path: Path) -> None:
    async def handle(backend: FakeBackend, request: web.Request) -> web.Response:
        if request.path == HEALTH_PATH:
            await send_without_end(request.transport, Shape.CHUNKS, "none", drips=False)
            raise ConnectionResetError
        return await echo(backend, request)

    async with run_limited(tmp_path, handle) as running:
        assert await served_beside(running, asyncio.sleep(2.0)) >= MIN_SERVED_RATIO
        check_memory(running)


async def serve_big(backend: FakeBackend, request: web.Request) -> web.Response:
    if request.path == BIG_PATH:
        return web.Response(body=bytes(BIG_BYTES))
    return await echo(backend, request)


async def ask_big(running: FakePlatform) -> int:
    return (await running.send_request(BIG_PATH, deadline_ms=5000)).status


async def upload_big(running: FakePlatform) -> int:
    response = await running.send_request("/buy/big", method="POST", body=bytes(BIG_BYTES))
    return response.status


async def read_big_slowly(running: FakePlatform) -> int:
    reader, writer = await asyncio.open_connection(
        running.daemons[0].ip, OUTBOUND_PORT, limit=SO_RCVBUF_BYTES
    )
    running.requests += 1
    head = f"GET {BIG_PATH} HTTP/1.1\r\nHost: sales.example\r\nRequest-Id: {running.requests:016x}"
    writer.write(f"{head}\r\nDeadline-Ms: 5000\r\n\r\n".encode())
    status = 0
    try:
        status = int((await reader.readline()).split()[1])
        for _ in range(20):
            await reader.read(100)
            await asyncio.sleep(0.1)
    except (ConnectionError, IndexError):
        pass
    writer.transport.abort()
    return status


@pytest.mark.parametrize("send", [ask_big, upload_big, read_big_slowly])
async def test_many_large_bodies_stay_within_the_memory_and_others_are_served(
    tmp_path: Path, send: Callable[[FakePlatform], Awaitable[int]]
) -> None:
    async with run_limited(tmp_path, serve_big) as running:
        sending = asyncio.gather(*(send(running) for _ in range(BIG_REQUESTS)))
        served = await served_beside(running, sending)
        check_memory(running)
        statuses = await sending
    assert set(statuses) <= {0, 200, 502, 503}
    assert 200 in statuses
    assert served >= MIN_SERVED_RATIO
