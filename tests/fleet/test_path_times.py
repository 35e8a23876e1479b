import pytest

from finchshed.common.importance import Importance
from finchshed.fleet.path_times import NESTED, path_times_of
from finchshed.proof.checks.index import Index
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


def call(name: str, begin: float, end: float, result: CallResult, parent: str = "") -> list[Event]:
    return [
        CallBegan(begin, name, "r", "s", Importance.NORMAL, kind="check", parent=parent),
        CallEnded(end, name, result),
    ]


def run(name: str, of_call: str, begin: float, end: float) -> list[Event]:
    return [
        RunBegan(begin, name, of_call, "r", "s", "s-1"),
        RunEnded(end, name, RunResult.FINISHED),
    ]


def test_time_is_divided_between_back_end_and_way() -> None:
    events = [
        *call("a", 0.0, 1.0, CallResult.ANSWERED),
        *run("one", "a", 0.1, 0.9),
        *call("one/0", 0.2, 0.5, CallResult.ANSWERED, parent="one"),
        *run("two", "one/0", 0.3, 0.4),
        *call("refused", 0.0, 0.1, CallResult.REFUSED),
        *call("twice", 0.0, 3.0, CallResult.ANSWERED),
        *run("three", "twice", 0.1, 0.2),
        *run("four", "twice", 0.3, 0.4),
    ]
    header = Header(schema=SCHEMA_VERSION, source="fleet", scenario="x", seed=1, version="")
    times = path_times_of(Index(History(header, events)))
    assert set(times) == {"check", NESTED}
    assert times["check"].at_back_end == [pytest.approx(0.8)]
    assert times["check"].on_the_way == [pytest.approx(0.2)]
    assert times[NESTED].at_back_end == [pytest.approx(0.1)]
    assert times[NESTED].on_the_way == [pytest.approx(0.2)]
