"""A call leaves its zone only if the near endpoint may miss the target latency."""

import random

import pytest

from finchshed.admission.load_report import LoadReport
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Refused
from finchshed.common.results import CallResult
from finchshed.configuration.resources import Endpoint
from finchshed.routing.table import RoutingTable

CONTEXT = CallContext("root", Importance.NORMAL, 1.0)
REPORT = LoadReport(limit=8)


def make_table(near: float, far: float, *, near_fails: bool = False) -> RoutingTable:
    """Return the table of zone a, with endpoints of these latencies in zones a and b."""
    table = RoutingTable("a", "texas", random.Random(3))
    table.replace(
        Endpoint(f"s-{zone}", "sales", "texas", zone, f"10.0.0.{number}:7000", 8)
        for number, zone in enumerate("ab", start=1)
    )
    for step in range(60):
        now = step / 100
        for name, latency in (("s-a", near), ("s-b", far)):
            fails = near_fails and name == "s-a" and step % 2 == 0
            table.on_sent(name, now)
            result = CallResult.FAILED if fails else CallResult.OK
            table.on_reply(name, REPORT, result, latency, now)
    return table


def fraction_near(table: RoutingTable, target_seconds: float) -> float:
    chosen = [
        table.choose("sales", CONTEXT, (), 0.61, target_seconds=target_seconds) for _ in range(200)
    ]
    names = [item.name for item in chosen if not isinstance(item, Refused)]
    return names.count("s-a") / len(chosen)


@pytest.mark.parametrize(
    ("near", "far", "target", "expected"),
    [
        (0.10, 0.05, 1.0, 1.0),
        (0.10, 0.05, 0.1, 0.0),
        (0.10, 0.09, 0.1, 1.0),
        (1.20, 0.10, 1.0, 0.0),
        (0.10, 0.05, 0.0, 1.0),
    ],
)
def test_faster_endpoint_is_used_only_if_the_target_may_be_missed(
    near: float, far: float, target: float, expected: float
) -> None:
    assert fraction_near(make_table(near, far), target) == expected


def test_failing_near_endpoint_is_not_used() -> None:
    assert fraction_near(make_table(0.05, 0.05, near_fails=True), 1.0) == 0.0
