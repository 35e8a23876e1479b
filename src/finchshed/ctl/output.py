"""Output of the sub-commands, as text or as JSON lines."""

import sys
from collections.abc import Iterable

import msgspec


def print_result(value: msgspec.Struct, lines: Iterable[str], *, as_json: bool) -> None:
    """Print ``value`` as one JSON line, or ``lines`` as text."""
    if as_json:
        sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
    else:
        for line in lines:
            sys.stdout.write(line + "\n")
    sys.stdout.flush()


def print_error(line: str) -> None:
    """Print ``line`` on standard error."""
    sys.stderr.write(line + "\n")


def format_table(header: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    all_rows = [header, *rows]
    widths = [max(len(row[column]) for row in all_rows) for column in range(len(header))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in all_rows
    ]
