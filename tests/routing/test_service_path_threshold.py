"""Path threshold of a service, averaged over its endpoints."""

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

LOWEST_NORMAL = lowest_rank_of(Importance.NORMAL)
HALF_OF_NORMAL = LOWEST_NORMAL + POSITIONS // 2


def table_with(thresholds: list[int], reported_at: list[float]) -> RoutingTable:
    """Return a table of endpoints that reported these thresholds and receive normal requests."""
    table = RoutingTable("a", "texas", random.Random(3))
    table.replace(
        Endpoint(f"s-{number}", "sales", "texas", "a", f"10.0.0.{number + 1}:7000", 8)
        for number in range(len(thresholds))
    )
    for number, threshold in enumerate(thresholds):
        report = LoadReport(limit=8, threshold=threshold)
        table.on_report(f"s-{number}", report, reported_at[number])
    table.choose("sales", CallContext("root", Importance.NORMAL, 1.0), (), 0.0)
    return table


def admitted_normal(table: RoutingTable, now: float) -> float:
    return admitted_fraction(Importance.NORMAL, table.path_threshold("sales", "", now).value)


def test_endpoint_without_a_threshold_counts_as_admitting_its_whole_class() -> None:
    table = table_with([HALF_OF_NORMAL, HALF_OF_NORMAL, 0], [0.0, 0.0, 0.0])
    assert admitted_normal(table, 0.1) == pytest.approx(2 / 3, abs=0.01)


def test_service_without_thresholds_refuses_nothing() -> None:
    assert table_with([0, 0], [0.0, 0.0]).path_threshold("sales", "", 0.1).value == 0.0


def test_one_old_report_does_not_expire_the_recent_ones() -> None:
    table = table_with([HALF_OF_NORMAL] * 4, [0.0, 0.28, 0.28, 0.28])
    threshold = table.path_threshold("sales", "", 0.29)
    assert threshold.age_ms <= 90
    assert admitted_normal(table, 0.29) == pytest.approx(0.5, abs=0.01)


def test_threshold_decays_within_its_class() -> None:
    middle = (DECAY_START_SECONDS + DECAY_END_SECONDS) / 2
    old = PathThreshold(HALF_OF_NORMAL, int(middle * 1000))
    assert admitted_fraction(Importance.NORMAL, old.value) == pytest.approx(0.75, abs=0.01)
    assert PathThreshold(HALF_OF_NORMAL, int(DECAY_END_SECONDS * 1000)).value == 0.0


@pytest.mark.parametrize("fraction", [1.0, 0.5, 0.01])
def test_less_important_classes_stay_refused_until_the_threshold_expires(fraction: float) -> None:
    assert decayed_threshold(HALF_OF_NORMAL, fraction) >= LOWEST_NORMAL
    assert decayed_threshold(HALF_OF_NORMAL, 0.0) == 0.0
