"""Command line of the simulated processes that the fleet runner starts."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import uvloop

from finchshed.standins.backend import run_backend
from finchshed.standins.caller import run_caller
from finchshed.standins.operator import run_operator
from finchshed.standins.platform import run_platform
from finchshed.standins.settings import (
    BackendSettings,
    CallerSettings,
    OperatorSettings,
    PlatformSettings,
    load,
)


def backend(settings: str) -> int:
    """Run a simulated backend until SIGTERM; SETTINGS is its TOML file."""
    return _run(run_backend(load(BackendSettings, settings)))


def caller(settings: str, begin_at: float = 0.0) -> int:
    """Send all requests of a simulated caller; SETTINGS is its TOML file.

    BEGIN_AT is the start of the first phase on the machine's monotonic clock (default: now).
    """
    return _run(run_caller(load(CallerSettings, settings), begin_at))


def platform(settings: str) -> int:
    """Serve a delayed list of instances until SIGTERM; SETTINGS is its TOML file."""
    return _run(run_platform(load(PlatformSettings, settings)))


def operator(settings: str) -> int:
    """Submit configuration changes one after another; SETTINGS is its TOML file."""
    return run_operator(load(OperatorSettings, settings))


standin: Mapping[str, Callable[..., int]] = {
    "backend": backend,
    "caller": caller,
    "platform": platform,
    "operator": operator,
}


def _run(program: Coroutine[Any, Any, int]) -> int:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(program)
