"""Handles errors that reach the event loop; stops the process on an invariant violation."""

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from finchshed.common.errors import InvariantError
from finchshed.observability import ring


class FaultMonitor:
    """Event loop exception handler.

    An invariant violation stops the process. Any other unexpected error is logged, and the log
    ring is dumped at most once per ``DUMP_INTERVAL_SECONDS``; the process continues, so that a
    single bad message cannot stop a node.

    Parameters
    ----------
    stop
        Called once, with the first invariant violation.
    """

    DUMP_INTERVAL_SECONDS = 60.0

    def __init__(self, stop: Callable[[InvariantError], None]) -> None:
        self._stop = stop
        self._stopped = False
        self._next_dump_at = float("-inf")

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Install this object as the exception handler of ``loop``."""
        loop.set_exception_handler(self.handle)

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Handle an error (asyncio exception handler)."""
        error = context.get("exception")
        text = str(context.get("message", "unhandled error"))
        if isinstance(error, InvariantError):
            self.report_violation(error)
            return
        logger.opt(exception=error).error("unexpected error: {}: {!r}", text, error)
        if loop.time() >= self._next_dump_at:
            self._next_dump_at = loop.time() + self.DUMP_INTERVAL_SECONDS
            ring.dump(f"unexpected error: {text}: {error!r}")

    def report_violation(self, error: InvariantError) -> None:
        """Dump the log ring and stop the process; later calls do nothing."""
        if self._stopped:
            return
        self._stopped = True
        logger.opt(exception=error).critical("broken invariant: {}", error)
        ring.dump(f"broken invariant: {error}")
        self._stop(error)
