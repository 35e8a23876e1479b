"""Reads structured log lines from the files of several processes.

Records are decoded as plain JSON and recognized by event name, so logs of other versions are
readable too.
"""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from finchshed.common.errors import SettingsError

EVENTS = frozenset({"request_ended", "call_ended", "extra_answer", "state", "lines_left_out"})

MAX_PREFIX_CHARACTERS = 200
"""Maximum length of a prefix that a log collector may put before the JSON."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log record, with its file and the prefix before the JSON (such as a time or node)."""

    source: str
    prefix: str
    record: Mapping[str, Any]

    @property
    def event(self) -> str:
        """Event name of the record."""
        return str(self.record["event"])

    @property
    def time(self) -> float:
        """Unix time in seconds, by the clock of the writing process."""
        return float(self.record.get("time", 0.0))


@dataclass(slots=True)
class UnreadableLines:
    """Count of lines that contain no complete record (truncated or interleaved)."""

    lines: int = 0


def read_lines(paths: Iterable[str], unreadable: UnreadableLines) -> Iterator[LogLine]:
    """Yield the records in ``paths`` and count incomplete ones in ``unreadable``.

    Raises
    ------
    SettingsError
        A file cannot be read.
    """
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise SettingsError([f"{path}: can't be read: {error.strerror}"]) from error
        for line in text.splitlines():
            parsed = _parse(path, line)
            if parsed is not None:
                yield parsed
            elif '"event":' in line:
                unreadable.lines += 1


def _parse(path: str, line: str) -> LogLine | None:
    start = line.find("{")
    if not 0 <= start <= MAX_PREFIX_CHARACTERS:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(record, dict) or record.get("event") not in EVENTS:
        return None
    return LogLine(path, line[:start].strip(), record)
