"""Parses and validates the arguments of a command with fire before the command runs.

Fire calls a function before it reports unconsumed arguments. It is therefore given a recorder with
the signature of the command; the command runs only after all arguments were consumed and match
their annotations.
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
    """Parsed arguments of a command."""

    positional: list[Any] = field(default_factory=list)
    named: dict[str, Any] = field(default_factory=dict)


class _Recorded:
    """Result returned to fire; has no members that an unconsumed argument could access."""

    def __dir__(self) -> list[str]:
        return []


def parse(function: Callable[..., Any], arguments: Sequence[str], name: str) -> Arguments:
    """Parse arguments for ``function`` and convert them to its annotated types.

    Parameters
    ----------
    function
        The command; its keyword parameters are flags.
    arguments
        Arguments after the command name.
    name
        Command name, for error messages.

    Raises
    ------
    SettingsError
        Contains one line for each unknown flag, missing argument or invalid value.
    """
    signature = inspect.signature(function)
    problems = _unknown_flags(signature, arguments, name)
    if problems:
        raise SettingsError(problems)
    raw = _parse_with_fire(signature, arguments, name)
    return _convert_arguments(function, signature, raw)


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
    output = io.StringIO()
    try:
        with contextlib.redirect_stderr(output), contextlib.redirect_stdout(output):
            fire.Fire(recorder, command=list(arguments), name=name, serialize=_suppress_output)
    except fire.core.FireExit as exit_:
        line = _error_message(output.getvalue())
        raise SettingsError([f"finchshed {name}: {line}"]) from exit_
    return recorded


def _suppress_output(_result: object) -> None:
    """Discard the recorder's result so that fire does not print it."""


def _error_message(text: str) -> str:
    for line in text.splitlines():
        _, found, message = line.partition("ERROR: ")
        if found:
            return message.replace("\x1b[0m", "")
    return "wrong arguments"


def _convert_arguments(
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
            bound.arguments[key] = _convert_value(value, hints[key], kind)
        except msgspec.ValidationError:
            allowed = allowed_values(key, hints[key])
            problems.append(f"flag --{key}: {key} = {value}: allowed is {allowed}")
    if problems:
        raise SettingsError(problems)
    return Arguments(list(bound.args), dict(bound.kwargs))


def _convert_value(value: Any, hint: Any, kind: Any) -> Any:
    if kind is inspect.Parameter.VAR_POSITIONAL:
        return tuple(msgspec.convert(part, hint, strict=False) for part in value)
    return msgspec.convert(value, hint, strict=False)
