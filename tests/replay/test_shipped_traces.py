"""Guards against shipped traces that no longer meet their outcomes files."""

from pathlib import Path

import pytest

from finchshed.emulator.presets import BRAZOS_RIDGE, MANILA
from finchshed.replay.emulated import play
from finchshed.replay.outcome_checks import check_outcomes
from finchshed.replay.outcomes import PropertyOutcome, read_outcomes
from finchshed.replay.trace import read_trace

FOLDER = Path(__file__).parents[2] / "traces"
TRACES = sorted(FOLDER.glob("*/*.trace.jsonl"))
DEPLOYMENTS = (BRAZOS_RIDGE.name, MANILA.name)

FAILURES = {
    "slow-deep-service",
    "silent-control-machine",
    "operators-race",
    "second-loss-after-repair",
    "restart-after-hundreds-of-changes",
    "zone-cut",
    "rolling-restart",
    "back-ends-leave",
    "misleading-load",
    "requests-that-may-not-repeat",
    "together-and-twice",
}


def outcomes_path(trace: Path) -> Path:
    return trace.with_name(trace.name.replace(".trace.", ".outcomes."))


def test_both_deployments_have_a_trace_of_each_failure() -> None:
    found = {(path.parent.name, path.name.removesuffix(".trace.jsonl")) for path in TRACES}
    assert found == {(name, failure) for name in DEPLOYMENTS for failure in FAILURES}


@pytest.mark.parametrize("path", TRACES, ids=lambda path: f"{path.parent.name}-{path.stem}")
def test_shipped_trace_meets_its_outcomes(path: Path) -> None:
    trace = read_trace(path)
    outcomes = read_outcomes(outcomes_path(path), trace)
    assert any(isinstance(stated, PropertyOutcome) for _, stated in outcomes.statements)
    failed = [verdict for verdict in check_outcomes(play(trace), outcomes) if verdict.problems]
    assert failed == []
