"""The report holds its plots and figures in one page."""

import re
from pathlib import Path

import msgspec
import pytest

from finchshed.bench.experiment import Case, Experiment
from finchshed.bench.results import read, run_case
from finchshed.cli import main
from finchshed.cli.exit_codes import ExitCode
from finchshed.report.groups import Groups, merged_latencies

EXPERIMENT = Experiment(
    name="small",
    deployments=("fan-out",),
    demands=(2.0,),
    seeds=1,
    before_seconds=0.5,
    warm_up_seconds=0.2,
    trigger_seconds=0.5,
    after_seconds=2.2,
)


@pytest.fixture(scope="module")
def results(tmp_path_factory: pytest.TempPathFactory) -> Path:
    path = tmp_path_factory.mktemp("report") / "results.jsonl"
    cases = [Case(EXPERIMENT, "fan-out", name, 2.0, 1) for name in ("finchshed", "static-limit")]
    path.write_bytes(b"".join(msgspec.json.encode(run_case(case)) + b"\n" for case in cases))
    return path


def test_the_page_needs_no_other_file(results: Path, tmp_path: Path) -> None:
    page, folder = tmp_path / "report.html", tmp_path / "plots"
    arguments = ["report", str(results), str(page), f"--plots={folder}", "--note=shared machine"]
    assert main.run(arguments) == ExitCode.OK
    text = page.read_text()
    names = {"goodput", "classes", "answered", "recovery", "latency", "retries"}
    assert {path.stem for path in folder.glob("*.png")} == names
    assert len(re.findall(r"src='data:image/png;base64,[A-Za-z0-9+/=]{1000,}'", text)) == len(names)
    assert not re.search(r"(src|href)=['\"](?!data:)", text)
    assert "shared machine" in text
    assert "static-limit" in text


def test_latencies_of_runs_are_merged(results: Path) -> None:
    record = read(results)[0]
    once = merged_latencies([record]).get_total_count()
    assert once > 0
    assert merged_latencies([record, record]).get_total_count() == 2 * once
    assert Groups([record]).deployments == ["fan-out"]


def test_missing_results_are_told(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main.run(["report", str(tmp_path / "none.jsonl")]) == ExitCode.USAGE
    assert "no such file" in capsys.readouterr().err
    empty = tmp_path / "empty.jsonl"
    empty.touch()
    assert main.run(["report", str(empty)]) == ExitCode.USAGE
