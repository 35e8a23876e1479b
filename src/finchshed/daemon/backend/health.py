"""Monitors whether the back end is draining, and whether one that drained has returned.

A back end says that it is draining on its answers. One that gives none, as no calls reach it, is
asked: its ``/health`` may lag or mislead, so it counts only as a hint that carries the sign of
draining, only while no answer says otherwise, and never as a proof that all is well. Owns what is
known of one back end; relies on the client to ask it.
"""

import asyncio
from collections.abc import Callable

from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendClient,
    BackendRequest,
    BackendResult,
)
from finchshed.daemon.backend.return_detection import ReturnDetector
from finchshed.runtime import clock

HEALTH_PATH = "/health"
IDLE_POLL_SECONDS = 0.5
"""A back end is asked after one whole such time, seconds, without an answer: callers must be told
of a back end that drains within 2 s, and this makes it at most two such times and the check."""

RETURN_POLL_SECONDS = 0.25
"""Seconds between checks of a back end that drains: so late at most it gets work again; chosen, not
measured."""

CHECK_TIMEOUT_SECONDS = 1.0
"""Longest wait for the answer to a check, seconds: with two polls it keeps the 2 s above."""

MAX_HEALTH_BYTES = 65_536
"""Largest answer to a check; chosen, not measured."""


class BackendHealthMonitor:
    """Monitors one back end.

    Parameters
    ----------
    backend
        Client to the back end.
    on_draining
        Called when the back end is found to be draining.
    on_returned
        Called when a back end that was draining takes work again.
    """

    def __init__(
        self,
        backend: BackendClient,
        on_draining: Callable[[], None],
        on_returned: Callable[[], None],
    ) -> None:
        self.is_draining = False
        self._backend = backend
        self._on_draining = on_draining
        self._on_returned = on_returned
        self._return_detector = ReturnDetector()
        self._has_answered = False

    def on_answer(self, answer: BackendAnswer) -> None:
        """Note an answer to a call."""
        self._has_answered = True
        if answer.draining:
            self._mark_draining()

    async def run(self) -> None:
        """Look regularly, for as long as the daemon runs."""
        while True:
            await asyncio.sleep(RETURN_POLL_SECONDS if self.is_draining else IDLE_POLL_SECONDS)
            await self.poll()

    async def poll(self) -> None:
        """Look once for what the back end does not say by itself."""
        if self.is_draining:
            await self._poll_for_return()
        elif self._has_answered:
            self._has_answered = False
        else:
            await self._poll_for_draining()

    async def _poll_for_draining(self) -> None:
        result = await check_health(self._backend)
        # An answer that came meanwhile says it more surely.
        if isinstance(result, BackendAnswer) and result.draining and not self._has_answered:
            self._mark_draining()

    async def _poll_for_return(self) -> None:
        result = await check_health(self._backend)
        if not self._return_detector.has_returned(result, clock.now()):
            return
        self.is_draining = False
        self._on_returned()

    def _mark_draining(self) -> None:
        if self.is_draining:
            return
        self.is_draining = True
        self._return_detector = ReturnDetector()
        self._on_draining()


async def check_health(backend: BackendClient, path: str = HEALTH_PATH) -> BackendResult:
    """Return what the back end answers to a check of its health."""
    ended: asyncio.Future[BackendResult] = asyncio.get_running_loop().create_future()
    request = BackendRequest(
        method="GET",
        path=path,
        headers=(),
        body=b"",
        timeout_seconds=CHECK_TIMEOUT_SECONDS,
        max_answer_bytes=MAX_HEALTH_BYTES,
    )
    cancel: Callable[[], object] = backend.send(request, ended.set_result)
    try:
        return await ended
    except asyncio.CancelledError:
        cancel()
        raise
