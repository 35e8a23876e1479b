"""Configuration in the soak: dense reads, lost disks of control machines, and their checks."""

import asyncio
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable

from tests.platform.fake_platform import ClientResponse
from tests.platform.soak_state import ConfigurationRead, Soak

Put = Callable[[int], Awaitable[bool]]
"""Sends a configuration to a control node; tells whether it was acknowledged."""

READ_PAUSES_SECONDS = (0.002, 0.01, 0.05)
"""Pauses of an operator between its reads; all are below the heartbeat interval."""

RETRY_SECONDS = 0.1
CATCH_UP_SECONDS = 4.0
"""Time from the return of a machine until the next one may be lost."""

MARGIN_SECONDS = 0.5
DOWN_SECONDS = (0.1, 1.0)
APPLY_SECONDS = 2.0
"""Time after an acknowledgement from which reads must not be older."""

DOWN_TIMEOUT_SECONDS = 10.0
READ_BACK_SECONDS = 15.0
"""Time within which the configuration must be read back once all machines are back."""


async def read_densely(soak: Soak, end: float, rng: random.Random) -> None:
    """Read the configuration at one control node while it answers, without a break."""
    pause = rng.choice(READ_PAUSES_SECONDS)
    control = rng.randrange(len(soak.running.controls))
    while time.monotonic() < end:
        began = time.monotonic()
        version = version_of(await soak.running.read(control))
        if version:
            soak.reads.append(ConfigurationRead(began, version))
            await asyncio.sleep(pause)
        else:
            control = (control + 1) % len(soak.running.controls)
            await asyncio.sleep(RETRY_SECONDS)


async def lose_disks(soak: Soak, end: float, rng: random.Random) -> None:
    """Let control machines lose their disks one after another, as soon as tolerance allows."""
    while time.monotonic() + CATCH_UP_SECONDS < end:
        machine = rng.choice(soak.running.controls)
        async with soak.lock(machine):
            machine.stop()
            soak.lost_disks += 1
            await asyncio.sleep(rng.uniform(*DOWN_SECONDS))
            machine.start(bootstrap=False, wipe=True)
        await asyncio.sleep(CATCH_UP_SECONDS + MARGIN_SECONDS)


async def lose_disk_while_all_are_off(soak: Soak, put: Put, rng: random.Random) -> None:
    """Kill all processes right after an acknowledgement; a control one comes back without its disk.

    Daemons are killed as well, so that nothing is borrowed from the memory of a process.
    """
    if soak.loses_disks:
        await asyncio.sleep(CATCH_UP_SECONDS)
    soak.version = max([await current_version(soak, control) for control in range(3)])
    soak.ended_with_acknowledgement = await put(rng.randrange(len(soak.running.controls)))
    machines = [*soak.running.controls, *soak.running.daemons]
    for machine in machines:
        machine.signal(signal.SIGKILL)
    for machine in machines:
        machine.wait(DOWN_TIMEOUT_SECONDS)
    lost = rng.choice(soak.running.controls)
    for machine in machines:
        machine.start(bootstrap=False, wipe=machine is lost)


def read_violations(soak: Soak) -> list[str]:
    """Return reads that were older than a version acknowledged well before."""
    found = []
    for read in soak.reads:
        due = [version for at, version in soak.acknowledged if at + APPLY_SECONDS < read.began]
        if read.version < max(due, default=0):
            found.append(f"read r{read.version} although r{max(due)} was acknowledged before")
    return found


async def read_back_violations(soak: Soak) -> list[str]:
    """Return what is wrong with the configuration once all machines are back."""
    newest = max(version for _, version in soak.acknowledged)
    deadline = time.monotonic() + READ_BACK_SECONDS
    while time.monotonic() < deadline:
        for control in range(len(soak.running.controls)):
            version = version_of(await soak.running.read(control))
            if version:
                return [f"r{version} read back after r{newest}"] if version < newest else []
        await asyncio.sleep(RETRY_SECONDS)
    return [f"r{newest} was acknowledged, and the configuration is not read back"]


async def current_version(soak: Soak, control: int) -> int:
    """Return the version that a control node answers with; 0 if it doesn't answer."""
    return version_of(await soak.running.read(control))


def version_of(response: ClientResponse) -> int:
    """Return the number of the version in a response, 0 if it has none."""
    if response.status != 200:
        return 0
    return int(json.loads(response.body)["version"][1:])
