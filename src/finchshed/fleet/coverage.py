"""How many cases of a history each checker had to judge: a check over none proves nothing."""

from collections.abc import Callable, Mapping

from finchshed.proof.checks import (
    answers,
    configuration,
    leaving,
    retries,
    runs,
    sessions,
    shedding,
)
from finchshed.proof.checks.index import Index
from finchshed.proof.history import CallEnded, CallResult, ChangeAnswered, PlannedStop


def _ends(index: Index, result: CallResult) -> int:
    return sum(isinstance(event, CallEnded) and event.result is result for event in index.events)


def _answered(index: Index) -> int:
    return _ends(index, CallResult.ANSWERED)


def _refused(index: Index) -> int:
    return _ends(index, CallResult.REFUSED)


def _outside(index: Index) -> int:
    return len(index.outside_calls)


def _sessions(index: Index) -> int:
    return sum(
        event.call in index.calls
        and bool(index.calls[event.call].session)
        and sessions.is_served(event)
        for event in index.events
        if isinstance(event, CallEnded)
    )


def _keys(index: Index) -> int:
    return len({(run.service, run.key) for run in index.runs.values() if run.key})


def _leaving(index: Index) -> int:
    return len(index.leaving_spans)


def _stops(index: Index) -> int:
    return sum(isinstance(event, PlannedStop) for event in index.events)


def _changes(index: Index) -> int:
    return sum(
        isinstance(event, ChangeAnswered) and event.result == configuration.ACCEPTED
        for event in index.events
    )


CASES: Mapping[str, Callable[[Index], int]] = {
    retries.NAME: _outside,
    shedding.NAME: _refused,
    sessions.NAME: _sessions,
    answers.NAME: _answered,
    answers.NAME_ENDS: _outside,
    runs.NAME_REFUSED: _refused,
    runs.NAME_ONCE: _keys,
    leaving.NAME_LEAVING: _leaving,
    leaving.NAME_STOP: _stops,
    configuration.NAME: _changes,
}
"""Number of cases by the checker's name."""
