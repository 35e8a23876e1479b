"""Health checks through the admin listeners of a fleet's production processes."""

import asyncio
import time

import aiohttp

from finchshed.fleet.processes import ProcessRole
from finchshed.fleet.runner import Fleet, FleetError

POLL_SECONDS = 0.05


async def is_healthy(fleet: Fleet, name: str) -> bool:
    """Return whether a process reports that it is healthy."""
    url = f"http://{fleet.plan.admin_addresses[name]}/healthz"
    try:
        async with fleet.http.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def wait_until_serving(fleet: Fleet, timeout_seconds: float) -> None:
    """Wait until every daemon is healthy, which requires a confirmed configuration.

    Raises
    ------
    FleetError
        If some daemons are not healthy in time; the message names them.
    """
    deadline = time.monotonic() + timeout_seconds
    unhealthy = {
        process.spec.name for process in fleet.with_role(ProcessRole.DAEMON, ProcessRole.EDGE)
    }
    while unhealthy:
        healthy = await asyncio.gather(*(is_healthy(fleet, name) for name in sorted(unhealthy)))
        unhealthy = {
            name for name, is_good in zip(sorted(unhealthy), healthy, strict=True) if not is_good
        }
        if unhealthy and time.monotonic() >= deadline:
            raise FleetError(
                f"not ready after {timeout_seconds:g} s: {', '.join(sorted(unhealthy))}"
            )
        await asyncio.sleep(POLL_SECONDS if unhealthy else 0.0)
