"""Plans a fleet and starts all its processes except callers.

The caller stops the processes by leaving the context of the returned fleet.
"""

import pathlib

from finchshed.fleet.admin import wait_until_serving
from finchshed.fleet.deployment import FleetDeployment
from finchshed.fleet.network import FleetNetwork
from finchshed.fleet.operator import FleetOperator
from finchshed.fleet.plan_options import PlanOptions
from finchshed.fleet.planner import Planner
from finchshed.fleet.processes import ProcessRole
from finchshed.fleet.runner import Fleet

SERVING_TIMEOUT_SECONDS = 20.0
"""How long daemons may take to become healthy after they start."""


def plan_fleet(
    source: pathlib.Path, deployment: FleetDeployment, folder: pathlib.Path, options: PlanOptions
) -> Fleet:
    """Plan the fleet of ``deployment`` in ``folder``, with the declarations from ``source``."""
    network = FleetNetwork()
    try:
        plan = Planner(source, deployment, folder, network, options).plan()
    except BaseException:
        network.release()
        raise
    return Fleet(plan, network)


async def bring_up(fleet: Fleet) -> FleetOperator:
    """Start all processes except callers and wait until the declarations are in force."""
    await fleet.start(ProcessRole.PLATFORM, ProcessRole.CONTROL)
    await fleet.publish_instances()
    operator = FleetOperator(fleet.plan)
    print(f"control nodes listen; {await operator.apply_declarations()}", flush=True)
    await fleet.start(ProcessRole.BACKEND, ProcessRole.DAEMON, ProcessRole.EDGE)
    await wait_until_serving(fleet, SERVING_TIMEOUT_SECONDS)
    return operator
