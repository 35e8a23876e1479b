"""A process with hollow daemons of one zone, under the orders of the scale run's runner."""

import asyncio
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from finchshed.link.lines import LineProtocol
from finchshed.scale.hollow import HollowDaemon
from finchshed.scale.messages import (
    Collect,
    Cut,
    Ready,
    RestartDaemons,
    RunnerToWorker,
    StartDaemons,
    Stop,
    WorkerReport,
    WorkerSettings,
)
from finchshed.scale.network import Network

TICK_SECONDS = 0.5


class Worker:
    """Holds hollow daemons and does what the runner says."""

    def __init__(self, settings: WorkerSettings) -> None:
        self._settings = settings
        self._network = Network()
        self._daemons = {
            spec.name: HollowDaemon(spec, settings, self._network) for spec in settings.daemons
        }
        self._stopped = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Work until told to stop, or until the runner is gone."""
        host, _, port = self._settings.runner_address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, runner = await loop.create_connection(self._make_protocol, host, int(port))
        runner.send(Ready(self._settings.name))
        while not self._stopped.is_set():
            for daemon in self._daemons.values():
                daemon.tick()
            try:
                await asyncio.wait_for(self._stopped.wait(), TICK_SECONDS)
            except TimeoutError:
                continue
        runner.close()

    def _make_protocol(self) -> LineProtocol[RunnerToWorker]:
        return LineProtocol(RunnerToWorker, self._on_order, None, lambda *_: self._stopped.set())

    def _on_order(self, runner: LineProtocol[RunnerToWorker], order: RunnerToWorker) -> None:
        match order:
            case StartDaemons(names):
                self._spawn(self._start(names))
            case RestartDaemons(names):
                self._spawn(self._restart(names))
            case Cut(prefixes):
                self._network.cut(prefixes)
            case Collect(number):
                reports = tuple(daemon.report() for daemon in self._daemons.values())
                runner.send(WorkerReport(self._settings.name, number, reports))
            case Stop():
                self._stopped.set()

    async def _start(self, names: tuple[str, ...]) -> None:
        for name in names:
            await self._daemons[name].start()

    async def _restart(self, names: tuple[str, ...]) -> None:
        for name in names:
            await self._daemons[name].end()
            await self._daemons[name].start()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def run_worker(path: Path) -> int:
    """Run a worker from its settings file (JSON); return its exit code."""
    settings = msgspec.json.decode(path.read_bytes(), type=WorkerSettings)

    async def main() -> None:
        await Worker(settings).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
    return 0
