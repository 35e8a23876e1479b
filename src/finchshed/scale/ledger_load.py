"""Requests to the at-most-once ledger at a steady rate, spread over all control nodes."""

import asyncio
import random
import time

import msgspec

from finchshed.common.outcomes import Answered
from finchshed.distribution.addresses import ControlAddress
from finchshed.distribution.client import ClientHandlers, ControlClient
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.messages import LedgerGranted
from finchshed.ledger.keys import new_key
from finchshed.scale.in_force import Quantiles, quantiles

REQUEST_TIMEOUT_SECONDS = 5.0
ANSWER = Answered(200, (), b"x" * 100)


class LedgerResult(msgspec.Struct, frozen=True):
    """Requests granted and completed a second, and how long leave took, seconds."""

    rate: float
    begin: Quantiles


class LedgerLoad:
    """Runs requests through the ledger: begin, then complete with an answer of 100 bytes.

    Parameters
    ----------
    addresses
        Distribution addresses of control nodes; one client links to each.
    """

    def __init__(self, addresses: tuple[str, ...], seed: int) -> None:
        self._rng = random.Random(seed)
        self._clients = [_client(address, self._rng) for address in addresses]
        self._running: list[asyncio.Task[None]] = []
        self._times: list[float] = []
        self._failed = 0

    async def start(self) -> None:
        """Link to the control nodes."""
        self._running = [asyncio.create_task(client.run()) for client in self._clients]
        async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
            while not all(client.is_connected for client in self._clients):  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End all links."""
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    async def run(self, rate: float, seconds: float) -> LedgerResult:
        """Make requests at ``rate``, whether or not earlier ones were answered."""
        self._times = []
        self._failed = 0
        started = time.monotonic()
        count = round(rate * seconds)
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                wait = started + number / rate - time.monotonic()
                if wait > 0.0:
                    await asyncio.sleep(wait)
                client = self._clients[number % len(self._clients)]
                group.create_task(self._request(client))
        elapsed = time.monotonic() - started
        return LedgerResult((count - self._failed) / elapsed, quantiles(self._times))

    async def _request(self, client: ControlClient) -> None:
        key = new_key(time.time(), self._rng)
        started = time.monotonic()
        answer = await client.begin(key, key, REQUEST_TIMEOUT_SECONDS)
        if not isinstance(answer, LedgerGranted):
            self._failed += 1
            return
        self._times.append(time.monotonic() - started)
        if not await client.complete(key, key, ANSWER, REQUEST_TIMEOUT_SECONDS):
            self._failed += 1


def _client(address: str, rng: random.Random) -> ControlClient:
    handlers = ClientHandlers(
        on_delta=lambda _: None,
        on_connected=lambda: None,
        on_lost=lambda: None,
        revision_held=lambda: 0,
        revision_in_force=lambda: 0,
    )
    identity = ClientIdentity(f"ledger-load-{address}", "1", "", "")
    return ControlClient(identity, [ControlAddress(address)], handlers, rng)
