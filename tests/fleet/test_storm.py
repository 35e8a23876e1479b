import pathlib
from typing import get_args

import pytest

from finchshed.common.errors import SettingsError
from finchshed.fleet import actions
from finchshed.fleet.command import seed_range
from finchshed.fleet.deployment import read_deployment
from finchshed.fleet.scenario import FaultScenario, read_scenario
from finchshed.fleet.storm import LATEST_FAULT_SECONDS, STORM_SECONDS, storm
from finchshed.fleet.storm_runs import read_storm_targets
from finchshed.fleet.toml_writer import to_toml

BRAZOS = pathlib.Path(__file__).parents[2] / "examples" / "brazos"
SEEDS = range(200)


def generate_storms() -> list[FaultScenario]:
    targets = read_storm_targets(BRAZOS, read_deployment(BRAZOS))
    return [storm(targets, seed) for seed in SEEDS]


def test_same_seed_gives_the_same_script_and_it_survives_a_file(tmp_path: pathlib.Path) -> None:
    first, second = generate_storms()[:2], generate_storms()[:2]
    assert first == second
    assert first[0].act != first[1].act
    path = tmp_path / "script.toml"
    path.write_text(to_toml(first[0]))
    assert read_scenario(path) == first[0]


def test_storms_end_before_the_last_phase_and_wipe_at_most_one_control_node() -> None:
    for scenario in generate_storms():
        faults = [
            action for action in scenario.act if not isinstance(action, actions.ChangeConfiguration)
        ]
        assert 5 <= len(faults) <= 9
        assert max(action.at for action in faults) <= LATEST_FAULT_SECONDS
        assert sum(isinstance(action, actions.Kill) and action.wipe for action in faults) <= 1
        for action in faults:
            assert (
                getattr(action, "duration_seconds", 0.0)
                <= STORM_SECONDS - LATEST_FAULT_SECONDS + 3.0
            )
            assert getattr(action, "restart_after_seconds", 0.0) >= 0.0


def test_every_kind_of_fault_occurs_and_some_are_simultaneous() -> None:
    kinds = {type(action) for scenario in generate_storms() for action in scenario.act}
    assert set(get_args(actions.FaultAction)) - kinds == {
        actions.RollingRestart,
        actions.Leave,
        actions.Edition,
    }
    simultaneous = 0
    for scenario in generate_storms():
        times = [
            action.at
            for action in scenario.act
            if not isinstance(action, actions.ChangeConfiguration)
        ]
        simultaneous += len(set(times)) < len(times)
    assert simultaneous > len(SEEDS) // 2


@pytest.mark.parametrize("text", ["3", "a..b", "3..1", "..", "-1..2"])
def test_invalid_seed_range_is_rejected(text: str) -> None:
    with pytest.raises(SettingsError, match=r"A\.\.B"):
        seed_range(text)


def test_seed_range_includes_both_ends() -> None:
    assert list(seed_range("4..6")) == [4, 5, 6]
