"""The sub-commands of ``finchshed ctl``."""

from collections.abc import Callable, Mapping
from functools import wraps

from finchshed.ctl import changes, maintenance, quarantine, queries, restore, status
from finchshed.ctl.client import AccessDeniedError
from finchshed.ctl.exit_codes import CtlExitCode
from finchshed.ctl.output import print_error

CtlFunction = Callable[..., int]


def _denial_as_exit_code(function: CtlFunction) -> CtlFunction:
    @wraps(function)
    def run(*arguments: object, **flags: object) -> int:
        try:
            return function(*arguments, **flags)
        except AccessDeniedError as error:
            print_error(f"denied: {error}")
            return CtlExitCode.DENIED

    return run


ctl: Mapping[str, CtlFunction] = {
    "diff": _denial_as_exit_code(changes.diff),
    "apply": _denial_as_exit_code(changes.apply),
    "drain": _denial_as_exit_code(changes.drain),
    "undrain": _denial_as_exit_code(changes.undrain),
    "get": _denial_as_exit_code(queries.get),
    "watch": _denial_as_exit_code(queries.watch),
    "status": _denial_as_exit_code(status.status),
    "members": _denial_as_exit_code(status.members),
    "explain": _denial_as_exit_code(queries.explain),
    "quarantine": _denial_as_exit_code(quarantine.quarantine),
    "history": _denial_as_exit_code(queries.history),
    "replace-member": _denial_as_exit_code(maintenance.replace_member),
    "backup": _denial_as_exit_code(maintenance.backup),
    "restore": restore.restore,
    "dump": _denial_as_exit_code(maintenance.dump),
}
"""Sub-command to function; each function's keyword parameters are its flags."""
