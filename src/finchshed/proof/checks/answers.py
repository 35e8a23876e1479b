"""Every caller gets the whole answer to its own request, and one final outcome."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from finchshed.proof.checks.index import Index, Violation
from finchshed.proof.history import CallEnded, CallResult, RunResult

NAME: Final = "whole-answers"
NAME_ENDS: Final = "calls-end"

CALL_GRACE_SECONDS: Final = 4.0
"""A call from outside that began this long before the end of the history must have ended."""


def check(index: Index) -> Iterator[Violation]:
    """Yield answers that are cut, another request's, or that no run gave.

    Requests sent under one key are one request, so an answer to any of them is an answer to all.
    """
    finished = _finished_runs(index)
    keys = _keys_of_roots(index)
    for name, ends in index.call_ends.items():
        call = index.calls.get(name)
        if call is None:
            yield Violation(NAME, ends[0].time, name, "an outcome for a call nobody made")
            continue
        if len(ends) > 1:
            yield Violation(NAME, ends[1].time, name, f"{len(ends)} outcomes for one call")
        for end in ends:
            if end.result is not CallResult.ANSWERED:
                continue
            is_own = end.answer_root == call.root
            if not is_own and not (call.key and keys.get(end.answer_root) == call.key):
                detail = f"the answer is for {end.answer_root or 'no request'}, not {call.root}"
                yield Violation(NAME, end.time, end.call, detail)
                continue
            yield from _check_answer(end, call.service, finished)


def _keys_of_roots(index: Index) -> dict[str, str]:
    return {call.root: call.key for call in index.outside_calls if call.key}


def _check_answer(
    end: CallEnded, service: str, finished: dict[tuple[str, str], float]
) -> Iterator[Violation]:
    if not end.whole:
        yield Violation(NAME, end.time, end.call, "length or digest isn't the back end's")
    if end.status < 500 and finished.get((end.answer_root, service), float("inf")) > end.time:
        yield Violation(NAME, end.time, end.call, "answered before any run had finished")


def _finished_runs(index: Index) -> dict[tuple[str, str], float]:
    """Return when the first run of each root at each service finished."""
    finished: dict[tuple[str, str], float] = defaultdict(lambda: float("inf"))
    for end in index.run_ends.values():
        run = index.runs.get(end.run)
        if run is not None and end.result is RunResult.FINISHED:
            key = (run.root, run.service)
            finished[key] = min(finished[key], end.time)
    return finished


def check_ends(index: Index) -> Iterator[Violation]:
    """Yield calls from outside that were left without a final outcome."""
    for call in index.outside_calls:
        if call.time + CALL_GRACE_SECONDS < index.end and call.call not in index.call_ends:
            yield Violation(NAME_ENDS, call.time, call.call, "no outcome")
