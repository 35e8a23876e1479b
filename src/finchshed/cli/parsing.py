"""Parses the arguments of one command with fire, wholly, before the command runs.

Fire calls a function first and complains about left-over arguments afterwards. So fire is given a
recorder with the command's signature; the command itself runs only when fire has taken every
argument and each value fits its annotation.
"""

import contextlib
import inspect
import io
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, get_type_hints

import fire
import msgspec
from fire import decorators

from finchshed.common.errors import SettingsError
from finchshed.settings.describe import allowed_values
from finchshed.settings.hints import hint_for

FIRE_SEPARATOR = "--"


@dataclass(slots=True)
class Arguments:
    """Arguments for a command, checked."""

    positional: list[Any] = field(default_factory=list)
    named: dict[str, Any] = field(default_factory=dict)


class _Recorded:
    """Result given to fire; it has no member that a left-over argument could reach."""

    def __dir__(self) -> list[str]:
        return []


def parse(function: Callable[..., Any], arguments: Sequence[str], name: str) -> Arguments:
    """Return the arguments for ``function``, converted to its annotations.

    Parameters
    ----------
    function
        The command. Its keyword parameters are its flags.
    arguments
        What follows the command's name on the command line.
    name
        The command's name, for messages.

    Raises
    ------
    SettingsError
        One line for each unknown flag, missing argument or value that doesn't fit.
    """
    signature = inspect.signature(function)
    problems = _unknown_flags(signature, arguments, name)
    if problems:
        raise SettingsError(problems)
    raw = _parse_with_fire(signature, arguments, name)
    return _converted(function, signature, raw)


def _unknown_flags(signature: inspect.Signature, arguments: Sequence[str], name: str) -> list[str]:
    if FIRE_SEPARATOR in arguments:
        return [f"finchshed {name}: '--' isn't taken"]
    kinds = {parameter.kind for parameter in signature.parameters.values()}
    if inspect.Parameter.VAR_KEYWORD in kinds:
        return []
    names = list(signature.parameters)
    problems = []
    for argument in arguments:
        if not argument.startswith("--"):
            continue
        flag = argument.removeprefix("--").partition("=")[0].replace("-", "_")
        if flag not in names and flag.removeprefix("no") not in names:
            problems.append(f"finchshed {name}: no such flag: --{flag}{hint_for(flag, names)}")
    return problems


def _parse_with_fire(
    signature: inspect.Signature, arguments: Sequence[str], name: str
) -> Arguments:
    recorded = Arguments()

    def recorder(*positional: Any, **named: Any) -> _Recorded:
        recorded.positional = list(positional)
        recorded.named = named
        return _Recorded()

    recorder.__signature__ = signature  # type: ignore[attr-defined]
    decorators.SetParseFn(str)(recorder)
    complaint = io.StringIO()
    try:
        with contextlib.redirect_stderr(complaint), contextlib.redirect_stdout(complaint):
            fire.Fire(recorder, command=list(arguments), name=name, serialize=_nothing)
    except fire.core.FireExit as exit_:
        line = _first_complaint(complaint.getvalue())
        raise SettingsError([f"finchshed {name}: {line}"]) from exit_
    return recorded


def _nothing(_result: object) -> None:
    """Keep fire from printing the recorder's result."""


def _first_complaint(text: str) -> str:
    for line in text.splitlines():
        _, found, message = line.partition("ERROR: ")
        if found:
            return message.replace("\x1b[0m", "")
    return "wrong arguments"


def _converted(
    function: Callable[..., Any], signature: inspect.Signature, raw: Arguments
) -> Arguments:
    hints = get_type_hints(function, include_extras=True)
    bound = signature.bind(*raw.positional, **raw.named)
    problems: list[str] = []
    for key, value in bound.arguments.items():
        kind = signature.parameters[key].kind
        if key not in hints or kind is inspect.Parameter.VAR_KEYWORD:
            continue
        try:
            bound.arguments[key] = _convert(value, hints[key], kind)
        except msgspec.ValidationError:
            words = allowed_values(key, hints[key])
            problems.append(f"flag --{key}: {key} = {value}: allowed is {words}")
    if problems:
        raise SettingsError(problems)
    return Arguments(list(bound.args), dict(bound.kwargs))


def _convert(value: Any, hint: Any, kind: Any) -> Any:
    if kind is inspect.Parameter.VAR_POSITIONAL:
        return tuple(msgspec.convert(part, hint, strict=False) for part in value)
    return msgspec.convert(value, hint, strict=False)
