"""Counts the cases in a history that each checker covers; a check without cases proves nothing."""

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


def _count_results(index: Index, result: CallResult) -> int:
    return sum(isinstance(event, CallEnded) and event.result is result for event in index.events)


def _count_answered(index: Index) -> int:
    return _count_results(index, CallResult.ANSWERED)


def _count_refused(index: Index) -> int:
    return _count_results(index, CallResult.REFUSED)


def _count_external_calls(index: Index) -> int:
    return len(index.outside_calls)


def _count_session_answers(index: Index) -> int:
    return sum(
        event.call in index.calls
        and bool(index.calls[event.call].session)
        and sessions.is_served(event)
        for event in index.events
        if isinstance(event, CallEnded)
    )


def _count_keys(index: Index) -> int:
    return len({(run.service, run.key) for run in index.runs.values() if run.key})


def _count_leaving_spans(index: Index) -> int:
    return len(index.leaving_spans)


def _count_planned_stops(index: Index) -> int:
    return sum(isinstance(event, PlannedStop) for event in index.events)


def _count_accepted_changes(index: Index) -> int:
    return sum(
        isinstance(event, ChangeAnswered) and event.result == configuration.ACCEPTED
        for event in index.events
    )


CASE_COUNTERS: Mapping[str, Callable[[Index], int]] = {
    retries.NAME: _count_external_calls,
    shedding.NAME: _count_refused,
    sessions.NAME: _count_session_answers,
    answers.NAME: _count_answered,
    answers.NAME_ENDS: _count_external_calls,
    runs.NAME_REFUSED: _count_refused,
    runs.NAME_ONCE: _count_keys,
    leaving.NAME_LEAVING: _count_leaving_spans,
    leaving.NAME_STOP: _count_planned_stops,
    configuration.NAME: _count_accepted_changes,
}
"""Function that counts the cases of a checker, by the checker's name."""
