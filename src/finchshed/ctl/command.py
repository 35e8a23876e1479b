"""The sub-commands of ``finchshed ctl``."""

from collections.abc import Callable, Mapping
from functools import wraps

from finchshed.ctl import changes, load, maintenance, quarantine, queries, restore, status
from finchshed.ctl.client import AccessDeniedError
from finchshed.ctl.exit_codes import CtlExitCode
from finchshed.ctl.output import print_error

CtlFunction = Callable[..., int]


def _with_denied_exit_code(function: CtlFunction) -> CtlFunction:
    @wraps(function)
    def run(*arguments: object, **flags: object) -> int:
        try:
            return function(*arguments, **flags)
        except AccessDeniedError as error:
            print_error(f"denied: {error}")
            return CtlExitCode.DENIED

    return run


ctl: Mapping[str, CtlFunction] = {
    "diff": _with_denied_exit_code(changes.diff),
    "apply": _with_denied_exit_code(changes.apply),
    "drain": _with_denied_exit_code(changes.drain),
    "undrain": _with_denied_exit_code(changes.undrain),
    "get": _with_denied_exit_code(queries.get),
    "watch": _with_denied_exit_code(queries.watch),
    "status": _with_denied_exit_code(status.status),
    "members": _with_denied_exit_code(status.members),
    "explain": _with_denied_exit_code(queries.explain),
    "load": load.load,
    "quarantine": _with_denied_exit_code(quarantine.quarantine),
    "history": _with_denied_exit_code(queries.history),
    "replace-member": _with_denied_exit_code(maintenance.replace_member),
    "backup": _with_denied_exit_code(maintenance.backup),
    "restore": restore.restore,
    "dump": _with_denied_exit_code(maintenance.dump),
}
"""Sub-command to function; each function's keyword parameters are its flags."""
