import pytest

from finchshed.common.importance import Importance
from finchshed.fleet.path_times import NESTED, measure_path_times
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


def test_latency_is_split_into_backend_time_and_overhead() -> None:
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
    times = measure_path_times(Index(History(header, events)))
    assert set(times) == {"check", NESTED}
    assert times["check"].backend_seconds == [pytest.approx(0.8)]
    assert times["check"].overhead_seconds == [pytest.approx(0.2)]
    assert times[NESTED].backend_seconds == [pytest.approx(0.1)]
    assert times[NESTED].overhead_seconds == [pytest.approx(0.2)]
