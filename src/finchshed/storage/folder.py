"""Implements :class:`~finchshed.storage.disk.Disk` on a folder of the file system."""

import errno
import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from finchshed.common.errors import DiskFullError, FolderLockedError, StorageError

LOCK_NAME = "LOCK"

_DISK_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


@contextmanager
def _translate_os_errors(action: str, name: str) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        text = f"cannot {action} {name}: {error.strerror}"
        if error.errno in _DISK_FULL_ERRNOS:
            raise DiskFullError(text) from error
        raise StorageError(text) from error


class DataFolder:
    """A folder that stays exclusively locked until :meth:`close`.

    All calls block; programs with an event loop should sync in a separate thread.

    Parameters
    ----------
    path
        The folder; created if missing.

    Raises
    ------
    FolderLockedError
        Another process has locked the folder.
    StorageError
        The folder cannot be created or opened.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._handles: dict[str, int] = {}
        with _translate_os_errors("open the folder", str(path)):
            path.mkdir(parents=True, exist_ok=True)
            self._folder_handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._lock_handle = self._lock()

    @property
    def path(self) -> Path:
        """Path of the folder."""
        return self._path

    def close(self) -> None:
        """Close all files and release the lock."""
        for handle in self._handles.values():
            os.close(handle)
        self._handles.clear()
        os.close(self._lock_handle)
        os.close(self._folder_handle)

    def names(self) -> list[str]:
        """Return the sorted file names, without the lock file."""
        with _translate_os_errors("list", str(self._path)):
            entries = sorted(entry.name for entry in self._path.iterdir() if entry.is_file())
        return [name for name in entries if name != LOCK_NAME]

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        with _translate_os_errors("read", name):
            return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to a file, creating it if missing."""
        with _translate_os_errors("write", name):
            handle = self._handle(name)
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(handle, rest) :]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""
        with _translate_os_errors("truncate", name):
            os.ftruncate(self._handle(name), size)

    def sync(self, name: str) -> None:
        """Flush the content of a file to stable storage."""
        with _translate_os_errors("sync", name):
            os.fsync(self._handle(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file named ``new``."""
        self._close_handle(old)
        self._close_handle(new)
        with _translate_os_errors("rename", old):
            (self._path / old).rename(self._path / new)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        self._close_handle(name)
        with _translate_os_errors("remove", name):
            (self._path / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Flush the directory entries to stable storage."""
        with _translate_os_errors("sync the folder", str(self._path)):
            os.fsync(self._folder_handle)

    def _handle(self, name: str) -> int:
        handle = self._handles.get(name)
        if handle is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            handle = os.open(self._path / name, flags, 0o640)
            self._handles[name] = handle
        return handle

    def _close_handle(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _lock(self) -> int:
        with _translate_os_errors("open", LOCK_NAME):
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            handle = os.open(self._path / LOCK_NAME, flags, 0o640)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(handle)
            os.close(self._folder_handle)
            raise FolderLockedError(f"another process uses {self._path}") from error
        return handle
