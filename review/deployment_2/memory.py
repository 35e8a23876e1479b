"""The platform's limit on the memory of a process: it ends one that goes over, and starts it again.

Counts private memory alone (RssAnon), without files and libraries.
"""

import asyncio
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from deployment_2.machines import Deployment, Machine

RESTART_S = 0.5
CHECK_S = 0.05


def private_bytes(machine: Machine) -> int:
    """Return the memory that belongs to the process alone; 0 if it has ended."""
    assert machine.process is not None
    try:
        status = Path(f"/proc/{machine.process.pid}/status").read_text()
    except OSError:
        return 0
    found = [row.split()[1] for row in status.splitlines() if row.startswith("RssAnon:")]
    return int(found[0]) * 1024 if found else 0


class MemoryLimit:
    """Ends processes over ``limit`` bytes, and notes those that end by themselves."""

    def __init__(self, deployment: Deployment, machines: Sequence[Machine], limit: int) -> None:
        self.ends: Counter[str] = Counter()
        self.largest = 0
        self._deployment = deployment
        self._machines = machines
        self._limit = limit
        self._down: set[str] = set()
        self._restarts: set[asyncio.Task[None]] = set()
        self._watch = asyncio.create_task(self._run())

    def stop(self) -> None:
        """End the watch; raise what made it fail."""
        for task in (self._watch, *self._restarts):
            if task.done() and not task.cancelled():
                task.result()
            task.cancel()

    def note(self) -> None:
        """Write the memory of all machines to the record."""
        used = " ".join(f"{item.ip}={private_bytes(item) >> 20}" for item in self._machines)
        self._deployment.record("memory-mib", of=used)

    async def _run(self) -> None:
        while True:
            for machine in self._machines:
                if machine.ip not in self._down:
                    self._check(machine)
            await asyncio.sleep(CHECK_S)

    def _check(self, machine: Machine) -> None:
        used = private_bytes(machine)
        self.largest = max(self.largest, used)
        if used <= self._limit and not machine.has_ended():
            return
        self._deployment.record("over-memory", machine=machine.ip, role=machine.role, bytes=used)
        machine.clean_up()
        self.ends[machine.ip] += 1
        self._down.add(machine.ip)
        self._restarts.add(asyncio.create_task(self._restart(machine)))

    async def _restart(self, machine: Machine) -> None:
        await asyncio.sleep(RESTART_S)
        machine.start()
        self._down.discard(machine.ip)
