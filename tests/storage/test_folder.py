"""DataFolder persists state and is locked against a second process."""

import random
from pathlib import Path

import pytest

from finchshed.common.errors import FolderLockedError, StorageError
from finchshed.storage.folder import DataFolder
from finchshed.storage.log_store import open_store
from finchshed.storage.records import Entry, Snapshot, Vote, Write


def test_state_survives_reopening(tmp_path: Path) -> None:
    folder = DataFolder(tmp_path / "data")
    store = open_store(folder, random.Random(1)).store
    store.write([Write(vote=Vote(2, "b"), entries=(Entry(1, 1, data=b"one"), Entry(2, 2)))])
    snapshot = Snapshot(1, 1, b"members", b"state")
    store.write([Write(vote=Vote(2, "b"), snapshot=snapshot, entries=(Entry(2, 2),))])
    folder.close()
    again = DataFolder(tmp_path / "data")
    stored = open_store(again, random.Random(2)).stored
    again.close()
    assert stored.snapshot == snapshot
    assert stored.entries == [Entry(2, 2)]
    assert stored.vote == Vote(2, "b")


def test_folder_is_locked_until_closed(tmp_path: Path) -> None:
    folder = DataFolder(tmp_path)
    with pytest.raises(FolderLockedError):
        DataFolder(tmp_path)
    folder.close()
    DataFolder(tmp_path).close()


def test_reading_a_missing_file_raises_storage_error(tmp_path: Path) -> None:
    folder = DataFolder(tmp_path)
    with pytest.raises(StorageError):
        folder.read("missing")
    folder.close()
