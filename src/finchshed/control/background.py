"""Background tasks whose faults are not lost."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from finchshed.common.errors import InvariantError


class BackgroundTasks:
    """Keeps tasks alive, reports their faults, and cancels them at the end.

    Parameters
    ----------
    on_broken
        Called with a broken invariant: the process must stop.
    """

    def __init__(self, on_broken: Callable[[InvariantError], None]) -> None:
        self._on_broken = on_broken
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run ``coroutine`` as a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def broken(self, error: InvariantError) -> None:
        """Report a broken invariant found outside of a task."""
        self._on_broken(error)

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
            self._on_broken(error)
        elif error is not None:
            logger.opt(exception=error).error("background task failed")
