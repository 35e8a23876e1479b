"""Runs storms on a fleet, one seed after another.

The folder of each run has its fault script, with which the run can be repeated.
"""

import pathlib
from collections.abc import Iterable

from finchshed.cli.exit_codes import ExitCode
from finchshed.configuration.declarations import read_declarations
from finchshed.configuration.resources import Endpoint
from finchshed.fleet.deployment import DECLARATIONS_FOLDER, FleetDeployment, read_deployment
from finchshed.fleet.fault_run import FaultRun
from finchshed.fleet.storm import StormTargets, storm
from finchshed.fleet.toml_writer import to_toml

SCRIPT_FILE = "script.toml"


def read_storm_targets(source: pathlib.Path, deployment: FleetDeployment) -> StormTargets:
    """Return the fault targets of ``deployment``, whose declarations are in ``source``."""
    resources = read_declarations(source / DECLARATIONS_FOLDER).resources.values()
    endpoints = [item for item in resources if isinstance(item, Endpoint)]
    return StormTargets(
        control=tuple(machine.name for machine in deployment.control),
        edges=tuple(machine.name for machine in deployment.edge),
        endpoints=tuple(endpoint.name for endpoint in endpoints),
        services=tuple(sorted({endpoint.service for endpoint in endpoints})),
        zones=tuple(sorted({endpoint.zone for endpoint in endpoints})),
    )


async def run_storms(source: pathlib.Path, folder: pathlib.Path, seeds: Iterable[int]) -> int:
    """Run the storm of each seed; return exit code 0 only if none failed."""
    targets = read_storm_targets(source, read_deployment(source))
    failed = []
    for seed in seeds:
        script = storm(targets, seed)
        run_folder = folder / script.name
        run_folder.mkdir(parents=True)
        (run_folder / SCRIPT_FILE).write_text(to_toml(script))
        verdict = await FaultRun(source, run_folder, script, seed).run()
        if not verdict.passed:
            failed.append(seed)
    print(f"storms: {len(failed)} failed" + (f": seeds {failed}" if failed else ""))
    return ExitCode.FAILED if failed else ExitCode.OK
