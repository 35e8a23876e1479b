"""Drawn days repeat with their seed and hold what the bench can read."""

import tomllib
from pathlib import Path

import pytest

from tests.platform.drawn_day import MAKERS, PLANNED, day_as_toml, draw_day

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


def test_a_seed_always_draws_the_same_day(site: Path) -> None:
    assert draw_day(site, 7) == draw_day(site, 7)
    assert draw_day(site, 7) != draw_day(site, 8)


def test_a_drawn_day_is_read_back_as_it_was_drawn(site: Path) -> None:
    for seed in range(200):
        day = draw_day(site, seed)
        assert tomllib.loads(day_as_toml(day))["day"] == [day]


def test_planned_work_stands_apart_from_faults(site: Path) -> None:
    for seed in range(200):
        day = draw_day(site, seed)
        assert all(entry["kind"] in PLANNED for entry in day["plan"])
        assert not any(entry["kind"] in PLANNED for entry in day["faults"])


def test_every_kind_is_drawn(site: Path) -> None:
    kinds = set()
    for seed in range(200):
        day = draw_day(site, seed)
        kinds |= {entry["kind"] for entry in day["plan"] + day["faults"]}
    assert kinds == set(MAKERS) - {"core_kill"}


def test_days_of_chosen_kinds_hold_these_alone(site: Path) -> None:
    day = draw_day(site, 3, ("release", "srv_slow"))
    kinds = {entry["kind"] for entry in day["plan"] + day["faults"]}
    assert kinds <= {"release", "srv_slow", "config_change"}
