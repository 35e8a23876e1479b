"""Cancels a run on SIGTERM, SIGHUP or SIGINT, so that it stops the processes it has started."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

from finchshed.common.errors import FinchshedError

ResultT = TypeVar("ResultT")


class InterruptedRunError(FinchshedError):
    """A signal interrupted a run, which then stopped its processes."""


def run_interruptible(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run ``work`` and cancel it on SIGTERM, SIGHUP or SIGINT; it must clean up when cancelled.

    Raises
    ------
    InterruptedRunError
        If a signal cancelled ``work``.
    """

    async def cancellable() -> ResultT:
        task = asyncio.ensure_future(work)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await task

    try:
        return asyncio.run(cancellable())
    except asyncio.CancelledError:
        raise InterruptedRunError(
            "run interrupted by a signal; its processes were stopped"
        ) from None
