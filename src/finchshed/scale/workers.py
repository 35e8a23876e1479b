"""The runner's side of the processes with hollow daemons."""

import asyncio
from collections.abc import Callable, Collection

import msgspec

from finchshed.common.errors import FinchshedError
from finchshed.link.lines import LineProtocol
from finchshed.scale.messages import (
    Collect,
    Cut,
    DaemonReport,
    Ready,
    RestartDaemons,
    StartDaemons,
    Stop,
    WorkerReport,
    WorkerSettings,
    WorkerToRunner,
)

READY_SECONDS = 60.0
COLLECT_SECONDS = 30.0

Connection = LineProtocol[WorkerToRunner]


class WorkerError(FinchshedError):
    """A process with hollow daemons didn't come up or didn't answer."""


class Workers:
    """Listens for the workers of a run and gives them orders."""

    def __init__(self) -> None:
        self._settings: dict[str, WorkerSettings] = {}
        self._connections: dict[str, Connection] = {}
        self._server: asyncio.Server | None = None
        self._arrived = asyncio.Event()
        self._collected: dict[str, WorkerReport] = {}
        self._number = 0
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port of ``host``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_protocol, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def expect(self, settings: WorkerSettings) -> None:
        """Take orders for this worker's daemons from now on."""
        self._settings[settings.name] = settings

    async def wait_ready(self, names: Collection[str]) -> None:
        """Wait until these workers have reported.

        Raises
        ------
        WorkerError
            If some don't in time.
        """
        missing = await self._wait(lambda: set(names) - self._connections.keys(), READY_SECONDS)
        if missing:
            raise WorkerError(f"not up after {READY_SECONDS:g} s: {', '.join(sorted(missing))}")

    def start_daemons(self, names: Collection[str]) -> None:
        """Start hollow daemons."""
        for connection, chosen in self._by_worker(names):
            connection.send(StartDaemons(chosen))

    def restart_daemons(self, names: Collection[str]) -> None:
        """Restart hollow daemons."""
        for connection, chosen in self._by_worker(names):
            connection.send(RestartDaemons(chosen))

    def cut(self, zones: Collection[str], prefixes: tuple[str, ...]) -> None:
        """Cut the daemons of ``zones`` off from addresses that begin with ``prefixes``."""
        for name, connection in self._connections.items():
            if self._settings[name].zone in zones:
                connection.send(Cut(prefixes))

    async def collect(self) -> list[DaemonReport]:
        """Return a report of every hollow daemon whose process lives.

        Raises
        ------
        WorkerError
            If a worker doesn't answer.
        """
        self._number += 1
        self._collected.clear()
        for connection in self._connections.values():
            connection.send(Collect(self._number))
        missing = await self._wait(
            lambda: self._connections.keys() - self._collected.keys(), COLLECT_SECONDS
        )
        if missing:
            raise WorkerError(f"no report from {', '.join(sorted(missing))}")
        return [report for item in self._collected.values() for report in item.daemons]

    def close(self) -> None:
        """Tell all workers to end and stop listening."""
        for connection in self._connections.values():
            connection.send(Stop())
        if self._server is not None:
            self._server.close()

    def _by_worker(self, names: Collection[str]) -> list[tuple[Connection, tuple[str, ...]]]:
        chosen = set(names)
        orders = []
        for worker, connection in self._connections.items():
            mine = tuple(s.name for s in self._settings[worker].daemons if s.name in chosen)
            if mine:
                orders.append((connection, mine))
        return orders

    async def _wait(self, missing: Callable[[], set[str]], timeout_seconds: float) -> set[str]:
        """Wait until nothing is ``missing`` any more, or the time is over; return what is."""
        try:
            async with asyncio.timeout(timeout_seconds):
                while missing():
                    self._arrived.clear()
                    await self._arrived.wait()
        except TimeoutError:
            return set(missing())
        return set()

    def _make_protocol(self) -> Connection:
        return LineProtocol(WorkerToRunner, self._on_message, None, self._on_close)

    def _on_message(self, connection: Connection, message: WorkerToRunner) -> None:
        if isinstance(message, Ready):
            self._connections[message.worker] = connection
        elif message.number == self._number:
            self._collected[message.worker] = message
        self._arrived.set()

    def _on_close(self, connection: Connection, error: Exception | None) -> None:
        for name, last in list(self._connections.items()):
            if last is connection:
                del self._connections[name]
        self._arrived.set()


def write_settings(settings: WorkerSettings) -> bytes:
    """Return the settings file of a worker."""
    return msgspec.json.encode(settings)
