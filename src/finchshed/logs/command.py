"""The ``finchshed logs`` commands: trace a request, count outcomes."""

import collections
from collections.abc import Callable, Mapping

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import SettingsError
from finchshed.logs.reading import UnreadableLines, read_lines
from finchshed.logs.request_trace import describe, trace_of


def trace(identity: str, *files: str) -> int:
    """Show the trace of a request in FILES, logs of any processes, and the cause of its outcome.

    IDENTITY is the request identity assigned by the client. Exit code 1 if no file contains it.
    """
    _require_files(files)
    unreadable = UnreadableLines()
    found = trace_of(str(identity), read_lines(files, unreadable))
    print("\n".join(describe(found)))
    _print_unreadable(unreadable)
    return ExitCode.OK if found.lines else ExitCode.FAILED


def ends(*files: str) -> int:
    """Count the requests in FILES by outcome and reason, most frequent first."""
    _require_files(files)
    unreadable = UnreadableLines()
    counts: collections.Counter[str] = collections.Counter()
    for line in read_lines(files, unreadable):
        if line.event == "request_ended":
            record = line.record
            kind = "call" if record.get("is_call") else "request"
            reason = record.get("reason") or record.get("status", "")
            counts[f"{kind} {record.get('outcome')} {reason}"] += 1
    for text, count in counts.most_common():
        print(f"{count:8} {text}")
    _print_unreadable(unreadable)
    return ExitCode.OK


def _require_files(files: tuple[str, ...]) -> None:
    if not files:
        raise SettingsError(["no log file is named: give one or several"])


def _print_unreadable(unreadable: UnreadableLines) -> None:
    if unreadable.lines:
        print(f"{unreadable.lines} lines could not be read: cut, or mixed with others")


COMMANDS: Mapping[str, Callable[..., int]] = {"trace": trace, "ends": ends}
