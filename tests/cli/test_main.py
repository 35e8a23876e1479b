from collections.abc import Callable

import pytest

from finchshed.cli import main, table
from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import (
    ControlUnavailableError,
    InvariantError,
    SettingsError,
    StorageError,
)

calls: list[tuple[object, ...]] = []


def measure(name: str, *, seed: int = 1, ratio: float = 0.5, fast: bool = False) -> int:
    """Measure something.

    Parameters
    ----------
    seed
        Seed of the run.
    """
    calls.append((name, seed, ratio, fast))
    return ExitCode.OK


def failing(kind: str) -> int:
    """Fail as ``kind`` says."""
    errors: dict[str, BaseException] = {
        "settings": SettingsError(["a", "b"]),
        "unavailable": ControlUnavailableError("no quorum"),
        "invariant": InvariantError("broken"),
        "expected": StorageError("disk"),
        "unexpected": ValueError("odd"),
    }
    if kind == "check":
        return ExitCode.FAILED
    raise errors[kind]


GROUP: dict[str, Callable[..., int]] = {"measure": measure, "failing": failing}


@pytest.fixture(autouse=True)
def register_test_commands(monkeypatch: pytest.MonkeyPatch) -> None:
    calls.clear()
    rows = {
        "group": table.Command("a group", f"{__name__}:GROUP"),
        "measure": table.Command("a command", f"{__name__}:measure"),
    }
    for name, row in rows.items():
        monkeypatch.setitem(table.COMMANDS, name, row)


def test_arguments_are_converted_to_annotated_types() -> None:
    assert main.run(["group", "measure", "007", "--seed=3", "--ratio", "1", "--fast"]) == 0
    assert calls == [("007", 3, 1.0, True)]


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["nothing"], "no such command: nothing"),
        (["dameon"], "did you mean daemon?"),
        (["group", "mesure"], "did you mean measure?"),
        (["measure", "x", "--sed=3"], "no such flag: --sed; did you mean seed?"),
        (["measure", "x", "--seed=3x"], "seed = 3x: allowed is a whole number"),
        (["measure", "x", "--fast=perhaps"], "true or false"),
        (["measure", "x", "1", "2", "3", "4", "5"], "Could not consume arg"),
        (["measure"], "finchshed measure: "),
        (["measure", "x", "--", "--interactive"], "'--' isn't taken"),
    ],
)
def test_invalid_usage_is_rejected_before_the_command_runs(
    arguments: list[str], words: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main.run(arguments) == ExitCode.USAGE
    assert words in capsys.readouterr().err
    assert calls == []


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        ("check", ExitCode.FAILED),
        ("expected", ExitCode.FAILED),
        ("settings", ExitCode.USAGE),
        ("unavailable", ExitCode.UNAVAILABLE),
        ("invariant", ExitCode.FAULT),
        ("unexpected", ExitCode.FAULT),
    ],
)
def test_exit_code_matches_the_outcome(kind: str, code: ExitCode) -> None:
    assert main.run(["group", "failing", kind]) == code


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["--help"], "exit codes:"),
        (["group", "--help"], "Measure something."),
        (["measure", "--help"], "Seed of the run."),
        (["group", "measure", "-h"], "[--seed=1]"),
    ],
)
def test_help_goes_to_standard_output(
    arguments: list[str], words: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main.run(arguments) == ExitCode.OK
    assert words in capsys.readouterr().out
    assert calls == []
