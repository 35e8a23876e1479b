"""Detects resources that production processes must not use."""

import os
from pathlib import Path

from finchshed.common.errors import InvariantError

IO_URING_NAME = "io_uring"
MEMORY_FILESYSTEM = "tmpfs"
DEVICE_DIRECTORY = "/dev/"
"""Directory under which Linux mounts the file system for POSIX shared memory."""

SYSV_PREFIX = "/SYSV"
MEMFD_PREFIX = "/memfd:"
ANONYMOUS_SHARED_PREFIX = "/dev/zero"
"""Name that Linux gives to a shared anonymous mapping, such as one created before a fork."""

_PROC = Path("/proc")


def io_uring_descriptors(process: int | str = "self") -> list[str]:
    """Return the names of the io_uring descriptors of a process."""
    return [target for target in _descriptor_targets(process) if IO_URING_NAME in target]


def shared_memory_segments(process: int | str = "self") -> list[str]:
    """Return the shared-memory segments that a process has mapped, open or created."""
    prefixes = (*_memory_directories(process), SYSV_PREFIX, MEMFD_PREFIX, ANONYMOUS_SHARED_PREFIX)
    maps = (_PROC / str(process) / "maps").read_text(encoding="utf-8", errors="replace")
    names = {line.split(maxsplit=5)[5] for line in maps.splitlines() if len(line.split()) > 5}
    names.update(_descriptor_targets(process))
    found = [name for name in names if name.startswith(prefixes)]
    return sorted([*found, *_segments_created_by(process)])


def child_processes(process: int | str = "self") -> list[int]:
    """Return the ids of the child processes of all threads of a process."""
    children: set[int] = set()
    for path in (_PROC / str(process) / "task").glob("*/children"):
        children.update(int(text) for text in path.read_text(encoding="ascii").split())
    return sorted(children)


def thread_count(process: int | str = "self") -> int:
    """Return the number of threads of a process."""
    return len(list((_PROC / str(process) / "task").iterdir()))


def violations_of(process: int | str = "self") -> list[str]:
    """Return one line for each forbidden resource that a process uses."""
    found = [f"child process {child}" for child in child_processes(process)]
    found += [f"io_uring descriptor {name}" for name in io_uring_descriptors(process)]
    found += [f"shared-memory segment {name}" for name in shared_memory_segments(process)]
    return found


def require_no_io_uring() -> None:
    """Raise :class:`InvariantError` if this process has an io_uring open."""
    found = io_uring_descriptors()
    if found:
        raise InvariantError(f"the event loop opened an io_uring: {', '.join(found)}")


def _memory_directories(process: int | str) -> list[str]:
    """Return the memory-backed mount points under ``/dev`` in the mount namespace of a process."""
    directories = []
    text = (_PROC / str(process) / "mountinfo").read_text(encoding="utf-8", errors="replace")
    for line in text.splitlines():
        mounted, _, kind = line.partition(" - ")
        directory = mounted.split()[4]
        if kind.split()[0] == MEMORY_FILESYSTEM and directory.startswith(DEVICE_DIRECTORY):
            directories.append(f"{directory}/")
    return directories


def _segments_created_by(process: int | str) -> list[str]:
    """Return the System V segments created by a process, attached or not."""
    pid = os.getpid() if process == "self" else int(process)
    try:
        lines = (_PROC / "sysvipc" / "shm").read_text(encoding="ascii").splitlines()
    except OSError:
        return []  # the kernel has no System V shared memory
    if not lines:
        return []
    columns = lines[0].split()
    rows = [dict(zip(columns, line.split(), strict=False)) for line in lines[1:]]
    return [f"{SYSV_PREFIX} shmid {row['shmid']}" for row in rows if row["cpid"] == str(pid)]


def _descriptor_targets(process: int | str) -> list[str]:
    targets = []
    for path in (_PROC / str(process) / "fd").iterdir():
        try:
            targets.append(str(path.readlink()))
        except OSError:
            continue  # closed after the directory was listed
    return targets
