"""What the kernel's tables say of a fleet's production processes.

A production process starts no other process and uses neither io_uring nor shared memory.
"""

from collections.abc import Iterable

from finchshed.fleet.processes import FleetProcess
from finchshed.observability.process_checks import violations_of


def problems_of(processes: Iterable[FleetProcess]) -> list[str]:
    """Return a line for each thing that a running process may not have, and has."""
    return [
        f"{process.spec.name}: {violation}"
        for process in processes
        if process.pid
        for violation in _violations_of(process.pid)
    ]


def _violations_of(pid: int) -> list[str]:
    try:
        return violations_of(pid)
    except OSError:
        return []  # it has ended since it was looked up
