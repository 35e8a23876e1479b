"""Every command has help and rejects unknown flags."""

from collections.abc import Iterator
from typing import Any

import pytest

from finchshed.cli import main
from finchshed.cli.exit_codes import MEANINGS, ExitCode
from finchshed.cli.table import COMMANDS, PROGRAMS, resolve, subcommands_of
from finchshed.ctl.exit_codes import MEANINGS as CTL_MEANINGS
from finchshed.ctl.exit_codes import CtlExitCode

UNKNOWN_FLAG = "--no-such-flag=1"

COMMANDS_WITH_PROGRAM = (("config", "check"), ("config", "show"))
"""Commands that take a program name and that program's flags."""


def all_commands() -> Iterator[tuple[str, ...]]:
    for name in PROGRAMS:
        yield (name,)
    for name, command in COMMANDS.items():
        subcommands = subcommands_of(resolve(command.target))
        if subcommands is None:
            yield (name,)
        else:
            yield from ((name, sub_name) for sub_name in subcommands)


ALL_COMMANDS = list(all_commands())


@pytest.mark.parametrize("command", ALL_COMMANDS, ids=" ".join)
def test_an_unknown_flag_is_rejected_before_the_command_runs(
    command: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    program = ["daemon"] if command in COMMANDS_WITH_PROGRAM else []
    assert main.run([*command, *program, UNKNOWN_FLAG]) == ExitCode.USAGE
    captured = capsys.readouterr()
    assert "no_such_flag" in captured.err.replace("-", "_")
    assert captured.out == ""


@pytest.mark.parametrize("command", ALL_COMMANDS, ids=" ".join)
def test_every_command_has_help(
    command: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main.run([*command, "--help"]) == ExitCode.OK
    captured = capsys.readouterr()
    assert captured.err == ""
    usage, _, text = captured.out.partition("\n\n")
    assert usage.startswith(f"usage: finchshed {' '.join(command)}")
    assert text.strip()


@pytest.mark.parametrize(("codes", "meanings"), [(ExitCode, MEANINGS), (CtlExitCode, CTL_MEANINGS)])
def test_help_explains_every_exit_code(
    codes: Any, meanings: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    main.run(["ctl", "--help"])
    shown = capsys.readouterr().out
    for code in codes:
        assert f"  {code.value:<3} {meanings[code]}\n" in shown
