"""Simulation scenarios report no violations, and runs are reproducible from their seed."""

import os
import subprocess
import sys

import pytest

from finchshed.cli.exit_codes import ExitCode
from finchshed.proof.consensus.command import prove_consensus
from finchshed.proof.consensus.run import simulate
from finchshed.proof.consensus.scenarios import SCENARIOS
from tests.consensus.in_process_campaign import run_in_process

SEEDS = range(1000, 1004)
SEEDS_BY_SCENARIO = {"formation": range(60)}
REQUIRED_COUNTS = {
    "crashes": "write_cut_short",
    "bit-rot": "damage_found",
    "full-disks": "disk_full",
    "lost-disks": "lost_disk",
}


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scenario_has_no_violations(scenario: str) -> None:
    summary = run_in_process(scenario, SEEDS_BY_SCENARIO.get(scenario, SEEDS))
    assert [(failure.seed, failure.violations) for failure in summary.failures] == []
    assert summary.accepted > len(SEEDS)
    assert summary.counts[REQUIRED_COUNTS.get(scenario, "election")] > 0


def test_same_seed_reproduces_the_history_in_another_process() -> None:
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


def test_command_runs_the_selected_scenario(capsys: pytest.CaptureFixture[str]) -> None:
    assert prove_consensus(seeds="3..4", scenario="clocks", workers=1) == ExitCode.OK
    assert capsys.readouterr().out.startswith("clocks: 2 seeds, 0 failed")
