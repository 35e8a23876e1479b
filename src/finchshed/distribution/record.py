"""File in a daemon's data folder that stores the follower's record across restarts.

Records are replaced atomically: the new one is written to a temporary file, synced and renamed over
the old one, and the folder is synced. After a crash the folder holds either record intact.
"""

import os
from pathlib import Path

import msgspec
import xxhash

from finchshed.common.errors import CorruptRecordError, StorageError
from finchshed.distribution.effects import FollowerRecord

FILE_NAME = "revision.json"
TEMPORARY_SUFFIX = ".new"

_decoder = msgspec.json.Decoder(FollowerRecord)


class RecordFile:
    """Reads and atomically replaces the record.

    Parameters
    ----------
    folder
        The daemon's data folder, created by :meth:`read` if it is missing.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._path = folder / FILE_NAME
        self._temporary = folder / (FILE_NAME + TEMPORARY_SUFFIX)

    def read(self) -> FollowerRecord | None:
        """Return the record, or None if the folder contains none.

        Raises
        ------
        CorruptRecordError
            If the record fails its checksum or is malformed.
        StorageError
            If the folder can't be read or created.
        """
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            content = self._path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise StorageError(f"can't read {self._path}: {error}") from error
        checksum, _, body = content.partition(b"\n")
        if checksum.decode("ascii", "replace") != xxhash.xxh3_64_hexdigest(body):
            raise CorruptRecordError(f"{self._path} fails its checksum")
        try:
            return _decoder.decode(body)
        except msgspec.DecodeError as error:
            raise CorruptRecordError(f"{self._path} is malformed: {error}") from error

    def write(self, record: FollowerRecord) -> None:
        """Replace the record and sync it. Blocks, so don't call it on the event loop.

        Raises
        ------
        StorageError
            If the record can't be written, for example because the disk is full.
        """
        body = msgspec.json.encode(record)
        content = xxhash.xxh3_64_hexdigest(body).encode("ascii") + b"\n" + body
        try:
            with self._temporary.open("wb") as file:
                file.write(content)
                file.flush()
                os.fsync(file.fileno())
            self._temporary.replace(self._path)
            self._sync_folder()
        except OSError as error:
            raise StorageError(f"can't write {self._path}: {error}") from error

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
