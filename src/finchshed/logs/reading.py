"""Lines of the log stream, read from files of several processes.

Knows the events by name alone, so that logs of other versions are read too. Relies on nothing of
the running system.
"""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from finchshed.common.errors import SettingsError

EVENTS = frozenset({"request_ended", "call_ended", "state", "lines_left_out"})

MAX_PREFIX_CHARACTERS = 200
"""Characters before a line's JSON that are passed over, as collectors of logs put there; chosen,
not measured."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line: what stood before its JSON (a time, a node), and the record."""

    source: str
    prefix: str
    record: Mapping[str, Any]

    @property
    def event(self) -> str:
        """Kind of the record."""
        return str(self.record["event"])

    @property
    def time(self) -> float:
        """Unix seconds by the clock of the process that wrote it."""
        return float(self.record.get("time", 0.0))


@dataclass(slots=True)
class UnreadableLines:
    """Lines that hold no whole record, by file: cut or mixed ones."""

    lines: int = 0


def read_lines(paths: Iterable[str], unread: UnreadableLines) -> Iterator[LogLine]:
    """Yield the records in ``paths``; lines without one are counted in ``unread``.

    Raises
    ------
    SettingsError
        A file can't be read.
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
                unread.lines += 1


def _parse(path: str, line: str) -> LogLine | None:
    begin = line.find("{")
    if not 0 <= begin <= MAX_PREFIX_CHARACTERS:
        return None
    try:
        record = json.loads(line[begin:])
    except ValueError:
        return None
    if not isinstance(record, dict) or record.get("event") not in EVENTS:
        return None
    return LogLine(path, line[:begin].strip(), record)
