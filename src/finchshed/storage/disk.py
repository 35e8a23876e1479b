"""Disk interface used by durable state.

File contents are durable once :meth:`Disk.sync` returns, and file names once
:meth:`Disk.sync_folder` returns. :mod:`finchshed.storage.folder` implements the interface on a file
system, :mod:`finchshed.storage.simulated_disk` in memory with faults.
"""

from collections.abc import Iterable
from typing import Protocol

TEMPORARY_SUFFIX = ".tmp"


class Disk(Protocol):
    """Files of one flat folder.

    Any operation may raise :class:`~finchshed.common.errors.StorageError`; operations that allocate
    space may raise :class:`~finchshed.common.errors.DiskFullError`.
    """

    def names(self) -> list[str]:
        """Return the sorted file names."""
        ...

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to a file, creating it if missing.

        If the disk is full, part of ``data`` may have been written.
        """
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""
        ...

    def sync(self, name: str) -> None:
        """Flush the content of a file to stable storage."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file named ``new``."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        ...

    def sync_folder(self) -> None:
        """Flush the directory entries to stable storage."""
        ...


def replace_file(disk: Disk, name: str, pieces: Iterable[bytes]) -> None:
    """Replace a file atomically: after a crash it has either the old or the new content.

    A large content can be given in several pieces, which aren't held in memory together.

    Raises
    ------
    DiskFullError
        The disk is full; the old content is unchanged.
    """
    temporary = name + TEMPORARY_SUFFIX
    disk.remove(temporary)
    try:
        for piece in pieces:
            disk.append(temporary, piece)
        disk.sync(temporary)
    except Exception:
        disk.remove(temporary)
        raise
    disk.rename(temporary, name)
    disk.sync_folder()


def remove_temporary_files(disk: Disk) -> None:
    """Remove temporary files left behind by a crash."""
    for name in disk.names():
        if name.endswith(TEMPORARY_SUFFIX):
            disk.remove(name)
