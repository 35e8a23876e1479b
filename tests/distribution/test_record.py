"""Tests of the follower's record file: atomic replacement, corruption and write errors."""

from pathlib import Path

import pytest

from finchshed.common.errors import CorruptRecordError, StorageError
from finchshed.configuration.resources import Service
from finchshed.distribution.effects import FollowerRecord
from finchshed.distribution.messages import Delta
from finchshed.distribution.record import FILE_NAME, RecordFile

RECORD = FollowerRecord(7, Delta(0, 6, puts=(Service(name="a"),)))


def test_written_record_is_read_back(tmp_path: Path) -> None:
    folder = tmp_path / "data"
    assert RecordFile(folder).read() is None
    RecordFile(folder).write(RECORD)
    assert RecordFile(folder).read() == RECORD


def test_torn_temporary_file_is_ignored(tmp_path: Path) -> None:
    file = RecordFile(tmp_path)
    file.write(RECORD)
    (tmp_path / (FILE_NAME + ".new")).write_bytes(b"half a rec")
    assert RecordFile(tmp_path).read() == RECORD


@pytest.mark.parametrize("position", [0, 20, -1])
def test_flipped_byte_is_detected(tmp_path: Path, position: int) -> None:
    RecordFile(tmp_path).write(RECORD)
    path = tmp_path / FILE_NAME
    content = bytearray(path.read_bytes())
    content[position] ^= 1
    path.write_bytes(content)
    with pytest.raises(CorruptRecordError):
        RecordFile(tmp_path).read()


def test_write_failure_is_reported(tmp_path: Path) -> None:
    file = RecordFile(tmp_path)
    (tmp_path / (FILE_NAME + ".new")).mkdir()
    with pytest.raises(StorageError):
        file.write(RECORD)
