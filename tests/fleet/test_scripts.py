"""Validity of the fault scripts of the examples."""

import pathlib

import pytest

from finchshed.fleet.actions import Edition, Kill
from finchshed.fleet.deployment import read_deployment
from finchshed.fleet.network import FleetNetwork
from finchshed.fleet.plan import FleetPlan
from finchshed.fleet.plan_options import PlanOptions
from finchshed.fleet.planner import Planner
from finchshed.fleet.scenario import FaultScenario, find_unknown_names, read_scenario
from finchshed.standins.settings import Phase

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
SCRIPTS = sorted(EXAMPLES.glob("*/faults/*.toml"))


def plan_deployment(source: pathlib.Path, folder: pathlib.Path) -> FleetPlan:
    network = FleetNetwork()
    try:
        return Planner(source, read_deployment(source), folder, network, PlanOptions()).plan()
    finally:
        network.release()


@pytest.fixture(scope="module")
def plans(tmp_path_factory: pytest.TempPathFactory) -> dict[str, FleetPlan]:
    names = sorted({script.parts[-3] for script in SCRIPTS})
    return {name: plan_deployment(EXAMPLES / name, tmp_path_factory.mktemp(name)) for name in names}


def test_both_examples_have_scripts() -> None:
    assert {script.parts[-3] for script in SCRIPTS} == {"brazos", "manila"}


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda path: "-".join(path.parts[-3::2]))
def test_names_in_script_exist_in_its_deployment(
    script: pathlib.Path, plans: dict[str, FleetPlan]
) -> None:
    scenario = read_scenario(script)
    assert find_unknown_names(scenario, plans[script.parts[-3]]) == []
    assert scenario.name == script.stem
    assert scenario.expect, "a script states what callers get"
    seconds = sum(phase.duration_seconds for phase in scenario.phase)
    assert all(action.at < seconds for action in scenario.act)


def test_unknown_names_are_reported(plans: dict[str, FleetPlan]) -> None:
    scenario = FaultScenario(
        name="wrong",
        description="",
        phase=(Phase(name="all", duration_seconds=1.0),),
        act=(Kill(at=0.1, target="nobody"), Edition(at=0.2, target="no-service", edition=2)),
    )
    problems = find_unknown_names(scenario, plans["brazos"])
    assert [line.partition(";")[0] for line in problems] == [
        "act at 0.1: no such name: nobody",
        "act at 0.2: no such name: no-service",
    ]
