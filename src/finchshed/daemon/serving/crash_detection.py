"""Finds out whether a back end ended when a request's connection to it broke.

Single connections break for many reasons: a reset, an answer cut short, an idle one closed. A back
end that ended takes no new connection. What it was running is kept until that is known. Relies on
the client to the back end to try a connection.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from finchshed.daemon.backend.client import BackendClient

CORRELATION_WINDOW_SECONDS = 0.005
"""Connections of one process that ended break within this time of each other; the look at the back
end comes after it. A request whose connection broke is answered so much later. Seconds; chosen, not
measured."""


@dataclass(frozen=True, slots=True)
class InterruptedRequest:
    """A request whose connection to the back end broke, and what goes on once it is known why."""

    signature: str
    on_checked: Callable[[], None]


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
        self._interrupted: dict[str, list[InterruptedRequest]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def on_interrupted(self, instance: str, run: InterruptedRequest) -> None:
        """Note a run whose connection broke; its ``then`` is called once, soon."""
        collected = self._interrupted.get(instance)
        if collected is not None:
            collected.append(run)
            return
        self._interrupted[instance] = [run]
        look = asyncio.get_running_loop().create_task(self._check(instance))
        self._checks.add(look)
        look.add_done_callback(self._checks.discard)

    async def _check(self, instance: str) -> None:
        await asyncio.sleep(CORRELATION_WINDOW_SECONDS)
        has_ended = await self._backend.refuses_connections()
        runs = self._interrupted.pop(instance)
        if has_ended:
            self._on_crash(instance, [run.signature for run in runs])
        for run in runs:
            run.on_checked()
