"""Reads the platform's list now and then and passes hints on to daemons.

Owns the reading of the list; a list that can't be read changes nothing.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec
from loguru import logger

from finchshed.configuration.resources import Endpoint
from finchshed.control.daemons.platform_list import PlatformList, decode_instances
from finchshed.control.settings import ControlSettings
from finchshed.control.state.machine import ControlStateMachine
from finchshed.distribution.messages import Hints
from finchshed.observability.instruments import Counter, Gauge

READ_SECONDS = 2.0
"""Longest wait for the list."""

MAX_LIST_BYTES = 8 << 20
REPEAT_SECONDS = 10.0
"""Unchanged hints are sent again after this long, for daemons that connected meanwhile."""

READS = Counter("finchshed_control_platform_reads", "Reads of the platform's list", ["result"])
LEAVING = Gauge("finchshed_control_platform_leaving", "Endpoints the platform lists as leaving")


class PlatformPoller:
    """Polls the platform's list.

    Parameters
    ----------
    send
        Passes hints on to every daemon connected here.
    """

    def __init__(
        self,
        settings: ControlSettings,
        machine: ControlStateMachine,
        send: Callable[[Hints], None],
    ) -> None:
        self._settings = settings
        self._machine = machine
        self._send = send
        self._list = PlatformList(settings.platform_lag_seconds)
        self._repeat_due = 0.0

    async def run(self) -> None:
        """Poll until cancelled; return at once where no list is configured."""
        if not self._settings.platform_list_url:
            return
        timeout = aiohttp.ClientTimeout(total=READ_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout, trust_env=False) as session:
            while True:
                await self._poll(session)
                await asyncio.sleep(self._settings.platform_poll_seconds)

    async def _poll(self, session: aiohttp.ClientSession) -> None:
        """Read the list once; what can't be read changes nothing."""
        try:
            async with session.get(self._settings.platform_list_url) as response:
                response.raise_for_status()
                data = await response.content.read(MAX_LIST_BYTES)
            instances = decode_instances(data)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError, OSError) as error:
            READS.labels("failed").inc()
            logger.info("platform's list can't be read: {!r}", error)
            return
        READS.labels("read").inc()
        now = asyncio.get_running_loop().time()
        changed = self._list.update(instances, now)
        if changed or now >= self._repeat_due:
            self._repeat_due = now + REPEAT_SECONDS
            resources = self._machine.store.resources.values()
            endpoints = [item for item in resources if isinstance(item, Endpoint)]
            hints = self._list.hints(endpoints, now)
            LEAVING.set(len(hints.leaving))
            self._send(hints)
