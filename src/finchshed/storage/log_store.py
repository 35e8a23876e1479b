"""All durable state of one control node: vote, log entries, snapshot, disk incarnation.

Owns what a control node has promised: it is durable before a write returns. Relies on the journal,
the snapshots and the incarnation, each a file of one :class:`~finchshed.storage.disk.Disk`.
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
    Head,
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

_NO_SNAPSHOT = Head(snapshot_index=0, snapshot_term=0)


class WriteOutcome(enum.Enum):
    """How a write ended. A failing disk raises instead."""

    DURABLE = "durable"
    DISK_FULL = "disk_full"


class OpenedStore(msgspec.Struct, frozen=True):
    """A store and what was found in it."""

    store: "LogStore"
    stored: StoredState


class LogStore:
    """Writes durable state; made by :func:`open_store`."""

    def __init__(self, disk: Disk, journal: Journal) -> None:
        self._disk = disk
        self._journal = journal
        self._writes = 0
        self._batches = 0

    @property
    def journal_bytes(self) -> int:
        """Size of the journal."""
        return self._journal.size_bytes

    @property
    def batches(self) -> int:
        """Syncs so far; fewer than writes where several were grouped."""
        return self._batches

    @property
    def writes(self) -> int:
        """Writes so far."""
        return self._writes

    def write(self, writes: list[Write]) -> WriteOutcome:
        """Make ``writes`` durable, all under one sync where none replaces a snapshot.

        The call blocks until the disk has them. After ``DISK_FULL`` the same list may be tried
        again: a write that was made durable before the disk got full is harmless when repeated.

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
                    self._replace(write, write.snapshot)
                    records.clear()
            if records:
                self._journal.append(records)
        except DiskFullError:
            return WriteOutcome.DISK_FULL
        self._batches += 1
        self._writes += len(writes)
        return WriteOutcome.DURABLE

    def _replace(self, write: Write, snapshot: Snapshot) -> None:
        """Store a snapshot and what comes after it; earlier writes are contained in it."""
        save_snapshot(self._disk, snapshot)
        head = Head(snapshot.index, snapshot.term)
        self._journal.replace([head, *_records_of(write)])
        _remove_other_snapshots(self._disk, snapshot_name(snapshot.index, snapshot.term))


def open_store(disk: Disk, rng: random.Random) -> OpenedStore:
    """Open the durable state on a disk; an empty disk gets a new incarnation.

    Parameters
    ----------
    disk
        Where the state is.
    rng
        Source of a new incarnation; must differ between starts.

    Raises
    ------
    CorruptRecordError
        Synced data is damaged or missing. The node must not go on with it: see
        :func:`set_aside_damaged_files`.
    """
    remove_temporary_files(disk)
    incarnation = read_incarnation(disk)
    opened = open_journal(disk)
    if opened is None:
        return _create(disk, incarnation, rng)
    if incarnation is None:
        raise CorruptRecordError("the incarnation file is missing beside a journal")
    head, *records = opened.records
    if not isinstance(head, Head):
        raise CorruptRecordError("the journal does not begin with its head")
    snapshot = None
    if head.snapshot_index:
        snapshot = load_snapshot(disk, head.snapshot_index, head.snapshot_term)
    _remove_other_snapshots(disk, snapshot_name(head.snapshot_index, head.snapshot_term))
    vote, entries = _replay(head, records)
    stored = StoredState(incarnation, vote, snapshot, entries, opened.torn_bytes)
    return OpenedStore(LogStore(disk, opened.journal), stored)


def set_aside_damaged_files(disk: Disk) -> None:
    """Set everything aside on a disk that was found damaged, under names that are never opened.

    The next start finds no state, takes a new incarnation and joins its group as a learner. What
    is set aside stays for an operator who lost a majority and needs whatever is left; an earlier
    set is replaced. The incarnation goes first, so that a crash half-way never leaves an old
    identity with a part of its data.
    """
    names = [name for name in disk.names() if not name.startswith(DAMAGED_PREFIX)]
    if INCARNATION_NAME in names:
        disk.rename(INCARNATION_NAME, DAMAGED_PREFIX + INCARNATION_NAME)
        disk.sync_folder()
        names.remove(INCARNATION_NAME)
    for name in names:
        disk.rename(name, DAMAGED_PREFIX + name)
    disk.sync_folder()


def _create(disk: Disk, incarnation: str | None, rng: random.Random) -> OpenedStore:
    if incarnation is not None:
        # An identity without its journal: the journal was lost, or its making was cut short.
        # Either way a new identity is safe, since it has promised nothing.
        set_aside_damaged_files(disk)
    fresh = new_incarnation(rng)
    write_incarnation(disk, fresh)
    journal = create_journal(disk, [_NO_SNAPSHOT])
    return OpenedStore(LogStore(disk, journal), StoredState(fresh, Vote(), None, []))


def _records_of(write: Write) -> list[JournalRecord]:
    records: list[JournalRecord] = []
    if write.truncate_from is not None:
        records.append(Truncate(write.truncate_from))
    records.extend(write.entries)
    if write.vote is not None:
        records.append(write.vote)
    return records


def _replay(head: Head, records: list[JournalRecord]) -> tuple[Vote, list[Entry]]:
    first_index = head.snapshot_index + 1
    vote = Vote()
    entries: list[Entry] = []
    for record in records:
        match record:
            case Vote():
                vote = record
            case Truncate():
                del entries[max(0, record.from_index - first_index) :]
            case Entry():
                _place(entries, record, first_index)
            case Head():
                raise CorruptRecordError("a second head in the journal")
    return vote, entries


def _place(entries: list[Entry], entry: Entry, first_index: int) -> None:
    """Add an entry; one that stands there already is a repeated write."""
    position = entry.index - first_index
    if position < len(entries) and position >= 0 and entries[position] == entry:
        return
    if position != len(entries):
        raise CorruptRecordError(f"entry {entry.index} follows {first_index + len(entries) - 1}")
    entries.append(entry)


def _remove_other_snapshots(disk: Disk, kept: str) -> None:
    for name in disk.names():
        if is_snapshot_name(name) and name != kept:
            disk.remove(name)
