"""``finchshed logs``: read the structured logs of several processes."""

import collections
from collections.abc import Callable, Mapping

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import SettingsError
from finchshed.logs.reading import UnreadableLines, read_lines
from finchshed.logs.request_trace import describe, trace_of


def trace(identity: str, *files: str) -> int:
    """Show a request's trace through FILES, logs of any processes, and the cause of its end.

    IDENTITY is the one its client gave it. Exit code 1 where no file tells of it.
    """
    _require(files)
    unread = UnreadableLines()
    found = trace_of(str(identity), read_lines(files, unread))
    print("\n".join(describe(found)))
    _tell_unread(unread)
    return ExitCode.OK if found.lines else ExitCode.FAILED


def ends(*files: str) -> int:
    """Count how the requests in FILES ended, by outcome and reason, the most frequent first."""
    _require(files)
    unread = UnreadableLines()
    counted: collections.Counter[str] = collections.Counter()
    for line in read_lines(files, unread):
        if line.event == "request_ended":
            record = line.record
            kind = "call" if record.get("is_call") else "request"
            reason = record.get("reason") or record.get("status", "")
            counted[f"{kind} {record.get('outcome')} {reason}"] += 1
    for text, count in counted.most_common():
        print(f"{count:8} {text}")
    _tell_unread(unread)
    return ExitCode.OK


def _require(files: tuple[str, ...]) -> None:
    if not files:
        raise SettingsError(["no log file is named: give one or several"])


def _tell_unread(unread: UnreadableLines) -> None:
    if unread.lines:
        print(f"{unread.lines} lines could not be read: cut, or mixed with others")


COMMANDS: Mapping[str, Callable[..., int]] = {"trace": trace, "ends": ends}
