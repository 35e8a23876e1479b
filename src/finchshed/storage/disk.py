"""What durable state needs of a disk.

The operations are those whose order matters for durability, so that a simulated disk can forget
whatever has not been synced: contents of a file last once :meth:`Disk.sync` returns, names of
files last once :meth:`Disk.sync_folder` returns.

Owns no state; :mod:`finchshed.storage.folder` and :mod:`finchshed.storage.simulated_disk` hold
files.
"""

from typing import Protocol

TEMPORARY_SUFFIX = ".tmp"


class Disk(Protocol):
    """Files of one flat folder.

    Each operation may raise :class:`~finchshed.common.errors.StorageError`; operations that need
    room raise :class:`~finchshed.common.errors.DiskFullError`.
    """

    def names(self) -> list[str]:
        """Return the names of the files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Write ``data`` at the end of a file, which is made if it is missing.

        When the disk is full a part of ``data`` may have been written.
        """
        ...

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""
        ...

    def sync(self, name: str) -> None:
        """Return once the content of the file is on the disk."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing the file of that name."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file; a missing one is no error."""
        ...

    def sync_folder(self) -> None:
        """Return once the names of the files are on the disk."""
        ...


def replace_file(disk: Disk, name: str, data: bytes) -> None:
    """Write a whole file so that after a crash either the old or the new content is found.

    Raises
    ------
    DiskFullError
        There was no room; the old content is unharmed.
    """
    temporary = name + TEMPORARY_SUFFIX
    disk.remove(temporary)
    try:
        disk.append(temporary, data)
        disk.sync(temporary)
    except Exception:
        disk.remove(temporary)
        raise
    disk.rename(temporary, name)
    disk.sync_folder()


def remove_temporary_files(disk: Disk) -> None:
    """Remove what writes cut short by a crash left behind."""
    for name in disk.names():
        if name.endswith(TEMPORARY_SUFFIX):
            disk.remove(name)
