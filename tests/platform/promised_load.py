"""Load of clients that believe a refusal and come again with the same identity, and its checks."""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from tests.platform.duplicating_backend import DuplicatingBackend
from tests.platform.fake_platform import FakePlatform

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that promise that nothing ran."""

MAX_SENDINGS = 4
MAX_PAUSE_SECONDS = 0.05
"""Longest pause before a refused client comes again; shorter than most retry-after times, so that
the connection of its first sending is still in use."""


@dataclass(frozen=True)
class Sending:
    """One sending of a client request; times are in monotonic seconds."""

    daemon: int
    began: float
    ended: float
    status: int
    body: bytes


@dataclass
class ClientRequest:
    """A request that may run once at most."""

    identity: str
    path: str
    sendings: list[Sending] = field(default_factory=list)


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


async def send_once(running: FakePlatform, request: ClientRequest, daemon: int) -> Sending:
    """Send a request once, whatever was answered before."""
    sent_at = time.monotonic()
    response = await running.send_request(
        request.path, method="POST", body=b"order", daemon=daemon, identity=request.identity
    )
    return Sending(daemon, sent_at, time.monotonic(), response.status, response.body)


def ran_though_refused(running: FakePlatform, requests: list[ClientRequest]) -> list[str]:
    """Return the sendings that got a refusal and ran."""
    started: dict[str, list[float]] = {}
    for backend in running.backends:
        assert isinstance(backend, DuplicatingBackend)
        for at, identity in backend.started:
            started.setdefault(identity, []).append(at)
    found = []
    for request in requests:
        ends = [sending.began for sending in request.sendings[1:]] + [float("inf")]
        for sending, next_began in zip(request.sendings, ends, strict=True):
            ran = [at for at in started.get(request.identity, []) if sending.began <= at]
            ran = [at for at in ran if at < next_began]
            if ran and sending.status in REFUSALS:
                found.append(f"{request.identity} got {sending.status} and ran")
    return found


def ran_twice(running: FakePlatform, requests: list[ClientRequest]) -> list[str]:
    """Return the requests that ran more often than once."""
    runs = Counter(identity for backend in running.backends for identity in backend.executed)
    return [request.identity for request in requests if runs[request.identity] > 1]


def mixed_up(requests: list[ClientRequest]) -> list[str]:
    """Return the successes with a body that isn't the request's."""
    return [
        request.identity
        for request in requests
        for sending in request.sendings
        if sending.status == 200 and f" {request.path} ".encode() not in sending.body
    ]


def statuses(requests: list[ClientRequest]) -> Counter[int]:
    """Return how often each status was the last one of a request."""
    return Counter(request.sendings[-1].status for request in requests)
