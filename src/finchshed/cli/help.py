"""Help texts of the command line, printed without a pager."""

import inspect
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from finchshed.cli.exit_codes import MEANINGS
from finchshed.cli.table import COMMANDS, PROGRAMS, Command, Program, resolve
from finchshed.settings import describe

_NAME_WIDTH = 22


def overview() -> str:
    """Return the help text of ``finchshed`` itself."""
    lines = ["usage: finchshed COMMAND [ARGUMENTS] [--FLAG=VALUE]", "", "programs:"]
    lines += [f"  {name:<10} {program.summary}" for name, program in PROGRAMS.items()]
    lines += ["", "commands:"]
    lines += [f"  {name:<10} {command.summary}" for name, command in COMMANDS.items()]
    lines += ["", "finchshed COMMAND --help tells more.", ""]
    return "\n".join([*lines, *_exit_code_lines(MEANINGS)])


def program_help(name: str, program: Program) -> str:
    """Return the help text of a program, including all of its settings."""
    lines = [
        f"usage: finchshed {name} --settings FILE [--OPTION=VALUE]",
        "",
        program.summary,
        "",
        "Options stand in the settings file; a flag of the same name goes over it.",
        "",
    ]
    for field in msgspec.structs.fields(program.settings_type()):
        lines.append(f"  --{field.name}{_default_text(field)}")
        description = describe.description_of(field.type)
        if description:
            lines.append(f"      {description}")
        lines.append(f"      allowed: {describe.allowed_values(field.name, field.type)}")
    return "\n".join(lines)


def group_help(name: str, command: Command, subcommands: Mapping[str, Callable[..., Any]]) -> str:
    """Return the help text of a command with subcommands, including its exit codes."""
    usage = f"usage: finchshed {name} COMMAND [ARGUMENTS] [--FLAG=VALUE]"
    lines = [usage, "", command.summary, ""]
    for sub_name, function in subcommands.items():
        first_line = (inspect.getdoc(function) or "").partition("\n")[0]
        lines.append(f"  {sub_name:<{_NAME_WIDTH}} {first_line}")
    additional = resolve(command.exit_codes) if command.exit_codes else {}
    return "\n".join([*lines, "", *_exit_code_lines({**MEANINGS, **additional})])


def function_help(name: str, function: Callable[..., Any]) -> str:
    """Return the help text of a command, derived from its signature and docstring."""
    parameters = inspect.signature(function).parameters.values()
    usage = " ".join(_parameter_usage(parameter) for parameter in parameters)
    return f"usage: finchshed {name} {usage}\n\n{inspect.getdoc(function) or ''}".rstrip()


def _exit_code_lines(meanings: Mapping[int, str]) -> list[str]:
    rows = [f"  {int(code):<3} {meaning}" for code, meaning in meanings.items()]
    return ["exit codes:", *rows]


def _parameter_usage(parameter: inspect.Parameter) -> str:
    upper = parameter.name.upper()
    if parameter.kind is inspect.Parameter.VAR_KEYWORD:
        return "[--FLAG=VALUE]..."
    if parameter.kind is inspect.Parameter.VAR_POSITIONAL:
        return f"[{upper}]..."
    if parameter.default is not inspect.Parameter.empty:
        return f"[--{parameter.name}={parameter.default}]"
    if parameter.kind is inspect.Parameter.KEYWORD_ONLY:
        return f"--{parameter.name}={upper}"
    return upper


def _default_text(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return " (required)"
    if field.default is msgspec.NODEFAULT:
        return ""
    return f" (default {msgspec.json.encode(field.default, enc_hook=str).decode()})"
