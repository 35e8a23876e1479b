"""Command-line entry point: runs a command and returns its exit code."""

import sys
from collections.abc import Callable, Sequence
from typing import Any

from finchshed.cli import help as help_texts
from finchshed.cli.exit_codes import ExitCode
from finchshed.cli.parsing import parse
from finchshed.cli.table import COMMANDS, PROGRAMS, Command, Program, resolve, subcommands_of
from finchshed.common.errors import (
    ControlUnavailableError,
    FinchshedError,
    InvariantError,
    SettingsError,
)
from finchshed.settings.hints import hint_for
from finchshed.settings.loader import load

HELP_FLAGS = frozenset({"--help", "-h", "help"})


def run(arguments: Sequence[str]) -> int:
    """Run the command given by ``arguments`` and return its exit code."""
    try:
        return _dispatch(list(arguments))
    except SettingsError as error:
        return _print_errors(error.problems, ExitCode.USAGE)
    except ControlUnavailableError as error:
        return _print_errors([f"unavailable: {error}"], ExitCode.UNAVAILABLE)
    except InvariantError as error:
        return _report_fault(f"broken invariant: {error}")
    except FinchshedError as error:
        return _print_errors([str(error)], ExitCode.FAILED)
    except KeyboardInterrupt:
        return _print_errors(["interrupted"], ExitCode.FAILED)
    except Exception as error:
        return _report_fault(f"unexpected error: {error!r}")


def _dispatch(arguments: list[str]) -> int:
    if not arguments or arguments[0] in HELP_FLAGS:
        return _print_text(help_texts.overview(), ExitCode.OK if arguments else ExitCode.USAGE)
    name, *rest = arguments
    if name in PROGRAMS:
        return _run_program(name, PROGRAMS[name], rest)
    if name in COMMANDS:
        return _run_command(name, COMMANDS[name], rest)
    hint = hint_for(name, [*PROGRAMS, *COMMANDS])
    raise SettingsError([f"finchshed: no such command: {name}{hint}"])


def _run_program(name: str, program: Program, arguments: list[str]) -> int:
    if HELP_FLAGS.intersection(arguments):
        return _print_text(help_texts.program_help(name, program))
    parsed = parse(_program_arguments, arguments, name)
    flags = dict(parsed.named)
    path = flags.pop("settings", None)
    settings = load(program.settings_type(), path, flags).value
    return _exit_code(resolve(program.run)(settings))


def _program_arguments(*, settings: str | None = None, **flags: object) -> None:
    """Signature used to parse program arguments; the settings loader validates the flags."""


def _run_command(name: str, command: Command, arguments: list[str]) -> int:
    target = resolve(command.target)
    subcommands = subcommands_of(target)
    if subcommands is None:
        return _call(name, target, arguments)
    if not arguments or arguments[0] in HELP_FLAGS:
        text = help_texts.group_help(name, command, subcommands)
        return _print_text(text, ExitCode.OK if arguments else ExitCode.USAGE)
    sub_name, *rest = arguments
    if sub_name not in subcommands:
        hint = hint_for(sub_name, subcommands)
        raise SettingsError([f"finchshed {name}: no such command: {sub_name}{hint}"])
    return _call(f"{name} {sub_name}", subcommands[sub_name], rest)


def _call(name: str, function: Callable[..., Any], arguments: list[str]) -> int:
    if {"--help", "-h"}.intersection(arguments):
        return _print_text(help_texts.function_help(name, function))
    parsed = parse(function, arguments, name)
    return _exit_code(function(*parsed.positional, **parsed.named))


def _exit_code(result: object) -> int:
    return int(result) if isinstance(result, int) else ExitCode.OK


def _print_text(text: str, code: ExitCode = ExitCode.OK) -> int:
    print(text)
    return code


def _print_errors(lines: Sequence[str], code: ExitCode) -> int:
    for line in lines:
        print(line, file=sys.stderr)
    return code


def _report_fault(reason: str) -> int:
    from finchshed.observability import ring

    ring.dump(reason)
    return _print_errors([reason], ExitCode.FAULT)
