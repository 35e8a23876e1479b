"""The replicated log holds its promises under every kind of failure, and runs repeat exactly."""

import os
import subprocess
import sys

import pytest

from finchshed.cli.exit_codes import ExitCode
from finchshed.proof.consensus.command import prove_consensus
from finchshed.proof.consensus.run import simulate
from finchshed.proof.consensus.scenarios import SCENARIOS
from tests.consensus.campaign_here import run_here

SEEDS = range(1000, 1004)
MORE_SEEDS = {"formation": range(60)}
WHAT_MUST_HAPPEN = {
    "crashes": "write_cut_short",
    "bit-rot": "damage_found",
    "full-disks": "disk_full",
    "lost-disks": "lost_disk",
}


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_promises_hold(scenario: str) -> None:
    summary = run_here(scenario, MORE_SEEDS.get(scenario, SEEDS))
    assert [(failure.seed, failure.violations) for failure in summary.failures] == []
    assert summary.accepted > len(SEEDS)
    assert summary.counts[WHAT_MUST_HAPPEN.get(scenario, "election")] > 0


def test_same_seed_gives_the_same_history_in_another_process() -> None:
    script = (
        "from finchshed.proof.consensus.run import simulate;"
        "print(simulate('storm', 7).digest, simulate('membership', 7).digest)"
    )
    environment = {**os.environ, "PYTHONHASHSEED": "4711"}
    command = [sys.executable, "-c", script]
    output = subprocess.run(command, env=environment, capture_output=True, check=True, text=True)
    here = [simulate("storm", 7).digest, simulate("membership", 7).digest]
    assert output.stdout.split() == here
    assert simulate("storm", 8).digest != here[0]


def test_command_runs_the_chosen_scenario(capsys: pytest.CaptureFixture[str]) -> None:
    assert prove_consensus(seeds="3..4", scenario="clocks", workers=1) == ExitCode.OK
    assert capsys.readouterr().out.startswith("clocks: 2 seeds, 0 failed")
