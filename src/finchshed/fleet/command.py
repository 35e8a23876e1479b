"""Command line of the fleet runner: demos, fault scripts, storms and result tables.

A nonzero exit code means that a check failed.
"""

import pathlib
import time
from collections.abc import Callable, Mapping

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import SettingsError
from finchshed.fleet.demo import demo_run
from finchshed.fleet.fault_run import FaultRun
from finchshed.fleet.interruption import run_interruptible
from finchshed.fleet.results import format_markdown, read_verdicts
from finchshed.fleet.scenario import read_scenario
from finchshed.fleet.storm_runs import run_storms

DEFAULT_RUN_FOLDER = "run"


def demo(deployment: str, folder: str = "", seed: int = 1, load: float = 1.0) -> int:
    """Run a deployment of separate processes through a surge and print the callers' outcomes.

    DEPLOYMENT is a folder such as examples/brazos. FOLDER keeps settings, logs, data and records
    (default run/NAME-TIME). SEED fixes arrivals and service times. LOAD multiplies every rate.
    The exit code is 0 only if every answer was complete and belonged to its request, and all other
    checks passed.
    """
    source = pathlib.Path(deployment)
    run = demo_run(source, run_folder(folder, source.name), seed, load)
    return run_interruptible(_run_and_get_exit_code(run))


def run(deployment: str, faults: str, out: str = "", seed: int = 1, relayed: bool = False) -> int:
    """Run a deployment of separate processes under a fault script and check its history.

    DEPLOYMENT is a folder such as examples/brazos, FAULTS a script such as
    examples/brazos/faults/kill-processes.toml. OUT keeps settings, logs, records, the history and
    the verdict (default run/NAME-TIME). SEED fixes arrivals and service times. RELAYED sends the
    internal links through the relay even if no action needs it.
    The exit code is 0 only if all checks passed.
    """
    source = pathlib.Path(deployment)
    scenario = read_scenario(pathlib.Path(faults))
    folder = run_folder(out, f"{source.name}-{scenario.name}")
    fault_run = FaultRun(source, folder, scenario, seed, relayed=relayed)
    return run_interruptible(_run_and_get_exit_code(fault_run))


def storm(deployment: str, seeds: str = "1..3", out: str = "") -> int:
    """Run storms, which are fault scripts generated from seeds, one after another.

    DEPLOYMENT is a folder such as examples/brazos, SEEDS a range A..B. OUT keeps each run with
    its script.toml, which the run command accepts. The exit code is 0 only if no run failed.
    """
    source = pathlib.Path(deployment)
    folder = run_folder(out, f"{source.name}-storms")
    return run_interruptible(run_storms(source, folder, seed_range(seeds)))


def results(folder: str) -> int:
    """Print a table of the results of all fault runs below FOLDER, in Markdown."""
    print(format_markdown(read_verdicts(pathlib.Path(folder))))
    return ExitCode.OK


def seed_range(text: str) -> range:
    """Parse the inclusive range of seeds ``A..B``.

    Raises
    ------
    SettingsError
        If ``text`` is not such a range.
    """
    first, found, last = text.partition("..")
    if not found or not first.isdigit() or not last.isdigit() or int(last) < int(first):
        raise SettingsError([f"flag --seeds = {text}: allowed is A..B, two numbers in order"])
    return range(int(first), int(last) + 1)


async def _run_and_get_exit_code(run: FaultRun) -> int:
    verdict = await run.run()
    return ExitCode.OK if verdict.passed else ExitCode.FAILED


def run_folder(folder: str, name: str) -> pathlib.Path:
    """Return the folder for a new run: ``folder``, or a name with a timestamp if it is empty.

    Raises
    ------
    SettingsError
        If the folder has files, which would be mistaken for records of this run.
    """
    stamp = time.strftime("%Y%m%d-%H%M%S")
    path = pathlib.Path(folder or f"{DEFAULT_RUN_FOLDER}/{name}-{stamp}").absolute()
    if path.exists() and any(path.iterdir()):
        raise SettingsError([f"run folder {path}: allowed is a new or empty folder"])
    return path


fleet: Mapping[str, Callable[..., int]] = {
    "demo": demo,
    "run": run,
    "results": results,
    "storm": storm,
}
