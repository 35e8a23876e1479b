"""Command line of the fleet runner."""

import asyncio
import pathlib
import signal
import time
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from finchshed.fleet.demo import run_demo
from finchshed.fleet.plan import PlanOptions

DEFAULT_RUN_FOLDER = "run"


def demo(deployment: str, folder: str = "", seed: int = 1, load: float = 1.0) -> int:
    """Run a deployment of separate processes through a surge and say what callers got.

    DEPLOYMENT is a folder such as examples/brazos. FOLDER keeps settings, logs, data and records
    (default run/NAME-TIME). SEED fixes arrivals and service times. LOAD multiplies every rate.
    Exit code 0 only if every answer was whole and its caller's own.
    """
    source = pathlib.Path(deployment)
    target = pathlib.Path(folder) if folder else new_run_folder(source.name)
    options = PlanOptions(seed=seed, load_factor=load)
    return run_interruptible(run_demo(source, target.absolute(), options))


def new_run_folder(name: str) -> pathlib.Path:
    """Return a folder for a new run; it isn't made yet."""
    stamp = time.strftime("%Y%m%d-%H%M%S")
    return pathlib.Path(DEFAULT_RUN_FOLDER) / f"{name}-{stamp}"


def run_interruptible(work: Coroutine[Any, Any, int]) -> int:
    """Run ``work``; SIGTERM, SIGHUP and Ctrl-C cancel it, so that it stops what it started."""

    async def cancellable() -> int:
        task = asyncio.ensure_future(work)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await task

    try:
        return asyncio.run(cancellable())
    except asyncio.CancelledError:
        print("interrupted; everything was stopped")
        return 1


fleet: Mapping[str, Callable[..., int]] = {"demo": demo}
