"""A whole history in memory and as a file.

The file holds JSON lines: one :class:`Header`, then the events of :mod:`finchshed.proof.history` in
the order of their time.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final

import msgspec
import xxhash

from finchshed.common.errors import FinchshedError
from finchshed.proof.history import Event

SCHEMA_VERSION: Final = 1
"""Version of the file's form; another one is refused."""


class HistoryError(FinchshedError):
    """A history can't be read. The message names the line."""


class Header(msgspec.Struct, frozen=True, omit_defaults=True, tag="header"):
    """First line of a history.

    Attributes
    ----------
    source
        ``emulator`` or ``fleet``.
    retry_budget
        Spare attempts that one root request has over its whole call graph.
    leaving_bound_seconds
        Time after the first sign within which a leaving back end must stop receiving work.
    in_force_bound_seconds
        Time within which an accepted change must be in force at every reachable daemon.
    """

    schema: int
    source: str
    scenario: str
    seed: int
    version: str
    retry_budget: int = 3
    leaving_bound_seconds: float = 2.0
    in_force_bound_seconds: float = 4.0


_encoder = msgspec.json.Encoder()
_header_decoder = msgspec.json.Decoder(Header)
_event_decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)


class History(msgspec.Struct):
    """A whole history in memory."""

    header: Header
    events: list[Event]

    def lines(self) -> Iterator[bytes]:
        """Yield the history's JSON lines, each with its line feed."""
        yield _encoder.encode(self.header) + b"\n"
        for event in self.events:
            yield _encoder.encode(event) + b"\n"

    def digest(self) -> str:
        """Return xxh3-64 of the JSON lines, hexadecimal."""
        digest = xxhash.xxh3_64()
        for line in self.lines():
            digest.update(line)
        return str(digest.hexdigest())

    def write(self, path: Path) -> None:
        """Write the history to ``path``."""
        with path.open("wb") as file:
            file.writelines(self.lines())


def read(path: Path) -> History:
    """Read a history.

    Raises
    ------
    HistoryError
        If a line is malformed, or the schema's version is another.
    """
    with path.open("rb") as file:
        return parse(file, str(path))


def parse(lines: Iterable[bytes], name: str) -> History:
    """Parse JSON lines; ``name`` stands in error messages. Sorts events by time (stably)."""
    header: Header | None = None
    events: list[Event] = []
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            if header is None:
                header = _header_decoder.decode(line)
            else:
                events.append(_event_decoder.decode(line))
        except msgspec.DecodeError as error:
            raise HistoryError(f"{name}:{number}: {error}") from error
    if header is None:
        raise HistoryError(f"{name}: no header")
    if header.schema != SCHEMA_VERSION:
        raise HistoryError(f"{name}: schema {header.schema}, this version reads {SCHEMA_VERSION}")
    events.sort(key=lambda event: event.time)
    return History(header, events)
