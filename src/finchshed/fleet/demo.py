"""Demo run of a whole deployment through a surge, without faults."""

import pathlib

from finchshed.fleet.deployment import FleetDeployment, read_deployment
from finchshed.fleet.fault_run import FaultRun
from finchshed.fleet.scenario import Expectation, FaultScenario

MIN_ANSWERED_FRACTION = 1e-6
"""Requires at least one answer for each load."""


def demo_scenario(deployment: FleetDeployment, load_factor: float) -> FaultScenario:
    """Return a scenario with the deployment's own phases and no faults."""
    loads = sorted({load.name for group in deployment.caller for load in group.loads})
    return FaultScenario(
        name="demo",
        description="A surge, without faults",
        phase=deployment.phase,
        expect=tuple(
            Expectation(load=name, answered_at_least=MIN_ANSWERED_FRACTION) for name in loads
        ),
        load_factor=load_factor,
        platform_lag_seconds=deployment.platform.lag_seconds,
    )


def demo_run(source: pathlib.Path, folder: pathlib.Path, seed: int, load_factor: float) -> FaultRun:
    """Return a demo run of the deployment in ``source``."""
    scenario = demo_scenario(read_deployment(source), load_factor)
    return FaultRun(source, folder, scenario, seed)
