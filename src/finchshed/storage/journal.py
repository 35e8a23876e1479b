"""Append-only journal of a control node.

The current journal file is the one with the highest number. Compaction writes a new file with the
next number and renames it into place.
"""

import msgspec

from finchshed.common.errors import CorruptRecordError, DiskFullError
from finchshed.storage.disk import Disk, replace_file
from finchshed.storage.framing import TailState, frame, scan
from finchshed.storage.records import JournalRecord

_PREFIX = "journal-"
_SUFFIX = ".jsonl"

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[JournalRecord] = msgspec.json.Decoder(JournalRecord)


class OpenedJournal(msgspec.Struct, frozen=True):
    """An existing journal, its records and the size of the truncated torn tail."""

    journal: "Journal"
    records: list[JournalRecord]
    torn_bytes: int


class Journal:
    """Appends records durably to the current journal file."""

    def __init__(self, disk: Disk, number: int, size: int) -> None:
        self._disk = disk
        self._number = number
        self._size = size

    @property
    def name(self) -> str:
        """Name of the current file."""
        return journal_name(self._number)

    @property
    def size_bytes(self) -> int:
        """Size of the current file."""
        return self._size

    def append(self, records: list[JournalRecord]) -> None:
        """Append ``records`` with one sync; they are durable on return.

        Raises
        ------
        DiskFullError
            The disk is full; no part of ``records`` remains in the file.
        StorageError
            The disk failed; its content is unknown until a restart.
        """
        data = encode_records(records)
        try:
            self._disk.append(self.name, data)
            self._disk.sync(self.name)
        except DiskFullError:
            self._disk.truncate(self.name, self._size)
            raise
        self._size += len(data)

    def replace(self, records: list[JournalRecord]) -> None:
        """Start a new journal file that contains only ``records``; durable on return.

        Raises
        ------
        DiskFullError
            The disk is full; the current file is unchanged and stays current.
        """
        data = encode_records(records)
        replace_file(self._disk, journal_name(self._number + 1), [data])
        self._disk.remove(self.name)
        self._number += 1
        self._size = len(data)


def journal_name(number: int) -> str:
    """Return the name of the journal file with this number."""
    return f"{_PREFIX}{number:016d}{_SUFFIX}"


def encode_records(records: list[JournalRecord]) -> bytes:
    """Return ``records`` as framed lines."""
    return b"".join(frame(_encoder.encode(record)) for record in records)


def create_journal(disk: Disk, records: list[JournalRecord]) -> Journal:
    """Create the first journal file on a disk."""
    data = encode_records(records)
    replace_file(disk, journal_name(1), [data])
    return Journal(disk, 1, len(data))


def open_journal(disk: Disk) -> OpenedJournal | None:
    """Open the current journal, or return None if there is none.

    A torn tail is truncated. The file is synced before its records count as durable, because
    unsynced writes of a crashed process may be read back from the page cache.

    Raises
    ------
    CorruptRecordError
        A synced record is damaged.
    """
    numbers = [_number_of(name) for name in disk.names() if _is_journal_name(name)]
    if not numbers:
        return None
    number = max(numbers)
    name = journal_name(number)
    data = disk.read(name)
    result = scan(data)
    if result.tail is TailState.DAMAGED or not result.records:
        raise CorruptRecordError(f"{name} is damaged at byte {result.valid_size}")
    if result.tail is TailState.TORN:
        disk.truncate(name, result.valid_size)
    disk.sync(name)
    disk.sync_folder()
    for older in numbers:
        if older != number:
            disk.remove(journal_name(older))
    records = [_decoder.decode(record) for record in result.records]
    journal = Journal(disk, number, result.valid_size)
    return OpenedJournal(journal, records, len(data) - result.valid_size)


def _is_journal_name(name: str) -> bool:
    return name.startswith(_PREFIX) and name.endswith(_SUFFIX)


def _number_of(name: str) -> int:
    return int(name[len(_PREFIX) : -len(_SUFFIX)])
