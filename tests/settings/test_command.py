import tomllib
from pathlib import Path

import msgspec
import pytest

from finchshed.cli.exit_codes import ExitCode
from finchshed.cli.main import run
from finchshed.cli.table import PROGRAMS
from finchshed.settings import describe

SAMPLE_FOLDER = Path(__file__).parents[2] / "examples" / "settings"

GOOD_FLAGS = [
    "--node=n1",
    "--region=r",
    "--zone=z",
    "--http_address=127.0.0.1:8000",
    "--link_address=127.0.0.1:8001",
    "--control_addresses=127.0.0.1:9000",
]


def test_committed_samples_match_the_code(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["config", "sample", f"--folder={SAMPLE_FOLDER}", "--check"]) == ExitCode.OK


def test_sample_check_detects_a_difference(tmp_path: Path) -> None:
    assert run(["config", "sample", f"--folder={tmp_path}"]) == ExitCode.OK
    changed = tmp_path / "daemon.sample.toml"
    changed.write_text(changed.read_text() + "# more\n")
    assert run(["config", "sample", f"--folder={tmp_path}", "--check"]) == ExitCode.FAILED


@pytest.mark.parametrize("program", PROGRAMS)
def test_sample_names_every_option_and_its_defaults_are_valid(program: str) -> None:
    text = (SAMPLE_FOLDER / f"{program}.sample.toml").read_text()
    uncommented = "\n".join(line.removeprefix("# ") for line in text.splitlines() if " = " in line)
    table = tomllib.loads(uncommented)
    fields = msgspec.structs.fields(PROGRAMS[program].settings_type())
    assert set(table) == {field.name for field in fields}
    for field in fields:
        if not field.required:
            assert msgspec.convert(table[field.name], field.type) == field.default


@pytest.mark.parametrize("program", PROGRAMS)
def test_every_option_has_a_description(program: str) -> None:
    fields = msgspec.structs.fields(PROGRAMS[program].settings_type())
    assert [field.name for field in fields if not describe.description_of(field.type)] == []


def test_check_reports_all_problems(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "daemon.toml"
    path.write_text('node = "N 1"\nzoen = "z"\n')
    assert run(["config", "check", "daemon", f"--settings={path}"]) == ExitCode.USAGE
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 7
    assert all(str(path) in line for line in lines)


def test_check_and_show_pass_for_good_settings(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["config", "check", "daemon", *GOOD_FLAGS]) == ExitCode.OK
    assert run(["config", "show", "daemon", *GOOD_FLAGS, "--drain-seconds=7"]) == ExitCode.OK
    shown = capsys.readouterr().out
    assert 'node = "n1"  # flag --node' in shown
    assert "drain_seconds = 7.0  # flag --drain_seconds" in shown
    assert 'service = ""  # default' in shown


def test_unknown_program_and_option_are_rejected(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["config", "show", "deamon"]) == ExitCode.USAGE
    assert run(["daemon", *GOOD_FLAGS, "--drain=7"]) == ExitCode.USAGE
    assert "did you mean daemon?" in capsys.readouterr().err
