"""Exit codes of ``finchshed ctl``, in addition to those of every command."""

import enum
from collections.abc import Mapping


class CtlExitCode(enum.IntEnum):
    """Exit codes of ``ctl`` commands, in addition to :class:`finchshed.cli.exit_codes.ExitCode`."""

    DIFFERENT = 10
    """``diff``: the declarations differ from the current configuration."""

    CONFLICT = 11
    """``apply``: another change was accepted first; nothing was changed."""

    INVALID = 12
    """``apply``: the control node found problems; nothing was changed."""

    DENIED = 13
    """The token or the certificate isn't that of a declared operator."""

    NOT_IN_FORCE = 14
    """``status``: some daemons are behind or silent."""

    LOSS_NOT_ACCEPTED = 15
    """``restore``: the loss was reported but not accepted; nothing was written."""


MEANINGS: Mapping[int, str] = {
    CtlExitCode.DIFFERENT: "diff: the declarations differ from what is in force",
    CtlExitCode.CONFLICT: "apply: another change was accepted first; nothing was changed",
    CtlExitCode.INVALID: "apply: the control node found problems; nothing was changed",
    CtlExitCode.DENIED: "the token is none of a declared operator",
    CtlExitCode.NOT_IN_FORCE: "status: some daemons are behind or silent",
    CtlExitCode.LOSS_NOT_ACCEPTED: "restore: told what would be lost; nothing was written",
}
