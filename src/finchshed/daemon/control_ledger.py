"""The ledger as reached over the daemon's connection to control."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from finchshed.common.outcomes import Answered
from finchshed.daemon.ledger_port import LedgerCallback
from finchshed.distribution.client import ControlClient
from finchshed.distribution.messages import LedgerRefused


class ControlLedger:
    """Turns the client's coroutines into callbacks of calls in progress."""

    def __init__(self, client: ControlClient | None) -> None:
        self._client = client
        self._tasks: set[asyncio.Task[None]] = set()

    def begin(self, key: str, attempt: str, timeout: float, done: LedgerCallback) -> None:
        """Ask leave to run the request under ``key``."""
        client = self._client

        async def run() -> None:
            if client is None:
                done(LedgerRefused(0, expired=False, detail="no control node in the settings"))
            else:
                done(await client.begin(key, attempt, timeout))

        self._spawn(run())

    def cancel(self, key: str, attempt: str, timeout: float) -> None:
        """Say that the attempt was never sent."""
        client = self._client
        if client is not None:
            self._spawn(_ignore(client.cancel(key, attempt, timeout)))

    def complete(
        self, key: str, attempt: str, answer: Answered, timeout: float, done: LedgerCallback
    ) -> None:
        """Record the whole answer of the attempt."""
        client = self._client

        async def run() -> None:
            if client is not None:
                await client.complete(key, attempt, answer, timeout)
            done(None)

        self._spawn(run())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _ignore(work: Coroutine[Any, Any, bool]) -> None:
    await work
