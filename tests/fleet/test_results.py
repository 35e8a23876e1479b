"""The table of results of fault runs, including failed ones."""

import pathlib

import pytest

from finchshed.common.errors import SettingsError
from finchshed.fleet.results import HEADINGS, format_markdown, read_verdicts
from finchshed.fleet.verdict import Check, RunVerdict
from finchshed.proof.checks import answers, leaving


def write_verdict(folder: pathlib.Path, script: str, *problems: str) -> None:
    run = folder / script
    run.mkdir()
    RunVerdict(
        scenario=script,
        deployment="brazos",
        seed=1,
        processes=46,
        acts=2,
        checks=[Check(answers.NAME, 321, []), Check(leaving.NAME_LEAVING, 4, list(problems))],
        load_average=11.6,
    ).write(run / "verdict.json")


def test_each_run_has_a_row(tmp_path: pathlib.Path) -> None:
    write_verdict(tmp_path, "leaving", "one", "two")
    write_verdict(tmp_path, "calm")
    lines = format_markdown(read_verdicts(tmp_path)).splitlines()
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    assert tuple(cells[0]) == HEADINGS
    calm, failed = (dict(zip(HEADINGS, row, strict=True)) for row in cells[2:])
    assert (calm["script"], calm["answers"], calm["result"]) == ("`calm`", "321", "passed")
    assert (failed["script"], failed["signs"]) == ("`leaving`", "4")
    assert failed["result"] == f"FAILED: {leaving.NAME_LEAVING} (2)"
    assert failed["load average"] == "12"


def test_folder_without_runs_is_rejected(tmp_path: pathlib.Path) -> None:
    with pytest.raises(SettingsError, match=r"no verdict.json"):
        read_verdicts(tmp_path)
