"""Ledger client over the daemon's connection to control, which retries and times out requests."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from finchshed.common.outcomes import Answered
from finchshed.daemon.serving.ledger_port import LedgerCallback
from finchshed.distribution.ledger_requests import LedgerRequests


class ControlLedger:
    """Adapts the coroutines of :class:`LedgerRequests` to the callbacks of :class:`LedgerPort`."""

    def __init__(self, requests: LedgerRequests) -> None:
        self._requests = requests
        self._tasks: set[asyncio.Task[None]] = set()

    def begin(self, key: str, attempt: str, timeout: float, done: LedgerCallback) -> None:
        """Request a grant to run the request with ``key``."""
        requests = self._requests

        async def run() -> None:
            done(await requests.begin(key, attempt, timeout))

        self._spawn(run())

    def cancel(self, key: str, attempt: str, timeout: float) -> None:
        """Cancel an attempt that was never sent."""
        self._spawn(_ignore(self._requests.cancel(key, attempt, timeout)))

    def complete(
        self, key: str, attempt: str, answer: Answered, *, timeout: float, done: LedgerCallback
    ) -> None:
        """Record the complete answer of an attempt."""
        requests = self._requests

        async def run() -> None:
            await requests.complete(key, attempt, answer, timeout)
            done(None)

        self._spawn(run())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _ignore(work: Coroutine[Any, Any, bool]) -> None:
    await work
