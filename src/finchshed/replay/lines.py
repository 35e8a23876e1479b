"""Reads files of typed JSON lines whose first line is a versioned header."""

from collections.abc import Iterator
from pathlib import Path
from typing import TypeVar

import msgspec

from finchshed.common.errors import SettingsError

H = TypeVar("H")
L = TypeVar("L")

MAX_PROBLEMS = 20
"""Problems listed in one error."""


class Problems:
    """Collects the errors of a file, each with its line number."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._found: list[str] = []

    def add(self, number: int, text: str) -> None:
        """Record a problem in line ``number``."""
        self._found.append(f"{self._path}:{number}: {text}")

    def raise_any(self) -> None:
        """Raise SettingsError with the problems found, if there are any."""
        if len(self._found) > MAX_PROBLEMS:
            more = len(self._found) - MAX_PROBLEMS
            raise SettingsError([*self._found[:MAX_PROBLEMS], f"and {more} more"])
        if self._found:
            raise SettingsError(self._found)


def read_lines(path: Path) -> list[tuple[int, bytes]]:
    """Return the non-empty lines, each with its number counted from 1.

    Raises
    ------
    SettingsError
        If the file can't be read or has no line.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    lines = [
        (number, line) for number, line in enumerate(content.splitlines(), start=1) if line.strip()
    ]
    if not lines:
        raise SettingsError([f"{path}: no header line"])
    return lines


def decode_lines(
    lines: list[tuple[int, bytes]], decoder: "msgspec.json.Decoder[L]", problems: Problems
) -> Iterator[tuple[int, L]]:
    """Yield each decoded line with its number; record malformed lines in ``problems``."""
    for number, line in lines:
        try:
            yield number, decoder.decode(line)
        except msgspec.DecodeError as error:
            problems.add(number, str(error))


def unknown_name_message(what: str, name: str, allowed: Iterator[str] | list[str]) -> str:
    """Return the error message for a name that isn't in ``allowed``."""
    return f"{what} = {name!r}: allowed are {', '.join(sorted(allowed))}"
