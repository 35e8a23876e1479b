"""Monitors whether the back end is draining, and whether it has returned afterwards.

Back ends announce a drain in their answers. An idle back end is polled at ``/health`` instead.
Since that may be outdated, only its drain flag is used, and only if no answer arrived meanwhile.
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
"""A back end is polled after a full interval without an answer. Two intervals and
``CHECK_TIMEOUT_SECONDS`` must not exceed 2 s, within which callers must learn of a drain."""

RETURN_POLL_SECONDS = 0.25
"""Polling interval while the back end is draining; bounds the delay after its return."""

CHECK_TIMEOUT_SECONDS = 1.0
"""Timeout of a health check."""

MAX_HEALTH_BYTES = 65_536
"""Maximum size of the answer to a health check."""


class BackendHealthMonitor:
    """Monitors one back end.

    Parameters
    ----------
    backend
        Client of the back end.
    on_draining
        Called when the back end starts draining.
    on_returned
        Called when a draining back end accepts calls again.
    on_checked
        Called with the result of each health check.
    """

    def __init__(
        self,
        backend: BackendClient,
        on_draining: Callable[[], None],
        on_returned: Callable[[], None],
        on_checked: Callable[[BackendResult], None] | None = None,
    ) -> None:
        self.is_draining = False
        self._backend = backend
        self._on_draining = on_draining
        self._on_returned = on_returned
        self._on_checked = on_checked
        self._return_detector = ReturnDetector()
        self._has_answered = False

    def on_answer(self, answer: BackendAnswer) -> None:
        """Process an answer to a call."""
        self._has_answered = True
        if answer.draining:
            self._mark_draining()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.sleep(RETURN_POLL_SECONDS if self.is_draining else IDLE_POLL_SECONDS)
            await self.poll()

    async def poll(self) -> None:
        """Poll the back end once, if its answers don't show its state."""
        if self.is_draining:
            await self._poll_for_return()
        elif self._has_answered:
            self._has_answered = False
        else:
            await self._poll_for_draining()

    async def _poll_for_draining(self) -> None:
        result = await self._check()
        # An answer that arrived during the check is more reliable.
        if isinstance(result, BackendAnswer) and result.draining and not self._has_answered:
            self._mark_draining()

    async def _poll_for_return(self) -> None:
        result = await self._check()
        if not self._return_detector.has_returned(result, clock.now()):
            return
        self.is_draining = False
        self._on_returned()

    async def _check(self) -> BackendResult:
        result = await check_health(self._backend)
        if self._on_checked is not None:
            self._on_checked(result)
        return result

    def _mark_draining(self) -> None:
        if self.is_draining:
            return
        self.is_draining = True
        self._return_detector = ReturnDetector()
        self._on_draining()


async def check_health(backend: BackendClient, path: str = HEALTH_PATH) -> BackendResult:
    """Return the result of a health check."""
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
