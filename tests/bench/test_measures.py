"""Figures of a run."""

import pytest

from finchshed.bench.measures import Period, Plan, measure, recovery_seconds
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


def answers(*spans: tuple[float, float, float]) -> list[float]:
    """Return times of answers: for each span its begin, end and rate."""
    times: list[float] = []
    for begin, end, rate in spans:
        count = round((end - begin) * rate)
        times += [begin + number / rate for number in range(count)]
    return times


def test_goodput_that_is_there_at_once_recovers_in_one_window() -> None:
    assert recovery_seconds(answers((0, 20, 100)), 100.0, 8.0, 20.0) == pytest.approx(0.5)


def test_recovery_counts_until_goodput_is_back() -> None:
    finished = answers((0, 8, 100), (10, 20, 100))
    assert recovery_seconds(finished, 100.0, 8.0, 20.0) == pytest.approx(2.5, abs=0.1)


def test_a_burst_that_falls_off_again_is_no_recovery() -> None:
    finished = answers((0, 8, 100), (8, 10, 200), (10, 14, 40), (14, 20, 100))
    assert recovery_seconds(finished, 100.0, 8.0, 20.0) == pytest.approx(6.0, abs=0.7)


def test_goodput_that_stays_away_never_recovers() -> None:
    assert recovery_seconds(answers((0, 8, 100), (8, 20, 60)), 100.0, 8.0, 20.0) is None


def test_a_stretch_in_which_little_is_asked_for_is_no_relapse() -> None:
    spans = ((0.0, 8.0, 100.0), (8.0, 16.0, 100.0), (16.0, 20.0, 70.0))
    finished = answers(*spans)
    assert recovery_seconds(finished, 100.0, 8.0, 20.0) is None
    found = recovery_seconds(finished, 100.0, 8.0, 20.0, answers(*spans))
    assert found == pytest.approx(0.5)
    asked = answers((0.0, 20.0, 100.0))
    assert recovery_seconds(finished, 100.0, 8.0, 20.0, asked) is None


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
