"""Open-loop load through all daemons of a fake platform, and the rate limit checker."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from tests.platform.fake_backend import FakeBackend
from tests.platform.fake_platform import FakePlatform

WINDOW_SECONDS = 4.0
"""Length of the windows in which requests are counted."""

LIMIT_FACTOR = 1.5
LIMIT_SLACK_REQUESTS = 5.0
"""A window may hold this factor times the named rate, and this many requests more."""

LEARNING_SECONDS = 3.0
"""Time after the first answer with a limit from which windows are checked."""

TOLD_SECONDS = 0.5
"""A daemon counts as told this long after it passed on an answer with the limit."""


@dataclass(frozen=True)
class SentRequest:
    """One request of the load; ``ended_at`` and ``sent_at`` are in monotonic seconds."""

    identity: str
    daemon: int
    sent_at: float
    ended_at: float
    status: int
    headers: dict[str, str]
    body: bytes = b""

    @property
    def seconds(self) -> float:
        """Time until the response."""
        return self.ended_at - self.sent_at


async def send_open_loop(
    running: FakePlatform,
    seconds: float,
    requests_per_second: float,
    *,
    path: Callable[[int], str] = "/look/{}".format,
    daemons: tuple[int, ...] | None = None,
) -> list[SentRequest]:
    """Send requests at a constant rate through the daemons in turn; return them in order."""
    targets = daemons or tuple(range(len(running.daemons)))
    began = time.monotonic()

    async def send(number: int) -> SentRequest:
        daemon = targets[number % len(targets)]
        identity = f"{int(began * 1000) % 10**9:09d}{number:07x}"
        sent_at = time.monotonic()
        response = await running.send_request(path(number), daemon=daemon, identity=identity)
        return SentRequest(
            identity, daemon, sent_at, time.monotonic(), response.status, response.headers
        )

    tasks = []
    for number in range(int(seconds * requests_per_second)):
        await asyncio.sleep(max(0.0, began + number / requests_per_second - time.monotonic()))
        tasks.append(asyncio.create_task(send(number)))
    return await asyncio.gather(*tasks)


def told_at(
    sent: list[SentRequest], backend: FakeBackend, header: str, daemon_count: int
) -> dict[int, float]:
    """Return when each daemon first passed on an answer of ``backend`` with ``header``."""
    first: dict[int, float] = {}
    for request in sorted(sent, key=lambda item: item.ended_at):
        is_from_backend = request.headers.get("server-seal") == f"seal-{backend.instance}"
        if is_from_backend and header in request.headers:
            first.setdefault(request.daemon, request.ended_at)
    return {daemon: first.get(daemon, float("inf")) for daemon in range(daemon_count)}


def largest_window(
    sent: list[SentRequest],
    backend: FakeBackend,
    named_at: float,
    daemon_count: int,
    *,
    excused: frozenset[int] = frozenset(),
) -> int:
    """Return the most requests that ``backend`` got in a window from daemons it had told.

    ``named_at`` is when it first named its limit. Requests that began at ``excused`` daemons don't
    count.
    """
    told = told_at(sent, backend, "server-limit", daemon_count)
    daemon_of = {request.identity: request.daemon for request in sent}
    arrivals = sorted(
        at
        for at, identity in backend.arrivals
        if identity in daemon_of
        and daemon_of[identity] not in excused
        and at >= told[daemon_of[identity]] + TOLD_SECONDS
    )
    largest = 0
    for end in arrivals:
        if end >= named_at + LEARNING_SECONDS:
            largest = max(largest, sum(end - WINDOW_SECONDS <= at <= end for at in arrivals))
    return largest


def allowed_in_window(requests_per_second: float) -> float:
    """Return the most requests that a window may hold."""
    return LIMIT_FACTOR * requests_per_second * WINDOW_SECONDS + LIMIT_SLACK_REQUESTS


def arrivals_between(backend: FakeBackend, begin: float, end: float) -> int:
    """Return the number of requests that reached ``backend`` in an interval."""
    return sum(begin <= at < end for at, _ in backend.arrivals)
