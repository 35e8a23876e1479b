"""Checks of the own process against what it may not have."""

from pathlib import Path

from finchshed.common.errors import InvariantError

IO_URING_MARK = "io_uring"
SHARED_MEMORY_FOLDER = "/dev/shm/"
SYSV_MARK = "/SYSV"
MEMFD_MARK = "/memfd:"

_PROC = Path("/proc")


def io_uring_descriptors(process: int | str = "self") -> list[str]:
    """Return the io_uring descriptors of a process, as its descriptor table names them."""
    return [target for target in _descriptor_targets(process) if IO_URING_MARK in target]


def shared_memory_segments(process: int | str = "self") -> list[str]:
    """Return the shared-memory segments that a process has mapped or holds open."""
    marks = (SHARED_MEMORY_FOLDER, SYSV_MARK, MEMFD_MARK)
    maps = (_PROC / str(process) / "maps").read_text(encoding="utf-8", errors="replace")
    names = {line.split(maxsplit=5)[5] for line in maps.splitlines() if len(line.split()) > 5}
    names.update(_descriptor_targets(process))
    return sorted(name for name in names if name.startswith(marks))


def child_processes(process: int | str = "self") -> list[int]:
    """Return the process ids of a process's children, of all its threads."""
    children: set[int] = set()
    for path in (_PROC / str(process) / "task").glob("*/children"):
        children.update(int(text) for text in path.read_text(encoding="ascii").split())
    return sorted(children)


def require_no_io_uring() -> None:
    """Raise :class:`InvariantError` where this process has opened an io_uring."""
    found = io_uring_descriptors()
    if found:
        raise InvariantError(f"the event loop opened an io_uring: {', '.join(found)}")


def _descriptor_targets(process: int | str) -> list[str]:
    targets = []
    for path in (_PROC / str(process) / "fd").iterdir():
        try:
            targets.append(str(path.readlink()))
        except OSError:
            continue  # closed since the folder was listed
    return targets
