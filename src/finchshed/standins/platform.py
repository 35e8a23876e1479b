"""Stand-in for the platform: a lagging list of live and leaving machines.

``GET /instances`` tells the list as it was ``lag_seconds`` ago; ``PUT /instances`` (the fleet
runner's) sets what is true now.
"""

import collections
import enum

import msgspec
from aiohttp import web

from finchshed.standins.records import monotonic
from finchshed.standins.serving import serve_until_stopped
from finchshed.standins.settings import PlatformSettings


class StandinInstanceState(enum.StrEnum):
    """What the platform says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"


class StandinInstance(msgspec.Struct, frozen=True):
    """One machine of the list."""

    name: str
    address: str
    incarnation: str
    state: StandinInstanceState


class LaggingList:
    """Shows each version of the list only after the lag has passed."""

    def __init__(self, lag_seconds: float) -> None:
        self._lag_seconds = lag_seconds
        self._shown: tuple[StandinInstance, ...] = ()
        self._pending: collections.deque[tuple[float, tuple[StandinInstance, ...]]] = (
            collections.deque()
        )

    def replace(self, instances: tuple[StandinInstance, ...], now: float) -> None:
        """Set what is true from ``now`` on."""
        self._pending.append((now + self._lag_seconds, instances))

    def shown(self, now: float) -> tuple[StandinInstance, ...]:
        """Return what the platform tells at ``now``."""
        while self._pending and self._pending[0][0] <= now:
            _, self._shown = self._pending.popleft()
        return self._shown


async def run_platform(settings: PlatformSettings) -> int:
    """Serve the list until a stop signal; return the exit code."""
    instances = LaggingList(settings.lag_seconds)
    first = True

    async def get(_: web.Request) -> web.Response:
        body = msgspec.json.encode(instances.shown(monotonic()))
        return web.Response(body=body, content_type="application/json")

    async def put(request: web.Request) -> web.Response:
        nonlocal first
        replacement = msgspec.json.decode(await request.read(), type=tuple[StandinInstance, ...])
        now = monotonic()
        # The first list is what the platform knew before the run began: it has no lag.
        instances.replace(replacement, now - settings.lag_seconds if first else now)
        first = False
        return web.Response(status=204)

    app = web.Application()
    app.router.add_get("/instances", get)
    app.router.add_put("/instances", put)
    await serve_until_stopped(app, settings.address)
    return 0
