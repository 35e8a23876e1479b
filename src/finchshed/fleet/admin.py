"""Reads the admin listeners of a fleet's production processes."""

import asyncio
import time

import aiohttp

from finchshed.fleet.processes import ProcessRole
from finchshed.fleet.runner import Fleet, FleetError

POLL_SECONDS = 0.05
"""Between two questions whether a process serves; chosen, not measured."""


async def is_healthy(fleet: Fleet, name: str) -> bool:
    """Return whether a process says that it serves."""
    url = f"http://{fleet.plan.admin_addresses[name]}/healthz"
    try:
        async with fleet.http.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def wait_in_force(fleet: Fleet, timeout_seconds: float) -> None:
    """Wait until every daemon takes calls, which it does only with a confirmed configuration.

    Raises
    ------
    FleetError
        If some don't in time; they are named.
    """
    deadline = time.monotonic() + timeout_seconds
    waiting = {process.spec.name for process in fleet.of_role(ProcessRole.DAEMON, ProcessRole.EDGE)}
    while waiting:
        healthy = await asyncio.gather(*(is_healthy(fleet, name) for name in sorted(waiting)))
        waiting = {name for name, good in zip(sorted(waiting), healthy, strict=True) if not good}
        if waiting and time.monotonic() >= deadline:
            raise FleetError(f"not ready after {timeout_seconds:g} s: {', '.join(sorted(waiting))}")
        await asyncio.sleep(POLL_SECONDS if waiting else 0.0)
