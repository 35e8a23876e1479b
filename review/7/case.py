"""A configuration of many routes changes some hundreds of times.

The platform ends a process that goes over its memory.
"""

import asyncio
import sys
from pathlib import Path

from deployment_2.machines import CannotRunError, Deployment
from deployment_2.memory import MemoryLimit
from deployment_2.people import Operator, Server, configuration, route
from deployment_2.play import has_trouble, play

SERVICES = ["tile-server", "notice-desk"]
ROUTES = 1080 if has_trouble() else 6
"""Three times the 360 routes by which a configuration grows at once (karta-mesh)."""
GAP_S = 0.33
"""Time between two changes of a quick succession (brl-mesh)."""
LONGEST_S = 102.0
MEMORY_BYTES = 296 << 20
"""memory_mb of a core machine, read in its larger sense."""
ENDS = 3
"""What the rule names: three ends in the day, on half of the core."""


async def case(deployment: Deployment) -> bool:
    """Play the case; return whether the rule held."""
    deployment.start()
    for machine in deployment.sides:
        await Server(deployment, machine).start()
    operator = Operator(deployment)
    memory = MemoryLimit(deployment, deployment.controls, MEMORY_BYTES)
    version = 0
    end = deployment.now() + LONGEST_S
    while deployment.now() < end and len(memory.ends) < len(deployment.controls):
        began = deployment.now()
        version += 1
        timeout_s = 1 + version / 100
        routes = [
            route(f"/look{number}/", SERVICES[number % 2], timeout_s=timeout_s)
            for number in range(ROUTES)
        ]
        document = configuration(version, version - 1, SERVICES, *routes)
        status = await operator.put(document, 20.0)
        if status != 200:
            raise CannotRunError(f"the configuration wasn't acknowledged: {status}")
        if version % 10 == 0:
            memory.note()
        await asyncio.sleep(max(0.0, GAP_S - (deployment.now() - began)))
    await asyncio.sleep(1.0)
    memory.stop()
    result = {
        "routes": ROUTES,
        "changes": version,
        "ends": dict(memory.ends),
        "largest": memory.largest,
    }
    deployment.record("result", **result)
    print(result)
    is_half_of_core = 2 * len(memory.ends) >= len(deployment.controls)
    return not (memory.ends.total() >= ENDS and is_half_of_core)


if __name__ == "__main__":
    here = Path(__file__).parent
    zones = ["port-area", "pasay", "quezon"]
    sys.exit(play(lambda: Deployment(here, 3, SERVICES, zones), case))
