"""A bounded ring of log records in memory, written out when something goes wrong.

Modules log through loguru. Records go into the ring and nowhere else but for the lines of start
and stop; the ring is written to the data folder, or to standard error where there is none, on a
broken invariant, an unexpected error, SIGUSR1 or an operator's request.
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
"""Records kept (docs/design/observability.md); chosen, not measured."""

MAX_TEXT_CHARACTERS = 2_000
"""Longer messages are cut, so that the ring is bounded in bytes too. Characters; chosen, not
measured."""

MAX_DUMP_FILES = 8
"""Dump files kept in a data folder, the oldest go first; chosen, not measured."""

STREAM_LEVEL = 20
"""Records from this level on (loguru's INFO) go to the log stream too, if there is one."""

DUMP_FOLDER = "logs"
_DUMP_PREFIX = "ring-"


class LogRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One record. ``time`` is in seconds since the epoch."""

    time: float
    level: str
    module: str
    message: str
    fields: dict[str, str | int | float | bool] = {}
    error: str = ""


class DumpHeader(msgspec.Struct, frozen=True, tag="dump"):
    """First line of a dump. ``dropped`` counts records that the ring had to forget."""

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
        """Keep ``record``, forgetting the oldest one where the ring is full."""
        self._records.append(record)
        self._total += 1

    def records(self) -> tuple[LogRecord, ...]:
        """Return the records, oldest first."""
        return tuple(self._records)

    def encode(self, reason: str) -> bytes:
        """Return a header and the records as JSON lines."""
        header = DumpHeader(
            program=self.program,
            node=self.node,
            reason=_cut(reason),
            time=time.time(),
            records=len(self._records),
            dropped=self._total - len(self._records),
        )
        return msgspec.json.Encoder().encode_lines([header, *self._records])

    def dump(self, reason: str) -> Path | None:
        """Write the ring out; return the file, or None where it went to standard error."""
        data = self.encode(reason)
        if self.data_folder is not None:
            try:
                return self._write_file(self.data_folder / DUMP_FOLDER, data)
            except OSError as error:
                sys.stderr.write(f"log ring can't be written to the data folder: {error}\n")
        sys.stderr.write(data.decode("utf-8", "replace"))
        sys.stderr.flush()
        return None

    def _write_file(self, folder: Path, data: bytes) -> Path:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"{_DUMP_PREFIX}{time.time_ns()}.jsonl"
        path.write_bytes(data)
        for old in sorted(folder.glob(f"{_DUMP_PREFIX}*.jsonl"))[:-MAX_DUMP_FILES]:
            old.unlink(missing_ok=True)
        return path


_ring = Ring()


def configure(
    program: str, node: str, data_folder: str | Path | None, capacity: int = DEFAULT_CAPACITY
) -> Ring:
    """Send this process's log records into a new ring and return the ring.

    Parameters
    ----------
    program, node
        Named in each dump.
    data_folder
        Dumps go to its ``logs`` folder; None or empty for standard error.
    capacity
        Records kept.
    """
    global _ring  # noqa: PLW0603 - a process has one ring, as it has one standard error
    ring = Ring(capacity)
    ring.program = program
    ring.node = node
    ring.data_folder = Path(data_folder) if data_folder else None
    _ring = ring
    logger.remove()
    logger.add(_sink, level="DEBUG", format="{message}", backtrace=False, diagnose=False)
    return ring


def current() -> Ring:
    """Return the process's ring."""
    return _ring


def dump(reason: str) -> Path | None:
    """Write the process's ring out; see :meth:`Ring.dump`."""
    return _ring.dump(reason)


def announce(text: str) -> None:
    """Log a line of start or stop and print it to standard error."""
    logger.info(text)
    sys.stderr.write(redact(text) + "\n")
    sys.stderr.flush()


def _cut(text: str) -> str:
    """Bound ``text`` first, so that the search for secrets takes bounded time too."""
    return redact(text[:MAX_TEXT_CHARACTERS])[:MAX_TEXT_CHARACTERS]


def _field(name: str, value: object) -> object:
    if not isinstance(value, bool | int | float):
        value = str(value)[:MAX_TEXT_CHARACTERS]
    return redact_field(name, value)


def _emit_state(at: float, level: str, module: str | None, text: str) -> None:
    log_stream.emit(StateChanged(at, level.lower(), module or "", _cut(text)), is_failure=True)


def _sink(message: "Message") -> None:
    record = message.record
    if record["level"].no >= STREAM_LEVEL:
        _emit_state(
            record["time"].timestamp(), record["level"].name, record["name"], record["message"]
        )
    exception = record["exception"]
    fields = {str(key): _field(str(key), value) for key, value in record["extra"].items()}
    _ring.add(
        LogRecord(
            time=record["time"].timestamp(),
            level=record["level"].name,
            module=record["name"] or "",
            message=_cut(record["message"]),
            fields=fields,  # type: ignore[arg-type]
            error=_cut(repr(exception.value)) if exception else "",
        )
    )
