"""Checks of the own process against what it may not have."""

import os
from pathlib import Path

from finchshed.common.errors import InvariantError

IO_URING_MARK = "io_uring"
MEMORY_FILESYSTEM = "tmpfs"
DEVICE_FOLDER = "/dev/"
"""Where Linux mounts the filesystem that holds POSIX shared memory, under whatever name."""

SYSV_MARK = "/SYSV"
MEMFD_MARK = "/memfd:"
ANONYMOUS_SHARED_MARK = "/dev/zero"
"""How Linux names a shared anonymous mapping, as one made before a fork."""

_PROC = Path("/proc")


def io_uring_descriptors(process: int | str = "self") -> list[str]:
    """Return the io_uring descriptors of a process, as its descriptor table names them."""
    return [target for target in _descriptor_targets(process) if IO_URING_MARK in target]


def shared_memory_segments(process: int | str = "self") -> list[str]:
    """Return the shared-memory segments that a process has mapped or holds open."""
    marks = (*_memory_folders(process), SYSV_MARK, MEMFD_MARK, ANONYMOUS_SHARED_MARK)
    maps = (_PROC / str(process) / "maps").read_text(encoding="utf-8", errors="replace")
    names = {line.split(maxsplit=5)[5] for line in maps.splitlines() if len(line.split()) > 5}
    names.update(_descriptor_targets(process))
    found = [name for name in names if name.startswith(marks)]
    return sorted([*found, *_segments_made_by(process)])


def child_processes(process: int | str = "self") -> list[int]:
    """Return the process ids of a process's children, of all its threads."""
    children: set[int] = set()
    for path in (_PROC / str(process) / "task").glob("*/children"):
        children.update(int(text) for text in path.read_text(encoding="ascii").split())
    return sorted(children)


def thread_count(process: int | str = "self") -> int:
    """Return the number of a process's threads; for tests, which bound it for each program."""
    return len(list((_PROC / str(process) / "task").iterdir()))


def violations_of(process: int | str = "self") -> list[str]:
    """Return one line for each thing that a production process may not have, and has."""
    found = [f"child process {child}" for child in child_processes(process)]
    found += [f"io_uring descriptor {name}" for name in io_uring_descriptors(process)]
    found += [f"shared-memory segment {name}" for name in shared_memory_segments(process)]
    return found


def require_no_io_uring() -> None:
    """Raise :class:`InvariantError` where this process has opened an io_uring."""
    found = io_uring_descriptors()
    if found:
        raise InvariantError(f"the event loop opened an io_uring: {', '.join(found)}")


def _memory_folders(process: int | str) -> list[str]:
    """Return the folders under ``/dev`` that live in memory, as the process sees them mounted."""
    folders = []
    text = (_PROC / str(process) / "mountinfo").read_text(encoding="utf-8", errors="replace")
    for line in text.splitlines():
        mounted, _, kind = line.partition(" - ")
        folder = mounted.split()[4]
        if kind.split()[0] == MEMORY_FILESYSTEM and folder.startswith(DEVICE_FOLDER):
            folders.append(f"{folder}/")
    return folders


def _segments_made_by(process: int | str) -> list[str]:
    """Return the System V segments that a process created, attached or not."""
    number = os.getpid() if process == "self" else int(process)
    try:
        lines = (_PROC / "sysvipc" / "shm").read_text(encoding="ascii").splitlines()
    except OSError:
        return []  # a kernel without System V shared memory
    if not lines:
        return []
    columns = lines[0].split()
    rows = [dict(zip(columns, line.split(), strict=False)) for line in lines[1:]]
    return [f"{SYSV_MARK} shmid {row['shmid']}" for row in rows if row["cpid"] == str(number)]


def _descriptor_targets(process: int | str) -> list[str]:
    targets = []
    for path in (_PROC / str(process) / "fd").iterdir():
        try:
            targets.append(str(path.readlink()))
        except OSError:
            continue  # closed since the folder was listed
    return targets
