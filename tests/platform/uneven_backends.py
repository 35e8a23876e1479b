"""Back ends of a fake platform whose speed changes, and which report it in their load header."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from aiohttp import web

from tests.platform.fake_backend import HEALTH_PATH, FakeBackend, echo

LOAD_HEADER = "Server-Load"
PERCENT = 100

Slowdown = Callable[[int, float], float]
"""Slowdown of a back end by its number, at a time since the start of the load in seconds."""


class UnevenWork:
    """Handler of the requests of all back ends.

    Parameters
    ----------
    seconds
        Usual time of a request.
    slowdown
        Present slowdown of each back end.

    Attributes
    ----------
    reports
        Whether the load header has the fourth field.
    sends_load
        Whether answers have a load header.
    most_running
        Most requests at a time, by instance.
    began
        Start of the load, in monotonic seconds.
    """

    def __init__(self, seconds: float, slowdown: Slowdown) -> None:
        self.reports = True
        self.sends_load = True
        self.most_running: Counter[str] = Counter()
        self.began = float("inf")
        self._seconds = seconds
        self._slowdown = slowdown
        self._running: Counter[str] = Counter()

    def restart(self) -> None:
        """Begin the load now; its back ends have the usual speed until then."""
        self.began = time.monotonic()

    async def __call__(self, backend: FakeBackend, request: web.Request) -> web.Response:
        """Work on a request, or answer a health check at once."""
        if request.path == HEALTH_PATH:
            response = web.Response(headers={"Instance-Id": backend.instance})
        else:
            name = backend.instance
            self._running[name] += 1
            self.most_running[name] = max(self.most_running[name], self._running[name])
            await asyncio.sleep(self._seconds * self.slowdown_of(backend, time.monotonic()))
            self._running[backend.instance] -= 1
            response = await echo(backend, request)
        if self.sends_load:
            response.headers[LOAD_HEADER] = self._load(backend)
        return response

    def slowdown_of(self, backend: FakeBackend, at: float) -> float:
        """Return the slowdown of a back end at a monotonic time."""
        if at < self.began:
            return 1.0
        number = int(backend.instance.split("-")[1])
        return self._slowdown(number, at - self.began)

    def share_of_slow(self, backends: list[FakeBackend], begin: float, end: float) -> float:
        """Return the share of requests that reached a back end while it was slow."""
        slow = total = 0
        for backend in backends:
            for at, identity in backend.arrivals:
                if identity and begin <= at - self.began < end:
                    total += 1
                    slow += self.slowdown_of(backend, at) > 1.0
        return slow / max(1, total)

    def _load(self, backend: FakeBackend) -> str:
        fields = [self._running[backend.instance], 0, backend.slots]
        if self.reports:
            fields.append(round(PERCENT * self.slowdown_of(backend, time.monotonic())))
        return ",".join(str(field) for field in fields)
