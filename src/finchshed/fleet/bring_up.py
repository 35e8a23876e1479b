"""Plans a fleet and starts everything but its callers.

Relies on free ports in the network it holds; a fleet that is returned is stopped by its context.
"""

import pathlib

from finchshed.fleet.admin import wait_in_force
from finchshed.fleet.deployment import FleetDeployment
from finchshed.fleet.network import FleetNetwork
from finchshed.fleet.operator import FleetOperator
from finchshed.fleet.plan_options import PlanOptions
from finchshed.fleet.planner import Planner
from finchshed.fleet.processes import ProcessRole
from finchshed.fleet.runner import Fleet

IN_FORCE_SECONDS = 20.0
"""How long daemons may take to serve after their start; chosen, not measured."""


def plan_fleet(
    source: pathlib.Path, deployment: FleetDeployment, folder: pathlib.Path, options: PlanOptions
) -> Fleet:
    """Plan the fleet of ``deployment`` in ``folder``; its declarations stand in ``source``."""
    network = FleetNetwork()
    try:
        plan = Planner(source, deployment, folder, network, options).plan()
    except BaseException:
        network.release()
        raise
    return Fleet(plan, network)


async def bring_up(fleet: Fleet) -> FleetOperator:
    """Start everything but the callers, apply the declarations, wait until they are in force."""
    await fleet.start(ProcessRole.PLATFORM, ProcessRole.CONTROL)
    await fleet.publish_instances()
    operator = FleetOperator(fleet.plan)
    print(f"control nodes listen; {await operator.apply_declarations()}", flush=True)
    await fleet.start(ProcessRole.BACKEND, ProcessRole.DAEMON, ProcessRole.EDGE)
    await wait_in_force(fleet, IN_FORCE_SECONDS)
    return operator
