"""Figures of a run."""

import pytest

from finchshed.bench.measures import Plan, measure
from finchshed.common.importance import Importance
from finchshed.proof.history import (
    AttemptSent,
    CallBegan,
    CallEnded,
    CallResult,
    Event,
    RunBegan,
    RunEnded,
    RunResult,
)
from finchshed.replay.recovery import Period


def root(time: float, name: str, ends: list[tuple[float, CallResult]]) -> list[Event]:
    events: list[Event] = []
    for number, (end, result) in enumerate(ends, start=1):
        call = f"{name}/{number}"
        events.append(CallBegan(time, call, name, "deep", Importance.NORMAL, "look"))
        status = 200 if result is CallResult.ANSWERED else 0
        events.append(CallEnded(end, call, result, "", status, name))
        time = end + 0.1
    return events


PLAN = Plan(
    before=Period(0.0, 1.0),
    overload=Period(1.0, 2.0),
    end=4.0,
    deep_service="deep",
    deep_visits={"look": 1},
)


def test_repeats_and_waste_are_counted() -> None:
    events = [
        *root(1.0, "a", [(1.3, CallResult.ANSWERED)]),
        *root(1.1, "b", [(1.2, CallResult.REFUSED), (1.9, CallResult.FAILED)]),
        AttemptSent(1.0, "a/1", "a", "e1"),
        AttemptSent(1.05, "a/1", "a", "e2"),
        RunBegan(1.1, "e2#1", "a/1", "a", "deep", "e2"),
        RunEnded(1.2, "e2#1", RunResult.FINISHED),
        RunBegan(1.3, "e1#1", "b/2", "b", "deep", "e1"),
        RunEnded(1.6, "e1#1", RunResult.CRASHED),
    ]
    events.sort(key=lambda event: event.time)
    measures = measure(events, PLAN)
    assert sum(measures.client_repeats) == 1
    assert sum(measures.inner_repeats) == 1
    assert measures.wasted_share == pytest.approx(0.75)
    assert measures.answered_share_by_kind == {"look": 0.5}
    assert measures.goodput_by_kind == {"look": 1.0}
