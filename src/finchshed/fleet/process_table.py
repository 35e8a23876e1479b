"""What the kernel's tables say of a fleet's production processes.

A production process starts no other process and uses neither io_uring nor shared memory.
"""

from collections.abc import Iterable

from finchshed.fleet.processes import FleetProcess
from finchshed.fleet.sockets import children_of, descriptors_of, shared_memory_of

IO_URING = "anon_inode:[io_uring]"


def problems_of(processes: Iterable[FleetProcess]) -> list[str]:
    """Return a line for each running process that breaks the rule."""
    problems = []
    for process in processes:
        pid = process.pid
        if not pid:
            continue
        name = process.spec.name
        children = children_of(pid)
        if children:
            problems.append(f"{name} has child processes: {children}")
        if IO_URING in descriptors_of(pid):
            problems.append(f"{name} holds an io_uring")
        mappings = shared_memory_of(pid)
        if mappings:
            problems.append(f"{name} maps shared memory: {mappings[0]}")
    return problems
