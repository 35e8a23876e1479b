"""Tells a crash of the back end from a single broken connection.

Connections break for many reasons, but a crashed back end also refuses new ones. Requests whose
connection broke are held until a new connection has been tried.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from finchshed.daemon.backend.client import BackendClient
from finchshed.directory.instance_run import InstanceRun

CORRELATION_WINDOW_SECONDS = 0.005
"""Window in which the connections of a crashed process break; the back end is checked at its end.
Delays the outcome of every request whose connection broke."""


@dataclass(frozen=True, slots=True)
class InterruptedRequest:
    """A request whose connection broke, and the callback that continues it after the check."""

    signature: str
    on_checked: Callable[[], None]


class CrashDetector:
    """Collects interrupted requests and checks whether the back end still accepts connections.

    Parameters
    ----------
    on_crash
        Called with the crashed run and the signatures of the requests it was running.
    """

    def __init__(
        self, backend: BackendClient, on_crash: Callable[[InstanceRun, list[str]], None]
    ) -> None:
        self._backend = backend
        self._on_crash = on_crash
        self._interrupted: dict[InstanceRun, list[InterruptedRequest]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def on_interrupted(self, run: InstanceRun, request: InterruptedRequest) -> None:
        """Add a request of ``run``; its ``on_checked`` is called once, after the check."""
        collected = self._interrupted.get(run)
        if collected is not None:
            collected.append(request)
            return
        self._interrupted[run] = [request]
        check = asyncio.get_running_loop().create_task(self._check(run))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, run: InstanceRun) -> None:
        await asyncio.sleep(CORRELATION_WINDOW_SECONDS)
        has_ended = await self._backend.refuses_connections()
        requests = self._interrupted.pop(run)
        if has_ended:
            self._on_crash(run, [request.signature for request in requests])
        for request in requests:
            request.on_checked()
