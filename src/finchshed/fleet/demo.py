"""A demonstration: a whole deployment, a surge, and what each class of request got."""

import pathlib

from finchshed.fleet.deployment import FleetDeployment, read_deployment
from finchshed.fleet.fault_run import FaultRun
from finchshed.fleet.scenario import Expectation, FaultScenario

LEAST_FRACTION = 1e-6
"""Each load must get an answer at all."""


def demonstration_of(deployment: FleetDeployment, load_factor: float) -> FaultScenario:
    """Return the scenario of a demonstration: the deployment's own phases and no faults."""
    loads = sorted({load.name for group in deployment.caller for load in group.loads})
    return FaultScenario(
        name="demo",
        description="A surge, without faults",
        phase=deployment.phase,
        expect=tuple(Expectation(load=name, answered_at_least=LEAST_FRACTION) for name in loads),
        load_factor=load_factor,
        platform_lag_seconds=deployment.platform.lag_seconds,
    )


def demo_run(source: pathlib.Path, folder: pathlib.Path, seed: int, load_factor: float) -> FaultRun:
    """Return the run of the demonstration of the deployment in ``source``."""
    scenario = demonstration_of(read_deployment(source), load_factor)
    return FaultRun(source, folder, scenario, seed)
