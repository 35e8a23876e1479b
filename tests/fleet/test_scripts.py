"""Every fault script that ships can be read, and names what its deployment has."""

import pathlib

import pytest

from finchshed.fleet.acts import Edition, Kill
from finchshed.fleet.deployment import read_deployment
from finchshed.fleet.network import FleetNetwork
from finchshed.fleet.plan import FleetPlan
from finchshed.fleet.plan_options import PlanOptions
from finchshed.fleet.planner import Planner
from finchshed.fleet.scenario import FaultScenario, problems_of, read_scenario
from finchshed.standins.settings import Phase

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
SCRIPTS = sorted(EXAMPLES.glob("*/faults/*.toml"))


def planned(source: pathlib.Path, folder: pathlib.Path) -> FleetPlan:
    network = FleetNetwork()
    try:
        return Planner(source, read_deployment(source), folder, network, PlanOptions()).plan()
    finally:
        network.release()


@pytest.fixture(scope="module")
def plans(tmp_path_factory: pytest.TempPathFactory) -> dict[str, FleetPlan]:
    names = sorted({script.parts[-3] for script in SCRIPTS})
    return {name: planned(EXAMPLES / name, tmp_path_factory.mktemp(name)) for name in names}


def test_scripts_ship_for_both_examples() -> None:
    assert {script.parts[-3] for script in SCRIPTS} == {"brazos", "manila"}


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda path: "-".join(path.parts[-3::2]))
def test_script_names_what_its_deployment_has(
    script: pathlib.Path, plans: dict[str, FleetPlan]
) -> None:
    scenario = read_scenario(script)
    assert problems_of(scenario, plans[script.parts[-3]]) == []
    assert scenario.name == script.stem
    assert scenario.expect, "a script states what callers get"
    seconds = sum(phase.duration_seconds for phase in scenario.phase)
    assert all(act.at < seconds for act in scenario.act)


def test_a_name_that_the_deployment_lacks_is_told(plans: dict[str, FleetPlan]) -> None:
    scenario = FaultScenario(
        name="wrong",
        description="",
        phase=(Phase(name="all", duration_seconds=1.0),),
        act=(Kill(at=0.1, target="nobody"), Edition(at=0.2, target="no-service", edition=2)),
    )
    problems = problems_of(scenario, plans["brazos"])
    assert [line.partition(";")[0] for line in problems] == [
        "act at 0.1: no such name: nobody",
        "act at 0.2: no such name: no-service",
    ]
