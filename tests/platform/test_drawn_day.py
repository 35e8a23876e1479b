"""Random benchmark days are reproducible and readable by the benchmark."""

import tomllib
from pathlib import Path

import pytest

from tests.platform.drawn_day import ENTRY_GENERATORS, PLANNED_KINDS, day_as_toml, draw_day

SITE = """
[[day]]
name = "quiet-1"
slot = "quiet"
seed = 5
goal = { floor = 0.4 }
labels = []
light = true
closing = { kind = "kill_all", down_s = 0.5 }
plan = [{ at = 1.0, kind = "config_change", how = "timeout" }]
faults = []
traffic = [{ zone = "a", mix = { lookup = 4.1 }, per_s = 9.0, shape = { kind = "wave" } }]
"""


@pytest.fixture
def site(tmp_path: Path) -> Path:
    path = tmp_path / "site.toml"
    path.write_text(SITE)
    return path


def test_same_seed_draws_the_same_day(site: Path) -> None:
    assert draw_day(site, 7) == draw_day(site, 7)
    assert draw_day(site, 7) != draw_day(site, 8)


def test_drawn_day_round_trips_through_toml(site: Path) -> None:
    for seed in range(200):
        day = draw_day(site, seed)
        assert tomllib.loads(day_as_toml(day))["day"] == [day]


def test_planned_work_and_faults_are_listed_separately(site: Path) -> None:
    for seed in range(200):
        day = draw_day(site, seed)
        assert all(entry["kind"] in PLANNED_KINDS for entry in day["plan"])
        assert not any(entry["kind"] in PLANNED_KINDS for entry in day["faults"])


def test_every_kind_is_drawn(site: Path) -> None:
    kinds = set()
    for seed in range(200):
        day = draw_day(site, seed)
        kinds |= {entry["kind"] for entry in day["plan"] + day["faults"]}
    assert kinds == set(ENTRY_GENERATORS) - {"core_kill"}


def test_only_selected_kinds_are_drawn(site: Path) -> None:
    day = draw_day(site, 3, ("release", "srv_slow"))
    kinds = {entry["kind"] for entry in day["plan"] + day["faults"]}
    assert kinds <= {"release", "srv_slow", "config_change"}
