"""The append-only journal of a control node.

One file is current at any time. Compaction writes a whole new file under the next number and
renames it into place, so the current file is always the one with the highest number.

Owns the current journal file. Relies on :mod:`finchshed.storage.framing` for telling a torn
end from damage.
"""

import msgspec

from finchshed.common.errors import CorruptRecordError, DiskFullError
from finchshed.storage.disk import Disk, replace_file
from finchshed.storage.framing import Tail, frame, scan
from finchshed.storage.records import JournalRecord

_PREFIX = "journal-"
_SUFFIX = ".jsonl"

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[JournalRecord] = msgspec.json.Decoder(JournalRecord)


class OpenedJournal(msgspec.Struct, frozen=True):
    """A journal found on the disk: its records and the size of the torn end that was cut."""

    journal: "Journal"
    records: list[JournalRecord]
    torn_bytes: int


class Journal:
    """Writes records so that they are durable once a call returns."""

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
        """Write ``records`` with one sync; they are durable on return.

        Raises
        ------
        DiskFullError
            There was no room. Nothing of ``records`` is left in the file.
        StorageError
            The disk failed. What is on the disk is known only after a restart.
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
        """Start a new file that holds ``records`` only; durable on return.

        Raises
        ------
        DiskFullError
            There was no room; the current file is unharmed and stays current.
        """
        data = encode_records(records)
        replace_file(self._disk, journal_name(self._number + 1), data)
        self._disk.remove(self.name)
        self._number += 1
        self._size = len(data)


def journal_name(number: int) -> str:
    """Return the name of the journal file of this number."""
    return f"{_PREFIX}{number:016d}{_SUFFIX}"


def encode_records(records: list[JournalRecord]) -> bytes:
    """Return the lines that hold ``records``."""
    return b"".join(frame(_encoder.encode(record)) for record in records)


def create_journal(disk: Disk, records: list[JournalRecord]) -> Journal:
    """Make the first journal of a disk."""
    data = encode_records(records)
    replace_file(disk, journal_name(1), data)
    return Journal(disk, 1, len(data))


def open_journal(disk: Disk) -> OpenedJournal | None:
    """Open the current journal, or return None where there is none.

    A torn tail is cut. What a crashed process wrote and did not sync may be read back from memory
    of the operating system, so the file is synced before its records count as durable.

    Raises
    ------
    CorruptRecordError
        A record that had been synced is damaged.
    """
    numbers = [_number_of(name) for name in disk.names() if _is_journal_name(name)]
    if not numbers:
        return None
    number = max(numbers)
    name = journal_name(number)
    data = disk.read(name)
    found = scan(data)
    if found.tail is Tail.DAMAGED or not found.records:
        raise CorruptRecordError(f"{name} is damaged at byte {found.good_size}")
    if found.tail is Tail.TORN:
        disk.truncate(name, found.good_size)
    disk.sync(name)
    disk.sync_folder()
    for older in numbers:
        if older != number:
            disk.remove(journal_name(older))
    records = [_decoder.decode(record) for record in found.records]
    journal = Journal(disk, number, found.good_size)
    return OpenedJournal(journal, records, len(data) - found.good_size)


def _is_journal_name(name: str) -> bool:
    return name.startswith(_PREFIX) and name.endswith(_SUFFIX)


def _number_of(name: str) -> int:
    return int(name[len(_PREFIX) : -len(_SUFFIX)])
