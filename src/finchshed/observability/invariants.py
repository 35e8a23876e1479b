"""Stops the process on a broken invariant, with the log ring written out."""

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from finchshed.common.errors import InvariantError
from finchshed.observability import ring


class FaultMonitor:
    """Handler of errors that reach the event loop.

    A broken invariant stops the process. Any other unexpected error is logged and the ring
    written out, at most once per ``DUMP_INTERVAL_SECONDS``, and the process goes on: one bad
    message must not take a node with it.

    Parameters
    ----------
    stop
        Called once with the error that has to stop the process.
    """

    DUMP_INTERVAL_SECONDS = 60.0

    def __init__(self, stop: Callable[[InvariantError], None]) -> None:
        self._stop = stop
        self._stopped = False
        self._next_dump = float("-inf")

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Become the exception handler of ``loop``."""
        loop.set_exception_handler(self.handle)

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Deal with one error (asyncio exception handler)."""
        error = context.get("exception")
        text = str(context.get("message", "unhandled error"))
        if isinstance(error, InvariantError):
            self.report_violation(error)
            return
        logger.opt(exception=error).error("unexpected error: {}: {!r}", text, error)
        if loop.time() >= self._next_dump:
            self._next_dump = loop.time() + self.DUMP_INTERVAL_SECONDS
            ring.dump(f"unexpected error: {text}: {error!r}")

    def report_violation(self, error: InvariantError) -> None:
        """Write the ring out and stop the process; later calls do nothing."""
        if self._stopped:
            return
        self._stopped = True
        logger.opt(exception=error).critical("broken invariant: {}", error)
        ring.dump(f"broken invariant: {error}")
        self._stop(error)
