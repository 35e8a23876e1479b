"""A fixed small campaign, and that seeds, shrinking and the command line do what they say."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from finchshed.campaign.command import parse_seeds
from finchshed.campaign.runner import run_plan, run_seed
from finchshed.campaign.scenarios import SCENARIOS, plan_of
from finchshed.cli import main
from finchshed.cli.exit_codes import ExitCode
from tests.proof.broken import VARIANTS

CI_SEEDS = (1, 2)
"""One seed on each deployment."""

DIGEST_PROGRAM = """
import sys
from finchshed.campaign.runner import run_seed
print(run_seed("everything", int(sys.argv[1])).digest)
"""


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_every_property_holds_on_the_fixed_seeds(scenario: str) -> None:
    for seed in CI_SEEDS:
        result = run_seed(scenario, seed, shrink=False)
        assert not result.error
        assert result.violations == []
        assert result.coverage["runs"] > 0


def digest_in_a_process(seed: int, hash_seed: str) -> str:
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-c", DIGEST_PROGRAM, str(seed)]
    output = subprocess.run(command, env=environment, capture_output=True, check=True, text=True)
    return output.stdout.strip()


def test_one_seed_gives_one_history_byte_for_byte() -> None:
    first = digest_in_a_process(3, "1")
    assert first
    assert digest_in_a_process(3, "2") == first
    assert digest_in_a_process(4, "1") != first


def test_a_failing_seed_is_shrunk_and_its_command_repeats_it(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    VARIANTS["a_stop_does_not_wait"].apply(monkeypatch)
    result = run_seed("rolling-restart", 1)
    assert result.kept is not None
    assert 0 < len(result.kept) < len(result.disturbances)
    plan = plan_of("rolling-restart", 1)
    shrunk, _ = run_plan(plan.only(tuple(result.kept)))
    assert "planned-stop" in shrunk.broken_checks()
    only = ",".join(map(str, result.kept))
    arguments = ["prove", "--scenario=rolling-restart", "--seeds=1", f"--only={only}"]
    assert main.run(arguments) == ExitCode.FAILED
    told = capsys.readouterr().out
    assert f"finchshed prove --scenario=rolling-restart --seeds=1 --only={only}" in told


def test_the_command_writes_results_and_the_history(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    results, history = tmp_path / "results.jsonl", tmp_path / "history.jsonl"
    arguments = ["prove", "--scenario=config-race", "--workers=1"]
    assert main.run([*arguments, "--seeds=1..2", f"--out={results}"]) == ExitCode.OK
    assert len(results.read_bytes().splitlines()) == 2
    assert main.run([*arguments, "--seeds=1", f"--history={history}"]) == ExitCode.OK
    assert run_seed("config-race", 1).digest in capsys.readouterr().out
    assert history.stat().st_size > 0


@pytest.mark.parametrize("flags", ["--seeds=x", "--seeds=5..2", "--scenario=none", "--only=9"])
def test_wrong_flags_are_refused(flags: str, capsys: pytest.CaptureFixture[str]) -> None:
    arguments = ["prove", "--scenario=overload", "--seeds=1", flags]
    assert main.run(arguments) == ExitCode.USAGE
    assert "allowed" in capsys.readouterr().err


def test_seeds_are_named_with_both_ends() -> None:
    assert parse_seeds("7") == [7]
    assert parse_seeds("2..4") == [2, 3, 4]
