"""Runs work that starts processes so that a signal stops them all.

Owns the handlers of SIGTERM, SIGHUP and SIGINT; relies on work that stops what it started when it
is cancelled.
"""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

from finchshed.common.errors import FinchshedError

ResultT = TypeVar("ResultT")


class InterruptedRunError(FinchshedError):
    """A signal ended a run; everything it had started was stopped."""


def run_interruptible(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run ``work``; SIGTERM, SIGHUP and Ctrl-C cancel it, so that it stops what it started.

    Raises
    ------
    InterruptedRunError
        If a signal did.
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
        raise InterruptedRunError("interrupted; everything was stopped") from None
