"""Command line of the stand-ins."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import uvloop

from finchshed.standins.backend import run_backend
from finchshed.standins.caller import run_caller
from finchshed.standins.platform import run_platform
from finchshed.standins.settings import BackendSettings, CallerSettings, PlatformSettings, load


class Standin:
    """Run a stand-in back end, caller or platform list, as the fleet runner does."""

    def backend(self, settings: str) -> int:
        """Run a stand-in back end until SIGTERM; SETTINGS is its TOML file."""
        return _run(run_backend(load(BackendSettings, settings)))

    def caller(self, settings: str) -> int:
        """Send all requests of a stand-in caller; SETTINGS is its TOML file."""
        return _run(run_caller(load(CallerSettings, settings)))

    def platform(self, settings: str) -> int:
        """Serve a lagging list of machines until SIGTERM; SETTINGS is its TOML file."""
        return _run(run_platform(load(PlatformSettings, settings)))


def _run(program: Coroutine[Any, Any, int]) -> int:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(program)
