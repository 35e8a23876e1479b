"""Exit codes of every finchshed command."""

import enum
from collections.abc import Mapping


class ExitCode(enum.IntEnum):
    """What the exit code of a command says."""

    OK = 0
    """The command did what was asked."""

    FAILED = 1
    """The command ran and its check or change failed."""

    USAGE = 2
    """Wrong command, flag, settings or declarations; nothing was started."""

    UNAVAILABLE = 3
    """No quorum or process could be reached; trying again later is right."""

    FAULT = 4
    """A broken invariant or an unexpected error; the ring of log records was written out."""


MEANINGS: Mapping[int, str] = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "a check or change failed",
    ExitCode.USAGE: "wrong command, flag, settings or declarations",
    ExitCode.UNAVAILABLE: "no quorum or process could be reached",
    ExitCode.FAULT: "broken invariant or unexpected error; log ring written out",
}
