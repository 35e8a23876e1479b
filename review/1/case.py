"""Machines of the core lose their disks one after another, while the configuration is read.

Each loss is within ``fault_tolerance``: one machine, and the next one only ``SETTLED_SECONDS``
after the earlier one is back, which is more than ``catch_up_s``.
"""

import asyncio
import json
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from deployment import (  # noqa: E402
    BOUNDS,
    Deployment,
    NotRunError,
    configuration,
    has_trouble,
    route,
    run_case,
)

SERVICES = ("tile-server", "notice-desk")
READ_PAUSE_SECONDS = 0.05
"""Pause of the operator between an answer and its next read."""

FIRST_RETRY_SECONDS = 0.1
"""Pause after a failed read; it doubles with each further failure."""

MAX_RETRY_SECONDS = 1.0
LOSSES = 2
"""Machines that lose their disks: the last of the three, then the second."""

SETTLED_SECONDS = 6.0
"""Time from the return of a machine to the next loss; ``catch_up_s`` is 4."""

DOWN_SECONDS = 0.5
READ_FRESH_SECONDS = 1.0
"""A further machine loses its disk only if the configuration was read within this time."""

CHANGES = 5
READ_BACK_SECONDS = 10.0
"""Time for which the configuration is read back at the end; at least ``contact_s``."""


def document(version: int) -> dict[str, object]:
    """Return the configuration of a version, which builds on the one before."""
    return configuration(
        version,
        version - 1,
        SERVICES,
        route("/tiles/", "tile-server"),
        route("/notices/", "notice-desk", "unsafe"),
        route(f"/added-{version}/", "tile-server"),
    )


async def version_at(deployment: Deployment, control: int) -> tuple[int, str]:
    """Return the version that a control node reads, 0 if none, and how it answered."""
    began = deployment.record.now()
    answer = await deployment.get(control)
    seconds = deployment.record.now() - began
    status = "no answer" if answer is None else str(answer.status)
    told = f"{status} after {seconds:.3f} s"
    if answer is None or answer.status != 200:
        return 0, told
    return int(json.loads(answer.body)["version"][1:]), told


class Operator:
    """Reads the configuration, one call at a time, at one control node while that answers."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.last_read_at = 0.0
        self.answered = 0

    async def read(self) -> None:
        """Read until cancelled; after a failure, move to the next node with a growing pause."""
        control = 0
        pause = FIRST_RETRY_SECONDS
        while True:
            version, told = await version_at(self._deployment, control)
            if version:
                self.answered += 1
                self.last_read_at = self._deployment.record.now()
                pause = FIRST_RETRY_SECONDS
                await asyncio.sleep(READ_PAUSE_SECONDS)
                continue
            self._deployment.record.write(f"read at control node {control}: {told}")
            control = (control + 1) % len(self._deployment.controls)
            await asyncio.sleep(pause)
            pause = min(2.0 * pause, MAX_RETRY_SECONDS)


async def play(deployment: Deployment) -> list[str]:
    """Return the breaks of the rule."""
    record = deployment.record
    for version in range(1, CHANGES + 1):
        await deployment.put_until_acknowledged(document(version))
        record.write(f"r{version} is acknowledged")
    operator = Operator(deployment)
    reading = asyncio.create_task(operator.read())
    await asyncio.sleep(SETTLED_SECONDS / 2)
    for loss in range(LOSSES):
        age = record.now() - operator.last_read_at
        record.write(f"{operator.answered} reads were answered, the last one {age:.3f} s ago")
        if age > READ_FRESH_SECONDS:
            raise NotRunError("the configuration could not be read before the loss")
        machine = deployment.controls[-1 - loss % len(deployment.controls)]
        if has_trouble():
            machine.end()
            machine.lose_disk()
        await asyncio.sleep(DOWN_SECONDS)
        if has_trouble():
            machine.start()
        await asyncio.sleep(SETTLED_SECONDS)
    reading.cancel()
    record.write(f"{operator.answered} reads were answered; all machines are back")
    await asyncio.sleep(BOUNDS["recovery_s"])
    return await read_back(deployment)


async def read_back(deployment: Deployment) -> list[str]:
    """Read the configuration at all control nodes; return what is wrong with it."""
    record = deployment.record
    ended = [machine.name for machine in deployment.controls if machine.exit_code is not None]
    if ended:
        raise NotRunError(f"{ended} ended by themselves")
    until = record.now() + READ_BACK_SECONDS
    versions: list[int] = []
    while record.now() < until:
        for control in range(len(deployment.controls)):
            version, told = await version_at(deployment, control)
            record.write(f"read back at control node {control}: r{version}, {told}")
            if version:
                versions.append(version)
        await asyncio.sleep(0.2)
    if not versions:
        return [f"r{CHANGES} was acknowledged, and the configuration does not come when read back"]
    return [f"r{seen} was read back after r{CHANGES}" for seen in versions if seen < CHANGES]


if __name__ == "__main__":
    sys.exit(run_case(CASE, SERVICES, play))
