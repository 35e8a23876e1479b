"""Load of clients that believe a refusal and come again with the same identity."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from tests.platform.fake_platform import FakePlatform
from tests.platform.open_loop import SentRequest
from tests.platform.promises import REFUSALS

SERVED = 200
MAX_SENDINGS = 4
MAX_PAUSE_SECONDS = 0.05
"""Longest pause before a refused client comes again; shorter than most retry-after times, so that
the connection of its first sending is still in use."""


@dataclass
class ClientRequest:
    """A request that may run once at most, and how each of its sendings ended."""

    identity: str
    path: str
    sendings: list[SentRequest] = field(default_factory=list)


async def send_promised(
    running: FakePlatform, count: int, requests_per_second: float, rng: random.Random
) -> list[ClientRequest]:
    """Send ``count`` requests at a constant rate, each until its answer is no refusal."""
    began = time.monotonic()
    pauses = [rng.uniform(0.0, MAX_PAUSE_SECONDS) for _ in range(count)]

    async def run(number: int) -> ClientRequest:
        request = ClientRequest(f"{int(began * 1000) % 10**9:09d}{number:07x}", f"/buy/{number}")
        daemon = number % len(running.daemons)
        while len(request.sendings) < MAX_SENDINGS:
            request.sendings.append(await send_once(running, request, daemon))
            if request.sendings[-1].status not in REFUSALS:
                break
            await asyncio.sleep(pauses[number])
        return request

    tasks = []
    for number in range(count):
        due = began + number / requests_per_second
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.create_task(run(number)))
    return await asyncio.gather(*tasks)


async def send_once(running: FakePlatform, request: ClientRequest, daemon: int) -> SentRequest:
    """Send a request once, whatever was answered before."""
    sent_at = time.monotonic()
    response = await running.send_request(
        request.path, method="POST", body=b"order", daemon=daemon, identity=request.identity
    )
    return SentRequest(
        request.identity,
        daemon,
        sent_at,
        time.monotonic(),
        response.status,
        response.headers,
        response.body,
    )


def sendings_of(requests: Iterable[ClientRequest]) -> list[SentRequest]:
    """Return the sendings of all requests."""
    return [sending for request in requests for sending in request.sendings]


def mixed_up(requests: Iterable[ClientRequest]) -> list[str]:
    """Return the requests that got a success whose body isn't theirs."""
    return [
        request.identity
        for request in requests
        for sending in request.sendings
        if sending.status == SERVED and f" {request.path} ".encode() not in sending.body
    ]


def statuses(requests: Iterable[ClientRequest]) -> Counter[int]:
    """Return how often each status was the last one of a request."""
    return Counter(request.sendings[-1].status for request in requests)
