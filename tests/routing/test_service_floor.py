"""The threshold that calls to a service meet, over its endpoints."""

import random

import pytest

from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_thresholds import (
    DECAY_END_SECONDS,
    DECAY_START_SECONDS,
    PathThreshold,
)
from finchshed.admission.rank import POSITIONS, admitted_fraction, decayed_threshold, lowest_rank_of
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.configuration.resources import Endpoint
from finchshed.routing.table import RoutingTable

NORMAL_FLOOR = lowest_rank_of(Importance.NORMAL)
HALF_OF_NORMAL = NORMAL_FLOOR + POSITIONS // 2


def table_with(thresholds: list[int], told_at: list[float]) -> RoutingTable:
    """Return a table of endpoints that told these thresholds, with normal requests sent there."""
    made = RoutingTable("a", "texas", random.Random(3))
    made.replace(
        Endpoint(f"s-{number}", "sales", "texas", "a", f"10.0.0.{number + 1}:7000", 8)
        for number in range(len(thresholds))
    )
    for number, threshold in enumerate(thresholds):
        report = LoadReport(limit=8, threshold=threshold)
        made.on_report(f"s-{number}", report, told_at[number])
    made.choose("sales", CallContext("root", Importance.NORMAL, 1.0), (), 0.0)
    return made


def share_of_normal(table: RoutingTable, now: float) -> float:
    return admitted_fraction(Importance.NORMAL, table.path_threshold("sales", "", now).value)


def test_an_endpoint_without_a_threshold_takes_its_part_of_the_class() -> None:
    table = table_with([HALF_OF_NORMAL, HALF_OF_NORMAL, 0], [0.0, 0.0, 0.0])
    assert share_of_normal(table, 0.1) == pytest.approx(2 / 3, abs=0.01)


def test_no_threshold_anywhere_refuses_nothing() -> None:
    assert table_with([0, 0], [0.0, 0.0]).path_threshold("sales", "", 0.1).value == 0.0


def test_one_old_report_does_not_age_the_fresh_ones() -> None:
    table = table_with([HALF_OF_NORMAL] * 4, [0.0, 0.28, 0.28, 0.28])
    floor = table.path_threshold("sales", "", 0.29)
    assert floor.age_ms <= 90
    assert share_of_normal(table, 0.29) == pytest.approx(0.5, abs=0.01)


def test_a_threshold_fades_within_its_class() -> None:
    middle = (DECAY_START_SECONDS + DECAY_END_SECONDS) / 2
    old = PathThreshold(HALF_OF_NORMAL, int(middle * 1000))
    assert admitted_fraction(Importance.NORMAL, old.value) == pytest.approx(0.75, abs=0.01)
    assert PathThreshold(HALF_OF_NORMAL, int(DECAY_END_SECONDS * 1000)).value == 0.0


@pytest.mark.parametrize("share", [1.0, 0.5, 0.01])
def test_less_important_classes_stay_refused_until_the_threshold_is_forgotten(share: float) -> None:
    assert decayed_threshold(HALF_OF_NORMAL, share) >= NORMAL_FLOOR
    assert decayed_threshold(HALF_OF_NORMAL, 0.0) == 0.0
