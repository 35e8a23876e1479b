"""Checksummed JSON lines, and the distinction between a torn tail and corruption.

Each line is one JSON object with the size and checksum of a record and the record itself. Encoded
JSON never contains a raw line feed or NUL byte, so an interrupted write can be told from corrupted
data ("Protocol-Aware Recovery for Consensus-Based Storage", FAST '18):

- A crash during a write leaves an incomplete last line, or blocks of NUL bytes at the end of the
  file if its size was stored but its data was not. No valid line follows. This *torn tail* was
  never synced or acknowledged, so it can be truncated.
- Any other line that fails its checksum is *damage*: synced data was lost, and the reader must not
  continue as if it had never been written.
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


class TailState(enum.Enum):
    """State of the data after the last valid line."""

    WHOLE = "whole"
    TORN = "torn"
    DAMAGED = "damaged"


class ScanResult(msgspec.Struct, frozen=True):
    """Result of :func:`scan`.

    Attributes
    ----------
    records
        Encoded records of the valid lines before the first invalid one.
    valid_size
        Number of bytes before the first invalid line.
    tail
        State of the remaining bytes.
    """

    records: list[bytes]
    valid_size: int
    tail: TailState


def frame(record: bytes) -> bytes:
    """Return a line that contains ``record``, which must be encoded JSON."""
    checksum = xxhash.xxh3_64_hexdigest(record).encode()
    return b"".join((_HEADER % (len(record), checksum), record, _TRAILER))


def scan(data: bytes) -> ScanResult:
    """Read lines up to the first invalid one and classify the remaining bytes."""
    records: list[bytes] = []
    position = 0
    while position < len(data):
        end = data.find(_LINE_FEED, position) + 1
        record = _parse_line(data[position:end]) if end else None
        if record is None:
            return ScanResult(records, position, _classify_tail(data[position:]))
        records.append(record)
        position = end
    return ScanResult(records, position, TailState.WHOLE)


def read_complete(data: bytes, name: str) -> list[bytes]:
    """Return the records of a file that was replaced atomically and so cannot be torn.

    Raises
    ------
    CorruptRecordError
        A line is invalid, or there is none.
    """
    result = scan(data)
    if result.tail is not TailState.WHOLE or not result.records:
        raise CorruptRecordError(f"{name} is damaged at byte {result.valid_size}")
    return result.records


def _parse_line(line: bytes) -> bytes | None:
    header = _HEADER_PATTERN.match(line)
    if header is None or not line.endswith(_TRAILER):
        return None
    record = line[_HEADER_SIZE : -len(_TRAILER)]
    if len(record) != int(header[1], 16):
        return None
    if xxhash.xxh3_64_hexdigest(record).encode() != header[2]:
        return None
    return record


def _classify_tail(rest: bytes) -> TailState:
    if _contains_valid_line(rest):
        return TailState.DAMAGED
    if _UNWRITTEN_BLOCK in rest:
        return TailState.TORN
    if _LINE_FEED in rest:
        return TailState.DAMAGED
    header = _HEADER_PATTERN.match(rest)
    if header is None:
        return TailState.TORN if len(rest) < _HEADER_SIZE else TailState.DAMAGED
    expected = _HEADER_SIZE + int(header[1], 16) + len(_TRAILER)
    return TailState.TORN if len(rest) < expected else TailState.DAMAGED


def _contains_valid_line(rest: bytes) -> bool:
    position = rest.find(_LINE_FEED) + 1
    while position:
        end = rest.find(_LINE_FEED, position) + 1
        if end and _parse_line(rest[position:end]) is not None:
            return True
        position = end
    return False
