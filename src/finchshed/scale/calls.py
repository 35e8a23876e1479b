"""Calls through the real daemons of a scale run, at a steady rate."""

import asyncio
import time

import aiohttp
import msgspec

from finchshed.common.context import HEADER_SERVICE
from finchshed.scale.in_force import Quantiles, quantiles
from finchshed.scale.layout import REAL_SERVICE

TIMEOUT_SECONDS = 5.0
HTTP_OK = 200


class CallResults(msgspec.Struct, frozen=True):
    """What became of the calls; ``seconds`` are the times of those answered."""

    sent: int
    answered: int
    seconds: Quantiles


class Calls:
    """Sends calls to the edge until stopped; use as an asynchronous context manager."""

    def __init__(self, edge_address: str, rate_per_second: float) -> None:
        self._url = f"http://{edge_address}/"
        self._rate = rate_per_second
        self._sent = 0
        self._times: list[float] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._sending: asyncio.Task[None] | None = None
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> "Calls":
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        if self._rate > 0.0:
            self._sending = asyncio.create_task(self._send_all())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._sending is not None:
            self._sending.cancel()
        for task in list(self._tasks):
            task.cancel()
        await self._session.close()

    def take(self) -> CallResults:
        """Return the results since the last call of this."""
        results = CallResults(self._sent, len(self._times), quantiles(self._times))
        self._sent = 0
        self._times = []
        return results

    async def _send_all(self) -> None:
        due = time.monotonic()
        while True:
            due += 1.0 / self._rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.create_task(self._send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self) -> None:
        self._sent += 1
        started = time.monotonic()
        headers = {HEADER_SERVICE: REAL_SERVICE}
        try:
            async with self._session.get(self._url, headers=headers) as response:
                await response.read()
                if response.status == HTTP_OK:
                    self._times.append(time.monotonic() - started)
        except (aiohttp.ClientError, TimeoutError):
            return
