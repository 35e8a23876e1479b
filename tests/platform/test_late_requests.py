"""Guards against requests that a stopping daemon takes late, passes on and cuts off unanswered.

Clients keep using their open connections until the process is gone, as those of a platform do that
doesn't take the machine out. Real processes, in calm.
"""

import asyncio
import contextlib
import random
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web

from tests.platform.fake_backend import OUTBOUND_PORT, FakeBackend, echo
from tests.platform.fake_platform import (
    ZONES,
    FakePlatform,
    Machine,
    document,
    route,
    run_platform,
    wait_until_known,
)
from tests.platform.stop_series import (
    GRACE_SECONDS,
    LAST_PART_SECONDS,
    LATE_SECONDS,
    read_answer,
)

CLIENTS = 16
IDLE_CLIENTS = 60
"""Clients whose connection is idle until they send a request, one each 0.1 s after the SIGTERM."""

CALM_SECONDS = 3.0
MAX_PAUSE_SECONDS = 0.3
SHORT, LONG = "/buy/", "/send/"
TIMEOUT_SECONDS = {SHORT: 0.8, LONG: 3.0}
MAX_WORK_SECONDS = {SHORT: 0.7, LONG: 2.5}
DEADLINE_MS = 6_000
CALL_PATH = "/look/called"


@dataclass
class Sent:
    """A request on a kept connection; times are monotonic."""

    identity: str
    at: float
    ended_at: float = 0.0
    status: int | None = None
    """Status of the whole answer, None if the connection ended without one."""


@dataclass
class Clients:
    """Clients of one machine."""

    machine: Machine
    rng: random.Random
    sent: list[Sent] = field(default_factory=list)
    is_over: bool = False

    async def run(self, number: int) -> None:
        """Send requests one after the other, on a kept connection for as long as it lasts."""
        while not self.is_over:
            try:
                streams = await asyncio.open_connection(self.machine.ip, OUTBOUND_PORT)
            except OSError:
                await asyncio.sleep(MAX_PAUSE_SECONDS)
                continue
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._use(number, *streams)
            streams[1].transport.abort()

    async def run_late(self, number: int, pause: float) -> None:
        """Send a request on a connection that was idle for ``pause`` seconds."""
        streams = await asyncio.open_connection(self.machine.ip, OUTBOUND_PORT)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self._ask(number, *streams)
            await asyncio.sleep(pause)
            await self._ask(number, *streams)
        streams[1].transport.abort()

    async def _use(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_SECONDS))
            headers = await self._ask(number, reader, writer)
            if headers.get("connection") == "close":
                return

    async def _ask(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> dict[str, str]:
        """Send a request; return the headers of its answer."""
        prefix = self.rng.choice((SHORT, LONG))
        work = self.rng.uniform(0.0, MAX_WORK_SECONDS[prefix])
        sent = Sent(f"{number:04x}{len(self.sent):012x}", time.monotonic())
        self.sent.append(sent)
        head = f"POST {prefix}{work:.3f} HTTP/1.1\r\nHost: sales.example\r\n"
        head += f"Request-Id: {sent.identity}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
        try:
            writer.write(f"{head}Content-Length: 4\r\n\r\nbody".encode())
            return await read_answer(reader, sent)
        finally:
            sent.ended_at = time.monotonic()


async def work(backend: FakeBackend, request: web.Request) -> web.Response:
    """Answer after the time that the path names."""
    if request.path.startswith((SHORT, LONG)):
        await asyncio.sleep(float(request.path.rpartition("/")[2]))
    return await echo(backend, request)


def documents() -> list[dict[str, object]]:
    """Return a configuration, and one that changes nothing but another route."""
    routes = [
        route(prefix, "ledger", "unsafe", timeout_s=TIMEOUT_SECONDS[prefix], max_attempts=1)
        for prefix in (SHORT, LONG)
    ]
    looks = (route("/look/", "ledger"), route("/other/", "sales"))
    return [document(3, 0, *routes, *looks), document(4, 3, *routes, looks[0])]


async def disturb(running: FakePlatform, stopped: Machine, rng: random.Random) -> None:
    """Send further signals and change the configuration during the stop."""
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        if stopped.process is not None and stopped.process.poll() is None:
            stopped.signal(number)
        if number is signal.SIGTERM:
            await running.put(documents()[1])


def breaks(sent: list[Sent], ran: set[str], stopped_at: float) -> list[str]:
    """Return the requests that were lost, or said not to have run though they had."""
    found = []
    for request in sent:
        after = request.at - stopped_at
        if request.identity not in ran:
            continue
        at_work_at_end = request.ended_at - stopped_at >= GRACE_SECONDS - LAST_PART_SECONDS
        is_excused = after <= LATE_SECONDS and at_work_at_end
        if request.status is None and not is_excused:
            found.append(f"{request.identity} sent {after:.2f} s after the SIGTERM was cut")
        elif request.status in {408, 421, 429, 503}:
            found.append(f"{request.identity} sent {after:.2f} s after it: {request.status}, ran")
    return found


@pytest.mark.parametrize("is_disturbed", [False, True], ids=["calm", "disturbed"])
async def test_a_stopping_daemon_answers_what_it_passes_on(
    tmp_path: Path, is_disturbed: bool
) -> None:
    rng = random.Random(64)
    async with run_platform(
        tmp_path,
        *("sales", "sales", "ledger", "ledger"),
        handlers={"ledger": work},
        zones=ZONES,
        bounds={"grace_s": GRACE_SECONDS},
    ) as running:
        for backend in running.backends:
            backend.slots = 64
        await wait_until_known(running, *documents()[0]["listeners"][0]["ruleset"])  # type: ignore[index]
        stopped = running.daemons[:2]
        clients = [Clients(machine, rng) for machine in stopped]
        sending = [
            asyncio.create_task(group.run(number + 1000 * at))
            for at, group in enumerate(clients)
            for number in range(CLIENTS)
        ]
        sending += [
            asyncio.create_task(group.run_late(number + 1000 * at, CALM_SECONDS + number * 0.1))
            for at, group in enumerate(clients)
            for number in range(CLIENTS, CLIENTS + IDLE_CLIENTS)
        ]
        await asyncio.sleep(CALM_SECONDS)
        stopped_at = time.monotonic()
        for machine in stopped:
            machine.signal(signal.SIGTERM)
        disturbing = [
            asyncio.create_task(disturb(running, machine, rng))
            for machine in (stopped if is_disturbed else [])
        ]
        ends = await asyncio.gather(
            *(asyncio.to_thread(machine.wait, 2 * GRACE_SECONDS) for machine in stopped)
        )
        took = time.monotonic() - stopped_at
        for group in clients:
            group.is_over = True
        await asyncio.gather(*sending, *disturbing)
        ran = {identity for backend in running.backends for identity in backend.executed}
        sent = [request for group in clients for request in group.sent]
        assert breaks(sent, ran, stopped_at) == []
        assert ends == [0, 0]
        assert took < GRACE_SECONDS
        # Requests did come late, and those that had time were served.
        late = [request for request in sent if request.at - stopped_at > 0.0]
        assert sum(request.status == 200 for request in late) > CLIENTS


# A request that the back end runs may call on until it ends; without its call it fails.
async def test_a_stopping_daemon_takes_the_calls_of_what_its_backend_runs(tmp_path: Path) -> None:
    statuses: list[int] = []

    async def call_late(backend: FakeBackend, request: web.Request) -> web.Response:
        if request.path != "/look/outer":
            return await echo(backend, request)
        running.daemons[0].signal(signal.SIGTERM)
        for number in range(3):
            # Each on a connection of its own, the last ones after the end of the notice time.
            await asyncio.sleep(1.0)
            identity = f"{request.headers['Request-Id']}.{number}"
            async with aiohttp.ClientSession() as running.session:
                response = await running.send_request(CALL_PATH, identity=identity)
            statuses.append(response.status)
        return await echo(backend, request)

    async with run_platform(
        tmp_path, "sales", "ledger", handlers={"sales": call_late}, bounds={"grace_s": 6.0}
    ) as running:
        await wait_until_known(
            running,
            route("/look/", "sales", timeout_s=4.0),
            route(CALL_PATH, "ledger"),
            route("/look/early", "ledger"),
        )
        response = await running.send_request("/look/outer", daemon=1, deadline_ms=5000)
        assert running.daemons[0].wait(6.0) == 0
    assert statuses == [200, 200, 200]
    assert response.status == 200
