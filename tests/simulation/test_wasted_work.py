"""Requests that an overloaded downstream service would refuse are not run upstream."""

import pytest

from finchshed.common.importance import Importance
from finchshed.emulator import world
from finchshed.emulator.acts import SlowService
from finchshed.emulator.callers import Surge
from finchshed.emulator.presets import BRAZOS_RIDGE
from finchshed.emulator.run import RunSpecification
from finchshed.proof.history import (
    CallBegan,
    CallEnded,
    CallResult,
    Event,
    RunBegan,
    RunEnded,
    RunResult,
)
from finchshed.proof.history_file import SCHEMA_VERSION, Header, History
from tests.simulation.wasted_work import wasted_fraction

OVERLOAD_BEGIN = 1.5
OVERLOAD_SECONDS = 2.0
END = 5.5
SLOW_FACTOR = 4.0
WASTED_FRACTION_MAX = 0.1


@pytest.mark.parametrize("demand", [4.0, 10.0])
def test_little_work_is_wasted_on_requests_refused_downstream(demand: float) -> None:
    slow = SlowService(
        time=OVERLOAD_BEGIN,
        service=BRAZOS_RIDGE.deep_service,
        factor=SLOW_FACTOR,
        seconds=OVERLOAD_SECONDS,
    )
    specification = RunSpecification(
        deployment=BRAZOS_RIDGE,
        seed=5,
        seconds=END,
        surges=(Surge(start=OVERLOAD_BEGIN, seconds=OVERLOAD_SECONDS, factor=demand),),
        acts=(slow,),
    )
    assert wasted_fraction(world.run(specification).history) < WASTED_FRACTION_MAX


def root(time: float, name: str, ends: list[tuple[float, CallResult]]) -> list[Event]:
    events: list[Event] = []
    for number, (end, result) in enumerate(ends, start=1):
        call = f"{name}/{number}"
        events.append(CallBegan(time, call, name, "deep", Importance.NORMAL, "look"))
        status = 200 if result is CallResult.ANSWERED else 0
        events.append(CallEnded(end, call, result, "", status, name))
        time = end + 0.1
    return events


def test_work_for_unanswered_requests_counts_as_wasted() -> None:
    events = [
        *root(1.0, "a", [(1.3, CallResult.ANSWERED)]),
        *root(1.1, "b", [(1.2, CallResult.REFUSED), (1.9, CallResult.FAILED)]),
        RunBegan(1.1, "e2#1", "a/1", "a", "deep", "e2"),
        RunEnded(1.2, "e2#1", RunResult.FINISHED),
        RunBegan(1.3, "e1#1", "b/2", "b", "deep", "e1"),
        RunEnded(1.6, "e1#1", RunResult.CRASHED),
    ]
    events.sort(key=lambda event: event.time)
    history = History(Header(SCHEMA_VERSION, "emulator", "wasted-work", 1, "0"), events)
    assert wasted_fraction(history) == pytest.approx(0.75)
