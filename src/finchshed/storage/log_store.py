"""Durable state of a control node: vote, log entries, snapshot and disk incarnation.

The journal, the snapshot and the incarnation are files of one
:class:`~finchshed.storage.disk.Disk`.
"""

import enum
import random

import msgspec

from finchshed.common.errors import CorruptRecordError, DiskFullError
from finchshed.storage.disk import Disk, remove_temporary_files
from finchshed.storage.incarnation import (
    INCARNATION_NAME,
    new_incarnation,
    read_incarnation,
    write_incarnation,
)
from finchshed.storage.journal import Journal, create_journal, open_journal
from finchshed.storage.records import (
    Entry,
    JournalHeader,
    JournalRecord,
    Snapshot,
    StoredState,
    Truncate,
    Vote,
    Write,
)
from finchshed.storage.snapshots import (
    is_snapshot_name,
    load_snapshot,
    save_snapshot,
    snapshot_name,
)

DAMAGED_PREFIX = "damaged-"

_NO_SNAPSHOT = JournalHeader(snapshot_index=0, snapshot_term=0)


class WriteOutcome(enum.Enum):
    """Outcome of a write; a failed disk raises StorageError instead."""

    DURABLE = "durable"
    DISK_FULL = "disk_full"


class OpenedStore(msgspec.Struct, frozen=True):
    """An opened store and the state found in it."""

    store: "LogStore"
    stored: StoredState


class LogStore:
    """Writes durable state. Use :func:`open_store` to create one."""

    def __init__(self, disk: Disk, journal: Journal) -> None:
        self._disk = disk
        self._journal = journal
        self._writes = 0
        self._batches = 0

    @property
    def journal_bytes(self) -> int:
        """Size of the journal in bytes."""
        return self._journal.size_bytes

    @property
    def batches(self) -> int:
        """Number of successful calls of :meth:`write`."""
        return self._batches

    @property
    def writes(self) -> int:
        """Number of writes made durable."""
        return self._writes

    def write(self, writes: list[Write]) -> WriteOutcome:
        """Make ``writes`` durable, with a single sync unless one contains a snapshot.

        Blocks until they are durable. After ``DISK_FULL`` the same list can be retried: repeating
        a durable write is harmless.

        Raises
        ------
        StorageError
            The disk failed; the process must stop using it.
        """
        records: list[JournalRecord] = []
        try:
            for write in writes:
                if write.snapshot is None:
                    records.extend(_records_of(write))
                else:
                    self._replace_all(write, write.snapshot)
                    records.clear()
            if records:
                self._journal.append(records)
        except DiskFullError:
            return WriteOutcome.DISK_FULL
        self._batches += 1
        self._writes += len(writes)
        return WriteOutcome.DURABLE

    def _replace_all(self, write: Write, snapshot: Snapshot) -> None:
        """Replace all stored state with a snapshot and the entries after it."""
        save_snapshot(self._disk, snapshot)
        header = JournalHeader(snapshot.index, snapshot.term)
        self._journal.replace([header, *_records_of(write)])
        _remove_other_snapshots(self._disk, snapshot_name(snapshot.index, snapshot.term))


def open_store(disk: Disk, rng: random.Random) -> OpenedStore:
    """Open the durable state on a disk; an empty disk gets a new incarnation.

    Parameters
    ----------
    disk
        Disk that contains the state.
    rng
        Source of randomness for a new incarnation; must differ between starts.

    Raises
    ------
    CorruptRecordError
        Synced data is damaged or missing and must not be used; see
        :func:`set_aside_damaged_files`.
    """
    remove_temporary_files(disk)
    incarnation = read_incarnation(disk)
    opened = open_journal(disk)
    if opened is None:
        return _create_store(disk, incarnation, rng)
    if incarnation is None:
        raise CorruptRecordError(f"{INCARNATION_NAME} is missing but {opened.journal.name} exists")
    header, *records = opened.records
    if not isinstance(header, JournalHeader):
        raise CorruptRecordError(f"{opened.journal.name} does not start with a journal header")
    snapshot = None
    if header.snapshot_index:
        snapshot = load_snapshot(disk, header.snapshot_index, header.snapshot_term)
    _remove_other_snapshots(disk, snapshot_name(header.snapshot_index, header.snapshot_term))
    vote, entries = _replay(header, records)
    stored = StoredState(incarnation, vote, snapshot, entries, opened.torn_bytes)
    return OpenedStore(LogStore(disk, opened.journal), stored)


def set_aside_damaged_files(disk: Disk) -> None:
    """Rename all files of a damaged disk with :data:`DAMAGED_PREFIX`, so that they are not opened.

    The next start finds no state, creates a new incarnation and joins the group as a learner. The
    renamed files, which replace earlier ones, remain for manual recovery after the loss of a
    majority. The incarnation is renamed first, so that a crash cannot leave an old identity with
    only part of its data.
    """
    names = [name for name in disk.names() if not name.startswith(DAMAGED_PREFIX)]
    if INCARNATION_NAME in names:
        disk.rename(INCARNATION_NAME, DAMAGED_PREFIX + INCARNATION_NAME)
        disk.sync_folder()
        names.remove(INCARNATION_NAME)
    for name in names:
        disk.rename(name, DAMAGED_PREFIX + name)
    disk.sync_folder()


def _create_store(disk: Disk, incarnation: str | None, rng: random.Random) -> OpenedStore:
    if incarnation is not None:
        # The journal was lost or its creation was interrupted. A new incarnation is safe in both
        # cases, as it has no votes or acknowledgements.
        set_aside_damaged_files(disk)
    created = new_incarnation(rng)
    write_incarnation(disk, created)
    journal = create_journal(disk, [_NO_SNAPSHOT])
    return OpenedStore(LogStore(disk, journal), StoredState(created, Vote(), None, []))


def _records_of(write: Write) -> list[JournalRecord]:
    records: list[JournalRecord] = []
    if write.truncate_from is not None:
        records.append(Truncate(write.truncate_from))
    records.extend(write.entries)
    if write.vote is not None:
        records.append(write.vote)
    return records


def _replay(header: JournalHeader, records: list[JournalRecord]) -> tuple[Vote, list[Entry]]:
    first_index = header.snapshot_index + 1
    vote = Vote()
    entries: list[Entry] = []
    for record in records:
        match record:
            case Vote():
                vote = record
            case Truncate():
                del entries[max(0, record.from_index - first_index) :]
            case Entry():
                _append_replayed(entries, record, first_index)
            case JournalHeader():
                raise CorruptRecordError(
                    f"journal contains a second header, for snapshot index {record.snapshot_index}"
                )
    return vote, entries


def _append_replayed(entries: list[Entry], entry: Entry, first_index: int) -> None:
    """Append an entry, ignoring an identical one from a repeated write."""
    position = entry.index - first_index
    if position < len(entries) and position >= 0 and entries[position] == entry:
        return
    if position != len(entries):
        raise CorruptRecordError(
            f"journal entry {entry.index} found, expected index {first_index + len(entries)}"
        )
    entries.append(entry)


def _remove_other_snapshots(disk: Disk, kept: str) -> None:
    for name in disk.names():
        if is_snapshot_name(name) and name != kept:
            disk.remove(name)
