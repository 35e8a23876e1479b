"""A folder of the real file system as a :class:`~finchshed.storage.disk.Disk`.

Owns the folder and its lock: one process at a time. Relies on the file system for sync and rename.
"""

import errno
import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from finchshed.common.errors import DiskFullError, FolderLockedError, StorageError

LOCK_NAME = "LOCK"

_NO_ROOM = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


@contextmanager
def _translated_errors(action: str, name: str) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        text = f"cannot {action} {name}: {error.strerror}"
        if error.errno in _NO_ROOM:
            raise DiskFullError(text) from error
        raise StorageError(text) from error


class DataFolder:
    """One folder, held under an exclusive lock for as long as the object is open.

    The calls block; a program with an event loop makes those that sync in a thread of its own.

    Parameters
    ----------
    path
        The folder; it is made if it is missing.

    Raises
    ------
    FolderLockedError
        Another process holds the folder.
    StorageError
        The folder can't be made or opened.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._handles: dict[str, int] = {}
        with _translated_errors("open the folder", str(path)):
            path.mkdir(parents=True, exist_ok=True)
            self._folder_handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._lock_handle = self._lock()

    @property
    def path(self) -> Path:
        """The folder."""
        return self._path

    def close(self) -> None:
        """Close every file and give the lock up."""
        for handle in self._handles.values():
            os.close(handle)
        self._handles.clear()
        os.close(self._lock_handle)
        os.close(self._folder_handle)

    def names(self) -> list[str]:
        """Return the names of the files, sorted, without the lock file."""
        with _translated_errors("list", str(self._path)):
            entries = sorted(entry.name for entry in self._path.iterdir() if entry.is_file())
        return [name for name in entries if name != LOCK_NAME]

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        with _translated_errors("read", name):
            return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Write ``data`` at the end of a file, which is made if it is missing."""
        with _translated_errors("write", name):
            handle = self._handle(name)
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(handle, rest) :]

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""
        with _translated_errors("truncate", name):
            os.ftruncate(self._handle(name), size)

    def sync(self, name: str) -> None:
        """Return once the content of the file is on the disk."""
        with _translated_errors("sync", name):
            os.fsync(self._handle(name))

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing the file of that name."""
        self._release(old)
        self._release(new)
        with _translated_errors("rename", old):
            (self._path / old).rename(self._path / new)

    def remove(self, name: str) -> None:
        """Remove a file; a missing one is no error."""
        self._release(name)
        with _translated_errors("remove", name):
            (self._path / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Return once the names of the files are on the disk."""
        with _translated_errors("sync the folder", str(self._path)):
            os.fsync(self._folder_handle)

    def _handle(self, name: str) -> int:
        handle = self._handles.get(name)
        if handle is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            handle = os.open(self._path / name, flags, 0o640)
            self._handles[name] = handle
        return handle

    def _release(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _lock(self) -> int:
        with _translated_errors("open", LOCK_NAME):
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            handle = os.open(self._path / LOCK_NAME, flags, 0o640)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(handle)
            os.close(self._folder_handle)
            raise FolderLockedError(f"another process uses {self._path}") from error
        return handle
