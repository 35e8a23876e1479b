"""Guards against statements that pass or fail wrongly."""

import msgspec
import pytest

from finchshed.common.importance import Importance
from finchshed.proof.history import (
    CallBegan,
    CallEnded,
    CallResult,
    ChangeAnswered,
    Event,
    RevisionInForce,
    RunBegan,
)
from finchshed.proof.history_file import SCHEMA_VERSION, Header, History
from finchshed.replay.outcome_checks import check_outcomes
from finchshed.replay.outcomes import OutcomeLine, Outcomes, OutcomesHeader


def began(time: float, root: str, attempt: int = 1) -> CallBegan:
    call = f"{root}/{attempt}"
    return CallBegan(time, call, root, "s", Importance.CRITICAL, "check")


def ended(time: float, root: str, result: CallResult, attempt: int = 1) -> CallEnded:
    status = 200 if result is CallResult.ANSWERED else 0
    reason = "" if status else "overload"
    return CallEnded(time, f"{root}/{attempt}", result, reason, status, root)


EVENTS: list[Event] = [
    began(0.0, "a"),
    RunBegan(0.05, "e#1", "a/1", "a", "s", "e"),
    ended(0.1, "a", CallResult.ANSWERED),
    began(1.0, "b"),
    ended(1.1, "b", CallResult.REFUSED),
    began(1.2, "b", 2),
    RunBegan(1.3, "e#2", "b/2", "b", "s", "e"),
    ended(2.0, "b", CallResult.ANSWERED, 2),
    began(3.0, "c"),
    ended(3.1, "c", CallResult.REFUSED),
    ChangeAnswered(3.2, "x.0", "accepted", 2),
    ChangeAnswered(3.2, "x.1", "conflict"),
    RevisionInForce(3.3, "d1", 2),
    RevisionInForce(3.3, "d2", 1),
]

HELD = [
    '{"type":"request","root":"a","result":"answered","within_seconds":0.2,"runs_at_most":1}',
    '{"type":"request","root":"b","result":"answered","within_seconds":1.0}',
    '{"type":"request","root":"c","result":"refused","reason":"overload","runs_at_most":0}',
    '{"type":"class","importance":"critical","answered_at_least":0.6,"refused_at_most":0.4}',
    '{"type":"class","kind":"check","begin":2,"answered_at_most":0,"failed_at_most":0}',
    '{"type":"class","end":0.5,"p99_seconds_at_most":0.11,"attempts_mean_at_most":1}',
    '{"type":"change","change_id":"x","accepted":1}',
    '{"type":"revision","node":"d1","at_least":2}',
    '{"type":"property","check":"retry-bound"}',
]

MISSED = [
    '{"type":"request","root":"a","result":"refused"}',
    '{"type":"request","root":"b","within_seconds":0.9}',
    '{"type":"request","root":"b","runs_at_most":0}',
    '{"type":"request","root":"c","runs_at_least":1}',
    '{"type":"request","root":"c","reason":"deadline"}',
    '{"type":"request","root":"z"}',
    '{"type":"class","importance":"critical","answered_at_least":0.7}',
    '{"type":"class","importance":"critical","refused_at_most":0.3}',
    '{"type":"class","importance":"normal"}',
    '{"type":"class","answered_at_most":0.5}',
    '{"type":"class","p99_seconds_at_most":0.9}',
    '{"type":"class","attempts_mean_at_most":1.2}',
    '{"type":"change","change_id":"x","accepted":2}',
    '{"type":"change","change_id":"y","accepted_at_least":1}',
    '{"type":"revision","at_least":2}',
    '{"type":"property","check":"whole-answers"}',
]


def problems(line: str, events: list[Event] = EVENTS) -> tuple[str, ...]:
    statement: OutcomeLine = msgspec.json.decode(line, type=OutcomeLine)
    history = History(Header(SCHEMA_VERSION, "emulator", "t", 1, "0"), events)
    outcomes = Outcomes(OutcomesHeader(version=1), ((2, statement),))
    (verdict,) = check_outcomes(history, outcomes)
    return verdict.problems


@pytest.mark.parametrize("line", HELD)
def test_true_statement_holds(line: str) -> None:
    assert problems(line) == ()


@pytest.mark.parametrize("line", MISSED)
def test_false_statement_is_reported(line: str) -> None:
    assert problems(line)


def steady(begin: float, end: float) -> list[Event]:
    events: list[Event] = []
    for number in range(int((end - begin) * 20)):
        time = begin + number / 20
        root = f"{begin}-{number}"
        events += [began(time, root), ended(time + 0.01, root, CallResult.ANSWERED)]
    return events


def test_missing_recovery_is_reported() -> None:
    line = (
        '{"type":"recovery","before_begin":0,"before_end":4,"after":4,"within_seconds":1.5,'
        '"share":0.9}'
    )
    assert problems(line, [*steady(0, 4), *steady(5, 12)]) == ()
    assert problems(line, [*steady(0, 4), *steady(7, 12)])
    assert problems(line, steady(0, 4))
