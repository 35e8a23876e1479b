"""Finds the process that holds a socket, from its descriptors under /proc."""

import os
import pathlib
from collections.abc import Iterable

PROC = pathlib.Path("/proc")
SOCKET_PREFIX = "socket:["


def find_socket_holder(inode: int, pids: Iterable[int]) -> int:
    """Return the first of ``pids`` that holds the socket, or 0 if none does."""
    socket_link = f"{SOCKET_PREFIX}{inode}]"
    for pid in pids:
        if socket_link in list_descriptors(pid):
            return pid
    return 0


def list_descriptors(pid: int) -> list[str]:
    """Return the link target of each open descriptor of a process; empty if it has exited."""
    folder = PROC / str(pid) / "fd"
    targets = []
    try:
        names = os.listdir(folder)
    except OSError:
        return []
    for name in names:
        try:
            targets.append(os.readlink(folder / name))
        except OSError:
            continue
    return targets
