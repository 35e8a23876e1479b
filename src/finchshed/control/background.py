"""Background tasks with error reporting."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from finchshed.common.errors import InvariantError


class BackgroundTasks:
    """Holds references to running tasks, reports their errors and cancels them at shutdown.

    Parameters
    ----------
    on_invariant_error
        Called with a violated invariant; the process must stop.
    """

    def __init__(self, on_invariant_error: Callable[[InvariantError], None]) -> None:
        self._on_invariant_error = on_invariant_error
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start ``coroutine`` as a task and hold a reference to it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def report_broken_invariant(self, error: InvariantError) -> None:
        """Report an invariant violation found outside of a task."""
        self._on_invariant_error(error)

    def cancel(self) -> None:
        """Cancel every task."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, InvariantError):
            self._on_invariant_error(error)
        elif error is not None:
            logger.opt(exception=error).error("background task failed")
