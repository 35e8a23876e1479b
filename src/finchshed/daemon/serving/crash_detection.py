"""Finds out whether a back end ended when a request's connection to it broke.

Single connections break for many reasons: a reset, an answer cut short, an idle one closed. A back
end that ended takes no new connection. What it was running is kept until that is known. Relies on
the client to the back end to try a connection.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from finchshed.daemon.backend.client import BackendClient

COLLECT_SECONDS = 0.005
"""Connections of one process that ended break within this time of each other; the look at the back
end comes after it. A request whose connection broke is answered so much later. Seconds; chosen, not
measured."""


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A request whose connection to the back end broke, and what goes on once it is known why."""

    signature: str
    then: Callable[[], None]


class CrashDetector:
    """Collects broken runs and looks whether the back end is still there.

    Parameters
    ----------
    on_crash
        Called with the instance that ended and the signatures of what broke with it.
    """

    def __init__(self, backend: BackendClient, on_crash: Callable[[str, list[str]], None]) -> None:
        self._backend = backend
        self._on_crash = on_crash
        self._broken: dict[str, list[BrokenRun]] = {}
        self._looks: set[asyncio.Task[None]] = set()

    def on_broken(self, instance: str, run: BrokenRun) -> None:
        """Take a run whose connection broke; its ``then`` is called once, soon."""
        collected = self._broken.get(instance)
        if collected is not None:
            collected.append(run)
            return
        self._broken[instance] = [run]
        look = asyncio.get_running_loop().create_task(self._look(instance))
        self._looks.add(look)
        look.add_done_callback(self._looks.discard)

    async def _look(self, instance: str) -> None:
        await asyncio.sleep(COLLECT_SECONDS)
        has_ended = await self._backend.refuses_connections()
        runs = self._broken.pop(instance)
        if has_ended:
            self._on_crash(instance, [run.signature for run in runs])
        for run in runs:
            run.then()
