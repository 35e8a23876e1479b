"""Command line of the scale run."""

import pathlib
from collections.abc import Callable, Mapping

from finchshed.cli.exit_codes import ExitCode
from finchshed.fleet.command import run_folder
from finchshed.fleet.interruption import run_interruptible
from finchshed.scale.layout import ScaleSize
from finchshed.scale.measure import measure as measure_scale
from finchshed.scale.measure import read_fits
from finchshed.scale.phases import PhaseOptions
from finchshed.scale.projection import Size, table_of
from finchshed.scale.projection import project as project_size
from finchshed.scale.run import RunOptions
from finchshed.scale.run import run as run_scale
from finchshed.scale.worker import run_worker


def run(
    *,
    daemons: int = 1_100,
    services: int = 52,
    real: int = 6,
    links: int = 2,
    rate: float = 1.0,
    compressed: int = 240,
    compressed_rate: float = 4.0,
    fault_seconds: float = 15.0,
    steady_seconds: float = 20.0,
    only: str = "",
    folder: str = "",
    out: str = "scale.jsonl",
    seed: int = 1,
) -> int:
    """Run hollow daemons beside real control nodes and daemons through changes and faults.

    Exit code 0 only if every accepted change was in force at every daemon in reach within 4 s,
    and none went back.

    Parameters
    ----------
    daemons
        Hollow daemons.
    services
        Declared services.
    real
        Real daemons, each with a back end, beside one edge; 0 for none.
    links
        Links to other daemons that each hollow daemon keeps open.
    rate
        Changes a second in all phases but the compressed one.
    compressed, compressed_rate
        Changes of the compressed phase, and how many a second.
    fault_seconds
        How long changes go on under each fault.
    steady_seconds
        Length of the phase without faults.
    only
        Phases to run after the start-up, by the names of their functions, with commas; empty: all.
    folder
        Settings, logs and data; empty: run/scale-TIME.
    out
        File of results, JSON lines; lines are added to it.
    seed
        Seed of the hollow daemons' choices.
    """
    options = RunOptions(
        folder=run_folder(folder, "scale"),
        out=pathlib.Path(out).absolute(),
        size=ScaleSize(daemons=daemons, services=services, real_daemons=real, peer_links=links),
        phases=PhaseOptions(
            steady_seconds=steady_seconds,
            fault_seconds=fault_seconds,
            rate_per_second=rate,
            compressed_changes=compressed,
            compressed_rate_per_second=compressed_rate,
        ),
        seed=seed,
        only=("start_up", *only.split(",")) if only else (),
    )
    return run_interruptible(run_scale(options))


def measure(
    *,
    daemons: int = 1_100,
    services: int = 52,
    real: int = 4,
    seconds: float = 8.0,
    folder: str = "",
    out: str = "slopes.jsonl",
    seed: int = 1,
) -> int:
    """Vary daemons, changes, restarts and declarations one at a time; fit what control costs.

    Parameters
    ----------
    daemons
        Most hollow daemons.
    services
        Declared services.
    real
        Real daemons beside them, at least 1; they get no calls.
    seconds
        Length of each point.
    folder
        Settings, logs and data; empty: run/scale-TIME.
    out
        File of points and fits, JSON lines; lines are added to it.
    seed
        Seed of the hollow daemons' choices.
    """
    options = RunOptions(
        folder=run_folder(folder, "scale"),
        out=pathlib.Path(out).absolute(),
        size=ScaleSize(daemons=daemons, services=services, real_daemons=max(1, real)),
        phases=PhaseOptions(),
        seed=seed,
    )
    return run_interruptible(measure_scale(options, seconds))


def project(
    slopes: str,
    *,
    daemons: int = 1_100,
    changes_per_day: float = 1_400.0,
    burst: float = 4.0,
    restarts_per_day: float = 110.0,
    configuration_kib: float = 160.0,
) -> int:
    """Work out from measured slopes what control costs at a size, and print it.

    Parameters
    ----------
    slopes
        File written by ``scale measure``.
    daemons
        Daemons in sum.
    changes_per_day
        Changes accepted on a mean day.
    burst
        Changes accepted a second, for a while.
    restarts_per_day
        Daemons restarted on a mean day.
    configuration_kib
        Size of the whole configuration as sent, KiB.
    """
    size = Size(
        daemons=daemons,
        changes_per_day=changes_per_day,
        burst_changes_per_second=burst,
        restarts_per_day=restarts_per_day,
        configuration_kibibytes=configuration_kib,
    )
    print(table_of(project_size(read_fits(pathlib.Path(slopes)), size)))
    return ExitCode.OK


def hollow(settings: str) -> int:
    """Run a process with hollow daemons; SETTINGS is its file. Started by the other commands."""
    return run_worker(pathlib.Path(settings))


scale: Mapping[str, Callable[..., int]] = {
    "run": run,
    "measure": measure,
    "project": project,
    "hollow": hollow,
}
