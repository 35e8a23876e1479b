"""Which process holds a socket, from the kernel's tables under /proc."""

import os
import pathlib
from collections.abc import Iterable

PROC = pathlib.Path("/proc")
SOCKET_PREFIX = "socket:["


def holder_of(inode: int, pids: Iterable[int]) -> int:
    """Return which of ``pids`` holds the socket, or 0."""
    wanted = f"{SOCKET_PREFIX}{inode}]"
    for pid in pids:
        if wanted in descriptors_of(pid):
            return pid
    return 0


def descriptors_of(pid: int) -> list[str]:
    """Return what each open descriptor of a process stands for; empty if it is gone."""
    folder = PROC / str(pid) / "fd"
    found = []
    try:
        names = os.listdir(folder)
    except OSError:
        return []
    for name in names:
        try:
            found.append(os.readlink(folder / name))
        except OSError:
            continue
    return found
