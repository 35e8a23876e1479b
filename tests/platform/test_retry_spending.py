"""Guards against retries for calls whose trees fail later, and beyond the bound."""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

import aiohttp
from aiohttp import web

from tests.platform.fake_backend import OUTBOUND_PORT, FakeBackend, echo
from tests.platform.fake_platform import (
    FakePlatform,
    route,
    run_platform,
    wait_until,
    wait_until_known,
)
from tests.platform.open_loop import SentRequest, send_open_loop

ROUTES = (
    route("/look/", "sales", max_attempts=1),
    route("/stock/", "ledger", max_attempts=4),
)
SERVICES = ("sales", "sales", "ledger", "ledger")
CALLING_DAEMONS = (0, 1)
CALLS = 4
WORK_SECONDS = 0.02
TREES_PER_SECOND = 60.0
LEARNING_SECONDS = 3.0
LOAD_SECONDS = 8.0

RATIO = 0.2
SLACK_RETRIES = 50.0
WINDOW_SECONDS = 10.0
"""Retries in any window stay within ``RATIO`` of its requests and ``SLACK_RETRIES``."""

ACCEPTANCE = 0.5
MIN_COMPLETED = 2.0 * ACCEPTANCE**CALLS
"""Twice the fraction of the trees that complete without any retry."""


class RefusingLedger:
    """Back ends that refuse a fixed fraction of their requests while ``refuses`` is set."""

    def __init__(self, seed: int) -> None:
        self.refuses = False
        self._rng = random.Random(seed)

    async def handle(self, backend: FakeBackend, request: web.Request) -> web.Response:
        """Refuse without running, or answer after a time."""
        if self.refuses and self._rng.random() >= ACCEPTANCE:
            return web.Response(status=503, headers={"Not-Executed": "1"})
        await asyncio.sleep(WORK_SECONDS)
        return await echo(backend, request)


async def make_calls(backend: FakeBackend, request: web.Request) -> web.Response:
    """Make the calls of a tree one after the other; fail with the first that fails."""
    assert backend.session is not None
    parent = request.headers.get("Request-Id", "")
    if not parent:
        return await echo(backend, request)
    for number in range(CALLS):
        headers = {"Host": "sales.example", "Request-Id": f"{parent}.{number}"}
        url = f"http://{backend.ip}:{OUTBOUND_PORT}/stock/{number}"
        try:
            async with backend.session.get(url, headers=headers) as response:
                await response.read()
                is_answered = response.status == 200
        except aiohttp.ClientError:
            is_answered = False  # the daemon is restarting
        if not is_answered:
            return web.Response(status=500)
    return await echo(backend, request)


def largest_excess(running: FakePlatform) -> float:
    """Return the most retries beyond ``RATIO`` of the requests to the ledger, in any window."""
    arrivals = sorted(
        (at, identity)
        for backend in running.backends
        if backend.service == "ledger"
        for at, identity in backend.arrivals
    )
    seen: set[str] = set()
    events = []
    for at, identity in arrivals:
        events.append((at, -RATIO if identity not in seen else 1.0))
        seen.add(identity)
    largest = 0.0
    for begin, (began_at, _) in enumerate(events):
        excess = 0.0
        for at, change in events[begin:]:
            if at > began_at + WINDOW_SECONDS:
                break
            excess += change
            largest = max(largest, excess)
    return largest


async def send_trees(running: FakePlatform, seconds: float) -> list[SentRequest]:
    """Send root requests through the daemons beside the calling back ends."""
    return await send_open_loop(running, seconds, TREES_PER_SECOND, daemons=CALLING_DAEMONS)


def completed_fraction(sent: list[SentRequest]) -> float:
    return Counter(request.status for request in sent)[200] / len(sent)


async def test_retries_complete_trees_within_the_bound(tmp_path: Path) -> None:
    ledger = RefusingLedger(1)
    handlers = {"sales": make_calls, "ledger": ledger.handle}
    async with run_platform(tmp_path, *SERVICES, handlers=handlers) as running:
        await wait_until_known(running, *ROUTES)
        learnt = await send_trees(running, LEARNING_SECONDS)
        assert completed_fraction(learnt) == 1.0
        ledger.refuses = True
        sent = await send_trees(running, LOAD_SECONDS)
        completed = completed_fraction(sent)
        excess = largest_excess(running)
        print(f"{completed:.3f} of the trees completed, {excess:.1f} retries beyond the ratio")
        assert completed >= MIN_COMPLETED
        assert excess <= SLACK_RETRIES


# The tokens of a daemon that restarts are lost; what it begins with doesn't exceed its share.
async def test_bound_holds_while_a_calling_daemon_restarts(tmp_path: Path) -> None:
    ledger = RefusingLedger(2)
    handlers = {"sales": make_calls, "ledger": ledger.handle}
    async with run_platform(tmp_path, *SERVICES, handlers=handlers) as running:
        await wait_until_known(running, *ROUTES)
        await send_trees(running, LEARNING_SECONDS)
        ledger.refuses = True
        load = asyncio.create_task(send_trees(running, LOAD_SECONDS))
        await asyncio.sleep(1.5)
        running.daemons[0].stop()
        running.daemons[0].start()

        async def is_ready() -> bool:
            return await running.is_ready(0)

        await wait_until(is_ready, LOAD_SECONDS)
        ready_at = time.monotonic()
        sent = await load
        late = [item for item in sent if item.daemon == 0 and item.sent_at > ready_at + 1.0]
        assert len(late) >= TREES_PER_SECOND, "the daemon restarted in time for the check"
        excess = largest_excess(running)
        print(f"{completed_fraction(late):.3f} completed after it, {excess:.1f} retries beyond")
        assert completed_fraction(late) > ACCEPTANCE**CALLS
        assert excess <= SLACK_RETRIES
