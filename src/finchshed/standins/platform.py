"""Simulated platform: serves a delayed list of live and leaving instances.

``GET /instances`` returns the list as it was ``lag_seconds`` ago. The fleet runner sets the
current list with ``PUT /instances``.
"""

import collections
import enum

import msgspec
from aiohttp import web

from finchshed.standins.records import monotonic
from finchshed.standins.serving import serve_until_stopped
from finchshed.standins.settings import PlatformSettings


class StandinInstanceState(enum.StrEnum):
    """State of an instance as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class StandinInstance(msgspec.Struct, frozen=True):
    """One entry of the instance list."""

    name: str
    address: str
    incarnation: str
    state: StandinInstanceState


class DelayedInstanceList:
    """Publishes each version of the list after a fixed delay."""

    def __init__(self, lag_seconds: float) -> None:
        self._lag_seconds = lag_seconds
        self._published: tuple[StandinInstance, ...] = ()
        self._pending: collections.deque[tuple[float, tuple[StandinInstance, ...]]] = (
            collections.deque()
        )

    def replace(self, instances: tuple[StandinInstance, ...], now: float) -> None:
        """Set the list that is published ``lag_seconds`` after ``now``."""
        self._pending.append((now + self._lag_seconds, instances))

    def published(self, now: float) -> tuple[StandinInstance, ...]:
        """Return the list published at ``now``."""
        while self._pending and self._pending[0][0] <= now:
            _, self._published = self._pending.popleft()
        return self._published


async def run_platform(settings: PlatformSettings) -> int:
    """Serve the list until a stop signal; return the exit code."""
    instances = DelayedInstanceList(settings.lag_seconds)
    is_initial = True

    async def get(_: web.Request) -> web.Response:
        body = msgspec.json.encode(instances.published(monotonic()))
        return web.Response(body=body, content_type="application/json")

    async def put(request: web.Request) -> web.Response:
        nonlocal is_initial
        replacement = msgspec.json.decode(await request.read(), type=tuple[StandinInstance, ...])
        now = monotonic()
        # The initial list describes the state before the run, so it is published without delay.
        instances.replace(replacement, now - settings.lag_seconds if is_initial else now)
        is_initial = False
        return web.Response(status=204)

    app = web.Application()
    app.router.add_get("/instances", get)
    app.router.add_put("/instances", put)
    await serve_until_stopped(app, settings.address)
    return 0
