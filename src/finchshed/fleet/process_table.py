"""Checks that production processes have no children and use neither io_uring nor shared memory."""

from collections.abc import Iterable

from finchshed.fleet.processes import FleetProcess
from finchshed.observability.process_checks import violations_of


def find_process_violations(processes: Iterable[FleetProcess]) -> list[str]:
    """Return a line for each violation by a running process."""
    return [
        f"{process.spec.name}: {violation}"
        for process in processes
        if process.pid
        for violation in _violations_if_running(process.pid)
    ]


def _violations_if_running(pid: int) -> list[str]:
    try:
        return violations_of(pid)
    except OSError:
        return []  # the process exited in the meantime
