import pathlib
from typing import get_args

import pytest

from finchshed.common.errors import SettingsError
from finchshed.fleet import acts
from finchshed.fleet.command import seed_range
from finchshed.fleet.deployment import read_deployment
from finchshed.fleet.scenario import FaultScenario, read_scenario
from finchshed.fleet.storm import LAST_ACT_SECONDS, STORM_SECONDS, storm
from finchshed.fleet.storm_runs import targets_of
from finchshed.fleet.toml_writer import to_toml

BRAZOS = pathlib.Path(__file__).parents[2] / "examples" / "brazos"
SEEDS = range(200)


def storms() -> list[FaultScenario]:
    targets = targets_of(BRAZOS, read_deployment(BRAZOS))
    return [storm(targets, seed) for seed in SEEDS]


def test_one_seed_gives_one_script_that_a_file_keeps(tmp_path: pathlib.Path) -> None:
    first, second = storms()[:2], storms()[:2]
    assert first == second
    assert first[0].act != first[1].act
    path = tmp_path / "script.toml"
    path.write_text(to_toml(first[0]))
    assert read_scenario(path) == first[0]


def test_storms_end_before_the_last_phase_and_lose_at_most_one_control_disk() -> None:
    for scenario in storms():
        faults = [act for act in scenario.act if not isinstance(act, acts.ChangeConfiguration)]
        assert 5 <= len(faults) <= 9
        assert max(act.at for act in faults) <= LAST_ACT_SECONDS
        assert sum(isinstance(act, acts.Kill) and act.wipe for act in faults) <= 1
        for act in faults:
            assert getattr(act, "duration_seconds", 0.0) <= STORM_SECONDS - LAST_ACT_SECONDS + 3.0
            assert getattr(act, "restart_after_seconds", 0.0) >= 0.0


def test_every_kind_of_fault_is_drawn_and_some_come_together() -> None:
    drawn = {type(act) for scenario in storms() for act in scenario.act}
    assert set(get_args(acts.FaultAct)) - drawn == {
        acts.RollingRestart,
        acts.Leave,
        acts.Edition,
    }
    together = 0
    for scenario in storms():
        times = [act.at for act in scenario.act if not isinstance(act, acts.ChangeConfiguration)]
        together += len(set(times)) < len(times)
    assert together > len(SEEDS) // 2


@pytest.mark.parametrize("text", ["3", "a..b", "3..1", "..", "-1..2"])
def test_wrong_range_of_seeds_is_refused(text: str) -> None:
    with pytest.raises(SettingsError, match=r"A\.\.B"):
        seed_range(text)


def test_range_of_seeds_includes_both_ends() -> None:
    assert list(seed_range("4..6")) == [4, 5, 6]
