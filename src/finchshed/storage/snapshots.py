"""Snapshot files: a header line followed by lines with chunks of the data."""

from collections.abc import Iterator

import msgspec

from finchshed.common.errors import CorruptRecordError
from finchshed.storage.disk import Disk, replace_file
from finchshed.storage.framing import frame, read_complete
from finchshed.storage.records import Snapshot

PART_BYTES = 256 << 10

_PREFIX = "snapshot-"
_SUFFIX = ".jsonl"


class SnapshotHeader(msgspec.Struct, frozen=True):
    """First line of a snapshot file; ``size`` is the size of the data in bytes."""

    index: int
    term: int
    membership: bytes
    size: int


def snapshot_name(index: int, term: int) -> str:
    """Return the file name of the snapshot at ``index`` and ``term``."""
    return f"{_PREFIX}{index:016d}-{term:08d}{_SUFFIX}"


def is_snapshot_name(name: str) -> bool:
    """Whether ``name`` is the name of a snapshot file."""
    return name.startswith(_PREFIX) and name.endswith(_SUFFIX)


def encode_snapshot(snapshot: Snapshot) -> Iterator[bytes]:
    """Encode a snapshot as the lines of a file."""
    size = len(snapshot.data)
    header = SnapshotHeader(snapshot.index, snapshot.term, snapshot.membership, size)
    yield frame(msgspec.json.encode(header))
    for start in range(0, size, PART_BYTES):
        part = snapshot.data[start : start + PART_BYTES]
        yield frame(msgspec.json.encode(part))


def decode_snapshot(content: bytes, name: str) -> Snapshot:
    """Decode the content of a snapshot file.

    Raises
    ------
    CorruptRecordError
        A line is damaged or missing.
    """
    first, *rest = read_complete(content, name)
    header = msgspec.json.decode(first, type=SnapshotHeader)
    data = b"".join(msgspec.json.decode(line, type=bytes) for line in rest)
    if len(data) != header.size:
        raise CorruptRecordError(
            f"{name} contains {len(data)} bytes of data, expected {header.size}"
        )
    return Snapshot(header.index, header.term, header.membership, data)


def save_snapshot(disk: Disk, snapshot: Snapshot) -> None:
    """Make a snapshot durable."""
    name = snapshot_name(snapshot.index, snapshot.term)
    replace_file(disk, name, encode_snapshot(snapshot))


def load_snapshot(disk: Disk, index: int, term: int) -> Snapshot:
    """Load the snapshot at ``index`` and ``term``.

    Raises
    ------
    CorruptRecordError
        The file is missing or damaged.
    """
    name = snapshot_name(index, term)
    if name not in disk.names():
        raise CorruptRecordError(f"{name} is missing")
    return decode_snapshot(disk.read(name), name)
