"""Polls the platform's list of machines and sends hints to daemons.

A failed read keeps the previous hints.
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

READ_TIMEOUT_SECONDS = 2.0
"""Timeout of one read of the list."""

MAX_LIST_BYTES = 8 << 20
HINT_REPEAT_SECONDS = 10.0
"""Interval at which unchanged hints are resent, for daemons that have connected since."""

READS = Counter("finchshed_control_platform_reads", "Reads of the platform's list", ["result"])
LEAVING_ENDPOINTS = Gauge(
    "finchshed_control_platform_leaving", "Endpoints the platform lists as leaving"
)


UNREADABLE_ENTRIES = Gauge(
    "finchshed_control_platform_unreadable", "Entries of the platform's list that can't be read"
)


class PlatformPoller:
    """Polls the platform's list of machines.

    Parameters
    ----------
    send
        Sends hints to every daemon connected here.
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
        self._unreadable = 0

    async def run(self) -> None:
        """Poll until cancelled; return immediately if no list is configured."""
        if not self._settings.platform_list_url:
            return
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout, trust_env=False) as session:
            while True:
                await self._poll(session)
                await asyncio.sleep(self._settings.platform_poll_seconds)

    async def _poll(self, session: aiohttp.ClientSession) -> None:
        """Read the list once and send hints if they changed or are due."""
        try:
            async with session.get(self._settings.platform_list_url) as response:
                response.raise_for_status()
                data = await response.content.read(MAX_LIST_BYTES)
            listed = decode_instances(data)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError, OSError) as error:
            READS.labels("failed").inc()
            logger.info("cannot read the platform's list of machines: {!r}", error)
            return
        READS.labels("read").inc()
        self._report_unreadable(listed.unreadable)
        now = asyncio.get_running_loop().time()
        changed = self._list.update(listed.instances, now)
        if changed or now >= self._repeat_due:
            self._repeat_due = now + HINT_REPEAT_SECONDS
            resources = self._machine.store.resources.values()
            endpoints = [item for item in resources if isinstance(item, Endpoint)]
            hints = self._list.hints(endpoints, now)
            LEAVING_ENDPOINTS.set(len(hints.leaving))
            self._send(hints)

    def _report_unreadable(self, entries: int) -> None:
        """Log a changed number of entries that can't be read."""
        UNREADABLE_ENTRIES.set(entries)
        if entries != self._unreadable:
            self._unreadable = entries
            logger.warning("entries of the platform's list that can't be read: {}", entries)
