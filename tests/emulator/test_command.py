"""The emulate command."""

from pathlib import Path

import pytest

from finchshed.cli import main
from finchshed.cli.exit_codes import ExitCode
from finchshed.proof.history_file import read


def test_a_run_is_judged_and_written(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "history.jsonl"
    arguments = ["emulate", "--deployment=fan-out", "--seconds=1", f"--history={path}"]
    assert main.run(arguments) == ExitCode.OK
    told = capsys.readouterr().out
    assert "every property held" in told
    assert "per second of processor time" in told
    assert f"history {read(path).digest()}" in told


def test_a_baseline_is_not_judged(capsys: pytest.CaptureFixture[str]) -> None:
    arguments = ["emulate", "--deployment=fan-out", "--seconds=1", "--control=none"]
    assert main.run(arguments) == ExitCode.OK
    assert "property" not in capsys.readouterr().out


@pytest.mark.parametrize("flag", ["--deployment=no", "--control=no"])
def test_wrong_names_are_refused(flag: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main.run(["emulate", flag]) == ExitCode.USAGE
    assert "allowed are" in capsys.readouterr().err
