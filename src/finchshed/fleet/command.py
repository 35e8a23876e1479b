"""Command line of the fleet runner."""

import asyncio
import pathlib
import signal
import time
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import SettingsError
from finchshed.fleet.demo import demo_run
from finchshed.fleet.fault_run import FaultRun
from finchshed.fleet.scenario import read_scenario

DEFAULT_RUN_FOLDER = "run"


def demo(deployment: str, folder: str = "", seed: int = 1, load: float = 1.0) -> int:
    """Run a deployment of separate processes through a surge and say what callers got.

    DEPLOYMENT is a folder such as examples/brazos. FOLDER keeps settings, logs, data and records
    (default run/NAME-TIME). SEED fixes arrivals and service times. LOAD multiplies every rate.
    Exit code 0 only if every answer was whole and its caller's own, and nothing else that was
    checked failed.
    """
    source = pathlib.Path(deployment)
    run = demo_run(source, run_folder(folder, source.name), seed, load)
    return run_interruptible(_exit_code_of(run))


def run(deployment: str, faults: str, out: str = "", seed: int = 1) -> int:
    """Run a deployment of separate processes under a fault script and judge its history.

    DEPLOYMENT is a folder such as examples/brazos, FAULTS a script such as
    examples/brazos/faults/kill-daemon.toml. OUT keeps settings, logs, records, the history and
    the verdict (default run/NAME-TIME). SEED fixes arrivals and service times.
    Exit code 0 only if nothing that was checked failed.
    """
    source = pathlib.Path(deployment)
    scenario = read_scenario(pathlib.Path(faults))
    folder = run_folder(out, f"{source.name}-{scenario.name}")
    return run_interruptible(_exit_code_of(FaultRun(source, folder, scenario, seed)))


async def _exit_code_of(run: FaultRun) -> int:
    verdict = await run.run()
    return ExitCode.OK if verdict.passed else ExitCode.FAILED


def run_folder(folder: str, name: str) -> pathlib.Path:
    """Return the folder for a new run: ``folder``, or one named by the time.

    Raises
    ------
    SettingsError
        If the folder holds files: records and data of another run would be taken for this one's.
    """
    stamp = time.strftime("%Y%m%d-%H%M%S")
    path = pathlib.Path(folder or f"{DEFAULT_RUN_FOLDER}/{name}-{stamp}").absolute()
    if path.exists() and any(path.iterdir()):
        raise SettingsError([f"run folder {path}: allowed is a new or empty folder"])
    return path


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


fleet: Mapping[str, Callable[..., int]] = {"demo": demo, "run": run}
