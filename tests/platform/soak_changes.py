"""Long series of changes of a large configuration in the soak, and the check of memory."""

import asyncio
import random
import time
from pathlib import Path
from typing import Any

from tests.platform.fake_platform import Machine, route
from tests.platform.soak_configuration import Put, current_version
from tests.platform.soak_state import Soak

FURTHER_ROUTES = 400
GAP_SECONDS = (0.05, 0.4)
MAX_CONTROL_BYTES = 200_000_000
"""Memory of a control machine, as its settings name it."""


def further_routes(version: int) -> list[dict[str, Any]]:
    """Return routes that nobody calls, all of which differ from those of other versions."""
    return [
        route(f"/further{number}/", "sales", timeout_s=1 + version / 1000)
        for number in range(FURTHER_ROUTES)
    ]


async def change_in_series(soak: Soak, put: Put, end: float, rng: random.Random) -> None:
    """Change all of a large configuration, again and again, until ``end``."""
    while time.monotonic() < end:
        control = rng.randrange(len(soak.running.controls))
        if not await put(control):
            soak.version = await current_version(soak, control) or soak.version
        await asyncio.sleep(rng.uniform(*GAP_SECONDS))


def memory_violations(soak: Soak) -> list[str]:
    """Return the control processes that have had more memory than their machine."""
    return [
        f"control {machine.ip} had {peak_bytes(machine)} bytes"
        for machine in soak.running.controls
        if peak_bytes(machine) > MAX_CONTROL_BYTES
    ]


def peak_bytes(machine: Machine) -> int:
    """Return the largest resident size that a process had, 0 if it has ended."""
    if machine.process is None or machine.process.poll() is not None:
        return 0
    status = Path(f"/proc/{machine.process.pid}/status").read_text()
    peaks = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM:")]
    return int(peaks[0]) * 1024 if peaks else 0
