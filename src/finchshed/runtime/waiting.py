"""Waits that end in time however busy the loop is."""

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
    """Wait until ``is_busy`` no longer holds; return whether that came within ``seconds``.

    The clock decides and not the number of polls: on a busy loop each takes longer than it asks.
    """
    deadline = now() + seconds
    while is_busy():
        if now() >= deadline:
            return False
        await sleep(POLL_SECONDS)
    return True
