"""Guards against uploads that run twice when a back end or a daemon dies under them."""

import asyncio
import hashlib
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from aiohttp import web

from tests.platform.fake_backend import FakeBackend
from tests.platform.fake_platform import (
    ZONES,
    ClientResponse,
    FakePlatform,
    document,
    route,
    run_platform,
    wait_until,
    wait_until_known,
)

ROUTES = (route("/look/", "sales"), route("/put/", "sales", "upload", max_attempts=4))
MAX_BODY_BYTES = 16 << 20
BODY_BYTES = 4 << 20
WORK_SECONDS = 0.5
UPLOADS = 9
MIN_RUNNING = 2
SERVED_STATUS = 200
REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that say that nothing ran."""


async def digest_body(backend: FakeBackend, request: web.Request) -> web.Response:
    """Read the body, work on uploads for a time, and answer with the digest of the body."""
    body = await request.read()
    if request.method == "POST":
        await asyncio.sleep(WORK_SECONDS)
    return web.Response(text=hashlib.sha256(body).hexdigest())


def body_of(number: int) -> bytes:
    return number.to_bytes(4) * (BODY_BYTES // 4)


async def accept_large_bodies(running: FakePlatform) -> None:
    """Apply routes for uploads, and a limit of bodies above their size."""
    await wait_until_known(running, *ROUTES)
    limited = document(4, 3, *ROUTES)
    limited["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    await running.put_until_accepted(limited)

    async def all_accept() -> bool:
        for daemon in range(len(running.daemons)):
            response = await upload(running, daemon, 0xFF, "warm")
            if response.status != SERVED_STATUS:
                return False
        return True

    await wait_until(all_accept)


async def upload(running: FakePlatform, daemon: int, number: int, kind: str) -> ClientResponse:
    running.requests += 1
    identity = f"{kind}-{number}" if kind == "checked" else f"{kind}-{running.requests}"
    return await running.send_request(
        f"/put/{number}", method="POST", body=body_of(number), daemon=daemon, identity=identity
    )


def executed(running: FakePlatform) -> Counter[str]:
    """Return how often each checked upload ran."""
    return Counter(
        identity
        for backend in running.backends
        for identity in backend.executed
        if identity.startswith("checked-")
    )


def busiest_machine(running: FakePlatform) -> int:
    """Return the number of the machine whose back end runs the most requests."""
    return max(range(len(running.backends)), key=lambda number: running.backends[number].running)


async def check_uploads(running: FakePlatform, disturb: Callable[[int], None]) -> None:
    """Send uploads through all daemons; ``disturb`` ends something at a machine that runs some."""
    tasks = [
        asyncio.create_task(upload(running, number % len(running.daemons), number, "checked"))
        for number in range(UPLOADS)
    ]

    async def some_run() -> bool:
        return max(backend.running for backend in running.backends) >= MIN_RUNNING

    await wait_until(some_run)
    disturb(busiest_machine(running))
    responses = await asyncio.gather(*tasks)
    runs = executed(running)
    assert max(runs.values()) == 1
    for number, response in enumerate(responses):
        if response.status == SERVED_STATUS:
            assert runs[f"checked-{number}"] == 1
            assert response.body.decode() == hashlib.sha256(body_of(number)).hexdigest()
        elif response.status in REFUSALS:
            assert runs[f"checked-{number}"] == 0
    statuses = [response.status for response in responses]
    assert statuses.count(SERVED_STATUS) > 0, statuses
    assert statuses.count(SERVED_STATUS) < UPLOADS, statuses


async def test_upload_runs_once_at_most_when_its_back_end_crashes(tmp_path: Path) -> None:
    handlers = {"sales": digest_body}
    async with run_platform(
        tmp_path, *["sales"] * 3, handlers=handlers, zones=ZONES[:1]
    ) as running:
        await accept_large_bodies(running)
        await check_uploads(running, lambda number: running.backends[number].crash(1.0))


async def test_upload_runs_once_at_most_when_a_daemon_is_killed(tmp_path: Path) -> None:
    handlers = {"sales": digest_body}
    async with run_platform(
        tmp_path, *["sales"] * 3, handlers=handlers, zones=ZONES[:1]
    ) as running:
        await accept_large_bodies(running)
        await check_uploads(running, lambda number: running.daemons[number].stop())
