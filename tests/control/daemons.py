"""Daemon stub: the connection of a daemon to a control node, without a data path."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Sequence

from finchshed.distribution.addresses import ControlAddress
from finchshed.distribution.client import ControlClient
from finchshed.distribution.client_handlers import ClientHandlers
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.messages import Delta
from tests.control.group import Node


class StubDaemon:
    """Connects to one of ``nodes`` and reports each received revision as in force."""

    def __init__(self, name: str, nodes: Sequence[Node], endpoint: str = "") -> None:
        self.revision = 0
        self._changed = asyncio.Event()
        self.loop: asyncio.AbstractEventLoop | None = None
        self.holds_back = False
        handlers = ClientHandlers(
            on_delta=self._on_delta,
            on_connected=lambda: None,
            on_disconnected=lambda: None,
            revision_held=lambda: self.revision,
            revision_in_force=lambda: self.revision,
        )
        identity = ClientIdentity(name, "1", "sales", "a", endpoint)
        addresses = [ControlAddress(node.distribution, "a") for node in nodes]
        self.client = ControlClient(identity, addresses, handlers, random.Random(name))

    def _on_delta(self, delta: Delta) -> None:
        if self.holds_back or delta.revision <= self.revision:
            return
        self.revision = delta.revision
        self._changed.set()
        self.client.report_in_force(delta.revision)

    async def wait_for(self, revision: int, timeout_seconds: float = 30.0) -> None:
        self.loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_seconds):
            while self.revision < revision:
                self._changed.clear()
                await self._changed.wait()


@contextlib.asynccontextmanager
async def running(*daemons: StubDaemon) -> AsyncIterator[None]:
    tasks = [asyncio.create_task(daemon.client.run()) for daemon in daemons]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
