"""Runs a whole scale run and writes its results."""

import asyncio
import pathlib
from typing import BinaryIO

import msgspec

from finchshed.cli.exit_codes import ExitCode
from finchshed.scale.calls import Calls
from finchshed.scale.cluster import Cluster
from finchshed.scale.layout import ScaleSize
from finchshed.scale.phases import PhaseOptions, Phases
from finchshed.scale.results import Line, PhaseResult, run_info, table_of

IN_FORCE_LIMIT_SECONDS = 4.0
REAL_READY_SECONDS = 30.0
CALLS_PER_SECOND = 10.0


class RunOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What to run and where to write."""

    folder: pathlib.Path
    out: pathlib.Path
    size: ScaleSize
    phases: PhaseOptions
    seed: int
    only: tuple[str, ...] = ()


async def run(options: RunOptions) -> int:
    """Run every phase; return 0 only if no change was missing, late or reverted."""
    results: list[PhaseResult] = []
    async with Cluster(options.folder, options.size, options.seed) as cluster:
        await start(cluster)
        calls_rate = CALLS_PER_SECOND if options.size.real_daemons else 0.0
        with options.out.open("ab") as file:
            _write(file, run_info(options.size, options.seed, len(cluster.processes)))
            async with Calls(cluster.plan.edge_address, calls_rate) as calls:
                phases = Phases(cluster, calls, options.phases)
                for phase in phases.all:
                    if options.only and phase.__name__ not in options.only:
                        continue
                    result = await phase()
                    results.append(result)
                    _write(file, result)
                    print(f"{result.name}: {result.seconds:.1f} s", flush=True)
        fallen = cluster.ended_unasked()
    print(table_of(results))
    return _verdict(results, fallen)


async def start(cluster: Cluster) -> None:
    """Start all processes; hollow daemons don't run yet."""
    await cluster.start_control()
    print("control nodes up, declarations accepted", flush=True)
    await asyncio.gather(cluster.start_real(), cluster.start_workers())
    print(f"{len(cluster.processes)} processes up", flush=True)


def _verdict(results: list[PhaseResult], fallen: list[str]) -> int:
    problems = [f"ended unasked: {name}" for name in fallen]
    for result in results:
        worst = result.in_force.each.worst
        if result.in_force.missing:
            problems.append(f"{result.name}: {result.in_force.missing} never came into force")
        if result.reverted:
            problems.append(f"{result.name}: {result.reverted} times a configuration went back")
        if result.served_unconfirmed:
            problems.append(f"{result.name}: {result.served_unconfirmed} served unconfirmed")
        if worst > IN_FORCE_LIMIT_SECONDS:
            problems.append(
                f"{result.name}: {worst:.2f} s to in force, allowed {IN_FORCE_LIMIT_SECONDS:g}"
            )
    for problem in problems:
        print(problem)
    print("FAILED" if problems else "passed")
    return ExitCode.FAILED if problems else ExitCode.OK


def _write(file: BinaryIO, line: Line) -> None:
    file.write(msgspec.json.encode(line) + b"\n")
    file.flush()
