"""Exit codes common to all finchshed commands."""

import enum
from collections.abc import Mapping


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    """The command succeeded."""

    FAILED = 1
    """The check or change performed by the command failed."""

    USAGE = 2
    """Invalid command, flag, settings or declarations; nothing was started."""

    UNAVAILABLE = 3
    """No quorum or process could be reached; the command may be retried."""

    FAULT = 4
    """An invariant violation or unexpected error; the log ring was dumped."""


MEANINGS: Mapping[int, str] = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "a check or change failed",
    ExitCode.USAGE: "wrong command, flag, settings or declarations",
    ExitCode.UNAVAILABLE: "no quorum or process could be reached",
    ExitCode.FAULT: "broken invariant or unexpected error; log ring written out",
}
