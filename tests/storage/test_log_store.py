"""Durable state survives crashes, and corruption is never mistaken for a torn write."""

import random

import pytest

from finchshed.common.errors import CorruptRecordError
from finchshed.storage.journal import journal_name
from finchshed.storage.log_store import (
    LogStore,
    WriteOutcome,
    open_store,
    set_aside_damaged_files,
)
from finchshed.storage.records import Entry, Snapshot, StoredState, Vote, Write
from finchshed.storage.simulated_disk import SimulatedDisk


def entries(first: int, last: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(Entry(index, term, data=b"entry %d" % index) for index in range(first, last + 1))


def open_new_store(seed: int = 1) -> tuple[SimulatedDisk, LogStore]:
    disk = SimulatedDisk(random.Random(seed))
    return disk, open_store(disk, random.Random(seed)).store


def reopen(disk: SimulatedDisk) -> StoredState:
    return open_store(disk, random.Random(99)).stored


def test_reopening_returns_written_state() -> None:
    disk, store = open_new_store()
    incarnation = reopen(disk).incarnation
    store.write([Write(vote=Vote(3, "a"), entries=entries(1, 5)), Write(entries=entries(6, 7))])
    store.write([Write(truncate_from=5, entries=entries(5, 6, term=4))])
    stored = reopen(disk)
    assert stored.vote == Vote(3, "a")
    assert stored.entries == [*entries(1, 4), *entries(5, 6, term=4)]
    assert stored.incarnation == incarnation


def test_snapshot_replaces_earlier_entries_and_keeps_later_ones() -> None:
    disk, store = open_new_store()
    store.write([Write(entries=entries(1, 10))])
    snapshot = Snapshot(8, 1, b"members", b"x" * 600_000)
    store.write([Write(vote=Vote(2), entries=entries(9, 10), snapshot=snapshot)])
    store.write([Write(entries=entries(11, 11, term=2))])
    stored = reopen(disk)
    assert stored.snapshot == snapshot
    assert stored.entries == [*entries(9, 10), *entries(11, 11, term=2)]
    assert stored.vote == Vote(2)
    assert len(disk.names()) == 3


@pytest.mark.parametrize("seed", range(50))
def test_power_loss_keeps_durable_writes(seed: int) -> None:
    rng = random.Random(seed)
    disk, store = open_new_store(seed)
    durable: list[Entry] = []
    snapshot = None
    for _ in range(rng.randint(1, 12)):
        first = durable[-1].index + 1 if durable else (snapshot.index + 1 if snapshot else 1)
        batch = entries(first, first + rng.randint(0, 5))
        store.write([Write(entries=batch)])
        durable.extend(batch)
        if rng.random() < 0.3:
            cut = rng.randrange(len(durable))
            snapshot = Snapshot(durable[cut].index, 1, b"", rng.randbytes(100))
            durable = durable[cut + 1 :]
            store.write([Write(vote=Vote(1), entries=tuple(durable), snapshot=snapshot)])
    journal = next(name for name in disk.names() if name.startswith("journal"))
    disk.append(journal, b'{"size":"000000ff","checksum":"0123')
    disk.lose_power()
    stored = reopen(disk)
    assert stored.entries == durable
    assert stored.snapshot == snapshot


@pytest.mark.parametrize("seed", range(30))
def test_power_loss_during_a_write_keeps_a_prefix(seed: int) -> None:
    disk, store = open_new_store(seed)
    store.write([Write(entries=entries(1, 3))])
    synced = disk.read(journal_name(1))
    store.write([Write(entries=entries(4, 9))])
    unsynced = disk.read(journal_name(1))[len(synced) :]
    torn = SimulatedDisk(random.Random(seed))
    for name in disk.names():
        torn.append(name, synced if name.startswith("journal") else disk.read(name))
        torn.sync(name)
    torn.sync_folder()
    torn.append(journal_name(1), unsynced)
    torn.lose_power()
    found = reopen(torn).entries
    assert found == list(entries(1, max(3, len(found))))


def test_every_flipped_bit_is_detected() -> None:
    disk, store = open_new_store()
    store.write([Write(vote=Vote(1, "a"))])
    store.write([Write(entries=entries(1, 3))])
    for name in disk.names():
        for bit in range(len(disk.read(name)) * 8):
            disk.flip_bit_at(name, bit)
            with pytest.raises(CorruptRecordError):
                reopen(disk)
            disk.flip_bit_at(name, bit)
    assert reopen(disk).entries == list(entries(1, 3))


def test_every_truncation_of_the_last_write_is_torn() -> None:
    disk, store = open_new_store()
    store.write([Write(entries=entries(1, 3))])
    synced = len(disk.read(journal_name(1)))
    store.write([Write(entries=entries(4, 4))])
    whole = disk.read(journal_name(1))
    for size in range(synced, len(whole)):
        disk.truncate(journal_name(1), 0)
        disk.append(journal_name(1), whole[:size])
        stored = reopen(disk)
        assert stored.entries == list(entries(1, 3))
        assert stored.torn_bytes == size - synced


def test_damaged_snapshot_is_detected() -> None:
    disk, store = open_new_store()
    store.write([Write(entries=entries(1, 2))])
    store.write([Write(vote=Vote(1), snapshot=Snapshot(2, 1, b"", b"state"))])
    name = next(name for name in disk.names() if name.startswith("snapshot"))
    disk.flip_bit_at(name, 300)
    with pytest.raises(CorruptRecordError):
        reopen(disk)


def test_damaged_disk_gets_a_new_incarnation_and_keeps_its_files() -> None:
    disk, store = open_new_store()
    store.write([Write(entries=entries(1, 2))])
    before = reopen(disk).incarnation
    set_aside_damaged_files(disk)
    stored = reopen(disk)
    assert stored.incarnation != before
    assert stored.entries == []
    assert "damaged-" + journal_name(1) in disk.names()


def test_lost_journal_changes_the_incarnation() -> None:
    disk, store = open_new_store()
    store.write([Write(entries=entries(1, 2))])
    before = reopen(disk).incarnation
    disk.remove(journal_name(1))
    assert reopen(disk).incarnation != before


def test_write_can_be_retried_after_a_full_disk() -> None:
    disk, store = open_new_store()
    store.write([Write(entries=entries(1, 3))])
    disk.capacity_bytes = disk.used_bytes + 50
    batch = [Write(entries=entries(4, 9))]
    assert store.write(batch) is WriteOutcome.DISK_FULL
    assert reopen(disk).entries == list(entries(1, 3))
    snapshot = Write(vote=Vote(), snapshot=Snapshot(2, 1, b"", b"x" * 100), entries=entries(3, 3))
    assert store.write([snapshot]) is WriteOutcome.DISK_FULL
    assert reopen(disk).entries == list(entries(1, 3))
    disk.capacity_bytes = 1 << 30
    assert store.write([*batch, snapshot, *batch]) is WriteOutcome.DURABLE
    assert reopen(disk).entries == [*entries(3, 3), *entries(4, 9)]


def test_batched_writes_share_one_sync() -> None:
    disk, store = open_new_store()
    before = disk.syncs
    store.write([Write(entries=entries(index, index)) for index in range(1, 101)])
    assert disk.syncs == before + 1
