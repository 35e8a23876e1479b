"""Every command of the table: it has help, and refuses flags it doesn't know."""

from collections.abc import Iterator
from typing import Any

import pytest

from finchshed.cli import main
from finchshed.cli.exit_codes import MEANINGS, ExitCode
from finchshed.cli.table import COMMANDS, PROGRAMS, resolve, subcommands_of
from finchshed.ctl.exit_codes import MEANINGS as CTL_MEANINGS
from finchshed.ctl.exit_codes import CtlExitCode

UNKNOWN_FLAG = "--no-such-flag=1"

TAKE_A_PROGRAM = (("config", "check"), ("config", "show"))
"""Commands that take the flags of the program they are given."""


def every_command() -> Iterator[tuple[str, ...]]:
    for name in PROGRAMS:
        yield (name,)
    for name, command in COMMANDS.items():
        subcommands = subcommands_of(resolve(command.target))
        if subcommands is None:
            yield (name,)
        else:
            yield from ((name, sub_name) for sub_name in subcommands)


EVERY_COMMAND = list(every_command())


@pytest.mark.parametrize("command", EVERY_COMMAND, ids=" ".join)
def test_an_unknown_flag_is_refused_before_anything_starts(
    command: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    program = ["daemon"] if command in TAKE_A_PROGRAM else []
    assert main.run([*command, *program, UNKNOWN_FLAG]) == ExitCode.USAGE
    told = capsys.readouterr()
    assert "no_such_flag" in told.err.replace("-", "_")
    assert told.out == ""


@pytest.mark.parametrize("command", EVERY_COMMAND, ids=" ".join)
def test_every_command_has_help(
    command: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main.run([*command, "--help"]) == ExitCode.OK
    told = capsys.readouterr()
    assert told.err == ""
    usage, _, text = told.out.partition("\n\n")
    assert usage.startswith(f"usage: finchshed {' '.join(command)}")
    assert text.strip()


@pytest.mark.parametrize(("codes", "meanings"), [(ExitCode, MEANINGS), (CtlExitCode, CTL_MEANINGS)])
def test_every_exit_code_has_its_meaning_in_the_help(
    codes: Any, meanings: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    main.run(["ctl", "--help"])
    shown = capsys.readouterr().out
    for code in codes:
        assert f"  {code.value:<3} {meanings[code]}\n" in shown
