"""Polling waits with a deadline that holds on a busy event loop."""

import asyncio
import time
from collections.abc import Awaitable, Callable

POLL_SECONDS = 0.02


async def wait_while(
    is_busy: Callable[[], bool],
    seconds: float,
    *,
    now: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], Awaitable[object]] = asyncio.sleep,
) -> bool:
    """Wait until ``is_busy`` returns False; return whether it did within ``seconds``.

    The deadline is checked against the clock, because sleeps overrun on a busy event loop.
    """
    deadline = now() + seconds
    while is_busy():
        if now() >= deadline:
            return False
        await sleep(POLL_SECONDS)
    return True
