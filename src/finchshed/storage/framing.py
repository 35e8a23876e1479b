"""Checksummed JSON lines, and telling a torn tail from damage.

Each line is one JSON object: the size and checksum of a record, and the record itself. JSON never
holds a raw line feed or NUL, so what a crash leaves behind looks different from what a failing
disk leaves behind:

- A crash in the middle of a write leaves a line that ends early, or blocks of NUL bytes at the
  end of the file where the size was stored and the data was not. No valid line follows. This is
  a *torn tail*: it was never synced, so nobody was told it is durable, and it may be cut.
- Anything else that fails its checksum was whole once: *damage*. Synced data is lost, and the
  reader must not go on as if it had never been written. (The distinction is that of
  "Protocol-Aware Recovery for Consensus-Based Storage", FAST '18.)
"""

import enum
import re

import msgspec
import xxhash

from finchshed.common.errors import CorruptRecordError

_HEADER = b'{"size":"%08x","checksum":"%s","record":'
_TRAILER = b"}\n"
_HEADER_PATTERN = re.compile(rb'\{"size":"([0-9a-f]{8})","checksum":"([0-9a-f]{16})","record":')
_HEADER_SIZE = len(_HEADER % (0, b"0" * 16))
_LINE_FEED = b"\n"
_UNWRITTEN_BLOCK = b"\0" * 16


class Tail(enum.Enum):
    """What the end of a file of records looks like."""

    WHOLE = "whole"
    TORN = "torn"
    DAMAGED = "damaged"


class Scan(msgspec.Struct, frozen=True):
    """The records found in a file.

    Attributes
    ----------
    records
        The record of each valid line, undecoded, up to the first invalid one.
    good_size
        Bytes up to the first invalid line.
    tail
        What follows them.
    """

    records: list[bytes]
    good_size: int
    tail: Tail


def frame(record: bytes) -> bytes:
    """Return the line that holds ``record``, which must be JSON."""
    checksum = xxhash.xxh3_64_hexdigest(record).encode()
    return b"".join((_HEADER % (len(record), checksum), record, _TRAILER))


def scan(data: bytes) -> Scan:
    """Read lines up to the first invalid one and judge what follows."""
    records: list[bytes] = []
    position = 0
    while position < len(data):
        end = data.find(_LINE_FEED, position) + 1
        record = _record_of(data[position:end]) if end else None
        if record is None:
            return Scan(records, position, _judge(data[position:]))
        records.append(record)
        position = end
    return Scan(records, position, Tail.WHOLE)


def read_whole(data: bytes, name: str) -> list[bytes]:
    """Return the records of a file that was replaced as a whole and so can't be torn.

    Raises
    ------
    CorruptRecordError
        Any line is invalid.
    """
    found = scan(data)
    if found.tail is not Tail.WHOLE or not found.records:
        raise CorruptRecordError(f"{name} is damaged at byte {found.good_size}")
    return found.records


def _record_of(line: bytes) -> bytes | None:
    header = _HEADER_PATTERN.match(line)
    if header is None or not line.endswith(_TRAILER):
        return None
    record = line[_HEADER_SIZE : -len(_TRAILER)]
    if len(record) != int(header[1], 16):
        return None
    if xxhash.xxh3_64_hexdigest(record).encode() != header[2]:
        return None
    return record


def _judge(rest: bytes) -> Tail:
    if _holds_valid_line(rest):
        return Tail.DAMAGED
    if _UNWRITTEN_BLOCK in rest:
        return Tail.TORN
    if _LINE_FEED in rest:
        return Tail.DAMAGED
    header = _HEADER_PATTERN.match(rest)
    if header is None:
        return Tail.TORN if len(rest) < _HEADER_SIZE else Tail.DAMAGED
    expected = _HEADER_SIZE + int(header[1], 16) + len(_TRAILER)
    return Tail.TORN if len(rest) < expected else Tail.DAMAGED


def _holds_valid_line(rest: bytes) -> bool:
    position = rest.find(_LINE_FEED) + 1
    while position:
        end = rest.find(_LINE_FEED, position) + 1
        if end and _record_of(rest[position:end]) is not None:
            return True
        position = end
    return False
