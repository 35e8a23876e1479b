"""Reads a TOML file and reports every duplicate key in it."""

import re
import tomllib
from pathlib import Path
from typing import Any

NESTED_TOO_DEEP = "isn't valid TOML: nested too deep"

_DUPLICATE_MESSAGE = "Cannot overwrite a value"
_LINE_NUMBER = re.compile(r"at line (\d+)")


def read_toml(path: Path) -> tuple[dict[str, Any], list[str]]:
    """Return the top-level table of ``path`` and one line for each problem.

    The later line of a duplicate key is reported and skipped; any other syntax error results in
    an empty table.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return {}, [f"{path}: can't be read: {error.strerror}"]
    except UnicodeDecodeError:
        return {}, [f"{path}: isn't UTF-8 text"]
    problems: list[str] = []
    lines = text.splitlines()
    for _ in range(len(lines) + 1):
        try:
            return tomllib.loads("\n".join([*lines, ""])), problems
        except tomllib.TOMLDecodeError as error:
            problem = _duplicate_problem(path, lines, str(error))
            if problem is None:
                return {}, [*problems, f"{path}: isn't valid TOML: {error}"]
            problems.append(problem)
        except RecursionError:
            return {}, [*problems, f"{path}: {NESTED_TOO_DEEP}"]
    return {}, problems


def _duplicate_problem(path: Path, lines: list[str], message: str) -> str | None:
    """Blank the line of a duplicate key and describe it; return None for other errors."""
    match = _LINE_NUMBER.search(message)
    if _DUPLICATE_MESSAGE not in message or match is None:
        return None
    index = int(match.group(1)) - 1
    key, separator, value = lines[index].partition("=")
    if not separator:
        return None
    lines[index] = ""
    return (
        f"{path}: {key.strip()} = {value.strip()}: key given twice (line {index + 1}): "
        "allowed is once"
    )
