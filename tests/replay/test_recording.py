"""Guards against recorded traces that replay to a different history."""

from pathlib import Path

from finchshed.campaign.runner import run_plan
from finchshed.campaign.scenarios import plan_of
from finchshed.cli import main
from finchshed.cli.exit_codes import ExitCode
from finchshed.emulator.presets import MANILA
from finchshed.replay.emulated import play
from finchshed.replay.recording import trace_of_history
from finchshed.replay.trace import read_trace


def test_the_trace_of_a_seed_replays_to_the_same_history(tmp_path: Path) -> None:
    path, expect = tmp_path / "t.jsonl", tmp_path / "o.jsonl"
    arguments = ["record", str(path), "--scenario=everything", "--seed=5"]
    assert main.run([*arguments, f"--outcomes={expect}"]) == ExitCode.OK
    result, _ = run_plan(plan_of("everything", 5))
    assert play(read_trace(path)).digest() == result.digest
    assert main.run(["replay", str(path), f"--expect={expect}"]) == ExitCode.OK


def test_trace_of_a_history_holds_its_arrivals_and_faults(tmp_path: Path) -> None:
    _, history = run_plan(plan_of("daemon-loss", 1))
    assert history is not None
    trace, left_out = trace_of_history(history, "recorded", MANILA)
    assert left_out == 0
    assert len(trace.acts) == len(plan_of("daemon-loss", 1).disturbances)
    assert trace.arrivals
    path = tmp_path / "t.jsonl"
    trace.write(path)
    assert read_trace(path).arrivals == trace.arrivals


def test_record_rejects_a_missing_source_and_an_unknown_scenario(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    assert main.run(["record", str(path)]) == ExitCode.USAGE
    assert main.run(["record", str(path), "--scenario=none"]) == ExitCode.USAGE
