"""In-memory ring buffer of log records, dumped on errors and on request.

Modules log through loguru. Records are kept in the ring; only startup and shutdown messages are
also printed, and records from INFO on go to the log stream if it is enabled. The ring is dumped to
the data folder, or to standard error without one, on an invariant violation, an unexpected error,
SIGUSR1 or an operator's request.
"""

import collections
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from finchshed.observability import log_stream
from finchshed.observability.decisions import StateChanged
from finchshed.observability.redaction import redact, redact_field

if TYPE_CHECKING:
    from loguru import Message

DEFAULT_CAPACITY = 4_096
"""Number of records kept; see docs/design/observability.md."""

MAX_TEXT_CHARACTERS = 2_000
"""Maximum message length; bounds the memory used by the ring."""

MAX_DUMP_FILES = 8
"""Number of dump files kept in a data folder; older ones are deleted."""

STREAM_LEVEL = 20
"""Minimum level (loguru's INFO) of records that also go to the log stream."""

DUMP_FOLDER = "logs"
_DUMP_PREFIX = "ring-"


class LogRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A log record; ``time`` is in Unix seconds."""

    time: float
    level: str
    module: str
    message: str
    fields: dict[str, str | int | float | bool] = {}
    error: str = ""


class DumpHeader(msgspec.Struct, frozen=True, tag="dump"):
    """First line of a dump; ``dropped`` is the number of records overwritten in the ring."""

    program: str
    node: str
    reason: str
    time: float
    records: int
    dropped: int


class Ring:
    """The last ``capacity`` records of one process."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._records: collections.deque[LogRecord] = collections.deque(maxlen=capacity)
        self._total = 0
        self.program = ""
        self.node = ""
        self.data_folder: Path | None = None

    def add(self, record: LogRecord) -> None:
        """Append ``record``; overwrites the oldest one if the ring is full."""
        self._records.append(record)
        self._total += 1

    def records(self) -> tuple[LogRecord, ...]:
        """Return the records, oldest first."""
        return tuple(self._records)

    def encode(self, reason: str) -> bytes:
        """Encode a header and the records as JSON lines."""
        header = DumpHeader(
            program=self.program,
            node=self.node,
            reason=_truncate(reason),
            time=time.time(),
            records=len(self._records),
            dropped=self._total - len(self._records),
        )
        return msgspec.json.Encoder().encode_lines([header, *self._records])

    def dump(self, reason: str) -> Path | None:
        """Dump the ring; return the file, or None if it was written to standard error."""
        data = self.encode(reason)
        if self.data_folder is not None:
            try:
                return self._write_file(self.data_folder / DUMP_FOLDER, data)
            except OSError as error:
                sys.stderr.write(f"cannot write the log ring to {self.data_folder}: {error}\n")
        sys.stderr.write(data.decode("utf-8", "replace"))
        sys.stderr.flush()
        return None

    def _write_file(self, folder: Path, data: bytes) -> Path:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"{_DUMP_PREFIX}{time.time_ns()}.jsonl"
        path.write_bytes(data)
        for old_dump in sorted(folder.glob(f"{_DUMP_PREFIX}*.jsonl"))[:-MAX_DUMP_FILES]:
            old_dump.unlink(missing_ok=True)
        return path


_ring = Ring()


def configure(
    program: str, node: str, data_folder: str | Path | None, capacity: int = DEFAULT_CAPACITY
) -> Ring:
    """Route the log records of this process to a new ring and return it.

    Parameters
    ----------
    program, node
        Written to the header of each dump.
    data_folder
        Dumps are written to its ``logs`` folder; None or empty means standard error.
    capacity
        Number of records kept.
    """
    global _ring  # noqa: PLW0603 - one ring per process
    ring = Ring(capacity)
    ring.program = program
    ring.node = node
    ring.data_folder = Path(data_folder) if data_folder else None
    _ring = ring
    logger.remove()
    logger.add(_sink, level="DEBUG", format="{message}", backtrace=False, diagnose=False)
    return ring


def current() -> Ring:
    """Return the ring of this process."""
    return _ring


def dump(reason: str) -> Path | None:
    """Dump the ring of this process; see :meth:`Ring.dump`."""
    return _ring.dump(reason)


def announce(text: str) -> None:
    """Log a startup or shutdown message and print it to standard error."""
    logger.info(text)
    sys.stderr.write(redact(text) + "\n")
    sys.stderr.flush()


def _truncate(text: str) -> str:
    """Truncate and redact ``text``; truncating first bounds the time of the redaction."""
    return redact(text[:MAX_TEXT_CHARACTERS])[:MAX_TEXT_CHARACTERS]


def _sanitize_field(name: str, value: object) -> object:
    if not isinstance(value, bool | int | float):
        value = str(value)[:MAX_TEXT_CHARACTERS]
    return redact_field(name, value)


def _emit_state(timestamp: float, level: str, module: str | None, text: str) -> None:
    log_stream.emit(
        StateChanged(timestamp, level.lower(), module or "", _truncate(text)), is_failure=True
    )


def _sink(message: "Message") -> None:
    record = message.record
    if record["level"].no >= STREAM_LEVEL:
        _emit_state(
            record["time"].timestamp(), record["level"].name, record["name"], record["message"]
        )
    exception = record["exception"]
    fields = {str(key): _sanitize_field(str(key), value) for key, value in record["extra"].items()}
    _ring.add(
        LogRecord(
            time=record["time"].timestamp(),
            level=record["level"].name,
            module=record["name"] or "",
            message=_truncate(record["message"]),
            fields=fields,  # type: ignore[arg-type]
            error=_truncate(repr(exception.value)) if exception else "",
        )
    )
