"""Load of the soak: plain clients, a greedy one, returns when told, back ends that slow down."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

from tests.platform.fake_backend import FakeBackend
from tests.platform.open_loop import SentRequest
from tests.platform.soak_state import PURCHASE_PREFIX, RETURNABLE_STATUSES, Soak, told_seconds

READ_PREFIX = "a"
PLAIN_KEY = "key-plain"
GREEDY_KEY = "key-greedy"
TENANTS: tuple[dict[str, Any], ...] = (
    {"name": "plain", "api_keys": [PLAIN_KEY]},
    {"name": "greedy", "api_keys": [GREEDY_KEY]},
)

PLAIN_PER_SECOND = 60.0
GREEDY_PER_SECOND = 180.0
GREEDY_BURST_SECONDS = 1.5
GREEDY_PAUSE_SECONDS = 2.5
PURCHASE_EVERY = 4
"""One in this many requests of the plain clients is a purchase."""

CLIENT_DEADLINE_SECONDS = 3.0
SLOWDOWNS = (1.0, 1.0, 1.0, 1.6, 2.5)
"""Slowdowns that back ends draw from; above 1.0 means that work takes longer."""

MIN_SLOWDOWN_SECONDS, MAX_SLOWDOWN_SECONDS = 0.1, 0.5
"""Bounds of the time until a back end draws its next slowdown."""


@dataclass(frozen=True)
class ClientRequest:
    """A request that a client makes, and makes once more if it is refused and told when."""

    number: int
    daemon: int
    key: str
    is_purchase: bool = False
    is_return: bool = False
    keeps_identity: bool = False
    """Whether a return has the identity of the first sending."""

    @property
    def identity(self) -> str:
        """Identity of the request."""
        prefix = PURCHASE_PREFIX if self.is_purchase else READ_PREFIX
        owner = "c" if self.key == GREEDY_KEY else "d"
        sending = int(self.is_return and not self.keeps_identity)
        return f"{prefix}{owner}{sending}{self.number:013x}"


async def play_load(soak: Soak, end: float, rng: random.Random) -> None:
    """Send the requests of all clients, and vary the back ends' speed, until ``end``."""
    slowdowns = [vary_slowdown(backend, end, rng) for backend in soak.running.backends]
    await asyncio.gather(send_plain(soak, end), send_greedy(soak, end), *slowdowns)


async def vary_slowdown(backend: FakeBackend, end: float, rng: random.Random) -> None:
    """Change the speed that a back end works at and reports, several times a second."""
    backend.reports_load = True
    while time.monotonic() < end:
        backend.slowdown = rng.choice(SLOWDOWNS)
        await asyncio.sleep(rng.uniform(MIN_SLOWDOWN_SECONDS, MAX_SLOWDOWN_SECONDS))
    backend.slowdown = 1.0


async def send_plain(soak: Soak, end: float) -> None:
    """Send reads and purchases through all daemons at a constant rate until ``end``."""

    async def send(number: int) -> None:
        daemon = number % len(soak.running.daemons)
        is_purchase = number % PURCHASE_EVERY == 0
        await send_and_return(soak, ClientRequest(number, daemon, PLAIN_KEY, is_purchase))

    await send_at_rate(send, PLAIN_PER_SECOND, end)


async def send_greedy(soak: Soak, end: float) -> None:
    """Send bursts of reads of one tenant, far above what the others send, until ``end``."""
    sent = 0
    while time.monotonic() < end:
        first = sent

        async def send(number: int, first: int = first) -> None:
            number += first
            daemon = number % len(soak.running.daemons)
            await send_and_return(soak, ClientRequest(number, daemon, GREEDY_KEY))

        burst_end = min(end, time.monotonic() + GREEDY_BURST_SECONDS)
        sent += await send_at_rate(send, GREEDY_PER_SECOND, burst_end)
        await asyncio.sleep(GREEDY_PAUSE_SECONDS)


async def send_at_rate(
    send: Callable[[int], Awaitable[None]], requests_per_second: float, end: float
) -> int:
    """Send numbered requests at a constant rate until ``end``, whatever the answers.

    Returns their number once all have ended.
    """
    began = time.monotonic()
    tasks: list[asyncio.Future[None]] = []
    while time.monotonic() < end:
        tasks.append(asyncio.ensure_future(send(len(tasks))))
        next_at = began + len(tasks) / requests_per_second
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
    await asyncio.gather(*tasks)
    return len(tasks)


async def send_and_return(soak: Soak, request: ClientRequest) -> None:
    """Send a request; if it is refused, send it once more at the time that the client was told.

    The deadline of the return is what is left of the first one; without time left, none is sent.
    """
    deadline = time.monotonic() + CLIENT_DEADLINE_SECONDS
    first = await send_one(soak, request, CLIENT_DEADLINE_SECONDS)
    told = told_seconds(first) if first.status in RETURNABLE_STATUSES else None
    if told is None or time.monotonic() + told >= deadline:
        return
    await asyncio.sleep(told)
    again = replace(request, is_return=True, keeps_identity=soak.plan is not None)
    remaining = deadline - time.monotonic()
    if remaining > 0.0:
        soak.returned.append(await send_one(soak, again, remaining))


async def send_one(soak: Soak, request: ClientRequest, deadline_seconds: float) -> SentRequest:
    """Send one request and record how it ended."""
    sent_at = time.monotonic()
    response = await soak.running.send_request(
        f"/{'buy' if request.is_purchase else 'look'}/{request.number}",
        daemon=request.daemon,
        identity=request.identity,
        method="POST" if request.is_purchase else "GET",
        body=b"order" if request.is_purchase else b"",
        deadline_ms=max(1, int(deadline_seconds * 1000)),
        key=request.key,
    )
    sent = SentRequest(
        request.identity,
        request.daemon,
        sent_at,
        time.monotonic(),
        response.status,
        response.headers,
    )
    soak.sent.append(sent)
    return sent
